"""Slow start of task classes whose resource use is not yet known."""

from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import sizes

# Maximum number of tasks of an unknown class that run without a usage report.
MAX_UNMEASURED_TASKS = 8
# Time after which such a task no longer counts, even without a report.
MEASUREMENT_TIMEOUT_S = 15.0


class SlowStart:
    """Limits the tasks of unknown classes that run without a usage report.

    Args:
        size_estimator: Resource use learned so far, by class.
    """

    __slots__ = ("_sizes", "_unmeasured")

    def __init__(self, *, size_estimator: sizes.SizeEstimator):
        self._unmeasured: dict[str, dict[str, float]] = {}
        self._sizes = size_estimator

    def may_start(self, spec: tasks.TaskSpec, *, now_s: float) -> bool:
        """Return whether one more task of a class may start.

        Args:
            spec: The task; an urgent one may always start.
            now_s: Monotonic time in seconds.
        """
        name = indexes.class_of(spec)
        if spec.urgent or self._sizes.is_known(name):
            return True
        unmeasured = self._unmeasured.get(name)
        if unmeasured is None:
            return True
        for task, started_at_s in list(unmeasured.items()):
            if now_s - started_at_s > MEASUREMENT_TIMEOUT_S:
                del unmeasured[task]
        return len(unmeasured) < MAX_UNMEASURED_TASKS

    def record_start(self, spec: tasks.TaskSpec, *, now_s: float) -> None:
        """Record that a task starts.

        Args:
            spec: The task.
            now_s: Monotonic time in seconds.
        """
        name = indexes.class_of(spec)
        if not self._sizes.is_known(name):
            self._unmeasured.setdefault(name, {})[spec.id] = now_s

    def record_measured(self, spec: tasks.TaskSpec) -> None:
        """Record that the resource use of a task has been measured.

        Args:
            spec: The task.
        """
        unmeasured = self._unmeasured.get(indexes.class_of(spec))
        if unmeasured is not None:
            unmeasured.pop(spec.id, None)

    def forget_except(self, placed: set[str]) -> None:
        """Discard the state of tasks that are no longer on a worker.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for name, unmeasured in list(self._unmeasured.items()):
            for task in unmeasured.keys() - placed:
                del unmeasured[task]
            if not unmeasured:
                del self._unmeasured[name]
