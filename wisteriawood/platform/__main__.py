"""Entry point of a job host on the users' platform."""

import contextlib
import functools
import math
import signal
import sys
import time

import anyio

import wisteriawood
from wisteriawood import errors
from wisteriawood.links import body_budgets
from wisteriawood.links import channels
from wisteriawood.links import client_refusals
from wisteriawood.links import connections
from wisteriawood.links import http_servers
from wisteriawood.links import runners
from wisteriawood.links import sockets
from wisteriawood.machines import host_limits
from wisteriawood.machines import intakes
from wisteriawood.machines import job_hosts
from wisteriawood.platform import configuration_followers
from wisteriawood.platform import fronts
from wisteriawood.platform import settings
from wisteriawood.platform import store_client
from wisteriawood.platform import worker_client
from wisteriawood.platform import worker_followers
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import lines

_LOG = events.Logger(name=__name__)
# Longest lease of a worker, which the holder of its cell renews. With a longer
# one, runs would survive a slower change of holder. That gains less than it
# costs: the runs of a lost worker are known to have ended only once its lease
# has expired.
MAX_LEASE_S = 6.0
# Least age of the directory and of the cancellations up to which tasks are
# started: more than both reach between two polls on a busy host.
MIN_STORE_VIEW_AGE_S = 0.8
# Heartbeats after which the directory removes the entry of a silent worker.
EXPIRY_HEARTBEATS = 3
# Time for the balancer to detect that the host is no longer ready.
DRAIN_NOTICE_S = 1.2
# Share of the grace period for which requests in flight are awaited.
DRAIN_GRACE_SHARE = 0.8
# Additional time for which ended jobs are retained, as clocks differ.
RETENTION_MARGIN_S = 30.0


class PlatformDaemon:
    """Connects a job host to the platform's callers, store and workers.

    Args:
        config: Settings of the host.
    """

    __slots__ = (
        "_body_bytes",
        "_budget",
        "_configuration",
        "_front",
        "_host",
        "_intake",
        "_refusals",
        "_server",
        "_server_closed",
        "_stopping",
        "_store",
        "_workers",
        "config",
    )

    def __init__(self, *, config: settings.Settings):
        self.config = config
        self._store = store_client.TableStore(address=config.platform.address)
        self._host = job_hosts.JobHost(
            name=config.node_name,
            zone=config.zone,
            zones=config.zones,
            store=self._store,
            dial=_dial,
            limits=_host_limits(config),
            backfill_policy=config.policies.backfill,
            ordering=config.policies.ordering,
            cores=config.limits.cpu_share * config.limits.cores,
            process_age_s=time.monotonic() - wisteriawood.STARTED_AT_S,
            dial_host=_dial_host,
        )
        self._intake = intakes.Intake(host=self._host)
        self._refusals = client_refusals.ClientRefusals(
            count=self._host.counters.count_client_refusal
        )
        self._body_bytes = config.serving.body_bytes(config.limits.memory_mb)
        self._budget = body_budgets.BodyBudget(
            capacity_bytes=self._body_bytes,
            on_refusal=functools.partial(
                self._refusals.record, client_refusals.BUDGET
            ),
        )
        self._front = fronts.Front(
            host=self._host,
            intake=self._intake,
            budget=self._budget,
            on_refusal=self._refusals.record,
        )
        self._server = http_servers.HttpServer(
            app=self._front,
            limits=config.serving,
            on_refusal=self._refusals.record,
        )
        self._host.counters.watch_clients(
            bodies=self._budget.bodies,
            body_bytes=lambda: self._budget.held_bytes,
            connections={
                state.value: functools.partial(self._server.count, state)
                for state in connections.State
            },
        )
        self._configuration = configuration_followers.ConfigurationFollower(
            host=self._host, on_change=self._adopt_body_limit
        )
        self._workers = worker_followers.WorkerFollower(host=self._host)
        self._stopping = anyio.Event()
        self._server_closed = anyio.Event()

    def _adopt_body_limit(self, max_bytes: int) -> None:
        self._front.max_body_bytes = max_bytes
        # One body within the limit is served, however little the memory.
        self._budget.capacity_bytes = max(self._body_bytes, max_bytes)
        self._workers.update()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                await self._drain()
                return

    def _reload(self) -> None:
        try:
            self.config = settings.load()
        except errors.SettingsError as exc:
            _LOG.log(
                job_events.SETTINGS_RELOADED, is_good=False, cause=str(exc)
            )
            return
        _LOG.log(job_events.SETTINGS_RELOADED, is_good=True)

    async def _drain(self) -> None:
        _LOG.log(events.DAEMON_DRAINING, name=self.config.node_name)
        await self._host.drain()
        await anyio.sleep(DRAIN_NOTICE_S)
        self._stopping.set()
        with anyio.move_on_after(
            self.config.bounds.grace_s * DRAIN_GRACE_SHARE
        ):
            await self._server_closed.wait()

    async def _serve(self) -> None:
        listen = self.config.listen_addrs
        serving = self.config.serving
        limits = self.config.limits
        addresses = {
            listen.front: serving.caller_connections(
                limits.memory_mb, limits.max_fds
            ),
            listen.ready: serving.max_ready_connections,
        }
        try:
            await self._server.serve_until(addresses, self._stopping)
        except Exception as exc:
            _LOG.log(
                events.DAEMON_FAILED,
                name=self.config.node_name,
                cause=f"can't serve on {listen.front}, {listen.ready}: "
                f"{exc!r}",
            )
            with anyio.move_on_after(DRAIN_NOTICE_S):
                await self._host.drain()
            raise
        self._server_closed.set()

    async def _serve_hosts(self) -> None:
        """Answer other hosts on an internal port, if there is one."""
        address = self.config.internal_address()
        if not address:
            return
        host = self._host

        def _publish() -> None:
            host.members.address = address

        await sockets.serve(
            address=address,
            handler=host.hold_answers.serve,
            on_listening=_publish,
            on_error=functools.partial(
                host.supervisor.record, "host link", self.config.node_name
            ),
        )

    async def run(self) -> None:
        """Run until the platform sends SIGTERM or SIGINT."""
        writer = lines.log_to_output(fields={"host": self.config.node_name})
        _LOG.log(events.DAEMON_STARTED, name=self.config.node_name)
        async with anyio.create_task_group() as group:
            group.start_soon(self._serve)
            for kind, function in (
                ("log writer", writer.run),
                ("host", self._host.run),
                ("intake", self._intake.run),
                ("configuration feed", self._configuration.run),
                ("worker feed", self._workers.run),
                ("host links", self._serve_hosts),
                ("client refusals", self._refusals.run),
            ):
                group.start_soon(
                    self._host.supervisor.run,
                    kind,
                    self.config.node_name,
                    function,
                )
            await self._watch_signals()
            _LOG.log(events.DAEMON_STOPPED, name=self.config.node_name)
            group.cancel_scope.cancel()


