"""The monitor: learns from usage reports and keeps services calm."""

import dataclasses
import math

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import allocators
from wisteriawood.machines import indexes
from wisteriawood.machines import workers
from wisteriawood.policies import interference
from wisteriawood.policies.placement import least_harm
from wisteriawood.policies import registry
from wisteriawood.policies import throttling as throttling_policies
from wisteriawood.policies.throttling import base
from wisteriawood.telemetry import events

_LOG = events.Logger(name=__name__)

# Usage reports of a worker whose tasks changed more lately than this are
# not learned from: they lag, and tell of other neighbours.
SETTLING_TIME_S = 5.0
LATENCY_VALID_S = 5.0
SLOWDOWN_SMOOTHING = 0.4
# A task that runs is counted with its use and this margin.
MEMORY_MARGIN = 1.1
# Changes smaller than this share of the worker are not taken over.
MIN_CORES_CHANGE_SHARE = 0.01


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskObservations:
    """What was seen of one attempt.

    Attributes:
        reports: Reports so far.
        peak: Greatest use in each resource.
        slowdown: Smoothed slowdown; 0 if not known.
        latency_slowdown: Slowdown as entry hosts saw it.
        latency_s: Monotonic time at which they did.
        measured_s: Time of the newest report on the worker's clock.
    """

    reports: int = 0
    peak: resources.Resources = resources.NOTHING
    slowdown: float = 0.0
    latency_slowdown: float = 0.0
    latency_s: float = -1e9
    measured_s: float = -1.0


