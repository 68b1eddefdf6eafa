"""Relocation of waiting work to cells whose workers can run it."""

import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import lending
from wisteriawood.cells import moving
from wisteriawood.cells import runs
from wisteriawood.cells import worker_groups
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
# Least time for which a standing task waits for capacity in its own cell, and
# a job that no worker of its cell can ever run.
MIN_WAIT_S = 0.8
# The same for a job that only waits for other work to end. A move may take it
# away from its data.
BUSY_WAIT_S = 3.0
# Time in which the runs of a job that is to move must have stopped.
LEAVING_TIMEOUT_S = 3.0
# Time that a run must have left to be stopped in a drained zone, where other
# tasks of its job wait. A stop, a move and a start take about a second.
LONG_RUN_S = 3.0
# Moves of a job that lengthen the wait before the next one.
MAX_COUNTED_MOVES = 3
# Most jobs and tasks relocated in one pass; bounded because the reported loads
# of other cells are about a second old.
MAX_PER_PASS = 8
# The same for tasks for which another cell keeps room.
MAX_RESERVED_PER_PASS = 32


def choose_reserving_cell(
    loads: dict[str, claims.CellLoad], step: specs.StepSpec
) -> str:
    """Return the cell that keeps most room for a step; empty for none.

    Args:
        loads: Load that the holders of the other cells last reported, by
            cell.
        step: Step of standing tasks.
    """
    fitting = {
        cell: worker_groups.count_fitting(load.reserved, step, load.racks)
        for cell, load in loads.items()
    }
    best = max(sorted(fitting), key=fitting.__getitem__, default="")
    return best if best and fitting[best] else ""


def choose_cell(
    loads: dict[str, claims.CellLoad], step: specs.StepSpec, needed: int = 1
) -> str:
    """Return the cell that can run most tasks of a step now; empty for none.

    Among equal ones, it is the cell with most free CPU. Tasks that wait there
    don't count, since what is free does not suffice for them.

    Args:
        loads: Load that the holders of the other cells last reported, by
            cell.
        step: Step of the tasks.
        needed: Number of tasks that must fit.
    """
    candidates = []
    for cell, load in loads.items():
        fitting = worker_groups.count_fitting(load.free, step, load.racks)
        wanted = step.cpu_millicores * needed
        if step.is_filler and load.left_millicores < wanted:
            continue
        if fitting >= needed:
            candidates.append((fitting, load.free_millicores, cell))
    return max(candidates, default=(0, 0, ""))[2]


def can_ever_run(
    workers: typing.Collection[worker_groups.WorkerGroup],
    step: specs.StepSpec,
    racks: typing.Collection[str],
) -> bool:
    """Return whether workers could run a step if nothing else ran there.

    Args:
        workers: The workers with all of their capacity.
        step: The step.
        racks: Racks of the workers.
    """
    needed = step.task_count if step.is_gang else 1
    return worker_groups.count_fitting(workers, step, racks) >= needed


def can_ever_run_all(load: claims.CellLoad, spec: specs.JobSpec) -> bool:
    """Return whether a cell could run each step of a job if it were idle.

    Args:
        load: Load that the holder of the cell last reported.
        spec: The job.
    """
    return all(
        can_ever_run(load.total, step, load.racks) for step in spec.steps
    )


