"""Stand-in for the partitioned store, with fault injection."""

import anyio

from wisteriawood import errors
from wisteriawood.links import clocks
from wisteriawood.links import store_clocks
from wisteriawood.links import store_contacts
from wisteriawood.links import stores

# What the clock of the store shows at the start of the monotonic clock here.
CLOCK_BEGAN_MS = 7_000_000.0
CALL_DELAY_S = 0.004
COMMIT_DELAY_S = 0.012
CALL_TIMEOUT_S = 0.35
MAX_FEED_ROWS = 500
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_KEY_BYTES = 200
MAX_ROW_BYTES = 65536


class MemoryStore:
    """Rows with their versions, and the history of changes.

    Attributes:
        commits: Number of commits that took effect.
        cut_hosts: Hosts whose calls get no answer.
        hidden_keys: Keys of rows that polls and reads of whole partitions
            omit, as stale reads after a loss of history do.
        hidden_tables: Tables of which they omit all rows.
        is_down: Whether calls are refused.
        late_answers: Seconds by which the answers to commits that write rows
            of a key are delayed, by key.
        lost_answer_delay_s: Delay in seconds until a commit whose answer is
            lost takes effect.
        lost_answers: Number of subsequent commits that take effect but
            whose answers are lost.
        lost_table: Table to which lost_answers is limited; empty for all.
        refused_keys: Keys of rows that no change may write.
        rejected: Number of changes that exceeded a limit, or wrote such a
            row.
        rows: Current rows, without deleted ones.
        stale_rows: Rows that all reads return in place of the current ones, as
            after a loss of history; None if reads are current.
        slow_keys: Seconds by which commits that write rows of a key are
            delayed, by key.
        version: Version of the latest commit.
    """

    __slots__ = (
        "_changed",
        "_compacted_version",
        "_history",
        "commits",
        "cut_hosts",
        "hidden_keys",
        "hidden_tables",
        "is_down",
        "late_answers",
        "lost_answer_delay_s",
        "lost_answers",
        "lost_table",
        "refused_keys",
        "rejected",
        "rows",
        "slow_keys",
        "stale_rows",
        "version",
    )

    def __init__(self):
        self.rows: dict[stores.RowKey, stores.StoredRow] = {}
        self.version = 0
        self.is_down = False
        self.cut_hosts: set[str] = set()
        self.hidden_keys: set[str] = set()
        self.hidden_tables: set[str] = set()
        self.lost_answers = 0
        self.lost_table = ""
        self.lost_answer_delay_s = 0.0
        self.late_answers: dict[str, float] = {}
        self.slow_keys: dict[str, float] = {}
        self.stale_rows: dict[stores.RowKey, stores.StoredRow] | None = None
        self.commits = 0
        self.refused_keys: set[str] = set()
        self.rejected = 0
        self._history: list[stores.StoredRow] = []
        self._compacted_version = 0
        self._changed = anyio.Event()

    def clock_ms(self) -> float:
        """Return the store's clock in milliseconds."""
        return CLOCK_BEGAN_MS + anyio.current_time() * 1000

    def link(self, host: str) -> "MemoryStoreLink":
        """Return a link of a host to the store.

        Args:
            host: Name of the host.
        """
        return MemoryStoreLink(store=self, host=host)

    def commit(self, change: stores.Change) -> int:
        """Commit a change of a host and return the version of its rows.

        Raises:
            ChangeConflictError: A row does not have the expected version.
            ChangeRejectedError: The change exceeds a limit of the platform.
        """
        reason = _reason_to_reject(change)
        if any(at.key in self.refused_keys for at in change.writes):
            reason = "a row may not be written"
        if reason:
            self.rejected += 1
            raise stores.ChangeRejectedError(reason)
        return self.apply(change)

    def apply(self, change: stores.Change) -> int:
        """Apply a change within or beyond the limits.

        Returns:
            The version of its rows.

        Raises:
            ChangeConflictError: A row does not have the expected version.
        """
        found = [
            self.rows.get(at, stores.StoredRow(at=at, value=None, version=0))
            for at in change.expected
        ]
        if any(row.version != change.expected[row.at] for row in found):
            raise stores.ChangeConflictError(rows=found)
        self.version += 1
        self.commits += 1
        for at, value in change.writes.items():
            row = stores.StoredRow(at=at, value=value, version=self.version)
            self.rows[at] = row
            self._history.append(row)
            if value is None:
                del self.rows[at]
        self._changed.set()
        self._changed = anyio.Event()
        return self.version

    def is_answer_lost(self, change: stores.Change) -> bool:
        """Return whether the answer to a change will be lost."""
        if self.lost_answers <= 0:
            return False
        touched = {at.table for at in change.writes}
        return not self.lost_table or self.lost_table in touched

    def delay_s(self, change: stores.Change) -> float:
        """Return the seconds until the commit of a change takes effect."""
        return COMMIT_DELAY_S + _longest_s(self.slow_keys, change)

    def answer_delay_s(self, change: stores.Change) -> float:
        """Return the seconds from then until its answer arrives."""
        return _longest_s(self.late_answers, change)

    def compact_history(self) -> None:
        """Delete the history of changes, as a compaction does."""
        self._history.clear()
        self._compacted_version = self.version

    def readable_rows(self) -> dict[stores.RowKey, stores.StoredRow]:
        """Return the rows that reads show."""
        return self.rows if self.stale_rows is None else self.stale_rows

    def changes(self, table: str, after: int) -> list[stores.StoredRow]:
        """Return the changes of a table after a version.

        Raises:
            HistoryLostError: Changes after the version were deleted.
        """
        if after < self._compacted_version:
            raise stores.HistoryLostError("the history has been compacted")
        return [
            row
            for row in self._history
            if row.version > after
            and row.at.table == table
            and not self.is_hidden(row.at)
        ]

    def is_hidden(self, at: stores.RowKey) -> bool:
        """Return whether polls and reads of whole partitions omit a row."""
        return at.key in self.hidden_keys or at.table in self.hidden_tables

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