class Monitor:
    """Joins usage reports with request latencies and acts on both.

    Args:
        allocator: Whose workers it watches and whose estimates it feeds.
        throttling: Name of the throttling policy.
    """

    __slots__ = ("_allocator", "_throttling", "_observations")

    def __init__(
        self,
        *,
        allocator: allocators.Allocator,
        throttling: str = base.DEFAULT,
    ):
        registry.load_modules(throttling_policies)
        self._allocator = allocator
        self._throttling = base.THROTTLING.get(throttling)()
        self._observations: dict[str, TaskObservations] = {}

    def __len__(self) -> int:
        return len(self._observations)

    def observe_latency(
        self, task: str, *, slowdown: float, now_s: float
    ) -> None:
        """Take over how much slower a service instance answers.

        Args:
            task: Id of the service instance.
            slowdown: Its latency against its peers under equal load.
            now_s: Monotonic time in seconds.
        """
        observed = self._observations.setdefault(task, TaskObservations())
        observed.latency_slowdown = slowdown
        observed.latency_s = now_s

    def keep_only(self, placed: set[str]) -> None:
        """Forget the tasks that have left.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for task in self._observations.keys() - placed:
            del self._observations[task]
        self._allocator.keep_only(placed)

    def observe(
        self,
        worker: workers.Worker,
        reports: list[worker_links.UsageReport],
        *,
        now_s: float,
    ) -> None:
        """Learn from the newest reports of a worker, then act.

        Args:
            worker: The worker.
            reports: Its newest usage reports.
            now_s: Monotonic time in seconds.
        """
        index = self._allocator.index
        entry = index.update(worker, now_s=now_s)
        is_stable = now_s - entry.changed_s >= SETTLING_TIME_S
        for report in reports:
            placement = worker.placements.get(report.task)
            if placement is None:
                continue
            observed = self._observations.setdefault(
                report.task, TaskObservations()
            )
            if report.measured_s == observed.measured_s:
                continue
            observed.measured_s = report.measured_s
            self._learn_size(placement, observed, report)
            self._learn_slowdown(
                entry, placement, observed, report, is_stable, now_s
            )
        self._update_counted(entry, now_s)
        entry.pressures.clear()
        self._limit_interference(entry, now_s)

    def _learn_size(
        self,
        placement: workers.Placement,
        observed: TaskObservations,
        report: worker_links.UsageReport,
    ) -> None:
        if placement.throttle < 1.0:
            return
        used, peak = report.used, observed.peak
        observed.peak = resources.Resources(
            cores=max(used.cores, peak.cores),
            memory_bytes=max(used.memory_bytes, peak.memory_bytes),
            accelerators=placement.counted.accelerators,
        )
        observed.reports += 1
        # Long runs teach less and less: at 2, 4, 8, ... reports.
        if (
            observed.reports > 1
            and observed.reports & (observed.reports - 1) == 0
        ):
            spec = placement.task.spec
            self._allocator.sizes.observe(
                indexes.class_of(spec), declared=spec.needs, used=observed.peak
            )
            self._allocator.probes.finish(spec)

    def _learn_slowdown(
        self,
        entry: indexes.Entry,
        placement: workers.Placement,
        observed: TaskObservations,
        report: worker_links.UsageReport,
        is_stable: bool,
        now_s: float,
    ) -> None:
        slowdown = 0.0
        if report.speed > 0:
            slowdown = max(1.0, placement.throttle / report.speed)
        if now_s - observed.latency_s < LATENCY_VALID_S:
            slowdown = observed.latency_slowdown
        if not slowdown:
            return
        old = observed.slowdown or slowdown
        observed.slowdown = old + SLOWDOWN_SMOOTHING * (slowdown - old)
        if is_stable:
            name = indexes.class_of(placement.task.spec)
            self._allocator.estimates.observe(
                name,
                neighbours_of(entry, placement),
                slowdown=slowdown,
                now_s=now_s,
            )

    def _update_counted(self, entry: indexes.Entry, now_s: float) -> None:
        """Count tasks with what they use, where that is known better."""
        worker = entry.worker
        least = MIN_CORES_CHANGE_SHARE * worker.capacity.cores
        for task_id, placement in list(worker.placements.items()):
            observed = self._observations.get(task_id)
            if observed is None or observed.reports < 2:
                continue
            learned = self._allocator.predict_needs(placement.task.spec)
            old = placement.counted
            # The margin must fit into what is free; the use itself counts
            # in any case.
            room_bytes = old.memory_bytes + max(0, worker.free.memory_bytes)
            margin_bytes = int(observed.peak.memory_bytes * MEMORY_MARGIN)
            wanted_bytes = max(learned.memory_bytes, margin_bytes)
            counted = resources.Resources(
                cores=observed.peak.cores,
                memory_bytes=max(
                    observed.peak.memory_bytes, min(wanted_bytes, room_bytes)
                ),
                accelerators=old.accelerators,
            )
            if (
                abs(counted.cores - old.cores) < least
                and counted.memory_bytes <= old.memory_bytes
                and counted.memory_bytes > 0.8 * old.memory_bytes
            ):
                continue
            worker.remove(task_id)
            placement.counted = counted
            worker.add(placement)
        changed_s = entry.changed_s
        self._allocator.index.update(worker, now_s=now_s)
        entry.changed_s = changed_s
        if worker.free.memory_bytes < 0:
            self._evict_to_free_memory(entry, now_s)

    def _drop_margins(self, worker: workers.Worker) -> None:
        """Count tasks with the memory that they use, and no more."""
        for task_id, placement in list(worker.placements.items()):
            observed = self._observations.get(task_id)
            if observed is None or observed.reports < 2:
                continue
            worker.remove(task_id)
            placement.counted = dataclasses.replace(
                placement.counted, memory_bytes=observed.peak.memory_bytes
            )
            worker.add(placement)

    def _evict_to_free_memory(
        self, entry: indexes.Entry, now_s: float
    ) -> None:
        self._drop_margins(entry.worker)
        self._allocator.index.update(entry.worker, now_s=now_s)
        short_bytes = -entry.worker.free.memory_bytes
        evictions = self._allocator.evictions
        for task_id, placement in entry.worker.placements.items():
            if evictions.is_ordered(task_id):
                short_bytes -= placement.counted.memory_bytes
        for victim in evictions.victims(entry, now_s=now_s):
            if short_bytes <= 0:
                return
            evictions.evict_one(
                entry,
                harms={victim.spec.id: 1.0},
                reason="the worker's memory would not suffice",
                now_s=now_s,
            )
            short_bytes -= victim.counted.memory_bytes

    def _limit_interference(self, entry: indexes.Entry, now_s: float) -> None:
        excess_by_service = self._excess_by_service(entry)
        if not excess_by_service:
            entry.is_hot = False
            self._remove_throttles(entry)
            return
        excess = max(excess_by_service.values())
        culprits = self._culprits(entry, excess_by_service, now_s)
        verdict = self._throttling.decide(
            base.WorkerView(
                worker=entry.worker.name,
                excess=excess,
                culprits=culprits,
                now_s=now_s,
            )
        )
        for order in verdict.throttles:
            entry.worker.order_throttle(order.task, order.share)
            _LOG.log(events.TASK_THROTTLED, task=order.task, share=order.share)
        if verdict.throttles:
            self._allocator.index.refresh_usage(entry)
        if verdict.evict:
            self._allocator.evictions.evict_one(
                entry,
                harms={
                    found.task: found.present_harm()
                    for found in culprits
                    if found.present_harm() >= base.LEAST_HARM
                },
                reason="slows services, though throttled",
                now_s=now_s,
            )
        entry.is_hot = excess > 1.0 or any(
            found.share < 1.0 for found in culprits
        )

    def _remove_throttles(self, entry: indexes.Entry) -> None:
        """Lift the limits of jobs on a worker where no services are left."""
        worker = entry.worker
        throttled = [
            task
            for task, placement in worker.placements.items()
            if placement.throttle < 1.0
        ]
        for task in throttled:
            worker.order_throttle(task, 1.0)
        if throttled:
            self._allocator.index.refresh_usage(entry)

    def _excess_by_service(self, entry: indexes.Entry) -> dict[str, float]:
        """Return the excess of each service on a worker, by task."""
        found = {}
        for task_id, placement in entry.worker.placements.items():
            spec = placement.task.spec
            observed = self._observations.get(task_id)
            if spec.kind == tasks.TaskKind.BATCH or observed is None:
                continue
            if not observed.slowdown:
                continue
            quota = self._allocator.quotas.of(spec.team)
            found[task_id] = observed.slowdown / math.exp(
                least_harm.ceiling(quota)
            )
        return found

    def _culprits(
        self,
        entry: indexes.Entry,
        excess_by_service: dict[str, float],
        now_s: float,
    ) -> list[base.Culprit]:
        worker = entry.worker
        names = {
            indexes.class_of(worker.placements[task].task.spec)
            for task in excess_by_service
        }
        culprits = []
        for task_id, placement in worker.placements.items():
            spec = placement.task.spec
            if spec.kind != tasks.TaskKind.BATCH:
                continue
            if self._allocator.evictions.is_ordered(task_id):
                continue
            quota = self._allocator.quotas.of(spec.team)
            if spec.task_class in quota.not_throttled:
                continue
            name = indexes.class_of(spec)
            load = placement.counted.cores / worker.capacity.cores
            harm = max(
                self._allocator.estimates.harm(victim, name, now_s)
                for victim in names
            )
            culprits.append(
                base.Culprit(
                    task=task_id,
                    harm=harm * load,
                    share=placement.throttle,
                )
            )
        return culprits


def neighbours_of(
    entry: indexes.Entry, placement: workers.Placement
) -> list[interference.Neighbour]:
    """Return the classes beside a task on its worker.

    Args:
        entry: The worker's entry.
        placement: The task's placement.
    """
    name = indexes.class_of(placement.task.spec)
    own = indexes.load_of(placement, entry.worker)
    found = []
    for other in entry.neighbours.values():
        if other.name == name:
            if other.count == 1:
                continue
            other = dataclasses.replace(other, load=other.load - own)
        found.append(other)
    return found
