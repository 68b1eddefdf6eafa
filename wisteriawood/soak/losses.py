"""Soaks with full cells in which workers are lost for good."""

import random
import typing

import anyio

from wisteriawood.jobs import specs
from wisteriawood.policies import registry
from wisteriawood.soak import callers
from wisteriawood.soak import checks
from wisteriawood.soak import faults
from wisteriawood.soak import shapes

if typing.TYPE_CHECKING:
    from wisteriawood.soak import worlds

# Jobs that keep the CPU busy that standing tasks leave.
FULL_JOBS: registry.Registry[callers.JobMaker] = registry.Registry(kind="job")
FULL_WORK_S = (0.5, 4.0)
# Of each caller; some times the capacity of all workers.
MAX_OPEN_JOBS = 4
# Standing load, as shares of the capacity after all losses.
STANDING_SHARES = (0.5, 0.7)
# The standing jobs are submitted this long before the other load.
STANDING_LEAD_S = 2.0
# Time between changes of the standing load.
CHANGE_PERIOD_S = (3.0, 8.0)
SETTLE_S = 6.0
# As long as the rule on standing tasks allows for.
HOLD_MAX_MS = 6000
LOSS_SHARE = 0.6
# Share of losses beside which a host is disturbed, and when.
DISTURBED_SHARE = 0.4
DISTURBED_AFTER_S = (0.0, 3.0)
# Share of losses after which the holder of the cell is disturbed, and when.
HOLDER_SHARE = 0.6
HOLDER_AFTER_S = (0.2, 2.5)
# Share of pauses that are long enough for the rule on standing tasks.
CALM_SHARE = 0.85
CALM_S = (10.5, 14.0)
SHORT_PAUSE_S = (1.0, 5.0)


@FULL_JOBS.register("batch")
def _make_batch_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(6, 16),
            cpu_millicores=rng.choice((2000, 3000, 4000)),
            memory_mb=1024,
            expected_run_ms=1500,
            is_checkpointing=rng.random() < 0.5,
        )
    ]


@FULL_JOBS.register("filler")
def _make_filler_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(4, 12),
            cpu_millicores=rng.choice((2000, 4000)),
            memory_mb=2048,
            expected_run_ms=1500,
            image=rng.choice(("filler-1", "filler-2")),
            is_checkpointing=True,
            is_filler=True,
        )
    ]


def make_standing_steps(rng: random.Random) -> list[specs.StepSpec]:
    """Return the only step of a standing job.

    Args:
        rng: Source of random choices.
    """
    is_spread = rng.random() < 0.3
    is_serving = rng.random() < 0.3
    return [
        specs.StepSpec(
            task_count=rng.randint(1, 4 if is_spread else 6),
            cpu_millicores=rng.choice((500, 1500, 2000, 4000)),
            memory_mb=rng.choice((64, 512, 1024)),
            image=rng.choice(("serving-1", "serving-2")) if is_serving else "",
            tail_target_ms=100 if is_serving else 0,
            most_per_worker=rng.randint(1, 2) if is_spread else 0,
            is_standing=True,
        )
    ]


def make_shape(seed: int) -> shapes.Shape:
    """Return the zones, racks and workers of a soak.

    Args:
        seed: Seed of the soak.
    """
    rng = random.Random(seed)
    shape = shapes.Shape(
        zones=rng.choice((("a", "b"), ("a", "b", "c"))),
        racks_per_zone=2,
        workers_per_rack=rng.randint(3, 4),
        hold_max_ms=HOLD_MAX_MS,
    )
    shape.losses_left = shape.workers_per_zone()
    return shape


def _demand_of(job: checks.SentJob) -> int:
    """Return the CPU that a job requests."""
    return sum(s.task_count * s.cpu_millicores for s in job.spec.steps)


async def keep_standing_load(
    caller: callers.Caller, shape: shapes.Shape, rng: random.Random
) -> None:
    """Submit standing jobs, then replace one now and then.

    Args:
        caller: Submits the jobs.
        shape: Limits their load.
        rng: Source of random choices.
    """
    left = shape.workers_per_zone() * len(shape.zones) - shape.losses_left
    most = left * shapes.WORKER_MILLICORES * rng.uniform(*STANDING_SHARES)
    standing: list[checks.SentJob] = []
    while True:
        steps = make_standing_steps(rng)
        demand = sum(s.task_count * s.cpu_millicores for s in steps)
        if sum(map(_demand_of, standing)) + demand <= most:
            sent = await caller.submit(steps)
            if sent.is_accepted or sent.is_unknown:
                standing.append(sent)
            continue
        await anyio.sleep(rng.uniform(*CHANGE_PERIOD_S))
        sent = standing[rng.randrange(len(standing))]
        await caller.cancel(sent)
        if sent.cancelled_at_s:
            standing.remove(sent)


async def inject_series(world: "worlds.SoakWorld", until_s: float) -> None:
    """Inject faults one after another, most of them followed by calm.

    Args:
        world: The soak.
        until_s: End time in seconds since the start of the soak.
    """
    rng = world.new_rng()
    lost = set(faults.LOSS_FAULTS.names()) & set(world.faults)
    others = set(world.faults) - lost
    await anyio.sleep(SETTLE_S)
    is_loss = True
    async with anyio.create_task_group() as group:
        while world.checker.now_s() < until_s - CALM_S[0]:
            is_loss = is_loss and world.shape.losses_left > 0
            names = (lost if is_loss else others) or set(world.faults)
            if is_loss and others and rng.random() < DISTURBED_SHARE:
                name = rng.choice(sorted(others))
                after_s = rng.uniform(*DISTURBED_AFTER_S)
                group.start_soon(_inject_later, world, name, after_s)
            if is_loss and world.holder_rng.random() < HOLDER_SHARE:
                after_s = world.holder_rng.uniform(*HOLDER_AFTER_S)
                group.start_soon(world.disturb_holder, after_s)
            await world.inject(rng.choice(sorted(names)), world.new_rng())
            is_calm = rng.random() < CALM_SHARE
            pause_s = rng.uniform(*(CALM_S if is_calm else SHORT_PAUSE_S))
            await anyio.sleep(pause_s)
            is_loss = rng.random() < LOSS_SHARE


async def _inject_later(
    world: "worlds.SoakWorld", name: str, after_s: float
) -> None:
    await anyio.sleep(after_s)
    await world.inject(name, world.new_rng())
