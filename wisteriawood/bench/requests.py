"""Benchmarks the request path: admission, routing and retries."""

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
# Load at which the p99 latency has a bound.
BOUND_LOAD = 0.85
SLOWED_LOAD = 0.7
ARRIVALS = 2000
SLOWED_ARRIVALS = 6000
SKEWED_ARRIVALS = 5000
SKEWED_TARGETS = 5
SEED = 20
DEADLINE_S = 5.0
SLOWDOWN_FACTOR = 3.0
SLOWED_TARGET_INTERVAL = 5
SKEWED_ENTRY_WEIGHTS = (0.7, 0.3)
OVERLOAD_FACTOR = 2.0
OVERLOAD_ARRIVALS = 7000
OVERLOAD_DEADLINE_S = 0.25
COST_REQUESTS = 2000
WAITING_REQUESTS = 500
COST_TARGET_COUNTS = (25, 100, 400)


def run_virtual(function: typing.Callable, *args, **kwargs) -> typing.Any:
    """Run an async function in virtual time and return its result."""
    return anyio.run(
        functools.partial(function, *args, **kwargs),
        backend="trio",
        backend_options={"clock": clocks.AutojumpClock()},
    )


def ideal_p99_s(
    size: zone_fakes.ZoneSize, arrivals: list[zone_fakes.Arrival]
) -> float:
    """Return the 99th percentile latency of one ideal queue for all slots.

    The queue learns of each free slot without delay, and a request occupies
    a slot only for its service time, not for the network delay.

    Args:
        size: Size of the zone.
        arrivals: Arriving requests.
    """
    sketch = ddsketch.DDSketch(relative_accuracy=zone_fakes.SKETCH_ACCURACY)
    free_s = [0.0] * (size.targets * size.slots)
    for arrival in arrivals:
        start_s = max(arrival.at_s, heapq.heappop(free_s))
        heapq.heappush(free_s, start_s + arrival.service_time_s)
        latency_s = start_s + arrival.service_time_s - arrival.at_s
        sketch.add(latency_s + 2 * size.delay_s)
    return sketch.get_quantile_value(0.99)


def strict_round_robin_p99_s(
    size: zone_fakes.ZoneSize, arrivals: list[zone_fakes.Arrival]
) -> float:
    """Return the 99th percentile latency of strict round robin.

    Each request goes to the next target in turn and waits there for a free
    slot, as with a proxy that knows nothing of slots. The same targets are
    slowed as by `slow_targets`.

    Args:
        size: Size of the zone.
        arrivals: Arriving requests.
    """
    sketch = ddsketch.DDSketch(relative_accuracy=zone_fakes.SKETCH_ACCURACY)
    free_s = [[0.0] * size.slots for _ in range(size.targets)]
    for number, arrival in enumerate(arrivals):
        index = number % size.targets
        slowdown = (
            SLOWDOWN_FACTOR if index % SLOWED_TARGET_INTERVAL == 0 else 1.0
        )
        start_s = max(arrival.at_s, heapq.heappop(free_s[index]))
        end_s = start_s + arrival.service_time_s * slowdown + 2 * size.delay_s
        heapq.heappush(free_s[index], end_s)
        sketch.add(end_s - arrival.at_s)
    return sketch.get_quantile_value(0.99)


async def slow_targets(zone: zone_fakes.FakeZone) -> None:
    """Slow down every fifth target by a factor of 3."""
    for number, target in enumerate(zone.fakes.values()):
        if number % SLOWED_TARGET_INTERVAL == 0:
            target.slowdown = SLOWDOWN_FACTOR


