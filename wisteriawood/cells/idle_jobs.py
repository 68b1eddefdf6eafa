"""Reports the jobs of a cell of which nothing runs, and the reason."""

import collections
import enum
import math
import typing

import anyio

from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood.cells import workers
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
# Most needs of similar tasks that one line lists.
MAX_NEEDS = 4
# Counts the workers that nothing rules out.
NO_OBSTACLE = "none"


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
            fields |= self._describe_waiting(job, waiting[0], now_s)
        if assigned:
            fields["assigned"] = [
                self._describe_assigned(job, task, now_s)
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

    def _describe_waiting(
        self, job: jobs.Job, task: tasks.Task, now_s: float
    ) -> dict[str, typing.Any]:
        """Return the fields about a waiting task.

        The workers are counted by what rules them out.
        """
        cell, step = self._cell, job.step_of(task)
        obstacles: collections.Counter[str] = collections.Counter()
        pinning: collections.Counter[str] = collections.Counter()
        for worker in cell.fleet.values():
            # Forecasts made here must not become those of later decisions.
            view = worker.snapshot()
            withheld = start_checks.find_obstacle(cell, worker)
            obstacle = withheld or cell.placer.find_obstacle(
                job, task, view, now_s
            )
            obstacles[obstacle or NO_OBSTACLE] += 1
            if not step.is_filler:
                continue
            obstacle = withheld or cell.placer.find_pinning_obstacle(
                job, task, view, now_s
            )
            pinning[obstacle or NO_OBSTACLE] += 1
        return {
            "waiting_task": job.task_name(task),
            "needs": [step.cpu_millicores, step.memory_mb, step.accelerators],
            "is_filler": step.is_filler,
            "is_gang": step.is_gang,
            "waiting_jobs": sum(1 for _entry in cell.waiting_jobs()),
            "obstacles": dict(obstacles),
            "pinning_obstacles": dict(pinning),
            "unplaced_needs": cell.placer.unplaced_needs(step)[:MAX_NEEDS],
            "intake_idle_s": _rounded(now_s - cell.last_job_at_s),
            "is_intake_idle": cell.placer.is_intake_idle,
            "pinning_idle_s": _rounded(cell.placer.idle_s(job, now_s)),
        }

    def _describe_assigned(
        self, job: jobs.Job, task: tasks.Task, now_s: float
    ) -> dict[str, typing.Any]:
        """Return the fields about an assigned task."""
        fields: dict[str, typing.Any] = {
            "task": job.task_name(task),
            "worker": task.worker_id,
            "run": task.run,
        }
        worker = self._cell.fleet.get(task.worker_id)
        if worker is not None:
            fields["is_listed"] = not worker.is_gone
            fields["answers"] = worker.has_answered_recently(now_s)
        run = _find_run(self._cell.fleet.values(), task)
        if run is None:
            orphans = self._cell.orphans.get(task.worker_id, [])
            is_orphan = any(orphan.task is task for orphan in orphans)
            fields["found"] = "orphan" if is_orphan else "nowhere"
            return fields
        return fields | {
            "found": "worker",
            "was_sent": run.was_sent,
            "is_answered": run.is_answered,
            "is_confirmed": run.is_confirmed,
            "is_stopping": run.is_stopping,
            "age_s": round(now_s - run.assigned_at_s, 1),
        }


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


def _find_run(
    fleet: typing.Iterable[workers.Worker], task: tasks.Task
) -> runs.Run | None:
    """Return the newest run of an assigned task; None if no worker has it."""
    for worker in fleet:
        for run in worker.runs.values():
            if run.task is task and run.is_current():
                return run
    return None


def _rounded(time_s: float | None) -> float | None:
    """Return a time for the log; None if it is not known."""
    if time_s is None or not math.isfinite(time_s):
        return None
    return round(time_s, 1)
