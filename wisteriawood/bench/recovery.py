"""Measures the takeover from a dead scheduler, and the cost of task starts."""

import gc
import json
import pathlib
import time
import tracemalloc

import anyio
import trio.testing

from wisteriawood.bench import base
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links.codecs import rows
from wisteriawood.links import jobs
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import schedulers
from wisteriawood.standins import processes
from wisteriawood.standins import workers
from wisteriawood.standins import worlds

ZONE = "linz-a"
TASK_COUNTS = (100, 1_000, 10_000)
TASKS_PER_WORKER = 50
WORKERS_PER_RACK = 8
PLATFORM_DELAY_S = 0.005
STARTS_PER_S = 1_000
START_SECONDS = 3
START_WORKERS = 200
STEADY_SECONDS = 5
TEAMS = 20
TASK_NEEDS = resources.Resources(cores=0.1, memory_bytes=2**24)
WORKER_CAPACITY = resources.Resources(cores=64.0, memory_bytes=2**38)
SLOPES_PATH = pathlib.Path(__file__).parents[2] / "docs/slopes/tasks.json"
COMMAND = "python -m wisteriawood.bench recovery"


class EndlessStandinWorker(workers.StandinWorker):
    """A stand-in worker whose attempts never end and need no async task."""

    __slots__ = ()

    async def _run_attempt(self, attempt: workers.Attempt) -> None:
        pass


def _spec(number: int) -> tasks.TaskSpec:
    return tasks.TaskSpec(
        id=f"task-{number:06d}",
        team=f"team-{number % TEAMS}",
        kind=tasks.TaskKind.BATCH,
        needs=TASK_NEEDS,
        run_s=3600.0,
    )


def _member(name: str) -> holdings.MemberRow:
    return holdings.MemberRow(
        name=name,
        role=holdings.Role.SCHEDULER,
        zone=ZONE,
        incarnation=name,
        peer_address=f"{name}:1",
    )


def _add_workers(world: worlds.World, count: int) -> None:
    for number in range(count):
        host = platforms.Host(
            name=f"worker-{number}",
            zone=ZONE,
            rack=f"rack-{number // WORKERS_PER_RACK}",
            address=f"worker-{number}:1",
            capacity=WORKER_CAPACITY,
        )
        worker = world.add_worker(host)
        endless = EndlessStandinWorker(
            name=host.name, capacity=WORKER_CAPACITY, objects=world.platform
        )
        endless.group = worker.group
        world.workers[host.address] = endless
        world.start_soon(endless.run)


def _add_scheduler(world: worlds.World, name: str) -> schedulers.Scheduler:
    link = (f"scheduler/{name}", processes.PLATFORM)
    world.delays_s[link] = PLATFORM_DELAY_S
    return world.add_scheduler(_member(name))


async def _write(world: worlds.World, key: str, record) -> None:
    write = platforms.Write(key=key, value=rows.to_value(record))
    await world.platform.commit(platforms.Transaction(writes=[write]))


async def _add_running_tasks(world: worlds.World, count: int) -> None:
    """Add tasks to the table and workers, started by a previous holder."""
    for number in range(count):
        worker_number = number // TASKS_PER_WORKER
        task = tasks.Task(
            spec=_spec(number),
            zone=ZONE,
            state=tasks.TaskState.RUNNING,
            attempt=1,
            rack=f"rack-{worker_number // WORKERS_PER_RACK}",
            worker=f"worker-{worker_number}",
            worker_address=f"worker-{worker_number}:1",
            epoch=1,
        )
        key = keys.placed(ZONE, task.rack, task.spec.id)
        await _write(world, key, task)
        await world.workers[task.worker_address].start(
            worker_links.StartCommand(
                spec=task.spec, attempt=1, lease_s=15.0, not_after_s=1e9
            )
        )


def _placements(scheduler: schedulers.Scheduler) -> list:
    return [
        placement
        for rack in scheduler.racks.values()
        for worker in rack.workers.values()
        if worker.is_connected
        for placement in worker.placements.values()
    ]


