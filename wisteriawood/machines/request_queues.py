"""Queues of requests that wait for a slot, ordered by priority."""

import dataclasses
import itertools
import math
import typing

import anyio
import sortedcontainers

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import targets

DEFAULT_MAX_WAITING = 1000
DEFAULT_MAX_WAITING_BYTES = 16 * 1024 * 1024
DEFAULT_WEIGHT = 1.0
OTHER_TEAMS = "*"

_SEQUENCE = itertools.count()


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class WaitingRequest:
    """One request that waits for a slot.

    Attributes:
        request: The request.
        tried: Ids of the targets where it failed before.
        target: Target whose slot was assigned to it; None until then.
        refusal: Why it was refused a slot; None unless it was refused.
        resolved: Set once it has a target or a refusal.
        sequence: Arrival number.
    """

    request: requests.Request
    tried: frozenset[str] = frozenset()
    target: targets.Target | None = None
    refusal: errors.RequestNotRunError | None = None
    resolved: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    sequence: int = dataclasses.field(default_factory=_SEQUENCE.__next__)

    def assign(self, target: targets.Target) -> None:
        """Assign a slot of a target and wake the request."""
        self.target = target
        self.resolved.set()

    def refuse(self, refusal: errors.RequestNotRunError) -> None:
        """Refuse the request a slot and wake it."""
        self.refusal = refusal
        self.resolved.set()


def priority_key(waiter: WaitingRequest) -> tuple[bool, float, int]:
    """Return the key that orders the waiting requests of one team."""
    request = waiter.request
    return (not request.urgent, request.deadline_s, waiter.sequence)


class TeamShare:
    """Waiting and running requests of one calling team.

    Args:
        name: Name of the team; OTHER_TEAMS for callers without a weight.
        weight: Weight of the team in the division of the slots.
    """

    __slots__ = ("in_flight", "name", "waiters", "weight")

    def __init__(self, *, name: str, weight: float):
        self.name = name
        self.weight = weight
        self.in_flight = 0
        self.waiters = sortedcontainers.SortedKeyList(key=priority_key)

    def is_active(self) -> bool:
        """Return whether the team uses a slot or waits for one."""
        return self.in_flight > 0 or len(self.waiters) > 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Usage:
    """Number and size of the requests that wait in all queues of a pool.

    Attributes:
        waiting: Number of waiting requests.
        size_bytes: Total size of their bodies in bytes.
    """

    waiting: int = 0
    size_bytes: int = 0


class WaitingQueue:
    """The waiting requests of one service, in weighted fair order.

    A team below its fair share of the slots precedes a team at or above
    its share. Ties are resolved by urgent requests first, then by the
    fewest requests in flight relative to the team's weight, then by the
    earliest deadline. Other teams may use the slots that a team leaves
    unused.

    Args:
        weights: Weight of each calling team.
        usage: Usage of the pool that the queue is part of.
    """

    __slots__ = ("_shares", "_usage", "_weights", "waiting")

    def __init__(self, *, weights: typing.Mapping[str, float], usage: Usage):
        self.waiting = 0
        self._usage = usage
        self._weights = weights
        self._shares: dict[str, TeamShare] = {}

    def __len__(self) -> int:
        return self.waiting

    def share(self, request: requests.Request) -> TeamShare:
        """Return the team share that a request is charged to."""
        if not request.share:
            # Stored in the request, so that it is charged to the same share
            # even if the weights change while it is in flight.
            caller = request.caller or request.team
            request.share = caller if caller in self._weights else OTHER_TEAMS
        name = request.share
        found = self._shares.get(name)
        if found is None:
            weight = self._weights.get(name, DEFAULT_WEIGHT)
            found = TeamShare(name=name, weight=weight)
            self._shares[name] = found
        return found

    def shares(self) -> list[TeamShare]:
        """Return the shares of all teams that have sent requests."""
        return list(self._shares.values())

    def refresh_weights(self) -> None:
        """Apply the current weights to all shares."""
        for share in self._shares.values():
            share.weight = self._weights.get(share.name, DEFAULT_WEIGHT)

    def add(self, waiter: WaitingRequest) -> None:
        """Add a request to the queue."""
        self.share(waiter.request).waiters.add(waiter)
        self.waiting += 1
        self._usage.waiting += 1
        self._usage.size_bytes += len(waiter.request.body)

    def remove(self, waiter: WaitingRequest) -> None:
        """Remove a request from the queue."""
        self.share(waiter.request).waiters.remove(waiter)
        self.waiting -= 1
        self._usage.waiting -= 1
        self._usage.size_bytes -= len(waiter.request.body)

    def head(self, *, slots: int) -> WaitingRequest:
        """Return the request that gets the next slot.

        The queue must not be empty.

        Args:
            slots: Number of slots of the service in this entry host.
        """
        waiting_shares = [s for s in self._shares.values() if s.waiters]
        if len(waiting_shares) == 1:
            return waiting_shares[0].waiters[0]
        weight = self._active_weight()

        def _rank(share: TeamShare) -> tuple[bool, bool, float, float]:
            first = share.waiters[0].request
            fair = slots * share.weight / weight
            return (
                share.in_flight >= fair,
                not first.urgent,
                share.in_flight / share.weight,
                first.deadline_s,
            )

        return min(waiting_shares, key=_rank).waiters[0]

    def ahead(self, request: requests.Request) -> float:
        """Estimate how many waiting requests get a slot before a new one.

        While the earlier requests of its own team are served, the other
        waiting teams are served in proportion to their weights.

        Args:
            request: A request that is not in the queue yet.
        """
        share = self.share(request)
        key = (not request.urgent, request.deadline_s, math.inf)
        own = share.waiters.bisect_key_left(key)
        others = self.waiting - len(share.waiters)
        if not others:
            return own
        waiting_weight = sum(
            s.weight for s in self._shares.values() if s.waiters
        )
        if not share.waiters:
            waiting_weight += share.weight
        others_served = (own + 1) * (waiting_weight / share.weight - 1)
        return own + min(others, others_served)

    def last(self) -> WaitingRequest:
        """Return the request to refuse first when the queue is full.

        It has the lowest priority in the team with the most waiting
        requests relative to its weight.
        """
        fullest = max(
            self._shares.values(), key=lambda s: len(s.waiters) / s.weight
        )
        return fullest.waiters[-1]

    def _active_weight(self) -> float:
        return sum(s.weight for s in self._shares.values() if s.is_active())


