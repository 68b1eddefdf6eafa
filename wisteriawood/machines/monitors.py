"""Monitor that learns from usage reports and protects services."""

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

# Slowdowns are not learned from reports of a worker whose tasks changed less
# than this time ago, since reports lag and may show former neighbours.
SETTLING_TIME_S = 5.0
# Time for which a slowdown seen by entry hosts replaces the reported one.
LATENCY_VALIDITY_S = 5.0
# Weight of the newest value in the smoothed slowdown.
SLOWDOWN_SMOOTHING = 0.4
# Memory allocated to a running task, as a factor on its peak use.
MEMORY_MARGIN = 1.1
# Changes below this share of the worker's cores do not change an allocation.
MIN_CORES_CHANGE_SHARE = 0.01


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskObservations:
    """Measurements of one attempt of a task.

    Attributes:
        reports: Number of usage reports taken while it was not throttled.
        peak: Highest use of each resource.
        slowdown: Smoothed slowdown as a ratio; 0 if not known.
        latency_slowdown: Slowdown measured by entry hosts.
        latency_measured_at_s: Monotonic time of that measurement.
        measured_s: Time of the newest report on the worker's clock.
    """

    reports: int = 0
    peak: resources.Resources = resources.NOTHING
    slowdown: float = 0.0
    latency_slowdown: float = 0.0
    latency_measured_at_s: float = -1e9
    measured_s: float = -1.0


