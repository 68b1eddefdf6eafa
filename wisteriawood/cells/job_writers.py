"""Writes the rows of a cell's jobs, several jobs per transaction."""

import math
import typing

import anyio

from wisteriawood.cells import checkpoints
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time for which changes are collected before a transaction, so that the end
# of a run and the start of its successor share one.
GROUP_COMMIT_DELAY_S = 0.015
# Duration from which a transaction counts as slow.
SLOW_COMMIT_S = 0.3
# Most bytes of rows in one transaction; base64 adds a third, and the store
# accepts 1 MB.
MAX_TRANSACTION_BYTES = 600_000
# Most bytes of the rows of lent tasks in the transaction of one job.
MAX_EXTRA_BYTES = 460_000
# Pause before a job that the store refuses is tried again, which doubles.
REFUSED_RETRY_DELAY_S = 1.0
MAX_REFUSED_RETRY_DELAY_S = 30.0
# Time for which the store has to refuse all changes until the cell is left to
# another host.
REFUSING_STORE_S = 5.0


class JobWrite:
    """A scheduled write of the row of one job.

    Attributes:
        done: Set once the job is in the store, or the writer is closed.
        is_saved: Whether the job is in the store.
    """

    __slots__ = ("done", "is_saved")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.is_saved = False


class Batch:
    """Jobs whose rows are written together.

    Attributes:
        jobs: The jobs by id.
        extra_rows: Further rows to write with each job, by job id.
        writes: The scheduled writes of each job, by job id, the newest last.
    """

    __slots__ = ("extra_rows", "jobs", "writes")

    def __init__(self) -> None:
        self.jobs: dict[str, jobs.Job] = {}
        self.extra_rows: dict[str, dict[stores.RowKey, bytes | None]] = {}
        self.writes: dict[str, list[JobWrite]] = {}

    def take(self, job_id: str, other: "Batch") -> None:
        """Take over a job from an earlier batch.

        Args:
            job_id: Id of the job.
            other: That batch.
        """
        self.jobs.setdefault(job_id, other.jobs[job_id])
        rows = other.extra_rows.get(job_id, {}) | self.extra_rows.get(
            job_id, {}
        )
        if rows:
            self.extra_rows[job_id] = rows
        self.writes[job_id] = other.writes[job_id] + self.writes.get(
            job_id, []
        )

    def end_write(self, job_id: str, *, is_saved: bool) -> None:
        """Wake all that wait for the write of a job.

        Args:
            job_id: Id of the job.
            is_saved: Whether the job is in the store.
        """
        for write in self.writes.pop(job_id, []):
            write.is_saved = is_saved
            write.done.set()

    def close(self) -> None:
        """Wake all that wait for a write that has not been made."""
        for job_id in list(self.writes):
            self.end_write(job_id, is_saved=False)


class RefusedJob:
    """A job whose rows the store refuses, until it accepts them.

    Args:
        batch: What is to be written of it.

    Attributes:
        batch: The same.
        retry_at_s: Monotonic time of the next attempt.
        delay_s: Pause after that attempt.
    """

    __slots__ = ("batch", "delay_s", "retry_at_s")

    def __init__(self, *, batch: Batch):
        self.batch = batch
        self.delay_s = REFUSED_RETRY_DELAY_S
        self.retry_at_s = 0.0


