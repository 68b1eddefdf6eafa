"""The scheduler: holds racks, places tasks and grants slots."""

import contextlib
import random
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import drains as drain_contracts
from wisteriawood.contracts import holdings
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import commits
from wisteriawood.links import messages
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import cancellations
from wisteriawood.machines import grantors
from wisteriawood.machines import leases
from wisteriawood.machines import placers
from wisteriawood.machines import rack_managers
from wisteriawood.machines import racks
from wisteriawood.machines import reconciliations
from wisteriawood.machines import transitions
from wisteriawood.machines import workers
from wisteriawood.policies.placement import base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans
from wisteriawood.zones import configuration_followers
from wisteriawood.zones import drains
from wisteriawood.zones import membership
from wisteriawood.zones import peering

RECONCILE_PERIOD_S = 1.0
MAX_WAITING_REASONS = 100
# Minimum pause between two reconciliations of a worker, so that one
# inventory call covers many starts.
RECONCILE_PAUSE_S = 0.1
# Time limit at shutdown for releasing the racks.
RELEASE_MAX_S = 5.0
# Time limit of each step that follows: extending the leases on racks that
# were not released, and publishing the final state.
SHUTDOWN_STEP_MAX_S = 3.0

_LOG = events.Logger(name=__name__)


class Scheduler:
    """Holds racks of a zone, runs tasks there and grants targets' slots.

    Args:
        platform: Link to the platform.
        member: Member row of this scheduler.
        counters: Metrics of the daemon.
        rng: Random number generator.
        tracer: Creates the trace spans.
        dial_worker: Opens the link to the worker at an address.
        dial_peer: Opens the channel to the peer at an address.
        policy: Name of the placement policy.
    """

    __slots__ = (
        "_dial_worker",
        "_group",
        "canceller",
        "commits",
        "configuration",
        "counters",
        "drains",
        "grantor",
        "membership",
        "peering",
        "placer",
        "platform",
        "rack_holders",
        "rack_manager",
        "racks",
        "stopped",
        "stopping",
        "tracer",
    )

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        member: holdings.MemberRow,
        counters: metrics.SchedulerMetrics,
        rng: random.Random,
        tracer: spans.Tracer,
        dial_worker=worker_links.HttpWorker,
        dial_peer=peers.connect,
        policy: str = base.DEFAULT,
    ):
        self.platform = platform
        self.counters = counters
        self.tracer = tracer
        self.membership = membership.Membership(platform=platform, own=member)
        self.peering = peering.Peering(
            members=self.membership, machine=self, dial_peer=dial_peer
        )
        self.configuration = configuration_followers.Follower(
            platform=platform, links=self.peering
        )
        self.drains = drains.Drains(
            platform=platform, kind=drain_contracts.DrainKind.WORKER
        )
        self.commits = commits.GroupCommit(
            platform=platform, counters=counters
        )
        self.racks: dict[str, racks.Rack] = {}
        self.rack_holders: set[str] = set()
        self.placer = placers.Placer(scheduler=self, rng=rng, policy=policy)
        self.rack_manager = rack_managers.RackManager(
            scheduler=self, dial_peer=dial_peer
        )
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self.grantor = grantors.Grantor(
            members=self.membership,
            held=self.racks,
            stopping=self.stopping,
            on_slowdown=self.placer.observe_latency,
            dial_peer=dial_peer,
        )
        self.canceller = cancellations.Canceller(scheduler=self)
        self._dial_worker = dial_worker
        self._group: abc.TaskGroup | None = None

    @property
    def zone(self) -> str:
        """Availability zone of the scheduler."""
        return self.membership.own.zone

    def unready_reason(self) -> str:
        """Return why the scheduler is not ready; empty if it is."""
        if self.stopping.is_set():
            return "draining"
        if self.configuration.unready_reason():
            return self.configuration.unready_reason()
        if not self.membership.holds_term():
            return "the term is not held: the platform has not confirmed it"
        return ""

    def has_authority(self, rack: racks.Rack) -> bool:
        """Return whether a rack is certainly held by this scheduler.

        Only then may the scheduler assign, start, stop or requeue the tasks
        of the rack.

        The scheduler's term must be in force, and the rack's row must have
        been read since that term began: while the term was interrupted,
        another scheduler may have claimed the rack.

        Args:
            rack: The rack.
        """
        return (
            not self.stopping.is_set()
            and self.membership.holds_term()
            and rack.verified_term_start_s is not None
            and rack.verified_term_start_s
            == self.membership.term.unbroken_since_s()
            and self.racks.get(rack.holding.rack) is rack
        )

    async def run(self) -> None:
        """Run the scheduler until the daemon stops."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.membership.run)
            group.start_soon(self.peering.run)
            group.start_soon(self.configuration.run)
            group.start_soon(self.drains.run)
            group.start_soon(self.commits.run)
            async with anyio.create_task_group() as control_loops:
                self._group = control_loops
                control_loops.start_soon(self.grantor.run)
                control_loops.start_soon(self.rack_manager.run)
                control_loops.start_soon(self.placer.run)
                control_loops.start_soon(self.canceller.run)
                await self.stopping.wait()
                control_loops.cancel_scope.cancel()
            with anyio.move_on_after(RELEASE_MAX_S):
                await self.rack_manager.release()
            group.cancel_scope.cancel()
        await self._finish_shutdown()
        self.stopped.set()

    async def _finish_shutdown(self) -> None:
        """Extend leases on racks not released, then publish state GONE."""
        with anyio.move_on_after(SHUTDOWN_STEP_MAX_S):
            async with anyio.create_task_group() as group:
                for rack in self.racks.values():
                    for worker in rack.workers.values():
                        group.start_soon(self._extend_leases, rack, worker)
        with anyio.move_on_after(SHUTDOWN_STEP_MAX_S):
            self.membership.own.state = holdings.HostState.GONE
            with contextlib.suppress(errors.PlatformError):
                await self.membership.renew()

    async def _extend_leases(
        self, rack: racks.Rack, worker: workers.Worker
    ) -> None:
        running = [
            placement
            for placement in worker.placements.values()
            if placement.task.state == tasks.TaskState.RUNNING
        ]
        with contextlib.suppress(errors.LinkError):
            await leases.renew(self, rack, worker, running=running)

    def add_worker(
        self,
        rack: racks.Rack,
        name: str,
        address: str,
        capacity: resources.Resources,
    ) -> workers.Worker:
        """Add a worker and start the task that reconciles it.

        Args:
            rack: Rack of the worker, held by this scheduler.
            name: Name of the worker.
            address: Address of the worker, as host:port.
            capacity: Resources of the worker, if known.
        """
        worker = workers.Worker(
            name=name,
            rack=rack.holding.rack,
            address=address,
            capacity=capacity,
            link=self._dial_worker(address=address),
        )
        rack.workers[name] = worker
        self._group.start_soon(self._reconcile_forever, rack, worker)
        return worker

    async def _reconcile_forever(
        self, rack: racks.Rack, worker: workers.Worker
    ) -> None:
        """Reconcile one worker, periodically and whenever it is woken."""
        while (
            self.racks.get(rack.holding.rack) is rack
            and rack.workers.get(worker.name) is worker
        ):
            wakeup = worker.wakeup
            try:
                await reconciliations.reconcile(self, rack, worker)
            except errors.LinkError as exc:
                if worker.is_connected:
                    _LOG.log(
                        events.WORKER_LOST,
                        worker=worker.name,
                        reason=str(exc),
                    )
                worker.is_connected = False
            except errors.PlatformError:
                pass
            await anyio.sleep(RECONCILE_PAUSE_S)
            with anyio.move_on_after(RECONCILE_PERIOD_S):
                await wakeup.wait()
        await worker.link.aclose()

    async def assign(
        self, worker: workers.Worker, placement: workers.Placement
    ) -> None:
        """Commit an assignment; the next reconciliation starts the task.

        Args:
            worker: The worker; the placement already uses its resources.
            placement: The placement of the waiting task.
        """
        task_id = placement.task.spec.id
        if worker.placements.get(task_id) is not placement:
            # The task is already on this worker: the queue was read before
            # its assignment was committed.
            return
        rack = self.racks.get(worker.rack)
        try:
            if rack is None or not self.has_authority(rack):
                raise errors.TransactionConflictError("the rack is not held")
            with self.tracer.span(
                "assign", task=task_id, worker=worker.name
            ) as placement.traceparent:
                await transitions.assign(self, rack, worker, placement)
        except errors.PlatformError:
            worker.remove(task_id)
            return
        self.counters.placements.inc()
        _LOG.log(events.TASK_ASSIGNED, task=task_id, worker=worker.name)
        worker.wake()

    async def serve_peer(self, channel: channels.Channel) -> None:
        """Serve the link to a peer until it is closed.

        Args:
            channel: Channel to the peer.

        Raises:
            LinkError: The link failed.
        """
        hello = await channel.receive()
        if hello.topic == messages.Topic.PEER:
            return await self.peering.serve_after_hello(hello, channel)
        await self.grantor.serve(hello, channel)

    def _waiting_reasons(self) -> dict[str, str]:
        """Return why the longest-waiting tasks wait, by task id."""
        longest = sorted(
            self.placer.pending.items(), key=lambda item: item[1].since_s
        )
        return {
            task: self.placer.explain(task)
            for task, _waiting in longest[:MAX_WAITING_REASONS]
        }

    def status(self) -> dict[str, typing.Any]:
        """Return the status of this scheduler for operators."""
        return {
            "member": self.membership.own,
            "ready": self.unready_reason() or "ready",
            "config_version": self.configuration.version,
            "pending": len(self.placer.pending),
            "waiting": self._waiting_reasons(),
            "racks": [
                {
                    "rack": rack.holding.rack,
                    "epoch": rack.holding.epoch,
                    "workers": [
                        {
                            "worker": worker.name,
                            "known": worker.is_connected,
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