class Monitor:
    """Limits batch jobs that slow services beside them.

    It learns slowdowns and sizes from usage reports and request latencies.

    Args:
        allocator: Allocator whose workers are monitored and whose
            estimates are updated.
        throttling: Name of the throttling policy.
    """

    __slots__ = ("_allocator", "_observations", "_throttling")

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
        """Record how much slower a service instance answers than its peers.

        Args:
            task: Id of the service instance.
            slowdown: Latency of the instance divided by that of its peers
                under equal load.
            now_s: Monotonic time in seconds.
        """
        observed = self._observations.setdefault(task, TaskObservations())
        observed.latency_slowdown = slowdown
        observed.latency_measured_at_s = now_s

    def forget_except(self, placed: set[str]) -> None:
        """Discard the state of tasks that are no longer on a worker.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for task in self._observations.keys() - placed:
            del self._observations[task]
        self._allocator.forget_except(placed)

    def observe(
        self,
        worker: workers.Worker,
        reports: list[worker_links.UsageReport],
        *,
        now_s: float,
    ) -> None:
        """Learn from the newest reports of a worker and adjust its tasks.

        Args:
            worker: The worker.
            reports: Newest usage reports of the worker.
            now_s: Monotonic time in seconds.
        """
        index = self._allocator.index
        entry = index.update(worker, now_s=now_s)
        is_stable = now_s - entry.changed_at_s >= SETTLING_TIME_S
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
        self._update_allocations(entry, now_s)
        entry.log_slowdowns.clear()
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
            accelerators=placement.allocated.accelerators,
        )
        observed.reports += 1
        # Samples are taken at 2, 4, 8, ... reports, so a long run adds fewer
        # and fewer samples.
        if (
            observed.reports > 1
            and observed.reports & (observed.reports - 1) == 0
        ):
            spec = placement.task.spec
            self._allocator.sizes.observe(
                indexes.class_of(spec), declared=spec.needs, used=observed.peak
            )
            self._allocator.slow_starts.record_measured(spec)

    def _learn_slowdown(
        self,
        entry: indexes.IndexEntry,
        placement: workers.Placement,
        observed: TaskObservations,
        report: worker_links.UsageReport,
        is_stable: bool,
        now_s: float,
    ) -> None:
        slowdown = 0.0
        if report.speed > 0:
            slowdown = max(1.0, placement.throttle / report.speed)
        if now_s - observed.latency_measured_at_s < LATENCY_VALIDITY_S:
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

    def _update_allocations(
        self, entry: indexes.IndexEntry, now_s: float
    ) -> None:
        """Adjust allocations to the measured use; memory gets a margin."""
        worker = entry.worker
        min_change_cores = MIN_CORES_CHANGE_SHARE * worker.capacity.cores
        for task_id, placement in list(worker.placements.items()):
            observed = self._observations.get(task_id)
            if observed is None or observed.reports < 2:
                continue
            predicted = self._allocator.predict_needs(placement.task.spec)
            old = placement.allocated
            # The margin is limited to free memory; the measured use always
            # counts in full.
            room_bytes = old.memory_bytes + max(0, worker.free.memory_bytes)
            margin_bytes = int(observed.peak.memory_bytes * MEMORY_MARGIN)
            wanted_bytes = max(predicted.memory_bytes, margin_bytes)
            allocated = resources.Resources(
                cores=observed.peak.cores,
                memory_bytes=max(
                    observed.peak.memory_bytes, min(wanted_bytes, room_bytes)
                ),
                accelerators=old.accelerators,
            )
            if (
                abs(allocated.cores - old.cores) < min_change_cores
                and allocated.memory_bytes <= old.memory_bytes
                and allocated.memory_bytes > 0.8 * old.memory_bytes
            ):
                continue
            worker.remove(task_id)
            placement.allocated = allocated
            worker.add(placement)
        # A changed allocation is no change of the tasks on the worker.
        changed_at_s = entry.changed_at_s
        self._allocator.index.update(worker, now_s=now_s)
        entry.changed_at_s = changed_at_s
        if worker.free.memory_bytes < 0:
            self._evict_to_free_memory(entry, now_s)

    def _drop_margins(self, worker: workers.Worker) -> None:
        """Reduce the memory allocated to tasks to their peak use."""
        for task_id, placement in list(worker.placements.items()):
            observed = self._observations.get(task_id)
            if observed is None or observed.reports < 2:
                continue
            worker.remove(task_id)
            placement.allocated = dataclasses.replace(
                placement.allocated, memory_bytes=observed.peak.memory_bytes
            )
            worker.add(placement)

    def _evict_to_free_memory(
        self, entry: indexes.IndexEntry, now_s: float
    ) -> None:
        self._drop_margins(entry.worker)
        self._allocator.index.update(entry.worker, now_s=now_s)
        short_bytes = -entry.worker.free.memory_bytes
        evictions = self._allocator.evictions
        for task_id, placement in entry.worker.placements.items():
            if evictions.is_ordered(task_id):
                short_bytes -= placement.allocated.memory_bytes
        for victim in evictions.victims(entry, now_s=now_s):
            if short_bytes <= 0:
                return
            evictions.evict_one(
                entry,
                harms={victim.spec.id: 1.0},
                reason="the worker's memory would not suffice",
                now_s=now_s,
            )
            short_bytes -= victim.allocated.memory_bytes

    def _limit_interference(
        self, entry: indexes.IndexEntry, now_s: float
    ) -> None:
        excess_by_service = self._excess_by_service(entry)
        if not excess_by_service:
            entry.blocks_batch_jobs = False
            self._remove_throttles(entry)
            return
        excess = max(excess_by_service.values())
        aggressors = self._aggressors(entry, excess_by_service, now_s)
        decision = self._throttling.decide(
            base.WorkerView(
                worker=entry.worker.name,
                excess=excess,
                aggressors=aggressors,
                now_s=now_s,
            )
        )
        for throttle in decision.throttles:
            entry.worker.request_throttle(throttle.task, throttle.share)
            _LOG.log(
                events.TASK_THROTTLED, task=throttle.task, share=throttle.share
            )
        if decision.throttles:
            self._allocator.index.refresh_usage(entry)
        if decision.evict:
            self._allocator.evictions.evict_one(
                entry,
                harms={
                    aggressor.task: aggressor.current_harm()
                    for aggressor in aggressors
                    if aggressor.current_harm() >= base.MIN_HARM
                },
                reason="slows services, though throttled",
                now_s=now_s,
            )
        entry.blocks_batch_jobs = excess > 1.0 or any(
            aggressor.share < 1.0 for aggressor in aggressors
        )

    def _remove_throttles(self, entry: indexes.IndexEntry) -> None:
        """Remove all throttles on a worker.

        To be called only if it runs no service whose slowdown is known.
        """
        worker = entry.worker
        throttled = [
            task
            for task, placement in worker.placements.items()
            if placement.throttle < 1.0
        ]
        for task in throttled:
            worker.request_throttle(task, 1.0)
        if throttled:
            self._allocator.index.refresh_usage(entry)

    def _excess_by_service(
        self, entry: indexes.IndexEntry
    ) -> dict[str, float]:
        """Return the slowdown of services by task, relative to the limit.

        Values above 1 exceed what the team allows. Services whose slowdown
        is not known are left out.
        """
        excess_by_service = {}
        for task_id, placement in entry.worker.placements.items():
            spec = placement.task.spec
            observed = self._observations.get(task_id)
            if spec.kind == tasks.TaskKind.BATCH or observed is None:
                continue
            if not observed.slowdown:
                continue
            quota = self._allocator.quotas.of(spec.team)
            excess_by_service[task_id] = observed.slowdown / math.exp(
                least_harm.allowed_log_slowdown(quota)
            )
        return excess_by_service

    def _aggressors(
        self,
        entry: indexes.IndexEntry,
        excess_by_service: dict[str, float],
        now_s: float,
    ) -> list[base.Aggressor]:
        worker = entry.worker
        names = {
            indexes.class_of(worker.placements[task].task.spec)
            for task in excess_by_service
        }
        aggressors = []
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
            load = placement.allocated.cores / worker.capacity.cores
            harm = max(
                self._allocator.estimates.harm(victim, name, now_s)
                for victim in names
            )
            aggressors.append(
                base.Aggressor(
                    task=task_id,
                    harm=harm * load,
                    share=placement.throttle,
                )
            )
        return aggressors


def neighbours_of(
    entry: indexes.IndexEntry, placement: workers.Placement
) -> list[interference.Neighbour]:
    """Return the classes that run beside a task on its worker.

    Args:
        entry: The worker's entry.
        placement: The task's placement.
    """
    name = indexes.class_of(placement.task.spec)
    own_load = indexes.load_of(placement, entry.worker)
    neighbours = []
    for other in entry.neighbours.values():
        if other.name == name:
            if other.count == 1:
                continue
            other = dataclasses.replace(other, load=other.load - own_load)
        neighbours.append(other)
    return neighbours
