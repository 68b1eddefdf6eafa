"""Slow start of task classes whose sizes are not known yet."""

from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import sizes

# Tasks of a class not yet known that may run unmeasured, and the time after
# which one counts as measured though no report came.
MAX_UNMEASURED_TASKS = 8
MEASUREMENT_TIMEOUT_S = 15.0


class Probes:
    """Tasks that run unmeasured, by class.

    Args:
        learned: Tells which classes are known.
    """

    __slots__ = ("_running", "_sizes")

    def __init__(self, *, learned: sizes.Sizes):
        self._running: dict[str, dict[str, float]] = {}
        self._sizes = learned

    def may_start(self, spec: tasks.TaskSpec, *, now_s: float) -> bool:
        """Tell whether one more task of a class may start.

        Args:
            spec: The task; an urgent one always may.
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
        """Take over that a task starts.

        Args:
            spec: The task.
            now_s: Monotonic time in seconds.
        """
        name = indexes.class_of(spec)
        if not self._sizes.is_known(name):
            self._running.setdefault(name, {})[spec.id] = now_s

    def finish(self, spec: tasks.TaskSpec) -> None:
        """Take over that a task's size was seen.

        Args:
            spec: The task.
        """
        running = self._running.get(indexes.class_of(spec))
        if running is not None:
            running.pop(spec.id, None)

    def keep_only(self, placed: set[str]) -> None:
        """Forget the tasks that have left.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for name, running in list(self._running.items()):
            for task in running.keys() - placed:
                del running[task]
            if not running:
                del self._running[name]
