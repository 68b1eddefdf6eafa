"""A minion is lost that runs many tasks of a large job with checkpoints."""

import asyncio
import collections
import pathlib

import world as worlds

JOB = "00000000000000c1"
WORK_S = 12.0
STEP = {
    "count": 1000,
    "cpu": 100,
    "mem_mb": 50,
    "est_runtime_ms": 12000,
    "checkpointing": True,
}
# Work done, and a name of the saved data.
CHECKPOINT_CHARS = 48
WATCH_S = 60.0


async def scene(world, is_troubled):
    """Submit the job, lose the minion that runs most of it, and ask for it."""
    world.work.checkpoint_chars = CHECKPOINT_CHARS
    if not await world.submit(JOB, [STEP], [WORK_S]):
        return 2
    await asyncio.sleep(5)
    running = collections.Counter(
        run.minion for run in world.work.running(f"{JOB}.")
    )
    world.log(f"running: { {m.id: n for m, n in running.items()} }")
    if sum(running.values()) < STEP["count"] / 2:
        return 2
    if is_troubled:
        lost, _count = running.most_common(1)[0]
        asyncio.create_task(lost.lose_power())
    state = ""
    until_s = world.now_s() + WATCH_S
    while world.now_s() < until_s and state not in ("completed", "failed"):
        await asyncio.sleep(1)
        state = await world.state(JOB)
    ends = collections.Counter(run.how for run in world.work.runs)
    world.log(f"shown as {state!r}; ends of its runs: {dict(ends)}")
    done = {run.task for run in world.work.runs if run.how == "done"}
    world.log(f"{len(done)} of {STEP['count']} tasks have ended done")
    is_lost = state == "failed" and not ends["failed"]
    world.log(f"rule LOST {'broken' if is_lost else 'kept'}")
    if not is_lost and state != "completed":
        return 2
    return 1 if is_lost else 0


worlds.play(
    pathlib.Path(__file__).parent,
    hosts=dict.fromkeys(worlds.ZONES, 2),
    fleet=dict.fromkeys(worlds.ZONES, [{}] * 4),
    scene=scene,
)
