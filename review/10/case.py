"""One host is partitioned from the store while it stores a job."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as stage  # noqa: E402

ZONES = ["zone-a", "zone-b"]
STEPS = 5
STEP_S = 2.0
# The site file's `core_cut` lasts up to 5.5 s.
CUT_S = 5.0
WATCH_S = 14.0


def _make_world():
    world = stage.World(FOLDER, ZONES)
    for zone in ZONES:
        for number in range(3):
            world.minions.append(
                stage.Minion(
                    world,
                    service="pool-1",
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
    world.configure(3, [("r-1", "/one/", "pool-1")], ["pool-1"])
    await world.start(
        [("host-1", "zone-a"), ("host-2", "zone-b"), ("host-3", "zone-a")]
    )
    cut, other = world.hosts[2], world.hosts[1]
    job_id = stage.job_id()
    step = {"count": 1, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 2000}
    for position in range(STEPS):
        world.work[f"{job_id}.0.{position}"] = STEP_S
    body = {
        "task_spec": "text",
        "steps": [
            step | ({"after": [position - 1]} if position else {})
            for position in range(STEPS)
        ],
    }
    healed_s = 0.0

    async def _cut():
        nonlocal healed_s
        world.record.write(f"{cut.name} is cut off from the store")
        cut.proxy.cut()
        await asyncio.sleep(CUT_S)
        cut.proxy.heal()
        healed_s = world.record.now_s()
        world.record.write(f"{cut.name} reaches the store again")

    if stage.has_trouble():
        world.spawn(_cut())
        await asyncio.sleep(0.02)
    status, _answer = await world.send(cut, "POST", f"/one/{job_id}", body)
    if stage.has_trouble() and status == 200:
        return 2
    # The client gives up, and cancels what it may have handed in.
    status, _answer = await world.send(other, "DELETE", f"/one/{job_id}")
    if status not in (200, 410):
        return 2
    cancelled_s = world.record.now_s()
    await asyncio.sleep(WATCH_S)
    for host in world.hosts[:2]:
        await world.send(host, "GET", f"/one/{job_id}")
    # All machines are in touch contact_ms after the end of the cut.
    since_s = max(
        cancelled_s + stage.BOUNDS["cancel_ms"] / 1000,
        healed_s + stage.BOUNDS["contact_ms"] / 1000,
    )
    late = [event for event in world.starts(job_id) if event[0] > since_s]
    world.record.write(
        f"cancelled at {cancelled_s:.1f} s with {status}; "
        f"{len(world.starts(job_id))} starts, of these {len(late)} later than "
        f"{since_s:.1f} s"
    )
    world.record.write(f"verdict: a cancelled job runs: {bool(late)}")
    return 1 if late else 0


stage.main(_case, FOLDER)
