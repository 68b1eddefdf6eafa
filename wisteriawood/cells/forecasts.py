"""Forecasts of the room that the ends of runs will leave on a worker."""

import math

from wisteriawood.cells import reservations
from wisteriawood.cells import run_times
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import specs

# Time that the stop of a run takes.
STOP_S = 0.8
# A run that is past its expected end is expected to go on for this share of
# the time that it has run, and at least for the time below.
OVERDUE_SHARE = 0.25
MIN_OVERDUE_S = 0.2


class Room:
    """Amounts of a worker that are free.

    Args:
        cpu_millicores: CPU.
        memory_mb: Memory.
        accelerators: Accelerators.
    """

    __slots__ = ("accelerators", "cpu_millicores", "memory_mb")

    def __init__(
        self, *, cpu_millicores: int, memory_mb: int, accelerators: int
    ):
        self.cpu_millicores = cpu_millicores
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    def add(self, step: specs.StepSpec, sign: int = 1) -> None:
        """Add what a task reserves, or subtract it.

        Args:
            step: Step of the task.
            sign: 1 to add, -1 to subtract.
        """
        if not step.is_filler:
            self.cpu_millicores += sign * step.cpu_millicores
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators

    def fits(self, step: specs.StepSpec) -> bool:
        """Return whether a task of a step fits.

        Args:
            step: The step.
        """
        return (
            step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
            and (step.is_filler or step.cpu_millicores <= self.cpu_millicores)
        )


class Forecast:
    """What will be free on a worker, and when.

    Args:
        worker: The worker.
        times: Learned run times.
        now_s: Monotonic time.

    Attributes:
        age_s: Age of what is known about the worker's runs.
        learned_age_s: Age of the oldest learned run time that was used.
        ends: Expected ends of the runs that do end, with the spread, earliest
            first; infinite where nothing is known.
    """

    __slots__ = ("_worker", "age_s", "ends", "learned_age_s")

    def __init__(
        self,
        *,
        worker: workers.Worker,
        times: run_times.RunTimes,
        now_s: float,
    ):
        self._worker = worker
        self.age_s = max(0.0, now_s - worker.answered_at_s)
        self.learned_age_s = 0.0
        self.ends: list[tuple[float, runs.Run]] = []
        for run in worker.runs.values():
            if run.is_stopping or not run.step.is_standing:
                self.ends.append((self._end_s(run, times, now_s), run))
        self.ends.sort(key=lambda end: end[0])

    def _end_s(
        self, run: runs.Run, times: run_times.RunTimes, now_s: float
    ) -> float:
        if not self._worker.is_answering:
            # Its runs count until the lease has certainly ended.
            return max(now_s, self._worker.run_ended_at_s(run))
        if run.is_stopping:
            return now_s + STOP_S
        expected = times.expect(run.job, run.task, now_s)
        if expected is None:
            return math.inf
        self.learned_age_s = max(self.learned_age_s, expected.age_s)
        elapsed_s = max(0.0, now_s - (run.started_at_s or run.assigned_at_s))
        left_s = expected.late_s - elapsed_s
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_SHARE * elapsed_s)
        if left_s < MIN_OVERDUE_S:
            left_s = overdue_s
        if run.step.is_filler:
            if run.pace_percent <= 0:
                return math.inf
            left_s *= 100 / min(100, run.pace_percent)
        return now_s + left_s

    def room(self, kept: list[reservations.Reservation]) -> Room:
        """Return what is free now; nothing on a worker that drains.

        Args:
            kept: Room that is kept for standing tasks there.
        """
        if self._worker.registration.is_draining:
            return Room(cpu_millicores=0, memory_mb=0, accelerators=0)
        found = Room(
            cpu_millicores=self._worker.free_millicores,
            memory_mb=self._worker.free_memory_mb,
            accelerators=self._worker.free_accelerators,
        )
        for entry in kept:
            found.add(entry.step, -1)
        return found

    def room_at(
        self, time_s: float, kept: list[reservations.Reservation]
    ) -> Room:
        """Return what will be free at some time.

        Args:
            time_s: Monotonic time.
            kept: Room that is kept for standing tasks there.
        """
        found = self.room(kept)
        for end_s, run in self.ends:
            if end_s > time_s or self._worker.registration.is_draining:
                break
            found.add(run.step)
        return found
