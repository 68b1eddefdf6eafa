"""Admission of the jobs that can complete in time."""

from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base

# Share of a cell's CPU that standing (long-running) jobs leave free for jobs
# that end.
RESERVE_SHARE = 0.15
# Time after which to retry a refused standing job; capacity is freed only when
# others are cancelled.
STANDING_RETRY_S = 5.0
# Lower bound of the CPU that the fillers of a cell are assumed to get, as a
# share of its capacity; applies also while no rate has been reported.
MIN_RATE_SHARE = 0.35
# A filler job is refused if it would take more than this multiple of its
# objective; its result would have no value by then.
MAX_OBJECTIVE_FACTOR = 3.0


@base.ADMISSION.register(base.DEFAULT)
class InTime:
    """Refuses fillers that would be late, and reserves CPU for jobs that end.

    If a full cell accepted more work than it completes, all later jobs would
    be late too. Jobs that would be late are therefore refused at once.
    """

    __slots__ = ()

    def check(
        self, spec: specs.JobSpec, view: base.CellView
    ) -> base.Refusal | None:
        """Return why a job is refused, or None to accept it."""
        if spec.is_timed():
            return None
        if any(step.is_standing for step in spec.steps):
            return _check_standing(spec, view)
        if any(step.is_filler for step in spec.steps):
            return _check_filler(spec, view)
        return None


def _check_standing(
    spec: specs.JobSpec, view: base.CellView
) -> base.Refusal | None:
    requested = sum(s.cpu_millicores * s.task_count for s in spec.steps)
    remaining = view.free_millicores - requested
    if remaining >= RESERVE_SHARE * view.capacity_millicores:
        return None
    return base.Refusal(
        reason="no cell has room for a standing job of this size",
        retry_after_s=STANDING_RETRY_S + base.retry_spread_s(spec),
    )


def _check_filler(
    spec: specs.JobSpec, view: base.CellView
) -> base.Refusal | None:
    rate = max(view.rate_millicores, MIN_RATE_SHARE * view.capacity_millicores)
    completes_after_s = (
        view.backlog_millicore_s + specs.filler_millicore_s(spec)
    ) / rate
    late_s = completes_after_s - MAX_OBJECTIVE_FACTOR * specs.objective_s(spec)
    if late_s <= 0:
        return None
    return base.Refusal(
        reason="the job would wait too long to be done in time",
        retry_after_s=late_s + base.retry_spread_s(spec),
    )
