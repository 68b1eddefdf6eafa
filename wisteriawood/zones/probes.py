"""Probes that detect processes that have ended.

A daemon listens before it writes its row, and closes its listener only
after it has released what it holds. A refused connection therefore proves
that the process of a row read before has ended. A timeout proves nothing.
"""

import typing

import anyio

from wisteriawood.contracts import holdings
from wisteriawood import errors

PROBE_PERIOD_S = 0.5


class Prober:
    """Dials processes that send no heartbeats, one task each.

    Args:
        dial_peer: Opens a channel to the peer at an address.
        suspects: Returns the member rows of the processes to probe.
        on_dead: Called with the row of a process that has ended.
    """

    __slots__ = ("_dial_peer", "_probed", "_on_dead", "_suspects")

    def __init__(
        self,
        *,
        dial_peer: typing.Callable,
        suspects: typing.Callable[[], list[holdings.MemberRow]],
        on_dead: typing.Callable[[holdings.MemberRow], None],
    ):
        self._dial_peer = dial_peer
        self._probed: set[str] = set()
        self._on_dead = on_dead
        self._suspects = suspects

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for member in self._suspects():
                    if member.incarnation not in self._probed:
                        self._probed.add(member.incarnation)
                        group.start_soon(self._probe, member)
                await anyio.sleep(PROBE_PERIOD_S)

    async def _probe(self, member: holdings.MemberRow) -> None:
        try:
            if await refuses_connections(self._dial_peer, member):
                self._on_dead(member)
        finally:
            self._probed.discard(member.incarnation)


async def refuses_connections(
    dial_peer: typing.Callable, member: holdings.MemberRow
) -> bool:
    """Return whether the host of a process refuses connections.

    Args:
        dial_peer: Opens a channel to the peer at an address.
        member: Row of the process, read before the call.
    """
    try:
        async with dial_peer(address=member.peer_address):
            return False
    except errors.LinkRefusedError:
        return True
    except errors.LinkError:
        return False
