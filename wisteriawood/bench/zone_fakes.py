"""Fakes at the interfaces of the requests' path: targets and callers."""

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
WARM_SHARE = 0.25
ACCURACY = 0.005
MEAN_SERVICE_S = 0.02
SIGMA = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ZoneSize:
    """Sizes of one team's service in one zone.

    Attributes:
        team: The team.
        targets: Number of targets.
        slots: Slots of each target.
        delay_s: Delay between an entry host and a target, one way.
    """

    team: str
    targets: int
    slots: int
    delay_s: float

    def capacity_per_s(self) -> float:
        """Return the requests a second that all slots can carry."""
        held_s = MEAN_SERVICE_S + 2 * self.delay_s
        return self.targets * self.slots / held_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Arrival:
    """One request of the load.

    Attributes:
        at_s: Time since the start.
        size_s: Time that an undisturbed target needs.
        entry: Number of the entry host that the balancer picks.
    """

    at_s: float
    size_s: float
    entry: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What the callers saw.

    Attributes:
        sketch: Latencies in seconds of the answers.
        good: Answers before their deadlines, once warm and until the last
            arrival.
        answered: All answers before their deadlines.
        shed: Requests refused as not-run.
        unknown: Requests whose outcome is unknown.
        busy_s: Time that slots were in use at the targets.
        warm_s: Virtual time from which on good answers count.
        last_s: Virtual time of the last arrival.
    """

    sketch: ddsketch.DDSketch = dataclasses.field(
        default_factory=lambda: ddsketch.DDSketch(relative_accuracy=ACCURACY)
    )
    good: int = 0
    answered: int = 0
    shed: int = 0
    unknown: int = 0
    busy_s: float = 0.0
    warm_s: float = 0.0
    last_s: float = 0.0

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the latencies in seconds."""
        return self.sketch.get_quantile_value(quantile) or 0.0


def make_arrivals(
    *,
    rate_per_s: float,
    count: int,
    seed: int,
    entry_weights: typing.Sequence[float] = (1.0, 1.0),
) -> list[Arrival]:
    """Return arrivals at random times with lognormal sizes.

    Args:
        rate_per_s: Mean arrivals a second.
        count: Number of arrivals.
        seed: Seed of times, sizes and entry hosts.
        entry_weights: Share of the load at each entry host.
    """
    rng = random.Random(seed)
    hosts = range(len(entry_weights))
    at_s = 0.0
    arrivals = []
    for _ in range(count):
        at_s += rng.expovariate(rate_per_s)
        factor = rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        arrivals.append(
            Arrival(
                at_s=at_s,
                size_s=MEAN_SERVICE_S * factor,
                entry=rng.choices(hosts, entry_weights)[0],
            )
        )
    return arrivals


