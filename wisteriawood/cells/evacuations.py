"""Moves runs off draining workers before the workers stop."""

from wisteriawood.cells import cells
from wisteriawood.cells import start_checks
from wisteriawood.cells import workers
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)


def evacuate(cell: cells.Cell, now_s: float) -> None:
    """Stop runs on draining workers that can move without losing work.

    A run is stopped only if another worker has enough free capacity for it.
    Its task then waits for a new run: standing tasks start again, and tasks
    with checkpoints resume. Each pass stops at most one standing task per
    draining worker. All other tasks keep running, as they may finish before
    the worker stops. Runs whose start has not been sent are assigned again.

    The runs in a drained zone are left to its evacuation.

    Args:
        cell: The cell.
        now_s: Monotonic time.
    """
    if cell.is_drained():
        # No other worker here can take a run.
        return
    others = [w for w in cell.fleet.values() if w.is_usable(now_s)]
    for worker in cell.fleet.values():
        if worker.registration.is_draining and not worker.is_gone:
            _evacuate_worker(cell, worker, others)


def _evacuate_worker(
    cell: cells.Cell, worker: workers.Worker, others: list[workers.Worker]
) -> None:
    for run in list(worker.runs.values()):
        if not run.was_sent and not run.is_stopping:
            # Its start waits behind other commands to the worker.
            start_checks.withdraw(cell, worker, run)
            continue
        if run.is_stopping or not run.is_confirmed:
            continue
        if not run.step.is_standing and not run.step.is_checkpointing:
            continue
        reservations = cell.placer.reservations
        if not any(
            other.has_capacity_for(run.step)
            and reservations.leaves_room_for(other, run.step, run.task)
            for other in others
        ):
            continue
        _LOG.log(
            job_events.RUN_EVACUATED,
            worker=worker.id,
            task=run.name,
            run=run.number,
            remaining_ms=worker.registration.remaining_ms,
        )
        cell.stop_run(worker, run)
        if run.step.is_standing:
            return
