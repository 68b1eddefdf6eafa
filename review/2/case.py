"""A standing job that can never run, and the jobs accepted after it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import checks  # noqa: E402
import world  # noqa: E402

WORK_S = 1.0
EARLY_JOBS = 25
LATE_JOBS = 60
STEPS = [{"count": 1, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 1000}]
# More memory than any worker has.
POISON = [
    {
        "count": 1,
        "cpu": 2000,
        "mem_mb": 300000,
        "est_runtime_ms": 500,
        "long_running": True,
    }
]
POISON_S = 55.0
STUCK_S = 3.0
WATCH_S = 5.0


async def case(record, has_trouble):
    """Hand in a job that can never be done, and others for some time."""
    here = world.World(record, ["a", "b", "c"])
    workers = [
        (f"worker-{zone}{n}", zone, 64000, 256000, "k")
        for zone in "abc"
        for n in (1, 2)
    ]
    hosts = [(f"host-{zone}1", zone) for zone in "abc"]
    try:
        await here.start(workers, hosts, lambda _task, _run: (WORK_S, "done"))
        fronts = list(here.hosts.values())
        accepted = []

        async def _submit(number):
            job_id = world.new_id()
            if await here.submit(fronts[number % 3], job_id, STEPS):
                accepted.append(job_id)

        if has_trouble:
            if not await here.submit(fronts[0], world.new_id(), POISON):
                raise world.CannotRun("the job was not accepted")
        for number in range(EARLY_JOBS):
            await _submit(number)
            await asyncio.sleep(POISON_S / EARLY_JOBS)
        for number in range(LATE_JOBS):
            await _submit(number)
            await asyncio.sleep(0.1)
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
