"""The entry host: accepts callers' requests and routes them to targets."""

import random
import typing

import anyio

from wisteriawood.contracts import drains as drain_contracts
from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.links import targets as target_links
from wisteriawood.machines import dispatchers
from wisteriawood.machines import request_queues
from wisteriawood.machines import run_once
from wisteriawood.machines import services
from wisteriawood.machines import slot_clients
from wisteriawood.policies import registry
from wisteriawood.policies import routing
from wisteriawood.policies.routing import base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans
from wisteriawood.zones import configuration_followers
from wisteriawood.zones import drains
from wisteriawood.zones import membership
from wisteriawood.zones import peering

TICK_PERIOD_S = 0.25
GONE_ROW_TIMEOUT_S = 3.0

_LOG = events.Logger(name=__name__)


class EntryHost:
    """Serves callers with the slots that schedulers have granted.

    Args:
        platform: Link to the platform.
        member: Own member row.
        counters: Metrics of the daemon.
        tracer: Creates the spans.
        rng: Source of random numbers.
        dial_peer: Opens the channel to the peer at an address.
        dial_target: Opens the link to the target at an address.
        policy: Name of the routing policy.
        peer_addresses: Additional peers to dial, as host:port.
    """

    __slots__ = (
        "_dispatcher",
        "_open_requests",
        "_policy",
        "_rng",
        "_run_once",
        "configuration",
        "counters",
        "drains",
        "is_draining",
        "membership",
        "peering",
        "queue_pool",
        "services",
        "slot_client",
        "stopped",
        "stopping",
        "targets",
        "tracer",
    )

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        member: holdings.MemberRow,
        counters: metrics.EntryMetrics,
        tracer: spans.Tracer,
        rng: random.Random,
        dial_peer=peers.connect,
        dial_target=target_links.HttpTarget,
        policy: str = base.DEFAULT,
        peer_addresses: typing.Sequence[str] = (),
    ):
        registry.load_modules(routing)
        self.membership = membership.Membership(platform=platform, own=member)
        self._create_peering(platform, dial_peer, peer_addresses)
        self.counters = counters
        self.tracer = tracer
        self.services: dict[tuple[str, str], services.Service] = {}
        self.slot_client = slot_clients.SlotClient(
            platform=platform,
            members=self.membership,
            dial_peer=dial_peer,
            dial_target=dial_target,
            get_service=self.service,
            on_late_answer=self._store_late_answer,
            get_longest_deadline_s=self._longest_deadline_s,
        )
        self.targets = self.slot_client.targets
        self._run_once = run_once.RunOnce(
            platform=platform, members=self.membership
        )
        self.is_draining = False
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self._dispatcher = dispatchers.Dispatcher(
            services=self.services, tracer=tracer
        )
        self._policy = policy
        self._open_requests = 0
        self._rng = rng
        self.queue_pool = request_queues.RequestQueuePool()

    def _create_peering(
        self,
        platform: platforms.Platform,
        dial_peer: typing.Callable,
        peer_addresses: typing.Sequence[str],
    ) -> None:
        """Create the peering and the configuration and drain followers."""
        self.peering = peering.Peering(
            members=self.membership,
            machine=self,
            dial_peer=dial_peer,
            addresses=peer_addresses,
        )
        self.configuration = configuration_followers.Follower(
            platform=platform, links=self.peering
        )
        self.drains = drains.Drains(
            platform=platform,
            kind=drain_contracts.DrainKind.ENTRY,
            name=self.membership.own.name,
        )

    def unready_reason(self) -> str:
        """Return why the entry host is not ready; empty if it is."""
        if self.is_draining:
            return "draining"
        if self.drains.is_requested(self.membership.own.name):
            return "draining: an operator has ordered it"
        if self.configuration.unready_reason():
            return self.configuration.unready_reason()
        if not self.targets:
            return "no target has granted slots yet"
        return ""

    async def run(self) -> None:
        """Run the tasks of the entry host until the daemon stops.

        On stopping, finish the requests and release the slots first.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.membership.run)
            group.start_soon(self.peering.run)
            group.start_soon(self.configuration.run)
            group.start_soon(self.drains.run)
            group.start_soon(self.slot_client.run)
            group.start_soon(self._tick_services)
            group.start_soon(self._follow_quotas)
            group.start_soon(self._run_once.run)
            await self.stopping.wait()
            await self._finish_requests()
            is_released = await self.slot_client.release()
            await self._run_once.wait_until_stored()
            group.cancel_scope.cancel()
        if is_released:
            await self._publish_gone()
        self.stopped.set()

    async def _follow_quotas(self) -> None:
        while True:
            changed = self.configuration.changed
            quotas = {
                name: team.quota
                for name, team in self.configuration.current.teams.items()
            }
            self.queue_pool.set_quotas(
                weights={name: quota.share for name, quota in quotas.items()},
                limits={
                    name: quota.requests_in_flight
                    for name, quota in quotas.items()
                    if quota.requests_in_flight is not None
                },
            )
            await changed.wait()

    async def _finish_requests(self) -> None:
        with anyio.move_on_after(slot_clients.RELEASE_TIMEOUT_S):
            while self._open_requests:
                await anyio.sleep(TICK_PERIOD_S)

    async def _tick_services(self) -> None:
        while True:
            await anyio.sleep(TICK_PERIOD_S)
            for service in self.services.values():
                service.tick()
            self._set_gauges()

    def _set_gauges(self) -> None:
        held = self.targets.values()
        self.counters.waiting.set(self.queue_pool.usage.waiting)
        self.counters.in_flight.set(sum(t.in_flight for t in held))
        self.counters.slots_held.set(sum(t.grant.slots for t in held))

    async def _publish_gone(self) -> None:
        """Write to the member row that all slots have been released."""
        self.membership.own.state = holdings.HostState.GONE
        with anyio.move_on_after(GONE_ROW_TIMEOUT_S):
            try:
                await self.membership.renew()
            except errors.PlatformError as exc:
                _LOG.log(events.PLATFORM_LOST, reason=str(exc))

    def _longest_deadline_s(self) -> float:
        """Return the longest deadline that the configuration gives."""
        if self.configuration.unready_reason():
            return requests.MAX_REQUEST_S
        return self.configuration.current.longest_deadline_s()

    def _store_late_answer(
        self, request: requests.Request, answer: requests.Answer
    ) -> None:
        """Store an answer whose caller no longer waits."""
        self._run_once.store_late_answer(request, answer)

    def service(self, team: str, name: str) -> services.Service:
        """Return a service of a team; it is created at the first call."""
        service = self.services.get((team, name))
        if service is None:
            policy = base.ROUTING.get(self._policy)(rng=self._rng)
            service = services.Service(
                team=team,
                name=name,
                policy=policy,
                queue_pool=self.queue_pool,
                rng=self._rng,
            )
            self.services[team, name] = service
        return service

    async def serve(self, request: requests.Request) -> requests.Answer:
        """Serve one request of a caller.

        Args:
            request: The request.

        Returns:
            The complete answer of a target.

        Raises:
            RequestNotRunError: No target has run it.
            RequestUnknownError: A target may have run it.
        """
        started_s = anyio.current_time()
        try:
            with self.tracer.span(
                "entry", traceparent=request.traceparent, id=request.id
            ) as traceparent:
                request.traceparent = traceparent
                self.configuration.check_team(request.team)
                answer = await self._run(request)
        except errors.RequestError as exc:
            outcome = (
                requests.Outcome.NOT_RUN
                if isinstance(exc, errors.RequestNotRunError)
                else requests.Outcome.UNKNOWN
            )
            self._count(request.team, outcome)
            _LOG.log(
                events.REQUEST_FAILED, request=request.id, reason=str(exc)
            )
            raise
        self._count(request.team, answer.outcome)
        elapsed_s = anyio.current_time() - started_s
        self.counters.latency_s.labels(request.team).observe(elapsed_s)
        answer.headers.append(("traceparent", traceparent))
        return answer

    async def _run(self, request: requests.Request) -> requests.Answer:
        self._open_requests += 1
        try:
            return await self._run_by_class(request)
        finally:
            self._open_requests -= 1

    async def _run_by_class(
        self, request: requests.Request
    ) -> requests.Answer:
        dispatch = self._dispatcher.dispatch
        if request.request_class == requests.RequestClass.RUN_ONCE:
            return await self._run_once.serve(request, dispatch)
        return await dispatch(request)

    def _count(self, team: str, outcome: requests.Outcome) -> None:
        known = any(team == found for found, _name in self.services)
        label = team if known else "unknown"
        self.counters.requests.labels(label, outcome).inc()

    def status(self) -> dict[str, typing.Any]:
        """Return the status that operators see."""
        return {
            "member": self.membership.own,
            "ready": self.unready_reason() or "ready",
            "config_version": self.configuration.version,
            "targets": [target.holding() for target in self.targets.values()],
        }
