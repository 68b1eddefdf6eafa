"""The store forgets its history, and the holder of a cell is killed twice."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as stage  # noqa: E402

ZONES = ["zone-a"]
TASKS = 4
WORK_S = 2.0
# The site's `platform_compact` has x = 6 and lasts 12 s.
STALE_S = 6.0
COMPACT_S = 12.0
# A killed process starts again after this, as the site's `node_kill`.
DOWN_S = 3.0


def _make_world():
    world = stage.World(FOLDER, ZONES)
    for number in range(4):
        world.minions.append(
            stage.Minion(
                world,
                service="pool-1",
                zone="zone-a",
                number=number,
                cpu=64000,
                mem_mb=256000,
                labels=["a", "rack-1"],
            )
        )
    return world


async def _case():
    world = _make_world()
    try:
        return await _play(world)
    finally:
        world.close()


async def _kill(world):
    """Kill the host that last wrote under a condition, and start it later."""
    host = world.last_writer()
    host.kill()

    async def _restart():
        await asyncio.sleep(DOWN_S)
        host.start()

    world.spawn(_restart())


def _find_repeated(world, job_id):
    """Return the starts after an end `done` that was taken note of."""
    noted = set()
    for minion in world.minions:
        for number, name, run, how, _saved in minion.all_ends:
            is_noted = (
                number <= minion.last_seen and number not in minion.lapsed_ends
            )
            if how == "done" and is_noted:
                noted.add((minion.id, name, run))
    done_s, found = {}, []
    for at_s, minion_id, name, run, event in world.events:
        if not name.startswith(job_id):
            continue
        if event == "start" and name in done_s:
            found.append((at_s, minion_id, name, run))
        if event == "done" and (minion_id, name, run) in noted:
            done_s[name] = at_s
    return found


async def _play(world):
    world.configure(3, [("r-1", "/one/", "pool-1")], ["pool-1"])
    await world.start(
        [("host-1", "zone-a"), ("host-2", "zone-a"), ("host-3", "zone-a")],
        startup_s=12.0,
    )
    holder = world.last_writer()
    entry = next(host for host in world.hosts if host is not holder)
    job_id = stage.job_id()
    world.work[f"{job_id}.0.0"] = WORK_S
    step = {
        "count": TASKS,
        "cpu": 4000,
        "mem_mb": 1000,
        "est_runtime_ms": 2000,
    }
    status, _answer = await world.send(
        entry, "POST", f"/one/{job_id}", {"task_spec": "text", "steps": [step]}
    )
    if status != 200:
        return 2
    began_s = time.monotonic()
    await asyncio.sleep(0.3)
    if len(world.starts(job_id)) < TASKS:
        return 2
    if stage.has_trouble():
        world.spawn(world.store.compact(STALE_S, COMPACT_S))
        await asyncio.sleep(0.7)
        await _kill(world)
        # The next holder takes note of the ends, and is killed as well.
        while time.monotonic() - began_s < 15.0:
            await asyncio.sleep(0.05)
            if any(m.last_seen and m.noted(job_id) for m in world.minions):
                break
        await asyncio.sleep(0.3)
        await _kill(world)
    await asyncio.sleep(25.0)
    await world.send(entry, "GET", f"/one/{job_id}")
    found = _find_repeated(world, job_id)
    for at_s, minion_id, name, run in found:
        world.record.write(
            f"{name} run {run} was started on {minion_id} at {at_s:.1f} s, "
            f"after an end done that was taken note of"
        )
    world.record.write(
        f"verdict: tasks run again after their end: {bool(found)}"
    )
    return 1 if found else 0


stage.main(_case, FOLDER)
