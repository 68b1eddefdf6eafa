"""A hopeless job that fills comes; it asks for much memory and for no CPU."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as stage  # noqa: E402

ZONES = ["zone-a"]
MINIONS_PER_ZONE = 4
IMAGES = 5
LASTING_JOBS = 15
LASTING_CPU = 4000
CHAIN_CPU = 2000
CHAIN_JOBS = 24
CHAIN_STEPS = 5
STEP_S = 1.0
# Time between two of these jobs, and from the hopeless one to the first.
CHAIN_PERIOD_S = 0.33
LEAD_S = 6.0
# Time for which nothing of a job may run, by the rule.
IDLE_S = 3.0


def _make_world():
    world = stage.World(FOLDER, ZONES)
    for zone in ZONES:
        for number in range(MINIONS_PER_ZONE):
            world.minions.append(
                stage.Minion(
                    world,
                    service="pool-1",
                    zone=zone,
                    number=number,
                    cpu=64000,
                    mem_mb=256000,
                    labels=["a", f"rack-{zone}-{number}"],
                )
            )
    return world


async def _case():
    world = _make_world()
    try:
        return await _play(world)
    finally:
        world.close()


async def _submit(world, number, steps):
    """Hand a job in; return its id, or nothing if it is not accepted."""
    job_id = stage.job_id()
    status, _answer = await world.send(
        world.hosts[number % len(world.hosts)],
        "POST",
        f"/one/{job_id}",
        {"task_spec": "text", "steps": steps},
    )
    return job_id if status == 200 else ""


async def _submit_chains(world):
    """Hand in jobs of several short steps; return the accepted ones."""
    step = {
        "count": 2,
        "cpu": CHAIN_CPU,
        "mem_mb": 500,
        "est_runtime_ms": 1000,
    }
    chains = []
    for number in range(CHAIN_JOBS):
        job_id = await _submit(
            world,
            number,
            [
                step | ({"after": [position - 1]} if position else {})
                for position in range(CHAIN_STEPS)
            ],
        )
        for position in range(CHAIN_STEPS):
            world.work[f"{job_id}.0.{position}"] = STEP_S
        if job_id:
            chains.append(job_id)
        await asyncio.sleep(CHAIN_PERIOD_S)
    return chains


def _used_cpu(world):
    """Return the CPU of the tasks that run; those that last ask for more."""
    return sum(
        LASTING_CPU if task.work_s > 1e3 else CHAIN_CPU
        for minion in world.minions
        for task in minion.tasks.values()
    )


async def _watch_chains(world, chains):
    """Return the jobs that are not done, and how long one has stood still."""
    open_jobs = []
    for job_id in chains:
        _status, answer = await world.send(
            world.hosts[0], "GET", f"/one/{job_id}"
        )
        if answer.get("state") not in stage.ENDED_STATES:
            open_jobs.append(job_id)
    longest_s = 0.0
    until_s = time.monotonic() + 3 * IDLE_S
    # Time since which under half of the capacity has been in use.
    free_since_s = world.record.now_s()
    while time.monotonic() < until_s:
        await asyncio.sleep(0.05)
        now_s = world.record.now_s()
        if 2 * _used_cpu(world) >= sum(m.cpu for m in world.minions):
            free_since_s = now_s
        for job_id in open_jobs:
            ended = len(world.starts(job_id)) >= 2 * CHAIN_STEPS
            if not ended:
                idle_s = min(world.idle_s(job_id), now_s - free_since_s)
                longest_s = max(longest_s, idle_s)
    return open_jobs, longest_s


async def _play(world):
    world.configure(3, [("r-1", "/one/", "pool-1")], ["pool-1"])
    await world.start([("host-1", "zone-a"), ("host-2", "zone-a")])
    serving = {
        "count": 1,
        "cpu": LASTING_CPU,
        "mem_mb": 4000,
        "est_runtime_ms": 1000,
        "long_running": True,
        "target_ms": 20,
    }
    for number in range(LASTING_JOBS):
        step = serving | {"image": f"im-{number % IMAGES}"}
        job_id = await _submit(world, number, [step])
        world.work[f"{job_id}.0.0"] = 1e6
    await asyncio.sleep(3.0)
    # No minion has that much memory.
    hopeless = {
        "count": 2,
        "mem_mb": 300000,
        "est_runtime_ms": 2000,
        "image": "im-fill",
        "fills": True,
    }
    if os.environ.get("FILL_CPU"):
        hopeless["cpu"] = int(os.environ["FILL_CPU"])
    if stage.has_trouble():
        await _submit(world, 0, [hopeless])
    await asyncio.sleep(LEAD_S)
    chains = await _submit_chains(world)
    if not chains:
        return 2
    world.record.write("the traffic ends")
    await asyncio.sleep(stage.BOUNDS["finish_s"])
    open_jobs, longest_s = await _watch_chains(world, chains)
    world.record.write(
        f"{len(open_jobs)} of {len(chains)} jobs of {CHAIN_STEPS} steps of "
        f"{STEP_S} s are not done {stage.BOUNDS['finish_s']} s after the end "
        f"of the traffic; nothing of one of them has run for {longest_s:.1f} s"
    )
    is_lost = longest_s > IDLE_S
    world.record.write(f"verdict: accepted work stands still: {is_lost}")
    return 1 if is_lost else 0


stage.main(_case, FOLDER)
