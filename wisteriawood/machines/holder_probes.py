"""Probes whether the processes of silent holders have ended."""

import anyio
from anyio import abc

from wisteriawood.cells import claims
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links.codecs import bounds
from wisteriawood.machines import hold_questions
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time without a heartbeat after which a holder is probed: longer than its
# period and a pause of the feed, shorter than what a takeover waits for.
PROBE_SILENCE_S = 1.5
PROBE_TIMEOUT_S = 0.5
# Pause between two probes of a host, which may only be slow.
PROBE_PAUSE_S = 0.4


class HolderProbes:
    """Connects to the hosts of holders that have fallen silent.

    A refused connection proves that the process has ended: its cell can be
    claimed at once, and no lease was granted after that. One task for each
    silent host; nothing is connected while heartbeats arrive.

    Args:
        known_members: The host's view of the other hosts.
        dial_host: Opens the channel to the host at an address, as host:port.
    """

    __slots__ = ("_dial_host", "_members", "_probed")

    def __init__(
        self,
        *,
        known_members: members.Members,
        dial_host: hold_questions.DialHost,
    ):
        self._members = known_members
        self._dial_host = dial_host
        self._probed: set[str] = set()

    def check(
        self, group: abc.TaskGroup, cell: str, claim: claims.Claim | None
    ) -> None:
        """Start to probe the holder of a cell of this zone if it is silent.

        Args:
            group: Runs the task.
            cell: Name of the cell.
            claim: Its newest known claim; None if there is none.
        """
        if claim is None or claim.row.holder in ("", self._members.name):
            return
        if tables.zone_of_cell(cell) != self._members.zone:
            return
        host, address = claim.row.holder, self._members.find_address(claim)
        if not address or host in self._probed:
            return
        if self._members.silence_s(host) > PROBE_SILENCE_S:
            self._probed.add(host)
            group.start_soon(self._probe, claim, address)

    async def _probe(self, claim: claims.Claim, address: str) -> None:
        try:
            await self._connect(claim, address)
            await anyio.sleep(PROBE_PAUSE_S)
        finally:
            self._probed.discard(claim.row.holder)

    async def _connect(self, claim: claims.Claim, address: str) -> None:
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                async with self._dial_host(bounds.check_address(address)):
                    pass
        except errors.LinkRefusedError:
            self._members.record_refusal(claim)
            _LOG.log(
                job_events.HOLDER_ENDED,
                cell=claim.cell,
                holder=claim.row.holder,
                silent_s=round(self._members.silence_s(claim.row.holder), 3),
            )
        except errors.LinkError:
            # It proves nothing; the host is probed again.
            pass
