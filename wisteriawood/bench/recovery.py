"""Takeover after a scheduler's death, and what starts cost the table."""

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
SIZES = (100, 1_000, 10_000)
TASKS_PER_WORKER = 50
WORKERS_PER_RACK = 8
PLATFORM_DELAY_S = 0.005
STARTS_PER_S = 1_000
START_SECONDS = 3
START_WORKERS = 200
STEADY_SECONDS = 5
TEAMS = 20
SMALL = resources.Resources(cores=0.1, memory_bytes=2**24)
LARGE = resources.Resources(cores=64.0, memory_bytes=2**38)
SLOPES = pathlib.Path(__file__).parents[2] / "docs/slopes/tasks.json"
COMMAND = "python -m wisteriawood.bench recovery"


class EndlessWorker(workers.StandinWorker):
    """A stand-in whose attempts run on without a task of their own."""

    __slots__ = ()

    async def _run_attempt(self, attempt: workers.Attempt) -> None:
        pass


def _spec(number: int) -> tasks.TaskSpec:
    return tasks.TaskSpec(
        id=f"task-{number:06d}",
        team=f"team-{number % TEAMS}",
        kind=tasks.TaskKind.BATCH,
        needs=SMALL,
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
            capacity=LARGE,
        )
        worker = world.add_worker(host)
        endless = EndlessWorker(
            name=host.name, capacity=LARGE, objects=world.platform
        )
        endless.group = worker.group
        world.workers[host.address] = endless
        world.start_soon(endless.run)


def _add_scheduler(world: worlds.World, name: str) -> schedulers.Scheduler:
    far = (f"scheduler/{name}", processes.PLATFORM)
    world.delays_s[far] = PLATFORM_DELAY_S
    return world.add_scheduler(_member(name))


async def _write(world: worlds.World, key: str, record) -> None:
    write = platforms.Write(key=key, value=rows.to_value(record))
    await world.platform.commit(platforms.Transaction(writes=[write]))


async def _fill(world: worlds.World, count: int) -> None:
    """Fill the table and workers with tasks that a dead holder started."""
    for number in range(count):
        place = number // TASKS_PER_WORKER
        task = tasks.Task(
            spec=_spec(number),
            zone=ZONE,
            state=tasks.TaskState.RUNNING,
            attempt=1,
            rack=f"rack-{place // WORKERS_PER_RACK}",
            worker=f"worker-{place}",
            worker_address=f"worker-{place}:1",
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


async def _recover(world: worlds.World, count: int, found: dict) -> None:
    _add_workers(world, -(-count // TASKS_PER_WORKER))
    await anyio.sleep(0.01)
    dead = _add_scheduler(world, "dead")
    await anyio.sleep(5)
    scheduler = _add_scheduler(world, "alive")
    await anyio.sleep(5)
    renewals = dead.membership.own.renewals
    while dead.membership.own.renewals == renewals:
        await anyio.sleep(0.01)
    # Right after a renewal: its term has the longest to go.
    await anyio.sleep(0.02)
    await _fill(world, count)
    world.processes["scheduler/dead"].kill()
    died_at_s = anyio.current_time()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    while len(_placements(scheduler)) < count:
        await anyio.sleep(0.05)
    found["seconds"] = anyio.current_time() - died_at_s
    gc.collect()
    found["bytes"] = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    began_s = time.process_time()
    await anyio.sleep(STEADY_SECONDS)
    found["steady_s"] = (time.process_time() - began_s) / STEADY_SECONDS


async def _start_many(world: worlds.World, found: dict) -> None:
    _add_workers(world, START_WORKERS)
    await anyio.sleep(0.01)
    held = [_add_scheduler(world, f"scheduler-{n}") for n in range(3)]
    await anyio.sleep(5)
    counts = world.platform.counts
    reads, writes = counts.reads, counts.writes
    began_s = time.process_time()
    began_at_s = anyio.current_time()
    for second in range(START_SECONDS):
        first = second * STARTS_PER_S
        specs = [_spec(first + n) for n in range(STARTS_PER_S)]
        for place in range(0, STARTS_PER_S, 100):
            part = specs[place : place + 100]
            await jobs.submit(world.platform, part, zone=ZONE)
            await anyio.sleep(0.1)
    total = START_SECONDS * STARTS_PER_S
    while _running(held) < total:
        await anyio.sleep(0.05)
    spent_s = anyio.current_time() - began_at_s
    own_writes = counts.writes - writes - 10 * START_SECONDS
    found["rate"] = total / spent_s
    found["last_start_s"] = spent_s - START_SECONDS
    found["writes_per_s"] = own_writes / spent_s
    found["writes_per_start"] = own_writes / total
    found["reads_per_start"] = (counts.reads - reads) / total
    found["cpu_per_start_s"] = (time.process_time() - began_s) / total


def _running(held: list[schedulers.Scheduler]) -> int:
    return sum(
        placement.task.state == tasks.TaskState.RUNNING
        for scheduler in held
        for placement in _placements(scheduler)
    )


def _run(function, *args) -> dict:
    found: dict[str, float] = {}

    async def _main() -> None:
        async with anyio.create_task_group() as group:
            world = worlds.World(group=group, seed=1)
            await function(world, *args, found)
            group.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(_main, backend="trio", backend_options={"clock": clock})
    return found


def _write_slopes(measures: list[base.Measure]) -> None:
    slopes = [
        {
            "name": measure.name,
            "value": measure.value,
            "unit": measure.unit,
            "per": measure.name.split("-per-")[-1],
            "command": COMMAND,
        }
        for measure in measures
        if "-per-" in measure.name
    ]
    text = json.dumps(slopes, indent=2) + "\n"
    SLOPES.write_text(text, encoding="utf-8")


@base.BENCHES.register("recovery")
def measure() -> list[base.Measure]:
    """Measure takeovers, starts and what they cost."""
    measures = []
    found: dict[str, float] = {}
    for count in SIZES:
        found = _run(_recover, count)
        measures.append(
            base.Measure(
                name=f"recovery/{count}-tasks/takeover",
                value=found["seconds"],
                unit="s",
                at_most=10.0,
            )
        )
    worker_count = SIZES[-1] / TASKS_PER_WORKER
    starts = _run(_start_many)
    for name, value, unit, at_most, at_least in (
        ("rate", starts["rate"], "1/s", None, 900.0),
        ("last-after", starts["last_start_s"], "s", None, None),
        ("writes", starts["writes_per_s"], "1/s", 200.0, None),
        ("writes-per-start", starts["writes_per_start"], "", None, None),
        ("reads-per-start", starts["reads_per_start"], "", None, None),
        ("cpu-per-start", starts["cpu_per_start_s"], "s", None, None),
        (
            "cpu-per-worker",
            found["steady_s"] / worker_count,
            "s/s",
            None,
            None,
        ),
        ("memory-per-task", found["bytes"] / SIZES[-1], "B", None, None),
    ):
        measures.append(
            base.Measure(
                name=f"recovery/starts/{name}",
                value=value,
                unit=unit,
                at_most=at_most,
                at_least=at_least,
            )
        )
    _write_slopes(measures)
    return measures
