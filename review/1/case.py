"""Jobs whose zone loses its only worker for good."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import checks  # noqa: E402
import world  # noqa: E402

WORK_S = 3.0
JOBS = 24
STEPS = [{"count": 2, "cpu": 4000, "mem_mb": 1000, "est_runtime_ms": 3000}]
STUCK_S = 3.0
WATCH_S = 6.0


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
        return await checks.find_idle_jobs(
            here,
            fronts[-1],
            accepted,
            cpu=STEPS[0]["cpu"],
            watch_s=WATCH_S,
            stuck_s=STUCK_S,
        )
    finally:
        await here.close()


if __name__ == "__main__":
    world.main(case, FOLDER)
