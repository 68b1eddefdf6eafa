"""The time for which a standing task doesn't run, by what it waits for."""

import enum

from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks


class AwayPhase(enum.StrEnum):
    """What a standing task that doesn't run waits for.

    END_UNKNOWN: Its last run may go on, since no report of its end came, and
        the leases that this holder has granted to the worker have not lapsed;
        or they have, and the run is about to be dropped.
    FORMER_LEASE: No report of its end came either, and the leases granted
        here have lapsed or there are none; those that a former holder of the
        cell may have granted have not.
    NO_ROOM: It waits in this cell, and no worker takes it.
    OTHER_CELL_ASKED: It is being moved or lent to another cell; the write of
        that is not in the store yet.
    START_UNANSWERED: It is assigned to a worker that answers, or its start
        was not sent yet, as after a write that is pending; the worker has not
        confirmed the start.
    """

    END_UNKNOWN = "end_unknown"
    FORMER_LEASE = "former_lease"
    NO_ROOM = "no_room"
    OTHER_CELL_ASKED = "other_cell_asked"
    START_UNANSWERED = "start_unanswered"


class Cause(enum.StrEnum):
    """How an absence began for the holder of the cell.

    SILENCE: The worker stopped answering; counted from its last answer.
    RUN_END: The run ended; counted from the report of that, or from the last
        answer before if there is no report.
    LOAD: The task was away when the holder loaded it from the store; counted
        from then, so the whole absence is longer.
    """

    SILENCE = "silence"
    RUN_END = "run_end"
    LOAD = "load"


class Absence:
    """A time for which a standing task that has run before doesn't run.

    Args:
        job: The job.
        task: The task.
        last_run: Number of its last run.
        last_worker_id: Worker of that run; empty if it is not known.
        since_s: Monotonic time from which it counts as away.
        cause: How the absence began.
        phase: First phase.

    Attributes:
        logged_at_s: Monotonic time of the last line about it; None before.
        logged_phase: Phase in that line; None before.
    """

    __slots__ = (
        "_phase_since_s",
        "_phases_s",
        "cause",
        "job",
        "last_run",
        "last_worker_id",
        "logged_at_s",
        "logged_phase",
        "phase",
        "since_s",
        "task",
    )

    def __init__(
        self,
        *,
        job: jobs.Job,
        task: tasks.Task,
        last_run: int,
        last_worker_id: str,
        since_s: float,
        cause: Cause,
        phase: AwayPhase,
    ):
        self.job = job
        self.task = task
        self.last_run = last_run
        self.last_worker_id = last_worker_id
        self.since_s = since_s
        self.cause = cause
        self.phase = phase
        self.logged_at_s: float | None = None
        self.logged_phase: AwayPhase | None = None
        self._phase_since_s = since_s
        self._phases_s: dict[AwayPhase, float] = {}

    def enter(self, phase: AwayPhase, at_s: float, now_s: float) -> None:
        """Record in which phase the task is.

        Args:
            phase: The phase; nothing changes if it is the current one.
            at_s: Monotonic time at which its cause began. It can't be when
                the phase began if it precedes the current phase.
            now_s: Monotonic time at which the phase is known to have begun.
        """
        if phase is self.phase:
            return
        if at_s < self._phase_since_s:
            at_s = now_s
        self._phases_s = self.phase_times_s(at_s)
        self._phase_since_s = at_s
        self.phase = phase

    def away_s(self, now_s: float) -> float:
        """Return for how long the task has been away.

        Args:
            now_s: Monotonic time.
        """
        return max(0.0, now_s - self.since_s)

    def phase_times_s(self, now_s: float) -> dict[AwayPhase, float]:
        """Return the time spent so far in each phase that has lasted.

        Args:
            now_s: Monotonic time.
        """
        found = dict(self._phases_s)
        spent_s = now_s - self._phase_since_s
        if spent_s > 0:
            found[self.phase] = found.get(self.phase, 0.0) + spent_s
        return found
