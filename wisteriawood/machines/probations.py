"""Probation of workers that fail everything, and of jobs that do."""

import dataclasses

# Distinct jobs that fail on a worker before it is put on probation.
FAILED_JOBS_FOR_PROBATION = 3
# Distinct workers that a job fails on before it is stopped.
FAILED_WORKERS_FOR_FAULTY_JOB = 3
FAILURE_WINDOW_S = 600.0
FIRST_PROBATION_S = 60.0
MAX_PROBATION_S = 3600.0
# Share of the workers that may be on probation at once.
MAX_PROBATION_SHARE = 0.2
MAX_TRACKED_JOBS = 20_000


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureRecord:
    """What is known of a worker's failures.

    Attributes:
        failed_s: Monotonic time of the newest failure of each job.
        until_s: Monotonic time at which the probation ends.
        length_s: Length of the newest probation in seconds.
    """

    failed_s: dict[str, float] = dataclasses.field(default_factory=dict)
    until_s: float = 0.0
    length_s: float = 0.0


class Probations:
    """Tells whether a worker or a job is to blame for failures."""

    __slots__ = ("_jobs", "_workers")

    def __init__(self):
        self._jobs: dict[str, set[str]] = {}
        self._workers: dict[str, FailureRecord] = {}

    def record_failure(
        self, *, worker: str, task: str, now_s: float, worker_count: int
    ) -> bool:
        """Record that an attempt failed.

        Args:
            worker: Name of the worker.
            task: Id of the task.
            now_s: Monotonic time in seconds.
            worker_count: Workers in all.

        Returns:
            Whether this puts the worker on probation.
        """
        if len(self._jobs) >= MAX_TRACKED_JOBS:
            self._jobs.pop(next(iter(self._jobs)))
        self._jobs.setdefault(task, set()).add(worker)
        record = self._workers.setdefault(worker, FailureRecord())
        record.failed_s[task] = now_s
        record.failed_s = {
            job: at_s
            for job, at_s in record.failed_s.items()
            if now_s - at_s < FAILURE_WINDOW_S
        }
        blame = [job for job in record.failed_s if not self.is_faulty(job)]
        if len(blame) < FAILED_JOBS_FOR_PROBATION or record.until_s > now_s:
            return False
        on_probation = sum(
            other.until_s > now_s for other in self._workers.values()
        )
        if on_probation + 1 > max(1, int(worker_count * MAX_PROBATION_SHARE)):
            return False
        if worker_count <= 1:
            return False
        record.length_s = min(
            max(FIRST_PROBATION_S, 2 * record.length_s), MAX_PROBATION_S
        )
        record.until_s = now_s + record.length_s
        return True

    def record_success(self, *, worker: str, task: str) -> None:
        """Record that an attempt finished well.

        Args:
            worker: Name of the worker.
            task: Id of the task.
        """
        record = self._workers.get(worker)
        if record is not None:
            record.failed_s = {}
            record.until_s = record.length_s = 0.0
        self._jobs.pop(task, None)

    def workers_with_failures(self) -> list[str]:
        """Return the workers on which anything failed lately."""
        return list(self._workers)

    def is_on_probation(self, worker: str, now_s: float) -> bool:
        """Tell whether a worker gets no tasks for now.

        Args:
            worker: Name of the worker.
            now_s: Monotonic time in seconds.
        """
        record = self._workers.get(worker)
        return record is not None and record.until_s > now_s

    def is_faulty(self, task: str) -> bool:
        """Tell whether a job failed on so many workers that it is to blame.

        Args:
            task: Id of the task.
        """
        return len(self._jobs.get(task, ())) >= FAILED_WORKERS_FOR_FAULTY_JOB

    def failed_workers(self, task: str) -> set[str]:
        """Return the workers on which a job failed.

        Args:
            task: Id of the task.
        """
        return self._jobs.get(task, set())
