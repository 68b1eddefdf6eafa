"""Group commit: many changes of state in one transaction."""

import dataclasses
import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import platforms
from wisteriawood.telemetry import metrics

MAX_CHANGES = 200
# Least time from one transaction to the next, which bounds the writes a
# scheduler costs the table.
COMMIT_PERIOD_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Change:
    """One change of state that waits for its commit.

    Attributes:
        conditions: What must hold.
        writes: What is written.
        version: Version of the rows written, once committed.
        error: Why it was not committed.
        done: Set once the outcome is known.
        notify: Called once the outcome is known, if any.
    """

    conditions: list[platforms.Condition]
    writes: list[platforms.Write]
    version: int = 0
    error: errors.PlatformError | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    notify: typing.Callable[[], None] | None = None


class GroupCommit:
    """Collects changes while one transaction is on its way.

    Args:
        platform: Link to the platform.
        counters: Metrics to count commits in, if any.
    """

    __slots__ = ("_counters", "_platform", "_waiting", "_wakeup")

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        counters: metrics.SchedulerMetrics | None = None,
    ):
        self._platform = platform
        self._counters = counters
        self._waiting: list[Change] = []
        self._wakeup = anyio.Event()

    def submit(
        self,
        *,
        conditions: list[platforms.Condition],
        writes: list[platforms.Write],
        notify: typing.Callable[[], None] | None = None,
    ) -> Change:
        """Queue one change for the next transaction and return at once.

        Args:
            conditions: What must hold.
            writes: What is written.
            notify: Called once the outcome is known.
        """
        change = Change(conditions=conditions, writes=writes, notify=notify)
        self._waiting.append(change)
        self._wakeup.set()
        return change

    async def commit(
        self,
        *,
        conditions: list[platforms.Condition],
        writes: list[platforms.Write],
    ) -> int:
        """Commit one change, together with others.

        Args:
            conditions: What must hold.
            writes: What is written.

        Returns:
            The version of the rows written.

        Raises:
            TransactionConflictError: A condition did not hold.
            PlatformUnavailableError: Nothing was written.
        """
        change = self.submit(conditions=conditions, writes=writes)
        await change.done.wait()
        if change.error is not None:
            raise change.error
        return change.version

    async def run(self) -> None:
        """Commit what waits, for ever."""
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            while self._waiting:
                started_at_s = anyio.current_time()
                await self._commit_batch(self._take_batch())
                spent_s = anyio.current_time() - started_at_s
                await anyio.sleep(max(0.0, COMMIT_PERIOD_S - spent_s))

    async def flush(self) -> None:
        """Return once nothing waits; the caller bounds the time."""
        while self._waiting:
            await self._waiting[-1].done.wait()

    def _take_batch(self) -> list[Change]:
        # A row written by one change must not be touched by another in
        # the same transaction: the second would hide the first.
        taken: list[Change] = []
        left: list[Change] = []
        written: set[str] = set()
        checked: set[str] = set()
        for index, change in enumerate(self._waiting):
            if len(taken) >= MAX_CHANGES:
                left.extend(self._waiting[index:])
                break
            writes = {write.key for write in change.writes}
            checks = {condition.key for condition in change.conditions}
            clash = writes & (written | checked) or checks & written
            if clash:
                left.append(change)
                # Keep the order of changes of one row.
                checked |= writes | checks
                continue
            taken.append(change)
            written |= writes
            checked |= checks
        self._waiting = left
        return taken

    async def _commit_batch(self, batch: list[Change]) -> None:
        while batch:
            transaction = platforms.Transaction(
                conditions=[c for change in batch for c in change.conditions],
                writes=[w for change in batch for w in change.writes],
            )
            try:
                result = await platforms.commit_settled(
                    self._platform, transaction
                )
            except errors.PlatformUnavailableError as exc:
                self._finish(batch, error=exc)
                return
            if result.committed:
                self._finish(batch, version=result.version)
                return
            kept = self._drop_conflicts(batch, set(result.conflicts))
            if len(kept) == len(batch):
                self._finish(
                    kept,
                    error=errors.TransactionConflictError(
                        "refused by the table without a reason"
                    ),
                )
                return
            batch = kept

    def _drop_conflicts(
        self, batch: list[Change], keys: set[str]
    ) -> list[Change]:
        kept = []
        for change in batch:
            lost = [c.key for c in change.conditions if c.key in keys]
            if not lost:
                kept.append(change)
                continue
            self._finish(
                [change],
                error=errors.TransactionConflictError(
                    f"changed by another: {', '.join(lost)}"
                ),
            )
        return kept

    def _finish(
        self,
        batch: list[Change],
        *,
        version: int = 0,
        error: errors.PlatformError | None = None,
    ) -> None:
        if self._counters is not None and error is None:
            self._counters.commits.inc()
            self._counters.transitions.inc(len(batch))
        for change in batch:
            change.version = version
            change.error = error
            change.done.set()
            if change.notify is not None:
                change.notify()
