"""A job and its progress."""

import enum
import typing

from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks


class JobState(enum.StrEnum):
    """States of a job; callers see all but those in HIDDEN_STATES."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"
    # The job was not accepted.
    REFUSED = "refused"
    # The job was cancelled before a submission of it took effect.
    WITHDRAWN = "withdrawn"


ENDED_STATES = frozenset(
    {
        JobState.COMPLETED,
        JobState.FAILED,
        JobState.CANCELED,
        JobState.REFUSED,
        JobState.WITHDRAWN,
    }
)
# States of rows that only keep submissions of a job from taking effect.
HIDDEN_STATES = frozenset({JobState.REFUSED, JobState.WITHDRAWN})

# Most occurrences, and most tasks, open at the same time. They bound the size
# of a job's row without its checkpoints, which must stay below the 64 KiB that
# a store may accept.
MAX_OPEN_OCCURRENCES = 16
MAX_OPEN_TASKS = 1000


class Job:
    """A job with the tasks of its open occurrences.

    Args:
        spec: The job as it was submitted.
        cell: Name of the cell that runs it.
        bucket: Partition of the store that keeps its rows.

    Attributes:
        state: State of the job.
        accepted_at_s: Monotonic time at which it was accepted.
        objective_s: Time after acceptance in which it should complete.
        ended_unix_ms: Wall time of its end; 0 before.
        occurrences: Tasks by occurrence and step.
        next_occurrence: Number of the next occurrence to open.
        occurrences_done: Number of occurrences whose tasks are all done.
        version: Version of its row in the store.
        has_begun: Whether a worker is known to have started a task.
        moved_from: Cell that it is being moved from; empty once that is
            stored.
        checkpoints_left_out: Number of checkpoints for which its row had no
            room when it was last written.
        is_refused: Whether the store has refused its rows. It stays in its
            cell then, and its row keeps no checkpoint.
    """

    __slots__ = (
        "accepted_at_s",
        "bucket",
        "cell",
        "checkpoints_left_out",
        "ended_unix_ms",
        "has_begun",
        "is_refused",
        "moved_from",
        "next_occurrence",
        "objective_s",
        "occurrences",
        "occurrences_done",
        "spec",
        "state",
        "version",
    )

    def __init__(self, *, spec: specs.JobSpec, cell: str, bucket: str):
        self.spec = spec
        self.cell = cell
        self.bucket = bucket
        # The job that a lent task belongs to is already running.
        is_lent = bool(spec.lent_task)
        self.state = JobState.RUNNING if is_lent else JobState.QUEUED
        self.ended_unix_ms = 0
        self.occurrences: dict[int, list[list[tasks.Task]]] = {}
        self.next_occurrence = 0
        self.occurrences_done = 0
        self.version = 0
        self.has_begun = is_lent
        self.moved_from = ""
        self.checkpoints_left_out = 0
        self.is_refused = False
        self.accepted_at_s = 0.0
        self.objective_s = specs.objective_s(spec)

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.spec.id

    @property
    def submitted_id(self) -> str:
        """Id of the submitted job; for a lent task, that of its job."""
        return self.spec.submitted_id

    def revert_move(self) -> None:
        """Keep a job in its cell that was to be moved to another one."""
        if self.moved_from:
            self.cell = self.moved_from
            self.moved_from = ""

    def task_name(self, task: tasks.Task) -> str:
        """Return the name under which workers know a task.

        Args:
            task: The task.
        """
        return self.spec.lent_task or tasks.task_name(self.id, task)

    def is_ended(self) -> bool:
        """Return whether the job has reached its final state."""
        return self.state in ENDED_STATES

    def is_pending(self) -> bool:
        """Return whether callers wait for the first task of the job to start.

        Timed jobs start by the clock.
        """
        return not (self.has_begun or self.is_ended() or self.spec.is_timed())

    def is_standing(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_standing for step in self.spec.steps)

    def step_of(self, task: tasks.Task) -> specs.StepSpec:
        """Return the step of a task."""
        return self.spec.steps[task.step]

    def all_tasks(self) -> typing.Iterator[tasks.Task]:
        """Yield the tasks of all open occurrences."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step

    def open_occurrence(self, number: int) -> None:
        """Create the tasks of an occurrence.

        Args:
            number: Number of the occurrence.
        """
        self.occurrences[number] = [
            [
                tasks.Task(occurrence=number, step=step, index=index)
                for index in range(spec.task_count)
            ]
            for step, spec in enumerate(self.spec.steps)
        ]
        for step in self.occurrences[number]:
            for task in step:
                task.run = self.spec.runs_before
                task.checkpoint = self.spec.checkpoint

    def open_due_occurrences(self, now_unix_ms: float) -> bool:
        """Open the occurrences that are due.

        Args:
            now_unix_ms: Wall time.

        Returns:
            Whether any was opened.
        """
        count = max(1, self.spec.occurrence_count)
        tasks_each = sum(step.task_count for step in self.spec.steps)
        max_open = min(MAX_OPEN_OCCURRENCES, MAX_OPEN_TASKS // tasks_each)
        was_opened = False
        while (
            self.next_occurrence < count
            and len(self.occurrences) < max(1, max_open)
            and self.spec.due_unix_ms(self.next_occurrence) <= now_unix_ms
        ):
            self.open_occurrence(self.next_occurrence)
            self.next_occurrence += 1
            was_opened = True
        return was_opened

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done.

        Args:
            occurrence: Number of the occurrence.
            step: Number of the step.
        """
        return all(
            task.phase is tasks.Phase.DONE
            for task in self.occurrences[occurrence][step]
        )

    def ready_steps(self) -> typing.Iterator[list[tasks.Task]]:
        """Yield the tasks of each step whose prerequisites are done."""
        if self.is_ended():
            return
        for number, steps in self.occurrences.items():
            for position, found in enumerate(steps):
                after = self.spec.steps[position].after
                if all(self.is_step_done(number, i) for i in after):
                    yield found

    def close_completed(self) -> None:
        """Remove completed occurrences; complete the job after the last."""
        for number in list(self.occurrences):
            steps = range(len(self.spec.steps))
            if all(self.is_step_done(number, step) for step in steps):
                del self.occurrences[number]
                self.occurrences_done += 1
        if self.occurrences_done >= max(1, self.spec.occurrence_count):
            self.state = JobState.COMPLETED
