"""Runs a job host on the users' platform."""

import functools
import signal

import anyio

from wisteriawood import errors
from wisteriawood.links import feeds
from wisteriawood.links import https
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.machines import intakes
from wisteriawood.machines import job_hosts
from wisteriawood.platform import directory
from wisteriawood.platform import fronts
from wisteriawood.platform import settings
from wisteriawood.platform import store_client
from wisteriawood.platform import worker_client
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import lines

_LOG = events.Logger(name=__name__)
# Longest lease asked for; a longer one delays the proof that a worker's
# runs are over more than it helps them to outlive a change of holder.
LEASE_S = 6.0
# Rest of the feed of workers: each of them writes its entry every second or
# so, and a draining one has to be known within two.
WORKERS_PAUSE_S = 0.4
# The same on a host that holds no cell, and reads them once it claims one.
IDLE_PAUSE_S = 4.0
# Time in which the balancer sees that the host is not ready any more.
DRAIN_NOTICE_S = 1.2
# Part of the grace after which requests in flight are no longer awaited.
DRAIN_SHARE = 0.8
# Further time for which ended jobs are kept, for clocks that differ.
KEEP_MARGIN_S = 30.0


class PlatformDaemon:
    """A job host between the platform's callers, store and workers.

    Args:
        config: Settings of the host.
    """

    __slots__ = (
        "_fleet",
        "_front",
        "_host",
        "_intake",
        "_rows",
        "_served",
        "_stopping",
        "_store",
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
            lease_s=min(LEASE_S, config.bounds.hold_max_ms / 1000),
            retention_s=config.bounds.status_s + KEEP_MARGIN_S,
            cores=config.limits.cpu_share * config.limits.cores,
        )
        self._intake = intakes.Intake(host=self._host)
        self._front = fronts.Front(host=self._host, intake=self._intake)
        self._rows: dict[str, stores.StoredRow] = {}
        self._fleet: dict[str, runners.Registration] = {}
        self._stopping = anyio.Event()
        self._served = anyio.Event()

    def _take_operator(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            if row.at.key != directory.CONFIGURATION_KEY or not row.value:
                continue
            try:
                table, max_bytes = directory.decode_configuration(row.value)
            except errors.MessageError as exc:
                _LOG.log(job_events.CONFIGURATION_UNREADABLE, cause=str(exc))
                continue
            self._front.max_body_bytes = max_bytes
            self._host.adopt_queues(table)
            self._read_workers()

    def _take_workers(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            if row.value is None:
                self._rows.pop(row.at.key, None)
            else:
                self._rows[row.at.key] = row
        self._read_workers()

    def _read_workers(self) -> None:
        table = self._host.queues
        services = table.services() if table else set()
        fleet = {}
        for worker_id, row in self._rows.items():
            try:
                fleet[worker_id] = directory.decode_worker(
                    worker_id, row.value or b"", services
                )
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.WORKER_ROW_UNREADABLE,
                    worker=worker_id,
                    cause=str(exc),
                )
        if fleet != self._fleet:
            self._fleet = fleet
            self._host.use_fleet(fleet)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as caught:
            async for number in caught:
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
        with anyio.move_on_after(self.config.bounds.grace_s * DRAIN_SHARE):
            await self._served.wait()

    async def _serve(self) -> None:
        listen = self.config.listen_addrs
        await https.serve_until(
            self._front, [listen.front, listen.ready], self._stopping
        )
        self._served.set()

    def _workers_pause_s(self) -> float:
        return WORKERS_PAUSE_S if self._host.is_holding() else IDLE_PAUSE_S

    async def run(self) -> None:
        """Run until the platform stops the process."""
        writer = lines.log_to_output(fields={"host": self.config.node_name})
        _LOG.log(events.DAEMON_STARTED, name=self.config.node_name)
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            group.start_soon(self._serve)
            group.start_soon(self._host.run)
            group.start_soon(self._intake.run)
            for table, take, pause_s in (
                (directory.OPERATOR_TABLE, self._take_operator, None),
                (
                    directory.WORKER_TABLE,
                    self._take_workers,
                    self._workers_pause_s,
                ),
            ):
                feed = feeds.Feed(
                    store=self._store, table=table, take=take, pause_s=pause_s
                )
                if table == directory.WORKER_TABLE:
                    self._host.on_claim = feed.poll_now
                group.start_soon(feed.run)
            await self._watch_signals()
            _LOG.log(events.DAEMON_STOPPED, name=self.config.node_name)
            group.cancel_scope.cancel()


def _dial(registration: runners.Registration) -> runners.RunLink:
    return worker_client.WorkerClient(registration=registration)


async def _run() -> None:
    await PlatformDaemon(config=settings.load()).run()


def main() -> None:
    """Run the host that the settings file describes."""
    anyio.run(functools.partial(_run))


if __name__ == "__main__":
    main()
