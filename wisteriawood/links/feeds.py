"""Following a table of the store: all rows first, then what changes."""

import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import stores
from wisteriawood.telemetry import events

_LOG = events.Logger(name=__name__)
# Longest wait of one call; a connection that fell silent costs as much.
WAIT_S = 2.0
RETRY_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 0.5


class Feed:
    """Follows one table.

    Args:
        store: The store.
        table: The table.
        take: Called with rows, and with True if they are the whole table.
        pause_s: Rest after each call, so that changes come in groups.
        after: Version from which to follow; None to read the table first.

    Attributes:
        heard_at_s: Monotonic time of the last answer; 0 before.
        steady_since_s: Since when answers have come without a break.
    """

    __slots__ = (
        "_after",
        "_pause_s",
        "_store",
        "_take",
        "heard_at_s",
        "steady_since_s",
        "table",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        table: str,
        take: typing.Callable[[list[stores.StoredRow], bool], None],
        pause_s: float = 0.0,
        after: int | None = None,
    ):
        self._store = store
        self._take = take
        self._pause_s = pause_s
        self._after = after
        self.table = table
        self.heard_at_s = 0.0
        self.steady_since_s = 0.0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        delay_s = RETRY_DELAY_S
        is_lost = False
        while True:
            try:
                await self._read_next()
            except stores.HistoryLostError:
                _LOG.log(events.FEED_RESTARTED, table=self.table)
                self._after = None
                continue
            except errors.PlatformError as exc:
                if not is_lost:
                    _LOG.log(
                        events.FEED_LOST, table=self.table, cause=str(exc)
                    )
                is_lost = True
                self.steady_since_s = 0.0
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)
                continue
            if is_lost:
                _LOG.log(events.FEED_FOUND, table=self.table)
            is_lost = False
            delay_s = RETRY_DELAY_S
            if self._pause_s:
                await anyio.sleep(self._pause_s)

    async def _read_next(self) -> None:
        if self._after is None:
            page = await stores.read_table(self._store, self.table)
            self._take(page.rows, True)
        else:
            page = await self._store.feed(self.table, self._after, WAIT_S)
            if page.rows:
                self._take(page.rows, False)
        self._after = page.version
        self.heard_at_s = anyio.current_time()
        if not self.steady_since_s:
            self.steady_since_s = self.heard_at_s
