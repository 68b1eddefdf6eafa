"""Following a table of the store: all rows first, then what changes."""

import collections
import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Longest wait of one call; a connection that fell silent costs as much.
WAIT_S = 2.0
# Times after a loss of history at which the table is read once more: what a
# store returns just then may be seconds old, and the feed does not bring
# again what it left out.
AUDITS_S = (1.0, 3.0, 7.0)
# Time for which a removed row is known as such, so that an old read does not
# bring it back.
REMOVED_S = 60.0
RETRY_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 0.5


class Feed:
    """Follows one table.

    Args:
        store: The store.
        table: The table.
        take: Called with rows that are newer than those of the same key
            that were taken before; the first time with all there are.
        pause_s: Tells the rest after each call, in which changes gather.
        after: Version from which to follow; None to read the table first.

    Attributes:
        answered_at_s: Monotonic time of the last answer; 0 before.
        unbroken_since_s: Since when answers have come without a break.
    """

    __slots__ = (
        "_after",
        "_audits_at_s",
        "_hurry",
        "_pause_s",
        "_removed",
        "_store",
        "_take",
        "_versions",
        "answered_at_s",
        "unbroken_since_s",
        "table",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        table: str,
        take: typing.Callable[[list[stores.StoredRow]], None],
        pause_s: typing.Callable[[], float] | None = None,
        after: int | None = None,
    ):
        self._store = store
        self._take = take
        self._pause_s = pause_s
        self._after = after
        self._audits_at_s: list[float] = []
        self._hurry = anyio.Event()
        self._versions: dict[stores.RowKey, int] = {}
        self._removed: collections.deque[tuple[float, stores.RowKey, int]] = (
            collections.deque()
        )
        self.table = table
        self.answered_at_s = 0.0
        self.unbroken_since_s = 0.0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        delay_s = RETRY_DELAY_S
        is_lost = False
        while True:
            try:
                await self._read_next()
            except stores.HistoryLostError:
                _LOG.log(job_events.FEED_RESTARTED, table=self.table)
                self._after = None
                now_s = anyio.current_time()
                self._audits_at_s = [now_s + after for after in AUDITS_S]
                continue
            except errors.PlatformError as exc:
                if not is_lost:
                    _LOG.log(
                        job_events.FEED_LOST, table=self.table, cause=str(exc)
                    )
                is_lost = True
                self.unbroken_since_s = 0.0
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)
                continue
            if is_lost:
                _LOG.log(job_events.FEED_FOUND, table=self.table)
            is_lost = False
            delay_s = RETRY_DELAY_S
            if self._pause_s is not None:
                with anyio.move_on_after(self._pause_s()):
                    await self._hurry.wait()
                self._hurry = anyio.Event()

    def poll_now(self) -> None:
        """End the rest after a call."""
        self._hurry.set()

    async def _read_next(self) -> None:
        now_s = anyio.current_time()
        if self._after is None:
            page = await stores.read_table(self._store, self.table)
            self._take_page(page)
            self._after = page.version
        elif self._audits_at_s and now_s >= self._audits_at_s[0]:
            page = await stores.read_table(self._store, self.table)
            self._audits_at_s.pop(0)
            self._audit(page)
        else:
            wait_s = WAIT_S
            if self._audits_at_s:
                wait_s = min(wait_s, self._audits_at_s[0] - now_s)
            page = await self._store.feed(self.table, self._after, wait_s)
            self._take_page(page)
            self._after = page.version
        self.answered_at_s = anyio.current_time()
        if not self.unbroken_since_s:
            self.unbroken_since_s = self.answered_at_s

    def _take_page(self, page: stores.Page) -> None:
        newer = [
            row
            for row in page.rows
            if row.version > self._versions.get(row.at, 0)
        ]
        now_s = anyio.current_time()
        for row in newer:
            self._versions[row.at] = row.version
            if row.value is None:
                self._removed.append((now_s, row.at, row.version))
        while self._removed and now_s - self._removed[0][0] > REMOVED_S:
            _at_s, at, version = self._removed.popleft()
            if self._versions.get(at) == version:
                del self._versions[at]
        if newer:
            self._take(newer)

    def _audit(self, page: stores.Page) -> None:
        """Take in what a table has and the feed did not bring.

        Only the last audit takes rows away: those before may be as old as
        the read that they check.
        """
        missed = sum(
            row.version > self._versions.get(row.at, 0) for row in page.rows
        )
        gone: list[stores.StoredRow] = []
        if not self._audits_at_s:
            kept = {row.at for row in page.rows}
            kept.update(at for _at_s, at, _version in self._removed)
            gone = [
                stores.StoredRow(at=at, value=None, version=page.version + 1)
                for at, version in self._versions.items()
                if at not in kept and version <= page.version
            ]
        if missed or gone:
            _LOG.log(
                job_events.FEED_AUDITED,
                table=self.table,
                missed=missed,
                gone=len(gone),
            )
        self._take_page(
            stores.Page(rows=[*page.rows, *gone], version=page.version)
        )
