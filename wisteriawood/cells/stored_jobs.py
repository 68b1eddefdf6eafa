"""The jobs of a cell in the store, and what of them its holder knows.

The memory of a holder is a copy of what the store has for its cell. Jobs
enter and leave it with loads, moves and changes of the holder. A holder that
compares the two loads what it lacks, however it was lost.
"""

import dataclasses
import math
import typing

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import job_lookups
from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood.cells import worker_sessions
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time for which a stored job may be unknown before it is read from the store:
# the feed often reports soon that another cell has it now.
FIRST_LOAD_DELAY_S = 1.0
# Pause after an attempt to read a job from the store, which doubles after each
# further one.
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 5.0
# Time for which reads may be stale after a loss of history. A specification
# that reads have not shown for longer is gone.
STALE_READ_S = 20.0
# Time after which a stored job that the holder does not know is logged, and
# the pause before it is logged again.
UNKNOWN_LOG_DELAY_S = 3.0
UNKNOWN_LOG_PERIOD_S = 10.0
_NOT_THERE = "its specification is not there"


@dataclasses.dataclass(slots=True, kw_only=True)
class UnknownJob:
    """A job of the cell that the store has and the holder does not know.

    Attributes:
        since_s: Monotonic time since which it is known to be missing.
        log_at_s: Monotonic time at which it is logged next.
        load_at_s: Monotonic time of the next attempt to load it; infinite
            during an attempt.
        delay_s: Pause after that attempt.
        cause: Why the last attempt failed; empty before the first.
        missing_since_s: Monotonic time since which reads have not shown its
            specification; infinite if the last attempt did.
    """

    since_s: float
    log_at_s: float
    load_at_s: float
    delay_s: float = RETRY_DELAY_S
    cause: str = ""
    missing_since_s: float = math.inf


