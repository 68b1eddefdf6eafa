"""The placer: the part of a scheduler that decides what starts where."""

import random
import typing

import anyio

from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import workers
from wisteriawood.policies import placement as placement_policies
from wisteriawood.policies.placement import base
from wisteriawood.policies import registry
from wisteriawood.zones import claims

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

QUEUE_PERIOD_S = 0.5
# Time after which the next scheduler of the zone tries to place a task.
PASS_ON_S = 0.4


class Placer:
    """Reads the queue of one zone and places what waits in it.

    Args:
        scheduler: The scheduler whose workers it places on.
        rng: Source of random numbers.
        policy: Name of the placement policy.
    """

    __slots__ = (
        "_first_seen_s",
        "_group",
        "_policy",
        "_queue_changed",
        "_scheduler",
        "pending",
    )

    def __init__(
        self,
        *,
        scheduler: "schedulers.Scheduler",
        rng: random.Random,
        policy: str = base.DEFAULT,
    ):
        registry.load_modules(placement_policies)
        self.pending: dict[str, tuple[tasks.Task, int]] = {}
        self._first_seen_s: dict[str, float] = {}
        self._group: typing.Any = None
        self._policy = base.PLACEMENT.get(policy)(rng=rng)
        self._queue_changed = anyio.Event()
        self._scheduler = scheduler

    async def run(self) -> None:
        """Read the queue and place tasks until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._follow_queue)
            group.start_soon(self._place_forever)

    async def _follow_queue(self) -> None:
        while True:
            if self._scheduler.membership.is_confirmed():
                try:
                    await self._read_queue()
                except errors.PlatformError:
                    pass
            await anyio.sleep(QUEUE_PERIOD_S)

    async def _read_queue(self) -> None:
        scheduler = self._scheduler
        found = await platforms.scan_all(
            scheduler.platform, keys.pendings(scheduler.zone)
        )
        self.pending = {}
        first_seen_s = {}
        now_s = anyio.current_time()
        for row in found:
            first_seen_s[row.key] = self._first_seen_s.get(row.key, now_s)
            waited_s = now_s - first_seen_s[row.key]
            task = rows.from_value(row.value, tasks.Task)
            if waited_s >= PASS_ON_S * self._rank(task.spec.id):
                self.pending[task.spec.id] = (task, row.version)
        self._first_seen_s = first_seen_s
        self._queue_changed.set()

    def _rank(self, task_id: str) -> int:
        """Return how many schedulers with racks come before this one."""
        scheduler = self._scheduler
        own = scheduler.membership.own.name
        return claims.rank(scheduler.rack_holders | {own}, own, task_id)

    async def _place_forever(self) -> None:
        while True:
            await self._queue_changed.wait()
            self._queue_changed = anyio.Event()
            for task, version in list(self.pending.values()):
                worker = self._policy.choose(task.spec, self._candidates())
                if worker is None:
                    continue
                self.pending.pop(task.spec.id, None)
                placement = workers.Placement(
                    task=task, version=version, counted=task.spec.needs
                )
                worker.add(placement)
                self._group.start_soon(
                    self._scheduler.assign, worker, placement
                )

    def _candidates(self) -> list[workers.Worker]:
        if not self._scheduler.membership.is_confirmed():
            return []
        return [
            worker
            for rack in self._scheduler.racks.values()
            for worker in rack.workers.values()
            if worker.is_known and not worker.leaving
        ]
