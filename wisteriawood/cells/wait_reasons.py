"""Describes in log fields what a task that doesn't run waits for."""

import collections
import math
import typing

from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

# Most needs of similar tasks that one line lists.
MAX_NEEDS = 4
# Counts the workers that nothing rules out.
NO_OBSTACLE = "none"


def describe_waiting(
    cell: "cells.Cell", job: jobs.Job, task: tasks.Task, now_s: float
) -> dict[str, typing.Any]:
    """Return the fields about a waiting task.

    The workers are counted by what rules them out.

    Args:
        cell: The cell in which it waits.
        job: Its job.
        task: The task.
        now_s: Monotonic time.
    """
    step = job.step_of(task)
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
        "intake_idle_s": round_time(now_s - cell.last_job_at_s),
        "is_intake_idle": cell.placer.is_intake_idle,
        "pinning_idle_s": round_time(cell.placer.idle_s(job, now_s)),
    }


def describe_assigned(
    cell: "cells.Cell", job: jobs.Job, task: tasks.Task, now_s: float
) -> dict[str, typing.Any]:
    """Return the fields about an assigned task.

    Args:
        cell: The cell in which it is assigned.
        job: Its job.
        task: The task.
        now_s: Monotonic time.
    """
    fields: dict[str, typing.Any] = {
        "task": job.task_name(task),
        "worker": task.worker_id,
        "run": task.run,
    }
    worker = cell.fleet.get(task.worker_id)
    if worker is not None:
        fields["is_listed"] = not worker.is_gone
        fields["answers"] = worker.has_answered_recently(now_s)
    run = _find_run(cell.fleet.values(), task)
    if run is None:
        orphans = cell.orphans.get(task.worker_id, [])
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


def round_time(time_s: float | None) -> float | None:
    """Return a time for the log; None if it is not known.

    Args:
        time_s: The time; None or infinite if it is not known.
    """
    if time_s is None or not math.isfinite(time_s):
        return None
    return round(time_s, 1)


def _find_run(
    fleet: typing.Iterable[workers.Worker], task: tasks.Task
) -> runs.Run | None:
    """Return the newest run of an assigned task; None if no worker has it."""
    for worker in fleet:
        for run in worker.runs.values():
            if run.task is task and run.is_current():
                return run
    return None
