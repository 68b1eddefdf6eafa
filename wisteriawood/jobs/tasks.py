"""Tasks of a job and the runs that they have had."""

import enum


class Phase(enum.IntEnum):
    """Where a task stands."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2
    # Handed to another cell, as a job of its own.
    LENT = 3


class Outcome(enum.StrEnum):
    """How a run ended."""

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
        phase: Where it stands.
        run: Number of its newest run; 0 before the first.
        worker_id: Worker of the newest run while it is assigned.
        failures: Runs that failed.
        checkpoint: From where the next run resumes; empty for the start.
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
        """Begin a new run on a worker.

        Args:
            worker_id: The worker.
            run: Number of the run.
        """
        self.phase = Phase.ASSIGNED
        self.run = run
        self.worker_id = worker_id

    def release(self, phase: Phase) -> None:
        """Take the task off its worker.

        Args:
            phase: Where it stands now.
        """
        self.phase = phase
        self.worker_id = ""


def task_name(job_id: str, task: Task) -> str:
    """Return the name under which workers know a task.

    Args:
        job_id: Id of the job that was handed in.
        task: The task.
    """
    return f"{job_id}.{task.occurrence}.{task.step}.{task.index}"
