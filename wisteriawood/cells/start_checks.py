"""Checks whether a task may be started on a worker now."""

import typing

import anyio

from wisteriawood.cells import progress
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.links import clocks

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells


def find_obstacle(cell: "cells.Cell", worker: workers.Worker) -> str:
    """Return why no task may be started on a worker now.

    This is checked when a task is assigned and again whenever its start is
    sent: the news of a draining worker, of a drained zone or of a cancelled
    job may arrive in between, or may be on its way while the store is read
    late.

    Args:
        cell: The cell of the worker.
        worker: The worker.

    Returns:
        The reason; empty if tasks may be started.
    """
    return find_worker_obstacle(cell, worker) or find_cell_obstacle(cell)


def find_cell_obstacle(cell: "cells.Cell") -> str:
    """Return why no task may be started in a cell now, whatever the worker.

    A placement pass checks this once, not for each worker.

    Args:
        cell: The cell.

    Returns:
        The reason; empty if tasks may be started.
    """
    cancel_age_s = clocks.elapsed_s() - cell.cancels_confirmed_at_s()
    if cancel_age_s > cell.max_cancel_age_s:
        return "the known cancellations are out of date"
    return cell.zone_drains.find_obstacle(cell.zone)


def find_worker_obstacle(cell: "cells.Cell", worker: workers.Worker) -> str:
    """Return what about a worker rules out that a task is started there.

    Args:
        cell: The cell of the worker.
        worker: The worker.

    Returns:
        The reason; empty if there is none.
    """
    registration = worker.registration
    if worker.is_gone:
        return "the worker is not in the directory"
    if worker.is_silent(anyio.current_time()):
        return "the worker does not answer"
    if registration.is_draining:
        return "the worker drains"
    if registration.started_unix_ms not in (0, worker.started_unix_ms):
        return "the directory describes another instance of the worker"
    if not cell.directory.is_recent(worker.id):
        return "the worker's entry in the directory is out of date"
    return ""


def withdraw(
    cell: "cells.Cell", worker: workers.Worker, run: runs.Run
) -> None:
    """Stop a run whose start may not be sent, and the rest of its gang.

    Args:
        cell: The cell of the worker.
        worker: The worker.
        run: The run.
    """
    cell.stop_run(worker, run)
    if not run.step.is_gang:
        return
    members = {
        run.job.task_name(member)
        for member in progress.gang_of(run.job, run.task)
    }
    for other in cell.fleet.values():
        for name in members & other.runs.keys():
            cell.stop_run(other, other.runs[name])
