"""Injected faults; each fault ends when its function returns."""

import random
import signal
import typing

import anyio

from wisteriawood import errors
from wisteriawood.policies import registry
from wisteriawood.soak import checks
from wisteriawood.soak import proxies

if typing.TYPE_CHECKING:
    from wisteriawood.soak import worlds

Fault = typing.Callable[
    ["worlds.SoakWorld", random.Random], typing.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")
# Further faults for soaks with wide jobs. They are separate so that the seeds
# of other soaks still choose the same faults.
WIDE_FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")

# Faults of the store that soaks with silences add, for the same reason.
SILENCE_FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")
# Faults of soaks whose workers restart under their ids.
LIFE_FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")
# Faults that a series of losses adds to some of the others.
LOSS_FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")
HOST_FAULTS = ("kill-host", "new-configuration", "reload-host", "stop-host")
# Share of lost workers whose connections do not end, and the longest time
# for which the entry of a lost worker stays.
SILENT_SHARE = 0.3
MAX_LISTED_S = 8.0


def choose(
    names: typing.Collection[str],
    is_wide: bool,
    has_losses: bool = False,
    has_silences: bool = False,
    has_lives: bool = False,
) -> dict[str, Fault]:
    """Return the faults to inject, by name.

    Args:
        names: Names of the faults; empty for all.
        is_wide: Whether those for wide jobs are among all.
        has_losses: Whether all are those of a series of losses.
        has_silences: Whether those of a silent store are among all.
        has_lives: Whether all are those of workers that restart.

    Raises:
        UsageError: A name is not registered.
    """
    known = {name: FAULTS.get(name) for name in FAULTS.names()}
    if has_losses:
        known = {name: known[name] for name in HOST_FAULTS}
        known |= {name: LOSS_FAULTS.get(name) for name in LOSS_FAULTS.names()}
    elif has_lives:
        known = {name: known[name] for name in HOST_FAULTS}
        known |= {name: LIFE_FAULTS.get(name) for name in LIFE_FAULTS.names()}
    elif is_wide:
        known |= {name: WIDE_FAULTS.get(name) for name in WIDE_FAULTS.names()}
    if has_silences:
        for name in SILENCE_FAULTS.names():
            known[name] = SILENCE_FAULTS.get(name)
    for name in names:
        if name not in known:
            raise errors.UsageError(f"unknown fault {name!r}")
    return {name: known[name] for name in names or known}


def _choose_host(world: "worlds.SoakWorld", rng: random.Random):
    return world.hosts[rng.choice(sorted(world.hosts))]


def _choose_directions(rng: random.Random) -> set[proxies.Direction]:
    return set(
        rng.choice(
            (
                [proxies.Direction.OUT],
                [proxies.Direction.BACK],
                list(proxies.Direction),
            )
        )
    )


async def _hold_links(
    world: "worlds.SoakWorld",
    links: list[proxies.Proxy],
    rng: random.Random,
    max_s: float,
) -> None:
    """Hold links for up to max_s seconds, then release or reset them."""
    held = _choose_directions(rng)
    for link in links:
        link.held |= held
    await anyio.sleep(rng.uniform(0.3, max_s))
    is_reset = rng.random() < 0.5
    world.checker.links_released_at_s = world.checker.now_s()
    for link in links:
        link.held.clear()
        if is_reset:
            link.reset()


@FAULTS.register("kill-host")
async def _kill_host(world: "worlds.SoakWorld", rng: random.Random) -> None:
    host = _choose_host(world, rng)
    host.should_run = False
    host.kill()
    await anyio.sleep(rng.uniform(0.1, 2.5))
    host.should_run = True


@FAULTS.register("kill-all-hosts")
async def _kill_all(world: "worlds.SoakWorld", rng: random.Random) -> None:
    for host in world.hosts.values():
        host.kill()
    await anyio.sleep(rng.uniform(0.1, 1.0))


@FAULTS.register("pause-host")
async def _pause_host(world: "worlds.SoakWorld", rng: random.Random) -> None:
    host = _choose_host(world, rng)
    host.signal(signal.SIGSTOP)
    await anyio.sleep(rng.uniform(0.5, 6.0))
    host.signal(signal.SIGCONT)


@FAULTS.register("stop-host")
async def _stop_host(world: "worlds.SoakWorld", rng: random.Random) -> None:
    host = _choose_host(world, rng)
    host.should_run = False
    await host.stop()
    await anyio.sleep(rng.uniform(0.0, 1.0))
    host.should_run = True


@FAULTS.register("reload-host")
async def _reload(world: "worlds.SoakWorld", rng: random.Random) -> None:
    _choose_host(world, rng).signal(signal.SIGHUP)


@FAULTS.register("cut-host-from-store")
async def _cut_store(world: "worlds.SoakWorld", rng: random.Random) -> None:
    name = _choose_host(world, rng).name
    await _hold_links(world, [world.store_links[name]], rng, 5.0)


@FAULTS.register("reset-links-of-host")
async def _reset(world: "worlds.SoakWorld", rng: random.Random) -> None:
    name = _choose_host(world, rng).name
    for link in world.links_of(name):
        link.reset()


@FAULTS.register("slow-links-of-host")
async def _slow(world: "worlds.SoakWorld", rng: random.Random) -> None:
    links = world.links_of(_choose_host(world, rng).name)
    for link in links:
        link.delay_s = rng.uniform(0.02, 0.3)
    await anyio.sleep(rng.uniform(1.0, 4.0))
    for link in links:
        link.delay_s = 0.0


@FAULTS.register("cut-host-from-workers")
async def _cut_workers(world: "worlds.SoakWorld", rng: random.Random) -> None:
    name = _choose_host(world, rng).name
    links = list(world.worker_links[name].values())
    await _hold_links(world, links, rng, 4.0)


@FAULTS.register("cut-worker")
async def _cut_worker(world: "worlds.SoakWorld", rng: random.Random) -> None:
    worker_id = rng.choice(sorted(world.workers))
    links = [links[worker_id] for links in world.worker_links.values()]
    await _hold_links(world, links, rng, 5.0)


@FAULTS.register("crash-worker")
async def _crash_worker(world: "worlds.SoakWorld", rng: random.Random) -> None:
    worker = world.workers[rng.choice(sorted(world.workers))]
    if worker.is_dead:
        return
    worker.crash()
    await anyio.sleep(rng.uniform(0.05, 4.0))
    worker.restart()


@FAULTS.register("drain-worker")
async def _drain_worker(world: "worlds.SoakWorld", rng: random.Random) -> None:
    worker = world.workers[rng.choice(sorted(world.workers))]
    if worker.is_dead or worker.registration.is_draining:
        return
    worker.registration.is_draining = True
    await anyio.sleep(rng.uniform(1.5, 8.0))
    if not worker.is_dead:
        worker.crash()
        await anyio.sleep(0.5)
        worker.restart()
    worker.registration.is_draining = False


@FAULTS.register("store-down")
async def _store_down(world: "worlds.SoakWorld", rng: random.Random) -> None:
    names = sorted(world.stores)
    if rng.random() < 0.5:
        names = rng.sample(names, rng.randint(1, len(names) - 1))
    for name in names:
        world.stores[name].status = rng.choice((429, 503))
    await anyio.sleep(rng.uniform(0.3, 4.0))
    for name in names:
        world.stores[name].status = 0


@SILENCE_FAULTS.register("store-silent")
async def _silence_store(
    world: "worlds.SoakWorld", rng: random.Random
) -> None:
    """Leave calls unanswered with open connections, of all hosts or some."""
    names = sorted(world.stores)
    if rng.random() < 0.3:
        names = rng.sample(names, rng.randint(1, len(names) - 1))
    for name in names:
        world.stores[name].is_silent = True
    await anyio.sleep(rng.uniform(0.2, 10.0))
    for name in names:
        world.stores[name].is_silent = False


@FAULTS.register("store-loses-answers")
async def _lose_answers(world: "worlds.SoakWorld", rng: random.Random) -> None:
    lost_answer_delay_s = rng.choice((0.0, 1.0, 3.0))
    for store in world.stores.values():
        store.lost_answers = rng.randint(1, 4)
        store.lost_answer_delay_s = lost_answer_delay_s
    await anyio.sleep(2.0)
    for store in world.stores.values():
        store.lost_answers = 0


@FAULTS.register("store-forgets-history")
async def _compact_history(
    world: "worlds.SoakWorld", rng: random.Random
) -> None:
    del rng
    world.memory_store.compact_history()


@FAULTS.register("new-configuration")
async def _configure(world: "worlds.SoakWorld", rng: random.Random) -> None:
    del rng
    world.configure()


def _workers_of_zone(
    world: "worlds.SoakWorld", zone: str
) -> list["checks.WatchedWorker"]:
    return [w for w in world.workers.values() if w.registration.zone == zone]


async def _drain_zone(
    world: "worlds.SoakWorld", zone: str, duration_s: float
) -> None:
    """Drain all workers of a zone, then restart them one by one."""
    drained = [
        worker
        for worker in _workers_of_zone(world, zone)
        if not worker.is_dead and not worker.registration.is_draining
    ]
    for worker in drained:
        worker.registration.is_draining = True
    await anyio.sleep(duration_s)
    for worker in drained:
        if not worker.is_dead:
            worker.crash()
            await anyio.sleep(0.2)
            worker.restart()
        worker.registration.is_draining = False


@WIDE_FAULTS.register("drain-zone")
async def _drain_one_zone(
    world: "worlds.SoakWorld", rng: random.Random
) -> None:
    zone = rng.choice(world.zones())
    await _drain_zone(world, zone, rng.uniform(1.5, 5.0))


async def _slow_down_store(
    world: "worlds.SoakWorld",
    rng: random.Random,
    duration_s: float,
    **delays_s: float,
) -> None:
    """Delay changes, in some partitions of jobs or in all partitions."""
    parts = rng.choice([[zone] for zone in world.zones()] + [world.zones()])
    if rng.random() < 0.3:
        # The heartbeats of the hosts.
        parts = [*parts, ""]
    for store in world.stores.values():
        store.slow_parts = parts
        store.delay_s = delays_s.get("before", 0.0)
        store.answer_delay_s = delays_s.get("after", 0.0)
    await anyio.sleep(duration_s)
    for store in world.stores.values():
        store.slow_parts = ()


@WIDE_FAULTS.register("store-answers-late")
async def _answer_late(world: "worlds.SoakWorld", rng: random.Random) -> None:
    """Delay answers to changes, which the store commits at once."""
    delay_s = rng.uniform(0.3, 2.2)
    await _slow_down_store(world, rng, rng.uniform(1.0, 8.0), after=delay_s)


@WIDE_FAULTS.register("drain-zones-in-turn")
async def _drain_zones_in_turn(
    world: "worlds.SoakWorld", rng: random.Random
) -> None:
    """Make waiting jobs move away and back beside a fault of the store."""
    zones = world.zones()
    rng.shuffle(zones)
    link = world.store_links[_choose_host(world, rng).name]
    async with anyio.create_task_group() as group:
        if rng.random() < 0.5:
            group.start_soon(_hold_links, world, [link], rng, 5.0)
        else:
            group.start_soon(_answer_late, world, rng)
        for zone in [*zones, *zones]:
            await _drain_zone(world, zone, rng.uniform(1.0, 2.5))


@WIDE_FAULTS.register("crash-zone")
async def _crash_zone(world: "worlds.SoakWorld", rng: random.Random) -> None:
    crashed = [
        worker
        for worker in _workers_of_zone(world, rng.choice(world.zones()))
        if not worker.is_dead
    ]
    for worker in crashed:
        worker.crash()
    await anyio.sleep(rng.uniform(0.5, 5.0))
    for worker in crashed:
        worker.restart()


@WIDE_FAULTS.register("cut-zone-from-workers")
async def _cut_zone(world: "worlds.SoakWorld", rng: random.Random) -> None:
    names = {
        worker.registration.worker_id
        for worker in _workers_of_zone(world, rng.choice(world.zones()))
    }
    links = [
        link
        for of_host in world.worker_links.values()
        for worker_id, link in of_host.items()
        if worker_id in names
    ]
    await _hold_links(world, links, rng, 4.0)


@WIDE_FAULTS.register("worker-obeys-late")
async def _obey_late(world: "worlds.SoakWorld", rng: random.Random) -> None:
    """Leave orders to a worker unanswered and carry them out late."""
    worker = world.workers[rng.choice(sorted(world.workers))]
    worker.lost_answer_delay_s = rng.choice((0.0, 0.3, 1.0))
    worker.lost_answers = rng.randint(2, 12)
    await anyio.sleep(rng.uniform(0.5, 4.0))
    worker.lost_answers = 0


@WIDE_FAULTS.register("high-tail-latency")
async def _raise_tails(world: "worlds.SoakWorld", rng: random.Random) -> None:
    count = rng.randint(1, len(world.workers))
    strained = rng.sample(sorted(world.workers), count)
    for worker_id in strained:
        world.workers[worker_id].tail_ratio = rng.uniform(0.8, 1.6)
    await anyio.sleep(rng.uniform(0.5, 4.0))
    for worker_id in strained:
        world.workers[worker_id].tail_ratio = checks.CALM_TAIL_RATIO


@WIDE_FAULTS.register("slow-store")
async def _slow_store(world: "worlds.SoakWorld", rng: random.Random) -> None:
    """Delay changes, so that many jobs are written together."""
    delay_s = rng.uniform(0.1, 1.0)
    await _slow_down_store(world, rng, rng.uniform(1.0, 6.0), before=delay_s)


def _lose(
    world: "worlds.SoakWorld",
    rng: random.Random,
    candidates: typing.Iterable["checks.WatchedWorker"],
    most: int = 1000,
) -> None:
    """Lose living workers for good, as many as the soak can bear.

    If some have no standing tasks, the others come first.
    """
    living = [worker for worker in candidates if not worker.is_dead]
    serving = [w for w in living if _has_standing_tasks(world, w)]
    if len(serving) >= min(most, len(living)):
        living = serving
    most = min(most, len(living), world.shape.losses_left)
    is_silent = rng.random() < SILENT_SHARE
    now_s = world.checker.now_s()
    for worker in rng.sample(living, most):
        world.shape.losses_left -= 1
        worker.listed_until_s = now_s + rng.uniform(0.0, MAX_LISTED_S)
        worker.lost_at_s = now_s
        worker.crash()
        for links in world.worker_links.values():
            link = links[worker.registration.worker_id]
            if is_silent:
                link.held |= set(proxies.Direction)
                continue
            link.is_refusing = True
            link.reset()


def _choose_lossy_zone(
    world: "worlds.SoakWorld", rng: random.Random
) -> list["checks.WatchedWorker"]:
    """Return the living workers of a zone, with standing tasks if possible."""
    zones = [
        [w for w in _workers_of_zone(world, zone) if not w.is_dead]
        for zone in world.zones()
    ]
    serving = [
        workers
        for workers in zones
        if any(_has_standing_tasks(world, worker) for worker in workers)
    ]
    return rng.choice(serving or [workers for workers in zones if workers])


def _has_standing_tasks(
    world: "worlds.SoakWorld", worker: "checks.WatchedWorker"
) -> bool:
    return any(world.checker.step_of(n).is_standing for n in worker.runs)


@LOSS_FAULTS.register("lose-worker")
async def _lose_worker(world: "worlds.SoakWorld", rng: random.Random) -> None:
    _lose(world, rng, _choose_lossy_zone(world, rng), 1)


@LOSS_FAULTS.register("lose-two-workers")
async def _lose_two(world: "worlds.SoakWorld", rng: random.Random) -> None:
    _lose(world, rng, _choose_lossy_zone(world, rng), 2)


@LOSS_FAULTS.register("lose-rack")
async def _lose_rack(world: "worlds.SoakWorld", rng: random.Random) -> None:
    workers = _choose_lossy_zone(world, rng)
    rack = rng.choice(workers).registration.rack
    _lose(world, rng, [w for w in workers if w.registration.rack == rack])


@LOSS_FAULTS.register("lose-zone")
async def _lose_zone(world: "worlds.SoakWorld", rng: random.Random) -> None:
    _lose(world, rng, _choose_lossy_zone(world, rng))
