"""Simulates tasks that slow each other down, to compare policies."""

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
# Core-seconds of batch jobs submitted each second, as a share of all cores.
OFFERED_SHARE = 0.4
# Every WAVE_PERIOD_S starts with a wave of noisy jobs: for WAVE_LENGTH_S,
# this share of the submitted batch jobs is of the noisy class.
WAVE_NOISY_SHARE = 0.7
WAVE_PERIOD_S = 150
WAVE_LENGTH_S = 40
# Time that an evicted task takes to write its checkpoint and stop.
CHECKPOINT_S = 3
# Share of the evictions in which the checkpoint is lost.
CHECKPOINT_LOST_SHARE = 0.1
RESTART_S = 5.0


class DeclaredSizes(sizes.SizeEstimator):
    """Predicts that each task uses exactly its declared resources."""

    __slots__ = ()

    def is_known(self, name: str) -> bool:
        """Return True: no class has to be measured."""
        return True

    def predict(
        self, name: str, declared: resources.Resources
    ) -> resources.Resources:
        """Return the declared resources."""
        return declared


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedTask:
    """State of a task that the policies do not see.

    Attributes:
        spec: Specification as submitted.
        actual: Resources that the task actually uses.
        run_s: Run time in seconds without any slowdown.
        done_s: Seconds of `run_s` that are done.
        checkpointed_s: Seconds of `run_s` in the newest checkpoint.
        startup_s: Seconds until the task makes progress after a start.
        stops_at_s: Simulated time at which an evicted task stops; 0 if it
            is not being evicted.
        submitted_s: Simulated time of submission.
    """

    spec: tasks.TaskSpec
    actual: resources.Resources
    run_s: float
    done_s: float = 0.0
    checkpointed_s: float = 0.0
    startup_s: float = RESTART_S
    stops_at_s: float = 0.0
    submitted_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulationResult:
    """Results of a run of the simulation.

    Attributes:
        slowdowns: Slowdown of each service instance in each second after
            the first minute.
        finished_core_s: Work of the finished jobs in core-seconds.
        lost_core_s: Work since the last checkpoint of evicted and killed
            jobs, and their restarts, in core-seconds.
        evictions: Number of evictions of jobs.
        overruns: Number of times that a job was killed because its worker
            was out of memory.
        max_allocated_share: Largest share of a worker's memory that the
            allocator had allocated.
    """

    slowdowns: list[float] = dataclasses.field(default_factory=list)
    finished_core_s: float = 0.0
    lost_core_s: float = 0.0
    evictions: int = 0
    overruns: int = 0
    max_allocated_share: float = 0.0

    def p99_slowdown(self) -> float:
        """Return the 99th percentile of the slowdowns."""
        ordered = sorted(self.slowdowns)
        return ordered[int(0.99 * len(ordered))]


