"""Moving serving tasks to workers whose fillers suit them.

A worker is of use to a filler only if all serving tasks there bear it. When
the first serving tasks are placed, nothing is known of what they bear; later
a few of them may keep many fillers off a worker. Such tasks are moved, one at
a time, to workers from which those fillers are kept off anyway.
"""

from wisteriawood.cells import cells
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Processor that a move must open to fillers, weighed by the share of the
# waiting fillers that can use it; it pays for a second's absence of the
# task within a few seconds.
MIN_GAIN_MILLICORES = 2500
# Time for which an image does not come back to the worker that it left.
AWAY_S = 20.0
# Least time between two moves in a cell: the first has its new place.
PERIOD_S = 0.7
# Time that a task must have run before it is moved.
SETTLED_S = 4.0
# Tasks of one image on a worker that are moved at most to open it.
MAX_TASKS = 4


class Regrouper:
    """Moves the serving tasks of one cell.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_moved_at_s")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._moved_at_s = 0.0

    def look(self, now_s: float) -> None:
        """Move the serving task whose move helps fillers most, if any.

        Args:
            now_s: Monotonic time.
        """
        if now_s - self._moved_at_s < PERIOD_S:
            return
        # Without the store, a stopped task could not be started again.
        if not self._cell.ledger.is_flowing(now_s):
            return
        waiting = self._waiting_fillers()
        if not waiting:
            return
        found = self._best(waiting, now_s)
        if found is None:
            return
        gain, worker, run = found
        self._moved_at_s = now_s
        worker.leaving_images[run.step.image] = now_s + AWAY_S
        _LOG.log(
            job_events.SERVING_REGROUPED,
            worker=worker.id,
            task=run.name,
            run=run.number,
            image=run.step.image,
            gain_cores=round(gain / 1000, 1),
        )
        self._cell.stop_run(worker, run)

    def _waiting_fillers(self) -> dict[str, float]:
        """Return the processor that waiting fillers ask for, by image."""
        found: dict[str, float] = {}
        for job, step_tasks in self._cell.waiting_steps():
            step = job.step_of(step_tasks[0])
            if step.is_filler:
                wanted = step.cpu_millicores * len(step_tasks)
                found[step.image] = found.get(step.image, 0.0) + wanted
        return found

    def _best(
        self, waiting: dict[str, float], now_s: float
    ) -> tuple[float, workers.Worker, runs.Run] | None:
        usable = [w for w in self._cell.fleet.values() if w.is_usable(now_s)]
        best: tuple[float, workers.Worker, runs.Run] | None = None
        for worker in usable:
            for image, gain in self._gains(worker, waiting).items():
                if best is not None and gain <= best[0]:
                    continue
                if gain < MIN_GAIN_MILLICORES:
                    continue
                run = self._movable(worker, image, usable, now_s)
                if run is not None:
                    best = (gain, worker, run)
        return best

    def _gains(
        self, worker: workers.Worker, waiting: dict[str, float]
    ) -> dict[str, float]:
        """Return what each serving image costs fillers, for each task."""
        book = self._cell.book
        counts = worker.serving_images()
        if len(counts) < 2:
            return {}
        left = max(0.0, worker.left_over())
        total = sum(waiting.values())
        found = {}
        for image, count in counts.items():
            if count > MAX_TASKS:
                continue
            others = frozenset().union(
                *(book.heavy_fillers(i) for i in counts if i != image)
            )
            opened = book.heavy_fillers(image) - others
            share = sum(waiting.get(filler, 0.0) for filler in opened) / total
            found[image] = left * share / count
        return found

    def _movable(
        self,
        worker: workers.Worker,
        image: str,
        usable: list[workers.Worker],
        now_s: float,
    ) -> runs.Run | None:
        """Return a task of an image that may leave and has a place to go."""
        for run in worker.runs.values():
            if run.step.image != image or run.step.tail_target_ms <= 0:
                continue
            if run.is_stopping or not run.is_confirmed:
                continue
            if now_s - run.started_at_s < SETTLED_S:
                continue
            if not self._may_miss(run):
                continue
            if any(
                other is not worker and self._suits(other, run, now_s)
                for other in usable
            ):
                return run
        return None

    def _suits(
        self, worker: workers.Worker, run: runs.Run, now_s: float
    ) -> bool:
        """Tell whether a task would keep no more fillers off a worker."""
        if not worker.accepts(run.step, run.name, now_s):
            return False
        heavy = self._cell.book.heavy_fillers(run.step.image)
        return heavy <= worker.shut_out(self._cell.book)

    def _may_miss(self, run: runs.Run) -> bool:
        """Tell whether the job bears the absence of the task now.

        No other task of the step may be away, whatever it allows: what the
        caller sees of each absence then stays as small as can be.
        """
        if run.job.is_ended() or run.job.spec.lent_task:
            return False
        step_tasks = run.job.occurrences[run.task.occurrence][run.task.step]
        return all(
            task.phase is tasks.Phase.ASSIGNED and self._is_at_work(run, task)
            for task in step_tasks
        )

    def _is_at_work(self, run: runs.Run, task: tasks.Task) -> bool:
        worker = self._cell.fleet.get(task.worker_id)
        if worker is None:
            return False
        other = worker.runs.get(run.job.task_name(task))
        return (
            other is not None
            and other.is_confirmed
            and not other.is_stopping
            and other.percent >= 100
        )
