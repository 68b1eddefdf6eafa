"""Workers as lists of tasks with slowdowns, to measure policies on."""

import collections
import dataclasses
import math
import random

from wisteriawood.bench import sites
from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import allocators
from wisteriawood.machines import indexes
from wisteriawood.machines import monitors
from wisteriawood.machines import workers
from wisteriawood.policies import interference
from wisteriawood.policies import sizes

GIB = 2**30
CAPACITY = resources.Resources(cores=64.0, memory_bytes=250 * GIB)
RACK_SIZE = 8
REPORT_PERIOD_S = 3
REPORT_LAG_S = 3
# Batch work offered each second, as a share of all cores.
OFFERED_SHARE = 0.4
WAVE_SHARE = 0.7
WAVE_PERIOD_S = 150
WAVE_S = 40
CHECKPOINT_S = 3
CHECKPOINT_LOST_SHARE = 0.1
RESTART_S = 5.0


class DeclaredSizes(sizes.SizeEstimator):
    """Takes what is declared for the truth."""

    __slots__ = ()

    def is_known(self, name: str) -> bool:
        """Tell that nothing has to be measured."""
        return True

    def predict(
        self, name: str, declared: resources.Resources
    ) -> resources.Resources:
        """Return what is declared."""
        return declared


@dataclasses.dataclass(slots=True, kw_only=True)
class Running:
    """A task, as it really is.

    Attributes:
        spec: The task.
        true: What it really uses.
        run_s: Seconds that it runs alone.
        done_s: Seconds of that which are done.
        saved_s: Seconds of that in the newest checkpoint.
        wait_s: Seconds until it does anything after a start.
        leaves_s: Time at which its eviction ends; 0 if it stays.
        submitted_s: Time of submission.
    """

    spec: tasks.TaskSpec
    true: resources.Resources
    run_s: float
    done_s: float = 0.0
    saved_s: float = 0.0
    wait_s: float = RESTART_S
    leaves_s: float = 0.0
    submitted_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Tally:
    """What a run came to.

    Attributes:
        slowdowns: Slowdown of each service instance at each second.
        finished_core_s: Work of the finished jobs in core-seconds.
        lost_core_s: Work done twice in core-seconds.
        evictions: Jobs evicted.
        overruns: Jobs that the worker killed as its memory ran out.
        most_counted: Greatest share of a worker's memory that was counted.
    """

    slowdowns: list[float] = dataclasses.field(default_factory=list)
    finished_core_s: float = 0.0
    lost_core_s: float = 0.0
    evictions: int = 0
    overruns: int = 0
    most_counted: float = 0.0

    def p99(self) -> float:
        """Return the slowdown that 1% of the seconds exceed."""
        found = sorted(self.slowdowns)
        return found[int(0.99 * len(found))]


