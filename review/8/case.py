"""A version of the configuration removes the only route to a service."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as stage  # noqa: E402

ZONES = ["zone-a", "zone-b"]
SERVICES = ["pool-1", "pool-2"]
# Time for which nothing of a job may run, by the rule.
IDLE_S = 3.0


def _make_world():
    world = stage.World(FOLDER, ZONES)
    for zone in ZONES:
        for number in range(4):
            world.minions.append(
                stage.Minion(
                    world,
                    service=SERVICES[number % 2],
                    zone=zone,
                    number=number,
                    cpu=64000,
                    mem_mb=256000,
                    labels=["a", f"rack-{zone}"],
                )
            )
    return world


async def _case():
    world = _make_world()
    try:
        return await _play(world)
    finally:
        world.close()


async def _play(world):
    old = [("r-1", "/one/", "pool-1"), ("r-2", "/two/", "pool-2")]
    # One route is removed and another one added in its place; or, on request,
    # the route is only removed, or names the other service.
    new = {
        "replace": [old[0], ("r-3", "/two/", "pool-1")],
        "remove": [old[0]],
        "send": [old[0], ("r-2", "/two/", "pool-1")],
    }[os.environ.get("WAY", "replace")]
    world.configure(3, old, SERVICES)
    await world.start([("host-1", "zone-a"), ("host-2", "zone-b")])
    first, second = world.hosts
    steps, lasting = stage.job_id(), stage.job_id()
    world.work[f"{steps}.0.0"] = 6.0
    world.work[f"{steps}.0.1"] = 1.0
    # A task that lasts may end at any time and must be started again.
    world.work[f"{lasting}.0.0"] = 8.0
    step = {"count": 2, "cpu": 4000, "mem_mb": 1000, "est_runtime_ms": 2000}
    for host, job_id, found in (
        (first, steps, [step, step | {"after": [0]}]),
        (second, lasting, [step | {"long_running": True}]),
    ):
        status, _answer = await world.send(
            host,
            "POST",
            f"/two/{job_id}",
            {"task_spec": "text", "steps": found},
        )
        if status != 200:
            return 2
    await asyncio.sleep(3.0)
    if len(world.starts(steps)) < 2 or len(world.starts(lasting)) < 2:
        return 2
    world.configure(5, new if stage.has_trouble() else old, SERVICES)
    # Beyond the end of the first step, then finish_s.
    until_s = time.monotonic() + 8.0 + stage.BOUNDS["finish_s"]
    state = ""
    while time.monotonic() < until_s:
        await asyncio.sleep(1.0)
        _status, answer = await world.send(first, "GET", f"/two/{steps}")
        state = answer.get("state", "")
    is_lost = False
    for job_id in (steps, lasting):
        idle_s = world.idle_s(job_id)
        is_ended = job_id == steps and state == "completed"
        is_lost = is_lost or (idle_s > IDLE_S and not is_ended)
        world.record.write(
            f"job {job_id}: {len(world.starts(job_id))} starts, nothing of "
            f"it has run for {idle_s:.1f} s, ended: {is_ended}"
        )
    world.record.write(f"verdict: an accepted job stands still: {is_lost}")
    return 1 if is_lost else 0


stage.main(_case, FOLDER)
