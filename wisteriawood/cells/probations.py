"""Probation of workers on which runs fail repeatedly."""

import math

# Consecutive failures, of at least two jobs, that put a worker on probation.
PROBATION_FAILURES = 4
# Length of the first probation. It doubles for each further one, up to the
# maximum, until a run succeeds.
BASE_PROBATION_S = 4.0
MAX_PROBATION_S = 30.0


class ProbationTracker:
    """Counts consecutive failures of runs on one worker.

    Runs that were assigned before a probation began don't lengthen it: they
    tell of the same trouble as those that caused it.
    """

    __slots__ = ("_began_at_s", "_failed_jobs", "_failures", "_probations")

    def __init__(self):
        self._failures = 0
        self._failed_jobs: set[str] = set()
        self._probations = 0
        # Monotonic time at which the last probation began.
        self._began_at_s = -math.inf

    def record_end(
        self,
        job_id: str,
        has_failed: bool,
        *,
        assigned_at_s: float,
        now_s: float,
    ) -> float:
        """Count the end of a run.

        Args:
            job_id: Id of its job.
            has_failed: Whether it failed.
            assigned_at_s: Monotonic time at which it was assigned.
            now_s: Monotonic time.

        Returns:
            Seconds for which the worker is now on probation; 0 for none.
        """
        if not has_failed:
            self._failures = 0
            self._failed_jobs.clear()
            self._probations = 0
            return 0.0
        if assigned_at_s < self._began_at_s:
            return 0.0
        self._failures += 1
        self._failed_jobs.add(job_id)
        if self._failures < PROBATION_FAILURES or len(self._failed_jobs) < 2:
            return 0.0
        length_s = min(BASE_PROBATION_S * 2**self._probations, MAX_PROBATION_S)
        self._probations += 1
        self._began_at_s = now_s
        # After the probation, a single further failure starts the next one.
        self._failures = PROBATION_FAILURES - 1
        return length_s
