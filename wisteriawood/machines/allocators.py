"""The allocator: decides which waiting task starts on which worker."""

import dataclasses
import random
import typing

from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.machines import evictions
from wisteriawood.machines import indexes
from wisteriawood.machines import probations
from wisteriawood.machines import probes
from wisteriawood.machines import queues
from wisteriawood.machines import workers
from wisteriawood.policies import eviction as eviction_policies
from wisteriawood.policies.eviction import base as eviction_base
from wisteriawood.policies import interference
from wisteriawood.policies import placement as placement_policies
from wisteriawood.policies.placement import base as placement_base
from wisteriawood.policies import registry
from wisteriawood.policies import sizes

# Waiting time after which a worker is kept for a task that finds no room.
RESERVE_AFTER_S = 30.0
# Time after which the worker is given free for others again.
RESERVATION_S = 300.0
# Share of the workers that may be kept for tasks.
RESERVED_SHARE = 0.1
# Waiting time after which a team takes back what others have borrowed.
RECLAIM_AFTER_S = 10.0
RECLAIMS_PER_ROUND = 4
MEMO_SIZE = 16
# Waiting time after which a job that would do harm anywhere starts
# throttled, and the share that it starts with.
THROTTLED_AFTER_S = 60.0
THROTTLED_SHARE = 0.25
# Waiting time after which a job that would do harm anywhere starts
# throttled, and the share that it starts with.
THROTTLED_AFTER_S = 60.0
THROTTLED_SHARE = 0.25
# Tasks of a class not yet known that may run unmeasured, and the time after
# which one counts as measured though no report came.
MAX_PROBES = 8
PROBE_S = 15.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Start:
    """A decision: this task starts on this worker.

    Attributes:
        worker: The worker; the task's resources are counted already.
        placement: The placement to commit.
    """

    worker: workers.Worker
    placement: workers.Placement


@dataclasses.dataclass(slots=True, kw_only=True)
class Failure:
    """A need that found no worker in this round.

    Attributes:
        needs: The need; a larger one finds none either.
        reason: Why.
        is_short: Whether room is what was missing.
    """

    needs: resources.Resources
    reason: str
    is_short: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class Choice:
    """Where a task can start.

    Attributes:
        entry: The worker.
        share: Share of its resources that it starts with, 0 to 1.
    """

    entry: indexes.Entry
    share: float