def _host_limits(config: settings.Settings) -> host_limits.HostLimits:
    bounds = config.bounds
    return host_limits.HostLimits(
        lease_s=min(MAX_LEASE_S, bounds.hold_max_ms / 1000),
        longest_lease_s=bounds.hold_max_ms / 1000,
        retention_s=bounds.status_s + RETENTION_MARGIN_S,
        max_directory_age_s=_max_view_age_s(bounds.drain_ms),
        directory_silence_s=EXPIRY_HEARTBEATS * config.heartbeat_ms / 1000,
        max_configuration_age_s=bounds.config_apply_ms / 1000,
        max_cancel_age_s=_max_view_age_s(bounds.cancel_ms),
        max_zone_drain_age_s=(
            math.inf
            if bounds.evacuate_ms is None
            else _max_view_age_s(bounds.evacuate_ms)
        ),
    )


def _max_view_age_s(bound_ms: float) -> float:
    """Return the age of a view of the store up to which starts are sent.

    Args:
        bound_ms: Time after a change in the store from which no start may
            reach a worker, in milliseconds.
    """
    return max(
        MIN_STORE_VIEW_AGE_S,
        bound_ms / 1000 - worker_client.START_TIMEOUT_S,
    )


def _dial(registration: runners.Registration) -> runners.RunLink:
    return worker_client.WorkerClient(registration=registration)


def _dial_host(
    address: str,
) -> contextlib.AbstractAsyncContextManager[channels.Channel]:
    return sockets.connect(address=address)


async def _run() -> None:
    await PlatformDaemon(config=settings.load()).run()


def main() -> None:
    """Run the job host that the settings file describes."""
    try:
        anyio.run(functools.partial(_run))
    except* (OSError, errors.SettingsError) as group:
        # The log has been written, or could not be opened yet.
        print(f"wisteriawood: {group.exceptions[0]}", file=sys.stderr)
        sys.exit(errors.WisteriawoodError.exit_code)


if __name__ == "__main__":
    main()
