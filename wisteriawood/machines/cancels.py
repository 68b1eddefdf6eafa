"""Cancellation: carries out the operators' requests to cancel tasks."""

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

CANCEL_PERIOD_S = 1.0
# Rounds after which a request that nobody has carried out is looked into.
LOOK_UP_ROUNDS = 4


class Canceller:
    """Follows the requests to cancel tasks of one zone.

    A request's row stays until the task's end is committed with it, so
    that any later holder of the task finds it.

    Args:
        scheduler: The scheduler that it works for.
    """

    __slots__ = ("_changes", "_rounds", "_scheduler")

    def __init__(self, *, scheduler: "schedulers.Scheduler"):
        self._scheduler = scheduler
        self._changes: dict[str, commits.Change] = {}
        self._rounds: dict[str, int] = {}

    async def run(self) -> None:
        """Follow the requests until cancelled."""
        while True:
            if self._scheduler.membership.is_confirmed():
                try:
                    await self.follow()
                except errors.PlatformError:
                    pass
            await anyio.sleep(CANCEL_PERIOD_S)

    async def follow(self) -> None:
        """Read the requests once and carry out what can be.

        Raises:
            PlatformError: The table could not be read.
        """
        scheduler = self._scheduler
        found = await platforms.scan_all(
            scheduler.platform, keys.cancels(scheduler.zone)
        )
        if not found:
            self._changes.clear()
            self._rounds.clear()
            return
        left = self._cancel_placed(found)
        if not left:
            return
        pending = {
            row.key: row
            for row in await platforms.scan_all(
                scheduler.platform, keys.pendings(scheduler.zone)
            )
        }
        for row in left:
            task_id = _task_id(row)
            waiting = pending.get(keys.pending(scheduler.zone, task_id))
            if waiting is not None:
                self._end(row, waiting)
            else:
                await self._look_up(row)

    def _cancel_placed(
        self, found: list[platforms.Row]
    ) -> list[platforms.Row]:
        """Mark the tasks on own workers; return the requests left over."""
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
                worker.order_cancel(task_id)
            elif claims.is_preferred(self._scheduler.membership, task_id):
                left.append(row)
        return left

    def _is_changing(self, task_id: str) -> bool:
        change = self._changes.get(task_id)
        return change is not None and not change.done.is_set()

    def _end(self, request: platforms.Row, waiting: platforms.Row) -> None:
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

    async def _look_up(self, request: platforms.Row) -> None:
        """Remove a request once its task has ended."""
        task_id = _task_id(request)
        count = self._rounds.get(task_id, 0) + 1
        self._rounds[task_id] = count
        if count % LOOK_UP_ROUNDS or self._is_changing(task_id):
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
