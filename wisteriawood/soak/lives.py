"""Faults of workers that restart under their id and are cut off soon after."""

import dataclasses
import random
import typing

import anyio

from wisteriawood.jobs import specs
from wisteriawood.links import runners
from wisteriawood.policies import registry
from wisteriawood.soak import callers
from wisteriawood.soak import faults
from wisteriawood.soak import proxies
from wisteriawood.soak import shapes

if typing.TYPE_CHECKING:
    from wisteriawood.soak import checks
    from wisteriawood.soak import worlds

# Longer than the leases that hosts grant, so that an order on the clock of a
# former instance may grant a longer one.
HOLD_MAX_MS = 10_000
# The same where connections and orders outlive the processes of workers; one
# of them is no longer than the leases that hosts grant.
KEPT_HOLD_MAX_MS = (6_000, 10_000)
# Workers of each zone there, so that tasks find another one at once.
KEPT_WORKERS = 5
# Jobs there, small and long, so that many tasks start and some run on when a
# lease that the holder knows of has ended; and the share of standing ones.
KEPT_JOBS: registry.Registry[callers.JobMaker] = registry.Registry(kind="job")
KEPT_WORK_S = (0.2, 12.0)
STANDING_SHARE = 0.15
# Share of the faults there in which workers leave orders without an answer
# just before they crash, for how long, and how much later they carry them out.
UNANSWERED_SHARE = 0.7
MAX_UNANSWERED_S = 1.0
MAX_LATE_S = 3.0
# Share of the faults there in which workers are cut off this soon after their
# restart, when hosts may not have heard of their new instances.
EARLY_CUT_SHARE = 0.6
MAX_EARLY_S = 0.03
# Share of these faults in which the holder of the cell is killed as well.
KILL_SHARE = 0.4
# Longest time in which nothing is at a crashed worker's address, in which
# hosts have heard of its new instance, and in which it is cut off.
MAX_DARK_S = 0.9
MAX_SEEN_S = 2.5
MAX_CUT_S = 12.0


@KEPT_JOBS.register("long")
def _make_long_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(1, 6),
            cpu_millicores=500,
            memory_mb=64,
            expected_run_ms=6000,
            is_standing=rng.random() < STANDING_SHARE,
        )
    ]


def make_shape(seed: int, outlives_process: bool = False) -> shapes.Shape:
    """Return the shape of a soak of restarted workers.

    Args:
        seed: Seed of the soak.
        outlives_process: Whether connections to a worker, and the orders that
            it leaves without an answer, outlive its process.
    """
    if not outlives_process:
        return shapes.Shape(hold_max_ms=HOLD_MAX_MS)
    return shapes.Shape(
        workers_per_rack=KEPT_WORKERS,
        hold_max_ms=random.Random(seed).choice(KEPT_HOLD_MAX_MS),
        outlives_process=True,
    )


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


def _end_connections(
    world: "worlds.SoakWorld", links: list[proxies.Proxy]
) -> None:
    """End the connections of links with the process of their worker.

    If they outlive it, what a cut holds up is lost all the same, so that no
    order is later than those that a worker leaves without an answer.
    """
    for link in links:
        if link.held or not world.shape.outlives_process:
            link.reset()


async def _leave_unanswered(
    workers: list["checks.WatchedWorker"], rng: random.Random
) -> None:
    """Let workers leave orders without an answer, to carry them out late."""
    if rng.random() >= UNANSWERED_SHARE:
        return
    for worker in workers:
        worker.lost_answers = rng.randint(1, 12)
        worker.lost_answer_delay_s = rng.uniform(0.1, MAX_LATE_S)
    await anyio.sleep(rng.uniform(0.05, MAX_UNANSWERED_S))
    for worker in workers:
        worker.lost_answers = 0


def _choose_seen_s(world: "worlds.SoakWorld", rng: random.Random) -> float:
    """Return how long after their restart workers are cut off."""
    if world.shape.outlives_process and rng.random() < EARLY_CUT_SHARE:
        return rng.uniform(0.0, MAX_EARLY_S)
    return rng.uniform(0.0, MAX_SEEN_S)


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
    if world.shape.outlives_process:
        await _leave_unanswered(workers, rng)
        # Another such fault may have crashed some meanwhile.
        workers = [worker for worker in workers if not worker.is_dead]
    links = _links_of(world, workers)
    for worker in workers:
        worker.crash()
    _end_connections(world, links)
    for link in links:
        # What is sent on new connections waits.
        link.held |= set(proxies.Direction)
    await anyio.sleep(rng.uniform(0.05, MAX_DARK_S))
    for worker in workers:
        worker.restart()
    for link in links:
        link.held.clear()
    await anyio.sleep(_choose_seen_s(world, rng))
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
