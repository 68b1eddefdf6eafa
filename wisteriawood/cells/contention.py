"""Selection of the filler jobs to complete when capacity is insufficient.

If fillers arrive faster than they get done, not all of their jobs can meet
their objective. Working on all of them makes each one late. The selection
keeps those jobs that can still be completed in time, by due time, and drops
the job with the least value for its remaining work whenever the kept ones
would not fit (Moore and Hodgson's rule, with values).
"""

import heapq
import math
import typing

from wisteriawood.cells import interference_models
from wisteriawood.cells import progress
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks

# Multiple of its objective after which the result of a job has no value.
NO_VALUE_FACTOR = 3.0
# Value of a late result, as a share of its value in time.
LATE_VALUE_SHARE = 0.2
# Value of a job for itself, as a multiple of the mean work of a job. The rest
# of its value is its work; without that, large jobs would always be dropped.
VALUE_PER_JOB = 0.43
# Remaining share of the work of a task that runs; reports don't show more.
RUNNING_WORK_SHARE = 0.5
# Cost of a filler's CPU by the load that it adds to serving tasks, relative to
# its use of CPU: at a weight of 0.5 both are equally scarce.
COST_PER_WEIGHT = 2.0
# Time for which the cost factor of an image is kept; weights change slowly.
COST_LIFETIME_S = 1.0
# Most work of a plausible job, in millicore-seconds: a billion core-seconds.
MAX_WORK = 1e12

# Classes of jobs in the order of starts. They compare to the ranks of
# placers.start_order: on time, late, without value.
KEPT = 1
DEFERRED = 2
WORTHLESS = 3


class Demand:
    """What a waiting filler job still needs, and until when.

    Args:
        id: Id of the job.
        priority: Priority of its queue; 0 is the highest.
        work: Remaining work in millicore-seconds, times its cost factor.
        total_work: All work of the job in millicore-seconds.
        due_s: Monotonic time until which it meets its objective.
        late_due_s: Monotonic time from which its result has no value.
        shortest_s: Shortest time in which it can be completed.
        tail_s: Run time of its last tasks.
    """

    __slots__ = (
        "due_s",
        "id",
        "late_due_s",
        "priority",
        "shortest_s",
        "tail_s",
        "total_work",
        "work",
    )

    def __init__(
        self,
        *,
        id: str,
        priority: int,
        work: float,
        total_work: float,
        due_s: float,
        late_due_s: float,
        shortest_s: float,
        tail_s: float,
    ):
        self.id = id
        self.priority = priority
        self.work = work
        self.total_work = total_work
        self.due_s = due_s
        self.late_due_s = late_due_s
        self.shortest_s = shortest_s
        self.tail_s = tail_s

    def rank(self, now_s: float) -> tuple[int, float]:
        """Return the class and sort key of the job if nothing else waits.

        Args:
            now_s: Monotonic time.
        """
        for due_s in (self.due_s, self.late_due_s):
            if now_s + self.shortest_s <= due_s:
                return KEPT, due_s
        return WORTHLESS, self.due_s


class Plan:
    """The selected jobs.

    Args:
        rate: Work that fillers get done per second, in millicores, times the
            cost factors.
        made_at_s: Monotonic time of the selection.

    Attributes:
        ranks: Class and sort key of each job, by job id; lower is first.
        kept_count: Number of jobs that can be completed in time.
        deferred_count: Number of jobs that come after the kept ones.
    """

    __slots__ = ("deferred_count", "kept_count", "made_at_s", "ranks", "rate")

    def __init__(self, *, rate: float, made_at_s: float):
        self.rate = rate
        self.made_at_s = made_at_s
        self.ranks: dict[str, tuple[int, float]] = {}
        self.kept_count = 0
        self.deferred_count = 0

    def keep(self, job_id: str, due_s: float) -> None:
        """Record a job that can be completed until a time."""
        self.ranks[job_id] = (KEPT, due_s)
        self.kept_count += 1

    def defer(self, job_id: str, value_per_work: float) -> None:
        """Record a job that comes after the kept ones."""
        self.ranks[job_id] = (DEFERRED, -value_per_work)
        self.deferred_count += 1


