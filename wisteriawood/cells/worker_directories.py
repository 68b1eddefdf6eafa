"""A host's view of the directory of workers, and how old it is."""

import typing

from wisteriawood.links import runners


class WorkerDirectory:
    """The workers that the directory lists, as this host last read it.

    Attributes:
        workers: All listed workers, by id.
        confirmed_at_s: Monotonic time as of which the entries are known to
            be current; 0 before the first read.
    """

    __slots__ = ("confirmed_at_s", "workers")

    def __init__(self):
        self.workers: dict[str, runners.Registration] = {}
        self.confirmed_at_s = 0.0

    def confirm(self, at_s: float) -> None:
        """Record as of when the entries are known to be current.

        Args:
            at_s: Monotonic time at which the read that showed it was sent.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def age_s(self, now_s: float) -> float:
        """Return the time since the entries were known to be current.

        Args:
            now_s: Monotonic time.
        """
        return now_s - self.confirmed_at_s

    def select(
        self, is_wanted: typing.Callable[[runners.Registration], bool]
    ) -> dict[str, runners.Registration]:
        """Return the workers for which a condition holds, by id.

        Args:
            is_wanted: The condition.
        """
        return {
            worker_id: worker
            for worker_id, worker in self.workers.items()
            if is_wanted(worker)
        }
