"""The cancelling of a standing job most of whose tasks run in other zones."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

STEPS = [
    {
        "count": 11,
        "cpu": 100,
        "mem_mb": 100,
        "est_runtime_ms": 500,
        "affinity": "r-a",
        "long_running": True,
    }
] * 10
TASKS = sum(step["count"] for step in STEPS)
MOVE_TIMEOUT_S = 45.0
SETTLE_S = 4.0
WATCH_S = 8.0


async def case(record, has_trouble):
    """Lose the worker of a standing job for good, then cancel the job."""
    here = world.World(record, ["a", "b", "c"])
    workers = [
        (f"worker-{name}", name[0], 64000, 256000, "k")
        for name in ("a1", "b1", "b2", "b3", "b4", "c1", "c2", "c3")
    ]
    hosts = [(f"host-{zone}{n}", zone) for zone in "abc" for n in (1, 2)]
    try:
        await here.start(workers, hosts, lambda _task, _run: None)
        job_id = await _submit_to_zone_a(here)
        if has_trouble:
            here.workers["worker-a1"].crash()
        await _wait_for_tasks(here, job_id)
        await asyncio.sleep(SETTLE_S)
        for _try in range(4):
            status, _answer = await here.send(
                here.hosts["host-b1"], "DELETE", job_id
            )
            if status in (200, 410):
                break
        else:
            raise world.CannotRun("the cancelling was not acknowledged")
        bound_s = (world.BOUNDS["cancel_ms"] + world.BOUNDS["stop_ms"]) / 1000
        await asyncio.sleep(bound_s)
        at_bound = len(here.running(job_id))
        record.write(f"{at_bound} tasks run {bound_s} s after the cancelling")
        await asyncio.sleep(WATCH_S)
        at_end = len(here.running(job_id))
        record.write(f"{at_end} tasks run {WATCH_S} s later")
        if at_bound:
            return [
                f"UNASKED: {at_bound} tasks run {bound_s} s after the "
                f"cancelling was acknowledged, {at_end} of them {WATCH_S} s "
                "later"
            ]
        return []
    finally:
        await here.close()


async def _submit_to_zone_a(here):
    """Submit a job whose data is in zone a; return its id."""
    job_id = world.new_id()
    if not await here.submit(here.hosts["host-b1"], job_id, STEPS):
        raise world.CannotRun("the job was refused")
    await _wait_for_tasks(here, job_id)
    if any(worker.zone != "a" for worker, _run in here.running(job_id)):
        raise world.CannotRun("the job does not run in zone a")
    return job_id


async def _wait_for_tasks(here, job_id):
    """Wait until all tasks of a job run."""
    until_s = here.record.now_s() + MOVE_TIMEOUT_S
    while len(here.running(job_id)) < TASKS:
        if here.record.now_s() > until_s:
            raise world.CannotRun(
                f"{len(here.running(job_id))} of {TASKS} tasks run"
            )
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    world.main(case, FOLDER)
