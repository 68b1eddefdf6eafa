"""The jobs of a cell in the store, and what of them its holder knows."""

import dataclasses

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time for which reads of the progress of a job may be stale, after a loss of
# history, and the pause between them.
STALE_READ_S = 20.0
STALE_READ_RETRY_S = 0.5
# Time after which a stored job that the holder does not know is logged, and
# the pause before it is logged again.
UNKNOWN_LOG_DELAY_S = 3.0
UNKNOWN_LOG_PERIOD_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class UnknownJob:
    """A job of the cell that the store has and the holder does not know.

    Attributes:
        since_s: Monotonic time since which it is known to be missing.
        log_at_s: Monotonic time at which it is logged next.
    """

    since_s: float
    log_at_s: float


class StoredJobs:
    """The jobs that the store has for a cell, as the feed reports them.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_rows_at", "_unknown")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        # Addresses of the specifications that name this cell, by job id.
        self._rows_at: dict[str, stores.RowKey] = {}
        self._unknown: dict[str, UnknownJob] = {}

    def close(self) -> None:
        """Remove the count of a cell that is no longer held."""
        self._cell.counters.jobs_unknown.remove(self._cell.name)

    def load_all(
        self, rows: list[stores.StoredRow], states: list[stores.StoredRow]
    ) -> list[stores.StoredRow]:
        """Load the jobs of the cell from reads of the whole tables.

        Args:
            rows: The specifications of the zone's jobs.
            states: The progress of all jobs.

        Returns:
            The specifications whose progress was older when it was read.
        """
        states_by_id = {row.at.key: row for row in states}
        stale = []
        for row in rows:
            spec = self._record(row)
            if spec is None:
                continue
            state = states_by_id.get(row.at.key)
            if state is None or state.version < row.version:
                stale.append(row)
                continue
            self._load(row, spec, state)
        return stale

    def process(self, rows: list[stores.StoredRow]) -> None:
        """Process changed specifications.

        Args:
            rows: Changed rows of the zone's table.
        """
        for row in rows:
            spec = self._record(row)
            if spec is None or row.at.key in self._cell.jobs:
                continue
            if spec.moves:
                self._cell.run_in_background(self.load_with_progress, row)
                continue
            job = jobs.Job(spec=spec, cell=self._cell.name, bucket=row.at.part)
            # Both rows of a job are written in one transaction, so they share
            # a version until the holder writes the row with the progress.
            job.version = row.version
            self._cell.add_job(job)
        self._cell.request_placement()

    def forget(self, job_id: str) -> None:
        """Forget a job that this cell removes from the store.

        Args:
            job_id: Id of the job.
        """
        self._rows_at.pop(job_id, None)

    def check(self) -> None:
        """Count the stored jobs that the holder does not know."""
        now_s = anyio.current_time()
        missing = self._rows_at.keys() - self._cell.jobs.keys()
        self._cell.counters.jobs_unknown.labels(cell=self._cell.name).set(
            len(missing)
        )
        for job_id in self._unknown.keys() - missing:
            del self._unknown[job_id]
        for job_id in missing:
            self._note_unknown(job_id, now_s)

    def _note_unknown(self, job_id: str, now_s: float) -> None:
        unknown = self._unknown.get(job_id)
        if unknown is None:
            unknown = self._unknown[job_id] = UnknownJob(
                since_s=now_s, log_at_s=now_s + UNKNOWN_LOG_DELAY_S
            )
        if now_s >= unknown.log_at_s:
            unknown.log_at_s = now_s + UNKNOWN_LOG_PERIOD_S
            _LOG.log(
                job_events.JOB_UNKNOWN,
                job=job_id,
                cell=self._cell.name,
                for_s=round(now_s - unknown.since_s, 3),
            )

    def _record(self, row: stores.StoredRow) -> specs.JobSpec | None:
        """Record a specification; return it if it names this cell.

        Args:
            row: Changed row of the zone's table.
        """
        job_id = row.at.key
        if row.value is None:
            self._rows_at.pop(job_id, None)
            return None
        try:
            cell, spec = codec.spec_from_bytes(row.value)
        except errors.MessageError as exc:
            _LOG.log(job_events.JOB_ROW_UNREADABLE, job=job_id, cause=str(exc))
            return None
        if cell != self._cell.name:
            self._rows_at.pop(job_id, None)
            return None
        self._rows_at[job_id] = row.at
        return spec

    def _load(
        self,
        row: stores.StoredRow,
        spec: specs.JobSpec,
        state: stores.StoredRow,
    ) -> None:
        """Load a job with its progress.

        Args:
            row: Row of its specification.
            spec: The specification.
            state: Row of its progress.
        """
        try:
            job = codec.job_from_bytes(spec, row.at.part, state.value or b"")
        except errors.MessageError as exc:
            _LOG.log(
                job_events.JOB_ROW_UNREADABLE, job=row.at.key, cause=str(exc)
            )
            return
        if job.cell != self._cell.name:
            # It has been moved on since its specification was read.
            return
        job.version = state.version
        self._cell.add_job(job)
        now_s = anyio.current_time()
        for task in job.all_tasks():
            if task.phase is tasks.Phase.ASSIGNED:
                run = runs.Run(job=job, task=task, assigned_at_s=now_s)
                self._cell.orphans.setdefault(task.worker_id, []).append(run)

    async def load_with_progress(self, row: stores.StoredRow) -> None:
        """Read the progress of a job and load the job.

        Both rows were written in one transaction, so a row with an older
        version is one that a stale read returned.

        Args:
            row: Row of its specification.
        """
        _cell, spec = codec.spec_from_bytes(row.value or b"")
        give_up_at_s = anyio.current_time() + STALE_READ_S
        while row.at.key not in self._cell.jobs:
            try:
                page = await self._cell.store.read(
                    tables.JOBS, row.at.part, key=row.at.key
                )
            except errors.PlatformError as exc:
                _LOG.log(
                    job_events.CELL_LOAD_FAILED,
                    cell=self._cell.name,
                    cause=str(exc),
                )
                await anyio.sleep(feeds.RETRY_DELAY_S)
                continue
            if page.rows and page.rows[0].version >= row.version:
                self._load(row, spec, page.rows[0])
                self._cell.request_placement()
                self._log_loaded(row.at.key)
                return
            if anyio.current_time() >= give_up_at_s:
                _LOG.log(
                    job_events.JOB_ROW_UNREADABLE,
                    job=row.at.key,
                    cause="the job's progress is missing",
                )
                return
            await anyio.sleep(STALE_READ_RETRY_S)

    def _log_loaded(self, job_id: str) -> None:
        job = self._cell.jobs.get(job_id)
        if job is None:
            return
        _LOG.log(
            job_events.JOB_LOADED,
            job=job_id,
            cell=self._cell.name,
            moves=job.spec.moves,
            state=job.state,
        )