class Relocator:
    """Relocates what waits in a cell to cells that can run it.

    A job of which nothing runs here is moved with all of its tasks. Of other
    jobs, standing tasks are lent; fillers that only crawl are stopped, so that
    their job can be moved.

    Where the zone is drained, none of that waits any longer.

    Args:
        cell: The cell.
    """

    __slots__ = (
        "_cell",
        "_is_drained",
        "_reserved_left",
        "_leaving",
        "_left",
        "_most_free_millicores",
        "_most_left_millicores",
        "_reserved_cells",
        "_total",
        "_waiting_since_s",
    )

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        # Whether nothing may start here as the zone is drained.
        self._is_drained = False
        # Monotonic times since which each step has had waiting tasks, by the
        # id of the job and the numbers of the occurrence and the step.
        self._waiting_since_s: dict[tuple[str, int, int], float] = {}
        # How much may still be relocated in this pass.
        self._left = 0
        # The same for tasks for which another cell keeps room.
        self._reserved_left = 0
        # Cells to which jobs move whose runs are being stopped, and until
        # when, by the id of the job.
        self._leaving: dict[str, tuple[str, float]] = {}
        # Cells chosen for standing tasks that are being stopped to move there,
        # and until when, by task name.
        self._reserved_cells: dict[str, tuple[str, float]] = {}
        # Workers of the cell with all of their capacity.
        self._total: list[worker_groups.WorkerGroup] = []
        # Most CPU that a worker of another cell has free, and that another
        # cell leaves for fillers.
        self._most_free_millicores = 0
        self._most_left_millicores = 0

    def tick(self) -> None:
        """Relocate what has waited long enough, a few in each pass."""
        self._most_free_millicores = self._most_left_millicores = 0
        if not self._cell.directory.is_current():
            return
        now_s = anyio.current_time()
        self._is_drained = self._cell.is_drained()
        known = self._waiting_since_s
        self._waiting_since_s = {}
        self._left = MAX_PER_PASS
        self._reserved_left = MAX_RESERVED_PER_PASS
        self._leaving = {
            job_id: leaving
            for job_id, leaving in self._leaving.items()
            if now_s < leaving[1]
        }
        self._reserved_cells = {
            name: reserved
            for name, reserved in self._reserved_cells.items()
            if now_s < reserved[1]
        }
        self._total = self._cell.total_capacity()
        loads = self._cell.other_loads.values()
        self._most_free_millicores = max(
            (group.cpu_millicores for load in loads for group in load.free),
            default=0,
        )
        self._most_left_millicores = max(
            (load.left_millicores for load in loads), default=0
        )
        for job, steps in list(self._cell.waiting_jobs()):
            waits_s = []
            for step_tasks in steps:
                first = step_tasks[0]
                key = (job.id, first.occurrence, first.step)
                since_s = known.get(key, now_s)
                self._waiting_since_s[key] = since_s
                waits_s.append(now_s - since_s)
            if self._left > 0 or self._reserved_left > 0:
                self._relocate(job, steps, waits_s)

    def _relocate(
        self,
        job: jobs.Job,
        steps: list[list[tasks.Task]],
        waits_s: list[float],
    ) -> None:
        writer = self._cell.writer
        if job.is_refused:
            return
        if writer.has_unwritten(job):
            # The number of changes that one transaction contains is bounded.
            is_urgent = any(
                self._is_urgent(job, step_tasks[0]) for step_tasks in steps
            )
            if job.moved_from or not is_urgent:
                return
            if not writer.may_relocate(job):
                return
        if moving.can_move(job):
            for step_tasks, wait_s in zip(steps, waits_s):
                if self._move(job, step_tasks, wait_s):
                    return
            return
        for step_tasks, wait_s in zip(steps, waits_s):
            step = job.step_of(step_tasks[0])
            if step.is_standing and not step.is_gang:
                self._lend(job, step_tasks, wait_s)
                if self._is_drained:
                    # These tasks leave without the rest of their job.
                    continue
            if self._is_drained or (
                wait_s >= BUSY_WAIT_S and self.is_better_elsewhere(job, step)
            ):
                self._stop_for_move(job, step_tasks)

    def is_better_elsewhere(self, job: jobs.Job, step: specs.StepSpec) -> bool:
        """Return whether a filler that fits nowhere here should move.

        A job that has moved before starts beyond the load limits instead,
        since the reports of other cells don't show these limits.

        Args:
            job: The job.
            step: Step of the filler.
        """
        if self.is_leaving(job):
            return True
        return (
            step.is_filler
            and not job.spec.moves
            and bool(self._choose_cell(step, 1))
        )

    def has_room_elsewhere(self, step: specs.StepSpec) -> bool:
        """Return whether another cell can run a task of a step now.

        Args:
            step: The step.
        """
        return bool(self._choose_cell(step, 1))

    def reserve_elsewhere(self, job: jobs.Job, task: tasks.Task) -> str:
        """Choose the cell for a standing task that is about to be stopped.

        It counts as one of the tasks relocated in this pass, and goes there
        once its run has ended.

        Args:
            job: Its job.
            task: The task.

        Returns:
            The cell; empty if no other one can run the task now, or if enough
            was relocated in this pass.
        """
        if self._left <= 0:
            return ""
        step = job.step_of(task)
        to = self._choose_cell(step, 1)
        if to:
            self._record(to, step, 1)
            until_s = anyio.current_time() + LEAVING_TIMEOUT_S
            self._reserved_cells[job.task_name(task)] = (to, until_s)
        return to

    def _take_reserved(self, job: jobs.Job, task: tasks.Task) -> str:
        """Return the cell chosen for a task before it was stopped, once."""
        to, _until_s = self._reserved_cells.pop(job.task_name(task), ("", 0.0))
        return to if to in self._cell.other_loads else ""

    def is_leaving(self, job: jobs.Job) -> bool:
        """Return whether the runs of a job are being stopped for a move.

        Args:
            job: The job.
        """
        return job.id in self._leaving

    def _stop_for_move(
        self, job: jobs.Job, step_tasks: list[tasks.Task]
    ) -> None:
        """Stop the runs of a job if all of them can go on elsewhere.

        They were started beyond limits, or the zone is drained and they would
        run for long. Another cell must have room for the whole step, which is
        reserved.

        Args:
            job: The job.
            step_tasks: Waiting tasks of one of its steps.
        """
        if self._left <= 0 or job.id in self._leaving:
            return
        found = []
        now_s = anyio.current_time()
        for task in job.all_tasks():
            if task.phase is not tasks.Phase.ASSIGNED:
                continue
            worker = self._cell.fleet.get(task.worker_id)
            run = worker and worker.runs.get(job.task_name(task))
            if not run or not run.step.is_checkpointing:
                return
            if self._is_drained:
                if run.step.is_standing or _left_s(run, now_s) < LONG_RUN_S:
                    return
            elif not run.is_pinned or now_s - run.started_at_s < BUSY_WAIT_S:
                return
            found.append((worker, run))
        step = job.step_of(step_tasks[0])
        unfinished = len(step_tasks) + len(found)
        to = self._choose_cell(step, unfinished)
        if not to:
            return
        self._record(to, step, unfinished)
        self._leaving[job.id] = (to, now_s + LEAVING_TIMEOUT_S)
        for worker, run in found:
            self._cell.stop_run(worker, run)

    def _move(
        self, job: jobs.Job, step_tasks: list[tasks.Task], wait_s: float
    ) -> bool:
        """Move a job if another cell can run its waiting step sooner."""
        cell = self._cell
        step = job.step_of(step_tasks[0])
        fits_here = can_ever_run(self._total, step, cell.racks())
        is_urgent = self._is_urgent(job, step_tasks[0])
        is_unplaceable = self._is_unplaceable(job, step_tasks[0])
        if not is_urgent and wait_s < self._min_wait_s(job, step, fits_here):
            return False
        to, _until_s = self._leaving.pop(job.id, ("", 0.0))
        to = to or self._take_reserved(job, step_tasks[0])
        if to in self._cell.other_loads:
            moving.move(cell, job, to)
            return True
        if is_unplaceable and self._reserved_left > 0:
            to = choose_reserving_cell(cell.other_loads, step)
            if to:
                self._record_reserved(to, step)
                moving.move(cell, job, to)
                return True
        if self._left <= 0:
            return False
        needed = len(step_tasks) if step.is_gang else 1
        to = self._choose_cell(step, needed)
        if not to and not fits_here:
            to = self._choose_capable_cell(step)
        if not to:
            return False
        self._record(to, step, len(step_tasks))
        moving.move(cell, job, to)
        return True

    def _min_wait_s(
        self, job: jobs.Job, step: specs.StepSpec, fits_here: bool
    ) -> float:
        """Return for how long a step must have waited before its job moves.

        Args:
            job: The job.
            step: The step.
            fits_here: Whether a worker here could run it if it were idle.
        """
        if self._is_drained:
            return 0.0
        if step.is_standing or not fits_here:
            return MIN_WAIT_S
        if self._cell.placer.is_intake_idle and self.is_better_elsewhere(
            job, step
        ):
            return MIN_WAIT_S
        if step.is_filler and self._has_memory_for(step):
            # Bounds the moves to and fro between cells that are all near
            # their load limits, which reports don't show.
            return BUSY_WAIT_S * (1 + min(job.spec.moves, MAX_COUNTED_MOVES))
        return BUSY_WAIT_S

    def _has_memory_for(self, step: specs.StepSpec) -> bool:
        return any(
            worker.has_capacity_for(step)
            for worker in self._cell.fleet.values()
        )

    def _choose_cell(self, step: specs.StepSpec, needed: int) -> str:
        """Return a cell that can run tasks of a step now; empty for none.

        In a system that is full, most steps are ruled out at once.
        """
        most_millicores = (
            self._most_left_millicores
            if step.is_filler
            else self._most_free_millicores
        )
        if step.cpu_millicores > most_millicores:
            return ""
        return choose_cell(self._cell.other_loads, step, needed)

    def _choose_capable_cell(self, step: specs.StepSpec) -> str:
        """Return a cell that can run a step once it has free capacity."""
        return max(
            (
                (load.free_millicores, cell)
                for cell, load in self._cell.other_loads.items()
                if can_ever_run(load.total, step, load.racks)
            ),
            default=(0, ""),
        )[1]

    def _is_unplaceable(self, job: jobs.Job, task: tasks.Task) -> bool:
        """Return whether no worker here will have room for a standing task.

        It has run before, so it must not wait for long.
        """
        return job.task_name(task) in self._cell.placer.unplaceable

    def _is_urgent(self, job: jobs.Job, task: tasks.Task) -> bool:
        """Return whether a task need not wait here before it leaves.

        In a drained zone no task need wait; elsewhere, standing tasks for
        which there will be no room need not. One that has moved once for each
        other cell waits: their reports don't show what keeps it out.
        """
        if self._is_drained:
            return True
        return job.spec.moves <= len(
            self._cell.other_loads
        ) and self._is_unplaceable(job, task)

    def _lend(
        self, job: jobs.Job, step_tasks: list[tasks.Task], wait_s: float
    ) -> None:
        """Lend the standing tasks of a step that other cells can run."""
        step = job.step_of(step_tasks[0])
        writer = self._cell.writer
        others = []
        for task in step_tasks:
            if not writer.has_room_for_loan(job):
                return
            if not self._is_urgent(job, task) and wait_s < MIN_WAIT_S:
                continue
            to = self._take_reserved(job, task)
            if to:
                self._lend_task(job, task, to)
            else:
                others.append(task)
        for task in others:
            if not writer.has_room_for_loan(job):
                return
            to = ""
            if self._is_unplaceable(job, task) and self._reserved_left > 0:
                to = choose_reserving_cell(self._cell.other_loads, step)
            if to:
                self._record_reserved(to, step)
            elif self._left > 0:
                to = self._choose_cell(step, 1)
                if to:
                    self._record(to, step, 1)
            if not to:
                return
            self._lend_task(job, task, to)

    def _lend_task(self, job: jobs.Job, task: tasks.Task, to: str) -> None:
        cell = self._cell
        _LOG.log(
            job_events.TASK_LENT,
            task=job.task_name(task),
            cell=cell.name,
            to=to,
        )
        cell.writer.schedule_write(job, lending.lend(job, task, to))
        cell.update_waiting(job)

    def _record_reserved(self, to: str, step: specs.StepSpec) -> None:
        """Count a task for which another cell keeps room."""
        self._reserved_left -= 1
        load = self._cell.other_loads[to]
        worker_groups.reserve(load.reserved, step, 1, load.racks)

    def _record(self, to: str, step: specs.StepSpec, task_count: int) -> None:
        """Count relocated tasks until the other cell reports them."""
        self._left -= 1
        load = self._cell.other_loads[to]
        wanted = step.cpu_millicores * task_count
        if step.is_filler:
            load.left_millicores -= wanted
        else:
            load.free_millicores -= wanted
        worker_groups.reserve(load.free, step, task_count, load.racks)


def _left_s(run: runs.Run, now_s: float) -> float:
    """Return the time that a run has left by the estimate of its step."""
    return run.step.expected_run_ms / 1000 - (now_s - run.started_at_s)
