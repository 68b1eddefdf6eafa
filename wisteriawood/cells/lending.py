"""Lending standing tasks to cells that have room for them.

A lent task becomes a job of its own in the other cell: its rows are
written in the same transaction as the lender's, so that at each moment one
cell alone may start it.
"""

import dataclasses
import typing

import anyio

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
# Time that a standing task waits for room in its own cell.
WAIT_S = 0.8
# Tasks lent in one look; the loads of the other cells are a second old.
MAX_AT_ONCE = 4


def choose_cell(loads: dict[str, dict], step: specs.StepSpec) -> str:
    """Return the cell with most room for a task; empty for none.

    A worker there must have the room now. What waits there does not count
    against it, since standing tasks go before it.

    Args:
        loads: What the holders of the other cells last told.
        step: Step of the task.
    """
    found = [
        (load.get("free", 0), cell)
        for cell, load in loads.items()
        if load.get("largest", 0) >= step.cpu_millicores
    ]
    return max(found, default=(0, ""))[1]


def _lent_id(job: jobs.Job, task: tasks.Task) -> str:
    return f"{job.id}~{task.occurrence}.{task.step}.{task.index}"


def lend(
    job: jobs.Job, task: tasks.Task, cell: str
) -> dict[stores.RowKey, bytes | None]:
    """Hand a waiting task to another cell.

    Args:
        job: Its job.
        task: The task.
        cell: The other cell.

    Returns:
        The rows to write together with the job's.
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


def cancel_lent(job: jobs.Job) -> dict[stores.RowKey, bytes | None]:
    """Return the rows that cancel the lent tasks of a job.

    Args:
        job: The job.
    """
    return {
        tables.cancel_row(task.worker_id, job.bucket, _lent_id(job, task)): (
            b"{}"
        )
        for task in job.all_tasks()
        if task.phase is tasks.Phase.LENT
    }


class Lender:
    """Hands standing tasks that find no room to cells that have some.

    Args:
        cell: The cell that lends.
    """

    __slots__ = ("_cell", "_waiting_since_s")

    def __init__(self, *, cell: "cells.Cell"):
        self._cell = cell
        # When each task was first and last seen waiting.
        self._waiting_since_s: dict[str, tuple[float, float]] = {}

    def look(self) -> None:
        """Lend the tasks that have waited long enough, some at a time."""
        now_s = anyio.current_time()
        lent = 0
        for job, step_tasks in list(self._cell.waiting_steps()):
            task = step_tasks[0]
            step = job.step_of(task)
            if not step.is_standing or step.is_gang:
                continue
            if not self._has_waited(task, job, now_s):
                continue
            to = choose_cell(self._cell.other_loads, step)
            if not to or lent >= MAX_AT_ONCE:
                continue
            lent += 1
            self._lend(job, task, to)

    def _lend(self, job: jobs.Job, task: tasks.Task, to: str) -> None:
        cell = self._cell
        extras = lend(job, task, to)
        cell.other_loads[to]["free"] -= job.step_of(task).cpu_millicores
        _LOG.log(
            job_events.TASK_LENT,
            task=job.task_name(task),
            cell=cell.name,
            to=to,
        )
        cell.ledger.mark(job, extras)
        cell.refresh(job)

    def _has_waited(
        self, task: tasks.Task, job: jobs.Job, now_s: float
    ) -> bool:
        """Tell whether a task has found no room for a while."""
        name = job.task_name(task)
        since_s, seen_s = self._waiting_since_s.get(name, (now_s, now_s))
        if now_s - seen_s > WAIT_S:
            # It ran in between.
            since_s = now_s
        self._waiting_since_s[name] = (since_s, now_s)
        return now_s - since_s >= WAIT_S
