"""Decides whether a host follows the directory of workers."""

import typing

import anyio

from wisteriawood.cells import members

# Time for which a former standby still follows the directory, so that hosts
# that come and go cause few reads of the whole of it.
STANDBY_LINGER_S = 15.0


class DirectoryNeed:
    """Whether a host needs the directory: as a holder, or as a standby.

    Args:
        known_members: The host's view of the other hosts.

    Attributes:
        is_needed: Whether the host needs the directory.
        on_change: Called with `is_needed` when it changes.
        on_claim: Called when the host has claimed a cell, for which it needs
            the newest entries.
    """

    __slots__ = (
        "_members",
        "_standby_until_s",
        "is_needed",
        "on_change",
        "on_claim",
    )

    def __init__(self, *, known_members: members.Members):
        self._members = known_members
        self._standby_until_s = 0.0
        self.is_needed = False
        self.on_change: typing.Callable[[bool], None] = lambda _needed: None
        self.on_claim: typing.Callable[[], None] = lambda: None

    def check(self, is_holding: bool) -> None:
        """Decide anew.

        Args:
            is_holding: Whether the host holds a cell.
        """
        now_s = anyio.current_time()
        if self._members.name in self._members.standbys():
            self._standby_until_s = now_s + STANDBY_LINGER_S
        self._set(is_holding or now_s < self._standby_until_s)

    def require(self) -> None:
        """Need the directory from now, for a cell that was just claimed."""
        self._set(True)
        self.on_claim()

    def _set(self, is_needed: bool) -> None:
        if is_needed != self.is_needed:
            self.is_needed = is_needed
            self.on_change(is_needed)
