"""Runs of tasks on workers, as tracked by the holder of a cell."""

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks


class Run:
    """A run that may be on a worker, where its capacity is reserved.

    Args:
        job: The job.
        task: The task.
        assigned_at_s: Monotonic time at which it was assigned.

    Attributes:
        name: Name of the task on the worker.
        number: Number of the run.
        is_answered: Whether the worker has answered the last command, so
            that the run has started or can no longer start.
        answered_at_s: Monotonic time of that answer.
        is_confirmed: Whether the worker has started the run.
        started_at_s: Monotonic time at which the start was confirmed.
        is_adopted: Whether a former holder assigned the run, so that the
            time of its start is not known.
        is_stopping: Whether the run is to be stopped.
        is_pinned: Whether the run is not moved to another worker however
            much it is slowed, since its job fitted nowhere.
        was_sent: Whether a start may have been sent to the worker.
        late_start_until_s: Monotonic time until which a start without an
            answer may take effect; 0 if all were answered.
        checkpoint: Newest checkpoint that the worker has reported.
        speed_percent: Reported speed, in percent of full speed.
        signal: Tail latency in milliseconds for a serving task, CPU use in
            millicores for any other.
        pace_percent: Speed limit last set, in percent of full speed.
        is_pace_known: Whether that is known; a former holder may have set it
            for a run that was taken over, until a report shows it.
    """

    __slots__ = (
        "answered_at_s",
        "assigned_at_s",
        "checkpoint",
        "is_adopted",
        "is_answered",
        "is_confirmed",
        "is_pace_known",
        "is_pinned",
        "is_stopping",
        "job",
        "late_start_until_s",
        "name",
        "number",
        "pace_percent",
        "signal",
        "speed_percent",
        "started_at_s",
        "step",
        "task",
        "was_sent",
    )

    def __init__(
        self, *, job: jobs.Job, task: tasks.Task, assigned_at_s: float
    ):
        self.job = job
        self.task = task
        self.step: specs.StepSpec = job.step_of(task)
        self.name = job.task_name(task)
        self.number = task.run
        self.assigned_at_s = assigned_at_s
        self.started_at_s = 0.0
        self.is_adopted = False
        self.is_answered = False
        self.answered_at_s = 0.0
        self.is_confirmed = False
        self.is_stopping = False
        self.is_pinned = False
        self.was_sent = False
        self.late_start_until_s = 0.0
        self.checkpoint = ""
        self.speed_percent = 0.0
        self.signal = 0.0
        self.pace_percent = 100
        self.is_pace_known = True

    def mark_answered(self, now_s: float) -> None:
        """Record that the worker has answered the last command.

        Args:
            now_s: Monotonic time.
        """
        self.is_answered = True
        self.answered_at_s = now_s

    def confirm(self, now_s: float) -> None:
        """Record that the worker has started the run.

        Args:
            now_s: Monotonic time.
        """
        self.is_confirmed = True
        self.job.has_begun = True
        self.started_at_s = now_s

    def is_current(self) -> bool:
        """Return whether this is still the newest run of its task."""
        return (
            self.task.run == self.number
            and self.task.phase is tasks.Phase.ASSIGNED
        )

    def latency_ratio(self) -> float:
        """Return the tail latency divided by its bound."""
        return self.signal / self.step.tail_target_ms