class RequestQueuePool:
    """Pool of the request queues of all services of an entry host.

    It bounds the number and size of the waiting requests, and enforces
    each team's limit of requests in flight.

    Args:
        max_waiting: Maximum number of waiting requests.
        max_waiting_bytes: Maximum total size of their bodies in bytes.
        weights: Weight of each team that owns services or calls them.
    """

    __slots__ = (
        "_in_flight",
        "_queues",
        "limits",
        "max_waiting",
        "max_waiting_bytes",
        "usage",
        "weights",
    )

    def __init__(
        self,
        *,
        max_waiting: int = DEFAULT_MAX_WAITING,
        max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES,
        weights: typing.Mapping[str, float] | None = None,
    ):
        self.max_waiting = max_waiting
        self.max_waiting_bytes = max_waiting_bytes
        self.usage = Usage()
        self.weights = dict(weights or {})
        self.limits: dict[str, int] = {}
        self._in_flight: dict[str, int] = {}
        self._queues: dict[str, list[WaitingQueue]] = {}

    def open_queue(self, *, team: str) -> WaitingQueue:
        """Return a new queue for a service of a team."""
        queue = WaitingQueue(weights=self.weights, usage=self.usage)
        self._queues.setdefault(team, []).append(queue)
        return queue

    def set_quotas(
        self,
        *,
        weights: typing.Mapping[str, float],
        limits: typing.Mapping[str, int],
    ) -> None:
        """Apply the quotas of a new configuration.

        Args:
            weights: Weight of each team that owns services or calls them.
            limits: Maximum number of requests in flight to the services of
                a team.
        """
        self.limits = dict(limits)
        self.weights.clear()
        self.weights.update(weights)
        for queue in itertools.chain.from_iterable(self._queues.values()):
            queue.refresh_weights()

    def limit(self, team: str) -> float:
        """Return the limit of requests in flight to a team's services."""
        return self.limits.get(team, math.inf)

    def is_below_limit(self, team: str) -> bool:
        """Return whether a team is below its limit."""
        return self._in_flight.get(team, 0) < self.limit(team)

    def acquire_slot(self, team: str) -> None:
        """Add one to the team's requests in flight."""
        self._in_flight[team] = self._in_flight.get(team, 0) + 1

    def release_slot(self, team: str) -> None:
        """Subtract one from the team's requests in flight."""
        self._in_flight[team] -= 1

    def remove_overflow(self) -> list[WaitingRequest]:
        """Remove requests until the pool is within its bounds.

        The team with the most waiting requests relative to its weight
        loses requests first.

        Returns:
            The removed requests; the caller refuses them.
        """
        overflow = []
        while self._is_overfull():
            team = max(self._queues, key=self._waiting_per_weight)
            queue = max(self._queues[team], key=len)
            waiter = queue.last()
            queue.remove(waiter)
            overflow.append(waiter)
        return overflow

    def _is_overfull(self) -> bool:
        return (
            self.usage.waiting > self.max_waiting
            or self.usage.size_bytes > self.max_waiting_bytes
        )

    def _waiting_per_weight(self, team: str) -> float:
        waiting = sum(map(len, self._queues[team]))
        return waiting / self.weights.get(team, DEFAULT_WEIGHT)
