"""Link to a partitioned, transactional store of rows.

A transaction touches one partition only. A row's version changes with
every write and never comes back.
"""

import dataclasses
import typing

import anyio

from wisteriawood import errors

SETTLE_DELAY_S = 0.05
SETTLE_MAX_DELAY_S = 0.5
# Rows that one transaction may name; the platform's bound is 100.
MAX_ENTRIES = 90
# Time for which a change that was never sent is tried again for a caller.
UNSENT_PATIENCE_S = 0.3


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RowKey:
    """Where a row is.

    Attributes:
        table: Its table.
        part: Its partition.
        key: Its key inside the partition.
    """

    table: str
    part: str = ""
    key: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredRow:
    """A row of the store.

    Attributes:
        at: Where it is.
        value: Its bytes; None if it was removed.
        version: Version of this value.
    """

    at: RowKey
    value: bytes | None
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Writes of one partition that are committed together or not at all.

    Attributes:
        expected: Versions that rows must have; 0 for no such row.
        writes: New values; None removes the row.
    """

    expected: dict[RowKey, int] = dataclasses.field(default_factory=dict)
    writes: dict[RowKey, bytes | None] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """Rows of the store as of one version.

    Attributes:
        rows: The rows.
        version: Newest version of the store.
    """

    rows: list[StoredRow]
    version: int


class ChangeConflictError(errors.TransactionConflictError):
    """An expected version did not hold; nothing was written.

    Args:
        rows: The rows that were expected, as they are.
    """

    def __init__(self, *, rows: list[StoredRow]):
        self.rows = rows
        super().__init__("a row has another version than expected")


class HistoryLostError(errors.PlatformError):
    """The feed no longer knows the changes since that version."""


class Store(typing.Protocol):
    """A partitioned store.

    Every call raises PlatformUnavailableError if it surely had no
    effect, and TransactionUnknownError if a commit may have had one, or
    may still have one while its conditions hold.
    """

    async def commit(self, change: Change) -> int:
        """Commit a change and return the version of its rows.

        Raises:
            ChangeConflictError: A condition did not hold.
        """

    async def read(self, table: str, part: str, *, key: str = "") -> Page:
        """Return the rows of a partition.

        Args:
            table: The table.
            part: The partition.
            key: Only this row; empty for all.
        """

    async def parts(self, table: str) -> list[str]:
        """Return the partitions of a table."""

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        """Return the rows that changed after a version, in order.

        Args:
            table: The table.
            after: The version.
            wait_s: Longest time to wait for a change.

        Raises:
            HistoryLostError: Read the table anew.
        """


def _holds(change: Change, rows: list[StoredRow]) -> bool:
    """Tell whether rows are as a change wrote them."""
    found = {row.at: row.value for row in rows}
    return all(
        found[at] == value
        for at, value in change.writes.items()
        if at in found
    )


async def commit_settled(
    store: Store, change: Change, *, give_up_at_s: float | None = None
) -> int:
    """Commit a change and settle a lost acknowledgement.

    The same change is sent again: its conditions hold for one of the
    two only, and where the second conflicts, the rows tell whether they
    hold what the first wrote. At least one row that is written must
    also be expected, and its value must differ from those before.

    Args:
        store: The store.
        change: What to commit.
        give_up_at_s: Monotonic time at which to stop; None for never.

    Raises:
        ChangeConflictError: A row was changed by another.
        PlatformUnavailableError: Nothing was sent that may take effect.
        TransactionUnknownError: Given up without an answer.
    """
    was_sent = False
    cause = ""
    delay_s = SETTLE_DELAY_S
    began_at_s = anyio.current_time()
    while True:
        try:
            return await store.commit(change)
        except ChangeConflictError as exc:
            if not was_sent or not _holds(change, exc.rows):
                raise
            return max(row.version for row in exc.rows)
        except errors.TransactionUnknownError:
            was_sent = True
        except errors.PlatformUnavailableError as exc:
            cause = str(exc)
        if give_up_at_s is not None:
            until_s = give_up_at_s
            if not was_sent:
                until_s = min(until_s, began_at_s + UNSENT_PATIENCE_S)
            if anyio.current_time() + delay_s >= until_s:
                if was_sent:
                    raise errors.TransactionUnknownError(
                        "the store did not acknowledge a change in time"
                    )
                raise errors.PlatformUnavailableError(
                    f"the store does not take changes: {cause}"
                )
        await anyio.sleep(delay_s)
        delay_s = min(2 * delay_s, SETTLE_MAX_DELAY_S)


async def read_table(store: Store, table: str) -> Page:
    """Return the rows of all partitions of a table.

    Args:
        store: The store.
        table: The table.

    Returns:
        The rows with the oldest version at which one was read, from
        which a feed misses nothing.
    """
    rows: list[StoredRow] = []
    versions: list[int] = []
    parts = await store.parts(table)
    for part in parts or [""]:
        page = await store.read(table, part)
        rows.extend(page.rows)
        versions.append(page.version)
    return Page(rows=rows, version=min(versions))
