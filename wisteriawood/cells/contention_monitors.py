"""Reports of a cell's contention: one event when it begins or ends."""

import typing

import anyio

from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 0.5
# Time for which jobs must be deferred, or none, before that is logged; a burst
# defers some until its first tasks run.
CHANGE_DELAY_S = 2.0
# Age from which a plan no longer counts: there are passes only while work
# waits.
MAX_PLAN_AGE_S = 1.0


class ContentionMonitor:
    """Logs and counts the filler jobs that a cell defers.

    It only reads the state of the cell.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_changing_since_s", "_is_contended")

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        self._is_contended = False
        self._changing_since_s: float | None = None

    async def run(self) -> None:
        """Check the plan until cancelled."""
        try:
            while True:
                self.check(anyio.current_time())
                await anyio.sleep(CHECK_PERIOD_S)
        finally:
            self._cell.counters.jobs_deferred.remove(self._cell.name)

    def check(self, now_s: float) -> None:
        """Count the deferred jobs, and log a change of state.

        Args:
            now_s: Monotonic time.
        """
        ordering = self._cell.placer.ordering
        plan = ordering.plan if ordering else None
        if plan is not None and now_s - plan.made_at_s > MAX_PLAN_AGE_S:
            plan = None
        deferred = plan.deferred_count if plan else 0
        self._cell.counters.jobs_deferred.labels(cell=self._cell.name).set(
            deferred
        )
        if (deferred > 0) == self._is_contended:
            self._changing_since_s = None
            return
        if self._changing_since_s is None:
            self._changing_since_s = now_s
        if now_s - self._changing_since_s < CHANGE_DELAY_S:
            return
        self._changing_since_s = None
        self._is_contended = deferred > 0
        if not plan or not deferred:
            _LOG.log(job_events.CONTENTION_ENDED, cell=self._cell.name)
            return
        _LOG.log(
            job_events.CONTENTION_BEGUN,
            cell=self._cell.name,
            jobs=len(plan.ranks),
            kept=plan.kept_count,
            deferred=deferred,
            rate_cores=round(plan.rate / 1000, 1),
        )
