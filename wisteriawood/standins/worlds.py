"""A simulated cluster: platform, workers, targets and daemons."""

import contextlib
import functools
import random
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import holdings
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import platforms as platform_links
from wisteriawood.machines import entry_hosts
from wisteriawood.machines import schedulers
from wisteriawood.standins import platforms
from wisteriawood.standins import processes
from wisteriawood.standins import targets
from wisteriawood.standins import workers
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans


def _not_run_error(reason: str) -> Exception:
    return errors.RequestNotRunError(reason=reason)


def _unknown_error(reason: str) -> Exception:
    return errors.RequestUnknownError(reason=reason)


class World:
    """A platform, workers, targets and daemons simulated in one process.

    Args:
        group: Task group that runs all of them.
        seed: Seed of the random choices of the daemons.

    Attributes:
        calls: All calls over simulated links, as (caller, callee, method).
        cuts: Pairs of sender and receiver whose messages are lost.
        delays_s: Delays of messages in seconds, by sender and receiver.
        entries: Entry hosts, by member name.
        processes: Processes, by name or by worker address.
        schedulers: Schedulers, by member name.
        targets: Target stand-ins, by address.
        workers: Worker stand-ins, by address.
    """

    __slots__ = (
        "_group",
        "_handlers",
        "calls",
        "cuts",
        "delays_s",
        "entries",
        "platform",
        "processes",
        "schedulers",
        "seed",
        "targets",
        "workers",
    )

    def __init__(self, *, group: abc.TaskGroup, seed: int = 1):
        self._group = group
        self._handlers: dict[str, tuple[processes.Process, typing.Any]] = {}
        self.seed = seed
        self.calls: list[tuple[str, str, str]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.delays_s: dict[tuple[str, str], float] = {}
        self.platform = platforms.MemoryPlatform()
        self.processes: dict[str, processes.Process] = {}
        self.entries: dict[str, entry_hosts.EntryHost] = {}
        self.schedulers: dict[str, schedulers.Scheduler] = {}
        self.workers: dict[str, workers.StandinWorker] = {}
        self.targets: dict[str, targets.StandinTarget] = {}

    def start_soon(self, function, *args) -> None:
        """Run a function that survives the kill of a process."""
        self._group.start_soon(function, *args)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether messages from sender to receiver are lost."""
        return (sender, receiver) in self.cuts

    def is_dead(self, name: str) -> bool:
        """Return whether the process of that name was killed."""
        process = self.processes.get(name)
        return process is not None and not process.is_alive

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the delay of messages in seconds."""
        return self.delays_s.get((sender, receiver), 0.0)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two processes in both directions."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self, one: str, other: str) -> None:
        """Restore a link after a cut."""
        self.cuts -= {(one, other), (other, one)}

    def add_worker(self, host: platform_links.Host) -> workers.StandinWorker:
        """Start a worker and add it to the host list of the platform."""
        worker = workers.StandinWorker(
            name=host.name,
            capacity=host.capacity,
            objects=self.platform,
            serve_target=self._serve_target,
        )
        self.workers[host.address] = worker
        self.processes[host.address] = processes.Process(name=host.address)
        self.platform.put_host(host)
        self._group.start_soon(worker.run)
        return worker

    def kill_worker(self, address: str) -> None:
        """Kill a worker and all its attempts."""
        self.processes[address].kill()
        self.workers[address].forget_attempts()

    async def _serve_target(self, attempt: workers.Attempt) -> None:
        address = f"{attempt.spec.id}.{attempt.number}:1"
        self.targets[address] = targets.StandinTarget(
            name=attempt.spec.id, slots=attempt.spec.slots
        )
        attempt.address = address

    def add_target(
        self, host: platform_links.Host, *, service_s: float = 0.01
    ) -> targets.StandinTarget:
        """Add a target, and add it to the host list of the platform."""
        target = targets.StandinTarget(
            name=host.name, slots=host.slots, service_s=service_s
        )
        self.targets[host.address] = target
        self.platform.put_host(host)
        return target

    def _platform_for(self, process: processes.Process) -> typing.Any:
        return processes.FaultyLink(
            world=self,
            process=process,
            peer=processes.PLATFORM,
            inner=self.platform,
            make_not_run_error=errors.PlatformUnavailableError,
            make_unknown_error=errors.TransactionUnknownError,
        )

    def _dial_worker(
        self, process: processes.Process, *, address: str
    ) -> typing.Any:
        return processes.FaultyLink(
            world=self,
            process=process,
            peer=address,
            inner=self.workers[address],
            make_not_run_error=errors.LinkRefusedError,
            make_unknown_error=errors.LinkClosedError,
        )

    def _dial_target(
        self, process: processes.Process, *, address: str, connections: int
    ) -> typing.Any:
        return processes.FaultyLink(
            world=self,
            process=process,
            peer=address,
            inner=processes.MemoryTargetLink(
                group=self._group, target=self.targets[address]
            ),
            make_not_run_error=_not_run_error,
            make_unknown_error=_unknown_error,
        )

    @contextlib.asynccontextmanager
    async def _dial_peer(
        self, process: processes.Process, *, address: str
    ) -> typing.AsyncIterator[processes.FaultyChannel]:
        await process.thawed.wait()
        server, handler = self._handlers[address]
        if not server.is_alive:
            raise errors.LinkRefusedError("connection refused")
        if self.is_cut(process.name, server.name):
            await anyio.sleep(processes.CALL_TIMEOUT_S)
            raise errors.LinkClosedError("no answer")
        near, far = channels.memory_pair()
        self._group.start_soon(
            self._serve_peer, server, process.name, handler, far
        )
        try:
            yield processes.FaultyChannel(
                world=self, process=process, peer=server.name, inner=near
            )
        finally:
            await near.aclose()

    async def _serve_peer(
        self,
        server: processes.Process,
        client: str,
        handler: typing.Any,
        inner: channels.MemoryChannel,
    ) -> None:
        channel = processes.FaultyChannel(
            world=self, process=server, peer=client, inner=inner
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_when_killed, server, group.cancel_scope
                )
                with contextlib.suppress(errors.LinkError):
                    await handler(channel)
                group.cancel_scope.cancel()
        finally:
            await inner.aclose()

    async def _cancel_when_killed(
        self, process: processes.Process, scope: anyio.CancelScope
    ) -> None:
        while process.is_alive:
            await anyio.sleep(0.5)
        scope.cancel()

    async def _run(
        self, process: processes.Process, machine: typing.Any
    ) -> None:
        with process.scope:
            await machine.run()

    def add_scheduler(
        self, member: holdings.MemberRow
    ) -> schedulers.Scheduler:
        """Start a scheduler daemon."""
        process = processes.Process(name=f"scheduler/{member.name}")
        self.processes[process.name] = process
        scheduler = schedulers.Scheduler(
            platform=self._platform_for(process),
            member=member,
            counters=metrics.SchedulerMetrics(),
            rng=random.Random(self.seed),
            tracer=spans.Tracer(service=process.name),
            dial_worker=functools.partial(self._dial_worker, process),
            dial_peer=functools.partial(self._dial_peer, process),
        )
        self.schedulers[member.name] = scheduler
        self._handlers[member.peer_address] = (process, scheduler.serve_peer)
        self._group.start_soon(self._run, process, scheduler)
        return scheduler

    def add_entry(
        self,
        member: holdings.MemberRow,
        *,
        peer_addresses: typing.Sequence[str] = (),
    ) -> entry_hosts.EntryHost:
        """Start an entry daemon.

        Args:
            member: Member row of the daemon.
            peer_addresses: Addresses of additional peers to connect to.
        """
        process = processes.Process(name=f"entry/{member.name}")
        self.processes[process.name] = process
        entry = entry_hosts.EntryHost(
            platform=self._platform_for(process),
            member=member,
            counters=metrics.EntryMetrics(),
            tracer=spans.Tracer(service=process.name),
            rng=random.Random(self.seed),
            dial_peer=functools.partial(self._dial_peer, process),
            dial_target=functools.partial(self._dial_target, process),
            peer_addresses=peer_addresses,
        )
        self.entries[member.name] = entry
        self._handlers[member.peer_address] = (process, entry.peering.serve)
        self._group.start_soon(self._run, process, entry)
        return entry
