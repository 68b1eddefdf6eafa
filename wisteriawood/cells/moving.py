"""Moving of whole jobs to another cell.

All rows of a job are in one partition, whichever cell runs it. One transaction
of a fixed size therefore moves a job with its progress: until it is committed,
the job belongs to the one cell, and from then on to the other.
"""

import dataclasses
import typing

from wisteriawood.cells import job_writers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)


def can_move(job: jobs.Job) -> bool:
    """Return whether nothing of a job can run in its cell.

    Args:
        job: The job.
    """
    return all(
        task.phase is not tasks.Phase.ASSIGNED for task in job.all_tasks()
    )


def move(cell: "cells.Cell", job: jobs.Job, to: str) -> None:
    """Start moving a job to another cell.

    Args:
        cell: The cell that has the job.
        job: The job; nothing of it can run.
        to: Name of the other cell.
    """
    _LOG.log(
        job_events.JOB_MOVED,
        job=job.id,
        cell=cell.name,
        to=to,
        moves=job.spec.moves + 1,
    )
    job.spec = dataclasses.replace(job.spec, moves=job.spec.moves + 1)
    job.moved_from = job.cell
    job.cell = to
    cell.update_waiting(job)
    write = cell.writer.schedule_write(job)
    cell.run_in_background(_finish, cell, job, write)


async def _finish(
    cell: "cells.Cell", job: jobs.Job, write: job_writers.JobWrite
) -> None:
    await cell.writer.wait_until_stored([write])
    if job.cell != cell.name:
        cell.remove_moved_job(job)
