"""Task state transitions, each submitted as one change to the group commit.

Every change is conditional on the rack's row, and thereby on the epoch under
which the rack is held, and on the version of the task's own row.
"""

import dataclasses
import time
import typing

from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import racks
from wisteriawood.machines import workers
from wisteriawood.telemetry import events

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

MAX_FAILURES = 6
MAX_FAILED_WORKERS = 3

_LOG = events.Logger(name=__name__)


def _move_writes(old_key: str, new_key: str, task: tasks.Task) -> list:
    return [
        platforms.Write(key=old_key),
        platforms.Write(key=new_key, value=rows.to_value(task)),
        platforms.Write(
            key=keys.pointer(task.spec.id),
            value=rows.to_value(tasks.TaskPointer(key=new_key)),
        ),
    ]


async def assign(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
) -> None:
    """Commit the assignment of a waiting task, as its next attempt.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker; the placement already uses its resources.
        placement: The placement of the waiting task.

    Raises:
        TransactionConflictError: The task was placed, cancelled or changed,
            or the rack is no longer held.
        PlatformUnavailableError: Nothing was written.
    """
    before = placement.task
    task = dataclasses.replace(
        before,
        state=tasks.TaskState.ASSIGNED,
        attempt=before.attempt + 1,
        rack=worker.rack,
        worker=worker.name,
        worker_address=worker.address,
        epoch=rack.holding.epoch,
        started_unix_s=time.time(),
    )
    old_key = keys.pending(scheduler.zone, task.spec.id)
    new_key = keys.placed(scheduler.zone, worker.rack, task.spec.id)
    cancel_key = keys.cancel(scheduler.zone, task.spec.id)
    placement.version = await scheduler.commits.commit(
        conditions=[
            rack.condition(),
            platforms.Condition(key=old_key, version=placement.version),
            platforms.Condition(key=cancel_key, version=0),
        ],
        writes=_move_writes(old_key, new_key, task),
    )
    placement.task = task
    placement.is_committed = True


def _submit(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    writes: list[platforms.Write],
) -> None:
    key = _placed_key(scheduler, rack, placement)
    placement.change = scheduler.commits.submit(
        conditions=[
            rack.condition(),
            platforms.Condition(key=key, version=placement.version),
        ],
        writes=writes,
        notify=worker.wake,
    )


def _placed_key(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    placement: workers.Placement,
) -> str:
    return keys.placed(
        scheduler.zone, rack.holding.rack, placement.task.spec.id
    )


def record(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    **fields: typing.Any,
) -> None:
    """Change fields of a task that stays on its worker.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.
        **fields: New values of fields of the task.
    """
    task = dataclasses.replace(placement.task, **fields)
    placement.new_task = task
    placement.is_ending = False
    key = _placed_key(scheduler, rack, placement)
    writes = [platforms.Write(key=key, value=rows.to_value(task))]
    _submit(scheduler, rack, worker, placement, writes)


def requeue(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    **fields: typing.Any,
) -> None:
    """Requeue a task whose attempt is known to have ended.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.
        **fields: New values of fields of the task.
    """
    task = dataclasses.replace(
        placement.task, rack="", worker="", worker_address="", **fields
    )
    placement.new_task = task
    placement.is_ending = True
    old_key = _placed_key(scheduler, rack, placement)
    new_key = keys.pending(scheduler.zone, task.spec.id)
    writes = _move_writes(old_key, new_key, task)
    _submit(scheduler, rack, worker, placement, writes)


def end(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    **fields: typing.Any,
) -> None:
    """End a task whose attempt is known to have ended.

    A pending cancel request of the task is deleted in the same change.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.
        **fields: New values of fields of the task.
    """
    task = dataclasses.replace(
        placement.task, ended_unix_s=time.time(), **fields
    )
    placement.new_task = task
    placement.is_ending = True
    old_key = _placed_key(scheduler, rack, placement)
    writes = _move_writes(old_key, keys.ended(task.spec.id), task)
    if placement.is_cancelled:
        cancel_key = keys.cancel(scheduler.zone, task.spec.id)
        writes.append(platforms.Write(key=cancel_key))
    _submit(scheduler, rack, worker, placement, writes)


def remove_from_worker(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    reason: str,
) -> None:
    """Remove from its worker a task whose attempt is known to have ended.

    A cancelled task ends; any other goes back into the queue.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.
        reason: Reason shown to operators.
    """
    args = (scheduler, rack, worker, placement)
    if placement.is_cancelled:
        end(*args, state=tasks.TaskState.CANCELLED, reason="cancelled")
        return
    requeue(*args, state=tasks.TaskState.EVICTED, reason=reason)


def fail(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    reason: str,
) -> None:
    """Requeue a failed task, or end it when it has no retries left.

    It has none after MAX_FAILURES failed attempts, or failures on
    MAX_FAILED_WORKERS different workers. A cancelled task ends as cancelled.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.
        reason: Why the attempt failed.
    """
    args = (scheduler, rack, worker, placement)
    scheduler.placer.record_failure(placement.task.spec.id, worker.name)
    failures = [*placement.task.failures, worker.name]
    if placement.is_cancelled:
        remove_from_worker(*args, reason)
    elif (
        len(failures) >= MAX_FAILURES
        or len(set(failures)) >= MAX_FAILED_WORKERS
    ):
        end(
            *args,
            state=tasks.TaskState.FAILED,
            failures=failures,
            reason=f"failed on {', '.join(sorted(set(failures)))}: {reason}",
        )
    else:
        requeue(
            *args,
            state=tasks.TaskState.PENDING,
            failures=failures,
            reason=f"failed on {worker.name}: {reason}",
        )


async def apply_commit(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
) -> None:
    """Apply the outcome of a placement's pending change, if it is known.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        placement: The task on it.

    Raises:
        PlatformError: The row could not be read again after a conflict.
    """
    change = placement.change
    if change is None or not change.done.is_set():
        return
    if isinstance(change.error, errors.TransactionConflictError):
        await _reread_row(scheduler, rack, worker, placement)
    elif change.error is None:
        _apply_change(rack, worker, placement, change.version)
    placement.change = None
    placement.new_task = None


def _apply_change(
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    version: int,
) -> None:
    before = placement.task
    task = placement.new_task
    placement.task = task
    placement.version = version
    if placement.is_ending:
        worker.remove(task.spec.id)
        rack.targets.pop(f"{task.spec.id}.{task.attempt}", None)
    if task.state == before.state:
        return
    event = _EVENT_BY_STATE.get(task.state, events.TASK_ENDED)
    _LOG.log(
        event,
        task=task.spec.id,
        attempt=task.attempt,
        worker=worker.name,
        state=task.state,
        reason=task.reason,
    )


_EVENT_BY_STATE = {
    tasks.TaskState.PENDING: events.TASK_REQUEUED,
    tasks.TaskState.RUNNING: events.TASK_STARTED,
    tasks.TaskState.STOPPING: events.TASK_STOPPING,
    tasks.TaskState.EVICTED: events.TASK_EVICTED,
}


async def _reread_row(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
) -> None:
    row = await scheduler.platform.read(
        _placed_key(scheduler, rack, placement)
    )
    if row is None:
        worker.remove(placement.task.spec.id)
        _LOG.log(events.TASK_ROW_GONE, task=placement.task.spec.id)
        return
    task = rows.from_value(row.value, tasks.Task)
    if task.epoch > rack.holding.epoch:
        # Another scheduler holds the rack by now; the next check of the
        # racks removes the rack here.
        return
    placement.task = task
    placement.version = row.version
