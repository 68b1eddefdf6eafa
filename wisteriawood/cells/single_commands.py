"""Commands that are sent to a worker once, without a queue or a retry."""

import typing

from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.links import runners
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)


def stop_unknown_run(
    cell: "cells.Cell", worker: workers.Worker, active: runners.ActiveRun
) -> None:
    """Stop a run that is not assigned to the worker.

    If the call fails, the next report lists the run again.

    Args:
        cell: The cell of the worker.
        worker: The worker.
        active: The run as the worker reported it.
    """
    cell.run_in_background(
        _send,
        cell,
        worker,
        active.task_name,
        lambda: worker.link.stop(active.task_name, active.run, worker.token),
        job_events.RUN_STOP_UNANSWERED,
    )


def send_pace(
    cell: "cells.Cell", worker: workers.Worker, run: runs.Run
) -> None:
    """Send a run's pace, in percent of full speed, to its worker.

    If the call fails, the worker keeps the old pace until the pacer changes
    it again: at its next checks while the tail latency is near its bound,
    unless the pace is already 0.

    Args:
        cell: The cell of the worker.
        worker: The worker.
        run: The run.
    """
    cell.run_in_background(
        _send,
        cell,
        worker,
        run.name,
        lambda: worker.link.pace(
            run.name, run.number, run.pace_percent, worker.token
        ),
        job_events.PACE_UNANSWERED,
    )


async def _send(
    cell: "cells.Cell",
    worker: workers.Worker,
    task_name: str,
    call: typing.Callable[[], typing.Awaitable[None]],
    unanswered: events.Event,
) -> None:
    token = worker.token
    try:
        await call()
    except runners.FencedError as exc:
        if worker.token > token:
            _LOG.log(
                unanswered, worker=worker.id, task=task_name, cause=str(exc)
            )
            return
        raise tables.CellLostError("the worker has a newer holder") from exc
    except errors.LinkError as exc:
        _LOG.log(unanswered, worker=worker.id, task=task_name, cause=str(exc))
    except Exception as exc:
        cell.supervisor.record("command", task_name, exc)
