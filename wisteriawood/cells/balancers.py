"""Distribution of new jobs over the cells of a service."""

import hashlib
import math
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base

# Time until heartbeats include a job that this host has sent to a cell.
SENT_JOB_REPORT_DELAY_S = 1.6
# Part of each cell's weight that does not depend on its free capacity, so that
# full cells have a weight above 0.
MIN_CELL_WEIGHT = 0.001
# The other part of a cell's weight is the free share of its capacity, raised
# to this power.
FREE_SHARE_EXPONENT = 2


class Balancer:
    """Chooses cells for the jobs that one entry host accepts.

    Heartbeats report the free capacity of a cell late, so the jobs that this
    host has sent since then are subtracted. Jobs from other hosts are not
    known: if all hosts chose the cell with most free capacity, it would be
    full before a heartbeat reports it. The cell is therefore drawn by a hash
    of the job id, with weights that grow with the free capacity.
    """

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent: list[tuple[float, str, specs.JobSpec]] = []

    def choose(
        self,
        cells: list[str],
        loads: dict[str, claims.CellLoad],
        spec: specs.JobSpec,
        hosts: int = 1,
        share_of: typing.Callable[[str], float] = lambda _cell: 1.0,
    ) -> tuple[str, base.CellView]:
        """Return the cell for a job, and its expected load.

        Args:
            cells: Cells to choose from, the preferred one first.
            loads: Load that the cells' holders last reported, by cell.
            spec: The job.
            hosts: Number of entry hosts that accept jobs, this one included.
            share_of: Returns the share of its weight that a cell gets, above
                0; less than 1 for some time after a drain of its zone.
        """
        now_s = anyio.current_time()
        self._sent = [
            sent
            for sent in self._sent
            if now_s - sent[0] < SENT_JOB_REPORT_DELAY_S
        ]
        views = {cell: self._view(cell, loads[cell], hosts) for cell in cells}
        reserved, fillers = _peak_demand(spec)

        def _free_share(cell: str) -> float:
            view = views[cell]
            if reserved >= fillers:
                left = view.free_millicores - reserved
            else:
                left = view.left_millicores - fillers
            return left / view.capacity_millicores

        def _draw_key(cell: str) -> float:
            """Return a sort key; the lowest one is a weighted random draw."""
            weight = (
                max(_free_share(cell), 0.0) ** FREE_SHARE_EXPONENT
                + MIN_CELL_WEIGHT
            )
            weight *= share_of(cell)
            return -math.log(_hash_fraction(cell, spec.id)) / weight

        if max(map(_free_share, cells)) <= 0:
            best = max(cells, key=_free_share)
        else:
            best = min(cells, key=_draw_key)
        return best, views[best]

    def record_sent(self, cell: str, spec: specs.JobSpec) -> None:
        """Count a job against its cell until heartbeats include it.

        Args:
            cell: The cell.
            spec: The job.
        """
        self._sent.append((anyio.current_time(), cell, spec))

    def _view(
        self, cell: str, load: claims.CellLoad, hosts: int
    ) -> base.CellView:
        view = base.CellView(
            capacity_millicores=max(1, load.capacity_millicores),
            free_millicores=load.free_millicores,
            left_millicores=load.left_millicores,
            backlog_millicore_s=load.backlog_millicore_s,
            rate_millicores=load.rate_millicores,
        )
        for _at_s, to, spec in self._sent:
            if to == cell:
                reserved, fillers = _peak_demand(spec)
                if any(step.is_standing for step in spec.steps):
                    # Callers are spread over the hosts, so each other host
                    # has probably sent as many jobs, and standing tasks
                    # keep their CPU for long.
                    reserved *= hosts
                view.free_millicores -= reserved
                view.left_millicores -= reserved + fillers
                view.backlog_millicore_s += specs.filler_millicore_s(spec)
        return view


def _hash_fraction(cell: str, job_id: str) -> float:
    """Return a hash above 0 and up to 1 that is the same on all hosts."""
    data = f"{cell}/{job_id}".encode()
    digest = hashlib.blake2b(data, digest_size=4).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**32


def _peak_demand(spec: specs.JobSpec) -> tuple[int, int]:
    """Return the highest CPU request of a job's steps, in millicores.

    Returns:
        The highest of the steps that reserve CPU, and of the filler steps.
    """
    reserved = fillers = 0
    for step in spec.steps:
        wanted = step.cpu_millicores * step.task_count
        if step.is_filler:
            fillers = max(fillers, wanted)
        else:
            reserved = max(reserved, wanted)
    return reserved, fillers
