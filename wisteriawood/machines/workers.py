"""Workers as tracked by the scheduler that holds their rack."""

import dataclasses

import anyio

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import commits
from wisteriawood.links import workers


@dataclasses.dataclass(slots=True, kw_only=True)
class Placement:
    """A task on a worker.

    Its resources stay allocated until the attempt is known to have stopped.

    Attributes:
        task: The task.
        version: Version of the task's row.
        allocated: Resources allocated to the task.
        is_committed: Whether the assignment is committed to the table.
        lease_ends_s: Monotonic time at which the newest lease expires.
        eviction_reason: Why it is to be evicted; empty if it is not.
        is_cancelled: Whether an operator cancelled it.
        throttle: Share of its resources that it may use, 0 to 1.
        is_adopted: Whether a former holder of the rack started it.
        not_after_s: Monotonic time after which a start command in flight has
            no effect.
        stop_not_before_s: Earliest monotonic time at which it is stopped, so
            that its requests in flight can complete; 0 if not set.
        boot: Id of the instance of the worker process to which the start
            command was sent; None before that.
        is_started: Whether the worker accepted the start command.
        refusals: Number of start commands that the worker refused.
        change: State change that waits for its commit, if any.
        new_task: The task as it will be after that commit.
        is_ending: Whether that change removes the task from the worker.
        traceparent: W3C trace context of the assignment.
    """

    task: tasks.Task
    version: int
    allocated: resources.Resources
    is_committed: bool = False
    lease_ends_s: float = 0.0
    eviction_reason: str = ""
    is_cancelled: bool = False
    throttle: float = 1.0
    is_adopted: bool = False
    not_after_s: float = 0.0
    stop_not_before_s: float = 0.0
    boot: str | None = None
    is_started: bool = False
    refusals: int = 0
    change: commits.Change | None = None
    new_task: tasks.Task | None = None
    is_ending: bool = False
    traceparent: str = ""

    def is_unwanted(self) -> bool:
        """Return whether the task is to be stopped on this worker."""
        return self.is_cancelled or bool(self.eviction_reason)


class Worker:
    """A worker and the tasks placed on it.

    Args:
        name: Name of the worker.
        rack: Name of its rack.
        address: Address of the worker, as host:port.
        capacity: Resources of the worker.
        link: Link to the worker.
    """

    __slots__ = (
        "address",
        "capacity",
        "clock_offset_s",
        "free",
        "is_connected",
        "leaving",
        "link",
        "name",
        "placements",
        "rack",
        "unacked_ends_s",
        "unacked_not_after_s",
        "unknown_attempt_needs",
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
        self.is_connected = False
        self.leaving = False
        self.placements: dict[str, Placement] = {}
        self.usage: dict[str, workers.UsageReport] = {}
        self.usage_due_s = 0.0
        # Needs of running attempts that match no task row of this scheduler.
        self.unknown_attempt_needs = resources.NOTHING
        # Clock of the worker minus the local one; never above the true offset.
        self.clock_offset_s = 0.0
        # For renewals without an answer: the latest time at which one can
        # still take effect, and the latest end of a lease that one may grant.
        self.unacked_not_after_s = 0.0
        self.unacked_ends_s = 0.0
        self.wakeup = anyio.Event()

    def add(self, placement: Placement) -> bool:
        """Allocate resources of the worker to a task.

        Args:
            placement: The placement of the task.

        Returns:
            False if the task is already on the worker; nothing changes then.
        """
        if placement.task.spec.id in self.placements:
            return False
        self.placements[placement.task.spec.id] = placement
        self.free = self.free - placement.allocated
        return True

    def record_unacked_renewal(
        self, not_after_s: float, ends_s: float
    ) -> tuple[float, float]:
        """Record a renewal that is sent, and the longest lease it may grant.

        Args:
            not_after_s: Monotonic time after which the renewal has no effect.
            ends_s: Latest monotonic time at which its lease ends.

        Returns:
            The two previous bounds, to be restored when the renewal is
            answered.
        """
        before = (self.unacked_not_after_s, self.unacked_ends_s)
        self.unacked_not_after_s = max(before[0], not_after_s)
        self.unacked_ends_s = max(before[1], ends_s)
        return before

    def has_new_address(self, address: str) -> bool:
        """Return whether the worker has a new address and no tasks.

        Args:
            address: Address of the worker in the host list.
        """
        return address != self.address and not self.placements

    def set_leaving(self, leaving: bool) -> None:
        """Update whether the worker is leaving, and evict its tasks if so.

        Args:
            leaving: Whether the host list marks the worker as leaving.
        """
        self.leaving = leaving
        if leaving:
            for task in self.placements:
                self.request_eviction(task, "its worker is leaving")

    def set_capacity(self, capacity: resources.Resources) -> None:
        """Update the capacity from the worker's own report."""
        if capacity != self.capacity:
            self.free = self.free + capacity - self.capacity
            self.capacity = capacity

    def allocate_unknown_attempts(self, needs: resources.Resources) -> None:
        """Allocate resources to attempts without a task row until they stop.

        Args:
            needs: Total needs of these attempts.
        """
        if needs != self.unknown_attempt_needs:
            self.free = self.free + self.unknown_attempt_needs - needs
            self.unknown_attempt_needs = needs

    def remove(self, task: str) -> Placement | None:
        """Free the resources of a task that is known to have stopped.

        Args:
            task: Id of the task.

        Returns:
            The removed placement, or None if there was none.
        """
        placement = self.placements.pop(task, None)
        if placement is not None:
            self.free = self.free + placement.allocated
        return placement

    def request_eviction(self, task: str, reason: str) -> bool:
        """Order the eviction of a task.

        The loop that reconciles this worker writes a checkpoint, stops the
        attempt and, once the attempt is known to have stopped, returns the
        task to the queue.

        Args:
            task: Id of the task.
            reason: Reason shown to the operator.

        Returns:
            Whether the task is on the worker, even if its eviction was
            ordered before.
        """
        placement = self.placements.get(task)
        if placement is None:
            return False
        if not placement.eviction_reason:
            placement.eviction_reason = reason
            self.wake()
        return True

    def request_cancel(self, task: str) -> None:
        """Order the cancellation of a task.

        Args:
            task: Id of the task.
        """
        placement = self.placements.get(task)
        if placement is not None and not placement.is_cancelled:
            placement.is_cancelled = True
            self.wake()

    def request_throttle(self, task: str, share: float) -> bool:
        """Request the throttling of a task.

        The limit is sent again until the worker reports it.

        Args:
            task: Id of the task.
            share: Share of its resources that it may use, 0 to 1.

        Returns:
            Whether the task is on the worker.
        """
        placement = self.placements.get(task)
        if placement is None:
            return False
        if placement.throttle != share:
            placement.throttle = share
            self.wake()
        return True

    def wake(self) -> None:
        """Wake the loop that reconciles this worker."""
        self.wakeup.set()
        self.wakeup = anyio.Event()