class StoredJobs:
    """The jobs that the store has for a cell, as the feed reports them.

    Each of them that is not in the holder's memory is loaded, for whatever
    reason it is not there.

    Args:
        cell: The cell.
        zones: All availability zones, sorted.
        on_adopt: Called with the name of a task whose run is taken over, and
            the version of the row that shows it.
    """

    __slots__ = ("_cell", "_on_adopt", "_rows", "_unknown")

    def __init__(
        self,
        *,
        cell: cells.Cell,
        zones: list[str],
        on_adopt: typing.Callable[[str, int], None] = (
            lambda _task_name, _version: None
        ),
    ):
        self._cell = cell
        self._on_adopt = on_adopt
        # Specifications that name this cell, without their values, by job id.
        self._rows: dict[str, stores.StoredRow] = {}
        self._unknown: dict[str, UnknownJob] = {}
        cell.on_job_removed = self._forget
        cell.is_foreign = job_lookups.JobLookups(
            cell=cell, zones=zones, load=self._load_current
        ).is_foreign

    def close(self) -> None:
        """Remove the count of a cell that is no longer held."""
        self._cell.counters.jobs_unknown.remove(self._cell.name)

    def load_all(
        self, rows: list[stores.StoredRow], states: list[stores.StoredRow]
    ) -> None:
        """Load the jobs of the cell from reads of the whole tables.

        Those that can't be loaded are read again later.

        Args:
            rows: The specifications of the zone's jobs.
            states: The progress of all jobs.
        """
        now_s = anyio.current_time()
        states_by_id = {row.at.key: row for row in states}
        for row in rows:
            spec = self._record(row)
            if spec is None:
                continue
            cause = self._load(row, spec, states_by_id.get(row.at.key))
            if cause:
                self._note_unknown(row.at.key, now_s).cause = cause

    def process(
        self, rows: list[stores.StoredRow], *, may_be_old: bool = False
    ) -> None:
        """Process changed specifications.

        Args:
            rows: Changed rows of the zone's table.
            may_be_old: Whether the jobs may have made progress since.
        """
        now_s = anyio.current_time()
        for row in rows:
            if row.value is None and may_be_old:
                # An audit may be as stale as what it checks. A job that is
                # not in memory is read once more.
                continue
            spec = self._record(row)
            if spec is None or row.at.key in self._cell.jobs:
                continue
            if spec.moves or may_be_old:
                unknown = self._note_unknown(row.at.key, now_s)
                self._start_load(unknown, row.at, row)
                continue
            job = jobs.Job(spec=spec, cell=self._cell.name, bucket=row.at.part)
            # Both rows of a job are written in one transaction, so they share
            # a version until the holder writes the row with the progress.
            job.version = row.version
            self._cell.add_job(job)
        self._cell.request_placement()

    def _forget(self, job: jobs.Job) -> None:
        """Forget the row of a job that was removed here.

        A newer row shows that the job has returned.

        Args:
            job: The job, as it was when it was removed.
        """
        row = self._rows.get(job.id)
        if row is not None and row.version <= job.version:
            del self._rows[job.id]

    def check(self) -> None:
        """Count and load the stored jobs that the holder does not know."""
        now_s = anyio.current_time()
        missing = self._rows.keys() - self._cell.jobs.keys()
        self._cell.counters.jobs_unknown.labels(cell=self._cell.name).set(
            len(missing)
        )
        for job_id in self._unknown.keys() - missing:
            del self._unknown[job_id]
        for job_id in missing:
            unknown = self._note_unknown(job_id, now_s)
            self._log_unknown(job_id, unknown, now_s)
            if now_s >= unknown.load_at_s:
                self._start_load(unknown, self._rows[job_id].at)

    def _note_unknown(self, job_id: str, now_s: float) -> UnknownJob:
        return self._unknown.setdefault(
            job_id,
            UnknownJob(
                since_s=now_s,
                log_at_s=now_s + UNKNOWN_LOG_DELAY_S,
                load_at_s=now_s + FIRST_LOAD_DELAY_S,
            ),
        )

    def _log_unknown(
        self, job_id: str, unknown: UnknownJob, now_s: float
    ) -> None:
        if now_s < unknown.log_at_s:
            return
        unknown.log_at_s = now_s + UNKNOWN_LOG_PERIOD_S
        _LOG.log(
            job_events.JOB_UNKNOWN,
            job=job_id,
            cell=self._cell.name,
            for_s=round(now_s - unknown.since_s, 3),
            cause=unknown.cause,
        )

    def _record(self, row: stores.StoredRow) -> specs.JobSpec | None:
        """Record a specification; return it if it names this cell.

        Args:
            row: Changed row of the zone's table.
        """
        job_id = row.at.key
        if row.value is None:
            self._rows.pop(job_id, None)
            return None
        try:
            cell, spec = codec.spec_from_bytes(row.value)
        except errors.MessageError as exc:
            _LOG.log(job_events.JOB_ROW_UNREADABLE, job=job_id, cause=str(exc))
            return None
        if cell != self._cell.name:
            self._rows.pop(job_id, None)
            return None
        self._rows[job_id] = stores.StoredRow(
            at=row.at, value=None, version=row.version
        )
        return spec

    def _load(
        self,
        row: stores.StoredRow,
        spec: specs.JobSpec,
        state: stores.StoredRow | None,
    ) -> str:
        """Load a job with its progress.

        Both rows were written in one transaction, so a row with an older
        version is one that a stale read returned.

        Args:
            row: Row of its specification.
            spec: The specification.
            state: Row of its progress; None if there is none.

        Returns:
            Why it was not loaded; empty if it was.
        """
        if state is None or state.version < row.version:
            return "its progress is older than its specification"
        try:
            job = codec.job_from_bytes(spec, row.at.part, state.value or b"")
        except errors.MessageError as exc:
            self._log_unreadable(row.at.key, str(exc))
            return str(exc)
        if job.cell != self._cell.name:
            # It has been moved on since its specification was read.
            return f"its progress names {job.cell}"
        job.version = state.version
        self._cell.add_job(job)
        for task in list(job.all_tasks()):
            if task.phase is tasks.Phase.ASSIGNED:
                self._adopt_run(job, task)
        return ""

    def _adopt_run(self, job: jobs.Job, task: tasks.Task) -> None:
        """Take over the run of an assigned task that was loaded.

        Args:
            job: Its job.
            task: The task.
        """
        cell = self._cell
        now_s = anyio.current_time()
        self._on_adopt(job.task_name(task), job.version)
        run = runs.Run(job=job, task=task, assigned_at_s=now_s)
        worker = cell.fleet.get(task.worker_id)
        if worker is None:
            cell.orphans.setdefault(task.worker_id, []).append(run)
            return
        worker_sessions.adopt_runs(worker, [run])

    def _load_current(
        self, row: stores.StoredRow, state: stores.StoredRow | None
    ) -> None:
        """Load a job from rows that are known to be current.

        Args:
            row: Row of its specification.
            state: Row of its progress; None if there is none.
        """
        spec = self._record(row)
        if spec is None or row.at.key in self._cell.jobs:
            return
        cause = self._load(row, spec, state)
        if cause:
            self._note_unknown(row.at.key, anyio.current_time()).cause = cause
            return
        self._log_loaded(row.at.key, spec)

    def _log_loaded(self, job_id: str, spec: specs.JobSpec) -> None:
        _LOG.log(
            job_events.JOB_LOADED,
            job=job_id,
            cell=self._cell.name,
            moves=spec.moves,
            state=self._cell.jobs[job_id].state,
        )
        self._cell.request_placement()

    def _log_unreadable(self, job_id: str, cause: str) -> None:
        unknown = self._unknown.get(job_id)
        if unknown is None or unknown.cause != cause:
            _LOG.log(job_events.JOB_ROW_UNREADABLE, job=job_id, cause=cause)

    def _start_load(
        self,
        unknown: UnknownJob,
        at: stores.RowKey,
        row: stores.StoredRow | None = None,
    ) -> None:
        """Start an attempt to load a job.

        Args:
            unknown: The job.
            at: Address of its specification.
            row: Row of its specification; None to read it.
        """
        unknown.load_at_s = math.inf
        self._cell.run_in_background(self._load_unknown, unknown, at, row)

    async def _load_unknown(
        self,
        unknown: UnknownJob,
        at: stores.RowKey,
        row: stores.StoredRow | None,
    ) -> None:
        try:
            unknown.cause = await self._read_and_load(at, row)
        except errors.PlatformError as exc:
            unknown.cause = str(exc)
            _LOG.log(
                job_events.CELL_LOAD_FAILED,
                cell=self._cell.name,
                cause=str(exc),
            )
        except Exception as exc:
            unknown.cause = repr(exc)
            self._cell.supervisor.record("load of a job", at.key, exc)
        now_s = anyio.current_time()
        if unknown.cause != _NOT_THERE:
            unknown.missing_since_s = math.inf
        elif now_s - unknown.missing_since_s >= STALE_READ_S:
            self._rows.pop(at.key, None)
        else:
            unknown.missing_since_s = min(unknown.missing_since_s, now_s)
        unknown.load_at_s = now_s + unknown.delay_s
        unknown.delay_s = min(2 * unknown.delay_s, MAX_RETRY_DELAY_S)

    async def _read_and_load(
        self, at: stores.RowKey, row: stores.StoredRow | None
    ) -> str:
        """Read a job from the store and load it.

        Returns:
            Why it was not loaded; empty if it was.
        """
        if row is None:
            row = await self._read(at)
        if row is None or row.value is None:
            return _NOT_THERE
        state = await self._read(tables.job_row(at.part, at.key))
        cell, spec = codec.spec_from_bytes(row.value)
        if cell != self._cell.name:
            return f"its specification names {cell}"
        if at.key in self._cell.jobs:
            return ""
        cause = self._load(row, spec, state)
        if not cause:
            self._log_loaded(at.key, spec)
        return cause

    async def _read(self, at: stores.RowKey) -> stores.StoredRow | None:
        page = await self._cell.store.read(at.table, at.part, key=at.key)
        return page.rows[0] if page.rows else None
