"""The ledger of a cell: its jobs' rows, written in groups."""

import anyio

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time in which changes gather before a transaction; an end and the start of
# what follows it share one.
GATHER_S = 0.015
# Time for which a transaction may be under way while the store works well.
FLOWING_S = 0.3
# Rows of one transaction; with the claim's row it stays in the bound.
MAX_JOBS = stores.MAX_ENTRIES - 2
# Bytes of one transaction; base64 makes a third more of the bound of 1 MB.
MAX_BYTES = 600_000


class Batch:
    """Jobs that are written together.

    Attributes:
        jobs: The jobs by id.
        extras: Further rows that are written with them.
        done: Set once they are in the store, or the ledger is closed.
        is_saved: Whether they are in the store.
    """

    __slots__ = ("done", "extras", "is_saved", "jobs")

    def __init__(self):
        self.jobs: dict[str, jobs.Job] = {}
        self.extras: dict[str, dict[stores.RowKey, bytes | None]] = {}
        self.done = anyio.Event()
        self.is_saved = False


class Ledger:
    """Writes the rows of a cell's jobs, one transaction at a time a bucket.

    A transaction holds only while the claim of the cell does, and while
    no one else has written the jobs.

    Args:
        store: The store.
        claim_at: Row of the claim.
        claim_version: Its version.
    """

    __slots__ = (
        "_batches",
        "_claim_at",
        "_claim_version",
        "_is_closed",
        "_store",
        "_wake",
        "_writing_since_s",
        "commits",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        claim_at: stores.RowKey,
        claim_version: int,
    ):
        self._store = store
        self._claim_at = claim_at
        self._claim_version = claim_version
        self._batches: dict[str, Batch] = {}
        self._wake: dict[str, anyio.Event] = {}
        self._is_closed = False
        self._writing_since_s: dict[str, float] = {}
        self.commits = 0

    def mark(
        self,
        job: jobs.Job,
        extras: dict[stores.RowKey, bytes | None] | None = None,
    ) -> Batch:
        """Have a job's row written soon; return the batch that does it.

        Args:
            job: The job.
            extras: Rows of the same partition that are written with it.
        """
        batch = self._batches.get(job.bucket)
        if batch is None:
            batch = self._batches[job.bucket] = Batch()
        batch.jobs[job.id] = job
        if extras:
            batch.extras.setdefault(job.id, {}).update(extras)
        wake = self._wake.get(job.bucket)
        if wake is not None:
            wake.set()
        return batch

    async def save(self, marked: list[Batch]) -> None:
        """Wait until batches are in the store.

        Args:
            marked: The batches.

        Raises:
            CellLostError: The cell has another holder now.
        """
        for batch in marked:
            await batch.done.wait()
            if not batch.is_saved:
                raise tables.CellLostError("the cell has another holder")

    def is_flowing(self, now_s: float) -> bool:
        """Tell whether changes get into the store without delay.

        Args:
            now_s: Monotonic time.
        """
        return all(
            now_s - since_s < FLOWING_S
            for since_s in self._writing_since_s.values()
        )

    def close(self) -> None:
        """Tell all who wait that nothing more is written."""
        self._is_closed = True
        for batch in self._batches.values():
            batch.done.set()

    async def write(self, bucket: str) -> None:
        """Write the batches of one bucket as they come.

        Args:
            bucket: The partition.

        Raises:
            CellLostError: The cell has another holder now.
        """
        while not self._is_closed:
            if bucket not in self._batches:
                self._wake[bucket] = anyio.Event()
                await self._wake[bucket].wait()
            await anyio.sleep(GATHER_S)
            batch = self._batches.pop(bucket)
            self._writing_since_s[bucket] = anyio.current_time()
            try:
                await self._write_batch(bucket, batch)
            finally:
                del self._writing_since_s[bucket]
                batch.done.set()

    async def _write_batch(self, bucket: str, batch: Batch) -> None:
        waiting = list(batch.jobs.values())
        while waiting:
            change, taken = self._change(bucket, waiting, batch.extras)
            try:
                version = await stores.commit_settled(self._store, change)
            except stores.ChangeConflictError as exc:
                _LOG.log(
                    job_events.JOB_ROW_CHANGED,
                    bucket=bucket,
                    rows=[row.at.key for row in exc.rows],
                )
                raise tables.CellLostError(
                    "another holder has written the cell's rows"
                ) from exc
            self.commits += 1
            for job in taken:
                job.version = version
            waiting = waiting[len(taken) :]
        batch.is_saved = True

    def _change(
        self,
        bucket: str,
        waiting: list[jobs.Job],
        extras: dict[str, dict[stores.RowKey, bytes | None]],
    ) -> tuple[stores.Change, list[jobs.Job]]:
        change = stores.Change()
        if self._claim_at.part == bucket:
            change.expected[self._claim_at] = self._claim_version
        taken: list[jobs.Job] = []
        size_bytes = 0
        for job in waiting[:MAX_JOBS]:
            at = tables.job_row(bucket, job.id)
            data = codec.job_to_bytes(job)
            size_bytes += len(data)
            rows = len(change.writes) + len(extras.get(job.id, {}))
            if taken and (size_bytes > MAX_BYTES or rows > MAX_JOBS):
                break
            change.expected[at] = job.version
            change.writes[at] = data
            change.writes.update(extras.get(job.id, {}))
            taken.append(job)
        return change, taken


async def remove(
    store: stores.Store, job: jobs.Job, keys: list[stores.RowKey]
) -> None:
    """Remove the rows of a job that ended long ago.

    Args:
        store: The store.
        job: The job.
        keys: Its rows.
    """
    change = stores.Change(
        expected={tables.job_row(job.bucket, job.id): job.version},
        writes=dict.fromkeys(keys),
    )
    try:
        await store.commit(change)
    except errors.PlatformError as exc:
        _LOG.log(job_events.JOB_NOT_REMOVED, job=job.id, cause=str(exc))
