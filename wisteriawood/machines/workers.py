"""Workers, as the scheduler that holds their rack sees them."""

import dataclasses

import anyio

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import commits
from wisteriawood.links import workers


@dataclasses.dataclass(slots=True, kw_only=True)
class Placement:
    """A task on a worker; its resources count until the proof of stop.

    Attributes:
        task: The task.
        version: Version of the task's row.
        counted: Resources that it counts with.
        is_committed: Whether the assignment is in the table.
        lease_ends_s: Monotonic time at which its newest lease lapses.
        eviction: Why it is to be evicted; empty if it is not.
        is_cancelled: Whether an operator asked to stop it.
        throttle: Share of its resources that it may use, 0 to 1.
        is_adopted: Whether a former holder of the rack started it.
        not_after_s: Monotonic time after which no start command that is
            under way can take effect any more.
        stop_not_before_s: Monotonic time before which it is not stopped,
            so that its requests in flight can end; 0 if not yet chosen.
        boot: Start of the worker that the start command was sent to.
        is_started: Whether the worker has taken the start command.
        refusals: Start commands that the worker has refused.
        change: Change of state that waits for its commit, if any.
        changed: The task as it will be once that is committed.
        is_ending: Whether that change takes the task from the worker.
        traceparent: W3C trace context of the assignment.
    """

    task: tasks.Task
    version: int
    counted: resources.Resources
    is_committed: bool = False
    lease_ends_s: float = 0.0
    eviction: str = ""
    is_cancelled: bool = False
    throttle: float = 1.0
    is_adopted: bool = False
    not_after_s: float = 0.0
    stop_not_before_s: float = 0.0
    boot: str | None = None
    is_started: bool = False
    refusals: int = 0
    change: commits.Change | None = None
    changed: tasks.Task | None = None
    is_ending: bool = False
    traceparent: str = ""

    def is_unwanted(self) -> bool:
        """Tell whether the task is to leave the worker."""
        return self.is_cancelled or bool(self.eviction)


class Worker:
    """A worker and what is placed on it.

    Args:
        name: Name of the worker.
        rack: Name of its rack.
        address: Address of the worker, as host:port.
        capacity: What it can hold.
        link: Link to it.
    """

    __slots__ = (
        "address",
        "capacity",
        "free",
        "is_known",
        "leaving",
        "link",
        "name",
        "placements",
        "rack",
        "strangers",
        "to_worker_s",
        "unacked_ends_s",
        "unacked_not_after_s",
        "usage",
        "usage_due_s",
        "wakeup",
    )

    def __init__(
        self,
        *,
        name: str,
        rack: str,
        address: str,
        capacity: resources.Resources,
        link: workers.WorkerLink,
    ):
        self.name = name
        self.rack = rack
        self.address = address
        self.capacity = capacity
        self.link = link
        self.free = capacity
        self.is_known = False
        self.leaving = False
        self.placements: dict[str, Placement] = {}
        self.usage: dict[str, workers.UsageReport] = {}
        self.usage_due_s = 0.0
        # Needs of running attempts that no row of ours explains.
        self.strangers = resources.NOTHING
        # Worker's clock less the own one, never more than it really is.
        self.to_worker_s = 0.0
        # Of renewals without an answer: when the newest lapses in flight,
        # and when the longest lease that one may have given ends.
        self.unacked_not_after_s = 0.0
        self.unacked_ends_s = 0.0
        self.wakeup = anyio.Event()

    def add(self, placement: Placement) -> bool:
        """Count a task's resources against the worker.

        Args:
            placement: The task on this worker.

        Returns:
            False if the task is here already; then nothing changes.
        """
        if placement.task.spec.id in self.placements:
            return False
        self.placements[placement.task.spec.id] = placement
        self.free = self.free - placement.counted
        return True

    def count_unacked(
        self, not_after_s: float, ends_s: float
    ) -> tuple[float, float]:
        """Count a renewal with the longest lease that it may give.

        Args:
            not_after_s: Monotonic time after which it has no effect.
            ends_s: Monotonic time at which its lease ends at the latest.

        Returns:
            The two bounds as they were before, to be put back once the
            renewal is answered.
        """
        before = (self.unacked_not_after_s, self.unacked_ends_s)
        self.unacked_not_after_s = max(before[0], not_after_s)
        self.unacked_ends_s = max(before[1], ends_s)
        return before

    def is_moved(self, address: str) -> bool:
        """Tell whether the worker is elsewhere now, with nothing left here.

        Args:
            address: Its address in the host list.
        """
        return address != self.address and not self.placements

    def see_leaving(self, leaving: bool) -> None:
        """Take over whether it will go away; then its tasks move.

        Args:
            leaving: What the host list says.
        """
        self.leaving = leaving
        if leaving:
            for task in self.placements:
                self.order_eviction(task, "its worker is leaving")

    def see_capacity(self, capacity: resources.Resources) -> None:
        """Take over what the worker itself says that it offers."""
        if capacity != self.capacity:
            self.free = self.free + capacity - self.capacity
            self.capacity = capacity

    def count_strangers(self, needs: resources.Resources) -> None:
        """Count what attempts without a row use, until they stop.

        Args:
            needs: Their needs in all.
        """
        if needs != self.strangers:
            self.free = self.free + self.strangers - needs
            self.strangers = needs

    def remove(self, task: str) -> Placement | None:
        """Stop counting a task, once it is proved stopped.

        Args:
            task: Id of the task.

        Returns:
            The placement, or None if there was none.
        """
        placement = self.placements.pop(task, None)
        if placement is not None:
            self.free = self.free + placement.counted
        return placement

    def order_eviction(self, task: str, reason: str) -> bool:
        """Let the worker's task evict a task from here.

        It writes a checkpoint, stops the attempt and, once the stop is
        proved, puts the task back into the queue.

        Args:
            task: Id of the task.
            reason: Why, for the operator.

        Returns:
            Whether the task is here; its order may stand already.
        """
        placement = self.placements.get(task)
        if placement is None:
            return False
        if not placement.eviction:
            placement.eviction = reason
            self.wake()
        return True

    def order_cancel(self, task: str) -> None:
        """Let the worker's task stop a task for good.

        Args:
            task: Id of the task.
        """
        placement = self.placements.get(task)
        if placement is not None and not placement.is_cancelled:
            placement.is_cancelled = True
            self.wake()

    def order_throttle(self, task: str, share: float) -> bool:
        """Let the worker's task limit a task; sent until it is in force.

        Args:
            task: Id of the task.
            share: Share of its resources that it may use, 0 to 1.

        Returns:
            Whether the task is here.
        """
        placement = self.placements.get(task)
        if placement is None:
            return False
        if placement.throttle != share:
            placement.throttle = share
            self.wake()
        return True

    def wake(self) -> None:
        """Let the worker's task act at once."""
        self.wakeup.set()
        self.wakeup = anyio.Event()
