"""Decides whether a host should claim a cell that has no holder."""

import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import holders
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links import runners
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time without a heartbeat of the holder after which a host of another zone
# claims a cell. It exceeds HOST_SILENCE_S, so that hosts of the cell's own
# zone come first.
OTHER_ZONE_SILENCE_S = 4.5
# Time after its start for which a host leaves unclaimed cells of other
# zones to the hosts there.
OTHER_ZONE_START_DELAY_S = 3.0
# Time for which the workers of a cell in another zone must have been
# reachable before the cell is claimed.
OTHER_ZONE_REACHABLE_S = 1.2
# Time for which a free cell is left to a much stronger host of its zone, or to
# one that follows the directory of workers.
STRONGER_HOST_DELAY_S = 0.8
# Additional silence of the holder after which a plain host claims its cell:
# what its own rarer heartbeats take longer to show.
PLAIN_SILENCE_S = (
    members.PLAIN_HEARTBEAT_PERIOD_S - members.STANDBY_HEARTBEAT_PERIOD_S
)
# Additional delay before a claim for each cell that the host already holds.
DELAY_PER_HELD_CELL_S = 0.3
PROBE_TIMEOUT_S = 0.6
MAX_PROBED_WORKERS = 3

Fleet = dict[str, runners.Registration]


class Takeovers:
    """Decides for one host which free cells to claim.

    Args:
        known_members: The host's view of the other hosts and the claims.
        dial: Opens the link to a worker.
        workers_of: Returns the workers of a cell.
    """

    __slots__ = (
        "_dial",
        "_free_since_s",
        "_members",
        "_reachable_since_s",
        "_started_at_s",
        "_workers_of",
    )

    def __init__(
        self,
        *,
        known_members: members.Members,
        dial: holders.Dial,
        workers_of: typing.Callable[[str], Fleet],
    ):
        self._members = known_members
        self._dial = dial
        self._workers_of = workers_of
        self._started_at_s = anyio.current_time()
        self._free_since_s: dict[str, float] = {}
        self._reachable_since_s: dict[str, float] = {}

    async def should_claim(
        self, cell: str, previous: claims.Claim | None, cells_held: int
    ) -> bool:
        """Return whether a cell is free and this host should claim it.

        Args:
            cell: Name of the cell.
            previous: Its newest known claim, the one to replace; None if
                there is none.
            cells_held: Number of cells that this host holds.
        """
        extra_s = DELAY_PER_HELD_CELL_S * cells_held
        if self._members.is_plain():
            extra_s += PLAIN_SILENCE_S
        if tables.zone_of_cell(cell) == self._members.zone:
            silence_s = members.HOST_SILENCE_S + extra_s
            if previous is not None and not self._members.is_holder_gone(
                previous, silence_s
            ):
                self._free_since_s.pop(cell, None)
                return False
            return not self._waits_for_stronger_host(cell, cells_held)
        return await self._should_claim_in_other_zone(cell, previous, extra_s)

    def has_better_holder(self, cell: str, cells_held: int) -> bool:
        """Return whether another host should hold a cell of this host.

        Args:
            cell: Name of the cell.
            cells_held: Number of cells that this host holds, including
                this one.
        """
        zone = tables.zone_of_cell(cell)
        if zone == self._members.zone:
            return self._members.has_stronger_host(cells_held - 1)
        return bool(self._members.live_hosts(zone))

    def _waits_for_stronger_host(self, cell: str, cells_held: int) -> bool:
        """Return whether a free cell is left to another host for now."""
        standbys = self._members.standbys()
        is_other_ready = bool(standbys) and self._members.name not in standbys
        if not is_other_ready and not self._members.has_stronger_host(
            cells_held
        ):
            self._free_since_s.pop(cell, None)
            return False
        now_s = anyio.current_time()
        since_s = self._free_since_s.setdefault(cell, now_s)
        return now_s - since_s < STRONGER_HOST_DELAY_S

    async def _should_claim_in_other_zone(
        self, cell: str, previous: claims.Claim | None, extra_s: float
    ) -> bool:
        if not self._is_other_zone_cell_free(cell, previous, extra_s):
            self._reachable_since_s.pop(cell, None)
            return False
        if not await self._can_reach_worker(cell):
            self._reachable_since_s.pop(cell, None)
            return False
        # After a partition, the heartbeats of the zone's own hosts need time
        # to arrive.
        now_s = anyio.current_time()
        since_s = self._reachable_since_s.setdefault(cell, now_s)
        return now_s - since_s >= OTHER_ZONE_REACHABLE_S

    def _is_other_zone_cell_free(
        self, cell: str, previous: claims.Claim | None, extra_s: float
    ) -> bool:
        """Return whether a cell of another zone has no live holder or host."""
        age_s = anyio.current_time() - self._started_at_s
        if age_s < OTHER_ZONE_START_DELAY_S + extra_s:
            return False
        if previous is not None and not self._members.is_holder_gone(
            previous, OTHER_ZONE_SILENCE_S + extra_s
        ):
            return False
        if not self._workers_of(cell):
            return False
        return not self._members.live_hosts(tables.zone_of_cell(cell))

    async def _can_reach_worker(self, cell: str) -> bool:
        """Return whether a worker of a cell answers this host."""
        for worker in list(self._workers_of(cell).values())[
            :MAX_PROBED_WORKERS
        ]:
            link = self._dial(worker)
            try:
                with anyio.fail_after(PROBE_TIMEOUT_S):
                    await link.renew(
                        token=0, acknowledged=0, lease_until_ms=0, wait_ms=0
                    )
                return True
            except runners.FencedError:
                return True
            except (errors.LinkError, TimeoutError) as exc:
                _LOG.log(
                    job_events.PROBE_FAILED,
                    worker=worker.worker_id,
                    cause=repr(exc),
                )
            finally:
                await link.aclose()
        return False
