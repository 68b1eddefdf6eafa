"""Lending standing tasks to cells that have room for them.

A lent task becomes a job of its own in the other cell: its rows are
written in the same transaction as the lender's, so that at each moment one
cell alone may start it.
"""

import dataclasses

from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores

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
