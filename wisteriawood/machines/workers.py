"""Workers, as the scheduler that holds their rack sees them."""

import dataclasses

import anyio

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
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
    """

    task: tasks.Task
    version: int
    counted: resources.Resources
    is_committed: bool = False
    lease_ends_s: float = 0.0
    eviction: str = ""
    is_cancelled: bool = False
    throttle: float = 1.0


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
        "usage",
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
        self.wakeup = anyio.Event()

    def add(self, placement: Placement) -> None:
        """Count a task's resources against the worker."""
        self.placements[placement.task.spec.id] = placement
        self.free = self.free - placement.counted

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
