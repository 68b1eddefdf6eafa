"""Stops batch tasks where a standing task would wait too long for its room."""

import typing

from wisteriawood.cells import reservations
from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
# Time for which a standing task that has run before waits for batch tasks to
# end. Their stop and its start take up to another second.
MAX_WAIT_S = 0.5
# Time before the end of the lease of a lost worker from which batch tasks are
# stopped for its tasks. A stop takes about as long.
STOP_LEAD_S = 0.8


class Preemptor:
    """Makes room for the standing tasks of a cell that have run before.

    Room is kept for them, but batch tasks may occupy it for longer than such
    a task may be away: they are slow, paced down, or stand still. They are
    stopped when the lease of a lost worker is about to end, or when a task has
    waited too long.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_waiting_since_s")

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        # Monotonic times, by task name.
        self._waiting_since_s: dict[str, float] = {}

    def tick(self, now_s: float) -> None:
        """Stop batch tasks on workers where a task needs its room now.

        Args:
            now_s: Monotonic time.
        """
        known, self._waiting_since_s = self._waiting_since_s, {}
        due: dict[str, list[reservations.Reservation]] = {}
        for entry in self._cell.placer.reservations.entries:
            if entry.job is None or entry.task is None or not entry.task.run:
                continue
            if entry.task.phase is not tasks.Phase.WAITING:
                is_due = self._is_end_near(entry.job, entry.task, now_s)
            else:
                name = entry.job.task_name(entry.task)
                since_s = known.get(name, now_s)
                self._waiting_since_s[name] = since_s
                is_due = now_s - since_s >= MAX_WAIT_S
            if is_due:
                due.setdefault(entry.worker.id, []).append(entry)
        for entries in due.values():
            self._make_room(entries[0].worker, [e.step for e in entries])

    def _is_end_near(
        self, job: jobs.Job, task: tasks.Task, now_s: float
    ) -> bool:
        """Return whether the run of a task will soon be known to have ended.

        Args:
            job: Job of the task.
            task: An assigned task.
            now_s: Monotonic time.
        """
        worker = self._cell.fleet.get(task.worker_id)
        if worker is None or worker.is_answering:
            return False
        run = worker.runs.get(job.task_name(task))
        ended_at_s = worker.lease.ended_at_s()
        if run is not None:
            ended_at_s = worker.run_ended_at_s(run)
        return now_s >= ended_at_s - STOP_LEAD_S

    def _make_room(
        self, worker: workers.Worker, steps: list[specs.StepSpec]
    ) -> None:
        """Stop batch tasks on a worker until some tasks fit.

        Args:
            worker: The worker.
            steps: Step of each of the tasks.
        """
        for run in sorted(worker.runs.values(), key=_stop_order):
            missing = Shortage(worker=worker, steps=steps)
            if missing.is_covered():
                return
            is_here = worker.runs.get(run.name) is run
            if not is_here or run.is_stopping or run.step.is_standing:
                # It may have been stopped with its gang.
                continue
            if not missing.is_reduced_by(run.step):
                continue
            _LOG.log(
                job_events.RUN_PREEMPTED,
                worker=worker.id,
                task=run.name,
                run=run.number,
                free_millicores=worker.free_millicores,
                free_mb=worker.free_memory_mb,
                missing_millicores=max(0, missing.cpu_millicores),
                missing_mb=max(0, missing.memory_mb),
            )
            start_checks.withdraw(self._cell, worker, run)


class Shortage:
    """What a worker lacks for some tasks; 0 or less where it has enough.

    Runs that are being stopped count as ended.

    Args:
        worker: The worker.
        steps: Step of each task.

    Attributes:
        cpu_millicores: CPU that it lacks.
        memory_mb: Memory that it lacks.
        accelerators: Accelerators that it lacks.
    """

    __slots__ = ("accelerators", "cpu_millicores", "memory_mb")

    def __init__(self, *, worker: workers.Worker, steps: list[specs.StepSpec]):
        self.cpu_millicores = (
            sum(step.cpu_millicores for step in steps) - worker.free_millicores
        )
        self.memory_mb = (
            sum(step.memory_mb for step in steps) - worker.free_memory_mb
        )
        self.accelerators = (
            sum(step.accelerators for step in steps) - worker.free_accelerators
        )
        for run in worker.runs.values():
            if run.is_stopping:
                self.cpu_millicores -= _reserved_millicores(run.step)
                self.memory_mb -= run.step.memory_mb
                self.accelerators -= run.step.accelerators

    def is_covered(self) -> bool:
        """Return whether nothing is lacking."""
        return max(self.cpu_millicores, self.memory_mb, self.accelerators) <= 0

    def is_reduced_by(self, step: specs.StepSpec) -> bool:
        """Return whether the end of a task frees some of what is lacking.

        Args:
            step: Step of the task.
        """
        return bool(
            (self.cpu_millicores > 0 and _reserved_millicores(step))
            or (self.memory_mb > 0 and step.memory_mb)
            or (self.accelerators > 0 and step.accelerators)
        )


def _reserved_millicores(step: specs.StepSpec) -> int:
    """Return the CPU that a task reserves; fillers reserve none."""
    return 0 if step.is_filler else step.cpu_millicores


def _stop_order(run: runs.Run) -> tuple:
    """Return a sort key: first the runs that lose least work.

    A gang loses the work of all its members.
    """
    return (
        run.step.is_gang,
        not run.step.is_checkpointing,
        -run.assigned_at_s,
        run.name,
    )
