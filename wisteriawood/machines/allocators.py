"""Allocator that decides which waiting task starts on which worker."""

import dataclasses
import random
import typing

from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.machines import evictions
from wisteriawood.machines import indexes
from wisteriawood.machines import probations
from wisteriawood.machines import queues
from wisteriawood.machines import slow_starts
from wisteriawood.machines import workers
from wisteriawood.policies import eviction as eviction_policies
from wisteriawood.policies.eviction import base as eviction_base
from wisteriawood.policies import interference
from wisteriawood.policies import placement as placement_policies
from wisteriawood.policies.placement import base as placement_base
from wisteriawood.policies import registry
from wisteriawood.policies import sizes

# Waiting time after which a worker is reserved for a task if no worker has
# enough free capacity for it.
RESERVE_WORKER_AFTER_S = 30.0
# Time after which a reservation ends and the worker accepts other tasks.
RESERVATION_TIMEOUT_S = 300.0
# Largest share of the workers that may be reserved, at least one worker.
MAX_RESERVED_SHARE = 0.1
# Waiting time after which jobs of teams above their fair share are evicted
# for a task of a team below its own.
RECLAIM_SHARE_AFTER_S = 10.0
MAX_RECLAIMS_PER_ROUND = 4
# Maximum number of placement failures that a round caches for each class,
# and for insufficient capacity.
MAX_CACHED_FAILURES = 16
# Waiting time after which a job that would slow its neighbours too much on
# every worker starts throttled, and the share of its resources it starts with.
START_THROTTLED_AFTER_S = 60.0
THROTTLED_START_SHARE = 0.25


@dataclasses.dataclass(slots=True, kw_only=True)
class Start:
    """The decision to start a task on a worker.

    Attributes:
        worker: The worker; the task's resources are already allocated on it.
        placement: The placement to commit.
    """

    worker: workers.Worker
    placement: workers.Placement


@dataclasses.dataclass(slots=True, kw_only=True)
class PlacementFailure:
    """Resource needs for which no worker was found in this round.

    Attributes:
        needs: The needs; larger needs are not tried again in the round.
        reason: Why no worker was found.
        lacks_capacity: Whether too few resources were free.
    """

    needs: resources.Resources
    reason: str
    lacks_capacity: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerChoice:
    """The worker on which a task can start.

    Attributes:
        entry: The worker's entry in the index.
        share: Share of its resources that the task starts with, 0 to 1.
    """

    entry: indexes.IndexEntry
    share: float


