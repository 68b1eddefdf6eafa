"""Faults of workers that restart under their id and are cut off soon after."""

import dataclasses
import random
import typing

import anyio

from wisteriawood.links import runners
from wisteriawood.soak import faults
from wisteriawood.soak import proxies
from wisteriawood.soak import shapes

if typing.TYPE_CHECKING:
    from wisteriawood.soak import checks
    from wisteriawood.soak import worlds

# Longer than the leases that hosts grant, so that an order on the clock of a
# former instance may grant a longer one.
HOLD_MAX_MS = 10_000
# Share of these faults in which the holder of the cell is killed as well.
KILL_SHARE = 0.4
# Longest time in which nothing is at a crashed worker's address, in which
# hosts have heard of its new instance, and in which it is cut off.
MAX_DARK_S = 0.9
MAX_SEEN_S = 2.5
MAX_CUT_S = 12.0


def make_shape() -> shapes.Shape:
    """Return the shape of a soak of restarted workers."""
    return shapes.Shape(hold_max_ms=HOLD_MAX_MS)


def make_entry(worker: "checks.WatchedWorker") -> runners.Registration:
    """Return the entry of a worker, which tells when its process started.

    Args:
        worker: The worker.
    """
    return dataclasses.replace(
        worker.registration, started_unix_ms=worker.started_unix_ms
    )


def _links_of(
    world: "worlds.SoakWorld", workers: list["checks.WatchedWorker"]
) -> list[proxies.Proxy]:
    return [
        links[worker.registration.worker_id]
        for worker in workers
        for links in world.worker_links.values()
    ]


@faults.LIFE_FAULTS.register("recut-workers")
async def _recut(world: "worlds.SoakWorld", rng: random.Random) -> None:
    zone = rng.choice(world.zones())
    living = [
        worker
        for worker in world.workers.values()
        if worker.registration.zone == zone and not worker.is_dead
    ]
    if not living:
        return
    workers = rng.sample(living, rng.randint(1, 2) if len(living) > 2 else 1)
    links = _links_of(world, workers)
    for worker in workers:
        worker.crash()
    for link in links:
        # Connections end with the process. What is sent on new ones waits.
        link.reset()
        link.held |= set(proxies.Direction)
    await anyio.sleep(rng.uniform(0.05, MAX_DARK_S))
    for worker in workers:
        worker.restart()
    for link in links:
        link.held.clear()
    await anyio.sleep(rng.uniform(0.0, MAX_SEEN_S))
    for link in links:
        link.held |= set(proxies.Direction)
    if rng.random() < KILL_SHARE:
        host = world.hosts[rng.choice(sorted(world.hosts))]
        host.should_run = False
        host.kill()
        await anyio.sleep(rng.uniform(0.1, 2.5))
        host.should_run = True
    await anyio.sleep(rng.uniform(4.0, MAX_CUT_S))
    world.checker.links_released_at_s = world.checker.now_s()
    for link in links:
        link.held.clear()
        link.reset()
