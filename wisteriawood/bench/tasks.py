"""How well tasks are placed: harm, work done, evictions and decisions."""

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

SECONDS = 400
SEEDS = (1, 2)
SITES = (sites.KROUPA, sites.VITRINENKLIMA)
SIZES = (25, 250, 2_500, 20_000)
DECISIONS = 1_500
TASKS_PER_WORKER = 6
URGENT_JOBS = 8
SLOPES = pathlib.Path(__file__).parents[2] / "docs/slopes/placement.json"
COMMAND = "python -m wisteriawood.bench tasks"
GIB = 2**30


def _run(site: sites.Site, seed: int, **policies) -> colocations.Tally:
    found = colocations.Colocation(site=site, seed=seed, **policies)
    return found.run(seconds=SECONDS)


def _measure_site(site: sites.Site) -> list[base.Measure]:
    def _all(seeds=SEEDS, **policies) -> list[colocations.Tally]:
        return [_run(site, seed, **policies) for seed in seeds]

    oracle = _all(is_oracle=True)
    own = _all()
    loaded = _all(placement="least-loaded")
    first = _all(seeds=SEEDS[:1], placement="first-fit")
    measure = functools.partial(_measure, site)
    ratios = [
        mine.finished_core_s / best.finished_core_s
        for mine, best in zip(own, oracle, strict=True)
    ]
    evictions = sum(tally.evictions for tally in own)
    baseline = sum(tally.evictions for tally in loaded)
    measures = [
        measure("service-p99-slowdown", _worst(own), "times", at_most=1.1),
        measure("batch-of-oracle", min(ratios), "of it", at_least=0.9),
        measure(
            "evictions-of-least-loaded",
            evictions / max(1, baseline),
            "of them",
            at_most=0.5,
        ),
        measure("memory-counted", _most_counted(own), "of all", at_most=1.0),
        measure("memory-overruns", _sum("overruns", own), "jobs"),
    ]
    for name, found in (
        ("oracle", oracle),
        ("least-harm", own),
        ("least-loaded", loaded),
        ("first-fit", first),
    ):
        runs = len(found)
        work = _sum("finished_core_s", found) / 3600 / runs
        lost = _sum("lost_core_s", found) / 3600 / runs
        evicted = _sum("evictions", found) / runs
        measures += [
            measure(f"{name}/p99-slowdown", _worst(found), "times"),
            measure(f"{name}/batch-finished", work, "core-h/run"),
            measure(f"{name}/evictions", evicted, "jobs/run"),
            measure(f"{name}/work-lost", lost, "core-h/run"),
        ]
    return measures


def _measure(
    site: sites.Site, name: str, value: float, unit: str, **bounds
) -> base.Measure:
    name = f"tasks/{site.team}/{name}"
    return base.Measure(name=name, value=value, unit=unit, **bounds)


def _worst(tallies: list[colocations.Tally]) -> float:
    return max(tally.p99() for tally in tallies)


def _most_counted(tallies: list[colocations.Tally]) -> float:
    return max(tally.most_counted for tally in tallies)


def _sum(field: str, tallies: list[colocations.Tally]) -> float:
    return sum(getattr(tally, field) for tally in tallies)


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
    found = []
    for number in range(count):
        worker = workers.Worker(
            name=f"worker-{number}",
            rack=f"rack-{number // 8}",
            address="",
            capacity=colocations.CAPACITY,
            link=None,
        )
        worker.is_connected = True
        for place in range(TASKS_PER_WORKER):
            spec = _spec(number * TASKS_PER_WORKER + place, rng)
            worker.add(
                workers.Placement(
                    task=tasks.Task(spec=spec, zone="zone"),
                    version=1,
                    allocated=spec.needs,
                    is_committed=True,
                )
            )
        found.append(worker)
    return found


def _time_decisions(count: int) -> list[float]:
    """Return the seconds that each of many decisions took, in order."""
    rng = random.Random(count)
    allocator = allocators.Allocator(rng=rng)
    allocator.refresh(_make_workers(count, rng), now_s=0.0)
    taken_s = []
    for number in range(DECISIONS):
        spec = _spec(10_000_000 + number, rng, urgent=True)
        task = tasks.Task(spec=spec, zone="zone")
        allocator.queue.add(task, version=1, now_s=0.0)
        started_s = time.perf_counter()
        starts = allocator.place(now_s=0.0)
        taken_s.append(time.perf_counter() - started_s)
        for start in starts:
            start.worker.remove(spec.id)
            allocator.index.update(start.worker)
        allocator.withdraw(spec.id)
    return sorted(taken_s)