class Allocator:
    """Places the tasks of one scheduler, without any I/O.

    Args:
        rng: Source of random numbers.
        placement: Name of the placement policy.
        eviction: Name of the eviction policy.
        team_quotas: Quotas of the teams.
        estimates: Predicts slowdowns.
        size_estimator: Predicts the resource use of tasks from past reports.
    """

    __slots__ = (
        "_cached_failures",
        "_reclaim_count",
        "estimates",
        "evictions",
        "index",
        "placement",
        "probations",
        "queue",
        "quotas",
        "sizes",
        "slow_starts",
        "zone_capacity",
    )

    def __init__(
        self,
        *,
        rng: random.Random,
        placement: str = placement_base.DEFAULT,
        eviction: str = eviction_base.DEFAULT,
        team_quotas: quotas.Quotas | None = None,
        estimates: interference.Estimates | None = None,
        size_estimator: sizes.SizeEstimator | None = None,
    ):
        registry.load_modules(placement_policies)
        registry.load_modules(eviction_policies)
        self.quotas = quotas.Quotas() if team_quotas is None else team_quotas
        if estimates is None:
            estimates = interference.PairEstimates()
        self.estimates = estimates
        self.sizes = (
            sizes.SizeEstimator() if size_estimator is None else size_estimator
        )
        self.slow_starts = slow_starts.SlowStart(size_estimator=self.sizes)
        self.index = indexes.WorkerIndex(rng=rng)
        self.queue = queues.PendingQueue()
        self.probations = probations.Probations()
        self.placement = placement_base.PLACEMENT.get(placement)(
            rng=rng, estimates=self.estimates, team_quotas=self.quotas
        )
        self.evictions = evictions.Evictions(
            index=self.index,
            team_quotas=self.quotas,
            policy=eviction_base.EVICTION.get(eviction)(
                rng=rng, team_quotas=self.quotas
            ),
        )
        # Failures by class. Those for lack of capacity are stored under ""
        # and apply to all classes.
        self._cached_failures: dict[str, list[PlacementFailure]] = {}
        self._reclaim_count = 0
        self.zone_capacity = resources.NOTHING

    def refresh(
        self, held: typing.Iterable[workers.Worker], *, now_s: float
    ) -> None:
        """Update the index of workers, once before each round.

        Args:
            held: All workers of the racks that the scheduler holds.
            now_s: Monotonic time in seconds.
        """
        self.index.refresh(held, now_s=now_s)
        for name in self.probations.workers_with_failures():
            entry = self.index.entries.get(name)
            if entry is not None:
                entry.is_blocked = self.probations.is_on_probation(name, now_s)
                self.index.update(entry.worker, now_s=now_s)

    def place(self, *, now_s: float) -> list[Start]:
        """Place as many queued tasks as possible, in one round.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The decisions; their tasks are no longer in the queue.
        """
        self._cached_failures = {}
        self._reclaim_count = 0
        self.evictions.expire_orders(now_s=now_s)
        starts: list[Start] = []
        for waiting in self.queue.urgent():
            if not self._try_to_start(waiting, starts, now_s):
                self._evict_for(waiting, now_s)
        for waiting in self.queue.by_share(self._weighted_share):
            if not self._try_to_start(waiting, starts, now_s):
                self._reclaim_or_reserve(waiting, now_s)
        return starts

    def withdraw(self, task: str) -> None:
        """Remove a task from the queue, for example after a cancellation.

        Args:
            task: Id of the task.
        """
        waiting = self.queue.discard(task)
        if waiting is not None and waiting.reserved_worker:
            self.index.reserve(waiting.reserved_worker, "")

    def forget_except(self, placed: set[str]) -> None:
        """Discard the state of tasks that are no longer on a worker.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        self.evictions.forget_except(placed)
        self.slow_starts.forget_except(placed)

    def predict_needs(self, spec: tasks.TaskSpec) -> resources.Resources:
        """Return the resources to allocate for a task.

        Args:
            spec: The task.
        """
        return self.sizes.predict(indexes.class_of(spec), spec.needs)

    def _weighted_share(self, team: str) -> float:
        return self.index.team_share(team) / self.quotas.of(team).weight

    def _try_to_start(
        self, waiting: queues.PendingTask, starts: list[Start], now_s: float
    ) -> bool:
        spec = waiting.task.spec
        if now_s - waiting.since_s < waiting.min_wait_s:
            waiting.reason = "another scheduler of the zone comes first"
            return False
        needs = self.predict_needs(spec)
        if not self._is_within_limit(spec.team, needs):
            waiting.lacks_capacity = False
            waiting.reason = f"team {spec.team} is at the limit of its quota"
            return False
        if not self.slow_starts.may_start(spec, now_s=now_s):
            waiting.lacks_capacity = False
            waiting.reason = "the first tasks of its class are being measured"
            return False
        choice = self._find_worker(waiting, needs, now_s)
        if choice is None:
            return False
        self._start(waiting, choice, needs, starts, now_s)
        return True

    def _is_within_limit(self, team: str, needs: resources.Resources) -> bool:
        """Return whether more resources stay within a team's limit.

        The limit is divided between the schedulers of the zone in proportion
        to the capacity of their workers. A team that uses no cores may start
        one task above its part if the task fits in the whole limit.
        """
        limit = self.quotas.of(team).limit
        if limit is None:
            return True
        if not needs.fits(limit):
            return False
        part = indexes.dominant_share(self.index.capacity, self.zone_capacity)
        part = min(1.0, part or 1.0)
        used = self.index.team_used.get(team, resources.NOTHING)
        total = used + needs
        return used.cores < 1e-6 or (
            total.cores <= limit.cores * part
            and total.memory_bytes <= limit.memory_bytes * part
            and total.accelerators <= limit.accelerators * part
        )

    def _find_worker(
        self,
        waiting: queues.PendingTask,
        needs: resources.Resources,
        now_s: float,
    ) -> WorkerChoice | None:
        spec = waiting.task.spec
        waiting.lacks_capacity = False
        reserved = self._reserved_entry(waiting, now_s)
        if reserved is None:
            failure = self._find_cached_failure(spec, needs)
            if failure is not None:
                waiting.reason = failure.reason
                waiting.lacks_capacity = failure.lacks_capacity
                return None
        elif not needs.fits(reserved.worker.free):
            waiting.reason = (
                f"waits for room on worker {waiting.reserved_worker}"
            )
            return None
        request = placement_base.Request(
            spec=spec,
            needs=needs,
            candidates=None if reserved is None else [reserved],
            avoid=self._workers_to_avoid(waiting),
            now_s=now_s,
            waited_s=now_s - waiting.since_s,
        )
        try:
            return self._choose_worker(request)
        except placement_base.InsufficientCapacityError as exc:
            waiting.lacks_capacity = True
            self._cache_failure(
                "", PlacementFailure(needs=needs, reason=str(exc))
            )
            waiting.reason = str(exc)
        except placement_base.HarmError as exc:
            failure = PlacementFailure(
                needs=needs, reason=str(exc), lacks_capacity=False
            )
            self._cache_failure(indexes.class_of(spec), failure)
            waiting.reason = str(exc)
            self._release_reservation(waiting)
        return None

    def _choose_worker(self, request: placement_base.Request) -> WorkerChoice:
        try:
            entry = self.placement.choose(request, self.index)
        except placement_base.HarmError:
            if request.waited_s < START_THROTTLED_AFTER_S:
                raise
            request.share = THROTTLED_START_SHARE
            entry = self.placement.choose(request, self.index)
        return WorkerChoice(entry=entry, share=request.share)

    def _workers_to_avoid(self, waiting: queues.PendingTask) -> set[str]:
        task = waiting.task
        avoided = self.probations.failed_workers(task.spec.id)
        avoided = avoided.union(task.failures)
        if len(avoided) >= len(self.index.entries):
            # The task has failed on every worker, so all are allowed again.
            return set()
        return avoided

    def _reserved_entry(
        self, waiting: queues.PendingTask, now_s: float
    ) -> indexes.IndexEntry | None:
        if not waiting.reserved_worker:
            return None
        entry = self.index.entries.get(waiting.reserved_worker)
        is_valid = (
            entry is not None
            and entry.reserved_for == waiting.task.spec.id
            and entry.worker.is_connected
            and not entry.worker.leaving
            and now_s - waiting.reserved_at_s < RESERVATION_TIMEOUT_S
        )
        if is_valid:
            return entry
        self._release_reservation(waiting)
        return None

    def _release_reservation(self, waiting: queues.PendingTask) -> None:
        entry = self.index.entries.get(waiting.reserved_worker)
        if entry is not None and entry.reserved_for == waiting.task.spec.id:
            self.index.reserve(waiting.reserved_worker, "")
        waiting.reserved_worker = ""

    def _find_cached_failure(
        self, spec: tasks.TaskSpec, needs: resources.Resources
    ) -> PlacementFailure | None:
        for key in ("", indexes.class_of(spec)):
            for failure in self._cached_failures.get(key, ()):
                if failure.needs.fits(needs):
                    return failure
        return None

    def _cache_failure(self, key: str, failure: PlacementFailure) -> None:
        failures = self._cached_failures.setdefault(key, [])
        if len(failures) < MAX_CACHED_FAILURES:
            failures.append(failure)

    def _start(
        self,
        waiting: queues.PendingTask,
        choice: WorkerChoice,
        needs: resources.Resources,
        starts: list[Start],
        now_s: float,
    ) -> None:
        if waiting.reserved_worker:
            self._release_reservation(waiting)
        self.queue.discard(waiting.task.spec.id)
        entry = choice.entry
        placement = workers.Placement(
            task=waiting.task,
            version=waiting.version,
            allocated=needs,
            throttle=choice.share,
        )
        if entry.worker.add(placement) is False:
            # The worker still has resources allocated to an earlier attempt.
            return
        self.slow_starts.record_start(placement.task.spec, now_s=now_s)
        self.evictions.record_start(waiting.task.spec.id, now_s=now_s)
        self.index.update(entry.worker, now_s=now_s)
        starts.append(Start(worker=entry.worker, placement=placement))

    def _reclaim_or_reserve(
        self, waiting: queues.PendingTask, now_s: float
    ) -> None:
        """Evict jobs or reserve a worker for a task that waits too long."""
        waited_s = now_s - waiting.since_s
        if waiting.reserved_worker or waited_s < RECLAIM_SHARE_AFTER_S:
            return
        if not waiting.lacks_capacity:
            return
        if (
            self._reclaim_count < MAX_RECLAIMS_PER_ROUND
            and self._is_within_fair_share(waiting)
        ):
            self._reclaim_count += 1
            if self._evict_for(waiting, now_s):
                return
        if waited_s >= RESERVE_WORKER_AFTER_S and self._can_reserve():
            self._reserve_worker(waiting, now_s)

    def _fair_share(self, team: str) -> float:
        teams = {team, *self.index.team_used, *self.queue.teams()}
        total = sum(self.quotas.of(name).weight for name in teams)
        return self.quotas.of(team).weight / total

    def _is_within_fair_share(self, waiting: queues.PendingTask) -> bool:
        spec = waiting.task.spec
        added = indexes.dominant_share(
            self.predict_needs(spec), self.index.capacity
        )
        share = self.index.team_share(spec.team) + added
        return share <= self._fair_share(spec.team)

    def _is_over_share(self, team: str) -> bool:
        return self.index.team_share(team) > self._fair_share(team)

    def _evict_for(self, waiting: queues.PendingTask, now_s: float) -> bool:
        """Order evictions for a task, and reserve the worker for it.

        Returns:
            Whether a worker is reserved for the task.
        """
        if waiting.reserved_worker:
            return True
        if now_s - waiting.since_s < 2 * waiting.min_wait_s:
            return False
        spec = waiting.task.spec
        plan = self.evictions.plan(
            needs=self.predict_needs(spec),
            now_s=now_s,
            over_share=self._is_over_share,
            only_over_share=not spec.urgent,
            avoid=self._workers_to_avoid(waiting),
        )
        if plan is None:
            return False
        self._reserve(waiting, plan.entry, now_s)
        self.evictions.order(
            plan, reason=f"makes room for {spec.id}", now_s=now_s
        )
        waiting.reason = f"waits for evictions on {plan.entry.worker.name}"
        return True

    def _reserve(
        self,
        waiting: queues.PendingTask,
        entry: indexes.IndexEntry,
        now_s: float,
    ) -> None:
        waiting.reserved_worker = entry.worker.name
        waiting.reserved_at_s = now_s
        self.index.reserve(entry.worker.name, waiting.task.spec.id)

    def _can_reserve(self) -> bool:
        reserved = sum(
            bool(w.reserved_worker) for w in self.queue.waiting.values()
        )
        return reserved < max(
            1, int(MAX_RESERVED_SHARE * len(self.index.entries))
        )

    def _reserve_worker(
        self, waiting: queues.PendingTask, now_s: float
    ) -> None:
        needs = self.predict_needs(waiting.task.spec)
        entry = self.evictions.find_worker_to_reserve(needs)
        if entry is not None:
            self._reserve(waiting, entry, now_s)
