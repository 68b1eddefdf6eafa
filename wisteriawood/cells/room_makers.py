"""Stops batch tasks where a standing task would wait too long for its room."""

import typing

from wisteriawood.cells import kept_room
from wisteriawood.cells import runs
from wisteriawood.cells import workers
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


class RoomMaker:
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
        kept = self._cell.placer.kept
        known, self._waiting_since_s = self._waiting_since_s, {}
        crowded: dict[str, workers.Worker] = {}
        for entry in kept.entries:
            if entry.job is None or entry.task is None or not entry.task.run:
                continue
            if entry.task.phase is not tasks.Phase.WAITING:
                if self._is_lease_ending(entry.task, now_s):
                    crowded[entry.worker.id] = entry.worker
                continue
            name = entry.job.task_name(entry.task)
            since_s = known.get(name, now_s)
            self._waiting_since_s[name] = since_s
            if now_s - since_s >= MAX_WAIT_S:
                crowded[entry.worker.id] = entry.worker
        for worker in crowded.values():
            self._make_room(kept, worker)

    def _is_lease_ending(self, task: tasks.Task, now_s: float) -> bool:
        """Return whether the run of a task will soon be known to have ended.

        Args:
            task: An assigned task.
            now_s: Monotonic time.
        """
        worker = self._cell.fleet.get(task.worker_id)
        if worker is None or worker.is_answering:
            return False
        return now_s >= worker.lease.ended_at_s() - STOP_LEAD_S

    def _make_room(
        self, kept: kept_room.KeptRoom, worker: workers.Worker
    ) -> None:
        """Stop batch tasks on a worker until what is kept there fits."""
        missing_mb = kept.shortage_mb(worker)
        missing_millicores = kept.shortage_millicores(worker)
        for run in worker.runs.values():
            if run.is_stopping:
                missing_mb -= run.step.memory_mb
                missing_millicores -= _reserved_millicores(run)
        for run in sorted(worker.runs.values(), key=_stop_order):
            if run.step.is_standing or run.is_stopping:
                continue
            if missing_mb <= 0 and missing_millicores <= 0:
                return
            if missing_mb <= 0 and not _reserved_millicores(run):
                continue
            missing_mb -= run.step.memory_mb
            missing_millicores -= _reserved_millicores(run)
            _LOG.log(
                job_events.RUN_PREEMPTED,
                worker=worker.id,
                task=run.name,
                run=run.number,
                free_millicores=worker.free_millicores,
                free_mb=worker.free_memory_mb,
                missing_millicores=max(0, missing_millicores),
                missing_mb=max(0, missing_mb),
            )
            self._cell.stop_run(worker, run)


def _reserved_millicores(run: runs.Run) -> int:
    return 0 if run.step.is_filler else run.step.cpu_millicores


def _stop_order(run: runs.Run) -> tuple:
    """Return a sort key: first the runs that lose least work."""
    return (not run.step.is_checkpointing, -run.assigned_at_s, run.name)