def _longest_s(delays_s: dict[str, float], change: stores.Change) -> float:
    """Return the longest delay of the rows that a change writes."""
    found_s = (delays_s.get(at.key, 0.0) for at in change.writes)
    return max(found_s, default=0.0)


def _reason_to_reject(change: stores.Change) -> str:
    """Return which limit a change exceeds; empty if it exceeds none."""
    touched = {*change.expected, *change.writes}
    if change.entry_count() > MAX_TRANSACTION_ENTRIES:
        return f"it has {change.entry_count()} entries"
    if change.size_bytes() > MAX_TRANSACTION_BYTES:
        return f"it has {change.size_bytes()} bytes"
    if len({at.part for at in touched}) > 1:
        return "it spans several partitions"
    if any(len(at.key.encode()) > MAX_KEY_BYTES for at in touched):
        return "a key is too long"
    sizes_bytes = [len(value or b"") for value in change.writes.values()]
    if max(sizes_bytes, default=0) > MAX_ROW_BYTES:
        return "a row is too large"
    return ""


class MemoryStoreLink:
    """Link from a host to the store.

    Args:
        store: The store.
        host: Name of the host.

    Attributes:
        clock: The store's clock, as answers show it.
        contact: Shared by all that uses this link.
    """

    __slots__ = ("_host", "_store", "clock", "contact")

    def __init__(self, *, store: MemoryStore, host: str):
        self._store = store
        self._host = host
        self.clock = store_clocks.StoreClock()
        self.contact = store_contacts.StoreContact()

    async def _apply_call_faults(self, delay_s: float) -> None:
        if self._host in self._store.cut_hosts:
            await anyio.sleep(CALL_TIMEOUT_S)
            raise errors.PlatformUnavailableError("no answer")
        await anyio.sleep(delay_s)
        if self._store.is_down:
            raise errors.PlatformUnavailableError("the store is down")

    async def commit(self, change: stores.Change) -> int:
        """Commit a change and return the version of its rows."""
        store = self._store
        sent_at_s = clocks.elapsed_s()
        await self._apply_call_faults(store.delay_s(change))
        if store.is_answer_lost(change):
            store.lost_answers -= 1
            await anyio.sleep(store.lost_answer_delay_s)
            try:
                store.commit(change)
            finally:
                await anyio.sleep(CALL_TIMEOUT_S)
            raise errors.TransactionUnknownError("the answer was lost")
        version = store.commit(change)
        store_ms = store.clock_ms()
        await anyio.sleep(store.answer_delay_s(change))
        self.clock.record(
            store_ms=store_ms,
            sent_at_s=sent_at_s,
            answered_at_s=clocks.elapsed_s(),
        )
        return version

    async def read(
        self, table: str, part: str, *, key: str = "", prefix: str = ""
    ) -> stores.Page:
        """Return the rows of a partition, by key or prefix if given."""
        await self._apply_call_faults(CALL_DELAY_S)
        rows = [
            row
            for at, row in self._store.readable_rows().items()
            if at.table == table
            and at.part == part
            and at.key.startswith(prefix)
            and (at.key == key if key else not self._store.is_hidden(at))
        ]
        rows.sort(key=lambda row: row.at.key)
        return stores.Page(rows=rows, version=self._store.version)

    async def parts(self, table: str) -> list[str]:
        """Return the partitions of a table."""
        await self._apply_call_faults(CALL_DELAY_S)
        return sorted(
            {
                at.part
                for at in self._store.readable_rows()
                if at.table == table
            }
        )

    async def feed(self, table: str, after: int, wait_s: float) -> stores.Page:
        """Return the rows that changed after a version.

        Waits up to wait_s seconds for the first change.
        """
        await self._apply_call_faults(CALL_DELAY_S)
        found = self._store.changes(table, after)
        with anyio.move_on_after(wait_s):
            while not found:
                await self._store.wait()
                found = self._store.changes(table, after)
        # A change at the end of the wait belongs to the version returned.
        found = self._store.changes(table, after)
        if self._host in self._store.cut_hosts or self._store.is_down:
            raise errors.PlatformUnavailableError("no answer")
        if len(found) > MAX_FEED_ROWS:
            found = found[:MAX_FEED_ROWS]
            return stores.Page(
                rows=found, version=found[-1].version, is_complete=False
            )
        return stores.Page(rows=found, version=self._store.version)
