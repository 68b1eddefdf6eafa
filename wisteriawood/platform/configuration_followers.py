"""Follows what the operator writes into the store for a job host."""

import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.platform import directory
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Longest poll. Between two answers the configuration is never older than
# config_apply_ms, 2 s.
POLL_S = 1.5
# Time after which a read of the whole table counts although it could not be
# checked. Known drains are used for longer (host_limits.py), so starts go on.
CHECK_TIMEOUT_S = 1.0


class ConfigurationFollower:
    """Keeps the queues and the drained zones of a host up to date.

    Args:
        host: The host.
        on_change: Called after each version that can be decoded, with the
            size in bytes above which a request's body is refused.

    Attributes:
        feed: Feed of what the operator writes.
    """

    __slots__ = ("_checked_reads", "_host", "_on_change", "_wakeup", "feed")

    def __init__(
        self,
        *,
        host: job_hosts.JobHost,
        on_change: typing.Callable[[int], None],
    ):
        self._host = host
        self._on_change = on_change
        # Number of the last read of the whole table that may be relied on.
        self._checked_reads = 0
        self._wakeup = anyio.Event()
        self.feed = feeds.Feed(
            store=host.store,
            table=directory.OPERATOR_TABLE,
            on_rows=self._process_rows,
            wait_s=POLL_S,
            max_age_s=lambda: host.limits.max_configuration_age_s,
            supervisor=host.supervisor,
            on_answer=self._confirm,
        )
        host.configuration_feed = self.feed

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with anyio.create_task_group() as group:
            if self._host.zone_drains.is_enabled():
                group.start_soon(self._check_reads_forever)
            await self.feed.run()

    def _confirm(self) -> None:
        if (
            self._host.zone_drains.is_enabled()
            and self._checked_reads != self.feed.table_reads
        ):
            self._wakeup.set()
            return
        self._host.drain_requests.confirm(self.feed.confirmed_at_s)

    async def _check_reads_forever(self) -> None:
        """Find the requests that reads of the whole table have missed.

        Such a read may be stale after a loss of history, and what it misses
        does not appear in the feed later.
        """
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            reads = self.feed.table_reads
            try:
                with anyio.move_on_after(CHECK_TIMEOUT_S):
                    await self._read_requests()
            except Exception as exc:
                # The read counts, as after the timeout.
                self._host.supervisor.record("rows", "zone drains", exc)
            self._checked_reads = reads
            self._confirm()

    async def _read_requests(self) -> None:
        """Read the requests for all zones as they are now."""
        while True:
            try:
                found = await stores.read_current(
                    self._host.store,
                    [
                        directory.evacuation_row(zone)
                        for zone in self._host.zones
                    ],
                )
            except errors.PlatformError:
                await anyio.sleep(feeds.RETRY_DELAY_S)
                continue
            self.feed.add_rows(list(found.values()))
            return

    def _process_rows(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            zone = directory.find_evacuated_zone(row.at)
            if zone is not None:
                self._host.drain_requests.record(
                    zone, is_requested=row.value is not None
                )
                continue
            if row.at.key != directory.CONFIGURATION_KEY or not row.value:
                continue
            try:
                table, max_bytes = directory.decode_configuration(row.value)
            except errors.MessageError as exc:
                unreadable = self._host.counters.unreadable
                unreadable.labels(kind="configuration").inc()
                _LOG.log(job_events.CONFIGURATION_UNREADABLE, cause=str(exc))
                continue
            self._host.adopt_queues(table)
            self._on_change(max_bytes)
