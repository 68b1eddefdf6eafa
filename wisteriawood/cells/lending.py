"""Lending of standing tasks to cells with free capacity for them.

A lent task becomes a separate job in the other cell. Its rows are written in
the same transaction as those of the lending job, so that only one cell may
start the task at any time. The row that cancels the submitted job cancels the
lent task as well: each holder reads it by itself.
"""

import dataclasses
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
# Least time for which a standing task waits for capacity in its own cell.
MIN_WAIT_S = 0.8
# Most tasks lent in one pass; bounded because the reported loads of other
# cells are about a second old.
MAX_LENT_PER_PASS = 4


def choose_cell(
    loads: dict[str, claims.CellLoad], step: specs.StepSpec
) -> str:
    """Return the cell with most free CPU for a task; empty for none.

    One of its workers must have enough free CPU for the task now. Tasks
    waiting there don't count, since standing tasks are started before them.

    Args:
        loads: Load that the holders of the other cells last reported, by
            cell.
        step: Step of the task.
    """
    candidates = [
        (load.free_millicores, cell)
        for cell, load in loads.items()
        if load.largest_free_millicores >= step.cpu_millicores
    ]
    return max(candidates, default=(0, ""))[1]


def lent_prefix(job_id: str) -> str:
    """Return the common prefix of the ids of a job's lent tasks.

    Args:
        job_id: Id of the job.
    """
    return f"{job_id}~"


def _lent_id(job: jobs.Job, task: tasks.Task) -> str:
    number = f"{task.occurrence}.{task.step}.{task.index}"
    return lent_prefix(job.id) + number


def lend(
    job: jobs.Job, task: tasks.Task, cell: str
) -> dict[stores.RowKey, bytes | None]:
    """Lend a waiting task to another cell.

    Args:
        job: Its job.
        task: The task.
        cell: The other cell.

    Returns:
        The rows to write in the same transaction as the job's row.
    """
    lent = jobs.Job(
        spec=specs.JobSpec(
            id=_lent_id(job, task),
            queue=job.spec.queue,
            payload=job.spec.payload,
            steps=[
                dataclasses.replace(job.step_of(task), task_count=1, after=[])
            ],
            accepted_unix_ms=job.spec.accepted_unix_ms,
            lent_task=job.task_name(task),
            runs_before=task.run,
            checkpoint=task.checkpoint,
        ),
        cell=cell,
        bucket=job.bucket,
    )
    task.phase = tasks.Phase.LENT
    task.worker_id = cell
    return {
        tables.spec_row(cell, job.bucket, lent.id): codec.spec_to_bytes(
            lent.spec, cell
        ),
        tables.job_row(job.bucket, lent.id): codec.job_to_bytes(lent),
    }


class Lender:
    """Lends standing tasks that don't fit here to cells with free capacity.

    Args:
        cell: The cell that lends.
    """

    __slots__ = ("_cell", "_waiting_since_s")

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        # Monotonic times at which each task was first and last seen waiting.
        self._waiting_since_s: dict[str, tuple[float, float]] = {}

    def tick(self) -> None:
        """Lend tasks that have waited long enough, a few in each pass."""
        now_s = anyio.current_time()
        lent = 0
        for job, step_tasks in list(self._cell.waiting_steps()):
            task = step_tasks[0]
            step = job.step_of(task)
            if not step.is_standing or step.is_gang:
                continue
            if not self._has_waited_long_enough(task, job, now_s):
                continue
            to = choose_cell(self._cell.other_loads, step)
            if not to or lent >= MAX_LENT_PER_PASS:
                continue
            lent += 1
            self._lend(job, task, to)

    def _lend(self, job: jobs.Job, task: tasks.Task, to: str) -> None:
        cell = self._cell
        extras = lend(job, task, to)
        step = job.step_of(task)
        cell.other_loads[to].free_millicores -= step.cpu_millicores
        _LOG.log(
            job_events.TASK_LENT,
            task=job.task_name(task),
            cell=cell.name,
            to=to,
        )
        cell.writer.schedule_write(job, extras)
        cell.update_waiting(job)

    def _has_waited_long_enough(
        self, task: tasks.Task, job: jobs.Job, now_s: float
    ) -> bool:
        """Return whether a task has waited for at least MIN_WAIT_S."""
        name = job.task_name(task)
        since_s, seen_s = self._waiting_since_s.get(name, (now_s, now_s))
        if now_s - seen_s > MIN_WAIT_S:
            # The task was not waiting in between.
            since_s = now_s
        self._waiting_since_s[name] = (since_s, now_s)
        return now_s - since_s >= MIN_WAIT_S
