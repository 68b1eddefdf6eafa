"""Services: admission and queueing of requests to one service."""

import contextlib
import dataclasses
import math
import random
import typing

import anyio

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import outliers
from wisteriawood.machines import request_queues
from wisteriawood.machines import service_times
from wisteriawood.machines import targets
from wisteriawood.policies import registry
from wisteriawood.policies import retrying as retrying_policies
from wisteriawood.policies.retrying import base as retrying_base
from wisteriawood.policies.routing import base as routing_base
from wisteriawood.telemetry import events

SHED_LOG_PERIOD_S = 1.0
MIN_ATTEMPT_TIMEOUT_S = 0.001

_LOG = events.Logger(name=__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt at a target.

    Attributes:
        verdict: What the result implies about the health of the target.
        latency_s: Seconds until the complete answer; NaN if there was none.
        is_done: Whether the target is known to have finished the request;
            False where the outcome is unknown.
        until_s: Monotonic time in seconds of the attempt's deadline.
    """

    verdict: outliers.Verdict = outliers.Verdict.INCONCLUSIVE
    latency_s: float = math.nan
    is_done: bool = False
    until_s: float = 0.0


class Service:
    """A service in one entry host: its targets and waiting requests.

    Args:
        team: Team that owns the service.
        name: Name of the service.
        policy: Chooses among the targets with a free slot.
        retrying: Decides whether failed requests are retried; None for
            the default policy.
        queue_pool: Pool of request queues, shared with other services.
        rng: Source of random numbers.
    """

    __slots__ = (
        "_cancel_scopes",
        "_queue",
        "_queue_pool",
        "_shed_count",
        "_shed_logged_s",
        "name",
        "outliers",
        "policy",
        "retrying",
        "targets",
        "team",
        "times",
    )

    def __init__(
        self,
        *,
        team: str,
        name: str,
        policy: routing_base.RoutingPolicy,
        retrying: retrying_base.RetryPolicy | None = None,
        queue_pool: request_queues.RequestQueuePool | None = None,
        rng: random.Random | None = None,
    ):
        self.team = team
        self.name = name
        self.policy = policy
        self.targets: dict[str, targets.Target] = {}
        self.times = service_times.ServiceTimes()
        rng = rng or random.Random()
        registry.load_modules(retrying_policies)
        self.retrying = retrying or retrying_base.RETRYING.get(
            retrying_base.DEFAULT
        )(rng=rng)
        self.outliers = outliers.OutlierDetector(rng=rng)
        self._cancel_scopes: dict[str, set[anyio.CancelScope]] = {}
        self._queue_pool = queue_pool or request_queues.RequestQueuePool()
        self._queue = self._queue_pool.open_queue(team=team)
        self._shed_count = 0
        self._shed_logged_s = -math.inf

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def shares(self) -> list[request_queues.TeamShare]:
        """Return the waiting and running requests of each calling team."""
        return self._queue.shares()

    def slots(self) -> int:
        """Return the number of slots that the team may use at once."""
        granted = sum(
            target.grant.slots
            for target in self.targets.values()
            if not target.grant.leaving
        )
        return min(granted, self._queue_pool.limit(self.team))

    async def acquire(
        self,
        request: requests.Request,
        *,
        tried: frozenset[str] = frozenset(),
    ) -> targets.Target:
        """Wait for a slot and acquire it.

        Args:
            request: The request that will use the slot.
            tried: Ids of targets where the request failed; other targets
                are preferred.

        Raises:
            RequestNotRunError: No slot became free before the deadline, or
                none is expected to.
        """
        if not self._queue:
            target = self._choose(request, tried, queued=1)
            if target is not None:
                return self._occupy_slot(request, target)
        waiter = request_queues.WaitingRequest(request=request, tried=tried)
        self._admit(waiter)
        left_s = max(0.0, request.deadline_s - anyio.current_time())
        try:
            with anyio.move_on_after(left_s):
                await waiter.resolved.wait()
        except anyio.get_cancelled_exc_class():
            self._withdraw(waiter)
            raise
        if waiter.target is not None:
            return waiter.target
        if waiter.refusal is None:
            self._queue.remove(waiter)
            raise self._refusal("no slot was free before the deadline")
        raise waiter.refusal

    def release(
        self,
        target: targets.Target,
        request: requests.Request,
        result: AttemptResult,
    ) -> None:
        """Release a slot and assign it to the next waiting request.

        Args:
            target: Target that the slot belongs to.
            request: The request that used the slot.
            result: How the attempt ended.
        """
        self._queue.share(request).in_flight -= 1
        self._queue_pool.release_slot(self.team)
        target.release_slot(is_done=result.is_done, until_s=result.until_s)
        if not math.isnan(result.latency_s):
            self.times.observe(result.latency_s)
            self.policy.observe(target, latency_s=result.latency_s)
        self.outliers.record_ended(
            target, verdict=result.verdict, now_s=anyio.current_time()
        )
        self.wake()

    def wake(self) -> None:
        """Assign free slots to the next waiting requests, one each."""
        while self._queue:
            waiter = self._queue.head(slots=self.slots())
            if self._is_too_late(waiter.request):
                self._queue.remove(waiter)
                waiter.refuse(self._refusal("its turn came too late"))
                continue
            target = self._choose(
                waiter.request, waiter.tried, queued=len(self._queue)
            )
            if target is None:
                return
            self._queue.remove(waiter)
            waiter.assign(self._occupy_slot(waiter.request, target))

    def tick(self) -> None:
        """Run periodic work; called several times a second."""
        now_s = anyio.current_time()
        self.policy.tick()
        for target_id in self.outliers.known_ids():
            if target_id not in self.targets:
                self.outliers.forget(target_id)
                self._cancel_scopes.pop(target_id, None)
                self.policy.forget(target_id)
        for target_id in self.outliers.eject_stalled(
            self.targets.values(), p99_s=self.times.p99_s, now_s=now_s
        ):
            self._cancel_attempts(target_id)
        if (
            self._shed_count
            and now_s - self._shed_logged_s > SHED_LOG_PERIOD_S
        ):
            _LOG.log(
                events.REQUESTS_SHED, service=self.name, count=self._shed_count
            )
            self._shed_count = 0
            self._shed_logged_s = now_s
        self.wake()

    def attempt_timeout_s(
        self, target: targets.Target, request: requests.Request
    ) -> float:
        """Return the timeout of an attempt in seconds.

        A probe gets a shorter timeout, which leaves time for an attempt at
        another target.

        Args:
            target: Target to which the request is about to be sent.
            request: The request.
        """
        now_s = anyio.current_time()
        left_s = max(MIN_ATTEMPT_TIMEOUT_S, request.deadline_s - now_s)
        if not self.outliers.record_sent(target, now_s=now_s):
            return left_s
        return min(
            left_s / 2, outliers.stall_timeout_s(p99_s=self.times.p99_s)
        )

    @contextlib.contextmanager
    def cancel_when_stalled(
        self,
        target: targets.Target,
        request: requests.Request,
        scope: anyio.CancelScope,
    ) -> typing.Iterator[None]:
        """Cancel an attempt if its target stalls within the context.

        Args:
            target: Target of the attempt.
            request: The request; only repeatable ones are cancelled.
            scope: Cancel scope of the attempt.
        """
        if request.request_class != requests.RequestClass.REPEATABLE:
            yield
            return
        scopes = self._cancel_scopes.setdefault(target.id, set())
        scopes.add(scope)
        try:
            yield
        finally:
            scopes.discard(scope)

    def _cancel_attempts(self, target_id: str) -> None:
        """Cancel attempts at a stalled target so that they are retried.

        Cancels no more attempts than the policy has retries available.
        """
        if not self.outliers.ejected(targets_count=len(self.targets)):
            return
        scopes = list(self._cancel_scopes.get(target_id, ()))
        for scope in scopes[: self.retrying.available()]:
            scope.cancel()

    def _usable(
        self, request: requests.Request, tried: frozenset[str]
    ) -> typing.Iterable[targets.Target]:
        """Return the targets that a request may be sent to.

        If an ejected target is due for a probe, a repeatable request may be
        sent only there.
        """
        ejected = self.outliers.ejected(targets_count=len(self.targets))
        if not ejected:
            return self.targets.values()
        if request.request_class == requests.RequestClass.REPEATABLE:
            for target_id in ejected:
                if target_id not in tried and self._is_probe_due(target_id):
                    return [self.targets[target_id]]
        return [t for t in self.targets.values() if t.id not in ejected]

    def _is_probe_due(self, target_id: str) -> bool:
        target = self.targets.get(target_id)
        return (
            target is not None
            and target.has_free_slot()
            and self.outliers.is_probe_due(
                target_id, now_s=anyio.current_time()
            )
        )

    def _choose(
        self, request: requests.Request, tried: frozenset[str], *, queued: int
    ) -> targets.Target | None:
        if not self._queue_pool.is_below_limit(self.team):
            return None
        free = []
        busy = []
        for target in self._usable(request, tried):
            grant = target.grant
            if target.in_flight >= grant.slots or grant.leaving:
                busy.append(target)
            else:
                free.append(target)
        if tried:
            free = [t for t in free if t.id not in tried] or free
        while free:
            target = self.policy.choose(free, busy=busy, queued=queued)
            if target is None or target.has_free_slot():
                return target
            free.remove(target)
        return None

    def _occupy_slot(
        self, request: requests.Request, target: targets.Target
    ) -> targets.Target:
        target.acquire_slot()
        self._queue_pool.acquire_slot(self.team)
        self._queue.share(request).in_flight += 1
        return target

    def _admit(self, waiter: request_queues.WaitingRequest) -> None:
        """Queue a request if it is likely to get a slot in time."""
        wait_s = self._expected_wait_s(waiter.request)
        left_s = waiter.request.deadline_s - anyio.current_time()
        excess_s = wait_s + self._expected_service_s(left_s) - left_s
        if excess_s > 0:
            raise self._refusal(
                "too many wait to serve it before its deadline",
                retry_after_s=excess_s,
            )
        self._queue.add(waiter)
        for refused in self._queue_pool.remove_overflow():
            refused.refuse(
                self._refusal("the queue is full", retry_after_s=wait_s)
            )

    def _expected_wait_s(self, request: requests.Request) -> float:
        """Return the expected wait of a request for a slot in seconds."""
        slots = self.slots()
        if not slots or not self.times.has_estimate():
            return 0.0
        ahead = self._queue.ahead(request)
        return (ahead + 1) * self.times.mean_s() / slots

    def _expected_service_s(self, left_s: float) -> float:
        """Return the time to reserve for service at the target in seconds.

        Args:
            left_s: Seconds until the deadline of the request.
        """
        return min(self.times.p99_s, max(self.times.median_s, left_s / 2))

    def _is_too_late(self, request: requests.Request) -> bool:
        left_s = request.deadline_s - anyio.current_time()
        return left_s < self.times.median_s

    def _withdraw(self, waiter: request_queues.WaitingRequest) -> None:
        """Free the queue place or slot of a request that was cancelled."""
        if waiter.target is not None:
            result = AttemptResult(is_done=True)
            self.release(waiter.target, waiter.request, result)
        elif waiter.refusal is None:
            self._queue.remove(waiter)

    def _refusal(
        self, reason: str, *, retry_after_s: float = 1.0
    ) -> errors.RequestNotRunError:
        self._shed_count += 1
        return errors.RequestNotRunError(
            reason=reason, retry_after_s=max(1.0, retry_after_s)
        )
