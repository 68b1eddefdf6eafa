"""Lending of standing tasks of a job that runs in its cell otherwise.

A lent task becomes a separate job in the other cell. Its rows are written in
the same transaction as those of the lending job, so that only one cell may
start the task at any time. The row that cancels the submitted job cancels the
lent task as well: each holder reads it by itself.
"""

import dataclasses
import typing

from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores


def lent_prefix(job_id: str) -> str:
    """Return the common prefix of the ids of a job's lent tasks.

    Args:
        job_id: Id of the job.
    """
    return f"{job_id}~"


def lent_id(job_id: str, place: tuple[int, int, int]) -> str:
    """Return the id under which a task of a job is lent.

    Args:
        job_id: Id of the submitted job.
        place: Numbers of the occurrence, the step and the task.
    """
    return lent_prefix(job_id) + ".".join(map(str, place))


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
            id=lent_id(job.id, (task.occurrence, task.step, task.index)),
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


def take_back(job: jobs.Job, rows: typing.Collection[stores.RowKey]) -> None:
    """Let tasks wait here again whose loan was not stored.

    Args:
        job: Their job.
        rows: Keys of the rows that were to be written with the job's row.
    """
    for task in job.all_tasks():
        place = (task.occurrence, task.step, task.index)
        at = tables.job_row(job.bucket, lent_id(job.id, place))
        if task.phase is tasks.Phase.LENT and at in rows:
            task.release(tasks.Phase.WAITING)
