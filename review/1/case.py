"""Jobs whose zone loses its only worker for good."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

WORK_S = 3.0
JOBS = 24
STEPS = [{"count": 2, "cpu": 4000, "mem_mb": 1000, "est_runtime_ms": 3000}]
STUCK_S = 3.0
WATCH_S = 6.0
PERIOD_S = 0.25


async def case(record, has_trouble):
    """Lose the only worker of zone a while it runs tasks."""
    here = world.World(record, ["a", "b", "c"])
    workers = [
        (f"worker-{name}", name[0], 64000, 256000, "k")
        for name in ("a1", "b1", "b2", "b3", "b4", "c1", "c2", "c3")
    ]
    hosts = [(f"host-{zone}{n}", zone) for zone in "abc" for n in (1, 2)]
    try:
        await here.start(workers, hosts, lambda _task, _run: (WORK_S, "done"))
        fronts = list(here.hosts.values())
        accepted = []
        for number in range(JOBS):
            job_id = world.new_id()
            if await here.submit(fronts[number % len(fronts)], job_id, STEPS):
                accepted.append(job_id)
        await asyncio.sleep(1.0)
        if has_trouble:
            if not here.workers["worker-a1"].runs:
                raise world.CannotRun("no task runs in zone a")
            here.workers["worker-a1"].crash()
        record.write("the traffic has ended")
        await asyncio.sleep(world.BOUNDS["finish_s"])
        return await _watch(here, fronts[-1], accepted)
    finally:
        await here.close()


async def _watch(here, host, accepted):
    """Return the jobs that could run and don't for STUCK_S on end."""
    idle_s = dict.fromkeys(accepted, 0.0)
    longest_s = dict(idle_s)
    states = {}
    for _tick in range(int(WATCH_S / PERIOD_S)):
        await asyncio.sleep(PERIOD_S)
        free = sorted(here.free_cpus())
        room = sum(cpu // STEPS[0]["cpu"] for cpu in free)
        has_room = room >= 2 and here.used_share() < 0.5
        for job_id in accepted:
            if states.get(job_id) == "completed":
                continue
            _status, answer = await here.send(
                host, "GET", job_id, quiet=job_id in states
            )
            states[job_id] = answer.get("state", "")
            if states[job_id] == "completed" or not has_room:
                idle_s[job_id] = 0.0
            elif here.running(job_id):
                idle_s[job_id] = 0.0
            else:
                idle_s[job_id] += PERIOD_S
                longest_s[job_id] = max(longest_s[job_id], idle_s[job_id])
    here.record.write(
        f"in use {here.used_share():.2f}, free {here.free_cpus()}, states "
        f"{sorted(states.values())}"
    )
    return [
        f"LOST: job {job_id} is {states[job_id]!r} and had nothing running "
        f"for {longest_s[job_id]:.2f} s, with room for it"
        for job_id in accepted
        if longest_s[job_id] > STUCK_S
    ]


if __name__ == "__main__":
    world.main(case, FOLDER)
