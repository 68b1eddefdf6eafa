"""Executes the requests of operators to cancel tasks."""

import dataclasses
import time
import typing

import anyio

from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import commits
from wisteriawood.links import platforms
from wisteriawood.zones import claims

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

CANCEL_SCAN_PERIOD_S = 1.0
# Number of scans after which the task of a request that is still open is
# looked up, as it may have ended already.
STALE_CHECK_SCANS = 4


class Canceller:
    """Processes the requests to cancel tasks of one zone.

    The row of a request is deleted in the transaction that ends its task.
    Until then, any later holder of the task's rack finds the request.

    Args:
        scheduler: The scheduler whose tasks are cancelled.
    """

    __slots__ = ("_changes", "_scan_counts", "_scheduler")

    def __init__(self, *, scheduler: "schedulers.Scheduler"):
        self._scheduler = scheduler
        self._changes: dict[str, commits.Change] = {}
        self._scan_counts: dict[str, int] = {}

    async def run(self) -> None:
        """Process the requests periodically, until cancelled."""
        while True:
            if self._scheduler.membership.holds_term():
                try:
                    await self.process_requests()
                except errors.PlatformError:
                    pass
            await anyio.sleep(CANCEL_SCAN_PERIOD_S)

    async def process_requests(self) -> None:
        """Read the requests once and execute those that can be executed.

        Raises:
            PlatformError: The table could not be read.
        """
        scheduler = self._scheduler
        found = await platforms.scan_all(
            scheduler.platform, keys.cancels(scheduler.zone)
        )
        if not found:
            self._changes.clear()
            self._scan_counts.clear()
            return
        left = self._cancel_placed(found)
        if not left:
            return
        pending = {
            row.key: row
            for row in await platforms.scan_all(
                scheduler.platform, keys.pending_in_zone(scheduler.zone)
            )
        }
        for row in left:
            task_id = _task_id(row)
            waiting = pending.get(keys.pending(scheduler.zone, task_id))
            if waiting is not None:
                self._end_waiting(row, waiting)
            else:
                await self._remove_if_ended(row)

    def _cancel_placed(
        self, found: list[platforms.Row]
    ) -> list[platforms.Row]:
        """Cancel the tasks on this scheduler's workers.

        Returns:
            The requests for other tasks that rendezvous hashing assigns to
            this scheduler.
        """
        here = {
            task_id: worker
            for rack in self._scheduler.racks.values()
            for worker in rack.workers.values()
            for task_id in worker.placements
        }
        left = []
        for row in found:
            task_id = _task_id(row)
            worker = here.get(task_id)
            if worker is not None:
                worker.request_cancel(task_id)
            elif claims.is_preferred(self._scheduler.membership, task_id):
                left.append(row)
        return left

    def _is_changing(self, task_id: str) -> bool:
        change = self._changes.get(task_id)
        return change is not None and not change.done.is_set()

    def _end_waiting(
        self, request: platforms.Row, waiting: platforms.Row
    ) -> None:
        task = rows.from_value(waiting.value, tasks.Task)
        task_id = task.spec.id
        if self._is_changing(task_id):
            return
        ended = dataclasses.replace(
            task,
            state=tasks.TaskState.CANCELLED,
            ended_unix_s=time.time(),
            reason="cancelled",
        )
        key = keys.ended(task_id)
        self._changes[task_id] = self._scheduler.commits.submit(
            conditions=[
                platforms.Condition(key=waiting.key, version=waiting.version)
            ],
            writes=[
                platforms.Write(key=request.key),
                platforms.Write(key=waiting.key),
                platforms.Write(key=key, value=rows.to_value(ended)),
                platforms.Write(
                    key=keys.pointer(task_id),
                    value=rows.to_value(tasks.TaskPointer(key=key)),
                ),
            ],
        )

    async def _remove_if_ended(self, request: platforms.Row) -> None:
        """Delete a request if its task has ended or does not exist.

        The task is looked up only at every STALE_CHECK_SCANS-th call.
        """
        task_id = _task_id(request)
        count = self._scan_counts.get(task_id, 0) + 1
        self._scan_counts[task_id] = count
        if count % STALE_CHECK_SCANS or self._is_changing(task_id):
            return
        found = await self._scheduler.platform.read(keys.pointer(task_id))
        key = keys.ended(task_id)
        if found is not None:
            pointer = rows.from_value(found.value, tasks.TaskPointer)
            if pointer.key != key:
                return
        self._changes[task_id] = self._scheduler.commits.submit(
            conditions=[],
            writes=[platforms.Write(key=request.key)],
        )


def _task_id(request: platforms.Row) -> str:
    return request.key.rsplit("/", 1)[1]
