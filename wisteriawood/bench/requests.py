"""Benchmark of the requests' path: admission, routing and retries."""

import dataclasses
import functools
import heapq
import typing

import anyio
import ddsketch

from wisteriawood.bench import base
from wisteriawood.bench import clocks
from wisteriawood.bench import request_costs
from wisteriawood.bench import zone_fakes
from wisteriawood.policies import registry
from wisteriawood.policies import routing
from wisteriawood.policies.routing import base as routing_base

SIZES = (
    zone_fakes.ZoneSize(
        team="vitrinenklima", targets=25, slots=8, delay_s=0.003
    ),
    zone_fakes.ZoneSize(team="kroupa", targets=35, slots=8, delay_s=0.0045),
)
LOADS = (0.5, 0.7, 0.85, 0.95)
BOUND_LOAD = 0.85
WAVE_LOAD = 0.7
COUNT = 2000
WAVE_COUNT = 6000
SKEW_COUNT = 5000
SKEW_TARGETS = 5
SEED = 20
DEADLINE_S = 5.0
SLOWED = 3.0
SLOWED_EACH = 5
SKEW = (0.7, 0.3)
OVERLOAD = 2.0
OVERLOAD_COUNT = 7000
OVERLOAD_DEADLINE_S = 0.25
COST_COUNT = 2000
WAITING_COUNT = 500
COST_TARGETS = (25, 100, 400)


def run(function: typing.Callable, *args, **kwargs) -> typing.Any:
    """Run an async function in virtual time and return its result."""
    return anyio.run(
        functools.partial(function, *args, **kwargs),
        backend="trio",
        backend_options={"clock": clocks.JumpClock()},
    )


def ideal_p99_s(
    size: zone_fakes.ZoneSize, arrivals: list[zone_fakes.Arrival]
) -> float:
    """Return the 99th percentile of one ideal queue over all slots.

    It knows of each free slot at once, and holds it for the service only.

    Args:
        size: Sizes of the zone.
        arrivals: The load.
    """
    sketch = ddsketch.DDSketch(relative_accuracy=zone_fakes.ACCURACY)
    free_s = [0.0] * (size.targets * size.slots)
    for arrival in arrivals:
        start_s = max(arrival.at_s, heapq.heappop(free_s))
        heapq.heappush(free_s, start_s + arrival.size_s)
        took_s = start_s + arrival.size_s - arrival.at_s
        sketch.add(took_s + 2 * size.delay_s)
    return sketch.get_quantile_value(0.99)


def split_p99_s(
    size: zone_fakes.ZoneSize, arrivals: list[zone_fakes.Arrival]
) -> float:
    """Return the 99th percentile of strict turns among disturbed targets.

    Each request goes to the next target in turn and waits there, whether
    or not it has a free slot, as a proxy does that knows of no slots.

    Args:
        size: Sizes of the zone.
        arrivals: The load.
    """
    sketch = ddsketch.DDSketch(relative_accuracy=zone_fakes.ACCURACY)
    free_s = [[0.0] * size.slots for _ in range(size.targets)]
    for number, arrival in enumerate(arrivals):
        turn = number % size.targets
        slowdown = SLOWED if turn % SLOWED_EACH == 0 else 1.0
        start_s = max(arrival.at_s, heapq.heappop(free_s[turn]))
        end_s = start_s + arrival.size_s * slowdown + 2 * size.delay_s
        heapq.heappush(free_s[turn], end_s)
        sketch.add(end_s - arrival.at_s)
    return sketch.get_quantile_value(0.99)


async def disturb(zone: zone_fakes.FakeZone) -> None:
    """Slow a fifth of the targets threefold."""
    for number, fake in enumerate(zone.fakes.values()):
        if number % SLOWED_EACH == 0:
            fake.slowdown = SLOWED


def load_of(
    size: zone_fakes.ZoneSize,
    load: float,
    *,
    count: int = COUNT,
    entry_weights: typing.Sequence[float] = (0.5, 0.5),
) -> list[zone_fakes.Arrival]:
    """Return the arrivals of a load, the same at each call.

    Args:
        size: Sizes of the zone.
        load: Load as a share of the capacity.
        count: Number of arrivals.
        entry_weights: Share of the load at each entry host.
    """
    return zone_fakes.make_arrivals(
        rate_per_s=load * size.capacity_per_s(),
        count=count,
        seed=SEED,
        entry_weights=entry_weights,
    )


def quantiles(
    name: str, size: zone_fakes.ZoneSize, outcome: zone_fakes.Outcome
) -> typing.Iterator[base.Measure]:
    """Yield what a run showed.

    Args:
        name: Name of the run.
        size: Sizes of the zone.
        outcome: What the callers saw.
    """
    for label, quantile in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        yield base.Measure(
            name=f"{name}/{label}",
            value=1000 * outcome.quantile_s(quantile),
            unit="ms",
        )
    refused = outcome.shed / (
        outcome.answered + outcome.shed + outcome.unknown
    )
    yield base.Measure(name=f"{name}/shed", value=refused, unit="share")
    slots = size.targets * size.slots
    yield base.Measure(
        name=f"{name}/slot-use",
        value=outcome.busy_s / outcome.last_s / slots,
        unit="share",
    )


