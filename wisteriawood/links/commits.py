"""Group commit: batches many changes of state into one transaction."""

import dataclasses
import typing

import anyio

from wisteriawood import errors
from wisteriawood.links import platforms
from wisteriawood.telemetry import metrics

MAX_CHANGES = 200
# Minimum time between the starts of two transactions; limits the rate of
# writes that a scheduler sends to the table.
COMMIT_PERIOD_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Change:
    """One change of state that waits for its commit.

    Attributes:
        conditions: Preconditions of the commit.
        writes: Writes to commit.
        version: Version of the rows written; set when committed.
        error: Reason why it was not committed; None if it was.
        done: Set once the outcome is known.
        notify: Called once the outcome is known; None for no call.
    """

    conditions: list[platforms.Condition]
    writes: list[platforms.Write]
    version: int = 0
    error: errors.PlatformError | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    notify: typing.Callable[[], None] | None = None


class GroupCommit:
    """Collects changes while the previous transaction is in progress.

    Args:
        platform: Link to the platform.
        counters: Metrics that count the commits; None to count none.
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
            conditions: Preconditions of the commit.
            writes: Writes to commit.
            notify: Called once the outcome is known; None for no call.
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
        """Commit one change in a batch with others.

        Args:
            conditions: Preconditions of the commit.
            writes: Writes to commit.

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
        """Commit queued changes until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            while self._waiting:
                started_at_s = anyio.current_time()
                await self._commit_batch(self._take_batch())
                elapsed_s = anyio.current_time() - started_at_s
                await anyio.sleep(max(0.0, COMMIT_PERIOD_S - elapsed_s))

    async def flush(self) -> None:
        """Wait until no change is queued; the caller sets a timeout."""
        while self._waiting:
            await self._waiting[-1].done.wait()

    def _take_batch(self) -> list[Change]:
        # No change in a batch may read or write a row that another one
        # writes: in one transaction the later change would mask the earlier.
        taken: list[Change] = []
        deferred: list[Change] = []
        written: set[str] = set()
        checked: set[str] = set()
        for index, change in enumerate(self._waiting):
            if len(taken) >= MAX_CHANGES:
                deferred.extend(self._waiting[index:])
                break
            writes = {write.key for write in change.writes}
            checks = {condition.key for condition in change.conditions}
            conflicting_keys = writes & (written | checked) or checks & written
            if conflicting_keys:
                deferred.append(change)
                # Later changes of the same rows must wait, to keep their
                # order.
                checked |= writes | checks
                continue
            taken.append(change)
            written |= writes
            checked |= checks
        self._waiting = deferred
        return taken

    async def _commit_batch(self, batch: list[Change]) -> None:
        while batch:
            transaction = platforms.Transaction(
                conditions=[c for change in batch for c in change.conditions],
                writes=[w for change in batch for w in change.writes],
            )
            try:
                result = await platforms.commit_with_retry(
                    self._platform, transaction
                )
            except errors.PlatformUnavailableError as exc:
                self._finish(batch, error=exc)
                return
            if result.committed:
                self._finish(batch, version=result.version)
                return
            kept = self._fail_conflicting(batch, set(result.conflicts))
            if len(kept) == len(batch):
                self._finish(
                    kept,
                    error=errors.TransactionConflictError(
                        "the table refused the transaction but named no "
                        "conflict"
                    ),
                )
                return
            batch = kept

    def _fail_conflicting(
        self, batch: list[Change], keys: set[str]
    ) -> list[Change]:
        kept = []
        for change in batch:
            conflicts = [c.key for c in change.conditions if c.key in keys]
            if not conflicts:
                kept.append(change)
                continue
            self._finish(
                [change],
                error=errors.TransactionConflictError(
                    f"another transaction changed {', '.join(conflicts)}"
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
