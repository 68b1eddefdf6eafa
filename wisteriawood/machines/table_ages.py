"""Reports how old the tables are that a host follows."""

import anyio

from wisteriawood.links import store_contacts
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 0.25


class _Outdated:
    """A table that is older than its bound.

    Args:
        since_s: Monotonic time at which that was noticed.
    """

    __slots__ = ("activity", "oldest_s", "since_s")

    def __init__(self, *, since_s: float):
        self.since_s = since_s
        self.oldest_s = 0.0
        self.activity = ""


class TableAges:
    """Measures the ages of the tables, and logs those beyond their bounds.

    Args:
        contact: Has the feeds of the tables.
        counters: Metrics of the host.
    """

    __slots__ = ("_contact", "_gauge", "_outdated", "_tables")

    def __init__(
        self,
        *,
        contact: store_contacts.StoreContact,
        counters: job_metrics.JobMetrics,
    ):
        self._contact = contact
        self._gauge = counters.table_age_s
        self._outdated: dict[store_contacts.FollowedTable, _Outdated] = {}
        self._tables: set[str] = set()

    async def run(self) -> None:
        """Measure the ages until cancelled."""
        while True:
            self.check()
            await anyio.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Measure the ages once."""
        ages_s: dict[str, float] = {}
        for feed in self._contact.feeds:
            age_s = feed.age_s()
            ages_s[feed.table] = max(age_s, ages_s.get(feed.table, 0.0))
            if age_s > feed.max_age_s():
                self._record_outdated(feed, age_s)
            elif feed in self._outdated:
                self._record_current(feed)
        for table, age_s in ages_s.items():
            self._gauge.labels(table=table).set(age_s)
        for table in self._tables - set(ages_s):
            self._gauge.remove(table)
        self._tables = set(ages_s)
        for feed in set(self._outdated) - set(self._contact.feeds):
            del self._outdated[feed]

    def _record_outdated(
        self, feed: store_contacts.FollowedTable, age_s: float
    ) -> None:
        now_s = anyio.current_time()
        if feed not in self._outdated:
            self._outdated[feed] = _Outdated(since_s=now_s)
            _LOG.log(
                job_events.TABLE_OUTDATED,
                table=feed.table,
                age_s=round(age_s, 3),
                bound_s=round(feed.max_age_s(), 3),
                waits_for=feed.activity,
                waits_s=round(now_s - feed.activity_since_s, 3),
                failures=feed.failures,
            )
        outdated = self._outdated[feed]
        outdated.oldest_s = max(age_s, outdated.oldest_s)
        outdated.activity = feed.activity

    def _record_current(self, feed: store_contacts.FollowedTable) -> None:
        outdated = self._outdated.pop(feed)
        _LOG.log(
            job_events.TABLE_CURRENT,
            table=feed.table,
            age_s=round(feed.age_s(), 3),
            oldest_s=round(outdated.oldest_s, 3),
            outdated_s=round(anyio.current_time() - outdated.since_s, 3),
            waited_for=outdated.activity,
        )