def _measure_decisions() -> list[base.Measure]:
    medians_us = {}
    measures = []
    for count in SIZES:
        taken_s = _time_decisions(count)
        medians_us[count] = taken_s[len(taken_s) // 2] * 1e6
        p99_us = taken_s[int(0.99 * len(taken_s))] * 1e6
        rate = len(taken_s) / sum(taken_s)
        prefix = f"tasks/decisions/{count}-workers"
        measures += [
            base.Measure(name=f"{prefix}/rate", value=rate, unit="1/s"),
            base.Measure(
                name=f"{prefix}/p99", value=p99_us, unit="us", at_most=20_000
            ),
        ]
    ratio = medians_us[SIZES[-1]] / medians_us[SIZES[0]]
    measures.append(
        base.Measure(
            name="tasks/decisions/20000-against-25",
            value=ratio,
            unit="times",
            at_most=4.0,
        )
    )
    return measures


def _measure_memory(count: int = 2_500) -> list[base.Measure]:
    rng = random.Random(1)
    tracemalloc.start()
    found = _make_workers(count, rng)
    bare_bytes = tracemalloc.get_traced_memory()[0]
    allocator = allocators.Allocator(rng=rng)
    empty_bytes = tracemalloc.get_traced_memory()[0]
    allocator.refresh(found, now_s=0.0)
    full_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        base.Measure(
            name="tasks/memory/index-per-worker",
            value=(full_bytes - empty_bytes) / count,
            unit="bytes",
            at_most=4_096,
        ),
        base.Measure(
            name="tasks/memory/placement-per-task",
            value=bare_bytes / (count * TASKS_PER_WORKER),
            unit="bytes",
            at_most=4_096,
        ),
    ]


async def _urgent_starts_s() -> list[float]:
    """Return the seconds until each urgent job starts in a full zone."""
    async with anyio.create_task_group() as group:
        world = worlds.World(group=group, seed=1)
        found = _add_machines(world)
        rng = random.Random(1)
        needs = resources.Resources(cores=15.0, memory_bytes=20 * GIB)
        filling = [
            _spec(number, rng, needs=needs, run_s=3600.0)
            for number in range(24)
        ]
        await jobs.submit(world.platform, filling, zone="linz-a")
        await anyio.sleep(60.0)
        taken_s = []
        for number in range(URGENT_JOBS):
            await anyio.sleep(5.0 + rng.random())
            spec = _spec(100 + number, rng, needs=needs, run_s=3600.0)
            spec.urgent = True
            submitted_s = anyio.current_time()
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(4.0)
            started_s = [
                record.started_s
                for worker in found
                for record in worker.records
                if record.task == spec.id
            ]
            taken_s.append(min(started_s, default=1e9) - submitted_s)
        group.cancel_scope.cancel()
    return taken_s


def _add_machines(world: worlds.World) -> list:
    found = []
    for number in range(4):
        name = f"worker-{number}"
        host = platforms.Host(
            name=name,
            zone="linz-a",
            rack="rack-0",
            address=f"{name}:1",
            capacity=colocations.CAPACITY,
        )
        found.append(world.add_worker(host))
        # Every call takes as long as the users' zones are apart.
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
    return found


def _measure_urgent() -> list[base.Measure]:
    clock = trio.testing.MockClock(autojump_threshold=0)
    taken_s = anyio.run(
        _urgent_starts_s, backend="trio", backend_options={"clock": clock}
    )
    return [
        base.Measure(
            name="tasks/urgent-start/longest",
            value=max(taken_s),
            unit="s",
            at_most=1.6,
        )
    ]


def _write_slopes(measures: list[base.Measure]) -> None:
    slopes = [
        {
            "name": measure.name,
            "value": float(f"{measure.value:.4g}"),
            "unit": measure.unit,
            "per": (
                measure.name.rsplit("-per-", 1)[-1]
                if "-per-" in measure.name
                else "decision"
            ),
            "command": COMMAND,
        }
        for measure in measures
        if measure.name.startswith(("tasks/decisions", "tasks/memory"))
    ]
    SLOPES.write_text(json.dumps(slopes, indent=2) + "\n", encoding="utf-8")


@base.BENCHES.register("tasks")
def run() -> list[base.Measure]:
    """Measure placement at the teams' sizes and as workers grow."""
    measures = []
    for site in SITES:
        measures += _measure_site(site)
    measures += _measure_urgent()
    measures += _measure_decisions()
    measures += _measure_memory()
    _write_slopes(measures)
    return measures
