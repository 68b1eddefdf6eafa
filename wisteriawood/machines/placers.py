"""Placer of a scheduler, which assigns waiting tasks to workers."""

import random
import time
import typing

import anyio
from anyio import abc

from wisteriawood.config import configuration
from wisteriawood.contracts import keys
from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import allocators
from wisteriawood.machines import monitors
from wisteriawood.machines import queues
from wisteriawood.policies.placement import base
from wisteriawood.telemetry import events
from wisteriawood.zones import claims

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

QUEUE_POLL_PERIOD_S = 0.5
# Time between placement rounds while an urgent task has a reserved worker.
URGENT_ROUND_PERIOD_S = 0.1
USAGE_POLL_PERIOD_S = 1.0
# Delay after which the next scheduler of the zone tries to place a task.
NEXT_SCHEDULER_DELAY_S = 0.4
# Waiting time before a task that is larger than every worker is declared
# impossible, since the host list lags.
IMPOSSIBLE_AFTER_S = 5.0
# Time for which the capacity of a worker counts after it was last listed.
CAPACITY_RETENTION_S = 600.0
MIN_WEIGHT = 0.01
UNLIMITED = 2**62

_LOG = events.Logger(name=__name__)


def make_quota(name: str, team: configuration.Team) -> quotas.Quota:
    """Return the quota of a team from its configuration.

    Args:
        name: Name of the team.
        team: Configuration of the team.
    """
    limits = (
        team.quota.cores,
        team.quota.memory_bytes,
        team.quota.accelerators,
    )
    limit = None
    if any(value is not None for value in limits):
        cores, memory_bytes, accelerators = (
            UNLIMITED if value is None else value for value in limits
        )
        limit = resources.Resources(
            cores=cores, memory_bytes=memory_bytes, accelerators=accelerators
        )
    classes = team.batch_classes.items()
    return quotas.Quota(
        team=name,
        weight=max(team.quota.share, MIN_WEIGHT),
        limit=limit,
        tail_latency_weight=team.weights.tail_latency,
        throughput_weight=team.weights.batch_throughput,
        eviction_weight=team.weights.evictions,
        not_evicted=frozenset(
            class_name
            for class_name, batch_class in classes
            if not batch_class.resumable
        ),
        not_throttled=frozenset(
            class_name
            for class_name, batch_class in classes
            if not batch_class.throttled
        ),
    )


