"""The scheduler: holds racks, places tasks and grants slots."""

import random
import time
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links.codecs import rows
from wisteriawood.links import commits
from wisteriawood.links import messages
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import attempts
from wisteriawood.machines import grantors
from wisteriawood.machines import placers
from wisteriawood.machines import racks
from wisteriawood.machines import workers
from wisteriawood.policies.placement import base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.zones import claims
from wisteriawood.zones import followers
from wisteriawood.zones import membership
from wisteriawood.zones import peering

RACK_PERIOD_S = 1.0
WORKER_PERIOD_S = 1.0

_LOG = events.Logger(name=__name__)


class Scheduler:
    """Looks after the racks of one zone that it holds.

    Args:
        platform: Link to the platform.
        member: Own member row.
        counters: Metrics of the daemon.
        rng: Source of random numbers.
        dial_worker: Opens the link to the worker at an address.
        dial_peer: Opens the channel to the peer at an address.
        policy: Name of the placement policy.
    """

    __slots__ = (
        "_dial_worker",
        "_group",
        "commits",
        "configuration",
        "counters",
        "grantor",
        "membership",
        "peering",
        "placer",
        "platform",
        "rack_holders",
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
        dial_worker=worker_links.HttpWorker,
        dial_peer=peers.connect,
        policy: str = base.DEFAULT,
    ):
        self.platform = platform
        self.counters = counters
        self.membership = membership.Membership(platform=platform, own=member)
        self.peering = peering.Peering(
            members=self.membership, machine=self, dial_peer=dial_peer
        )
        self.configuration = followers.Follower(
            platform=platform, links=self.peering
        )
        self.commits = commits.GroupCommit(
            platform=platform, counters=counters
        )
        self.racks: dict[str, racks.Rack] = {}
        self.rack_holders: set[str] = set()
        self.placer = placers.Placer(scheduler=self, rng=rng, policy=policy)
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self.grantor = grantors.Grantor(
            members=self.membership, held=self.racks, stopping=self.stopping
        )
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
        if self.configuration.not_ready():
            return self.configuration.not_ready()
        if not self.membership.is_confirmed():
            return "the term is not held: the platform has not confirmed it"
        return ""

    async def run(self) -> None:
        """Look after the racks until the daemon stops."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.membership.run)
            group.start_soon(self.peering.run)
            group.start_soon(self.configuration.run)
            group.start_soon(self.commits.run)
            group.start_soon(self.grantor.run)
            group.start_soon(self._follow_racks)
            group.start_soon(self.placer.run)
            await self.stopping.wait()
            self.membership.own.state = holdings.HostState.GONE
            await self._release_racks()
            group.cancel_scope.cancel()
        self.stopped.set()

    async def _release_racks(self) -> None:
        for rack in list(self.racks.values()):
            released = holdings.RackHolding(
                zone=self.zone,
                rack=rack.holding.rack,
                epoch=rack.holding.epoch,
            )
            transaction = platforms.Transaction(
                conditions=[rack.condition()],
                writes=[
                    platforms.Write(
                        key=rack.condition().key,
                        value=rows.to_value(released),
                    )
                ],
            )
            try:
                await self.platform.commit(transaction)
            except errors.PlatformError:
                continue
            _LOG.log(events.RACK_RELEASED, rack=rack.holding.rack)

    async def _follow_racks(self) -> None:
        while True:
            if self.membership.is_confirmed():
                try:
                    hosts = await self.platform.hosts()
                    self.placer.see_hosts(hosts)
                    await self._claim_racks(hosts)
                    self._adopt_hosts(hosts)
                except errors.PlatformError:
                    pass
            await anyio.sleep(RACK_PERIOD_S)

    async def _claim_racks(self, hosts: list[platforms.Host]) -> None:
        names = {host.rack for host in hosts if host.zone == self.zone}
        found = {
            row.key: row
            for row in await platforms.scan_all(
                self.platform, keys.racks(self.zone)
            )
        }
        self.rack_holders = {
            rows.from_value(row.value, holdings.RackHolding).holder
            for row in found.values()
        } - {""}
        for name in sorted(names):
            row = found.get(keys.rack(self.zone, name))
            if name in self.racks:
                self._check_rack(name, row)
            elif claims.may_claim(self.membership, name, row):
                await self._claim_rack(name, row)

    def _check_rack(self, name: str, row: platforms.Row | None) -> None:
        rack = self.racks[name]
        if row is not None and row.version == rack.version:
            return
        del self.racks[name]
        _LOG.log(events.RACK_LOST, rack=name)

    async def _claim_rack(self, name: str, row: platforms.Row | None) -> None:
        rack = await claims.claim(
            self.platform, self.membership.own, name, row
        )
        if rack is None:
            return
        placed = await platforms.scan_all(
            self.platform, keys.placeds(self.zone, name)
        )
        for found in placed:
            self._adopt_task(rack, found)
        self.racks[name] = rack
        self.counters.racks_held.set(len(self.racks))
        _LOG.log(events.RACK_CLAIMED, rack=name, epoch=rack.holding.epoch)

    def _adopt_task(self, rack: racks.Rack, row: platforms.Row) -> None:
        task = rows.from_value(row.value, tasks.Task)
        rack.orphans.setdefault(task.worker, []).append(
            workers.Placement(
                task=task,
                version=row.version,
                counted=task.spec.needs,
                is_committed=True,
            )
        )

    def _adopt_hosts(self, hosts: list[platforms.Host]) -> None:
        for host in hosts:
            rack = self.racks.get(host.rack)
            if rack is None or host.zone != self.zone:
                continue
            if host.kind == platforms.HostKind.TARGET:
                rack.see_target(host)
                continue
            worker = rack.workers.get(host.name)
            if worker is not None:
                worker.leaving = host.leaving
                continue
            worker = workers.Worker(
                name=host.name,
                rack=host.rack,
                address=host.address,
                capacity=host.capacity,
                link=self._dial_worker(address=host.address),
            )
            for placement in rack.orphans.pop(host.name, []):
                worker.add(placement)
            rack.workers[host.name] = worker
            self._group.start_soon(self._serve_worker, rack, worker)

    async def _serve_worker(
        self, rack: racks.Rack, worker: workers.Worker
    ) -> None:
        """Serve one worker: straight down, once a period or when woken."""
        name = rack.holding.rack
        while self.racks.get(name) is rack:
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
            with anyio.move_on_after(WORKER_PERIOD_S):
                await wakeup.wait()
        await worker.link.aclose()

    async def assign(
        self, worker: workers.Worker, placement: workers.Placement
    ) -> None:
        """Commit an assignment; the worker's task sends the start.

        Args:
            worker: The worker, with the placement counted.
            placement: The placement of the waiting task.
        """
        rack = self.racks[worker.rack]
        task = placement.task
        old_key = keys.pending(self.zone, task.spec.id)
        new_key = keys.placed(self.zone, worker.rack, task.spec.id)
        task.state = tasks.TaskState.ASSIGNED
        task.attempt += 1
        task.rack = worker.rack
        task.worker = worker.name
        task.epoch = rack.holding.epoch
        task.started_unix_s = time.time()
        try:
            placement.version = await self.commits.commit(
                conditions=[
                    rack.condition(),
                    platforms.Condition(
                        key=old_key, version=placement.version
                    ),
                ],
                writes=[
                    platforms.Write(key=old_key),
                    platforms.Write(key=new_key, value=rows.to_value(task)),
                    platforms.Write(
                        key=keys.pointer(task.spec.id),
                        value=rows.to_value(tasks.TaskPointer(key=new_key)),
                    ),
                ],
            )
        except errors.PlatformError:
            worker.remove(task.spec.id)
            return
        placement.is_committed = True
        self.counters.placements.inc()
        _LOG.log(events.TASK_ASSIGNED, task=task.spec.id, worker=worker.name)
        worker.wake()

    async def serve_peer(self, channel: channels.Channel) -> None:
        """Serve one entry host's link until it breaks.

        Args:
            channel: Channel to the entry host.

        Raises:
            LinkError: The link broke.
        """
        hello = await channel.receive()
        if hello.topic == messages.Topic.PEER:
            return await self.peering.welcome(hello, channel)
        await self.grantor.serve(hello, channel)

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see of this scheduler."""
        return {
            "member": self.membership.own,
            "ready": self.not_ready() or "ready",
            "config_version": self.configuration.version,
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
