"""Attempts: one round of a scheduler with one worker."""

import time
import typing

import anyio

from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood.contracts import terms
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import racks
from wisteriawood.machines import targets
from wisteriawood.machines import workers
from wisteriawood.telemetry import events

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

_LOG = events.Logger(name=__name__)
_ENDS = {
    worker_links.AttemptState.FINISHED: tasks.TaskState.FINISHED,
    worker_links.AttemptState.FAILED: tasks.TaskState.FAILED,
    worker_links.AttemptState.STOPPED: tasks.TaskState.CANCELLED,
}


async def serve(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
) -> None:
    """Read a worker's inventory, start, renew and record the ends.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.

    Raises:
        LinkError: The worker does not answer.
        PlatformError: A change of state was not committed.
    """
    inventory = await worker.link.inventory()
    received_at_s = anyio.current_time()
    # The worker read its clock before the answer arrived, so a time
    # reckoned from the arrival is never later than it should be.
    to_worker_s = inventory.clock_s - received_at_s
    if not worker.is_known:
        worker.is_known = True
        _LOG.log(events.WORKER_CONNECTED, worker=worker.name)
    reports = {
        (report.task, report.attempt): report for report in inventory.attempts
    }
    await _renew(scheduler, worker, to_worker_s)
    worker.usage = {
        report.task: report for report in await worker.link.usage()
    }
    for placement in list(worker.placements.values()):
        if not placement.is_committed:
            continue
        task = placement.task
        report = reports.get((task.spec.id, task.attempt))
        if report is None:
            await _start(scheduler, worker, placement, to_worker_s)
        elif report.state in _ENDS:
            await _record_end(scheduler, rack, worker, placement, report)
        else:
            await _record_running(scheduler, rack, placement, report)


async def _start(
    scheduler: "schedulers.Scheduler",
    worker: workers.Worker,
    placement: workers.Placement,
    to_worker_s: float,
) -> None:
    ends_at_s = scheduler.membership.term.ends_at_s()
    if placement.task.state != tasks.TaskState.ASSIGNED or ends_at_s is None:
        return
    task = placement.task
    await worker.link.start(
        worker_links.StartCommand(
            spec=task.spec,
            attempt=task.attempt,
            lease_s=terms.LEASE_S,
            not_after_s=ends_at_s + to_worker_s,
            checkpoint=task.checkpoint,
        )
    )
    worker.wake()


async def _renew(
    scheduler: "schedulers.Scheduler",
    worker: workers.Worker,
    to_worker_s: float,
) -> None:
    running = {
        placement.task.spec.id: placement.task.attempt
        for placement in worker.placements.values()
        if placement.task.state == tasks.TaskState.RUNNING
    }
    ends_at_s = scheduler.membership.term.ends_at_s()
    if not running or ends_at_s is None:
        return
    await worker.link.renew(
        worker_links.RenewCommand(
            attempts=running,
            lease_s=terms.LEASE_S,
            not_after_s=ends_at_s + to_worker_s,
        )
    )


async def _record_running(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    placement: workers.Placement,
    report: worker_links.AttemptReport,
) -> None:
    task = placement.task
    if report.address:
        _see_target(rack, task, report)
    if task.state == tasks.TaskState.RUNNING:
        return
    task.state = tasks.TaskState.RUNNING
    key = keys.placed(scheduler.zone, rack.holding.rack, task.spec.id)
    placement.version = await scheduler.commits.commit(
        conditions=[
            rack.condition(),
            platforms.Condition(key=key, version=placement.version),
        ],
        writes=[platforms.Write(key=key, value=rows.to_value(task))],
    )
    _LOG.log(events.TASK_STARTED, task=task.spec.id, attempt=task.attempt)


def _see_target(
    rack: racks.Rack,
    task: tasks.Task,
    report: worker_links.AttemptReport,
) -> None:
    target_id = f"{task.spec.id}.{task.attempt}"
    if target_id in rack.targets:
        return
    rack.targets[target_id] = targets.TargetSlots(
        id=target_id,
        address=report.address,
        team=task.spec.team,
        service=task.spec.service,
        slots=task.spec.slots,
        since_epoch=task.epoch,
    )
    _LOG.log(events.TARGET_ADDED, target=target_id)


async def _record_end(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    placement: workers.Placement,
    report: worker_links.AttemptReport,
) -> None:
    task = placement.task
    task.state = _ENDS[report.state]
    task.reason = report.reason
    task.ended_unix_s = time.time()
    old_key = keys.placed(scheduler.zone, rack.holding.rack, task.spec.id)
    new_key = keys.ended(task.spec.id)
    await scheduler.commits.commit(
        conditions=[
            rack.condition(),
            platforms.Condition(key=old_key, version=placement.version),
        ],
        writes=[
            platforms.Write(key=old_key),
            platforms.Write(key=new_key, value=rows.to_value(task)),
            platforms.Write(
                key=keys.pointer(task.spec.id),
                value=rows.to_value(tasks.TaskPointer(key=new_key)),
            ),
        ],
    )
    worker.remove(task.spec.id)
    rack.targets.pop(f"{task.spec.id}.{task.attempt}", None)
    _LOG.log(
        events.TASK_ENDED,
        task=task.spec.id,
        attempt=task.attempt,
        state=task.state,
    )