def measure_loads(size: zone_fakes.ZoneSize) -> typing.Iterator[base.Measure]:
    """Yield the figures of undisturbed targets at each load."""
    for load in LOADS:
        arrivals = load_of(size, load)
        ideal_s = ideal_p99_s(size, arrivals)
        for policy in (routing_base.DEFAULT, "random"):
            name = f"requests/{size.team}/load-{load:.0%}/{policy}"
            zone = zone_fakes.FakeZone(size=size, policy=policy)
            outcome = run(zone.run, arrivals, deadline_s=DEADLINE_S)
            yield from quantiles(name, size, outcome)
            is_bound = load == BOUND_LOAD and policy == routing_base.DEFAULT
            yield base.Measure(
                name=f"{name}/p99-over-ideal",
                value=outcome.quantile_s(0.99) / ideal_s,
                unit="x",
                at_most=1.2 if is_bound else None,
            )


def measure_wave(size: zone_fakes.ZoneSize) -> typing.Iterator[base.Measure]:
    """Yield the figures with a fifth of the targets slowed threefold."""
    arrivals = load_of(size, WAVE_LOAD, count=WAVE_COUNT)
    prefix = f"requests/{size.team}/slowed-{WAVE_LOAD:.0%}"
    p99_s = {}
    for policy in routing_base.ROUTING.names():
        zone = zone_fakes.FakeZone(size=size, policy=policy)
        outcome = run(
            zone.run, arrivals, deadline_s=DEADLINE_S, disturb=disturb
        )
        p99_s[policy] = outcome.quantile_s(0.99)
        yield from quantiles(f"{prefix}/{policy}", size, outcome)
    default_s = p99_s[routing_base.DEFAULT]
    ratios = {
        "p99-over-round-robin": p99_s["round-robin"],
        "p99-over-strict-turns": split_p99_s(size, arrivals),
    }
    for label, other_s in ratios.items():
        yield base.Measure(
            name=f"{prefix}/{label}",
            value=default_s / other_s,
            unit="x",
            at_most=0.5,
        )
    yield base.Measure(
        name=f"{prefix}/p99-over-undisturbed-ideal",
        value=default_s / ideal_p99_s(size, arrivals),
        unit="x",
    )


def measure_skew(size: zone_fakes.ZoneSize) -> typing.Iterator[base.Measure]:
    """Yield the figures of a balancer that favours one entry host.

    The zone is smaller, so that the load lasts for many moves of grants.
    """
    size = dataclasses.replace(size, targets=SKEW_TARGETS)
    arrivals = load_of(size, BOUND_LOAD, count=SKEW_COUNT, entry_weights=SKEW)
    for is_moving in (True, False):
        zone = zone_fakes.FakeZone(
            size=size, policy=routing_base.DEFAULT, is_moving=is_moving
        )
        outcome = run(zone.run, arrivals, deadline_s=DEADLINE_S)
        grants = "moving" if is_moving else "fixed"
        name = f"requests/{size.team}/skewed-{BOUND_LOAD:.0%}/{grants}-split"
        yield from quantiles(name, size, outcome)


def measure_overload(
    size: zone_fakes.ZoneSize,
) -> typing.Iterator[base.Measure]:
    """Yield the goodput under twice the capacity."""
    arrivals = load_of(size, OVERLOAD, count=OVERLOAD_COUNT)
    zone = zone_fakes.FakeZone(size=size, policy=routing_base.DEFAULT)
    outcome = run(zone.run, arrivals, deadline_s=OVERLOAD_DEADLINE_S)
    capacity = size.capacity_per_s() * (outcome.last_s - outcome.warm_s)
    name = f"requests/{size.team}/overload-{OVERLOAD:.0%}"
    yield base.Measure(
        name=f"{name}/goodput",
        value=outcome.good / capacity,
        unit="share",
        at_least=0.95,
    )
    yield from quantiles(name, size, outcome)


def measure_cost() -> typing.Iterator[base.Measure]:
    """Yield the processor time and memory of a request."""
    for count in COST_TARGETS:
        size = dataclasses.replace(SIZES[0], targets=count)
        cost_s = run(
            request_costs.decide_s, _one_entry(size), count=COST_COUNT
        )
        yield base.Measure(
            name=f"requests/cost/{count}-targets",
            value=1e6 * cost_s,
            unit="us",
        )
    zone = _one_entry(SIZES[0])
    cost_s = run(request_costs.dispatch_s, zone, count=COST_COUNT)
    yield base.Measure(
        name="requests/cost/dispatch", value=1e6 * cost_s, unit="us"
    )
    zone = _one_entry(SIZES[0])
    yield base.Measure(
        name="requests/cost/waiting",
        value=run(request_costs.waiting_bytes, zone, count=WAITING_COUNT),
        unit="bytes",
    )


def _one_entry(size: zone_fakes.ZoneSize) -> zone_fakes.FakeZone:
    return zone_fakes.FakeZone(
        size=size, policy=routing_base.DEFAULT, entries=1
    )


@base.BENCHES.register("requests")
def bench() -> list[base.Measure]:
    """Measure admission, routing and release of requests."""
    registry.load_modules(routing)
    measures = []
    for size in SIZES:
        for measure in (
            measure_loads,
            measure_wave,
            measure_skew,
            measure_overload,
        ):
            measures.extend(measure(size))
    measures.extend(measure_cost())
    return measures
