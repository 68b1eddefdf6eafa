"""Probers: proof that silent entry hosts are dead."""

import typing

import anyio

from wisteriawood.contracts import holdings
from wisteriawood import errors
from wisteriawood.links import peers
from wisteriawood.machines import grantors

PROBE_PERIOD_S = 2.0


class Prober:
    """Dials the entry hosts that a grantor waits for.

    A refused connection proves the process dead: it listens for as long
    as it holds any slot.

    Args:
        grantor: The grantor.
        dial_peer: Opens the channel to the peer at an address.
    """

    __slots__ = ("_dial_peer", "_grantor")

    def __init__(
        self,
        *,
        grantor: grantors.Grantor,
        dial_peer: typing.Callable = peers.connect,
    ):
        self._grantor = grantor
        self._dial_peer = dial_peer

    async def run(self) -> None:
        """Probe once a period, for ever."""
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            for member in self._grantor.silent_members():
                await self._probe(member)

    async def _probe(self, member: holdings.MemberRow) -> None:
        try:
            async with self._dial_peer(address=member.peer_address):
                pass
        except errors.LinkRefusedError:
            self._grantor.see_dead(member)
        except errors.LinkError:
            # It may be cut off and still hold its slots.
            return
