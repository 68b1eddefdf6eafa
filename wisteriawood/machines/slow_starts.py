"""Slow start of task classes whose resource use is not yet known."""

from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import sizes

# Tasks of an unknown class that may run without a usage report, and the time
# after which one no longer counts, even without a report.
MAX_UNMEASURED_TASKS = 8
MEASUREMENT_TIMEOUT_S = 15.0


class SlowStart:
    """Limits the tasks of unknown classes that run without a usage report.

    Args:
        learned: Resource use learned so far, by class.
    """

    __slots__ = ("_running", "_sizes")

    def __init__(self, *, learned: sizes.SizeEstimator):
        self._running: dict[str, dict[str, float]] = {}
        self._sizes = learned

    def may_start(self, spec: tasks.TaskSpec, *, now_s: float) -> bool:
        """Return whether one more task of a class may start.

        Args:
            spec: The task; an urgent one may always start.
            now_s: Monotonic time in seconds.
        """
        name = indexes.class_of(spec)
        if spec.urgent or self._sizes.is_known(name):
            return True
        running = self._running.get(name)
        if running is None:
            return True
        for task, started_s in list(running.items()):
            if now_s - started_s > MEASUREMENT_TIMEOUT_S:
                del running[task]
        return len(running) < MAX_UNMEASURED_TASKS

    def start(self, spec: tasks.TaskSpec, *, now_s: float) -> None:
        """Record that a task starts.

        Args:
            spec: The task.
            now_s: Monotonic time in seconds.
        """
        name = indexes.class_of(spec)
        if not self._sizes.is_known(name):
            self._running.setdefault(name, {})[spec.id] = now_s

    def finish(self, spec: tasks.TaskSpec) -> None:
        """Record that the resource use of a task has been measured.

        Args:
            spec: The task.
        """
        running = self._running.get(indexes.class_of(spec))
        if running is not None:
            running.pop(spec.id, None)

    def keep_only(self, placed: set[str]) -> None:
        """Discard the state of tasks that are no longer on a worker.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for name, running in list(self._running.items()):
            for task in running.keys() - placed:
                del running[task]
            if not running:
                del self._running[name]