class ColocationSimulation:
    """Simulates the workers of a site in steps of one second.

    Args:
        site: Workers and workload to simulate.
        seed: Seed of the true slowdowns, the workload and the policies.
        placement: Name of the placement policy.
        throttling: Name of the throttling policy.
        eviction: Name of the eviction policy.
        is_oracle: Whether the policies know the true slowdowns and sizes.
        learns_sizes: Whether the sizes of task classes are learned from
            usage reports.
    """

    __slots__ = (
        "_are_sizes_exact",
        "_delayed_reports",
        "_rng",
        "_site",
        "_submitted_count",
        "_tasks",
        "_true_slowdowns",
        "_unsubmitted_core_s",
        "_workload_rng",
        "allocator",
        "monitor",
        "now_s",
        "result",
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
        self._true_slowdowns = sites.TrueSlowdowns(
            site=site, rng=random.Random(seed)
        )
        self._workload_rng = random.Random(seed + 1)
        self._rng = random.Random(seed + 2)
        self._are_sizes_exact = is_oracle
        is_learning = learns_sizes and not is_oracle
        self.allocator = allocators.Allocator(
            rng=random.Random(seed + 3),
            placement=placement,
            eviction=eviction,
            team_quotas=quotas.Quotas(quotas={site.team: site.quota}),
            estimates=self._true_slowdowns if is_oracle else None,
            size_estimator=None if is_learning else DeclaredSizes(),
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
        self._tasks: dict[str, SimulatedTask] = {}
        self._delayed_reports: dict[str, collections.deque] = {
            worker.name: collections.deque() for worker in self.workers
        }
        self._submitted_count = 0
        self._unsubmitted_core_s = 0.0
        self.now_s = 0.0
        self.result = SimulationResult()

    def _submit(
        self, task_class: sites.TaskClass, kind: tasks.TaskKind
    ) -> None:
        rng = self._workload_rng
        self._submitted_count += 1
        actual = resources.Resources(
            cores=task_class.cores * math.exp(rng.gauss(0, 0.15)),
            memory_bytes=int(
                task_class.memory_gib * GIB * math.exp(rng.gauss(0, 0.1))
            ),
        )
        factor = task_class.declared_ratio or 10 ** rng.uniform(-1, 1)
        factor *= math.exp(rng.gauss(0, 0.1))
        declared = actual
        if kind == tasks.TaskKind.BATCH and not self._are_sizes_exact:
            declared = resources.Resources(
                cores=min(60.0, max(0.25, actual.cores * factor)),
                memory_bytes=min(
                    240 * GIB, int(max(0.25, factor) * actual.memory_bytes)
                ),
            )
        run_s = task_class.run_s * math.exp(rng.gauss(0, 0.4))
        spec = tasks.TaskSpec(
            id=f"{task_class.name}-{self._submitted_count}",
            team=self._site.team,
            kind=kind,
            needs=declared,
            task_class=task_class.name,
        )
        self._tasks[spec.id] = SimulatedTask(
            spec=spec, actual=actual, run_s=run_s, submitted_s=self.now_s
        )
        self._enqueue(spec)

    def _enqueue(self, spec: tasks.TaskSpec) -> None:
        self.allocator.queue.add(
            tasks.Task(spec=spec, zone="zone"), version=1, now_s=self.now_s
        )

    def run(self, *, seconds: int) -> SimulationResult:
        """Run the simulation and return its results.

        Args:
            seconds: Simulated length of the run.
        """
        for _number in range(self._site.instances):
            self._submit(self._site.service, tasks.TaskKind.SERVICE)
        for second in range(seconds):
            self.now_s = float(second)
            if second >= 5:
                self._submit_batch(second)
            self._step_workers(second)
            self.allocator.refresh(self.workers, now_s=self.now_s)
            self.allocator.place(now_s=self.now_s)
        return self.result

    def _submit_batch(self, second: int) -> None:
        in_wave = second % WAVE_PERIOD_S < WAVE_LENGTH_S
        rng = self._workload_rng
        self._unsubmitted_core_s += OFFERED_SHARE * 64 * self._site.workers
        while self._unsubmitted_core_s > 0:
            if in_wave and rng.random() < WAVE_NOISY_SHARE:
                task_class = self._site.batch[-1]
            else:
                task_class = rng.choice(self._site.batch[:-1])
            self._unsubmitted_core_s -= task_class.cores * task_class.run_s
            self._submit(task_class, tasks.TaskKind.BATCH)

    def _step_workers(self, second: int) -> None:
        for number, worker in enumerate(self.workers):
            reports = self._step_worker(worker)
            delayed = self._delayed_reports[worker.name]
            delayed.append(reports)
            if len(delayed) <= REPORT_LAG_S:
                continue
            reports = delayed.popleft()
            if (second + number) % REPORT_PERIOD_S == 0 and reports:
                self.monitor.observe(worker, reports, now_s=self.now_s)
        self.monitor.forget_except(self._tasks.keys())

    def _neighbours(
        self, worker: workers.Worker
    ) -> dict[str, interference.Neighbour]:
        loads: dict[str, float] = {}
        for task_id, placement in worker.placements.items():
            name = indexes.class_of(placement.task.spec)
            cores = self._tasks[task_id].actual.cores * placement.throttle
            loads[name] = loads.get(name, 0.0) + cores / 64.0
        return {
            name: interference.Neighbour(name=name, load=load)
            for name, load in loads.items()
        }

    def _step_worker(
        self, worker: workers.Worker
    ) -> list[worker_links.UsageReport]:
        self._kill_overruns(worker)
        allocated_share = (
            1 - worker.free.memory_bytes / worker.capacity.memory_bytes
        )
        self.result.max_allocated_share = max(
            self.result.max_allocated_share, allocated_share
        )
        neighbours = self._neighbours(worker)
        worker_load = sum(other.load for other in neighbours.values())
        # Slowdown of each class by all classes on the worker, its own
        # included; each task divides out what it contributes itself.
        slowdowns = {
            name: self._true_slowdowns.slowdown(
                name, list(neighbours.values()), worker_load
            )
            for name in neighbours
        }
        reports = []
        for task_id, placement in list(worker.placements.items()):
            simulated = self._tasks[task_id]
            name = indexes.class_of(simulated.spec)
            own_harm = (
                self._true_slowdowns.harm(name, name, 0.0)
                * simulated.actual.cores
            )
            own_harm *= placement.throttle / 64.0 * (0.7 + 0.5 * worker_load)
            slowdown = max(1.0, slowdowns[name] / math.exp(own_harm))
            speed = placement.throttle / slowdown
            self._advance(worker, placement, simulated, speed, slowdown)
            reports.append(self._report(placement, simulated, speed))
        return reports

    def _report(
        self,
        placement: workers.Placement,
        simulated: SimulatedTask,
        speed: float,
    ) -> worker_links.UsageReport:
        noise = math.exp(self._rng.gauss(0, 0.03))
        return worker_links.UsageReport(
            task=simulated.spec.id,
            attempt=placement.task.attempt,
            used=resources.Resources(
                cores=simulated.actual.cores * placement.throttle,
                memory_bytes=simulated.actual.memory_bytes,
            ),
            speed=min(1.0, speed * noise),
            measured_s=self.now_s,
        )

    def _advance(
        self,
        worker: workers.Worker,
        placement: workers.Placement,
        simulated: SimulatedTask,
        speed: float,
        slowdown: float,
    ) -> None:
        if simulated.spec.kind != tasks.TaskKind.BATCH:
            if self.now_s > 60:
                self.result.slowdowns.append(slowdown)
            return
        if simulated.startup_s > 0:
            simulated.startup_s -= 1.0
        else:
            simulated.done_s += speed
        if simulated.done_s >= simulated.run_s:
            worker.remove(simulated.spec.id)
            del self._tasks[simulated.spec.id]
            self.result.finished_core_s += (
                simulated.run_s * simulated.actual.cores
            )
            return
        if placement.eviction_reason and not simulated.stops_at_s:
            simulated.stops_at_s = self.now_s + CHECKPOINT_S
        if simulated.stops_at_s and self.now_s >= simulated.stops_at_s:
            if self._rng.random() >= CHECKPOINT_LOST_SHARE:
                simulated.checkpointed_s = simulated.done_s
            self.result.evictions += 1
            self._requeue(worker, simulated)

    def _requeue(
        self, worker: workers.Worker, simulated: SimulatedTask
    ) -> None:
        worker.remove(simulated.spec.id)
        lost_s = simulated.done_s - simulated.checkpointed_s + RESTART_S
        self.result.lost_core_s += lost_s * simulated.actual.cores
        simulated.done_s = simulated.checkpointed_s
        simulated.startup_s = RESTART_S
        simulated.stops_at_s = 0.0
        self._enqueue(simulated.spec)

    def _kill_overruns(self, worker: workers.Worker) -> None:
        running = [self._tasks[task_id] for task_id in worker.placements]
        used = sum(simulated.actual.memory_bytes for simulated in running)
        for simulated in reversed(running):
            if used <= worker.capacity.memory_bytes:
                return
            if simulated.spec.kind == tasks.TaskKind.BATCH:
                used -= simulated.actual.memory_bytes
                self.result.overruns += 1
                self._requeue(worker, simulated)
