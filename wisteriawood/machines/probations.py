"""Probation of workers on which several tasks failed."""

import dataclasses

# Distinct tasks that fail on a worker before it is put on probation.
FAILED_TASKS_FOR_PROBATION = 3
# Distinct workers on which a task fails before its failures no longer count
# against a worker.
FAILED_WORKERS_FOR_FAULTY_TASK = 3
# Time for which a failure counts against a worker.
FAILURE_WINDOW_S = 600.0
FIRST_PROBATION_S = 60.0
MAX_PROBATION_S = 3600.0
# Share of the workers that may be on probation at once, at least one worker.
MAX_PROBATION_SHARE = 0.2
# Tasks whose failures are kept; the oldest are dropped first.
MAX_TRACKED_TASKS = 20_000


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureRecord:
    """Failures and probation of one worker.

    Attributes:
        failed_at_s: Monotonic time of the newest failure of each task.
        until_s: Monotonic time at which the probation ends.
        length_s: Length of the latest probation in seconds.
    """

    failed_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    until_s: float = 0.0
    length_s: float = 0.0


class Probations:
    """Decides whether failed attempts are due to workers or to tasks."""

    __slots__ = ("_failed_workers", "_records")

    def __init__(self):
        self._failed_workers: dict[str, set[str]] = {}
        self._records: dict[str, FailureRecord] = {}

    def record_failure(
        self, *, worker: str, task: str, now_s: float, worker_count: int
    ) -> bool:
        """Record that an attempt failed.

        Args:
            worker: Name of the worker.
            task: Id of the task.
            now_s: Monotonic time in seconds.
            worker_count: Total number of workers.

        Returns:
            Whether the worker is put on probation by this failure.
        """
        if len(self._failed_workers) >= MAX_TRACKED_TASKS:
            self._failed_workers.pop(next(iter(self._failed_workers)))
        self._failed_workers.setdefault(task, set()).add(worker)
        record = self._records.setdefault(worker, FailureRecord())
        record.failed_at_s[task] = now_s
        record.failed_at_s = {
            job: at_s
            for job, at_s in record.failed_at_s.items()
            if now_s - at_s < FAILURE_WINDOW_S
        }
        failed_jobs = [
            job for job in record.failed_at_s if not self.is_faulty(job)
        ]
        if (
            len(failed_jobs) < FAILED_TASKS_FOR_PROBATION
            or record.until_s > now_s
        ):
            return False
        on_probation = sum(
            other.until_s > now_s for other in self._records.values()
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
        """Record that an attempt finished successfully.

        This ends a probation of the worker.

        Args:
            worker: Name of the worker.
            task: Id of the task.
        """
        record = self._records.get(worker)
        if record is not None:
            record.failed_at_s = {}
            record.until_s = record.length_s = 0.0
        self._failed_workers.pop(task, None)

    def workers_with_failures(self) -> list[str]:
        """Return the workers on which any attempt has failed."""
        return list(self._records)

    def is_on_probation(self, worker: str, now_s: float) -> bool:
        """Return whether a worker is on probation and gets no tasks.

        Args:
            worker: Name of the worker.
            now_s: Monotonic time in seconds.
        """
        record = self._records.get(worker)
        return record is not None and record.until_s > now_s

    def is_faulty(self, task: str) -> bool:
        """Return whether a task failed on enough workers to count as faulty.

        Args:
            task: Id of the task.
        """
        return (
            len(self._failed_workers.get(task, ()))
            >= FAILED_WORKERS_FOR_FAULTY_TASK
        )

    def failed_workers(self, task: str) -> set[str]:
        """Return the workers on which a task has failed.

        Args:
            task: Id of the task.
        """
        return self._failed_workers.get(task, set())
