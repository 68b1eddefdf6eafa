"""Whether a worker is sound, as the ends of its runs tell."""

# Failures in a row, over at least two jobs, that put a worker on probation.
PROBATION_FAILURES = 4
# Time on probation; doubled each time, up to the longest.
PROBATION_S = 4.0
MAX_PROBATION_S = 30.0


class Soundness:
    """The failures of late on one worker."""

    __slots__ = ("_failed_jobs", "_failures", "_probations")

    def __init__(self):
        self._failures = 0
        self._failed_jobs: set[str] = set()
        self._probations = 0

    def note_end(self, job_id: str, has_failed: bool) -> float:
        """Learn from the end of a run.

        Args:
            job_id: Id of its job.
            has_failed: Whether it failed.

        Returns:
            Seconds for which the worker is now on probation; 0 for none.
        """
        if not has_failed:
            self._failures = 0
            self._failed_jobs.clear()
            self._probations = 0
            return 0.0
        self._failures += 1
        self._failed_jobs.add(job_id)
        if self._failures < PROBATION_FAILURES or len(self._failed_jobs) < 2:
            return 0.0
        length_s = min(PROBATION_S * 2**self._probations, MAX_PROBATION_S)
        self._probations += 1
        # The next failure after the probation renews it.
        self._failures = PROBATION_FAILURES - 1
        return length_s
