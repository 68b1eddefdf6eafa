"""Faults of the holder of a cell that has just lost a worker.

A fault ends when its function returns, also if its host is still away: the
rule on standing tasks holds for the others then.
"""

import math
import random
import signal
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.policies import registry
from wisteriawood.soak import faults
from wisteriawood.soak import hosts
from wisteriawood.soak import proxies

if typing.TYPE_CHECKING:
    from wisteriawood.soak import worlds

HolderFault = typing.Callable[
    ["worlds.SoakWorld", hosts.HostProcess, random.Random],
    typing.Awaitable[None],
]
HOLDER_FAULTS: registry.Registry[HolderFault] = registry.Registry(
    kind="holder fault"
)
# Time between two losses of holders of one cell; the second one is lost while
# it waits for the lease.
SECOND_AFTER_S = (2.0, 4.0)


def find_holder(
    world: "worlds.SoakWorld", zone: str
) -> hosts.HostProcess | None:
    """Return the running host that holds the cell of a zone; None for none.

    Args:
        world: The soak.
        zone: The zone.
    """
    for at, row in world.memory_store.rows.items():
        if at.table != tables.CLAIMS or at.part != zone:
            continue
        try:
            holder = claims.read_claim(row).row.holder
        except errors.MessageError:
            continue
        host = world.hosts.get(holder)
        if host is not None and host.is_running():
            return host
    return None


async def _kill(host: hosts.HostProcess, away_s: float) -> None:
    host.away_until_s = anyio.current_time() + away_s
    host.kill()


@HOLDER_FAULTS.register("kill-holder")
async def _kill_holder(_world, host, rng) -> None:
    await _kill(host, rng.uniform(0.1, 2.0))


@HOLDER_FAULTS.register("kill-holder-for-long")
async def _kill_for_long(_world, host, rng) -> None:
    await _kill(host, rng.uniform(8.0, 11.0))


@HOLDER_FAULTS.register("kill-holder-for-good")
async def _kill_for_good(world, host, rng) -> None:
    others = [
        other
        for other in world.hosts.values()
        if other.zone == host.zone and other is not host
    ]
    is_last = not any(other.is_running() for other in others)
    await _kill(host, rng.uniform(0.1, 2.0) if is_last else math.inf)


@HOLDER_FAULTS.register("kill-two-holders")
async def _kill_two(world, host, rng) -> None:
    await _kill(host, 0.3)
    await anyio.sleep(rng.uniform(*SECOND_AFTER_S))
    second = find_holder(world, host.zone)
    if second is not None:
        await _kill(second, 0.3)


@HOLDER_FAULTS.register("freeze-holder")
async def _freeze(_world, host, rng) -> None:
    host.signal(signal.SIGSTOP)
    await anyio.sleep(rng.uniform(4.0, 7.0))
    host.signal(signal.SIGCONT)


@HOLDER_FAULTS.register("stop-holder")
async def _stop(_world, host, _rng) -> None:
    host.should_run = False
    await host.stop()
    host.should_run = True


@HOLDER_FAULTS.register("cut-holder-from-store")
async def _cut(world, host, rng) -> None:
    link = world.store_links[host.name]
    link.held |= set(proxies.Direction)
    await anyio.sleep(rng.uniform(4.0, 8.0))
    world.checker.links_released_at_s = world.checker.now_s()
    link.held.clear()


@HOLDER_FAULTS.register("store-away")
async def _store_away(world, _host, rng) -> None:
    await faults.FAULTS.get("store-down")(world, rng)


@HOLDER_FAULTS.register("store-loses-answers")
async def _lose_answers(world, _host, rng) -> None:
    await faults.FAULTS.get("store-loses-answers")(world, rng)
