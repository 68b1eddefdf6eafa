"""Benchmarks placement: slowdowns, work, evictions and decision times."""

import functools
import json
import pathlib
import random
import time
import tracemalloc

import anyio
import trio.testing

from wisteriawood.bench import base
from wisteriawood.bench import colocations
from wisteriawood.bench import sites
from wisteriawood.contracts import holdings
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import jobs
from wisteriawood.links import platforms
from wisteriawood.machines import allocators
from wisteriawood.machines import workers
from wisteriawood.standins import processes
from wisteriawood.standins import worlds

SIMULATED_SECONDS = 400
SEEDS = (1, 2)
SITES = (sites.KROUPA, sites.VITRINENKLIMA)
WORKER_COUNTS = (25, 250, 2_500, 20_000)
DECISIONS = 1_500
TASKS_PER_WORKER = 6
URGENT_JOBS = 8
SLOPES_PATH = pathlib.Path(__file__).parents[2] / "docs/slopes/placement.json"
COMMAND = "python -m wisteriawood.bench tasks"
GIB = 2**30


def _run(
    site: sites.Site, seed: int, **policies
) -> colocations.SimulationResult:
    simulation = colocations.ColocationSimulation(
        site=site, seed=seed, **policies
    )
    return simulation.run(seconds=SIMULATED_SECONDS)


def _measure_site(site: sites.Site) -> list[base.Measurement]:
    def _runs(seeds=SEEDS, **policies) -> list[colocations.SimulationResult]:
        return [_run(site, seed, **policies) for seed in seeds]

    oracle = _runs(is_oracle=True)
    default = _runs()
    least_loaded = _runs(placement="least-loaded")
    first_fit = _runs(seeds=SEEDS[:1], placement="first-fit")
    make = functools.partial(_make_measurement, site)
    ratios = [
        actual.finished_core_s / ideal.finished_core_s
        for actual, ideal in zip(default, oracle, strict=True)
    ]
    evictions = sum(result.evictions for result in default)
    baseline_evictions = sum(result.evictions for result in least_loaded)
    measurements = [
        make("service-p99-slowdown", _max_p99(default), "times", at_most=1.1),
        make("batch-of-oracle", min(ratios), "of it", at_least=0.9),
        make(
            "evictions-of-least-loaded",
            evictions / max(1, baseline_evictions),
            "of them",
            at_most=0.5,
        ),
        make(
            "memory-counted",
            _max_allocated_share(default),
            "of all",
            at_most=1.0,
        ),
        make("memory-overruns", _sum("overruns", default), "jobs"),
    ]
    for name, results in (
        ("oracle", oracle),
        ("least-harm", default),
        ("least-loaded", least_loaded),
        ("first-fit", first_fit),
    ):
        run_count = len(results)
        work = _sum("finished_core_s", results) / 3600 / run_count
        lost = _sum("lost_core_s", results) / 3600 / run_count
        evicted = _sum("evictions", results) / run_count
        measurements += [
            make(f"{name}/p99-slowdown", _max_p99(results), "times"),
            make(f"{name}/batch-finished", work, "core-h/run"),
            make(f"{name}/evictions", evicted, "jobs/run"),
            make(f"{name}/work-lost", lost, "core-h/run"),
        ]
    return measurements


def _make_measurement(
    site: sites.Site, name: str, value: float, unit: str, **bounds
) -> base.Measurement:
    name = f"tasks/{site.team}/{name}"
    return base.Measurement(name=name, value=value, unit=unit, **bounds)


def _max_p99(results: list[colocations.SimulationResult]) -> float:
    return max(result.p99_slowdown() for result in results)


def _max_allocated_share(results: list[colocations.SimulationResult]) -> float:
    return max(result.max_allocated_share for result in results)


def _sum(field: str, results: list[colocations.SimulationResult]) -> float:
    return sum(getattr(result, field) for result in results)


def _spec(number: int, rng: random.Random, **fields) -> tasks.TaskSpec:
    needs = resources.Resources(
        cores=rng.choice((1, 2, 4, 8)),
        memory_bytes=rng.choice((2, 4, 8, 16)) * GIB,
    )
    return tasks.TaskSpec(
        id=f"task-{number}",
        team=f"team-{number % 20}",
        kind=tasks.TaskKind.BATCH,
        needs=fields.pop("needs", needs),
        task_class=f"class-{number % 3}",
        **fields,
    )


def _make_workers(count: int, rng: random.Random) -> list[workers.Worker]:
    new_workers = []
    for number in range(count):
        worker = workers.Worker(
            name=f"worker-{number}",
            rack=f"rack-{number // 8}",
            address="",
            capacity=colocations.CAPACITY,
            link=None,
        )
        worker.is_connected = True
        for index in range(TASKS_PER_WORKER):
            spec = _spec(number * TASKS_PER_WORKER + index, rng)
            worker.add(
                workers.Placement(
                    task=tasks.Task(spec=spec, zone="zone"),
                    version=1,
                    allocated=spec.needs,
                    is_committed=True,
                )
            )
        new_workers.append(worker)
    return new_workers


def _time_decisions(count: int) -> list[float]:
    """Return the durations of many decisions in seconds, sorted."""
    rng = random.Random(count)
    allocator = allocators.Allocator(rng=rng)
    allocator.refresh(_make_workers(count, rng), now_s=0.0)
    durations_s = []
    for number in range(DECISIONS):
        spec = _spec(10_000_000 + number, rng, urgent=True)
        task = tasks.Task(spec=spec, zone="zone")
        allocator.queue.add(task, version=1, now_s=0.0)
        started_s = time.perf_counter()
        starts = allocator.place(now_s=0.0)
        durations_s.append(time.perf_counter() - started_s)
        for start in starts:
            start.worker.remove(spec.id)
            allocator.index.update(start.worker)
        allocator.withdraw(spec.id)
    return sorted(durations_s)