class Colocation:
    """A site in steps of one second.

    Args:
        site: Whose machines.
        seed: Seed of the workload.
        placement: Name of the placement policy.
        throttling: Name of the throttling policy.
        eviction: Name of the eviction policy.
        is_oracle: Whether the policies know slowdowns and sizes.
        learns_sizes: Whether sizes are learned.
    """

    __slots__ = (
        "_history",
        "_load_rng",
        "_number",
        "_offered_core_s",
        "_rng",
        "_running",
        "_site",
        "_sizes_known",
        "_truth",
        "allocator",
        "monitor",
        "now_s",
        "tally",
        "workers",
    )

    def __init__(
        self,
        *,
        site: sites.Site,
        seed: int,
        placement: str = "least-harm",
        throttling: str = "step-down",
        eviction: str = "cheapest-resume",
        is_oracle: bool = False,
        learns_sizes: bool = True,
    ):
        self._site = site
        self._truth = sites.Truth(site=site, rng=random.Random(seed))
        self._load_rng = random.Random(seed + 1)
        self._rng = random.Random(seed + 2)
        self._sizes_known = is_oracle
        learns = learns_sizes and not is_oracle
        self.allocator = allocators.Allocator(
            rng=random.Random(seed + 3),
            placement=placement,
            eviction=eviction,
            team_quotas=quotas.Quotas(quotas={site.team: site.quota}),
            estimates=self._truth if is_oracle else None,
            learned=None if learns else DeclaredSizes(),
        )
        self.monitor = monitors.Monitor(
            allocator=self.allocator, throttling=throttling
        )
        self.workers = [
            workers.Worker(
                name=f"worker-{number:03d}",
                rack=f"rack-{number // RACK_SIZE}",
                address="",
                capacity=CAPACITY,
                link=None,
            )
            for number in range(site.workers)
        ]
        for worker in self.workers:
            worker.is_connected = True
        self._running: dict[str, Running] = {}
        self._history: dict[str, collections.deque] = {
            worker.name: collections.deque() for worker in self.workers
        }
        self._number = 0
        self._offered_core_s = 0.0
        self.now_s = 0.0
        self.tally = Tally()

    def _submit(
        self, task_class: sites.TaskClass, kind: tasks.TaskKind
    ) -> None:
        rng = self._load_rng
        self._number += 1
        true = resources.Resources(
            cores=task_class.cores * math.exp(rng.gauss(0, 0.15)),
            memory_bytes=int(
                task_class.memory_gib * GIB * math.exp(rng.gauss(0, 0.1))
            ),
        )
        factor = task_class.bias or 10 ** rng.uniform(-1, 1)
        factor *= math.exp(rng.gauss(0, 0.1))
        declared = true
        if kind == tasks.TaskKind.BATCH and not self._sizes_known:
            declared = resources.Resources(
                cores=min(60.0, max(0.25, true.cores * factor)),
                memory_bytes=min(
                    240 * GIB, int(max(0.25, factor) * true.memory_bytes)
                ),
            )
        run_s = task_class.run_s * math.exp(rng.gauss(0, 0.4))
        spec = tasks.TaskSpec(
            id=f"{task_class.name}-{self._number}",
            team=self._site.team,
            kind=kind,
            needs=declared,
            task_class=task_class.name,
        )
        self._running[spec.id] = Running(
            spec=spec, true=true, run_s=run_s, submitted_s=self.now_s
        )
        self._queue(spec)

    def _queue(self, spec: tasks.TaskSpec) -> None:
        self.allocator.queue.add(
            tasks.Task(spec=spec, zone="zone"), version=1, now_s=self.now_s
        )

    def run(self, *, seconds: int) -> Tally:
        """Run the site and return what it came to.

        Args:
            seconds: Length of the run.
        """
        for _number in range(self._site.instances):
            self._submit(self._site.service, tasks.TaskKind.SERVICE)
        for second in range(seconds):
            self.now_s = float(second)
            if second >= 5:
                self._submit_batch(second)
            self._step_all(second)
            self.allocator.refresh(self.workers, now_s=self.now_s)
            self.allocator.place(now_s=self.now_s)
        return self.tally

    def _submit_batch(self, second: int) -> None:
        in_wave = second % WAVE_PERIOD_S < WAVE_S
        rng = self._load_rng
        self._offered_core_s += OFFERED_SHARE * 64 * self._site.workers
        while self._offered_core_s > 0:
            if in_wave and rng.random() < WAVE_SHARE:
                task_class = self._site.batch[-1]
            else:
                task_class = rng.choice(self._site.batch[:-1])
            self._offered_core_s -= task_class.cores * task_class.run_s
            self._submit(task_class, tasks.TaskKind.BATCH)

    def _step_all(self, second: int) -> None:
        for number, worker in enumerate(self.workers):
            reports = self._step(worker)
            history = self._history[worker.name]
            history.append(reports)
            if len(history) <= REPORT_LAG_S:
                continue
            reports = history.popleft()
            if (second + number) % REPORT_PERIOD_S == 0 and reports:
                self.monitor.observe(worker, reports, now_s=self.now_s)
        self.monitor.keep_only(self._running.keys())

    def _neighbours(
        self, worker: workers.Worker
    ) -> dict[str, interference.Neighbour]:
        loads: dict[str, float] = {}
        for task_id, placement in worker.placements.items():
            name = indexes.class_of(placement.task.spec)
            cores = self._running[task_id].true.cores * placement.throttle
            loads[name] = loads.get(name, 0.0) + cores / 64.0
        return {
            name: interference.Neighbour(name=name, load=load)
            for name, load in loads.items()
        }

    def _step(self, worker: workers.Worker) -> list[worker_links.UsageReport]:
        self._kill_overruns(worker)
        counted = 1 - worker.free.memory_bytes / worker.capacity.memory_bytes
        self.tally.most_counted = max(self.tally.most_counted, counted)
        neighbours = self._neighbours(worker)
        busy = sum(other.load for other in neighbours.values())
        # The harm that all of a class do, less that which one does itself.
        harms = {
            name: self._truth.slowdown(name, list(neighbours.values()), busy)
            for name in neighbours
        }
        reports = []
        for task_id, placement in list(worker.placements.items()):
            running = self._running[task_id]
            name = indexes.class_of(running.spec)
            own = self._truth.harm(name, name, 0.0) * running.true.cores
            own *= placement.throttle / 64.0 * (0.7 + 0.5 * busy)
            slowdown = max(1.0, harms[name] / math.exp(own))
            speed = placement.throttle / slowdown
            self._advance(worker, placement, running, speed, slowdown)
            reports.append(self._report(placement, running, speed))
        return reports

    def _report(
        self, placement: workers.Placement, running: Running, speed: float
    ) -> worker_links.UsageReport:
        noise = math.exp(self._rng.gauss(0, 0.03))
        return worker_links.UsageReport(
            task=running.spec.id,
            attempt=placement.task.attempt,
            used=resources.Resources(
                cores=running.true.cores * placement.throttle,
                memory_bytes=running.true.memory_bytes,
            ),
            speed=min(1.0, speed * noise),
            measured_s=self.now_s,
        )

    def _advance(
        self,
        worker: workers.Worker,
        placement: workers.Placement,
        running: Running,
        speed: float,
        slowdown: float,
    ) -> None:
        if running.spec.kind != tasks.TaskKind.BATCH:
            if self.now_s > 60:
                self.tally.slowdowns.append(slowdown)
            return
        if running.wait_s > 0:
            running.wait_s -= 1.0
        else:
            running.done_s += speed
        if running.done_s >= running.run_s:
            worker.remove(running.spec.id)
            del self._running[running.spec.id]
            self.tally.finished_core_s += running.run_s * running.true.cores
            return
        if placement.eviction_reason and not running.leaves_s:
            running.leaves_s = self.now_s + CHECKPOINT_S
        if running.leaves_s and self.now_s >= running.leaves_s:
            if self._rng.random() >= CHECKPOINT_LOST_SHARE:
                running.saved_s = running.done_s
            self.tally.evictions += 1
            self._take_off(worker, running)

    def _take_off(self, worker: workers.Worker, running: Running) -> None:
        worker.remove(running.spec.id)
        lost_s = running.done_s - running.saved_s + RESTART_S
        self.tally.lost_core_s += lost_s * running.true.cores
        running.done_s = running.saved_s
        running.wait_s = RESTART_S
        running.leaves_s = 0.0
        self._queue(running.spec)

    def _kill_overruns(self, worker: workers.Worker) -> None:
        found = [self._running[task_id] for task_id in worker.placements]
        used = sum(running.true.memory_bytes for running in found)
        for running in reversed(found):
            if used <= worker.capacity.memory_bytes:
                return
            if running.spec.kind == tasks.TaskKind.BATCH:
                used -= running.true.memory_bytes
                self.tally.overruns += 1
                self._take_off(worker, running)
