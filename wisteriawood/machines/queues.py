"""The queue of tasks that wait, fair between teams."""

import dataclasses
import heapq
import typing

import sortedcontainers

from wisteriawood.contracts import tasks

# One step of priority is worth this much waiting, so that nothing of low
# priority waits for ever.
WAIT_PER_PRIORITY_S = 60.0
# Tasks of one team that are looked at in one round.
MAX_TASKS_PER_TEAM = 256


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class WaitingTask:
    """A task that waits for a worker.

    Attributes:
        task: The task.
        version: Version of its row.
        since_s: Monotonic time at which it was first seen.
        reason: Why it waits, for the operator.
        reserved: Worker that is kept for it; empty if none is.
        reserved_s: Monotonic time of the reservation.
        is_short: Whether it waits for room, not for something else.
        turn_s: Waiting time after which this scheduler may place it.
    """

    task: tasks.Task
    version: int
    since_s: float
    reason: str = "not looked at yet"
    reserved_worker: str = ""
    reserved_at_s: float = 0.0
    lacks_capacity: bool = False
    min_wait_s: float = 0.0

    def order(self) -> tuple[float, str]:
        """Return the key of its place within the team."""
        spec = self.task.spec
        return self.since_s - spec.priority * WAIT_PER_PRIORITY_S, spec.id


class Queue:
    """Tasks that wait: urgent ones first, then teams by their share."""

    __slots__ = ("_teams", "_urgent", "waiting")

    def __init__(self):
        self.waiting: dict[str, WaitingTask] = {}
        self._urgent = self._new_list()
        self._teams: dict[str, sortedcontainers.SortedKeyList] = {}

    @staticmethod
    def _new_list() -> sortedcontainers.SortedKeyList:
        return sortedcontainers.SortedKeyList(key=WaitingTask.order)

    def __len__(self) -> int:
        return len(self.waiting)

    def _list_of(self, waiting: WaitingTask) -> sortedcontainers.SortedKeyList:
        spec = waiting.task.spec
        if spec.urgent:
            return self._urgent
        return self._teams.setdefault(spec.team, self._new_list())

    def add(
        self, task: tasks.Task, *, version: int, now_s: float
    ) -> WaitingTask:
        """Add a task, or take over its changed row.

        Args:
            task: The task.
            version: Version of its row.
            now_s: Monotonic time in seconds.

        Returns:
            Its entry; one that waited already keeps its place in time.
        """
        old = self.discard(task.spec.id)
        waiting = WaitingTask(task=task, version=version, since_s=now_s)
        if old is not None:
            waiting.since_s = old.since_s
            waiting.reason = old.reason
            waiting.reserved_worker = old.reserved_worker
            waiting.reserved_at_s = old.reserved_at_s
            waiting.min_wait_s = old.min_wait_s
        self.waiting[task.spec.id] = waiting
        self._list_of(waiting).add(waiting)
        return waiting

    def discard(self, task: str) -> WaitingTask | None:
        """Take a task out.

        Args:
            task: Id of the task.

        Returns:
            Its entry, or None if it did not wait.
        """
        waiting = self.waiting.pop(task, None)
        if waiting is None:
            return None
        found = self._list_of(waiting)
        found.remove(waiting)
        if not found and found is not self._urgent:
            del self._teams[waiting.task.spec.team]
        return waiting

    def teams(self) -> list[str]:
        """Return the teams whose tasks wait, urgent ones aside."""
        return list(self._teams)

    def urgent(self) -> list[WaitingTask]:
        """Return the urgent tasks in order."""
        return list(self._urgent)

    def by_share(
        self, share: typing.Callable[[str], float]
    ) -> typing.Iterator[WaitingTask]:
        """Yield tasks that are not urgent, fair between teams.

        The team with the least share comes next; its share is asked for
        anew after each of its tasks, so that a task that was placed counts.

        Args:
            share: Returns the weighted dominant share of a team.
        """
        heads = [
            (share(team), team, 0, list(found.islice(0, MAX_TASKS_PER_TEAM)))
            for team, found in self._teams.items()
        ]
        heapq.heapify(heads)
        while heads:
            _share, team, place, found = heads[0]
            yield found[place]
            if place + 1 < len(found):
                head = (share(team), team, place + 1, found)
                heapq.heapreplace(heads, head)
            else:
                heapq.heappop(heads)
