"""Fakes for benchmarks of the request path: targets, a zone and callers."""

import contextlib
import dataclasses
import random
import typing

import anyio
import ddsketch

from wisteriawood.contracts import grants
from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import dispatchers
from wisteriawood.machines import services
from wisteriawood.machines import shares
from wisteriawood.machines import slot_clients
from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

TICK_PERIOD_S = 0.1
# Share of the arrivals' time span that counts as warm-up.
WARMUP_SHARE = 0.25
# Relative accuracy of the quantiles.
SKETCH_ACCURACY = 0.005
MEAN_SERVICE_TIME_S = 0.02
# Sigma of the lognormal distribution of service times.
SERVICE_TIME_SIGMA = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ZoneSize:
    """Size of one team's service in one zone.

    Attributes:
        team: Name of the team.
        targets: Number of targets.
        slots: Number of slots of each target.
        delay_s: One-way delay between an entry host and a target.
    """

    team: str
    targets: int
    slots: int
    delay_s: float

    def capacity_per_s(self) -> float:
        """Return the requests per second that all slots can serve."""
        slot_time_s = MEAN_SERVICE_TIME_S + 2 * self.delay_s
        return self.targets * self.slots / slot_time_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """Arrival of one request.

    Attributes:
        at_s: Time since the start of the run.
        service_time_s: Service time at a target that is not slowed.
        entry: Index of the entry host that the balancer chooses.
    """

    at_s: float
    service_time_s: float
    entry: int


@dataclasses.dataclass(slots=True, kw_only=True)
class RunResult:
    """Result of a run, as its callers observed it.

    Attributes:
        sketch: Latencies of the answers in seconds.
        good: Number of answers before their deadlines, from the end of the
            warm-up until the last arrival.
        answered: Number of all answers before their deadlines.
        shed: Number of requests refused as not-run.
        unknown: Number of requests whose outcome is unknown.
        busy_s: Total time that slots were in use at the targets.
        warmed_up_s: Virtual time at which the warm-up ends.
        last_s: Virtual time of the last arrival.
    """

    sketch: ddsketch.DDSketch = dataclasses.field(
        default_factory=lambda: ddsketch.DDSketch(
            relative_accuracy=SKETCH_ACCURACY
        )
    )
    good: int = 0
    answered: int = 0
    shed: int = 0
    unknown: int = 0
    busy_s: float = 0.0
    warmed_up_s: float = 0.0
    last_s: float = 0.0

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the latencies, in seconds."""
        return self.sketch.get_quantile_value(quantile) or 0.0


def make_arrivals(
    *,
    rate_per_s: float,
    count: int,
    seed: int,
    entry_weights: typing.Sequence[float] = (1.0, 1.0),
) -> list[Arrival]:
    """Return arrivals of a Poisson process with lognormal service times.

    Args:
        rate_per_s: Mean number of arrivals per second.
        count: Number of arrivals.
        seed: Seed of arrival times, service times and entry hosts.
        entry_weights: Share of the load at each entry host.
    """
    rng = random.Random(seed)
    hosts = range(len(entry_weights))
    at_s = 0.0
    arrivals = []
    for _ in range(count):
        at_s += rng.expovariate(rate_per_s)
        factor = rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        arrivals.append(
            Arrival(
                at_s=at_s,
                service_time_s=MEAN_SERVICE_TIME_S * factor,
                entry=rng.choices(hosts, entry_weights)[0],
            )
        )
    return arrivals


class FakeTarget:
    """A link to a target that can be slowed or frozen.

    Args:
        delay_s: One-way delay of the link.
        result: Result to which the busy time is added.
    """

    __slots__ = ("_delay_s", "_result", "is_frozen", "slowdown")

    def __init__(self, *, delay_s: float, result: RunResult):
        self._delay_s = delay_s
        self._result = result
        self.slowdown = 1.0
        self.is_frozen = False

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Serve a request, whose path is its service time in seconds."""
        if self.is_frozen:
            await anyio.sleep(timeout_s)
            raise errors.RequestUnknownError(reason="no answer in time")
        busy_s = float(request.path) * self.slowdown
        self._result.busy_s += busy_s
        latency_s = busy_s + 2 * self._delay_s
        await anyio.sleep(min(latency_s, timeout_s))
        if latency_s > timeout_s:
            raise errors.RequestUnknownError(reason="no answer in time")
        return requests.Answer(request_id=request.id)

    async def aclose(self) -> None:
        """Do nothing."""


class NoOpTracer:
    """A tracer without spans, so that their cost is not measured."""

    __slots__ = ()

    def span(
        self, name: str, **_attributes: str
    ) -> typing.ContextManager[str]:
        """Return a context that does nothing."""
        return contextlib.nullcontext("")