def arrivals_at_load(
    size: zone_fakes.ZoneSize,
    load: float,
    *,
    count: int = ARRIVALS,
    entry_weights: typing.Sequence[float] = (0.5, 0.5),
) -> list[zone_fakes.Arrival]:
    """Return arrivals at a given load, the same on each call.

    Args:
        size: Size of the zone.
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


def summarize(
    name: str, size: zone_fakes.ZoneSize, result: zone_fakes.RunResult
) -> typing.Iterator[base.Measurement]:
    """Yield latencies, shed share and slot use of a run.

    Args:
        name: Name of the run.
        size: Size of the zone.
        result: Result that the callers observed.
    """
    for label, quantile in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        yield base.Measurement(
            name=f"{name}/{label}",
            value=1000 * result.quantile_s(quantile),
            unit="ms",
        )
    shed_share = result.shed / (result.answered + result.shed + result.unknown)
    yield base.Measurement(name=f"{name}/shed", value=shed_share, unit="share")
    slots = size.targets * size.slots
    yield base.Measurement(
        name=f"{name}/slot-use",
        value=result.busy_s / result.last_s / slots,
        unit="share",
    )


def measure_loads(
    size: zone_fakes.ZoneSize,
) -> typing.Iterator[base.Measurement]:
    """Yield measurements without slowed targets at each load."""
    for load in LOADS:
        arrivals = arrivals_at_load(size, load)
        ideal_s = ideal_p99_s(size, arrivals)
        for policy in (routing_base.DEFAULT, "random"):
            name = f"requests/{size.team}/load-{load:.0%}/{policy}"
            zone = zone_fakes.FakeZone(size=size, policy=policy)
            result = run_virtual(zone.run, arrivals, deadline_s=DEADLINE_S)
            yield from summarize(name, size, result)
            has_bound = load == BOUND_LOAD and policy == routing_base.DEFAULT
            yield base.Measurement(
                name=f"{name}/p99-over-ideal",
                value=result.quantile_s(0.99) / ideal_s,
                unit="x",
                at_most=1.2 if has_bound else None,
            )


def measure_slowed(
    size: zone_fakes.ZoneSize,
) -> typing.Iterator[base.Measurement]:
    """Yield measurements with every fifth target slowed by a factor of 3."""
    arrivals = arrivals_at_load(size, SLOWED_LOAD, count=SLOWED_ARRIVALS)
    prefix = f"requests/{size.team}/slowed-{SLOWED_LOAD:.0%}"
    p99_s = {}
    for policy in routing_base.ROUTING.names():
        zone = zone_fakes.FakeZone(size=size, policy=policy)
        result = run_virtual(
            zone.run,
            arrivals,
            deadline_s=DEADLINE_S,
            fault=slow_targets,
        )
        p99_s[policy] = result.quantile_s(0.99)
        yield from summarize(f"{prefix}/{policy}", size, result)
    default_s = p99_s[routing_base.DEFAULT]
    ratios = {
        "p99-over-round-robin": p99_s["round-robin"],
        "p99-over-strict-turns": strict_round_robin_p99_s(size, arrivals),
    }
    for label, other_s in ratios.items():
        yield base.Measurement(
            name=f"{prefix}/{label}",
            value=default_s / other_s,
            unit="x",
            at_most=0.5,
        )
    yield base.Measurement(
        name=f"{prefix}/p99-over-undisturbed-ideal",
        value=default_s / ideal_p99_s(size, arrivals),
        unit="x",
    )


def measure_skew(
    size: zone_fakes.ZoneSize,
) -> typing.Iterator[base.Measurement]:
    """Yield measurements with a balancer that favours one entry host.

    The zone is smaller, so that the load lasts for many updates of grants.
    """
    size = dataclasses.replace(size, targets=SKEWED_TARGETS)
    arrivals = arrivals_at_load(
        size,
        BOUND_LOAD,
        count=SKEWED_ARRIVALS,
        entry_weights=SKEWED_ENTRY_WEIGHTS,
    )
    for is_rebalancing in (True, False):
        zone = zone_fakes.FakeZone(
            size=size,
            policy=routing_base.DEFAULT,
            is_rebalancing=is_rebalancing,
        )
        result = run_virtual(zone.run, arrivals, deadline_s=DEADLINE_S)
        grants = "moving" if is_rebalancing else "fixed"
        name = f"requests/{size.team}/skewed-{BOUND_LOAD:.0%}/{grants}-split"
        yield from summarize(name, size, result)


def measure_overload(
    size: zone_fakes.ZoneSize,
) -> typing.Iterator[base.Measurement]:
    """Yield measurements at a load of twice the capacity."""
    arrivals = arrivals_at_load(size, OVERLOAD_FACTOR, count=OVERLOAD_ARRIVALS)
    zone = zone_fakes.FakeZone(size=size, policy=routing_base.DEFAULT)
    result = run_virtual(zone.run, arrivals, deadline_s=OVERLOAD_DEADLINE_S)
    capacity = size.capacity_per_s() * (result.last_s - result.warmed_up_s)
    name = f"requests/{size.team}/overload-{OVERLOAD_FACTOR:.0%}"
    yield base.Measurement(
        name=f"{name}/goodput",
        value=result.good / capacity,
        unit="share",
        at_least=0.95,
    )
    yield from summarize(name, size, result)


def measure_cost() -> typing.Iterator[base.Measurement]:
    """Yield the CPU time and memory of a request."""
    for count in COST_TARGET_COUNTS:
        size = dataclasses.replace(SIZES[0], targets=count)
        cost_s = run_virtual(
            request_costs.measure_decision_s,
            _make_single_entry_zone(size),
            count=COST_REQUESTS,
        )
        yield base.Measurement(
            name=f"requests/cost/{count}-targets",
            value=1e6 * cost_s,
            unit="us",
        )
    zone = _make_single_entry_zone(SIZES[0])
    cost_s = run_virtual(
        request_costs.measure_dispatch_s, zone, count=COST_REQUESTS
    )
    yield base.Measurement(
        name="requests/cost/dispatch", value=1e6 * cost_s, unit="us"
    )
    zone = _make_single_entry_zone(SIZES[0])
    yield base.Measurement(
        name="requests/cost/waiting",
        value=run_virtual(
            request_costs.measure_waiting_bytes, zone, count=WAITING_REQUESTS
        ),
        unit="bytes",
    )


def _make_single_entry_zone(size: zone_fakes.ZoneSize) -> zone_fakes.FakeZone:
    return zone_fakes.FakeZone(
        size=size, policy=routing_base.DEFAULT, entries=1
    )


@base.BENCHMARKS.register("requests")
def bench_requests() -> list[base.Measurement]:
    """Measure admission, routing and release of requests."""
    registry.load_modules(routing)
    measurements = []
    for size in SIZES:
        for measure in (
            measure_loads,
            measure_slowed,
            measure_skew,
            measure_overload,
        ):
            measurements.extend(measure(size))
    measurements.extend(measure_cost())
    return measurements
