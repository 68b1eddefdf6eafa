"""A standing job that is cancelled while its own zone is cut off."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world  # noqa: E402

JOBS = 4
STEPS = [
    {
        "count": 6,
        "cpu": 20000,
        "mem_mb": 26000,
        "est_runtime_ms": 500,
        "long_running": True,
    }
]
CUT_S = 6.0
# Times after the cancelling at which tasks that still run fail.
FAIL_AT_S = (3.2, 4.2)


async def case(record, has_trouble):
    """Cancel a job while its zone is cut off and tasks of it run elsewhere."""
    here = world.World(record, ["a", "b", "c"])
    workers = [
        (f"worker-{zone}{n}", zone, 64000, 256000, "k")
        for zone in "abc"
        for n in (1, 2, 3)
    ]
    hosts = [(f"host-{zone}{n}", zone) for zone in "abc" for n in (1, 2)]
    try:
        await here.start(workers, hosts, lambda _task, _run: None)
        job_id, home = await _submit_and_find(here)
        if has_trouble:
            here.spawn(here.cut(home, CUT_S))
        await asyncio.sleep(0.2)
        host = next(h for h in here.hosts.values() if h.zone != home)
        status, _answer = await here.send(host, "DELETE", job_id)
        if status != 200:
            raise world.CannotRun("the cancelling was not acknowledged")
        acked_s = record.now_s()
        for at_s in FAIL_AT_S:
            await asyncio.sleep(acked_s + at_s - record.now_s())
            for worker, run in here.running(job_id):
                if worker.zone != home:
                    worker.end(run, "failed")
        await asyncio.sleep(4.0)
        bound_s = world.BOUNDS["cancel_ms"] / 1000
        return [
            f"UNASKED: {worker} was told to start {task} run {number} "
            f"{at_s - acked_s:.2f} s after the cancelling was acknowledged"
            for at_s, worker, task, number in here.starts
            if task.startswith(job_id + ".")
            and here.workers[worker].zone != home
            and at_s - acked_s > bound_s
        ]
    finally:
        await here.close()


async def _submit_and_find(here):
    """Submit jobs at once until one has tasks in several zones.

    Returns:
        The id of such a job, and the zone that manages it: the one in which
        tasks of it started at once.
    """
    fronts = list(here.hosts.values())
    for _round in range(4):
        ids = [world.new_id() for _number in range(JOBS)]
        accepted = await asyncio.gather(
            *(
                here.submit(fronts[n], job_id, STEPS)
                for n, job_id in enumerate(ids)
            )
        )
        sent_s = here.record.now_s()
        kept = [i for i, is_accepted in zip(ids, accepted) if is_accepted]
        await asyncio.sleep(6.0)
        for job_id in kept:
            home = _home(here, job_id, sent_s)
            zones = [worker.zone for worker, _run in here.running(job_id)]
            if home and len(set(zones)) > 1:
                here.record.write(
                    f"job {job_id} of zone {home} runs in zones {zones}"
                )
                return job_id, home
        for job_id in kept:
            await here.send(fronts[0], "DELETE", job_id)
        await asyncio.sleep(4.0)
    raise world.CannotRun("no job has tasks in several zones")


def _home(here, job_id, sent_s):
    """Return the zone in which tasks of a job started at once, if any."""
    for at_s, worker, task, _number in here.starts:
        if task.startswith(job_id + ".") and at_s - sent_s < 0.6:
            return here.workers[worker].zone
    return ""


if __name__ == "__main__":
    world.main(case, FOLDER)