class FakeZone:
    """Entry hosts, a grantor and targets of one service in one zone.

    Args:
        size: Size of the zone.
        policy: Name of the routing policy.
        entries: Number of entry hosts.
        is_rebalancing: Whether grants follow the demand.
        seed: Seed of the routing decisions.
    """

    __slots__ = (
        "_dispatchers",
        "_is_rebalancing",
        "_size",
        "fakes",
        "result",
        "services",
        "shares",
    )

    def __init__(
        self,
        *,
        size: ZoneSize,
        policy: str,
        entries: int = 2,
        is_rebalancing: bool = True,
        seed: int = 1,
    ):
        rng = random.Random(seed)
        self.result = RunResult()
        self._size = size
        self._is_rebalancing = is_rebalancing
        self.fakes = {
            f"target-{number:03d}": FakeTarget(
                delay_s=size.delay_s, result=self.result
            )
            for number in range(size.targets)
        }
        self.shares = {
            name: shares.TargetShares(target=name) for name in self.fakes
        }
        self.services = [
            services.Service(
                team=size.team,
                name="service",
                policy=base.ROUTING.get(policy)(rng=rng),
                rng=rng,
            )
            for _ in range(entries)
        ]
        self._dispatchers = [
            dispatchers.Dispatcher(
                services={(size.team, "service"): service},
                tracer=NoOpTracer(),
            )
            for service in self.services
        ]
        for holder, service in enumerate(self.services):
            for name, fake in self.fakes.items():
                grant = grants.SlotGrant(
                    target=name,
                    address=name,
                    team=size.team,
                    service="service",
                    slots=0,
                )
                service.targets[name] = targets.Target(
                    grant=grant, grantor="scheduler", link=fake
                )

    def grant(self, demand: dict[str, float]) -> None:
        """Grant the slots in proportion to demand, as a grantor does.

        Args:
            demand: Demand in slots, by index of the entry host as text.
        """
        for name, target_shares in self.shares.items():
            fair = shares.divide(
                target=name, slots=self._size.slots, demand=demand
            )
            for holder, service in enumerate(self.services):
                target = service.targets[name]
                share = target_shares.share(str(holder))
                share.held = target.holding().slots
                target.grant.slots = target_shares.allot(
                    holder=str(holder),
                    fair=fair[str(holder)],
                    free=self._size.slots - target_shares.counted(),
                )

    async def _update_grants(self) -> None:
        demand: dict[str, float] = {}
        while True:
            await anyio.sleep(slot_clients.REPORT_PERIOD_S)
            for holder, service in enumerate(self.services):
                in_flight = sum(t.in_flight for t in service.targets.values())
                current = float(in_flight + service.waiting)
                decayed = slot_clients.DEMAND_DECAY_FACTOR * demand.get(
                    str(holder), 0.0
                )
                demand[str(holder)] = max(current, decayed)
            self.grant(demand)
            for service in self.services:
                service.wake()

    async def run(
        self, arrivals: list[Arrival], *, deadline_s: float, fault=None
    ) -> RunResult:
        """Send a request at each arrival and return the result.

        Args:
            arrivals: Arriving requests.
            deadline_s: Seconds from each arrival to its deadline.
            fault: Async function that slows or freezes targets; None for
                no fault.
        """
        start_s = anyio.current_time()
        self.grant({str(h): 1.0 for h in range(len(self.services))})
        self.result.last_s = start_s + arrivals[-1].at_s
        self.result.warmed_up_s = start_s + WARMUP_SHARE * arrivals[-1].at_s
        async with anyio.create_task_group() as background:
            background.start_soon(self._run_ticks)
            if self._is_rebalancing:
                background.start_soon(self._update_grants)
            if fault:
                background.start_soon(fault, self)
            async with anyio.create_task_group() as callers:
                for number, arrival in enumerate(arrivals):
                    due_s = start_s + arrival.at_s
                    await anyio.sleep_until(due_s)
                    callers.start_soon(
                        self._call, number, arrival, due_s + deadline_s
                    )
            background.cancel_scope.cancel()
        return self.result

    async def _call(
        self, number: int, arrival: Arrival, deadline_s: float
    ) -> None:
        request = requests.Request(
            id=str(number),
            team=self._size.team,
            service="service",
            path=str(arrival.service_time_s),
            deadline_s=deadline_s,
        )
        started_s = anyio.current_time()
        try:
            await self._dispatchers[arrival.entry].dispatch(request)
        except errors.RequestNotRunError:
            self.result.shed += 1
            return
        except errors.RequestUnknownError:
            self.result.unknown += 1
            return
        now_s = anyio.current_time()
        self.result.answered += 1
        self.result.good += (
            self.result.warmed_up_s < now_s <= self.result.last_s
        )
        self.result.sketch.add(now_s - started_s)

    async def _run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_PERIOD_S)
            now_s = anyio.current_time()
            for service in self.services:
                for target in service.targets.values():
                    target.end_quarantines(now_s=now_s)
                service.tick()
