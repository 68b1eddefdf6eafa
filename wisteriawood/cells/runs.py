"""Runs on a worker, as the holder of a cell knows them."""

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks


class Run:
    """A run that may be on a worker; its room is taken until it is not.

    Args:
        job: The job.
        task: The task.
        assigned_at_s: Monotonic time at which it was assigned.

    Attributes:
        name: Name of the task on the worker.
        number: Number of the run.
        is_settled: Whether the worker has answered the last order, so
            that the run is there or can't begin any more.
        settled_at_s: When it did, on the monotonic clock.
        is_confirmed: Whether the worker has started it.
        is_stopping: Whether a stop has been ordered.
        is_kept: Whether it stays on its worker however slow it must be,
            since its job found no other place.
        was_sent: Whether a start may have left for the worker.
        checkpoint: Newest checkpoint that the worker has reported.
        percent: Share of its speed at which it works.
        signal: Tail latency in milliseconds of a serving task, processor
            in use in thousandths of a core of any other.
        pace_percent: Share of its speed that it was last allowed.
    """

    __slots__ = (
        "assigned_at_s",
        "checkpoint",
        "is_confirmed",
        "is_kept",
        "is_settled",
        "is_stopping",
        "job",
        "name",
        "number",
        "pace_percent",
        "percent",
        "settled_at_s",
        "signal",
        "started_at_s",
        "step",
        "was_sent",
        "task",
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
        self.is_settled = False
        self.settled_at_s = 0.0
        self.is_confirmed = False
        self.is_stopping = False
        self.is_kept = False
        self.was_sent = False
        self.checkpoint = ""
        self.percent = 0.0
        self.signal = 0.0
        self.pace_percent = 100

    def settle(self, now_s: float) -> None:
        """Note that the worker has answered the last order.

        Args:
            now_s: Monotonic time.
        """
        self.is_settled = True
        self.settled_at_s = now_s

    def confirm(self, now_s: float) -> None:
        """Note that the worker has started it.

        Args:
            now_s: Monotonic time.
        """
        self.is_confirmed = True
        self.started_at_s = now_s

    def is_current(self) -> bool:
        """Tell whether this is still the newest run of its task."""
        return (
            self.task.run == self.number
            and self.task.phase is tasks.Phase.ASSIGNED
        )

    def strain(self) -> float:
        """Return the tail latency as a share of its bound."""
        return self.signal / self.step.tail_target_ms