async def _measure_takeover(
    world: worlds.World, count: int, figures: dict
) -> None:
    _add_workers(world, -(-count // TASKS_PER_WORKER))
    await anyio.sleep(0.01)
    dead = _add_scheduler(world, "dead")
    await anyio.sleep(5)
    scheduler = _add_scheduler(world, "alive")
    await anyio.sleep(5)
    renewals = dead.membership.own.renewals
    while dead.membership.own.renewals == renewals:
        await anyio.sleep(0.01)
    # A takeover takes longest if the scheduler dies right after a renewal.
    await anyio.sleep(0.02)
    await _add_running_tasks(world, count)
    world.processes["scheduler/dead"].kill()
    killed_at_s = anyio.current_time()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    while len(_placements(scheduler)) < count:
        await anyio.sleep(0.05)
    figures["takeover_s"] = anyio.current_time() - killed_at_s
    gc.collect()
    figures["memory_bytes"] = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    cpu_before_s = time.process_time()
    await anyio.sleep(STEADY_SECONDS)
    figures["steady_cpu_s_per_s"] = (
        time.process_time() - cpu_before_s
    ) / STEADY_SECONDS


async def _measure_starts(world: worlds.World, figures: dict) -> None:
    _add_workers(world, START_WORKERS)
    await anyio.sleep(0.01)
    replicas = [_add_scheduler(world, f"scheduler-{n}") for n in range(3)]
    await anyio.sleep(5)
    counts = world.platform.counts
    reads, writes = counts.reads, counts.writes
    cpu_before_s = time.process_time()
    started_s = anyio.current_time()
    for second in range(START_SECONDS):
        first = second * STARTS_PER_S
        specs = [_spec(first + n) for n in range(STARTS_PER_S)]
        for offset in range(0, STARTS_PER_S, 100):
            batch = specs[offset : offset + 100]
            await jobs.submit(world.platform, batch, zone=ZONE)
            await anyio.sleep(0.1)
    total = START_SECONDS * STARTS_PER_S
    while _count_running(replicas) < total:
        await anyio.sleep(0.05)
    elapsed_s = anyio.current_time() - started_s
    # Excludes the writes of the benchmark: 10 submissions per second.
    own_writes = counts.writes - writes - 10 * START_SECONDS
    figures["rate"] = total / elapsed_s
    figures["last_start_delay_s"] = elapsed_s - START_SECONDS
    figures["writes_per_s"] = own_writes / elapsed_s
    figures["writes_per_start"] = own_writes / total
    figures["reads_per_start"] = (counts.reads - reads) / total
    figures["cpu_per_start_s"] = (time.process_time() - cpu_before_s) / total


def _count_running(replicas: list[schedulers.Scheduler]) -> int:
    return sum(
        placement.task.state == tasks.TaskState.RUNNING
        for scheduler in replicas
        for placement in _placements(scheduler)
    )


def _run(function, *args) -> dict:
    figures: dict[str, float] = {}

    async def _main() -> None:
        async with anyio.create_task_group() as group:
            world = worlds.World(group=group, seed=1)
            await function(world, *args, figures)
            group.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(_main, backend="trio", backend_options={"clock": clock})
    return figures


def _write_slopes(measurements: list[base.Measurement]) -> None:
    slopes = [
        {
            "name": measurement.name,
            "value": measurement.value,
            "unit": measurement.unit,
            "per": measurement.name.split("-per-")[-1],
            "command": COMMAND,
        }
        for measurement in measurements
        if "-per-" in measurement.name
    ]
    text = json.dumps(slopes, indent=2) + "\n"
    SLOPES_PATH.write_text(text, encoding="utf-8")


@base.BENCHMARKS.register("recovery")
def bench_recovery() -> list[base.Measurement]:
    """Measure takeovers, task starts and their cost."""
    measurements = []
    # After the loop, the figures of the largest number of tasks.
    figures: dict[str, float] = {}
    for count in TASK_COUNTS:
        figures = _run(_measure_takeover, count)
        measurements.append(
            base.Measurement(
                name=f"recovery/{count}-tasks/takeover",
                value=figures["takeover_s"],
                unit="s",
                at_most=10.0,
            )
        )
    worker_count = TASK_COUNTS[-1] / TASKS_PER_WORKER
    starts = _run(_measure_starts)
    for name, value, unit, at_most, at_least in (
        ("rate", starts["rate"], "1/s", None, 900.0),
        ("last-after", starts["last_start_delay_s"], "s", None, None),
        ("writes", starts["writes_per_s"], "1/s", 200.0, None),
        ("writes-per-start", starts["writes_per_start"], "", None, None),
        ("reads-per-start", starts["reads_per_start"], "", None, None),
        ("cpu-per-start", starts["cpu_per_start_s"], "s", None, None),
        (
            "cpu-per-worker",
            figures["steady_cpu_s_per_s"] / worker_count,
            "s/s",
            None,
            None,
        ),
        (
            "memory-per-task",
            figures["memory_bytes"] / TASK_COUNTS[-1],
            "B",
            None,
            None,
        ),
    ):
        measurements.append(
            base.Measurement(
                name=f"recovery/starts/{name}",
                value=value,
                unit=unit,
                at_most=at_most,
                at_least=at_least,
            )
        )
    _write_slopes(measurements)
    return measurements
