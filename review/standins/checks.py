"""Checks that several cases share."""

import asyncio

PERIOD_S = 0.25


async def find_idle_jobs(here, host, accepted, *, cpu, watch_s, stuck_s):
    """Return the jobs that could run and don't for some time on end.

    Args:
        here: The world.
        host: Host that is asked for the states of the jobs.
        accepted: Ids of the accepted jobs.
        cpu: CPU that each of their tasks requests.
        watch_s: How long to watch.
        stuck_s: Time without a run from which a job is returned.
    """
    idle_s = dict.fromkeys(accepted, 0.0)
    longest_s = dict(idle_s)
    states = {}
    for _tick in range(int(watch_s / PERIOD_S)):
        await asyncio.sleep(PERIOD_S)
        room = sum(free // cpu for free in here.free_cpus())
        has_room = room >= 2 and here.used_share() < 0.5
        for job_id in accepted:
            if states.get(job_id) == "completed":
                continue
            _status, answer = await here.send(
                host, "GET", job_id, quiet=job_id in states
            )
            states[job_id] = answer.get("state", "")
            if (
                states[job_id] == "completed"
                or not has_room
                or here.running(job_id)
            ):
                idle_s[job_id] = 0.0
            else:
                idle_s[job_id] += PERIOD_S
                longest_s[job_id] = max(longest_s[job_id], idle_s[job_id])
    here.record.write(
        f"in use {here.used_share():.2f}, free {here.free_cpus()}, "
        f"{sum(s == 'completed' for s in states.values())} of "
        f"{len(accepted)} jobs completed"
    )
    return [
        f"LOST: job {job_id} is {states[job_id]!r} and had nothing running "
        f"for {longest_s[job_id]:.2f} s, with room for it"
        for job_id in accepted
        if longest_s[job_id] > stuck_s
    ]
