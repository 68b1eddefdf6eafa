"""Moving serving tasks so that workers can run more fillers.

A worker can run a filler only if it is compatible with all serving tasks
there. When the first serving tasks are placed, the weights of the fillers are
unknown; later a few serving tasks may exclude many fillers from a worker. Such
tasks are moved, one at a time, to workers that exclude the same fillers
anyway.
"""

from wisteriawood.cells import cells
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Least gain of a move: the CPU that it opens to fillers, multiplied by the
# share of the waiting fillers that can use it. A move interrupts its task for
# about a second; with this gain, it pays off within a few seconds.
MIN_GAIN_MILLICORES = 2500
# Time for which tasks of a moved image are not placed on the same worker.
IMAGE_BLOCK_S = 20.0
# Least time between two moves in a cell, so that a moved task is placed before
# the next move.
MOVE_INTERVAL_S = 0.7
# Least run time of a task before it is moved.
MIN_RUN_BEFORE_MOVE_S = 4.0
# Images with more tasks on a worker are not moved off it.
MAX_IMAGE_TASKS = 4


class Regrouper:
    """Moves the serving tasks of one cell.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_moved_at_s")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._moved_at_s = 0.0

    def tick(self, now_s: float) -> None:
        """Move the serving task whose move opens most CPU to fillers, if any.

        Args:
            now_s: Monotonic time.
        """
        if now_s - self._moved_at_s < MOVE_INTERVAL_S:
            return
        if self._cell.is_drained():
            # A stopped task could not start again here.
            return
        # A stopped task starts again only once its row is written, so no
        # task is moved while writes are slow.
        if not self._cell.writer.is_keeping_up(now_s):
            return
        waiting = self._waiting_filler_millicores()
        if not waiting:
            return
        found = self._best_move(waiting, now_s)
        if found is None:
            return
        gain, worker, run = found
        self._moved_at_s = now_s
        worker.blocked_images_until_s[run.step.image] = now_s + IMAGE_BLOCK_S
        _LOG.log(
            job_events.SERVING_REGROUPED,
            worker=worker.id,
            task=run.name,
            run=run.number,
            image=run.step.image,
            gain_cores=round(gain / 1000, 1),
        )
        self._cell.stop_run(worker, run)

    def _waiting_filler_millicores(self) -> dict[str, float]:
        """Return the CPU that waiting fillers request, by image."""
        found: dict[str, float] = {}
        for job, step_tasks in self._cell.waiting_steps():
            step = job.step_of(step_tasks[0])
            if step.is_filler and step.cpu_millicores:
                wanted = step.cpu_millicores * len(step_tasks)
                found[step.image] = found.get(step.image, 0.0) + wanted
        return found

    def _best_move(
        self, waiting: dict[str, float], now_s: float
    ) -> tuple[float, workers.Worker, runs.Run] | None:
        usable = [w for w in self._cell.fleet.values() if w.is_usable(now_s)]
        best: tuple[float, workers.Worker, runs.Run] | None = None
        for worker in usable:
            for image, gain in self._gains_per_task(worker, waiting).items():
                if best is not None and gain <= best[0]:
                    continue
                if gain < MIN_GAIN_MILLICORES:
                    continue
                run = self._find_movable_run(worker, image, usable, now_s)
                if run is not None:
                    best = (gain, worker, run)
        return best

    def _gains_per_task(
        self, worker: workers.Worker, waiting: dict[str, float]
    ) -> dict[str, float]:
        """Return the CPU that moving a task opens to fillers, by image."""
        model = self._cell.model
        counts = worker.serving_images()
        if len(counts) < 2:
            return {}
        left = max(0.0, worker.unused_millicores())
        total = sum(waiting.values())
        found = {}
        for image, count in counts.items():
            if count > MAX_IMAGE_TASKS:
                continue
            others = frozenset().union(
                *(model.incompatible_fillers(i) for i in counts if i != image)
            )
            opened = model.incompatible_fillers(image) - others
            share = sum(waiting.get(filler, 0.0) for filler in opened) / total
            found[image] = left * share / count
        return found

    def _find_movable_run(
        self,
        worker: workers.Worker,
        image: str,
        usable: list[workers.Worker],
        now_s: float,
    ) -> runs.Run | None:
        """Return a movable run of an image that fits another worker."""
        for run in worker.runs.values():
            if run.step.image != image or run.step.tail_target_ms <= 0:
                continue
            if run.is_stopping or not run.is_confirmed:
                continue
            if now_s - run.started_at_s < MIN_RUN_BEFORE_MOVE_S:
                continue
            if not self._can_interrupt(run):
                continue
            if any(
                other is not worker and self._is_suitable(other, run, now_s)
                for other in usable
            ):
                return run
        return None

    def _is_suitable(
        self, worker: workers.Worker, run: runs.Run, now_s: float
    ) -> bool:
        """Return whether a run fits without excluding more fillers."""
        if not worker.accepts(run.step, run.name, now_s):
            return False
        if not self._cell.placer.reservations.leaves_room_for(
            worker, run.step
        ):
            return False
        excluded = self._cell.model.incompatible_fillers(run.step.image)
        return excluded <= worker.excluded_fillers(self._cell.model)

    def _can_interrupt(self, run: runs.Run) -> bool:
        """Return whether the task of a run may be interrupted now.

        All tasks of its step must run at full speed, even if the step allows
        several to be interrupted, to keep the effect on callers small.
        """
        if run.job.is_ended() or run.job.spec.lent_task:
            return False
        step_tasks = run.job.occurrences[run.task.occurrence][run.task.step]
        return all(
            task.phase is tasks.Phase.ASSIGNED
            and self._runs_at_full_speed(run, task)
            for task in step_tasks
        )

    def _runs_at_full_speed(self, run: runs.Run, task: tasks.Task) -> bool:
        worker = self._cell.fleet.get(task.worker_id)
        if worker is None:
            return False
        other = worker.runs.get(run.job.task_name(task))
        return (
            other is not None
            and other.is_confirmed
            and not other.is_stopping
            and other.speed_percent >= 100
        )