class JobWriter:
    """Writes the rows of a cell's jobs.

    Each bucket has one transaction in progress at a time. A transaction
    fails if another host has written one of the jobs. In the bucket that is
    also the partition of the claim's row, it fails too if the claim of the
    cell has changed. It also fails if one of the jobs was cancelled and this
    host does not know it yet; it is then repeated with that job cancelled. A
    job whose move took effect without an answer is left out.

    If the store can never accept it, its jobs are written one by one, so that
    at most one of them is the reason. That one is made as small as possible.
    If it is refused all the same, it waits and is tried again, and the others
    go on: an accepted job does not end because of the size of its row.

    Args:
        store: The store.
        claim_key: Key of the claim's row.
        claim_version: Expected version of that row.
        on_cancel: Called with the id of a submitted job if a write shows
            that it was cancelled; ends it and its lent tasks here.
        on_refusal: Called with a job that the store refuses, the rows that
            were to be written with it, and the cause; makes it smaller.
        on_left_out: Called with a job and the number of its checkpoints for
            which its row has no room, when that number changes.

    Attributes:
        commits: Number of committed transactions.
        newest_version: Version of the last one.
    """

    __slots__ = (
        "_batches",
        "_batches_in_progress",
        "_claim_key",
        "_claim_version",
        "_is_closed",
        "_on_cancel",
        "_on_left_out",
        "_on_refusal",
        "_refused",
        "_refused_since_s",
        "_store",
        "_wake",
        "_writing_since_s",
        "commits",
        "newest_version",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        claim_key: stores.RowKey,
        claim_version: int,
        on_cancel: typing.Callable[[str], None],
        on_refusal: typing.Callable[
            [jobs.Job, dict[stores.RowKey, bytes | None], str], None
        ],
        on_left_out: typing.Callable[[jobs.Job, int], None] = (
            lambda _job, _count: None
        ),
    ):
        self._store = store
        self._on_cancel = on_cancel
        self._on_refusal = on_refusal
        self._on_left_out = on_left_out
        self._claim_key = claim_key
        self._claim_version = claim_version
        self._batches: dict[str, Batch] = {}
        self._batches_in_progress: dict[str, Batch] = {}
        self._refused: dict[str, RefusedJob] = {}
        # Monotonic time of the first refusal since the last commit.
        self._refused_since_s = math.inf
        self._wake: dict[str, anyio.Event] = {}
        self._is_closed = False
        self._writing_since_s: dict[str, float] = {}
        self.commits = 0
        self.newest_version = claim_version

    def schedule_write(
        self,
        job: jobs.Job,
        extra_rows: dict[stores.RowKey, bytes | None] | None = None,
    ) -> JobWrite:
        """Schedule the write of a job's row; return it.

        Args:
            job: The job.
            extra_rows: Rows of the same partition to write with it.
        """
        batch = self._batches.get(job.bucket)
        if batch is None:
            batch = self._batches[job.bucket] = Batch()
        batch.jobs[job.id] = job
        if extra_rows:
            batch.extra_rows.setdefault(job.id, {}).update(extra_rows)
        writes = batch.writes.setdefault(job.id, [])
        if not writes:
            writes.append(JobWrite())
        wake = self._wake.get(job.bucket)
        if wake is not None:
            wake.set()
        return writes[-1]

    async def wait_until_stored(self, writes: list[JobWrite]) -> None:
        """Wait until jobs are in the store.

        Args:
            writes: Their scheduled writes.

        Raises:
            CellLostError: The cell has another holder now, or the writer was
                closed before a job was stored.
        """
        for write in writes:
            await write.done.wait()
            if not write.is_saved:
                raise tables.CellLostError("the cell has another holder")

    def has_unwritten(self, job: jobs.Job) -> bool:
        """Return whether a scheduled write of a job is not in the store yet.

        Args:
            job: The job.
        """
        return self.find_pending(job) is not None

    def find_pending(self, job: jobs.Job) -> JobWrite | None:
        """Return the last scheduled write of a job that is not stored yet.

        Args:
            job: The job.
        """
        refused = self._refused.get(job.id)
        for batch in (
            self._batches.get(job.bucket),
            self._batches_in_progress.get(job.bucket),
            refused.batch if refused is not None else None,
        ):
            writes = batch.writes.get(job.id) if batch is not None else None
            if writes:
                return writes[-1]
        return None

    def has_room_for_loan(self, job: jobs.Job) -> bool:
        """Return whether one more task may be lent in the next transaction.

        Args:
            job: The job.
        """
        batch = self._batches.get(job.bucket)
        rows = batch.extra_rows.get(job.id, {}) if batch is not None else {}
        size_bytes = sum(len(value or b"") for value in rows.values())
        return size_bytes <= MAX_EXTRA_BYTES - 2 * stores.MAX_ROW_BYTES

    def may_relocate(self, job: jobs.Job) -> bool:
        """Return whether tasks of a job may be relocated before it is stored.

        The next transaction of its bucket must write all of that together: no
        transaction in progress contains the job, and no earlier relocation of
        it is pending.

        Args:
            job: The job.
        """
        in_progress = self._batches_in_progress.get(job.bucket)
        if in_progress is not None and job.id in in_progress.jobs:
            return False
        if job.id in self._refused:
            return False
        pending = self._batches.get(job.bucket)
        return pending is None or job.id not in pending.extra_rows

    def is_keeping_up(self, now_s: float) -> bool:
        """Return whether no transaction in progress is slow.

        Args:
            now_s: Monotonic time.
        """
        return all(
            now_s - since_s < SLOW_COMMIT_S
            for since_s in self._writing_since_s.values()
        )

    def close(self) -> None:
        """Stop writing and wake all tasks that wait for a write."""
        self._is_closed = True
        for batch in self._batches.values():
            batch.close()
        for refused in self._refused.values():
            refused.batch.close()

    async def write_bucket(self, bucket: str) -> None:
        """Write the batches of one bucket until closed.

        Args:
            bucket: The bucket, a partition of the table of jobs.

        Raises:
            CellLostError: The cell has another holder now.
            ChangeRejectedError: The store refuses all changes.
        """
        while not self._is_closed:
            if bucket not in self._batches:
                await self._wait_for_work(bucket)
            await anyio.sleep(GROUP_COMMIT_DELAY_S)
            batch = self._batches.pop(bucket, None) or Batch()
            self._batches_in_progress[bucket] = batch
            self._exchange_refused(bucket, batch)
            self._writing_since_s[bucket] = anyio.current_time()
            try:
                await self._write_batch(bucket, batch)
            finally:
                del self._writing_since_s[bucket]
                del self._batches_in_progress[bucket]
                batch.close()

    async def _wait_for_work(self, bucket: str) -> None:
        """Wait until a write is scheduled, or a refused job is tried again."""
        retry_at_s = min(
            (
                refused.retry_at_s
                for refused in self._refused.values()
                if self._bucket_of(refused) == bucket
            ),
            default=math.inf,
        )
        self._wake[bucket] = anyio.Event()
        with anyio.move_on_after(retry_at_s - anyio.current_time()):
            await self._wake[bucket].wait()

    def _bucket_of(self, refused: RefusedJob) -> str:
        return next(iter(refused.batch.jobs.values())).bucket

    def _exchange_refused(self, bucket: str, batch: Batch) -> None:
        """Add the refused jobs that are due to a batch, and take out others.

        Args:
            bucket: Bucket of the batch.
            batch: The batch.
        """
        now_s = anyio.current_time()
        for job_id, refused in self._refused.items():
            if self._bucket_of(refused) != bucket:
                continue
            if now_s >= refused.retry_at_s:
                batch.take(job_id, refused.batch)
                refused.batch.writes.pop(job_id)
            elif job_id in batch.jobs:
                refused.batch = _split_off(job_id, batch, refused.batch)

    async def _write_batch(self, bucket: str, batch: Batch) -> None:
        waiting = list(batch.jobs.values())
        most_jobs = len(waiting)
        while waiting:
            change, included = self._build_change(
                bucket, waiting[:most_jobs], batch.extra_rows
            )
            try:
                version = await stores.commit_with_retry(self._store, change)
            except stores.ChangeConflictError as exc:
                left = self._handle_conflict(bucket, change, included, exc)
                for job in left:
                    batch.end_write(job.id, is_saved=True)
                waiting = [job for job in waiting if job not in left]
                continue
            except stores.ChangeRejectedError as exc:
                most_jobs = 1
                if len(included) > 1:
                    continue
                job = included[0]
                if not job.is_refused:
                    rows = batch.extra_rows.pop(job.id, {})
                    self._on_refusal(job, rows, str(exc))
                    continue
                self._set_aside(job, batch, exc)
                waiting.remove(job)
                continue
            self.commits += 1
            self.newest_version = max(self.newest_version, version)
            self._refused_since_s = math.inf
            for job in included:
                job.version = version
                job.moved_from = ""
                self._refused.pop(job.id, None)
                batch.end_write(job.id, is_saved=True)
            waiting = waiting[len(included) :]

    def _set_aside(
        self,
        job: jobs.Job,
        batch: Batch,
        cause: stores.ChangeRejectedError,
    ) -> None:
        """Let a job wait whose rows the store refuses, however small.

        Raises:
            ChangeRejectedError: Nothing has been accepted for some time, so
                that the job is hardly the reason.
        """
        now_s = anyio.current_time()
        self._refused_since_s = min(self._refused_since_s, now_s)
        if now_s - self._refused_since_s >= REFUSING_STORE_S:
            raise cause
        refused = self._refused.get(job.id)
        if refused is None:
            refused = self._refused[job.id] = RefusedJob(batch=Batch())
        refused.batch = _split_off(job.id, batch, refused.batch)
        refused.retry_at_s = now_s + refused.delay_s
        refused.delay_s = min(2 * refused.delay_s, MAX_REFUSED_RETRY_DELAY_S)
        _LOG.log(
            job_events.JOB_SET_ASIDE,
            job=job.id,
            cause=str(cause),
            retry_s=round(refused.retry_at_s - now_s, 3),
        )

    def _handle_conflict(
        self,
        bucket: str,
        change: stores.Change,
        included: list[jobs.Job],
        conflict: stores.ChangeConflictError,
    ) -> list[jobs.Job]:
        """Cancel or leave out the jobs that are the only reason of a conflict.

        A job that is being moved away was moved by an attempt without an
        answer, if its row has changed since: its new holder did that, and the
        job is no longer this cell's. If it is, it is loaded again.

        Returns:
            The jobs that have left the cell.

        Raises:
            CellLostError: There is another reason.
        """
        changed = {
            row.at
            for row in conflict.rows
            if row.version != change.expected.get(row.at)
        }
        cancelled = {
            tables.cancel_row(bucket, job.submitted_id): job.submitted_id
            for job in included
        }
        moved = {
            tables.job_row(bucket, job.id): job
            for job in included
            if job.moved_from
        }
        if not changed or changed - cancelled.keys() - moved.keys():
            _LOG.log(
                job_events.JOB_ROW_CHANGED,
                bucket=bucket,
                rows=[row.at.key for row in conflict.rows],
            )
            raise tables.CellLostError(
                "another holder has written the cell's rows"
            ) from conflict
        left = [moved[at] for at in changed & moved.keys()]
        for job in left:
            job.moved_from = ""
            _LOG.log(job_events.JOB_LEFT, job=job.id, to=job.cell)
        for at in changed & cancelled.keys():
            _LOG.log(
                job_events.JOB_CANCEL_MISSED,
                job=cancelled[at],
                cell=self._claim_key.key,
            )
            self._on_cancel(cancelled[at])
        return left

    def _build_change(
        self,
        bucket: str,
        waiting: list[jobs.Job],
        extra_rows: dict[str, dict[stores.RowKey, bytes | None]],
    ) -> tuple[stores.Change, list[jobs.Job]]:
        change = stores.Change()
        if self._claim_key.part == bucket:
            change.expected[self._claim_key] = self._claim_version
        included: list[jobs.Job] = []
        for job in waiting:
            added = self._change_of(bucket, job, extra_rows.get(job.id, {}))
            size_bytes = change.size_bytes() + added.size_bytes()
            entries = change.entry_count() + added.entry_count()
            if included and (
                size_bytes > MAX_TRANSACTION_BYTES
                or entries > stores.MAX_TRANSACTION_ENTRIES
            ):
                break
            change.add(added)
            included.append(job)
        return change, included

    def _change_of(
        self,
        bucket: str,
        job: jobs.Job,
        extra_rows: dict[stores.RowKey, bytes | None],
    ) -> stores.Change:
        at = tables.job_row(bucket, job.id)
        change = stores.Change(
            expected={at: job.version},
            writes={at: self._encode(job)} | extra_rows,
        )
        cancel_at = tables.cancel_row(bucket, job.submitted_id)
        if job.moved_from:
            former_at = tables.spec_row(job.moved_from, bucket, job.id)
            change.writes[former_at] = None
            at = tables.spec_row(job.cell, bucket, job.id)
            change.writes[at] = codec.spec_to_bytes(job.spec, job.cell)
        if not job.is_ended():
            change.expected[cancel_at] = 0
        elif job.is_standing() and job.state is jobs.JobState.FAILED:
            # One row ends its lent tasks, however many there are.
            change.writes[cancel_at] = b"{}"
        return change

    def _encode(self, job: jobs.Job) -> bytes:
        """Return the row of a job, without checkpoints that don't fit."""
        data = codec.job_to_bytes(job)
        left_out = checkpoints.choose_left_out(
            job, surplus_bytes=len(data) - stores.MAX_ROW_BYTES
        )
        if len(left_out) != job.checkpoints_left_out:
            job.checkpoints_left_out = len(left_out)
            self._on_left_out(job, len(left_out))
        if not left_out:
            return data
        return codec.job_to_bytes(job, left_out=left_out)


def _split_off(job_id: str, batch: Batch, earlier: Batch) -> Batch:
    """Return a batch of one job, which leaves the batch that it is in.

    Args:
        job_id: Id of the job.
        batch: The batch that it leaves.
        earlier: Batch with what was to be written of it before.
    """
    found = Batch()
    found.take(job_id, batch)
    if job_id in earlier.writes:
        found.take(job_id, earlier)
    del batch.jobs[job_id], batch.writes[job_id]
    batch.extra_rows.pop(job_id, None)
    return found


async def remove_job(
    store: stores.Store, job: jobs.Job, keys: list[stores.RowKey]
) -> None:
    """Remove the rows of an expired job; failures are only logged.

    Args:
        store: The store.
        job: The job.
        keys: Keys of its rows.
    """
    change = stores.Change(
        expected={tables.job_row(job.bucket, job.id): job.version},
        writes=dict.fromkeys(keys),
    )
    try:
        await store.commit(change)
    except errors.PlatformError as exc:
        _LOG.log(job_events.JOB_NOT_REMOVED, job=job.id, cause=str(exc))
