"""Reserved room, the steps that wait for it and the runs that use it."""

import typing

from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks

# Longest time of a reservation.
MAX_HELD_S = 10.0
# A step that has lost this many reservations or waited this long gets a firm
# one: it comes first, and nothing may start that could delay it. The time is
# half the shortest objective of filler jobs.
MAX_LOSSES = 3
MAX_WAIT_S = 5.0
# Longest time of a firm reservation. Runs that save their progress are stopped
# for it, so only long runs that don't save theirs delay it further.
MAX_FIRM_HELD_S = 60.0

# Job id, occurrence and step.
StepKey = tuple[str, int, int]


def key_of(job: jobs.Job, task: tasks.Task) -> StepKey:
    """Return the key of the step of a task.

    Args:
        job: The job.
        task: The task.
    """
    return (job.id, task.occurrence, task.step)


class Wait:
    """A step of which tasks fit nowhere.

    Attributes:
        since_s: Monotonic time at which that was first found.
        seen_s: Monotonic time at which it was last found.
        position: Position in the order of starts of the last pass.
        retry_at_s: Monotonic time before which it gets no reservation.
        losses: Reservations that it lost unused.
        job: The job.
        tasks: The tasks, as of the last pass.
        step: The step.
    """

    __slots__ = (
        "job",
        "losses",
        "position",
        "retry_at_s",
        "seen_s",
        "since_s",
        "step",
        "tasks",
    )

    def __init__(self, *, job: jobs.Job, step: specs.StepSpec, now_s: float):
        self.job = job
        self.step = step
        self.tasks: list[tasks.Task] = []
        self.since_s = now_s
        self.seen_s = now_s
        self.position = 0
        self.retry_at_s = 0.0
        self.losses = 0

    def is_firm(self, now_s: float) -> bool:
        """Return whether the step has waited too long.

        Args:
            now_s: Monotonic time.
        """
        return self.losses >= MAX_LOSSES or now_s - self.since_s >= MAX_WAIT_S


class Hold:
    """Room on a worker that is reserved for one task of a step.

    Attributes:
        key: Job id, occurrence and step.
        step: The step.
        worker: The worker.
        made_at_s: Monotonic time at which it was made.
        ready_at_s: Monotonic time at which the task is expected to fit.
        until_s: Monotonic time at which it ends at the latest.
        is_firm: Whether nothing may start that could delay the task.
    """

    __slots__ = (
        "is_firm",
        "key",
        "made_at_s",
        "ready_at_s",
        "step",
        "until_s",
        "worker",
    )

    def __init__(
        self,
        *,
        key: StepKey,
        step: specs.StepSpec,
        worker: workers.Worker,
        now_s: float,
        ready_at_s: float,
        is_firm: bool,
    ):
        self.key = key
        self.step = step
        self.worker = worker
        self.made_at_s = now_s
        self.ready_at_s = ready_at_s
        self.until_s = now_s + (MAX_FIRM_HELD_S if is_firm else MAX_HELD_S)
        self.is_firm = is_firm


class Backfill:
    """A run that uses reserved room.

    Attributes:
        run: The run.
        worker: Its worker.
        reason: Why it was admitted: ends, room or stoppable.
        needed_at_s: Monotonic time at which the room was to be needed.
        has_overrun: Whether it was counted as still running then.
    """

    __slots__ = ("has_overrun", "needed_at_s", "reason", "run", "worker")

    def __init__(
        self,
        *,
        run: runs.Run,
        worker: workers.Worker,
        reason: str,
        needed_at_s: float,
    ):
        self.run = run
        self.worker = worker
        self.reason = reason
        self.needed_at_s = needed_at_s
        self.has_overrun = False


class HoldBook:
    """The reservations of a cell, in the order in which they were made.

    Attributes:
        by_worker: Those on each worker that has any, by its id.
    """

    __slots__ = ("_by_key", "_entries", "by_worker")

    def __init__(self):
        # Dictionaries without values, since a wide step has thousands of
        # reservations and each can end at any time.
        self._entries: dict[Hold, None] = {}
        self._by_key: dict[StepKey, dict[Hold, None]] = {}
        self.by_worker: dict[str, list[Hold]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, hold: Hold) -> bool:
        return hold in self._entries

    @property
    def entries(self) -> list[Hold]:
        """A copy of all reservations."""
        return list(self._entries)

    @property
    def keys(self) -> typing.KeysView[StepKey]:
        """Keys of the steps with reservations."""
        return self._by_key.keys()

    def add(self, hold: Hold) -> None:
        """Add a reservation.

        Args:
            hold: The reservation.
        """
        self._entries[hold] = None
        self._by_key.setdefault(hold.key, {})[hold] = None
        self.by_worker.setdefault(hold.worker.id, []).append(hold)

    def remove(self, hold: Hold) -> None:
        """Remove a reservation.

        Args:
            hold: The reservation.
        """
        del self._entries[hold]
        beside = self._by_key[hold.key]
        del beside[hold]
        if not beside:
            del self._by_key[hold.key]
        left = self.by_worker[hold.worker.id]
        left.remove(hold)
        if not left:
            del self.by_worker[hold.worker.id]

    def clear(self) -> None:
        """Remove all reservations."""
        self._entries.clear()
        self._by_key.clear()
        self.by_worker.clear()

    def on(self, worker: workers.Worker) -> list[Hold]:
        """Return the reservations on a worker.

        Args:
            worker: The worker.
        """
        return self.by_worker.get(worker.id, [])

    def of(self, key: StepKey) -> list[Hold]:
        """Return a copy of the reservations of a step.

        Args:
            key: Key of the step.
        """
        return list(self._by_key.get(key, ()))

    def first_of(self, key: StepKey) -> Hold | None:
        """Return the oldest reservation of a step; None if it has none.

        Args:
            key: Key of the step.
        """
        return next(iter(self._by_key.get(key, ())), None)

    def count_of(self, key: StepKey) -> int:
        """Return the number of reservations of a step.

        Args:
            key: Key of the step.
        """
        return len(self._by_key.get(key, ()))
