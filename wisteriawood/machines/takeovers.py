"""Whether a host should claim a cell that has no holder."""

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
# Silence after which hosts of other zones take a cell over; those of its
# own zone come first.
FAR_SILENCE_S = 4.5
# Time after its start in which a host leaves unclaimed cells of other
# zones to their own hosts.
FAR_START_S = 3.0
# Time for which the workers of a far cell must have been reached.
FAR_REACH_S = 1.2
# Time for which a free cell is left to a much stronger host of the zone.
STRONGER_PATIENCE_S = 0.8
# Time by which a host that holds cells waits longer before it claims
# another, for each cell held.
HELD_DELAY_S = 0.3
PROBE_TIMEOUT_S = 0.6
PROBES = 3

Fleet = dict[str, runners.Registration]


class Takeovers:
    """Judges free cells for one host.

    Args:
        known: What the host knows of the others.
        dial: Opens the link to a worker.
        fleet_of: Returns the workers of a cell.
    """

    __slots__ = (
        "_dial",
        "_fleet_of",
        "_free_since_s",
        "_known",
        "_reached_at_s",
        "_started_at_s",
    )

    def __init__(
        self,
        *,
        known: members.Members,
        dial: holders.Dial,
        fleet_of: typing.Callable[[str], Fleet],
    ):
        self._known = known
        self._dial = dial
        self._fleet_of = fleet_of
        self._started_at_s = anyio.current_time()
        self._free_since_s: dict[str, float] = {}
        self._reached_at_s: dict[str, float] = {}

    async def should_claim(self, cell: str, cells_held: int) -> bool:
        """Tell whether a cell is free and this host should have it.

        Args:
            cell: Name of the cell.
            cells_held: Cells that this host holds.
        """
        before = self._known.claims.get(cell)
        extra_s = HELD_DELAY_S * cells_held
        if tables.zone_of_cell(cell) == self._known.zone:
            silence_s = members.SILENCE_S + extra_s
            if before is not None and not self._known.is_holder_gone(
                before, silence_s
            ):
                self._free_since_s.pop(cell, None)
                return False
            return not self._leaves_to_stronger(cell, cells_held)
        return await self._should_claim_far(cell, before, extra_s)

    def has_better_holder(self, cell: str, cells_held: int) -> bool:
        """Tell whether another host should work for a held cell.

        Args:
            cell: Name of the cell.
            cells_held: Cells that this host holds, this one among them.
        """
        zone = tables.zone_of_cell(cell)
        if zone == self._known.zone:
            return self._known.has_stronger(cells_held - 1)
        return bool(self._known.lively_hosts(zone))

    def _leaves_to_stronger(self, cell: str, cells_held: int) -> bool:
        """Tell whether a free cell is left to a stronger host for now."""
        if not self._known.has_stronger(cells_held):
            self._free_since_s.pop(cell, None)
            return False
        now_s = anyio.current_time()
        since_s = self._free_since_s.setdefault(cell, now_s)
        return now_s - since_s < STRONGER_PATIENCE_S

    async def _should_claim_far(
        self, cell: str, before: claims.Claim | None, extra_s: float
    ) -> bool:
        if not self._is_far_cell_free(cell, before, extra_s):
            self._reached_at_s.pop(cell, None)
            return False
        if not await self._reaches(cell):
            self._reached_at_s.pop(cell, None)
            return False
        # A zone that was cut off gets time to show that its own hosts live.
        now_s = anyio.current_time()
        first_s = self._reached_at_s.setdefault(cell, now_s)
        return now_s - first_s >= FAR_REACH_S

    def _is_far_cell_free(
        self, cell: str, before: claims.Claim | None, extra_s: float
    ) -> bool:
        """Tell whether a cell of another zone has no holder at all."""
        age_s = anyio.current_time() - self._started_at_s
        if age_s < FAR_START_S + extra_s or not self._fleet_of(cell):
            return False
        if self._known.lively_hosts(tables.zone_of_cell(cell)):
            return False
        return before is None or self._known.is_holder_gone(
            before, FAR_SILENCE_S + extra_s
        )

    async def _reaches(self, cell: str) -> bool:
        """Tell whether a worker of a cell answers this host."""
        for found in list(self._fleet_of(cell).values())[:PROBES]:
            link = self._dial(found)
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
                    worker=found.worker_id,
                    cause=repr(exc),
                )
            finally:
                await link.aclose()
        return False
