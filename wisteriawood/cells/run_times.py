"""Learned ratio of actual to declared run times, from the ends of runs."""

import collections
import dataclasses
import math

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks

# Most kinds of tasks that are remembered; the least recently used one goes.
MAX_KINDS = 512
# Ends from which a learned ratio is used.
MIN_SAMPLES = 3
# Weight of a new end is at least one in this many.
MAX_WEIGHT_SAMPLES = 12
# Ratios beyond this, either way, are implausible and not learned.
MAX_RATIO = 20.0
# Declared run times beyond this are implausible.
MAX_DECLARED_S = 86_400.0
# Times the mean deviation that a late end is after the expected one. For a
# normal distribution, 2 mean deviations cover 95% of the ends.
LATE_DEVIATIONS = 2.0
# Ratio of a late end to the declared run time if nothing is learned. Declared
# run times are off by half and more.
UNKNOWN_LATE_RATIO = 1.5


@dataclasses.dataclass(slots=True, kw_only=True)
class RunTime:
    """Expected run time of a task.

    Attributes:
        mean_s: Expected time.
        late_s: Time after which it has probably ended, with the spread.
        samples: Number of ends that it was learned from; 0 for a declared
            time.
        age_s: Time since the newest of these ends; 0 for a declared time.
    """

    mean_s: float
    late_s: float
    samples: int = 0
    age_s: float = 0.0


class _Kind:
    """What is learned about one kind of tasks, as natural logarithms."""

    __slots__ = ("deviation", "learned_at_s", "mean", "samples")

    def __init__(self, *, first: float, now_s: float):
        self.mean = first
        self.deviation = math.log(UNKNOWN_LATE_RATIO) / LATE_DEVIATIONS
        self.samples = 1
        self.learned_at_s = now_s

    def add(self, value: float, now_s: float) -> None:
        """Add a measured value."""
        self.samples += 1
        weight = 1 / min(self.samples, MAX_WEIGHT_SAMPLES)
        error = value - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        self.learned_at_s = now_s


class RunTimes:
    """Learned run times, by queue, image and number of the step.

    They are in memory only: the next holder of a cell learns them again.
    """

    __slots__ = ("_kinds",)

    def __init__(self):
        self._kinds: collections.OrderedDict[tuple, _Kind] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._kinds)

    def learn(
        self, job: jobs.Job, task: tasks.Task, ran_s: float, now_s: float
    ) -> bool:
        """Learn from a task that ran from its beginning to its end.

        Args:
            job: Job of the task.
            task: The task.
            ran_s: How long it ran.
            now_s: Monotonic time.

        Returns:
            Whether the times were plausible.
        """
        declared = declared_s(job.step_of(task))
        if declared is None or not math.isfinite(ran_s) or ran_s <= 0:
            return False
        ratio = ran_s / declared
        if not 1 / MAX_RATIO <= ratio <= MAX_RATIO:
            return False
        key = _key(job, task)
        kind = self._kinds.get(key)
        if kind is None:
            self._kinds[key] = _Kind(first=math.log(ratio), now_s=now_s)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
            return True
        kind.add(math.log(ratio), now_s)
        self._kinds.move_to_end(key)
        return True

    def expect(
        self, job: jobs.Job, task: tasks.Task, now_s: float
    ) -> RunTime | None:
        """Return the expected run time of a task.

        Args:
            job: Job of the task.
            task: The task.
            now_s: Monotonic time.

        Returns:
            The time; None if none is declared, or an implausible one.
        """
        declared = declared_s(job.step_of(task))
        if declared is None:
            return None
        kind = self._kinds.get(_key(job, task))
        if kind is None or kind.samples < MIN_SAMPLES:
            return RunTime(
                mean_s=declared, late_s=declared * UNKNOWN_LATE_RATIO
            )
        late = kind.mean + LATE_DEVIATIONS * kind.deviation
        return RunTime(
            mean_s=declared * math.exp(kind.mean),
            late_s=declared * math.exp(late),
            samples=kind.samples,
            age_s=max(0.0, now_s - kind.learned_at_s),
        )


def declared_s(step: specs.StepSpec) -> float | None:
    """Return the declared run time of a step's tasks.

    Args:
        step: The step.

    Returns:
        The time in seconds; None if there is none, or an implausible one.
    """
    time_s = step.expected_run_ms / 1000
    if not 0 < time_s <= MAX_DECLARED_S:
        return None
    return time_s


def _key(job: jobs.Job, task: tasks.Task) -> tuple[str, str, int]:
    return (job.spec.queue.name, job.step_of(task).image, task.step)
