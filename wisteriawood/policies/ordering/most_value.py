"""Ordering by value for remaining work when not all fillers can be in time."""

import typing

from wisteriawood.cells import contention
from wisteriawood.cells import interference_models
from wisteriawood.cells import placers
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.policies.ordering import base

# Least time between two plans if many jobs wait; a host may have only 0.3 of a
# core. With fewer jobs each pass has its own plan: a deferred job whose next
# tasks become ready between two plans would start before kept ones.
PLAN_PERIOD_S = 0.25
MAX_JOBS_FOR_EACH_PASS = 200


@base.ORDERING.register(base.DEFAULT)
class MostValue:
    """Completes the filler jobs that can still be in time, by due time.

    The others are deferred behind them, those with the most value for their
    remaining work first. Jobs of other tasks keep their order.

    Args:
        model: Estimates of the load that fillers add to serving tasks.
    """

    __slots__ = ("_costs", "plan")

    def __init__(self, *, model: interference_models.InterferenceModel):
        self._costs = contention.CostFactors(model=model)
        self.plan: contention.Plan | None = None

    def prepare(
        self,
        waiting: typing.Iterable[jobs.Job],
        usable: typing.Iterable[workers.Worker],
        now_s: float,
    ) -> None:
        """Make a new plan, unless there are many jobs and it is recent."""
        waiting = list(waiting)
        plan = self.plan
        if len(waiting) > MAX_JOBS_FOR_EACH_PASS and plan is not None:
            if now_s - plan.made_at_s < PLAN_PERIOD_S:
                return
        # Without a plan, after an error too, all jobs are ordered by due time.
        self.plan = None
        rate = self._costs.filler_rate(usable, now_s)
        if not rate:
            return
        demands = []
        for job in waiting:
            cost = self._costs.find(job.spec.steps[0].image, now_s)
            demand = contention.find_demand(job, cost)
            if demand is not None:
                demands.append(demand)
        self.plan = contention.make_plan(demands, rate=rate, now_s=now_s)

    def sort_key(self, job: jobs.Job, now_s: float) -> tuple:
        """Return the sort key of a job; lower is first."""
        if self.plan is None:
            return placers.start_order(job, now_s)
        rank = self.plan.ranks.get(job.id)
        if rank is None:
            # Not in the plan: no filler, odd figures, or newer than the plan.
            demand = contention.find_demand(job)
            if demand is None:
                return placers.start_order(job, now_s)
            rank = demand.rank(now_s)
        return (rank[0], job.spec.queue.priority, rank[1], job.id)
