"""Follows the workers' entries in the store for a job host."""

import math

import anyio

from wisteriawood import errors
from wisteriawood.links import feeds
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.platform import directory
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Pause between polls of the worker directory. Each worker writes its entry
# about once a second, and a draining worker must be detected within 2 s.
POLL_PAUSE_S = 0.4
# The same on a standby; claiming a cell triggers a poll at once.
STANDBY_POLL_PAUSE_S = 4.0
# Longest duration of one of these polls, so that a hung one is given up soon.
POLL_S = 0.5
# Age that the entries should not exceed on a holder: two polls and a pause. No
# task may start on a worker 2 s after it has reported that it drains.
MAX_ENTRY_AGE_S = 1.5
MAX_LOGGED_ID_LENGTH = 64


class _Entry:
    """An entry of the directory as it was last read.

    Args:
        version: Version of its row.
        worker: The worker that it describes; None if it can't be read.
    """

    __slots__ = ("version", "worker")

    def __init__(self, *, version: int, worker: runners.Registration | None):
        self.version = version
        self.worker = worker


class WorkerFollower:
    """Keeps a host's directory of workers up to date.

    It reads the directory only while the host needs it: what the workers
    write there is most of the bytes that the store sends. Each version of an
    entry is decoded once.

    Args:
        host: The host.

    Attributes:
        feed: Feed of the workers' entries.
    """

    __slots__ = (
        "_entries",
        "_fleet",
        "_host",
        "_misplaced",
        "_needed",
        "_scope",
        "feed",
    )

    def __init__(self, *, host: job_hosts.JobHost):
        self._host = host
        self._entries: dict[str, _Entry] = {}
        self._fleet: dict[str, runners.Registration] = {}
        # Readable entries of services that the configuration does not have.
        self._misplaced: set[str] = set()
        self._needed = anyio.Event()
        self._scope = anyio.CancelScope()
        self.feed = self._make_feed()
        host.directory_need.on_change = self._set_needed
        host.directory_need.on_claim = self._poll_now

    def _make_feed(self) -> feeds.Feed:
        host = self._host
        return feeds.Feed(
            store=host.store,
            table=directory.WORKER_TABLE,
            on_rows=self._process_rows,
            pause_s=self._pause_s,
            on_answer=self._confirm,
            wait_s=POLL_S,
            max_age_s=self._max_age_s,
            times=host.version_times,
            supervisor=host.supervisor,
        )

    async def run(self) -> None:
        """Follow the directory while the host needs it, until cancelled."""
        while True:
            await self._needed.wait()
            with anyio.CancelScope() as self._scope:
                await self.feed.run()
            self._forget()

    def _set_needed(self, is_needed: bool) -> None:
        _LOG.log(job_events.DIRECTORY_NEEDED, is_needed=is_needed)
        if is_needed:
            self._needed.set()
            return
        self._needed = anyio.Event()
        self._scope.cancel()

    def _poll_now(self) -> None:
        self.feed.poll_now()

    def _forget(self) -> None:
        """Forget the entries, which age while nobody reads them."""
        self._entries.clear()
        self._fleet = {}
        self._host.update_fleet({})
        self.feed = self._make_feed()

    def _pause_s(self) -> float:
        return (
            POLL_PAUSE_S if self._host.is_holding() else STANDBY_POLL_PAUSE_S
        )

    def _max_age_s(self) -> float:
        """Return the bound of a holder; a standby starts no task."""
        return MAX_ENTRY_AGE_S if self._host.is_holding() else math.inf

    def _process_rows(self, rows: list[stores.StoredRow]) -> None:
        has_changed = False
        for row in rows:
            former = self._entries.get(row.at.key)
            if row.value is None:
                self._record_removal(row)
                has_changed = has_changed or former is not None
                continue
            entry = self._read(row, row.value)
            self._entries[row.at.key] = entry
            # Most changes are heartbeats, which leave the worker equal.
            if former is None or former.worker != entry.worker:
                has_changed = True
        if has_changed:
            self.update()

    def _read(self, row: stores.StoredRow, value: bytes) -> _Entry:
        worker_id = row.at.key
        try:
            worker = directory.decode_worker(worker_id, value)
        except errors.MessageError as exc:
            self._host.counters.unreadable.labels(kind="worker entry").inc()
            _LOG.log(
                job_events.WORKER_ROW_UNREADABLE,
                worker=worker_id[:MAX_LOGGED_ID_LENGTH],
                version=row.version,
                cause=str(exc),
            )
            worker = None
        return _Entry(version=row.version, worker=worker)

    def _record_removal(self, removal: stores.StoredRow) -> None:
        former = self._entries.pop(removal.at.key, None)
        # An entry that can't be read shows nothing about its worker. Its runs
        # end by what the worker reports, or with its lease.
        if former is None or former.worker is None:
            return
        if not self._is_of_known_service(former.worker):
            return
        self._host.directory.record_removal(
            former.worker,
            self._host.version_times.longest_between_s(
                former.version, removal.version
            ),
        )

    def _is_of_known_service(self, worker: runners.Registration) -> bool:
        table = self._host.queues
        return (
            table is None
            or not table.services()
            or worker.service in table.services()
        )

    def _confirm(self) -> None:
        self._host.directory.confirm(
            self.feed.confirmed_at_s,
            [directory.short_worker_id(at.key) for at in self.feed.unverified],
        )

    def update(self) -> None:
        """Pass the workers on to the host if they have changed.

        Which entries name a worker depends on the configuration too.
        """
        fleet = {}
        misplaced = set()
        for worker_id, entry in self._entries.items():
            worker = entry.worker
            if worker is None:
                continue
            if self._is_of_known_service(worker):
                fleet[worker.worker_id] = worker
            else:
                misplaced.add(worker_id)
        for worker_id in misplaced - self._misplaced:
            _LOG.log(
                job_events.WORKER_ROW_UNREADABLE,
                worker=worker_id,
                cause="the configuration does not have its service",
            )
        self._misplaced = misplaced
        if fleet != self._fleet:
            self._fleet = fleet
            self._host.update_fleet(fleet)
