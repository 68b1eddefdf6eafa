"""The scheduler: holds racks, places tasks and grants slots."""

import contextlib
import random
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links.codecs import rows
from wisteriawood.links import commits
from wisteriawood.links import messages
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import attempts
from wisteriawood.machines import cancels
from wisteriawood.machines import leases
from wisteriawood.machines import placers
from wisteriawood.machines import racks
from wisteriawood.machines import transitions
from wisteriawood.machines import workers
from wisteriawood.policies.placement import base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.zones import claims
from wisteriawood.zones import membership

RACK_PERIOD_S = 1.0
WORKER_PERIOD_S = 1.0
# Least pause between two rounds with a worker.
ROUND_PAUSE_S = 0.02
FORMER_PERIOD_S = 2.0
# Longest time to release the racks, and then to let the rest live on.
RELEASE_MAX_S = 5.0
LEAVE_MAX_S = 3.0

_LOG = events.Logger(name=__name__)


class Scheduler:
    """Looks after the racks of one zone that it holds.

    Args:
        platform: Link to the platform.
        member: Own member row.
        counters: Metrics of the daemon.
        rng: Source of random numbers.
        dial_peer: Opens a channel to the peer at an address.
        dial_worker: Opens the link to the worker at an address.
        policy: Name of the placement policy.
    """

    __slots__ = (
        "_dial_peer",
        "_dial_worker",
        "_group",
        "canceller",
        "commits",
        "counters",
        "membership",
        "placer",
        "platform",
        "racks",
        "stopped",
        "stopping",
    )

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        member: holdings.MemberRow,
        counters: metrics.SchedulerMetrics,
        rng: random.Random,
        dial_peer=peers.connect,
        dial_worker=worker_links.HttpWorker,
        policy: str = base.DEFAULT,
    ):
        self.platform = platform
        self.counters = counters
        self.membership = membership.Membership(platform=platform, own=member)
        self.commits = commits.GroupCommit(
            platform=platform, counters=counters
        )
        self.racks: dict[str, racks.Rack] = {}
        self.placer = placers.Placer(scheduler=self, rng=rng, policy=policy)
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self.canceller = cancels.Canceller(scheduler=self)
        self._dial_peer = dial_peer
        self._dial_worker = dial_worker
        self._group: abc.TaskGroup | None = None

    @property
    def zone(self) -> str:
        """Availability zone of the scheduler."""
        return self.membership.own.zone

    def not_ready(self) -> str:
        """Return why the scheduler is not ready; empty if it is."""
        if self.stopping.is_set():
            return "draining"
        if not self.membership.is_confirmed():
            return "the term is not held: the platform has not confirmed it"
        return ""

    def has_authority(self, rack: racks.Rack) -> bool:
        """Tell whether a rack is surely held now, so that work may move.

        The own term must hold, and the rack's row must have been read
        since the term began: after a break another may have taken it.

        Args:
            rack: The rack.
        """
        return (
            not self.stopping.is_set()
            and self.membership.is_confirmed()
            and rack.verified_since_s is not None
            and rack.verified_since_s
            == self.membership.term.unbroken_since_s()
            and self.racks.get(rack.holding.rack) is rack
        )

    async def run(self) -> None:
        """Look after the racks until the daemon stops."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.membership.run)
            group.start_soon(self.commits.run)
            async with anyio.create_task_group() as acting:
                self._group = acting
                acting.start_soon(self._follow_racks)
                acting.start_soon(self._follow_formers)
                acting.start_soon(self.placer.run)
                acting.start_soon(self.canceller.run)
                await self.stopping.wait()
                acting.cancel_scope.cancel()
            with anyio.move_on_after(RELEASE_MAX_S):
                await self._release_racks()
            group.cancel_scope.cancel()
        await self._leave()
        self.stopped.set()

    async def _release_racks(self) -> None:
        """Give the racks up, saying how long their leases may last."""
        await self.commits.flush()
        async with anyio.create_task_group() as group:
            for rack in list(self.racks.values()):
                group.start_soon(self._release_rack, rack)

    async def _release_rack(self, rack: racks.Rack) -> None:
        released = holdings.RackHolding(
            zone=self.zone,
            rack=rack.holding.rack,
            epoch=rack.holding.epoch,
            lease_left_s=rack.lease_left_s(),
        )
        condition = rack.condition()
        write = platforms.Write(
            key=condition.key, value=rows.to_value(released)
        )
        try:
            await self.commits.commit(conditions=[condition], writes=[write])
        except errors.PlatformError:
            return
        del self.racks[rack.holding.rack]
        _LOG.log(events.RACK_RELEASED, rack=rack.holding.rack)

    async def _leave(self) -> None:
        """Let racks not released live on; publish that this start ends."""
        with anyio.move_on_after(LEAVE_MAX_S):
            async with anyio.create_task_group() as group:
                for rack in self.racks.values():
                    for worker in rack.workers.values():
                        group.start_soon(self._extend, rack, worker)
        with anyio.move_on_after(LEAVE_MAX_S):
            self.membership.own.state = holdings.HostState.GONE
            with contextlib.suppress(errors.PlatformError):
                await self.membership.renew()

    async def _extend(self, rack: racks.Rack, worker: workers.Worker) -> None:
        running = [
            placement
            for placement in worker.placements.values()
            if placement.task.state == tasks.TaskState.RUNNING
        ]
        with contextlib.suppress(errors.LinkError):
            await leases.renew(self, rack, worker, running=running)

    async def _follow_racks(self) -> None:
        while True:
            if self.membership.is_confirmed():
                try:
                    await self._check_racks()
                except errors.PlatformError:
                    pass
            with anyio.move_on_after(RACK_PERIOD_S):
                await self.membership.changed.wait()

    async def _check_racks(self) -> None:
        # Read before the rows, so that they are newer than the term.
        since_s = self.membership.term.unbroken_since_s()
        hosts = [
            host
            for host in await self.platform.hosts()
            if host.zone == self.zone
        ]
        prefix = keys.racks(self.zone)
        found = {
            row.key.removeprefix(prefix): row
            for row in await platforms.scan_all(self.platform, prefix)
        }
        for name in list(self.racks):
            self._check_rack(name, found.get(name), since_s)
        for name in sorted({host.rack for host in hosts} | set(found)):
            if name in self.racks:
                continue
            claim = claims.find_claim(self.membership, name, found.get(name))
            if claim is not None:
                await self._claim_rack(claim, since_s)
        self.counters.racks_held.set(len(self.racks))
        self._adopt_hosts(hosts)

    def _check_rack(
        self, name: str, row: platforms.Row | None, since_s: float | None
    ) -> None:
        rack = self.racks[name]
        if row is not None:
            holding = rows.from_value(row.value, holdings.RackHolding)
            is_own = holding.incarnation == rack.holding.incarnation
            if is_own and holding.epoch == rack.holding.epoch:
                rack.version = row.version
                rack.verified_since_s = since_s
                return
        del self.racks[name]
        _LOG.log(events.RACK_LOST, rack=name)

    async def _claim_rack(
        self, claim: claims.Claim, since_s: float | None
    ) -> None:
        rack = await claims.commit(self.platform, self.membership.own, claim)
        if rack is None:
            return
        name = rack.holding.rack
        found = await platforms.scan_all(
            self.platform, keys.placeds(self.zone, name)
        )
        rack.verified_since_s = since_s
        rack.term_ends_s = self.membership.term.ends_at_s() or 0.0
        self.racks[name] = rack
        for row in found:
            self._adopt_task(rack, row)
        _LOG.log(
            events.RACK_CLAIMED,
            rack=name,
            epoch=rack.holding.epoch,
            tasks=len(found),
        )

    def _adopt_task(self, rack: racks.Rack, row: platforms.Row) -> None:
        task = rows.from_value(row.value, tasks.Task)
        worker = rack.workers.get(task.worker)
        if worker is None:
            # Its worker may be missing from the host list.
            worker = self._add_worker(
                rack, task.worker, task.worker_address, resources.NOTHING
            )
        worker.add(
            workers.Placement(
                task=task,
                version=row.version,
                counted=task.spec.needs,
                is_committed=True,
                is_adopted=True,
                lease_ends_s=rack.adopted_until_s,
                not_after_s=anyio.current_time()
                + terms.COMMAND_LIFE_S
                + terms.DRIFT_MARGIN_S,
            )
        )

    def _add_worker(
        self,
        rack: racks.Rack,
        name: str,
        address: str,
        capacity: resources.Resources,
    ) -> workers.Worker:
        worker = workers.Worker(
            name=name,
            rack=rack.holding.rack,
            address=address,
            capacity=capacity,
            link=self._dial_worker(address=address),
        )
        rack.workers[name] = worker
        self._group.start_soon(self._serve_worker, rack, worker)
        return worker

    def _adopt_hosts(self, hosts: list[platforms.Host]) -> None:
        listed = set()
        for host in hosts:
            rack = self.racks.get(host.rack)
            if rack is None:
                continue
            if host.kind == platforms.HostKind.TARGET:
                rack.see_target(host)
                continue
            listed.add(host.name)
            worker = rack.workers.get(host.name)
            if worker is None or worker.is_moved(host.address):
                worker = self._add_worker(
                    rack, host.name, host.address, host.capacity
                )
            worker.see_leaving(host.leaving)
        for rack in self.racks.values():
            rack.forget_workers(listed)

    async def _serve_worker(
        self, rack: racks.Rack, worker: workers.Worker
    ) -> None:
        """Serve one worker: straight down, once a period or when woken."""
        while (
            self.racks.get(rack.holding.rack) is rack
            and rack.workers.get(worker.name) is worker
        ):
            wakeup = worker.wakeup
            try:
                await attempts.serve(self, rack, worker)
            except errors.LinkError as exc:
                if worker.is_known:
                    _LOG.log(
                        events.WORKER_LOST,
                        worker=worker.name,
                        reason=str(exc),
                    )
                worker.is_known = False
            except errors.PlatformError:
                pass
            await anyio.sleep(ROUND_PAUSE_S)
            with anyio.move_on_after(WORKER_PERIOD_S):
                await wakeup.wait()
        await worker.link.aclose()

    async def _follow_formers(self) -> None:
        """Find out which former holders are surely dead."""
        while True:
            formers: dict[str, list[racks.Rack]] = {}
            for rack in self.racks.values():
                if rack.former is not None:
                    held = formers.setdefault(rack.former.incarnation, [])
                    held.append(rack)
            for held in formers.values():
                if await self._is_gone(held[0].former):
                    for rack in held:
                        rack.see_former_gone()
                        _LOG.log(
                            events.FORMER_HOLDER_GONE, rack=rack.holding.rack
                        )
            await anyio.sleep(FORMER_PERIOD_S)

    async def _is_gone(self, former: holdings.MemberRow) -> bool:
        sighting = self.membership.sightings.get((former.role, former.name))
        if sighting and sighting.member.incarnation != former.incarnation:
            return True
        try:
            async with self._dial_peer(address=former.peer_address):
                return False
        except errors.LinkRefusedError:
            return True
        except errors.LinkError:
            return False

    async def assign(
        self, worker: workers.Worker, placement: workers.Placement
    ) -> None:
        """Commit an assignment; the worker's task sends the start.

        Args:
            worker: The worker, with the placement counted.
            placement: The placement of the waiting task.
        """
        task_id = placement.task.spec.id
        if worker.placements.get(task_id) is not placement:
            # It is here already; the queue was read before that.
            return
        rack = self.racks.get(worker.rack)
        try:
            if rack is None or not self.has_authority(rack):
                raise errors.TransactionConflictError("the rack is not held")
            await transitions.assign(self, rack, worker, placement)
        except errors.PlatformError:
            worker.remove(task_id)
            return
        self.counters.placements.inc()
        _LOG.log(events.TASK_ASSIGNED, task=task_id, worker=worker.name)
        worker.wake()

    async def serve_peer(self, channel: channels.Channel) -> None:
        """Serve one entry host's link until it breaks.

        Args:
            channel: Channel to the entry host.

        Raises:
            LinkError: The link broke.
        """
        hello = await channel.receive()
        entry = hello.member.name
        _LOG.log(events.PEER_CONNECTED, peer=entry)
        await channel.send(messages.Hello(member=self.membership.own))
        while not self.stopping.is_set():
            report = await channel.receive()
            await channel.send(self._answer_report(entry, report))

    def _answer_report(
        self, entry: str, report: messages.SlotReport
    ) -> messages.SlotUpdate:
        held = {holding.target: holding for holding in report.holdings}
        granted = []
        for rack in self.racks.values():
            for target in rack.targets.values():
                target.report(entry=entry, holding=held.get(target.id))
                granted.append(
                    target.grant(entry=entry, epoch=rack.holding.epoch)
                )
        return messages.SlotUpdate(sequence=report.sequence, grants=granted)

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see of this scheduler."""
        return {
            "member": self.membership.own,
            "ready": self.not_ready() or "ready",
            "pending": len(self.placer.pending),
            "racks": [
                {
                    "rack": rack.holding.rack,
                    "epoch": rack.holding.epoch,
                    "workers": [
                        {
                            "worker": worker.name,
                            "known": worker.is_known,
                            "leaving": worker.leaving,
                            "free": worker.free,
                            "tasks": sorted(worker.placements),
                        }
                        for worker in rack.workers.values()
                    ],
                    "targets": sorted(rack.targets),
                }
                for rack in self.racks.values()
            ],
        }