class Allocator:
    """Decides for one scheduler; does no I/O.

    Args:
        rng: Source of random numbers.
        placement: Name of the placement policy.
        eviction: Name of the eviction policy.
        team_quotas: Quotas of the teams.
        estimates: Predicts slowdowns.
        learned: Predicts sizes.
    """

    __slots__ = (
        "_failures",
        "_reclaims",
        "estimates",
        "evictions",
        "index",
        "placement",
        "probations",
        "probes",
        "queue",
        "quotas",
        "sizes",
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
        learned: sizes.Sizes | None = None,
    ):
        registry.load_modules(placement_policies)
        registry.load_modules(eviction_policies)
        self.quotas = quotas.Quotas() if team_quotas is None else team_quotas
        if estimates is None:
            estimates = interference.PairEstimates()
        self.estimates = estimates
        self.sizes = sizes.Sizes() if learned is None else learned
        self.probes = probes.Probes(learned=self.sizes)
        self.index = indexes.WorkerIndex(rng=rng)
        self.queue = queues.Queue()
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
        self._failures: dict[str, list[Failure]] = {}
        self._reclaims = 0
        self.zone_capacity = resources.NOTHING

    def refresh(
        self, found: typing.Iterable[workers.Worker], *, now_s: float
    ) -> None:
        """Take over which workers there are, once before each round.

        Args:
            found: All workers of the racks held.
            now_s: Monotonic time in seconds.
        """
        self.index.refresh(found, now_s=now_s)
        for name in self.probations.names():
            entry = self.index.entries.get(name)
            if entry is not None:
                entry.is_blocked = self.probations.is_on_probation(name, now_s)
                self.index.update(entry.worker, now_s=now_s)

    def place(self, *, now_s: float) -> list[Start]:
        """Place what can be placed: one round over the queue.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The decisions; their tasks no longer wait.
        """
        self._failures = {}
        self._reclaims = 0
        self.evictions.settle(now_s=now_s)
        starts: list[Start] = []
        for waiting in self.queue.urgent():
            if not self._try(waiting, starts, now_s):
                self._make_room(waiting, now_s)
        for waiting in self.queue.by_share(self._weighted_share):
            if not self._try(waiting, starts, now_s):
                self._help(waiting, now_s)
        return starts

    def withdraw(self, task: str) -> None:
        """Take a task out of the queue, as when it was cancelled.

        Args:
            task: Id of the task.
        """
        waiting = self.queue.discard(task)
        if waiting is not None and waiting.reserved:
            self.index.reserve(waiting.reserved, "")

    def keep_only(self, placed: set[str]) -> None:
        """Forget the tasks that have left.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        self.evictions.keep_only(placed)
        self.probes.keep_only(placed)

    def needs_of(self, spec: tasks.TaskSpec) -> resources.Resources:
        """Return what a task is counted with.

        Args:
            spec: The task.
        """
        return self.sizes.predict(indexes.class_of(spec), spec.needs)

    def _weighted_share(self, team: str) -> float:
        return self.index.share(team) / self.quotas.of(team).weight

    def _try(
        self, waiting: queues.Waiting, starts: list[Start], now_s: float
    ) -> bool:
        spec = waiting.task.spec
        if now_s - waiting.since_s < waiting.turn_s:
            waiting.reason = "another scheduler of the zone comes first"
            return False
        needs = self.needs_of(spec)
        if not self._is_within_limit(spec.team, needs):
            waiting.is_short = False
            waiting.reason = f"team {spec.team} is at the limit of its quota"
            return False
        if not self.probes.may_start(spec, now_s=now_s):
            waiting.is_short = False
            waiting.reason = "the first tasks of its class are being measured"
            return False
        choice = self._find(waiting, needs, now_s)
        if choice is None:
            return False
        self._start(waiting, choice, needs, starts, now_s)
        return True

    def _is_within_limit(self, team: str, needs: resources.Resources) -> bool:
        """Tell whether a team may use more, by this scheduler's slice.

        The slice of a limit is as large as that of the zone's workers which
        this scheduler holds, but a team may always have one task of its own.
        """
        limit = self.quotas.of(team).limit
        if limit is None:
            return True
        if not needs.fits(limit):
            return False
        part = indexes.share_of(self.index.capacity, self.zone_capacity)
        part = min(1.0, part or 1.0)
        used = self.index.team_used.get(team, resources.NOTHING)
        total = used + needs
        return used.cores < 1e-6 or (
            total.cores <= limit.cores * part
            and total.memory_bytes <= limit.memory_bytes * part
            and total.accelerators <= limit.accelerators * part
        )

    def _find(
        self, waiting: queues.Waiting, needs: resources.Resources, now_s: float
    ) -> Choice | None:
        spec = waiting.task.spec
        waiting.is_short = False
        kept = self._reserved_entry(waiting, now_s)
        if kept is None:
            failure = self._known_failure(spec, needs)
            if failure is not None:
                waiting.reason = failure.reason
                waiting.is_short = failure.is_short
                return None
        elif not needs.fits(kept.worker.free):
            waiting.reason = f"waits for room on worker {waiting.reserved}"
            return None
        request = placement_base.Request(
            spec=spec,
            needs=needs,
            among=None if kept is None else [kept],
            avoid=self._avoided(waiting),
            now_s=now_s,
            waited_s=now_s - waiting.since_s,
        )
        try:
            return self._choose(request)
        except placement_base.NoRoomError as exc:
            waiting.is_short = True
            self._remember("", Failure(needs=needs, reason=str(exc)))
            waiting.reason = str(exc)
        except placement_base.HarmError as exc:
            failure = Failure(needs=needs, reason=str(exc), is_short=False)
            self._remember(indexes.class_of(spec), failure)
            waiting.reason = str(exc)
            self._release(waiting)
        return None

    def _choose(self, request: placement_base.Request) -> Choice:
        try:
            entry = self.placement.choose(request, self.index)
        except placement_base.HarmError:
            if request.waited_s < THROTTLED_AFTER_S:
                raise
            request.share = THROTTLED_SHARE
            entry = self.placement.choose(request, self.index)
        return Choice(entry=entry, share=request.share)

    def _avoided(self, waiting: queues.Waiting) -> set[str]:
        task = waiting.task
        avoided = self.probations.failed_on(task.spec.id)
        avoided = avoided.union(task.failures)
        if len(avoided) >= len(self.index.entries):
            # It failed on every worker there is, so each may try again.
            return set()
        return avoided

    def _reserved_entry(
        self, waiting: queues.Waiting, now_s: float
    ) -> indexes.Entry | None:
        if not waiting.reserved:
            return None
        entry = self.index.entries.get(waiting.reserved)
        is_kept = (
            entry is not None
            and entry.reserved == waiting.task.spec.id
            and entry.worker.is_known
            and not entry.worker.leaving
            and now_s - waiting.reserved_s < RESERVATION_S
        )
        if is_kept:
            return entry
        self._release(waiting)
        return None

    def _release(self, waiting: queues.Waiting) -> None:
        entry = self.index.entries.get(waiting.reserved)
        if entry is not None and entry.reserved == waiting.task.spec.id:
            self.index.reserve(waiting.reserved, "")
        waiting.reserved = ""

    def _known_failure(
        self, spec: tasks.TaskSpec, needs: resources.Resources
    ) -> Failure | None:
        for key in ("", indexes.class_of(spec)):
            for failure in self._failures.get(key, ()):
                if failure.needs.fits(needs):
                    return failure
        return None

    def _remember(self, key: str, failure: Failure) -> None:
        failures = self._failures.setdefault(key, [])
        if len(failures) < MEMO_SIZE:
            failures.append(failure)

    def _start(
        self,
        waiting: queues.Waiting,
        choice: Choice,
        needs: resources.Resources,
        starts: list[Start],
        now_s: float,
    ) -> None:
        if waiting.reserved:
            self._release(waiting)
        self.queue.discard(waiting.task.spec.id)
        entry = choice.entry
        placement = workers.Placement(
            task=waiting.task,
            version=waiting.version,
            counted=needs,
            throttle=choice.share,
        )
        if entry.worker.add(placement) is False:
            # Its last attempt still counts on this very worker.
            return
        self.probes.start(placement.task.spec, now_s=now_s)
        self.evictions.note_start(waiting.task.spec.id, now_s=now_s)
        self.index.update(entry.worker, now_s=now_s)
        starts.append(Start(worker=entry.worker, placement=placement))

    def _help(self, waiting: queues.Waiting, now_s: float) -> None:
        """Keep a worker for a task that has waited for room too long."""
        waited_s = now_s - waiting.since_s
        if waiting.reserved or waited_s < RECLAIM_AFTER_S:
            return
        if not waiting.is_short:
            return
        if self._reclaims < RECLAIMS_PER_ROUND and self._is_owed(waiting):
            self._reclaims += 1
            if self._make_room(waiting, now_s):
                return
        if waited_s >= RESERVE_AFTER_S and self._may_reserve():
            self._keep_worker(waiting, now_s)

    def _fair_share(self, team: str) -> float:
        teams = {team, *self.index.team_used, *self.queue.teams()}
        total = sum(self.quotas.of(name).weight for name in teams)
        return self.quotas.of(team).weight / total

    def _is_owed(self, waiting: queues.Waiting) -> bool:
        spec = waiting.task.spec
        added = indexes.share_of(self.needs_of(spec), self.index.capacity)
        share = self.index.share(spec.team) + added
        return share <= self._fair_share(spec.team)

    def _is_over_share(self, team: str) -> bool:
        return self.index.share(team) > self._fair_share(team)

    def _make_room(self, waiting: queues.Waiting, now_s: float) -> bool:
        if waiting.reserved:
            return True
        if now_s - waiting.since_s < 2 * waiting.turn_s:
            return False
        spec = waiting.task.spec
        plan = self.evictions.plan(
            needs=self.needs_of(spec),
            now_s=now_s,
            over_share=self._is_over_share,
            only_over_share=not spec.urgent,
            avoid=self._avoided(waiting),
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
        self, waiting: queues.Waiting, entry: indexes.Entry, now_s: float
    ) -> None:
        waiting.reserved = entry.worker.name
        waiting.reserved_s = now_s
        self.index.reserve(entry.worker.name, waiting.task.spec.id)

    def _may_reserve(self) -> bool:
        kept = sum(bool(w.reserved) for w in self.queue.waiting.values())
        return kept < max(1, int(RESERVED_SHARE * len(self.index.entries)))

    def _keep_worker(self, waiting: queues.Waiting, now_s: float) -> None:
        needs = self.needs_of(waiting.task.spec)
        entry = self.evictions.soonest(needs)
        if entry is not None:
            self._reserve(waiting, entry, now_s)