class FakeTarget:
    """A target with slots, which can be slowed.

    Args:
        delay_s: Delay of the link, one way.
        outcome: Where it counts its busy time.
    """

    __slots__ = ("_delay_s", "_outcome", "is_frozen", "slowdown")

    def __init__(self, *, delay_s: float, outcome: Outcome):
        self._delay_s = delay_s
        self._outcome = outcome
        self.slowdown = 1.0
        self.is_frozen = False

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Run a request, whose path is its size in seconds."""
        if self.is_frozen:
            await anyio.sleep(timeout_s)
            raise errors.RequestUnknownError(reason="no answer in time")
        busy_s = float(request.path) * self.slowdown
        self._outcome.busy_s += busy_s
        took_s = busy_s + 2 * self._delay_s
        await anyio.sleep(min(took_s, timeout_s))
        if took_s > timeout_s:
            raise errors.RequestUnknownError(reason="no answer in time")
        return requests.Answer(request_id=request.id)

    async def aclose(self) -> None:
        """Do nothing."""


class NoTracer:
    """Stands in for the tracer, so that spans are not measured."""

    __slots__ = ()

    def span(
        self, name: str, **_attributes: str
    ) -> typing.ContextManager[str]:
        """Return a context that does nothing."""
        return contextlib.nullcontext("")


class FakeZone:
    """Entry hosts, a grantor and targets of one service in one zone.

    Args:
        size: Sizes of the zone.
        policy: Name of the routing policy.
        entries: Number of entry hosts.
        is_moving: Whether grants follow the demand.
        seed: Seed of the decisions.
    """

    __slots__ = (
        "_dispatchers",
        "_is_moving",
        "_size",
        "fakes",
        "outcome",
        "services",
        "shares",
    )

    def __init__(
        self,
        *,
        size: ZoneSize,
        policy: str,
        entries: int = 2,
        is_moving: bool = True,
        seed: int = 1,
    ):
        rng = random.Random(seed)
        self.outcome = Outcome()
        self._size = size
        self._is_moving = is_moving
        self.fakes = {
            f"target-{number:03d}": FakeTarget(
                delay_s=size.delay_s, outcome=self.outcome
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
                tracer=NoTracer(),
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
            demand: Demand of each entry host, by its number as text.
        """
        for name, counted in self.shares.items():
            fair = shares.divide(
                target=name, slots=self._size.slots, demand=demand
            )
            for holder, service in enumerate(self.services):
                target = service.targets[name]
                share = counted.share(str(holder))
                share.held = target.holding().slots
                target.grant.slots = counted.allot(
                    holder=str(holder),
                    fair=fair[str(holder)],
                    free=self._size.slots - counted.counted(),
                )

    async def _move_grants(self) -> None:
        demand: dict[str, float] = {}
        while True:
            await anyio.sleep(slot_clients.REPORT_PERIOD_S)
            for holder, service in enumerate(self.services):
                in_flight = sum(t.in_flight for t in service.targets.values())
                now = float(in_flight + service.waiting)
                kept = slot_clients.DEMAND_DECAY_FACTOR * demand.get(
                    str(holder), 0.0
                )
                demand[str(holder)] = max(now, kept)
            self.grant(demand)
            for service in self.services:
                service.wake()

    async def run(
        self, arrivals: list[Arrival], *, deadline_s: float, disturb=None
    ) -> Outcome:
        """Send all arrivals and return what the callers saw.

        Args:
            arrivals: The load.
            deadline_s: Seconds from each arrival to its deadline.
            disturb: Task that slows or freezes targets; None for none.
        """
        start_s = anyio.current_time()
        self.grant({str(h): 1.0 for h in range(len(self.services))})
        self.outcome.last_s = start_s + arrivals[-1].at_s
        self.outcome.warm_s = start_s + WARM_SHARE * arrivals[-1].at_s
        async with anyio.create_task_group() as background:
            background.start_soon(self._tick)
            if self._is_moving:
                background.start_soon(self._move_grants)
            if disturb:
                background.start_soon(disturb, self)
            async with anyio.create_task_group() as callers:
                for number, arrival in enumerate(arrivals):
                    due_s = start_s + arrival.at_s
                    await anyio.sleep_until(due_s)
                    callers.start_soon(
                        self._call, number, arrival, due_s + deadline_s
                    )
            background.cancel_scope.cancel()
        return self.outcome

    async def _call(
        self, number: int, arrival: Arrival, deadline_s: float
    ) -> None:
        request = requests.Request(
            id=str(number),
            team=self._size.team,
            service="service",
            path=str(arrival.size_s),
            deadline_s=deadline_s,
        )
        came_s = anyio.current_time()
        try:
            await self._dispatchers[arrival.entry].dispatch(request)
        except errors.RequestNotRunError:
            self.outcome.shed += 1
            return
        except errors.RequestUnknownError:
            self.outcome.unknown += 1
            return
        now_s = anyio.current_time()
        self.outcome.answered += 1
        self.outcome.good += self.outcome.warm_s < now_s <= self.outcome.last_s
        self.outcome.sketch.add(now_s - came_s)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_PERIOD_S)
            now_s = anyio.current_time()
            for service in self.services:
                for target in service.targets.values():
                    target.end_quarantines(now_s=now_s)
                service.tick()
