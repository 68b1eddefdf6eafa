"""Moves the standing tasks of a drained zone to other cells, a few at a time.

A standing task that moves is interrupted for about a second. Its step says how
many of its tasks may be interrupted at the same time, wherever they are.
"""

import collections
import math
import typing

import anyio

from wisteriawood.cells import relocation
from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood.cells import step_views
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
# Time for which a task counts against the limit of its step after it has been
# away: callers notice interruptions within 5.5 s together, and a task that was
# just assigned elsewhere starts within half a second.
NOTICE_S = 6.0
# Least time between two reads of a job whose tasks are in several cells.
READ_PERIOD_S = 1.0
# Additional pause after a read that failed.
FAILED_READ_PAUSE_S = 4.0
# Pause between two lines about the runs that stay in the zone.
LOG_PERIOD_S = 10.0

# A run of a standing task, on its worker.
_Found = tuple[workers.Worker, runs.Run]


class ZoneEvacuator:
    """Moves standing tasks out of a cell while its zone is drained.

    A run is stopped only if another cell has room for the task. The tasks of a
    step that are in other cells are known from the rows of its job; if tasks
    of it are in several drained cells, these take turns, the first by name
    first. Batch tasks go on, and so do gangs of standing tasks, which could
    only move all at once.

    Args:
        cell: The cell.
        relocator: Moves the tasks that wait.
    """

    __slots__ = (
        "_back_at_s",
        "_cell",
        "_elsewhere",
        "_is_active",
        "_log_at_s",
        "_read_at_s",
        "_relocator",
        "_was_empty",
    )

    def __init__(self, *, cell: "cells.Cell", relocator: relocation.Relocator):
        self._cell = cell
        self._relocator = relocator
        # Monotonic times at which tasks that were stopped here were first seen
        # in another cell, by task name; infinite before.
        self._back_at_s: dict[str, float] = {}
        # Newest known run of tasks in other cells, and the monotonic time at
        # which it was last seen to change, by task name.
        self._elsewhere: dict[str, tuple[int, float]] = {}
        # Monotonic times of the last reads, by name of the step; infinite
        # during a read.
        self._read_at_s: dict[str, float] = {}
        self._log_at_s = 0.0
        self._is_active = False
        self._was_empty = False

    def tick(self, now_s: float) -> None:
        """Move a few standing tasks if the zone is drained.

        Args:
            now_s: Monotonic time.
        """
        if not self._cell.is_drained():
            self.close()
            return
        self._is_active = True
        self._withdraw_unsent()
        self._record_left()
        running = self._running_steps()
        self._forget_back(running, now_s)
        if not self._cell.writer.is_keeping_up(now_s):
            # A stopped task starts again only once its row is written.
            return
        held: collections.Counter[str] = collections.Counter()
        for step_name, found in running.items():
            cause = self._move_step(step_name, found, now_s)
            if cause:
                held[cause] += len(found)
        self._log_held(held, now_s)

    def close(self) -> None:
        """Forget what was known: the drain has ended, or the cell is left."""
        if not self._is_active:
            return
        self._is_active = False
        self._back_at_s.clear()
        self._elsewhere.clear()
        self._read_at_s.clear()
        self._log_at_s = 0.0
        self._was_empty = False
        self._cell.counters.zone_runs_left.remove(self._cell.name)

    def _withdraw_unsent(self) -> None:
        """Give up the starts that were not sent yet."""
        for worker in self._cell.fleet.values():
            for run in list(worker.runs.values()):
                if not run.was_sent and not run.is_stopping:
                    start_checks.withdraw(self._cell, worker, run)

    def _record_left(self) -> None:
        """Count the runs that are left."""
        left = sum(len(w.runs) for w in self._cell.fleet.values())
        self._cell.counters.zone_runs_left.labels(cell=self._cell.name).set(
            left
        )
        if not left and not self._was_empty:
            _LOG.log(
                job_events.ZONE_CELL_EMPTY,
                cell=self._cell.name,
                waiting=self._cell.waiting_count(),
            )
        self._was_empty = not left

    def _forget_back(
        self, running: dict[str, list[_Found]], now_s: float
    ) -> None:
        """Forget the tasks that left and no longer count."""
        self._back_at_s = {
            name: at_s
            for name, at_s in self._back_at_s.items()
            if now_s - at_s < NOTICE_S
            and step_views.step_name(name) in running
        }

    def _running_steps(self) -> dict[str, list[_Found]]:
        """Return the standing runs that could move, by name of their step."""
        found: dict[str, list[_Found]] = {}
        for worker in self._cell.fleet.values():
            for run in worker.runs.values():
                step = run.step
                if not step.is_standing or step.is_filler:
                    continue
                if run.is_current() and not run.job.is_ended():
                    key = step_views.step_name(run.name)
                    found.setdefault(key, []).append((worker, run))
        return found

    def _move_step(
        self, step_name: str, found: list[_Found], now_s: float
    ) -> str:
        """Move some of the tasks of a step, as far as that is known to do.

        Args:
            step_name: Name of the step.
            found: Its runs here.
            now_s: Monotonic time.

        Returns:
            Why none can move; empty if some move, or will later.
        """
        step = found[0][1].step
        if step.is_gang:
            return "gang"
        if not step.most_missing:
            return "none may be interrupted"
        if not self._relocator.has_room_elsewhere(step):
            return "no room elsewhere"
        missing = self._count_missing_here(step_name, now_s)
        if self._is_spread(step_name, found):
            if missing < step.most_missing or self._awaits(step_name):
                self._read_soon(step_name, found[0][1].job, now_s)
            return ""
        self._move(found, step.most_missing - missing)
        return ""

    def _is_spread(self, step_name: str, found: list[_Found]) -> bool:
        """Return whether tasks of a step may be in other cells."""
        return self._awaits(step_name) or any(
            _has_tasks_elsewhere(job)
            for job in {run.job.id: run.job for _worker, run in found}.values()
        )

    def _awaits(self, step_name: str) -> bool:
        """Return whether a task of a step left and was not seen since."""
        return any(
            at_s == math.inf and step_views.step_name(name) == step_name
            for name, at_s in self._back_at_s.items()
        )

    def _count_missing_here(self, step_name: str, now_s: float) -> int:
        """Return how many tasks of a step in this cell count as away."""
        return sum(
            self._is_missing_here(job, task, now_s)
            for job, task in self._tasks_here(step_name)
        ) + sum(
            step_views.step_name(name) == step_name and not self._is_here(name)
            for name in self._back_at_s
        )

    def _tasks_here(
        self, step_name: str
    ) -> typing.Iterator[tuple[jobs.Job, tasks.Task]]:
        """Yield the tasks of a step in this cell, with their jobs here."""
        submitted_id, occurrence, step = step_name.split(".")
        for job in self._cell.jobs_of(submitted_id):
            if job.is_ended() or job.cell != self._cell.name:
                continue
            if job.spec.lent_task:
                if step_views.step_name(job.spec.lent_task) == step_name:
                    yield from ((job, task) for task in job.all_tasks())
                continue
            steps = job.occurrences.get(int(occurrence))
            for task in steps[int(step)] if steps else ():
                if task.phase is not tasks.Phase.LENT:
                    yield job, task

    def _is_here(self, task_name: str) -> bool:
        return any(
            job.task_name(task) == task_name
            for job, task in self._tasks_here(step_views.step_name(task_name))
        )

    def _is_missing_here(
        self, job: jobs.Job, task: tasks.Task, now_s: float
    ) -> bool:
        """Return whether a task of this cell is away, or was of late.

        One that has never run is not missed. After a change of the holder,
        all runs count as new.
        """
        if not task.run:
            return False
        name = job.task_name(task)
        worker = self._cell.fleet.get(task.worker_id)
        run = worker and worker.runs.get(name)
        return not (
            worker
            and run
            and name not in self._back_at_s
            and worker.is_answering
            and run.is_current()
            and run.is_confirmed
            and not run.is_stopping
            and now_s - run.started_at_s >= NOTICE_S
        )

    def _read_soon(self, step_name: str, job: jobs.Job, now_s: float) -> None:
        """Start to read the rows of a job with tasks in other cells."""
        read_at_s = self._read_at_s.get(step_name, -math.inf)
        if now_s - read_at_s < READ_PERIOD_S:
            return
        self._read_at_s[step_name] = math.inf
        self._cell.run_in_background(
            self._read_and_move, step_name, job.submitted_id, job.bucket
        )

    async def _read_and_move(
        self, step_name: str, submitted_id: str, bucket: str
    ) -> None:
        """Read where the tasks of a job are, and move some of a step."""
        pause_s = FAILED_READ_PAUSE_S
        try:
            view = await step_views.read(
                self._cell.store, submitted_id, bucket
            )
            if self._cell.is_drained():
                self._move_spread(step_name, view, anyio.current_time())
            pause_s = 0.0
        except (errors.PlatformError, errors.MessageError) as exc:
            _LOG.log(
                job_events.ZONE_TASKS_UNREAD,
                cell=self._cell.name,
                job=submitted_id,
                cause=str(exc),
            )
        except Exception as exc:
            self._cell.supervisor.record("zone evacuation", step_name, exc)
        finally:
            self._read_at_s[step_name] = anyio.current_time() + pause_s

    def _move_spread(
        self, step_name: str, view: step_views.JobView, now_s: float
    ) -> None:
        """Move tasks of a step of which others are in other cells.

        Args:
            step_name: Name of the step.
            view: Where the tasks of its job are.
            now_s: Monotonic time.
        """
        cell = self._cell
        missing = self._count_missing_here(step_name, now_s)
        # Whether no drained cell before this one has tasks of the step.
        is_first = True
        here = {
            job.task_name(task) for job, task in self._tasks_here(step_name)
        }
        for place in view.tasks_of(step_name):
            is_running = place.task.phase is tasks.Phase.ASSIGNED
            if place.name in self._back_at_s:
                # Counted already.
                if is_running and place.cell != cell.name:
                    back_at_s = min(now_s, self._back_at_s[place.name])
                    self._back_at_s[place.name] = back_at_s
                    self._elsewhere[place.name] = (place.task.run, back_at_s)
                continue
            if place.name in here:
                continue
            if place.cell == cell.name:
                # It has come since, or the row is older than what is known.
                missing += 1
                continue
            missing += self._is_missing_elsewhere(place, now_s)
            is_first = is_first and not (
                is_running
                and place.cell < cell.name
                and cell.zone_drains.is_drained(place.zone())
            )
        found = self._running_steps().get(step_name, [])
        if found and is_first:
            allowed = found[0][1].step.most_missing - missing
            self._move(found, allowed)

    def _is_missing_elsewhere(
        self, place: step_views.TaskPlace, now_s: float
    ) -> bool:
        """Return whether a task of another cell is away, or was of late.

        A row shows a task as assigned until the lease of its worker has ended.
        So all tasks of a cell count as away while a worker with runs there
        does not answer, or while the cell has no live holder. Nor is it known
        for how long one has run that is seen for the first time.
        """
        task = place.task
        if not task.run:
            return False
        is_away = (
            task.phase is not tasks.Phase.ASSIGNED
            or place.cell not in self._cell.steady_cells
        )
        run, changed_at_s = self._elsewhere.get(place.name, (task.run, now_s))
        if is_away or run != task.run:
            changed_at_s = now_s
        self._elsewhere[place.name] = (task.run, changed_at_s)
        return is_away or now_s - changed_at_s < NOTICE_S

    def _move(self, found: list[_Found], allowed: int) -> None:
        """Stop some runs for which other cells have room.

        Args:
            found: Runs of one step.
            allowed: How many may be stopped.
            now_s: Monotonic time.
        """
        movable = [
            (worker, run)
            for worker, run in found
            if run.is_confirmed
            and not run.is_stopping
            and worker.is_answering
            and not self._cell.writer.has_unwritten(run.job)
        ]
        # A worker that drains stops its runs anyway.
        movable.sort(
            key=lambda item: (
                not item[0].registration.is_draining,
                item[1].name,
            )
        )
        for worker, run in movable[: max(0, allowed)]:
            to = self._relocator.reserve_elsewhere(run.job, run.task)
            if not to:
                return
            _LOG.log(
                job_events.ZONE_RUN_MOVED,
                cell=self._cell.name,
                worker=worker.id,
                task=run.name,
                run=run.number,
                to=to,
            )
            self._back_at_s[run.name] = math.inf
            self._cell.counters.zone_runs_moved.inc()
            self._cell.stop_run(worker, run)

    def _log_held(self, held: collections.Counter[str], now_s: float) -> None:
        """Log from time to time which standing tasks can't move, and why."""
        if now_s < self._log_at_s:
            return
        self._log_at_s = now_s + LOG_PERIOD_S
        if held:
            _LOG.log(
                job_events.ZONE_RUNS_HELD,
                cell=self._cell.name,
                causes=dict(held),
            )


def _has_tasks_elsewhere(job: jobs.Job) -> bool:
    """Return whether tasks of a submitted job are in other cells."""
    return bool(job.spec.lent_task) or any(
        task.phase is tasks.Phase.LENT for task in job.all_tasks()
    )