class Placer:
    """Reads the queue of one zone and assigns its tasks to workers.

    Args:
        scheduler: The scheduler on whose workers tasks are placed.
        rng: Source of random numbers.
        policy: Name of the placement policy.
    """

    __slots__ = (
        "_assigned_versions",
        "_capacity_seen_s",
        "_group",
        "_queue_changed",
        "_scheduler",
        "allocator",
        "monitor",
    )

    def __init__(
        self,
        *,
        scheduler: "schedulers.Scheduler",
        rng: random.Random,
        policy: str = base.DEFAULT,
    ):
        self.allocator = allocators.Allocator(rng=rng, placement=policy)
        self.monitor = monitors.Monitor(allocator=self.allocator)
        self._assigned_versions: dict[str, int] = {}
        self._capacity_seen_s: dict[resources.Resources, float] = {}
        self._group: abc.TaskGroup | None = None
        self._queue_changed = anyio.Event()
        self._scheduler = scheduler

    @property
    def pending(self) -> dict[str, queues.PendingTask]:
        """Waiting tasks by id."""
        return self.allocator.queue.waiting

    def explain(self, task: str) -> str:
        """Return why a task waits here, or an empty string if it does not.

        Args:
            task: Id of the task.
        """
        waiting = self.pending.get(task)
        return waiting.reason if waiting is not None else ""

    def update_capacities(self, hosts: list[platforms.Host]) -> None:
        """Update the capacities of the zone's workers.

        Args:
            hosts: Host list of the platform.
        """
        now_s = anyio.current_time()
        total = resources.NOTHING
        for host in hosts:
            is_worker = host.kind == platforms.HostKind.WORKER
            if is_worker and host.zone == self._scheduler.zone:
                self._capacity_seen_s[host.capacity] = now_s
                total = total + host.capacity
        self.allocator.zone_capacity = total

    def observe_latency(self, target: str, slowdown: float) -> None:
        """Record how much slower a target answers than its peers.

        Args:
            target: Id of the target, as task.attempt.
            slowdown: Latency of the target divided by that of its peers; 1
                means that it is not slower.
        """
        self.monitor.observe_latency(
            target.rpartition(".")[0],
            slowdown=slowdown,
            now_s=anyio.current_time(),
        )

    def record_success(self, task: str, worker: str) -> None:
        """Record that an attempt finished.

        Args:
            task: Id of the task.
            worker: Name of the worker that ran it.
        """
        self.allocator.probations.record_success(worker=worker, task=task)

    def record_failure(self, task: str, worker: str) -> None:
        """Record that an attempt failed.

        Args:
            task: Id of the task.
            worker: Name of the worker that ran it.
        """
        is_new = self.allocator.probations.record_failure(
            worker=worker,
            task=task,
            now_s=anyio.current_time(),
            worker_count=len(self.allocator.index.entries),
        )
        if is_new:
            _LOG.log(events.WORKER_PROBATION, worker=worker)

    async def run(self) -> None:
        """Read the queue and place tasks until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._follow_configuration)
            group.start_soon(self._follow_queue)
            group.start_soon(self._place_forever)
            group.start_soon(self._follow_usage)

    async def _follow_configuration(self) -> None:
        follower = self._scheduler.configuration
        while True:
            changed = follower.changed
            self.allocator.quotas.replace(
                {
                    name: make_quota(name, team)
                    for name, team in follower.current.teams.items()
                }
            )
            await changed.wait()

    async def _follow_queue(self) -> None:
        while True:
            if self._scheduler.membership.holds_term():
                try:
                    await self._read_queue()
                except errors.PlatformError:
                    pass
            await anyio.sleep(QUEUE_POLL_PERIOD_S)

    async def _read_queue(self) -> None:
        scheduler = self._scheduler
        pending_rows = await platforms.scan_all(
            scheduler.platform, keys.pending_in_zone(scheduler.zone)
        )
        now_s = anyio.current_time()
        seen = set()
        for row in pending_rows:
            task_id = row.key.rpartition("/")[2]
            seen.add(task_id)
            old = self.pending.get(task_id)
            if old is not None and old.version == row.version:
                continue
            if self._assigned_versions.get(task_id) == row.version:
                continue
            task = rows.from_value(row.value, tasks.Task)
            self.allocator.queue.add(task, version=row.version, now_s=now_s)
        for task_id in self.pending.keys() - seen:
            self.allocator.withdraw(task_id)
        for waiting in list(self.pending.values()):
            waiting.min_wait_s = NEXT_SCHEDULER_DELAY_S * self._rank(
                waiting.task.spec.id
            )
            await self._end_if_impossible(waiting, now_s)
        self._queue_changed.set()

    def _rank(self, task_id: str) -> int:
        """Return how many schedulers try to place a task before this one.

        Only schedulers that hold racks count.
        """
        scheduler = self._scheduler
        own = scheduler.membership.own.name
        return claims.rank(scheduler.rack_holders | {own}, own, task_id)

    async def _place_forever(self) -> None:
        while True:
            period_s = (
                URGENT_ROUND_PERIOD_S
                if self._has_urgent_reservation()
                else None
            )
            with anyio.move_on_after(period_s):
                await self._queue_changed.wait()
            self._queue_changed = anyio.Event()
            now_s = anyio.current_time()
            if not self._scheduler.membership.holds_term():
                continue
            self.allocator.refresh(self._all_workers(), now_s=now_s)
            for start in self.allocator.place(now_s=now_s):
                self._group.start_soon(self._assign, start)

    def _has_urgent_reservation(self) -> bool:
        return any(
            waiting.reserved_worker and waiting.task.spec.urgent
            for waiting in self.pending.values()
        )

    async def _assign(self, start: allocators.Start) -> None:
        placement = start.placement
        task_id = placement.task.spec.id
        # A scan that started before the commit may still return the row, and
        # the task would be placed twice.
        self._assigned_versions[task_id] = placement.version
        await self._scheduler.assign(start.worker, placement)
        if placement.is_committed:
            await anyio.sleep(2 * QUEUE_POLL_PERIOD_S)
        self._assigned_versions.pop(task_id, None)

    def _all_workers(self) -> typing.Iterator[typing.Any]:
        for rack in self._scheduler.racks.values():
            yield from rack.workers.values()

    async def _end_if_impossible(
        self, waiting: queues.PendingTask, now_s: float
    ) -> None:
        needs = waiting.task.spec.needs
        if now_s - waiting.since_s < IMPOSSIBLE_AFTER_S + waiting.min_wait_s:
            return
        self._capacity_seen_s = {
            capacity: seen_s
            for capacity, seen_s in self._capacity_seen_s.items()
            if now_s - seen_s < CAPACITY_RETENTION_S
        }
        if not self._capacity_seen_s:
            waiting.reason = "the host list names no worker in this zone"
            return
        if any(needs.fits(capacity) for capacity in self._capacity_seen_s):
            return
        await self._end_as_impossible(waiting)

    async def _end_as_impossible(self, waiting: queues.PendingTask) -> None:
        task = waiting.task
        needs = task.spec.needs
        task.state = tasks.TaskState.IMPOSSIBLE
        task.ended_unix_s = time.time()
        task.reason = (
            f"no worker in zone {self._scheduler.zone} is large enough for "
            f"{needs.cores:g} cores, {needs.memory_bytes / 2**30:g} GiB and "
            f"{needs.accelerators} accelerators; submit it with smaller "
            "needs, or add a larger worker"
        )
        old_key = keys.pending(self._scheduler.zone, task.spec.id)
        new_key = keys.ended(task.spec.id)
        pointer = tasks.TaskPointer(key=new_key)
        await self._scheduler.commits.commit(
            conditions=[
                platforms.Condition(key=old_key, version=waiting.version)
            ],
            writes=[
                platforms.Write(key=old_key),
                platforms.Write(key=new_key, value=rows.to_value(task)),
                platforms.Write(
                    key=keys.pointer(task.spec.id),
                    value=rows.to_value(pointer),
                ),
            ],
        )
        self.allocator.withdraw(task.spec.id)
        _LOG.log(events.TASK_IMPOSSIBLE, task=task.spec.id, needs=str(needs))

    async def _follow_usage(self) -> None:
        while True:
            await anyio.sleep(USAGE_POLL_PERIOD_S)
            now_s = anyio.current_time()
            placed = set()
            for worker in self._all_workers():
                placed |= worker.placements.keys()
                if worker.usage:
                    self.monitor.observe(
                        worker, list(worker.usage.values()), now_s=now_s
                    )
            self.monitor.forget_except(placed)