class _Selection:
    """Selects the jobs to keep; each is considered at most twice."""

    __slots__ = ("_kept", "_mean_work", "_pending", "_plan", "_work")

    def __init__(self, *, plan: Plan, mean_work: float):
        self._plan = plan
        self._mean_work = mean_work
        self._work = 0.0
        # Jobs to consider, by priority and due time.
        self._pending: list[tuple[int, float, str, bool, Demand]] = []
        # Kept jobs; the one to drop next is the first.
        self._kept: list[tuple[int, float, str, float, bool, Demand]] = []

    def add(self, demand: Demand, *, is_late: bool = False) -> None:
        """Consider a job, or defer it if it can't be completed in time."""
        due_s = demand.late_due_s if is_late else demand.due_s
        now_s = self._plan.made_at_s
        if now_s + demand.shortest_s > due_s:
            if is_late:
                self._plan.ranks[demand.id] = (WORTHLESS, demand.due_s)
            else:
                self.add(demand, is_late=True)
        elif self._ends_at_s(demand, demand.work) > due_s:
            # Dropping others would not help.
            self._drop(demand, is_late)
        else:
            heapq.heappush(
                self._pending,
                (demand.priority, due_s, demand.id, is_late, demand),
            )

    def run(self) -> None:
        """Select among the jobs that were added."""
        while self._pending:
            priority, due_s, job_id, is_late, demand = heapq.heappop(
                self._pending
            )
            value = self._value_per_work(demand, is_late)
            heapq.heappush(
                self._kept,
                (-priority, value, job_id, due_s, is_late, demand),
            )
            self._work += demand.work
            dropped = None
            while (
                dropped is not demand
                and self._ends_at_s(demand, self._work) > due_s
            ):
                *_order, was_late, dropped = heapq.heappop(self._kept)
                self._work -= dropped.work
                self._drop(dropped, was_late)
        for _priority, _value, job_id, due_s, _is_late, _demand in self._kept:
            self._plan.keep(job_id, due_s)

    def _drop(self, demand: Demand, is_late: bool) -> None:
        if is_late:
            self._plan.defer(demand.id, self._value_per_work(demand, True))
        else:
            self.add(demand, is_late=True)

    def _ends_at_s(self, demand: Demand, work: float) -> float:
        """Return when a job ends that is the last of some work."""
        # Its last tasks take at most as long as the job can take.
        tail_s = min(demand.tail_s, demand.shortest_s)
        return self._plan.made_at_s + work / self._plan.rate + tail_s

    def _value_per_work(self, demand: Demand, is_late: bool) -> float:
        value = demand.total_work + VALUE_PER_JOB * self._mean_work
        if is_late:
            value *= LATE_VALUE_SHARE
        return value / max(1.0, demand.work)


def make_plan(
    demands: typing.Sequence[Demand], *, rate: float, now_s: float
) -> Plan | None:
    """Return which jobs to complete at a rate.

    Jobs of a higher priority are never dropped for those of a lower one.

    Args:
        demands: The waiting filler jobs.
        rate: Work that fillers get done per second, in millicores, times the
            cost factors.
        now_s: Monotonic time.

    Returns:
        The plan; None if the rate is unknown, as no filler runs.
    """
    if not 0.0 < rate < math.inf:
        return None
    plan = Plan(rate=rate, made_at_s=now_s)
    if demands:
        mean_work = sum(d.total_work for d in demands) / len(demands)
        selection = _Selection(plan=plan, mean_work=mean_work)
        for demand in demands:
            selection.add(demand)
        selection.run()
    return plan


def find_demand(job: jobs.Job, cost_factor: float = 1.0) -> Demand | None:
    """Return what a job still needs.

    Args:
        job: The job.
        cost_factor: Cost factor of its image.

    Returns:
        The demand; None if the job is none of fillers or its figures don't
        allow a plan, as they are missing or implausible.
    """
    spec = job.spec
    if job.is_standing() or spec.is_timed():
        return None
    if not all(step.is_filler for step in spec.steps):
        return None
    total_work = specs.filler_millicore_s(spec)
    if not (0 < total_work <= MAX_WORK and 0 < job.objective_s < math.inf):
        return None
    work = cost_factor * _remaining_work(job)
    if not 0 <= work < math.inf:
        return None
    return Demand(
        id=job.id,
        priority=spec.queue.priority,
        work=work,
        total_work=total_work,
        due_s=job.accepted_at_s + job.objective_s,
        late_due_s=job.accepted_at_s + NO_VALUE_FACTOR * job.objective_s,
        shortest_s=progress.remaining_s(job),
        tail_s=max(step.expected_run_ms for step in spec.steps) / 1000,
    )


def _remaining_work(job: jobs.Job) -> float:
    """Return the remaining work of a job in millicore-seconds."""
    work = 0.0
    for steps in job.occurrences.values():
        for step, step_tasks in zip(job.spec.steps, steps):
            phases = [task.phase for task in step_tasks]
            left = phases.count(tasks.Phase.WAITING)
            left += RUNNING_WORK_SHARE * phases.count(tasks.Phase.ASSIGNED)
            work += left * specs.step_millicore_s(step)
    return work


class CostFactors:
    """Cost of the CPU of filler images, by the scarcer resource.

    A filler needs CPU and adds load to serving tasks. Many fillers that add
    little load fit into the room of one that adds much.

    Args:
        model: Estimates of the load that fillers add to serving tasks.
    """

    __slots__ = ("_cached", "_cached_at_s", "_model")

    def __init__(self, *, model: interference_models.InterferenceModel):
        self._model = model
        self._cached: dict[str, float] = {}
        self._cached_at_s = -math.inf

    def find(self, image: str, now_s: float) -> float:
        """Return the factor of an image, at least 1.

        Args:
            image: The image.
            now_s: Monotonic time.
        """
        if now_s - self._cached_at_s > COST_LIFETIME_S:
            self._cached.clear()
            self._cached_at_s = now_s
        factor = self._cached.get(image)
        if factor is None:
            weight = self._model.mean_conservative_weight(image)
            factor = max(1.0, COST_PER_WEIGHT * weight)
            self._cached[image] = factor
        return factor

    def filler_rate(
        self, fleet: typing.Iterable[workers.Worker], now_s: float
    ) -> float:
        """Return the work that the running fillers get done per second.

        Args:
            fleet: Workers that may get new runs.
            now_s: Monotonic time.
        """
        return sum(
            run.step.cpu_millicores
            * (run.pace_percent / 100)
            * self.find(run.step.image, now_s)
            for worker in fleet
            for run in worker.runs.values()
            if run.step.is_filler
        )
