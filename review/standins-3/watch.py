"""The check of rule LOST: jobs that could run and don't."""

import asyncio

FINISH_S = 14.0
IDLE_S = 3.0
PERIOD_S = 0.25


async def find_idle(world, jobs, for_s):
    """Return the jobs that idle for 3 s on end, once traffic has ended.

    Called at the end of the traffic. From `finish_s` after it, a job breaks
    the rule if for 3 s it has nothing running although a task's turn has come,
    there is capacity for it twice over, and under half of the service's
    capacity is in use.

    Args:
        world: The world.
        jobs: Steps of each accepted job by id; one step that is ready.
        for_s: For how long to watch, after `finish_s`.
    """
    await asyncio.sleep(FINISH_S)
    idle_since_s, broken = {}, {}
    until_s = world.now_s() + for_s
    while world.now_s() < until_s:
        for job_id, steps in jobs.items():
            if _is_idle(world, job_id, steps[0]):
                since_s = idle_since_s.setdefault(job_id, world.now_s())
                if world.now_s() - since_s >= IDLE_S and job_id not in broken:
                    broken[job_id] = since_s
                    world.log(
                        f"LOST: job {job_id} has had nothing running since "
                        f"{since_s:.3f}; room for {world.room(steps[0])} of "
                        f"{steps[0]['count']} tasks, "
                        f"{world.used_share():.2f} in use"
                    )
            else:
                idle_since_s.pop(job_id, None)
        await asyncio.sleep(PERIOD_S)
    return broken


def _is_idle(world, job_id, step):
    done = {
        run.task
        for run in world.work.runs
        if run.how == "done" and run.task.startswith(job_id)
    }
    left = step["count"] - len(done)
    if step.get("gang") and done:
        # One such end represents all of them.
        left = 0
    if left <= 0 or world.work.running(f"{job_id}."):
        return False
    return world.room(step) >= 2 * left and world.used_share() < 0.5


async def show_states(world, jobs):
    """Record what clients are told of each job, and return it."""
    return {job_id: await world.state(job_id) for job_id in jobs}
