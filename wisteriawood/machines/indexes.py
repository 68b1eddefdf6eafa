"""Index of workers by their free resources."""

import bisect
import dataclasses
import math
import random
import typing

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.machines import workers
from wisteriawood.policies import interference

# Levels per doubling of the free cores. Free memory has one level per
# doubling.
CORE_LEVELS_PER_DOUBLING = 2.0
MEMORY_UNIT_BYTES = 2**28
# Workers sampled from the buckets into whose ranges the needs fall, where only
# some of the workers have enough resources free.
BORDERLINE_SAMPLE_SIZE = 48

Level = tuple[int, int, int]


def class_of(spec: tasks.TaskSpec) -> str:
    """Return the class under which usage and slowdowns are learned."""
    name = spec.task_class or spec.service or spec.kind.value
    return f"{spec.team}/{name}"


def group_of(spec: tasks.TaskSpec) -> str:
    """Return the group to spread over racks, or empty for batch tasks."""
    if spec.kind == tasks.TaskKind.BATCH:
        return ""
    return f"{spec.kind.value}/{class_of(spec)}"


def dominant_share(
    used: resources.Resources, total: resources.Resources
) -> float:
    """Return the dominant share: the largest share of any one resource."""
    return max(
        used.cores / total.cores if total.cores else 0.0,
        used.memory_bytes / total.memory_bytes if total.memory_bytes else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def load_of(placement: workers.Placement, worker: workers.Worker) -> float:
    """Return the share of a worker's cores that a task may use."""
    cores = placement.allocated.cores * placement.throttle
    return cores / max(worker.capacity.cores, 1.0)


def _levels(amount: resources.Resources, rounding: typing.Callable) -> Level:
    cores = max(amount.cores, 0.125)
    memory = max(amount.memory_bytes / MEMORY_UNIT_BYTES, 1.0)
    return (
        rounding(CORE_LEVELS_PER_DOUBLING * math.log2(cores)),
        rounding(math.log2(memory)),
        min(max(amount.accelerators, 0), 8),
    )


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class IndexEntry:
    """A worker in the index.

    Attributes:
        worker: The worker.
        free: Free resources at the last update.
        level: Key of its bucket; None while it is in no bucket.
        position: Position in the bucket.
        reserved_for: Task for which it is reserved; empty if none.
        used: Resources allocated to each team on it.
        groups: Number of instances of each group on it.
        neighbours: Classes that run on it, with their loads.
        log_slowdowns: Predicted logarithm of the slowdown of each class on it.
        changed_at_s: Monotonic time at which its tasks last changed.
        is_blocked: Whether it is on probation and gets no tasks.
        blocks_batch_jobs: Whether it gets no batch jobs other than urgent
            ones, because services on it are slowed or batch jobs throttled.
    """

    worker: workers.Worker
    free: resources.Resources | None = None
    level: Level | None = None
    position: int = 0
    reserved_for: str = ""
    used: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    groups: dict[str, int] = dataclasses.field(default_factory=dict)
    neighbours: dict[str, interference.Neighbour] = dataclasses.field(
        default_factory=dict
    )
    log_slowdowns: dict[str, float] = dataclasses.field(default_factory=dict)
    changed_at_s: float = 0.0
    is_blocked: bool = False
    blocks_batch_jobs: bool = False


def _add_neighbour(entry: IndexEntry, placement: workers.Placement) -> None:
    spec = placement.task.spec
    name = class_of(spec)
    load = load_of(placement, entry.worker)
    old = entry.neighbours.get(name)
    entry.neighbours[name] = interference.Neighbour(
        name=name,
        team=spec.team,
        kind=spec.kind,
        count=1 + (old.count if old else 0),
        load=load + (old.load if old else 0.0),
    )


class WorkerIndex:
    """Workers in buckets by the amount of free resources.

    The number of buckets depends only on the sizes of the workers, so a
    decision costs about the same for 25 workers as for 20,000.

    Args:
        rng: Source of random numbers.
    """

    __slots__ = (
        "_buckets",
        "_rng",
        "capacity",
        "entries",
        "rack_group_counts",
        "team_used",
    )

    def __init__(self, *, rng: random.Random):
        self._buckets: dict[Level, list[IndexEntry]] = {}
        self._rng = rng
        self.entries: dict[str, IndexEntry] = {}
        self.capacity = resources.NOTHING
        self.rack_group_counts: dict[tuple[str, str], int] = {}
        self.team_used: dict[str, resources.Resources] = {}

    def refresh(
        self, held: typing.Iterable[workers.Worker], *, now_s: float = 0.0
    ) -> None:
        """Update all entries, and remove workers that are not given.

        Args:
            held: All workers that may run tasks.
            now_s: Monotonic time in seconds.
        """
        names = set()
        for worker in held:
            names.add(worker.name)
            self.update(worker, now_s=now_s)
        for name in self.entries.keys() - names:
            self.remove(name)

    def update(
        self, worker: workers.Worker, *, now_s: float = 0.0
    ) -> IndexEntry:
        """Update the entry of one worker, or add it.

        Args:
            worker: The worker.
            now_s: Monotonic time in seconds.

        Returns:
            The worker's entry.
        """
        entry = self.entries.get(worker.name)
        if entry is not None and entry.worker is not worker:
            self.remove(worker.name)
            entry = None
        if entry is None:
            entry = self.entries[worker.name] = IndexEntry(worker=worker)
            self.capacity = self.capacity + worker.capacity
        # The worker replaces its free resources by a new object whenever its
        # allocations or its capacity change.
        if entry.free is not worker.free:
            entry.free = worker.free
            entry.changed_at_s = now_s
            self._update_usage(entry)
        self._update_bucket(entry)
        return entry

    def remove(self, name: str) -> None:
        """Remove a worker.

        Args:
            name: Name of the worker.
        """
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self._remove_from_bucket(entry)
        self._subtract_usage(entry)
        self.capacity = self.capacity - entry.worker.capacity

    def _update_bucket(self, entry: IndexEntry) -> None:
        worker = entry.worker
        accepts_tasks = worker.is_connected and not worker.leaving
        accepts_tasks = (
            accepts_tasks and not entry.reserved_for and not entry.is_blocked
        )
        level = _levels(entry.free, math.floor) if accepts_tasks else None
        if level == entry.level:
            return
        self._remove_from_bucket(entry)
        if level is not None:
            bucket = self._buckets.setdefault(level, [])
            entry.level, entry.position = level, len(bucket)
            bucket.append(entry)

    def _remove_from_bucket(self, entry: IndexEntry) -> None:
        if entry.level is None:
            return
        bucket = self._buckets[entry.level]
        last = bucket.pop()
        if last is not entry:
            bucket[entry.position] = last
            last.position = entry.position
        if not bucket:
            del self._buckets[entry.level]
        entry.level = None

    def _update_usage(self, entry: IndexEntry) -> None:
        self._subtract_usage(entry)
        rack = entry.worker.rack
        for placement in entry.worker.placements.values():
            spec = placement.task.spec
            used = entry.used.get(spec.team, resources.NOTHING)
            entry.used[spec.team] = used + placement.allocated
            _add_neighbour(entry, placement)
            if spec.kind != tasks.TaskKind.BATCH:
                group = group_of(spec)
                entry.groups[group] = entry.groups.get(group, 0) + 1
        for team, used in entry.used.items():
            total = self.team_used.get(team, resources.NOTHING)
            self.team_used[team] = total + used
        for group, count in entry.groups.items():
            key = (rack, group)
            self.rack_group_counts[key] = (
                self.rack_group_counts.get(key, 0) + count
            )

    def _subtract_usage(self, entry: IndexEntry) -> None:
        for team, used in entry.used.items():
            self.team_used[team] = self.team_used[team] - used
        for group, count in entry.groups.items():
            key = (entry.worker.rack, group)
            self.rack_group_counts[key] -= count
            if not self.rack_group_counts[key]:
                del self.rack_group_counts[key]
        entry.used = {}
        entry.groups = {}
        entry.neighbours = {}
        entry.log_slowdowns = {}

    def reserve(self, name: str, task: str) -> None:
        """Reserve a worker for one task; no other task is placed there.

        Args:
            name: Name of the worker.
            task: Id of the task; empty to end the reservation.
        """
        entry = self.entries.get(name)
        if entry is not None:
            entry.reserved_for = task
            self._update_bucket(entry)

    def refresh_usage(self, entry: IndexEntry) -> None:
        """Recompute the usage and loads of a worker after throttling.

        Args:
            entry: The worker's entry.
        """
        self._update_usage(entry)

    def team_share(self, team: str) -> float:
        """Return a team's dominant share of the capacity of all workers.

        Args:
            team: Name of the team.
        """
        used = self.team_used.get(team, resources.NOTHING)
        return dominant_share(used, self.capacity)

    def sample(
        self, needs: resources.Resources, count: int
    ) -> list[IndexEntry]:
        """Return random workers that have enough resources free.

        Args:
            needs: Resources that must be free.
            count: Maximum number of workers.
        """
        sufficient = _levels(needs, math.ceil)
        minimum = _levels(needs, math.floor)
        certain: list[list[IndexEntry]] = []
        borderline: list[list[IndexEntry]] = []
        for level, bucket in self._buckets.items():
            if level[2] < sufficient[2]:
                continue
            if level[0] >= sufficient[0] and level[1] >= sufficient[1]:
                certain.append(bucket)
            elif level[0] >= minimum[0] and level[1] >= minimum[1]:
                borderline.append(bucket)
        drawn = self._draw(certain, needs, count)
        if len(drawn) < count:
            extra = self._draw(borderline, needs, BORDERLINE_SAMPLE_SIZE)
            drawn += extra[: count - len(drawn)]
        return drawn

    def _draw(
        self,
        buckets: list[list[IndexEntry]],
        needs: resources.Resources,
        count: int,
    ) -> list[IndexEntry]:
        ends: list[int] = []
        total = 0
        for bucket in buckets:
            total += len(bucket)
            ends.append(total)
        if total <= count:
            drawn = [entry for bucket in buckets for entry in bucket]
        else:
            drawn = []
            for number in self._rng.sample(range(total), count):
                position = bisect.bisect_right(ends, number)
                start = ends[position - 1] if position else 0
                drawn.append(buckets[position][number - start])
        # Tasks may have been added to a worker since its bucket was chosen.
        return [entry for entry in drawn if needs.fits(entry.worker.free)]

    def sample_any(self, count: int) -> list[IndexEntry]:
        """Return random workers that accept tasks, including full ones.

        Args:
            count: Maximum number of workers.
        """
        return self._draw(list(self._buckets.values()), _ANY_AMOUNT, count)

    def fitting(self, needs: resources.Resources) -> list[IndexEntry]:
        """Return all workers that have enough resources free, by a scan.

        Args:
            needs: Resources that must be free.
        """
        return [
            entry
            for entry in self.entries.values()
            if entry.level is not None and needs.fits(entry.worker.free)
        ]


# Fits any worker, even one with negative free resources.
_ANY_AMOUNT = resources.Resources(
    cores=-math.inf, memory_bytes=-(2**62), accelerators=-(2**30)
)
