"""Reconciles the task attempts on a worker with the scheduler's records."""

import typing

import anyio

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import leases
from wisteriawood.machines import racks
from wisteriawood.machines import targets
from wisteriawood.machines import transitions
from wisteriawood.machines import workers
from wisteriawood.telemetry import events

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

# A reconciliation that takes longer stops early, so that leases are
# renewed in time.
RECONCILE_MAX_S = 3.0
USAGE_PERIOD_S = 2.0
# Time for a service instance to finish its requests before it is stopped.
SERVICE_DRAIN_S = 5.0
MAX_START_REFUSALS = 3

_LOG = events.Logger(name=__name__)
_RUNNING = worker_links.AttemptState.RUNNING


class Reconciliation:
    """Compares a worker's inventory and placements; resolves differences.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        inventory: Inventory of the worker's attempts.
        sent_at_s: Monotonic time just before the inventory was requested.
    """

    __slots__ = (
        "_inventory",
        "_rack",
        "_reports",
        "_running",
        "_scheduler",
        "_sent_at_s",
        "_worker",
    )

    def __init__(
        self,
        *,
        scheduler: "schedulers.Scheduler",
        rack: racks.Rack,
        worker: workers.Worker,
        inventory: worker_links.Inventory,
        sent_at_s: float,
    ):
        self._scheduler = scheduler
        self._rack = rack
        self._worker = worker
        self._inventory = inventory
        self._sent_at_s = sent_at_s
        # The worker read its clock before its answer arrived, so this
        # offset is never too large, and a deadline converted with it is
        # never too late.
        worker.clock_offset_s = inventory.clock_s - anyio.current_time()
        self._reports = {
            (report.task, report.attempt): report
            for report in inventory.attempts
        }
        self._running = {
            report.task
            for report in inventory.attempts
            if report.state == _RUNNING
        }

    async def run(self) -> None:
        """Renew the leases, then start, stop or update each task.

        Raises:
            LinkError: The worker does not respond.
        """
        ends_at_s = anyio.current_time() + RECONCILE_MAX_S
        self._worker.set_capacity(self._inventory.capacity)
        await self._stop_unknown_attempts()
        await leases.renew(
            self._scheduler,
            self._rack,
            self._worker,
            running=self._renewable(),
        )
        for placement in list(self._worker.placements.values()):
            if not placement.is_committed or placement.change is not None:
                continue
            await self._reconcile_task(placement)
            if anyio.current_time() > ends_at_s:
                self._worker.wake()
                return

    def _renewable(self) -> list[workers.Placement]:
        return [
            placement
            for placement in self._worker.placements.values()
            if placement.is_committed
            and not placement.is_cancelled
            and placement.task.state != tasks.TaskState.STOPPING
            and self._is_running(placement)
        ]

    def _report(
        self, placement: workers.Placement
    ) -> worker_links.AttemptReport | None:
        task = placement.task
        return self._reports.get((task.spec.id, task.attempt))

    def _is_running(self, placement: workers.Placement) -> bool:
        report = self._report(placement)
        return report is not None and report.state == _RUNNING

    def _may_act(self) -> bool:
        return self._scheduler.has_authority(self._rack)

    async def _stop_unknown_attempts(self) -> None:
        needs = resources.NOTHING
        for report in self._inventory.attempts:
            placement = self._worker.placements.get(report.task)
            is_ours = placement and placement.task.attempt == report.attempt
            if report.state != _RUNNING or is_ours:
                continue
            if report.spec is not None:
                needs = needs + report.spec.needs
            if not self._may_act():
                continue
            _LOG.log(
                events.ATTEMPT_UNKNOWN,
                worker=self._worker.name,
                task=report.task,
                attempt=report.attempt,
            )
            await self._worker.link.stop(report.task, report.attempt)
        self._worker.allocate_unknown_attempts(needs)

    async def _reconcile_task(self, placement: workers.Placement) -> None:
        report = self._report(placement)
        if report is None:
            await self._reconcile_absent(placement)
        elif report.state == _RUNNING:
            await self._reconcile_running(placement, report)
        elif self._may_act():
            self._record_end(placement, report)

    async def _reconcile_absent(self, placement: workers.Placement) -> None:
        if not self._may_act():
            return
        if self._may_start(placement):
            if placement.task.spec.id not in self._running:
                await self._start(placement)
            return
        if self._sent_at_s <= placement.not_after_s:
            # A start command may still be in flight.
            return
        reason = placement.eviction_reason or "its worker no longer runs it"
        transitions.remove_from_worker(
            self._scheduler, self._rack, self._worker, placement, reason
        )

    def _may_start(self, placement: workers.Placement) -> bool:
        """Return whether the attempt is wanted and has certainly not run."""
        return (
            placement.task.state == tasks.TaskState.ASSIGNED
            and not placement.is_unwanted()
            and not placement.is_adopted
            and not placement.is_started
            and placement.boot in (None, self._inventory.boot)
        )

    async def _start(self, placement: workers.Placement) -> None:
        term_ends_s = self._scheduler.membership.term.ends_at_s()
        not_after_s = min(
            term_ends_s, anyio.current_time() + terms.COMMAND_VALIDITY_S
        )
        placement.not_after_s = not_after_s + terms.DRIFT_MARGIN_S
        placement.lease_ends_s = max(
            placement.lease_ends_s, not_after_s + terms.LEASE_S
        )
        placement.boot = self._inventory.boot
        command = worker_links.StartCommand(
            spec=placement.task.spec,
            attempt=placement.task.attempt,
            lease_s=terms.LEASE_S,
            not_after_s=not_after_s + self._worker.clock_offset_s,
            checkpoint=placement.task.checkpoint,
        )
        try:
            with self._scheduler.tracer.span(
                "start",
                traceparent=placement.traceparent,
                task=command.spec.id,
                attempt=command.attempt,
                worker=self._worker.name,
            ) as command.traceparent:
                is_started = await self._worker.link.start(command)
        except errors.PlatformError:
            # The worker could not read the checkpoint; the next
            # reconciliation sends the command again.
            return
        if is_started:
            placement.is_started = True
            self._worker.wake()
            return
        placement.refusals += 1
        _LOG.log(events.START_REFUSED, task=placement.task.spec.id)
        if placement.refusals >= MAX_START_REFUSALS:
            placement.eviction_reason = "its worker refused to start it"

    async def _reconcile_running(
        self,
        placement: workers.Placement,
        report: worker_links.AttemptReport,
    ) -> None:
        task = placement.task
        if report.address:
            _add_service_target(self._rack, task, report)
        if report.throttle != placement.throttle:
            await self._worker.link.throttle(
                task.spec.id, task.attempt, placement.throttle
            )
        if not self._may_act():
            return
        is_stopping = task.state == tasks.TaskState.STOPPING
        if placement.is_cancelled or is_stopping:
            if self._drain_target(placement):
                await self._worker.link.stop(task.spec.id, task.attempt)
                self._worker.wake()
        elif placement.eviction_reason:
            await self._begin_eviction(placement)
        elif task.state == tasks.TaskState.ASSIGNED:
            self._record(placement, state=tasks.TaskState.RUNNING)

    def _drain_target(self, placement: workers.Placement) -> bool:
        """Drain the target of a service task before the task is stopped.

        Returns:
            Whether the task may be stopped: it has no target, or
            SERVICE_DRAIN_S have passed since the first call.
        """
        task = placement.task
        target = self._rack.targets.get(f"{task.spec.id}.{task.attempt}")
        if target is None:
            return True
        now_s = anyio.current_time()
        if not placement.stop_not_before_s:
            placement.stop_not_before_s = now_s + SERVICE_DRAIN_S
        target.leaving = True
        return now_s >= placement.stop_not_before_s

    async def _begin_eviction(self, placement: workers.Placement) -> None:
        """Write a checkpoint and record its key before sending a stop."""
        task = placement.task
        checkpoint = ""
        if task.spec.kind != tasks.TaskKind.SERVICE:
            try:
                checkpoint = await self._worker.link.checkpoint(
                    task.spec.id, task.attempt
                )
            except (errors.PlatformError, errors.LinkClosedError) as exc:
                _LOG.log(
                    events.CHECKPOINT_FAILED,
                    task=task.spec.id,
                    reason=str(exc),
                )
                return
        self._record(
            placement,
            state=tasks.TaskState.STOPPING,
            checkpoint=checkpoint or task.checkpoint,
            reason=placement.eviction_reason,
        )

    def _record(
        self, placement: workers.Placement, **fields: typing.Any
    ) -> None:
        transitions.record(
            self._scheduler, self._rack, self._worker, placement, **fields
        )

    def _record_end(
        self,
        placement: workers.Placement,
        report: worker_links.AttemptReport,
    ) -> None:
        args = (self._scheduler, self._rack, self._worker, placement)
        if report.state == worker_links.AttemptState.FINISHED:
            task = placement.task.spec.id
            self._scheduler.placer.record_success(task, self._worker.name)
            transitions.end(*args, state=tasks.TaskState.FINISHED, reason="")
        elif report.state == worker_links.AttemptState.FAILED:
            transitions.fail(*args, report.reason)
        else:
            reason = placement.task.reason
            if placement.task.state != tasks.TaskState.STOPPING:
                reason = "its lease lapsed, or another stopped it"
            transitions.remove_from_worker(*args, reason)


