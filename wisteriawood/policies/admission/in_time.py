"""Admission of the jobs that can be done in time."""

from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base

# Share of a cell's processor that standing jobs leave to jobs that end.
RESERVE_SHARE = 0.15
# Time after which a standing job may find room; cancels make it.
STANDING_RETRY_S = 5.0
# Share of its processor that a cell's fillers get at least, while nothing
# is known of their rate.
LEAST_RATE_SHARE = 0.35
# A filler job is refused when it would take this multiple of its
# objective; a result is of no use after that.
LATEST_X = 3.0
# Returns are spread over this time, by the ids of the jobs.
SPREAD_S = 2.0


@base.POLICIES.register(base.DEFAULT)
class InTime:
    """Refuses what would be late, and keeps room for jobs that end.

    What a full cell takes in beyond its rate makes all later jobs late,
    so each is refused at once instead.
    """

    __slots__ = ()

    def check(
        self, spec: specs.JobSpec, view: base.CellView
    ) -> base.Refusal | None:
        """Return why a job is refused; None if it is taken in."""
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
    wanted = sum(s.cpu_millicores * s.task_count for s in spec.steps)
    left = view.free_millicores - wanted
    if left >= RESERVE_SHARE * view.capacity_millicores:
        return None
    return base.Refusal(
        reason="no cell has room for a standing job of this size",
        retry_after_s=STANDING_RETRY_S + _spread_s(spec),
    )


def _check_filler(
    spec: specs.JobSpec, view: base.CellView
) -> base.Refusal | None:
    rate = max(
        view.rate_millicores, LEAST_RATE_SHARE * view.capacity_millicores
    )
    done_after_s = (
        view.backlog_millicore_s + specs.filler_millicore_s(spec)
    ) / rate
    late_s = done_after_s - LATEST_X * specs.objective_s(spec)
    if late_s <= 0:
        return None
    return base.Refusal(
        reason="the job would wait too long to be done in time",
        retry_after_s=late_s + _spread_s(spec),
    )


def _spread_s(spec: specs.JobSpec) -> float:
    return SPREAD_S * (sum(spec.id.encode()) % 100) / 100