def _measure_decisions() -> list[base.Measurement]:
    medians_us = {}
    measurements = []
    for count in WORKER_COUNTS:
        durations_s = _time_decisions(count)
        medians_us[count] = durations_s[len(durations_s) // 2] * 1e6
        p99_us = durations_s[int(0.99 * len(durations_s))] * 1e6
        rate = len(durations_s) / sum(durations_s)
        prefix = f"tasks/decisions/{count}-workers"
        measurements += [
            base.Measurement(name=f"{prefix}/rate", value=rate, unit="1/s"),
            base.Measurement(
                name=f"{prefix}/p99", value=p99_us, unit="us", at_most=20_000
            ),
        ]
    ratio = medians_us[WORKER_COUNTS[-1]] / medians_us[WORKER_COUNTS[0]]
    measurements.append(
        base.Measurement(
            name="tasks/decisions/20000-against-25",
            value=ratio,
            unit="times",
            at_most=4.0,
        )
    )
    return measurements


def _measure_memory(count: int = 2_500) -> list[base.Measurement]:
    rng = random.Random(1)
    tracemalloc.start()
    new_workers = _make_workers(count, rng)
    workers_bytes = tracemalloc.get_traced_memory()[0]
    allocator = allocators.Allocator(rng=rng)
    empty_bytes = tracemalloc.get_traced_memory()[0]
    allocator.refresh(new_workers, now_s=0.0)
    full_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        base.Measurement(
            name="tasks/memory/index-per-worker",
            value=(full_bytes - empty_bytes) / count,
            unit="bytes",
            at_most=4_096,
        ),
        base.Measurement(
            name="tasks/memory/placement-per-task",
            value=workers_bytes / (count * TASKS_PER_WORKER),
            unit="bytes",
            at_most=4_096,
        ),
    ]


async def _measure_urgent_starts_s() -> list[float]:
    """Return the seconds from submission to start of each urgent job.

    Batch jobs fill the zone, so that each start requires an eviction.
    """
    async with anyio.create_task_group() as group:
        world = worlds.World(group=group, seed=1)
        standin_workers = _add_zone(world)
        rng = random.Random(1)
        needs = resources.Resources(cores=15.0, memory_bytes=20 * GIB)
        batch_specs = [
            _spec(number, rng, needs=needs, run_s=3600.0)
            for number in range(24)
        ]
        await jobs.submit(world.platform, batch_specs, zone="linz-a")
        await anyio.sleep(60.0)
        durations_s = []
        for number in range(URGENT_JOBS):
            await anyio.sleep(5.0 + rng.random())
            spec = _spec(100 + number, rng, needs=needs, run_s=3600.0)
            spec.urgent = True
            submitted_s = anyio.current_time()
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(4.0)
            started_s = [
                record.started_s
                for worker in standin_workers
                for record in worker.records
                if record.task == spec.id
            ]
            durations_s.append(min(started_s, default=1e9) - submitted_s)
        group.cancel_scope.cancel()
    return durations_s


def _add_zone(world: worlds.World) -> list:
    standin_workers = []
    for number in range(4):
        name = f"worker-{number}"
        host = platforms.Host(
            name=name,
            zone="linz-a",
            rack="rack-0",
            address=f"{name}:1",
            capacity=colocations.CAPACITY,
        )
        standin_workers.append(world.add_worker(host))
        # Each direction has the delay between the users' zones.
        world.delays_s["scheduler/linz-a-1", host.address] = 0.003
        world.delays_s[host.address, "scheduler/linz-a-1"] = 0.003
    world.delays_s["scheduler/linz-a-1", processes.PLATFORM] = 0.003
    world.delays_s[processes.PLATFORM, "scheduler/linz-a-1"] = 0.003
    world.add_scheduler(
        holdings.MemberRow(
            name="linz-a-1",
            role=holdings.Role.SCHEDULER,
            zone="linz-a",
            region="at-ost",
            incarnation="1",
            peer_address="scheduler-1:1",
        )
    )
    return standin_workers


def _measure_urgent() -> list[base.Measurement]:
    clock = trio.testing.MockClock(autojump_threshold=0)
    durations_s = anyio.run(
        _measure_urgent_starts_s,
        backend="trio",
        backend_options={"clock": clock},
    )
    return [
        base.Measurement(
            name="tasks/urgent-start/longest",
            value=max(durations_s),
            unit="s",
            at_most=1.6,
        )
    ]


def _write_slopes(measurements: list[base.Measurement]) -> None:
    slopes = [
        {
            "name": measurement.name,
            "value": float(f"{measurement.value:.4g}"),
            "unit": measurement.unit,
            "per": (
                measurement.name.rsplit("-per-", 1)[-1]
                if "-per-" in measurement.name
                else "decision"
            ),
            "command": COMMAND,
        }
        for measurement in measurements
        if measurement.name.startswith(("tasks/decisions", "tasks/memory"))
    ]
    SLOPES_PATH.write_text(
        json.dumps(slopes, indent=2) + "\n", encoding="utf-8"
    )


@base.BENCHMARKS.register("tasks")
def bench_tasks() -> list[base.Measurement]:
    """Measure placement at the teams' sizes and up to 20,000 workers."""
    measurements = []
    for site in SITES:
        measurements += _measure_site(site)
    measurements += _measure_urgent()
    measurements += _measure_decisions()
    measurements += _measure_memory()
    _write_slopes(measurements)
    return measurements
