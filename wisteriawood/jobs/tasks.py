"""Tasks of a job and the state of their runs."""

import enum


class Phase(enum.IntEnum):
    """Phase of a task."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2
    # Lent to another cell, where it is a separate job.
    LENT = 3


class Outcome(enum.StrEnum):
    """How a run ended.

    DONE completes a task unless it is standing. FAILED counts against the
    attempts of its job. After all other outcomes, the task only waits for a
    new run.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Task:
    """A task of one step and occurrence, as the store keeps it.

    Args:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task in the step.

    Attributes:
        phase: Phase of the task.
        run: Number of its newest run; 0 before the first.
        worker_id: Worker of the newest run while the task is assigned; name
            of the other cell while it is lent; else empty.
        failures: Number of failed runs.
        checkpoint: Checkpoint from which the next run resumes; empty to
            start from the beginning.
    """

    __slots__ = (
        "checkpoint",
        "failures",
        "index",
        "occurrence",
        "phase",
        "run",
        "step",
        "worker_id",
    )

    def __init__(self, *, occurrence: int, step: int, index: int):
        self.occurrence = occurrence
        self.step = step
        self.index = index
        self.phase = Phase.WAITING
        self.run = 0
        self.worker_id = ""
        self.failures = 0
        self.checkpoint = ""

    def assign(self, *, worker_id: str, run: int) -> None:
        """Assign a new run to a worker.

        Args:
            worker_id: The worker.
            run: Number of the run.
        """
        self.phase = Phase.ASSIGNED
        self.run = run
        self.worker_id = worker_id

    def release(self, phase: Phase) -> None:
        """Remove the task from its worker.

        A task that is done never resumes, so that it needs no checkpoint.

        Args:
            phase: New phase of the task.
        """
        self.phase = phase
        self.worker_id = ""
        if phase is Phase.DONE:
            self.checkpoint = ""


def task_name(job_id: str, task: Task) -> str:
    """Return the name under which workers know a task.

    Args:
        job_id: Id of the submitted job.
        task: The task.
    """
    return f"{job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_name(name: str) -> tuple[str, tuple[int, int, int]] | None:
    """Return what the name of a task consists of.

    Args:
        name: The name, as a worker reports it.

    Returns:
        Id of the submitted job, and the numbers of occurrence, step and task;
        None if it is not the name of a task.
    """
    job_id, _dot, path = name.partition(".")
    numbers = path.split(".")
    if len(numbers) != 3 or not all(
        number.isascii() and number.isdigit() for number in numbers
    ):
        return None
    occurrence, step, index = map(int, numbers)
    return job_id, (occurrence, step, index)
