"""The entry host: takes callers' requests and routes them to targets."""

import random
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.links import messages
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.links import targets as target_links
from wisteriawood.machines import dispatchers
from wisteriawood.machines import services
from wisteriawood.machines import targets
from wisteriawood.policies import registry
from wisteriawood.policies import routing
from wisteriawood.policies.routing import base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans
from wisteriawood.zones import membership
from wisteriawood.zones import peering

REPORT_PERIOD_S = 0.5
REDIAL_PERIOD_S = 0.5
QUARANTINE_PERIOD_S = 0.1

_LOG = events.Logger(name=__name__)


class EntryHost:
    """Serves callers with the slots that schedulers have granted.

    Args:
        platform: Link to the platform.
        member: Own member row.
        counters: Metrics of the daemon.
        tracer: Makes the spans.
        rng: Source of random numbers.
        dial_peer: Opens the channel to the peer at an address.
        dial_target: Opens the link to the target at an address.
        policy: Name of the routing policy.
        peer_addresses: Further peers to dial, as host:port.
    """

    __slots__ = (
        "_dial_peer",
        "_dial_target",
        "_dispatcher",
        "_followed",
        "_group",
        "_policy",
        "_rng",
        "counters",
        "is_draining",
        "membership",
        "peering",
        "services",
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
        self.peering = peering.Peering(
            members=self.membership,
            machine=self,
            dial_peer=dial_peer,
            addresses=peer_addresses,
        )
        self.counters = counters
        self.tracer = tracer
        self.services: dict[tuple[str, str], services.Service] = {}
        self.targets: dict[str, targets.Target] = {}
        self.is_draining = False
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self._dial_peer = dial_peer
        self._dial_target = dial_target
        self._dispatcher = dispatchers.Dispatcher(
            services=self.services, tracer=tracer
        )
        self._followed: set[str] = set()
        self._group: abc.TaskGroup | None = None
        self._policy = policy
        self._rng = rng

    def not_ready(self) -> str:
        """Return why the entry host is not ready; empty if it is."""
        if self.is_draining:
            return "draining"
        if not self.targets:
            return "no target has granted slots yet"
        return ""

    async def run(self) -> None:
        """Follow the schedulers of the zone until the daemon stops."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.membership.run)
            group.start_soon(self.peering.run)
            group.start_soon(self._follow_members)
            group.start_soon(self._end_quarantines)
            await self.stopping.wait()
            while any(target.in_flight for target in self.targets.values()):
                await anyio.sleep(REDIAL_PERIOD_S / 10)
            group.cancel_scope.cancel()
        self.stopped.set()

    async def _end_quarantines(self) -> None:
        while True:
            await anyio.sleep(QUARANTINE_PERIOD_S)
            now_s = anyio.current_time()
            for target in self.targets.values():
                if target.end_quarantines(now_s=now_s):
                    grant = target.grant
                    self._service(grant.team, grant.service).wake()

    async def _follow_members(self) -> None:
        own = self.membership.own
        while True:
            for member in self.membership.live(
                holdings.Role.SCHEDULER, zone=own.zone
            ):
                if member.peer_address not in self._followed:
                    self._followed.add(member.peer_address)
                    self._group.start_soon(self._follow_scheduler, member)
            await self.membership.changed.wait()

    async def _follow_scheduler(self, member: holdings.MemberRow) -> None:
        """Hold the link to one scheduler, straight down."""
        try:
            async with self._dial_peer(address=member.peer_address) as channel:
                _LOG.log(events.PEER_CONNECTED, peer=member.name)
                await self._exchange_slots(member, channel)
        except errors.LinkError as exc:
            _LOG.log(events.PEER_LOST, peer=member.name, reason=str(exc))
            await anyio.sleep(REDIAL_PERIOD_S)
        finally:
            self._followed.discard(member.peer_address)

    async def _exchange_slots(
        self, member: holdings.MemberRow, channel
    ) -> None:
        await channel.send(messages.Hello(member=self.membership.own))
        await channel.receive()
        sequence = 0
        while True:
            sequence += 1
            own = [
                target.holding()
                for target in self.targets.values()
                if target.grantor == member.name
            ]
            await channel.send(
                messages.SlotReport(sequence=sequence, holdings=own)
            )
            update = await channel.receive()
            await self._adopt(member.name, update.grants)
            await anyio.sleep(REPORT_PERIOD_S)

    async def _adopt(
        self, grantor: str, granted: list[grants.SlotGrant]
    ) -> None:
        for grant in granted:
            service = self._service(grant.team, grant.service)
            target = self.targets.get(grant.target)
            if target is None:
                target = targets.Target(
                    grant=grant,
                    grantor=grantor,
                    link=self._dial_target(
                        address=grant.address, connections=grant.slots + 1
                    ),
                )
                self.targets[grant.target] = target
                service.targets[grant.target] = target
            target.grant = grant
            target.grantor = grantor
            service.wake()
        kept = {grant.target for grant in granted}
        for target in list(self.targets.values()):
            if target.grantor == grantor and target.id not in kept:
                await self._drop(target)

    async def _drop(self, target: targets.Target) -> None:
        target.grant.slots = 0
        if target.in_flight:
            return
        del self.targets[target.id]
        service = self._service(target.grant.team, target.grant.service)
        service.targets.pop(target.id, None)
        await target.link.aclose()
        _LOG.log(events.TARGET_LEFT, target=target.id)

    def _service(self, team: str, name: str) -> services.Service:
        service = self.services.get((team, name))
        if service is None:
            policy = base.ROUTING.get(self._policy)(rng=self._rng)
            service = services.Service(team=team, name=name, policy=policy)
            self.services[team, name] = service
        return service

    async def serve(self, request: requests.Request) -> requests.Answer:
        """Serve one request of a caller.

        Args:
            request: The request.

        Returns:
            The whole answer of a target.

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
                answer = await self._dispatcher.dispatch(request)
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

    def _count(self, team: str, outcome: requests.Outcome) -> None:
        known = any(team == found for found, _name in self.services)
        label = team if known else "unknown"
        self.counters.requests.labels(label, outcome).inc()

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see of this entry host."""
        return {
            "member": self.membership.own,
            "ready": self.not_ready() or "ready",
            "targets": [target.holding() for target in self.targets.values()],
        }
