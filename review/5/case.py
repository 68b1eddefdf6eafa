"""A worker is lost, and at the same time the host that manages its zone."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

TASKS = 4
STEPS = [
    {
        "count": TASKS,
        "cpu": 8000,
        "mem_mb": 8000,
        "est_runtime_ms": 500,
        "affinity": "r-a",
        "long_running": True,
    }
]
POWER_AFTER_S = 0.5
POWER_S = 3.5
# The rule: from 6 s after the last run of a task, for 3 s on end, with these
# and the 4 s before them calm.
FROM_S = POWER_AFTER_S + POWER_S + 4.0
STUCK_S = 3.0
WATCH_S = 28.0
PERIOD_S = 0.1


async def case(record, has_trouble):
    """Lose a worker with standing tasks and the holder of its cell."""
    here = world.World(record, ["a", "b", "c"])
    names = ("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2")
    workers = [(f"worker-{n}", n[0], 64000, 256000, "k") for n in names]
    hosts = [(f"host-{zone}{n}", zone) for zone in "abc" for n in (1, 2)]
    try:
        await here.start(workers, hosts, lambda _task, _run: None)
        job_id = world.new_id()
        if not await here.submit(here.hosts["host-b1"], job_id, STEPS):
            raise world.CannotRun("the job was refused")
        await asyncio.sleep(3.0)
        found = here.running(job_id)
        if len(found) < TASKS or any(w.zone != "a" for w, _run in found):
            raise world.CannotRun("the job does not run in zone a")
        began_s = record.now_s()
        if has_trouble:
            found[0][0].crash()
            await asyncio.sleep(POWER_AFTER_S)
            # The stand-in of the store shows which host manages the cell.
            row = here.store.rows[("cells", "a", f"{world.SERVICE}@a")]
            holder = here.hosts[json.loads(row[0])["holder"]]
            here.spawn(holder.lose_power(POWER_S))
        return await _watch(here, job_id, began_s)
    finally:
        await here.close()


async def _watch(here, job_id, began_s):
    """Return the tasks that could run and don't for STUCK_S on end."""
    names = [f"{job_id}.0.0.{index}" for index in range(TASKS)]
    idle_s = dict.fromkeys(names, 0.0)
    longest_s = dict(idle_s)
    before_s = here.record.now_s()
    while before_s < began_s + WATCH_S:
        await asyncio.sleep(PERIOD_S)
        now_s = here.record.now_s()
        running = {run.task for _worker, run in here.running(job_id)}
        cpu = STEPS[0]["cpu"]
        has_room = sum(free // cpu for free in here.free_cpus()) >= 2
        for name in names:
            if name in running or not has_room or before_s < began_s + FROM_S:
                idle_s[name] = 0.0
            else:
                idle_s[name] += now_s - before_s
                longest_s[name] = max(longest_s[name], idle_s[name])
        before_s = now_s
    return [
        f"LOST: {name} did not run for {longest_s[name]:.1f} s, counted from "
        f"{FROM_S} s after the end of its last run, with room for it"
        for name in names
        if longest_s[name] > STUCK_S
    ]


if __name__ == "__main__":
    world.main(case, FOLDER)
