"""Follows a table of the store: reads all rows, then polls for changes."""

import collections
import math
import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import clocks
from wisteriawood.links import store_contacts
from wisteriawood.links import stores
from wisteriawood.links import version_times
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Duration of a poll without changes.
LONG_POLL_S = 2.0
# Time that a call takes at most as a rule, and shortest poll where the bound
# of the age leaves less.
CALL_S = 0.1
MIN_POLL_S = 0.1
# Times after a loss of history at which the whole table is read again. The
# read right after the loss may return rows that are seconds old, and the
# changes that it misses do not appear in the feed later. An audit may be as
# stale; the last one comes after twice the staleness seen.
AUDIT_DELAYS_S = (1.0, 3.0, 7.0, 15.0)
# The same after the first read: the history may have been lost just before.
FIRST_AUDIT_DELAYS_S = AUDIT_DELAYS_S[1:]
# Time for which the version of a removed row is remembered, so that a stale
# read does not restore the row.
TOMBSTONE_RETENTION_S = 60.0
# Time to catch up with the changes of a table from which it is logged.
SLOW_CATCH_UP_S = 1.0
# Least time from the beginning of a failed try to the next one.
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5


class Feed:
    """Follows one table.

    Args:
        store: The store.
        table: The table.
        on_rows: Called with the rows that are newer than those received
            before for the same keys; the first call gets the whole table.
        pause_s: Returns the seconds to pause between polls, so that
            changes accumulate; None polls without a pause.
        on_answer: Called after each answer, once its rows are processed.
        start: Whole table, read before, from which to follow; None to read
            the table first.
        wait_s: Longest duration of one poll.
        max_age_s: Returns the age that the rows should not exceed while the
            store answers; infinite for no bound.
        times: Records the answers of the store; None for no record.
        supervisor: Records unexpected errors; None to only log them.

    Attributes:
        activity: What the feed is doing.
        activity_since_s: Monotonic time since which it is doing it.
        answered_at_s: Monotonic time of the last answer; 0 before the first.
        confirmed_at_s: Time of clocks.elapsed_s as of which the rows are
            known to be current: that at which the last poll with a complete
            answer or the first read was sent, or at which a poll without
            changes ended; 0 before the first.
        failures: Number of reads and polls that have failed since the last
            answer.
        is_reading_table: Whether the rows that are passed on may be older
            than the last poll: they come from a read of the whole table, or
            they are passed on once more.
        max_age_s: Returns the age that the rows should not exceed while the
            store answers.
        is_caught_up: Whether the last answer to a poll had all changes. If
            not, the next poll follows without a pause.
        table: The table.
        table_reads: Number of reads of the whole table from which the feed
            has begun to follow.
        unverified: Keys of rows that were read with the whole table and may
            be older than `confirmed_at_s`, as that read may have been stale.
            A change that the feed reports verifies its row, and the last
            audit verifies all rows.
        unbroken_since_s: Monotonic time of the first answer since the last
            failure; 0 if there is none.
    """

    __slots__ = (
        "_after",
        "_audit_delays_s",
        "_audits_at_s",
        "_backoffs",
        "_behind_since_s",
        "_failed_rows",
        "_on_answer",
        "_on_rows",
        "_pause_s",
        "_started_at_s",
        "_store",
        "_supervisor",
        "_times",
        "_tombstones",
        "_versions",
        "_wait_s",
        "_wakeup",
        "activity",
        "activity_since_s",
        "answered_at_s",
        "confirmed_at_s",
        "failures",
        "is_caught_up",
        "is_reading_table",
        "max_age_s",
        "table",
        "table_reads",
        "unbroken_since_s",
        "unverified",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        table: str,
        on_rows: typing.Callable[[list[stores.StoredRow]], None],
        pause_s: typing.Callable[[], float] | None = None,
        on_answer: typing.Callable[[], None] = lambda: None,
        start: stores.Page | None = None,
        wait_s: float = LONG_POLL_S,
        max_age_s: typing.Callable[[], float] = lambda: math.inf,
        times: version_times.VersionTimes | None = None,
        supervisor: supervision.Supervisor | None = None,
    ):
        self._store = store
        self._supervisor = supervisor or supervision.Supervisor()
        self._times = times or version_times.VersionTimes()
        self._on_answer = on_answer
        self._on_rows = on_rows
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._after: int | None = None
        # Rows whose processing failed, with the time of the next attempt.
        self._failed_rows: dict[
            stores.RowKey, tuple[float, stores.StoredRow]
        ] = {}
        self._backoffs: dict[stores.RowKey, supervision.Backoff] = {}
        self._audit_delays_s = FIRST_AUDIT_DELAYS_S
        self._audits_at_s: list[float] = []
        self._wakeup = anyio.Event()
        self._versions: dict[stores.RowKey, int] = {}
        self.unverified: set[stores.RowKey] = set()
        self._tombstones: collections.deque[
            tuple[float, stores.RowKey, int]
        ] = collections.deque()
        self.table = table
        self.table_reads = 0
        self.max_age_s = max_age_s
        self._started_at_s = clocks.elapsed_s()
        self.activity = store_contacts.Activity.READ
        self.activity_since_s = anyio.current_time()
        self.failures = 0
        self.answered_at_s = 0.0
        self.confirmed_at_s = 0.0
        self.is_caught_up = True
        self.is_reading_table = True
        self._behind_since_s = 0.0
        self.unbroken_since_s = 0.0
        if start is not None:
            self._versions.update((row.at, row.version) for row in start.rows)
            self._follow(start)

    def age_s(self) -> float:
        """Return the age of the newest confirmed read, in seconds.

        Before the first one it is the time since the feed was created.
        """
        known_at_s = max(self.confirmed_at_s, self._started_at_s)
        return clocks.elapsed_s() - known_at_s

    async def run(self) -> None:
        """Follow the table until cancelled."""
        feeds = self._store.contact.feeds
        feeds.append(self)
        try:
            await self._follow_forever()
        finally:
            feeds.remove(self)

    def _begin(self, activity: store_contacts.Activity) -> None:
        self.activity = activity
        self.activity_since_s = anyio.current_time()

    async def _follow_forever(self) -> None:
        delay_s = RETRY_DELAY_S
        while True:
            tried_at_s = anyio.current_time()
            try:
                may_pause = await self._read_next()
            except stores.HistoryLostError:
                _LOG.log(job_events.FEED_RESTARTED, table=self.table)
                self._times.clear()
                self._after = None
                self._audit_delays_s = AUDIT_DELAYS_S
                self.unverified = set(self._versions)
                self._on_answer()
                continue
            except errors.PlatformError as exc:
                self._record_failure(exc)
                self._begin(store_contacts.Activity.RETRY)
                await self._store.contact.wait_to_retry(tried_at_s + delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            if self.failures:
                _LOG.log(job_events.FEED_FOUND, table=self.table)
            self.failures = 0
            delay_s = RETRY_DELAY_S
            if self._pause_s is not None and may_pause:
                self._begin(store_contacts.Activity.PAUSE)
                with anyio.move_on_after(self._pause_s()):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()

    def _record_failure(self, cause: errors.PlatformError) -> None:
        if not self.failures:
            _LOG.log(job_events.FEED_LOST, table=self.table, cause=str(cause))
        self.failures += 1
        self.unbroken_since_s = 0.0
        self._times.clear()

    def add_rows(self, rows: list[stores.StoredRow]) -> None:
        """Apply rows that were read in another way.

        Args:
            rows: The rows.
        """
        self._apply_page(stores.Page(rows=rows, version=0))

    def poll_now(self) -> None:
        """End the pause between polls, so that the next poll starts now."""
        self._wakeup.set()

    async def _read_next(self) -> bool:
        """Read once; return whether a pause may follow.

        None follows an incomplete answer, or an audit, which took the place
        of a poll.
        """
        now_s = anyio.current_time()
        sent_at_s = clocks.elapsed_s()
        may_pause = True
        if self._after is None:
            self._begin(store_contacts.Activity.READ)
            page = await stores.read_table(self._store, self.table)
            self._apply_page(page)
            self._follow(page)
            self.confirmed_at_s = sent_at_s
        elif self._audits_at_s and now_s >= self._audits_at_s[0]:
            self._begin(store_contacts.Activity.AUDIT)
            page = await stores.read_table(self._store, self.table)
            self._audits_at_s.pop(0)
            self._audit(page)
            may_pause = False
        else:
            self._begin(store_contacts.Activity.POLL)
            wait_s = self._next_wait_s()
            if self._audits_at_s:
                wait_s = min(wait_s, self._audits_at_s[0] - now_s)
            page = await self._store.feed(self.table, self._after, wait_s)
            self.unverified.difference_update(row.at for row in page.rows)
            if page.is_complete:
                self._times.record(
                    version=page.version,
                    sent_at_s=sent_at_s,
                    answered_at_s=clocks.elapsed_s(),
                )
            self.is_reading_table = False
            self._apply_page(page)
            self.is_reading_table = True
            self._after = page.version
            self._record_progress(page.is_complete)
            may_pause = page.is_complete
            if page.is_complete:
                self.confirmed_at_s = sent_at_s
            if not page.rows and clocks.elapsed_s() - sent_at_s >= wait_s:
                # Nothing changed while the store waited.
                self.confirmed_at_s = sent_at_s + wait_s
        self._retry_failed_rows()
        self.answered_at_s = anyio.current_time()
        if not self.unbroken_since_s:
            self.unbroken_since_s = self.answered_at_s
        self._on_answer()
        return may_pause

    def _next_wait_s(self) -> float:
        """Return the duration of the next poll without changes, in seconds.

        A store that may be silent is asked for an answer at once: a long poll
        that it does not receive would hold the feed. Otherwise a poll ends
        before the age of the table passes its bound; one that pauses follow
        is short anyway.
        """
        if self.failures:
            return 0.0
        if self._pause_s is not None:
            return self._wait_s
        left_s = self.max_age_s() - self.age_s() - CALL_S
        return min(self._wait_s, max(left_s, MIN_POLL_S))

    def _record_progress(self, is_caught_up: bool) -> None:
        now_s = anyio.current_time()
        if self.is_caught_up and not is_caught_up:
            self._behind_since_s = now_s
        if is_caught_up and not self.is_caught_up:
            took_s = now_s - self._behind_since_s
            if took_s >= SLOW_CATCH_UP_S:
                _LOG.log(
                    job_events.FEED_CAUGHT_UP,
                    table=self.table,
                    took_s=round(took_s, 3),
                )
        self.is_caught_up = is_caught_up

    def _follow(self, page: stores.Page) -> None:
        """Continue from a read of the whole table, which may be stale."""
        self._after = page.version
        self.table_reads += 1
        self.unverified = set(self._versions)
        now_s = anyio.current_time()
        self._audits_at_s = [
            now_s + delay_s for delay_s in self._audit_delays_s
        ]

    def _apply_page(self, page: stores.Page) -> None:
        newer = [
            row
            for row in page.rows
            if row.version > self._versions.get(row.at, 0)
        ]
        now_s = anyio.current_time()
        for row in newer:
            self._versions[row.at] = row.version
            if row.value is None:
                self._tombstones.append((now_s, row.at, row.version))
        while (
            self._tombstones
            and now_s - self._tombstones[0][0] > TOMBSTONE_RETENTION_S
        ):
            _at_s, at, version = self._tombstones.popleft()
            if self._versions.get(at) == version:
                del self._versions[at]
        if newer:
            self._pass_on(newer)

    def _pass_on(self, rows: list[stores.StoredRow]) -> None:
        """Pass rows on; after an unexpected error, each one by itself.

        Those that cause the error are passed on again later, unless a newer
        version has replaced them.
        """
        for row in rows:
            self._failed_rows.pop(row.at, None)
        try:
            self._on_rows(rows)
            return
        except Exception as exc:
            self._supervisor.record("rows", self.table, exc)
        for row in rows:
            self._pass_on_alone(row)

    def _pass_on_alone(self, row: stores.StoredRow) -> None:
        try:
            self._on_rows([row])
        except Exception as exc:
            name = f"{self.table}/{row.at.key}"
            self._supervisor.record("row", name, exc)
            backoff = self._backoffs.setdefault(row.at, supervision.Backoff())
            retry_at_s = anyio.current_time() + backoff.next_delay_s()
            self._failed_rows[row.at] = (retry_at_s, row)
            return
        self._backoffs.pop(row.at, None)

    def _retry_failed_rows(self) -> None:
        now_s = anyio.current_time()
        for at, (retry_at_s, row) in list(self._failed_rows.items()):
            if now_s >= retry_at_s:
                del self._failed_rows[at]
                self._pass_on_alone(row)

    def _audit(self, page: stores.Page) -> None:
        """Apply the rows of a table that the feed missed.

        Only the last audit removes rows: an earlier one may be as stale as
        the read that it checks.
        """
        missed = sum(
            row.version > self._versions.get(row.at, 0) for row in page.rows
        )
        removed: list[stores.StoredRow] = []
        if not self._audits_at_s:
            present_keys = {row.at for row in page.rows}
            present_keys.update(at for _at_s, at, _version in self._tombstones)
            removed = [
                stores.StoredRow(at=at, value=None, version=page.version)
                for at, version in self._versions.items()
                if at not in present_keys and version < page.version
            ]
        if missed or removed:
            _LOG.log(
                job_events.FEED_AUDITED,
                table=self.table,
                missed=missed,
                gone=len(removed),
            )
        self._apply_page(
            stores.Page(rows=[*page.rows, *removed], version=page.version)
        )
        if not self._audits_at_s:
            self.unverified.clear()