def _add_service_target(
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


async def reconcile(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
) -> None:
    """Reconcile a worker once.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.

    Raises:
        LinkError: The worker does not respond.
        PlatformError: A row could not be read again.
    """
    for placement in list(worker.placements.values()):
        await transitions.apply_commit(scheduler, rack, worker, placement)
    sent_at_s = anyio.current_time()
    try:
        inventory = await worker.link.inventory()
    except errors.LinkError:
        _remove_expired(scheduler, rack, worker)
        raise
    if inventory.worker != worker.name:
        _remove_expired(scheduler, rack, worker)
        raise errors.LinkClosedError(
            f"{worker.address} answers as {inventory.worker!r}"
        )
    if not worker.is_connected:
        worker.is_connected = True
        _LOG.log(events.WORKER_CONNECTED, worker=worker.name)
    await Reconciliation(
        scheduler=scheduler,
        rack=rack,
        worker=worker,
        inventory=inventory,
        sent_at_s=sent_at_s,
    ).run()
    if anyio.current_time() >= worker.usage_due_s:
        worker.usage_due_s = anyio.current_time() + USAGE_PERIOD_S
        worker.usage = {
            report.task: report for report in await worker.link.usage()
        }


def _remove_expired(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
) -> None:
    """Remove the tasks of an unresponsive worker whose leases expired."""
    for placement in list(worker.placements.values()):
        if not placement.is_committed or placement.change is not None:
            continue
        if scheduler.has_authority(rack) and leases.is_expired(
            worker, placement
        ):
            reason = "its worker does not answer and its lease lapsed"
            transitions.remove_from_worker(
                scheduler, rack, worker, placement, reason
            )
