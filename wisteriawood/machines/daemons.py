"""Daemon processes that run an entry host or a scheduler."""

import contextlib
import random
import signal
import typing
import uuid

import anyio
from anyio import abc

from wisteriawood.config import settings
from wisteriawood.contracts import holdings
from wisteriawood.links import body_budgets
from wisteriawood.links import callers
from wisteriawood.links import connections
from wisteriawood.links import http_servers
from wisteriawood.links import https
from wisteriawood.links import operators
from wisteriawood.links import peers
from wisteriawood.links import platforms
from wisteriawood.machines import entry_hosts
from wisteriawood.machines import schedulers
from wisteriawood.policies.placement import base as placement_base
from wisteriawood.policies.routing import base as routing_base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans

# Time for the load balancer to notice that the daemon is no longer ready.
DRAIN_NOTICE_S = 1.0
# Connections of callers of an entry daemon at a time, if it has the
# descriptors.
MAX_CALLER_CONNECTIONS = 4096

_LOG = events.Logger(name=__name__)


def max_caller_connections() -> int:
    """Return the number of connections of callers of an entry daemon."""
    return min(MAX_CALLER_CONNECTIONS, connections.share_of_fds(0))


def make_member(
    config: settings.Settings, role: holdings.Role
) -> holdings.MemberRow:
    """Return the member row for a newly started daemon.

    Args:
        config: Settings of the daemon.
        role: Role of the daemon.
    """
    return holdings.MemberRow(
        name=config.name,
        role=role,
        zone=config.zone,
        region=config.region,
        incarnation=uuid.uuid4().hex,
        peer_address=config.peer_address,
        operator_address=config.operator_address,
    )


async def _watch_signals(
    drain: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as caught:
        async for _signal in caught:
            await drain()
            return


@contextlib.asynccontextmanager
async def _daemon_lifecycle(
    config: settings.Settings,
    role: holdings.Role,
    drain: typing.Callable[[], typing.Awaitable[None]],
) -> typing.AsyncIterator[abc.TaskGroup]:
    if config.log_file:
        events.log_to_file(path=config.log_file)
    _LOG.log(events.DAEMON_STARTED, role=role, name=config.name)
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, drain)
        yield group
    _LOG.log(events.DAEMON_STOPPED, role=role, name=config.name)


class EntryDaemon:
    """An entry host with its caller, peer and operator servers.

    Args:
        config: Settings of the daemon.
    """

    __slots__ = ("_callers_done", "_callers_stopping", "config", "host")

    def __init__(self, *, config: settings.Settings):
        self.config = config
        self.host = entry_hosts.EntryHost(
            platform=platforms.HttpPlatform(url=config.platform_url),
            member=make_member(config, holdings.Role.ENTRY),
            counters=metrics.EntryMetrics(),
            tracer=spans.Tracer(
                service=f"entry/{config.name}", path=config.trace_file
            ),
            rng=random.Random(config.seed),
            policy=config.routing_policy or routing_base.DEFAULT,
            peer_addresses=config.peers,
        )
        self._callers_done = anyio.Event()
        self._callers_stopping = anyio.Event()

    async def drain(self) -> None:
        """Stop accepting requests, finish those in flight and exit."""
        _LOG.log(events.DAEMON_DRAINING, name=self.config.name)
        self.host.membership.own.state = holdings.HostState.DRAINING
        self.host.is_draining = True
        await anyio.sleep(DRAIN_NOTICE_S)
        self._callers_stopping.set()
        await self._callers_done.wait()
        self.host.stopping.set()
        await self.host.stopped.wait()

    async def _serve_callers(self) -> None:
        server = http_servers.HttpServer(
            app=callers.make_app(
                serve=self.host.serve,
                find_service=self.host.configuration.service,
                budget=body_budgets.BodyBudget(
                    capacity_bytes=callers.MAX_HELD_BYTES
                ),
            ),
            limits=connections.ServerLimits(),
        )
        await server.serve_until(
            {self.config.caller_address: max_caller_connections()},
            self._callers_stopping,
        )
        self._callers_done.set()

    async def run(self) -> None:
        """Run until the daemon is stopped."""
        host = self.host
        operator_app = operators.make_app(
            registry=host.counters.registry,
            unready_reason=host.unready_reason,
            status=host.status,
        )
        role = holdings.Role.ENTRY
        async with (
            _daemon_lifecycle(self.config, role, self.drain) as group,
            peers.serve(
                address=self.config.peer_address, handler=host.peering.serve
            ),
        ):
            group.start_soon(host.run)
            group.start_soon(self._serve_callers)
            group.start_soon(
                https.serve_until,
                operator_app,
                self.config.operator_address,
                host.stopped,
            )
            await host.stopped.wait()
        host.tracer.close()


async def run_entry(config: settings.Settings) -> None:
    """Run an entry daemon until it is stopped.

    Args:
        config: Settings of the daemon.
    """
    await EntryDaemon(config=config).run()


async def run_scheduler(config: settings.Settings) -> None:
    """Run a scheduler daemon until it is stopped.

    Args:
        config: Settings of the daemon.
    """
    counters = metrics.SchedulerMetrics()
    tracer = spans.Tracer(
        service=f"scheduler/{config.name}", path=config.trace_file
    )
    scheduler = schedulers.Scheduler(
        platform=platforms.HttpPlatform(url=config.platform_url),
        member=make_member(config, holdings.Role.SCHEDULER),
        counters=counters,
        rng=random.Random(config.seed),
        tracer=tracer,
        policy=config.placement_policy or placement_base.DEFAULT,
    )

    async def _drain() -> None:
        _LOG.log(events.DAEMON_DRAINING, name=config.name)
        scheduler.stopping.set()
        await scheduler.stopped.wait()

    operator_app = operators.make_app(
        registry=counters.registry,
        unready_reason=scheduler.unready_reason,
        status=scheduler.status,
        explain=scheduler.placer.explain,
    )
    async with _daemon_lifecycle(
        config, holdings.Role.SCHEDULER, _drain
    ) as group:
        async with peers.serve(
            address=config.peer_address, handler=scheduler.serve_peer
        ):
            group.start_soon(
                https.serve_until,
                operator_app,
                config.operator_address,
                scheduler.stopped,
            )
            await scheduler.run()
    tracer.close()
