"""Builders of worlds of jobs under random load and faults, and their checks.

Each fault ends when its function returns.
"""

import collections
import contextlib
import random
import typing

import anyio

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as job_codec
from wisteriawood.policies import registry
from wisteriawood.standins import job_worlds

Fault = typing.Callable[
    [job_worlds.JobWorld, random.Random], typing.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")

SERVING_IMAGE = "serves"
TAIL_TARGET_MS = 10.0
FOREVER_S = 100_000.0


def _choose_worker(world, rng):
    """Return a live worker, or None if too few are left."""
    live = [name for name, w in world.workers.items() if not w.is_dead]
    return rng.choice(live) if len(live) > 1 else None


def _choose_host(world, rng):
    """Return a running host; a holder in two of three cases."""
    names = sorted(world.hosts)
    holding = [n for n in names if world.hosts[n].open_cells()]
    if holding and rng.random() < 0.67:
        names = holding
    return rng.choice(names) if len(world.hosts) > 1 else ""


def _replace_worker(world, rng, name):
    """Add a worker like one that is gone, in any zone."""
    zone = rng.choice(world.zones)
    entry = world.workers[name].registration
    world.add_worker(
        f"{name}-{len(world.workers)}",
        zone,
        cpu_millicores=entry.cpu_millicores,
        memory_mb=entry.memory_mb,
    )


@FAULTS.register("worker-lost")
async def lose_worker(world, rng):
    """Lose a worker for good; another one comes later."""
    name = _choose_worker(world, rng)
    if name is None:
        return
    world.lose_worker(name)
    await anyio.sleep(rng.uniform(0.5, 8))
    _replace_worker(world, rng, name)


@FAULTS.register("worker-restarted")
async def restart_worker(world, rng):
    """Restart a worker under the same id."""
    name = _choose_worker(world, rng)
    if name is None:
        return
    world.workers[name].crash()
    await anyio.sleep(rng.choice((0.0, 0.5, 2.0)))
    world.workers[name].restart()


@FAULTS.register("worker-drained")
async def drain_worker(world, rng):
    """Let a worker drain and leave; another one comes."""
    name = _choose_worker(world, rng)
    if name is None or world.workers[name].registration.is_draining:
        return
    world.drain_worker(name)
    await anyio.sleep(rng.uniform(0.5, 5))
    world.workers[name].leave()
    world.lose_worker(name)
    await anyio.sleep(rng.uniform(0, 2))
    _replace_worker(world, rng, name)


@FAULTS.register("worker-silent")
async def silence_worker(world, rng):
    """Cut a worker off from some or all hosts."""
    name = _choose_worker(world, rng)
    if name is None:
        return
    names = sorted(world.hosts)
    cut = set(names if rng.random() < 0.5 else rng.sample(names, 1))
    world.workers[name].cut_from |= cut
    await anyio.sleep(rng.uniform(0.3, 9))
    world.workers[name].cut_from -= cut


@FAULTS.register("worker-answers-lost")
async def lose_worker_answers(world, rng):
    """Lose answers of a worker; starts among them take effect late."""
    name = _choose_worker(world, rng)
    if name is None:
        return
    worker = world.workers[name]
    worker.lost_answer_delay_s = rng.choice((0.0, 0.5, 4.0))
    worker.lost_answers = rng.randint(1, 8)
    await anyio.sleep(rng.uniform(0.5, 3))
    worker.lost_answers = 0


@FAULTS.register("host-killed")
async def kill_host(world, rng):
    """Kill a host, which restarts."""
    name = _choose_host(world, rng)
    if not name:
        return
    zone = world.hosts[name].zone
    world.kill_host(name)
    await anyio.sleep(rng.uniform(0, 6))
    world.start_host(name, zone)


@FAULTS.register("host-drained")
async def drain_host(world, rng):
    """Let a host drain and exit; it starts again."""
    name = _choose_host(world, rng)
    if not name or world.hosts[name].is_draining:
        return
    host = world.hosts[name]
    with anyio.move_on_after(5):
        await host.drain()
    await anyio.sleep(rng.uniform(0, 1))
    if world.hosts.get(name) is not host:
        return
    world.kill_host(name)
    await anyio.sleep(rng.uniform(0, 3))
    world.start_host(name, host.zone)


@FAULTS.register("host-cut")
async def cut_host(world, rng):
    """Cut a host off from the store."""
    name = _choose_host(world, rng)
    if not name:
        return
    world.store.cut_hosts.add(name)
    await anyio.sleep(rng.uniform(0.2, 7))
    world.store.cut_hosts.discard(name)


@FAULTS.register("directory-outdated")
async def outdate_directory(world, rng):
    """Let a host read no directory for a time."""
    name = _choose_host(world, rng)
    if not name:
        return
    world.outdated_hosts.add(name)
    await anyio.sleep(rng.uniform(0.5, 5))
    world.outdated_hosts.discard(name)
    world.publish_directory()


@FAULTS.register("store-answers-lost")
async def lose_store_answers(world, rng):
    """Lose answers of the store; the commits take effect, maybe late."""
    world.store.lost_answer_delay_s = rng.choice((0.0, 0.2, 1.0))
    world.store.lost_answers = rng.randint(1, 12)
    await anyio.sleep(rng.uniform(0.5, 3))
    world.store.lost_answers = 0


@FAULTS.register("store-slow")
async def slow_store(world, rng):
    """Delay commits and answers that concern some of the rows."""
    keys = {at.key for at in world.store.rows if at.table == tables.JOBS}
    for delays_s in (world.store.slow_keys, world.store.late_answers):
        count = rng.randint(0, min(8, len(keys)))
        for key in rng.sample(sorted(keys), count):
            delays_s[key] = rng.uniform(0.2, 2.4)
    await anyio.sleep(rng.uniform(0.5, 5))
    world.store.slow_keys.clear()
    world.store.late_answers.clear()


@FAULTS.register("store-answers-late")
async def delay_store_answers(world, rng):
    """Delay the answers to commits that concern half of the jobs."""
    for at in sorted(world.store.rows, key=lambda at: at.key):
        if at.table == tables.JOBS and rng.random() < 0.5:
            world.store.late_answers[at.key] = rng.uniform(0.5, 2.4)
    await anyio.sleep(rng.uniform(1, 5))
    world.store.late_answers.clear()


@FAULTS.register("store-down")
async def stop_store(world, rng):
    """Let the store refuse all calls."""
    world.store.is_down = True
    await anyio.sleep(rng.uniform(0.2, 4))
    world.store.is_down = False


@FAULTS.register("history-lost")
async def lose_history(world, rng):
    """Lose the history; reads are seconds old for a time."""
    rows = dict(world.store.rows)
    await anyio.sleep(rng.uniform(0, 2))
    world.store.compact_history()
    world.store.stale_rows = rows
    await anyio.sleep(rng.uniform(0, 3))
    world.store.stale_rows = None


async def inject(world, rng, names, until_s):
    """Inject faults that overlap until a time, and wait until all are over.

    Args:
        world: The world.
        rng: Source of all choices.
        names: Names of the faults to choose from.
        until_s: Monotonic time.
    """
    async with anyio.create_task_group() as group:
        while anyio.current_time() < until_s:
            fault = FAULTS.get(rng.choice(names))
            group.start_soon(fault, world, rng)
            await anyio.sleep(rng.uniform(0.2, 4))


async def submit(world, rng, until_s):
    """Submit jobs to random cells until a time.

    Args:
        world: The world.
        rng: Source of all choices.
        until_s: Monotonic time.
    """
    number = 0
    while anyio.current_time() < until_s:
        number += 1
        job_id = f"{number:016x}"
        steps, work_s = make_batch_steps(rng)
        world.work_s[job_id] = work_s
        cell = f"{job_worlds.SERVICE}@{rng.choice(world.zones)}"
        with contextlib.suppress(errors.WisteriawoodError):
            await world.submit_to(cell, job_id, steps)
        await anyio.sleep(rng.uniform(0.05, 1.5))


def make_batch_steps(rng):
    """Return the steps of a random batch job and their run time in seconds."""
    values = {
        "cpu_millicores": rng.choice((500, 2000, 4000, 7800)),
        "memory_mb": rng.choice((100, 2000, 9984)),
        "expected_run_ms": 1000,
        "is_filler": rng.random() < 0.7,
        "is_checkpointing": rng.random() < 0.7,
        "image": f"batch-{rng.randint(0, 2)}",
        "most_per_worker": rng.choice((0, 0, 0, 2)),
    }
    count = rng.choice((1, 1, 3, 8, 20))
    if values["memory_mb"] * count > 60_000:
        count = 6
    steps = [specs.StepSpec(task_count=count, **values)]
    if rng.random() < 0.3:
        steps.append(specs.StepSpec(task_count=2, after=[0], **values))
    return steps, rng.choice((0.2, 1.0, 2.0, 5.0))


def make_standing_steps(rng):
    """Return the step of a random serving job."""
    return [
        specs.StepSpec(
            task_count=rng.choice((1, 2, 4)),
            cpu_millicores=rng.choice((1000, 4000)),
            memory_mb=1000,
            is_standing=True,
            image=SERVING_IMAGE,
            tail_target_ms=TAIL_TARGET_MS,
            most_per_worker=rng.choice((0, 1)),
        )
    ]


async def vary_latencies(world, rng, until_s):
    """Let workers report random tail latencies, and then low ones.

    Args:
        world: The world.
        rng: Source of all choices.
        until_s: Monotonic time from which they are low.
    """
    while True:
        is_high = anyio.current_time() < until_s
        choices = (3.0, 6.0, 9.0, 12.0) if is_high else (3.0,)
        for worker in world.workers.values():
            for name in worker.runs:
                worker.tail_latencies_ms[name] = rng.choice(choices)
        await anyio.sleep(rng.uniform(0.3, 3) if is_high else 0.2)


async def vary_host_links(world, rng, until_s):
    """Cut direct links between hosts, others each second or so.

    Args:
        world: The world, whose hosts are linked.
        rng: Source of all choices.
        until_s: Monotonic time from which no link is cut.
    """
    while anyio.current_time() < until_s:
        world.cut_links.clear()
        names = sorted(world.hosts)
        for name in rng.sample(names, rng.randint(0, len(names) // 2)):
            world.cut_host_links(name)
        await anyio.sleep(rng.uniform(0.5, 4))
    world.cut_links.clear()


def heal(world):
    """End all faults that are still there."""
    world.heal()
    world.outdated_hosts.clear()
    world.publish_directory()


def _read_jobs(world):
    """Return the jobs in the store, by id."""
    found = {}
    for at, row in world.store.rows.items():
        if at.table.startswith(tables.specs_table("")):
            _cell, spec = job_codec.spec_from_bytes(row.value)
            progress = world.store.rows[tables.job_row(at.part, at.key)]
            found[at.key] = job_codec.job_from_bytes(
                spec, at.part, progress.value
            )
    return found


def find_idle_jobs(world):
    """Return the jobs of which nothing runs although a worker has room."""
    stored = _read_jobs(world)
    running = world.running()
    room = {}
    for name, worker in world.workers.items():
        if worker.is_dead or worker.registration.is_draining:
            continue
        entry = worker.registration
        cpu_millicores, memory_mb = entry.cpu_millicores, entry.memory_mb
        for task in worker.runs:
            job_id, _occurrence, step, _index = task.split(".")
            if job_id in stored:
                found = stored[job_id].spec.steps[int(step)]
                cpu_millicores -= found.cpu_millicores
                memory_mb -= found.memory_mb
        room[name] = cpu_millicores, memory_mb
    idle = []
    for job in stored.values():
        if job.is_ended() or any(
            job.task_name(task) in running for task in job.all_tasks()
        ):
            continue
        for step_tasks in job.ready_steps():
            step = job.step_of(step_tasks[0])
            is_waiting = any(
                task.phase in (tasks.Phase.WAITING, tasks.Phase.ASSIGNED)
                for task in step_tasks
            )
            fits = any(
                step.cpu_millicores <= cpu_millicores
                and step.memory_mb <= memory_mb
                for cpu_millicores, memory_mb in room.values()
            )
            if is_waiting and fits:
                idle.append(job.id)
                break
    return idle


async def find_starved_jobs(world, bound_s):
    """Return the jobs that are idle for `bound_s` although they have room."""
    idle = set(find_idle_jobs(world))
    until_s = anyio.current_time() + bound_s
    while idle and anyio.current_time() < until_s:
        await anyio.sleep(0.1)
        idle.intersection_update(find_idle_jobs(world))
    await anyio.sleep(max(0.0, until_s - anyio.current_time()))
    return sorted(idle)


def find_unfinished_jobs(world):
    """Return the jobs of the store that have not ended, without standing."""
    return [
        job.id
        for job in _read_jobs(world).values()
        if not job.is_ended() and not job.is_standing()
    ]


def _find_spans(world):
    """Return when runs were on workers, as (start, end) by task.

    A worker that starts again under its id may start a run a second time.
    """
    found = collections.defaultdict(list)
    for worker in world.workers.values():
        ends_s = collections.defaultdict(collections.deque)
        for name, run, _outcome, at_s in worker.ends:
            ends_s[name, run].append(at_s)
        for name, run, at_s in worker.starts:
            left_s = ends_s[name, run]
            found[name].append(
                (at_s, left_s.popleft() if left_s else FOREVER_S)
            )
    return found


def find_overlaps(world):
    """Return the tasks of which two runs were on workers at a time."""
    found = []
    for name, spans in _find_spans(world).items():
        last_end_s = 0.0
        for start_s, end_s in sorted(spans):
            if last_end_s > start_s:
                found.append(name)
            last_end_s = max(last_end_s, end_s)
    return found


def find_repeats(world):
    """Return the tasks that started after they were done.

    An end counts if an acknowledgement has reached it, before or after.
    """
    found = set()
    started = world.starts()
    for worker in world.workers.values():
        for name, run, outcome, at_s in worker.ends:
            if outcome != tasks.Outcome.DONE:
                continue
            if (name, run, outcome) not in worker.acknowledged:
                continue
            if any(start_s > at_s for _run, start_s, _id in started[name]):
                found.add(name)
    return sorted(found)
