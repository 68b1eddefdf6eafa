"""Specifications of jobs and their steps, as callers submit them."""

import dataclasses

from wisteriawood.jobs import queues


@dataclasses.dataclass(slots=True, kw_only=True)
class StepSpec:
    """A step of a job: a number of identical tasks.

    Attributes:
        task_count: Number of tasks in the step.
        cpu_millicores: CPU that each task requests.
        memory_mb: Memory that each task requests.
        accelerators: Accelerators that each task requests.
        expected_run_ms: Rough estimate of a task's run time.
        after: Numbers of the earlier steps that must be done first.
        is_checkpointing: Whether a task can resume from a checkpoint.
        is_gang: Whether the tasks must all run at the same time.
        is_same_rack: Whether a gang is preferably placed on one rack.
        required_label: Label that a worker must have; empty for any worker.
        near_rack: Rack that stores the data; empty for none.
        most_per_worker: Most tasks of the step on one worker; 0 for any.
        is_speculative: Whether copies of a task may run in parallel.
        is_standing: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of one image behave alike.
        tail_target_ms: Bound of the tail latency; 0 for none. A task with a
            bound is a serving task.
        is_filler: Whether the tasks use only CPU that other tasks leave
            unused.
        most_missing: Most tasks that may be interrupted at the same time.
    """

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    expected_run_ms: int = 0
    after: list[int] = dataclasses.field(default_factory=list)
    is_checkpointing: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ""
    near_rack: str = ""
    most_per_worker: int = 0
    is_speculative: bool = False
    is_standing: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    is_filler: bool = False
    most_missing: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class JobSpec:
    """A job as it was submitted, with the rules of its queue.

    Attributes:
        id: Id that the caller chose.
        queue: The queue, as configured when the job was submitted.
        payload: Text passed to the workers unchanged.
        steps: The steps.
        occurrence_count: How often the steps run; 0 for once, immediately.
        first_due_unix_ms: Wall time at which the first occurrence is due.
        interval_ms: Time between occurrences.
        accepted_unix_ms: Wall time at which the job was accepted.
        lent_task: Name of the only task, as workers know it, if another
            cell has lent it; empty for a job that was submitted.
        runs_before: Number of runs of the lent task before it was lent.
        checkpoint: Checkpoint from which the lent task resumes; empty to
            start from the beginning.
        moves: How often the job was moved to another cell.
    """

    id: str
    queue: queues.Queue
    payload: str = ""
    steps: list[StepSpec]
    occurrence_count: int = 0
    first_due_unix_ms: int = 0
    interval_ms: int = 0
    accepted_unix_ms: int = 0
    lent_task: str = ""
    runs_before: int = 0
    checkpoint: str = ""
    moves: int = 0

    @property
    def submitted_id(self) -> str:
        """Id of the submitted job; for a lent task, that of its job."""
        return self.lent_task.partition(".")[0] or self.id

    def is_timed(self) -> bool:
        """Return whether the steps run at scheduled times."""
        return self.occurrence_count > 0

    def due_unix_ms(self, occurrence: int) -> int:
        """Return the wall time at which an occurrence may start.

        Args:
            occurrence: Its number, from 0.
        """
        if not self.is_timed():
            return 0
        return self.first_due_unix_ms + occurrence * self.interval_ms


def step_millicore_s(step: StepSpec) -> int:
    """Return the estimated work of a step's task, in millicore-seconds.

    Args:
        step: The step.
    """
    return step.cpu_millicores * step.expected_run_ms // 1000


def filler_millicore_s(spec: JobSpec) -> int:
    """Return the estimated work of a job's fillers, in millicore-seconds.

    Args:
        spec: The job.
    """
    return sum(
        step_millicore_s(step) * step.task_count
        for step in spec.steps
        if step.is_filler
    )


def objective_s(spec: JobSpec) -> float:
    """Return the time in which an accepted job should complete.

    Args:
        spec: The job.
    """
    queue = spec.queue
    return (queue.stretch * critical_path_ms(spec) + queue.target_ms) / 1000


def critical_path_ms(spec: JobSpec) -> int:
    """Return the estimated run time of the longest chain of steps.

    Args:
        spec: The job.
    """
    ends_ms: list[int] = []
    for step in spec.steps:
        before_ms = max((ends_ms[i] for i in step.after), default=0)
        ends_ms.append(before_ms + step.expected_run_ms)
    return max(ends_ms, default=0)
