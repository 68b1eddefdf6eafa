"""Reports the jobs of a cell of which nothing runs, and the reason."""

import collections
import enum
import math
import typing

import anyio

from wisteriawood.cells import start_checks
from wisteriawood.cells import wait_reasons
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 1.0
# Time without a running task after which a job counts as idle. It is shorter
# than the wait before a move, so jobs that move to and fro are reported.
IDLE_TIMEOUT_S = 2.5
# Least time between two lines about one job.
LOG_PERIOD_S = 10.0
# Most lines of one check.
MAX_LINES = 2
# Most assigned tasks that one line lists.
MAX_LOGGED_TASKS = 4


class Reason(enum.StrEnum):
    """Why nothing of a job runs; those that need attention most come first."""

    # Waiting tasks that the placer does not know.
    NOT_QUEUED = "not_queued"
    ASSIGNED = "assigned"
    PENDING_WRITE = "pending_write"
    PASSED_OVER = "passed_over"
    NO_WORKER = "no_worker"


_LOG_ORDER = {reason: rank for rank, reason in enumerate(Reason)}


class IdleJob:
    """A job of which nothing runs although a step is ready.

    Args:
        job: The job.
        ready: The tasks of its ready steps.
        idle_s: For how long nothing has run.
        queued: Number of its tasks that the placer tries to place.
        reason: Why nothing runs.
    """

    __slots__ = ("idle_s", "job", "queued", "ready", "reason")

    def __init__(
        self,
        *,
        job: jobs.Job,
        ready: list[tasks.Task],
        idle_s: float,
        queued: int,
        reason: Reason,
    ):
        self.job = job
        self.ready = ready
        self.idle_s = idle_s
        self.queued = queued
        self.reason = reason


class IdleJobMonitor:
    """Logs and counts the jobs of a cell of which nothing runs.

    It only reads the state of the cell.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_idle_since_s", "_logged_at_s")

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        self._idle_since_s: dict[str, float] = {}
        self._logged_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Check the jobs until cancelled."""
        try:
            while True:
                await anyio.sleep(CHECK_PERIOD_S)
                self.check()
        finally:
            gauge = self._cell.counters.jobs_idle
            for reason in Reason:
                gauge.remove(self._cell.name, reason)

    def check(self) -> None:
        """Count the idle jobs and log some of them."""
        now_s = anyio.current_time()
        idle = self._find_idle(now_s)
        counts = collections.Counter(found.reason for found in idle)
        for reason in Reason:
            self._cell.counters.jobs_idle.labels(
                cell=self._cell.name, reason=reason
            ).set(counts[reason])
        due = [
            found
            for found in idle
            if now_s - self._logged_at_s.get(found.job.id, -math.inf)
            >= LOG_PERIOD_S
        ]
        due.sort(key=lambda found: (_LOG_ORDER[found.reason], -found.idle_s))
        for found in due[:MAX_LINES]:
            self._logged_at_s[found.job.id] = now_s
            self._log(found, now_s, left_out=max(0, len(due) - MAX_LINES))

    def _find_idle(self, now_s: float) -> list[IdleJob]:
        """Return the jobs that have been idle for IDLE_TIMEOUT_S."""
        running = self._running_ids(now_s)
        queued = {
            job.id: sum(map(len, steps))
            for job, steps in self._cell.waiting_jobs()
        }
        has_worker = any(
            not start_checks.find_obstacle(self._cell, worker)
            and worker.is_usable(now_s)
            for worker in self._cell.fleet.values()
        )
        known, self._idle_since_s = self._idle_since_s, {}
        idle = []
        for job in self._cell.jobs.values():
            if job.id in running:
                continue
            ready = _ready_tasks(job)
            if not ready:
                continue
            since_s = known.get(job.id, now_s)
            self._idle_since_s[job.id] = since_s
            if now_s - since_s < IDLE_TIMEOUT_S:
                continue
            idle.append(
                IdleJob(
                    job=job,
                    ready=ready,
                    idle_s=now_s - since_s,
                    queued=queued.get(job.id, 0),
                    reason=self._reason_of(
                        job, ready, job.id in queued, has_worker
                    ),
                )
            )
        self._logged_at_s = {
            job_id: at_s
            for job_id, at_s in self._logged_at_s.items()
            if job_id in self._idle_since_s
        }
        return idle

    def _running_ids(self, now_s: float) -> set[str]:
        """Return the jobs with a run that a worker confirms."""
        return {
            run.job.id
            for worker in self._cell.fleet.values()
            if worker.has_answered_recently(now_s)
            for run in worker.runs.values()
            if run.is_confirmed and not run.is_stopping and run.is_current()
        }

    def _reason_of(
        self,
        job: jobs.Job,
        ready: list[tasks.Task],
        is_queued: bool,
        has_worker: bool,
    ) -> Reason:
        if job.moved_from or self._cell.writer.has_unwritten(job):
            return Reason.PENDING_WRITE
        if any(task.phase is tasks.Phase.ASSIGNED for task in ready):
            return Reason.ASSIGNED
        if not is_queued:
            return Reason.NOT_QUEUED
        return Reason.PASSED_OVER if has_worker else Reason.NO_WORKER

    def _log(self, found: IdleJob, now_s: float, *, left_out: int) -> None:
        cell, job = self._cell, found.job
        phases = collections.Counter(t.phase.name.lower() for t in found.ready)
        waiting = [t for t in found.ready if t.phase is tasks.Phase.WAITING]
        assigned = [t for t in found.ready if t.phase is tasks.Phase.ASSIGNED]
        fields: dict[str, typing.Any] = {}
        if waiting:
            fields |= wait_reasons.describe_waiting(
                cell, job, waiting[0], now_s
            )
        if assigned:
            fields["assigned"] = [
                wait_reasons.describe_assigned(cell, job, task, now_s)
                for task in assigned[:MAX_LOGGED_TASKS]
            ]
            fields["assigned_left_out"] = max(
                0, len(assigned) - MAX_LOGGED_TASKS
            )
        _LOG.log(
            job_events.JOB_IDLE,
            job=job.id,
            cell=cell.name,
            reason=found.reason,
            idle_s=round(found.idle_s, 1),
            age_s=round(now_s - job.accepted_at_s, 1),
            moves=job.spec.moves,
            tasks=dict(phases),
            queued_tasks=found.queued,
            has_unwritten=cell.writer.has_unwritten(job),
            moved_from=job.moved_from,
            jobs_left_out=left_out,
            **fields,
        )


def _ready_tasks(job: jobs.Job) -> list[tasks.Task]:
    """Return the tasks of the ready steps that could run in this cell.

    Steps whose tasks are all done or lent are left out.
    """
    here = (tasks.Phase.WAITING, tasks.Phase.ASSIGNED)
    return [
        task
        for step in job.ready_steps()
        if any(member.phase in here for member in step)
        for task in step
    ]
