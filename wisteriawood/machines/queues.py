"""Queue of waiting tasks, with fair sharing between teams."""

import dataclasses
import heapq
import typing

import sortedcontainers

from wisteriawood.contracts import tasks

# Waiting time that equals one step of priority, so that tasks of low priority
# do not wait forever.
WAIT_PER_PRIORITY_S = 60.0
# Tasks of one team considered in one placement round.
MAX_TASKS_PER_TEAM = 256


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PendingTask:
    """A task that waits for a worker.

    Attributes:
        task: The task.
        version: Version of the task's row.
        since_s: Monotonic time at which the task was first seen.
        reason: Why it waits, shown to the operator.
        reserved_worker: Worker that is reserved for it; empty if none.
        reserved_at_s: Monotonic time of the reservation.
        lacks_capacity: Whether it waits because no worker has enough free
            capacity.
        min_wait_s: Waiting time after which this scheduler may place it.
    """

    task: tasks.Task
    version: int
    since_s: float
    reason: str = "not looked at yet"
    reserved_worker: str = ""
    reserved_at_s: float = 0.0
    lacks_capacity: bool = False
    min_wait_s: float = 0.0

    def sort_key(self) -> tuple[float, str]:
        """Return the key that orders the tasks of a team."""
        spec = self.task.spec
        return self.since_s - spec.priority * WAIT_PER_PRIORITY_S, spec.id


class PendingQueue:
    """Waiting tasks: urgent ones first, then teams by their share."""

    __slots__ = ("_teams", "_urgent", "waiting")

    def __init__(self):
        self.waiting: dict[str, PendingTask] = {}
        self._urgent = self._new_list()
        self._teams: dict[str, sortedcontainers.SortedKeyList] = {}

    @staticmethod
    def _new_list() -> sortedcontainers.SortedKeyList:
        return sortedcontainers.SortedKeyList(key=PendingTask.sort_key)

    def __len__(self) -> int:
        return len(self.waiting)

    def _list_of(self, waiting: PendingTask) -> sortedcontainers.SortedKeyList:
        spec = waiting.task.spec
        if spec.urgent:
            return self._urgent
        return self._teams.setdefault(spec.team, self._new_list())

    def add(
        self, task: tasks.Task, *, version: int, now_s: float
    ) -> PendingTask:
        """Add a task, or update it from a newer version of its row.

        Args:
            task: The task.
            version: Version of the task's row.
            now_s: Monotonic time in seconds.

        Returns:
            The queue entry; an updated task keeps its waiting time.
        """
        old = self.discard(task.spec.id)
        waiting = PendingTask(task=task, version=version, since_s=now_s)
        if old is not None:
            waiting.since_s = old.since_s
            waiting.reason = old.reason
            waiting.reserved_worker = old.reserved_worker
            waiting.reserved_at_s = old.reserved_at_s
            waiting.min_wait_s = old.min_wait_s
        self.waiting[task.spec.id] = waiting
        self._list_of(waiting).add(waiting)
        return waiting

    def discard(self, task: str) -> PendingTask | None:
        """Remove a task.

        Args:
            task: Id of the task.

        Returns:
            The removed entry, or None if the task was not in the queue.
        """
        waiting = self.waiting.pop(task, None)
        if waiting is None:
            return None
        entries = self._list_of(waiting)
        entries.remove(waiting)
        if not entries and entries is not self._urgent:
            del self._teams[waiting.task.spec.team]
        return waiting

    def teams(self) -> list[str]:
        """Return the teams with waiting tasks that are not urgent."""
        return list(self._teams)

    def urgent(self) -> list[PendingTask]:
        """Return the urgent tasks in the order of placement."""
        return list(self._urgent)

    def by_share(
        self, share: typing.Callable[[str], float]
    ) -> typing.Iterator[PendingTask]:
        """Yield tasks that are not urgent, the team with least share first.

        The share of a team is read again after each of its tasks, so that
        tasks placed in the meantime count.

        Args:
            share: Returns the weighted dominant share of a team.
        """
        heads = [
            (share(team), team, 0, list(queued.islice(0, MAX_TASKS_PER_TEAM)))
            for team, queued in self._teams.items()
        ]
        heapq.heapify(heads)
        while heads:
            _share, team, position, queued = heads[0]
            yield queued[position]
            if position + 1 < len(queued):
                head = (share(team), team, position + 1, queued)
                heapq.heapreplace(heads, head)
            else:
                heapq.heappop(heads)
