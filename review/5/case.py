"""The count of pending jobs after a worker is lost for good."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

WORK_S = 1.0
JOBS = 36
STEPS = [{"count": 1, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 1000}]
WATCH_S = 10.0
PERIOD_S = 0.1


async def case(record, has_trouble):
    """Lose a worker, hand in jobs at once, and ask for the count."""
    here = world.World(record, ["a", "b", "c"])
    workers = [
        (f"worker-{name}", name[0], 64000, 256000, "k")
        for name in ("a1", "a2", "b1", "b2", "b3", "c1", "c2", "c3")
    ]
    hosts = [(f"host-{zone}{n}", zone) for zone in "abc" for n in (1, 2)]
    try:
        await here.start(workers, hosts, lambda _task, _run: (WORK_S, "done"))
        if has_trouble:
            here.workers["worker-a1"].crash()
        fronts = list(here.hosts.values())
        accepted_s = {}
        for number in range(JOBS):
            job_id = world.new_id()
            if await here.submit(fronts[number % len(fronts)], job_id, STEPS):
                accepted_s[job_id] = record.now_s()
        return await _watch(here, here.hosts["host-b1"], accepted_s)
    finally:
        await here.close()


async def _watch(here, host, accepted_s):
    """Return the counts that are under half of the true one."""
    min_age_s = world.BOUNDS["visible_ms"] / 1000 + 2
    found = []
    until_s = here.record.now_s() + WATCH_S
    while here.record.now_s() < until_s:
        await asyncio.sleep(PERIOD_S)
        asked_s = here.record.now_s()
        status, answer = await here.send(host, "GET", "", quiet=True)
        begun = {task.partition(".")[0] for _at, _w, task, _n in here.starts}
        waiting = [
            job_id
            for job_id, at_s in accepted_s.items()
            if asked_s - at_s > min_age_s and job_id not in begun
        ]
        if status != 200:
            continue
        given = answer["pending"]
        here.record.write(
            f"{host.name} gives {given} as pending; {len(waiting)} accepted "
            f"over {min_age_s} s before have not begun"
        )
        if given < len(waiting) / 2:
            found.append(
                f"MIXED: {given} given as pending, {len(waiting)} jobs have "
                "not begun"
            )
    return found


if __name__ == "__main__":
    world.main(case, FOLDER)
