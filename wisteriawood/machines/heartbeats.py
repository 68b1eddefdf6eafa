"""Writes the heartbeats of a job host, as often as others rely on them."""

import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import members
from wisteriawood.machines import directory_needs

# Least time between two heartbeats, so that changes at once share one.
MIN_PERIOD_S = 0.1


class HeartbeatSender:
    """Writes the heartbeats of one host.

    Args:
        known_members: The host's view of the other hosts.
        directory_need: Whether the host follows the directory of workers.
        report: Returns the loads of the cells that the host has opened.
        is_holding: Returns whether the host holds a cell, opened or not.
    """

    __slots__ = (
        "_directory_need",
        "_is_holding",
        "_members",
        "_report",
        "_wakeup",
    )

    def __init__(
        self,
        *,
        known_members: members.Members,
        directory_need: directory_needs.DirectoryNeed,
        report: typing.Callable[[], dict[str, claims.CellLoad]],
        is_holding: typing.Callable[[], bool],
    ):
        self._members = known_members
        self._directory_need = directory_need
        self._report = report
        self._is_holding = is_holding
        self._wakeup = anyio.Event()

    def send_soon(self) -> None:
        """Write the next heartbeat soon, to show a change."""
        self._wakeup.set()

    def _period_s(self) -> float:
        if self._is_holding():
            return members.HEARTBEAT_PERIOD_S
        if self._directory_need.is_needed or not self._members.standbys():
            return members.STANDBY_HEARTBEAT_PERIOD_S
        return members.PLAIN_HEARTBEAT_PERIOD_S

    async def run(self) -> None:
        """Write heartbeats until cancelled.

        The first one replaces that of the former process of this host, so it
        waits until that has been read.
        """
        await self._members.has_read_heartbeats.wait()
        while True:
            period_s = self._period_s()
            self._members.heartbeat_period_s = period_s
            if not await self._members.write_heartbeat(self._report()):
                period_s = members.HEARTBEAT_PERIOD_S
            await anyio.sleep(MIN_PERIOD_S)
            with anyio.move_on_after(period_s - MIN_PERIOD_S):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()
