"""Cells that a host leaves to others after unexpected errors."""

import anyio

from wisteriawood import supervision


class _Suspension:
    """Time for which a host does not claim a cell.

    Attributes:
        backoff: Lengthens the times of errors that repeat.
        until_s: Monotonic time of its end.
    """

    __slots__ = ("backoff", "until_s")

    def __init__(self):
        self.backoff = supervision.Backoff()
        self.until_s = 0.0


class Suspensions:
    """The suspended cells of one host."""

    __slots__ = ("_by_cell",)

    def __init__(self):
        self._by_cell: dict[str, _Suspension] = {}

    def add(self, cell: str) -> None:
        """Suspend a cell after an error in its management.

        Args:
            cell: Name of the cell.
        """
        suspension = self._by_cell.setdefault(cell, _Suspension())
        delay_s = suspension.backoff.next_delay_s()
        suspension.until_s = anyio.current_time() + delay_s

    def has(self, cell: str) -> bool:
        """Return whether a cell is suspended now.

        Args:
            cell: Name of the cell.
        """
        suspension = self._by_cell.get(cell)
        return (
            suspension is not None
            and anyio.current_time() < suspension.until_s
        )
