"""Room of workers that is kept for standing tasks during a placement pass.

A standing task must run again soon after its last run, while batch tasks would
take each part of a worker that becomes free.
"""

import typing

from wisteriawood.cells import worker_groups
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks


class Reservation:
    """Room on a worker that is kept for one task.

    Args:
        worker: The worker.
        step: Step of the task.
        job: Job of the task; None if another cell asked for the room.
        task: The task; None if another cell asked for the room.
    """

    __slots__ = ("job", "step", "task", "worker")

    def __init__(
        self,
        *,
        worker: workers.Worker,
        step: specs.StepSpec,
        job: jobs.Job | None = None,
        task: tasks.Task | None = None,
    ):
        self.worker = worker
        self.step = step
        self.job = job
        self.task = task

    def is_claimed(self) -> bool:
        """Return whether other standing tasks must leave the room too.

        It is kept for a task that has run before, or for another cell.
        """
        return self.task is None or self.task.run > 0

    def step_name(self) -> str:
        """Return the common prefix of the names of the step's tasks."""
        if self.job is None or self.task is None:
            return ""
        return _step_name(self.job, self.task)


class Reservations:
    """The room that a placement pass keeps, by worker.

    Attributes:
        entries: What is kept, in the order in which it was asked for.
    """

    __slots__ = ("_by_worker", "_lasting", "_open", "entries")

    def __init__(self):
        self.entries: list[Reservation] = []
        self._by_worker: dict[str, list[Reservation]] = {}
        # Capacity of workers that no standing task has, as the pass needs it.
        self._lasting: dict[str, worker_groups.WorkerGroup] = {}
        # Capacity that is free and not kept, as `reserve` needs it.
        self._open: dict[str, worker_groups.WorkerGroup] = {}

    def clear(self) -> None:
        """Keep no room, at the start of a pass."""
        self.entries.clear()
        self._by_worker.clear()
        self._lasting.clear()
        self._open.clear()

    def open_group(self, worker: workers.Worker) -> worker_groups.WorkerGroup:
        """Return what is free on a worker and not kept.

        Args:
            worker: The worker.
        """
        group = worker.free_group()
        for kept in self._by_worker.get(worker.id, ()):
            _take(group, kept.step)
        group.cpu_millicores = max(0, group.cpu_millicores)
        group.memory_mb = max(0, group.memory_mb)
        group.accelerators = max(0, group.accelerators)
        return group

    def kept_on(self, worker: workers.Worker) -> list[Reservation]:
        """Return the room that is kept on a worker.

        Args:
            worker: The worker.
        """
        return self._by_worker.get(worker.id, [])

    def leaves_room_for(
        self,
        worker: workers.Worker,
        step: specs.StepSpec,
        task: tasks.Task | None = None,
    ) -> bool:
        """Return whether a task fits on a worker beside what is kept there.

        Args:
            worker: The worker.
            step: Step of the task.
            task: The task, if room may be kept for it.
        """
        kept = self._by_worker.get(worker.id)
        if kept is None:
            return True
        if step.is_standing:
            # Rooms for new tasks only keep batch tasks away.
            kept = [entry for entry in kept if entry.is_claimed()]
        group = worker.free_group()
        for entry in kept:
            if task is None or entry.task is not task:
                _take(group, entry.step)
        return _fits(step, group)

    def reserved_for_others(self) -> list[worker_groups.WorkerGroup]:
        """Return the room that is kept because other cells asked for it."""
        return worker_groups.merge(
            worker_groups.WorkerGroup(
                workers=1,
                cpu_millicores=kept.step.cpu_millicores,
                memory_mb=kept.step.memory_mb,
                accelerators=kept.step.accelerators,
                labels=kept.worker.total_group().labels,
            )
            for kept in self.entries
            if kept.task is None
        )[: worker_groups.MAX_GROUPS]

    def reserve(
        self,
        step: specs.StepSpec,
        usable: typing.Iterable[workers.Worker],
        job: jobs.Job | None = None,
        task: tasks.Task | None = None,
    ) -> bool:
        """Keep room for a task on a worker.

        A worker where it fits now is preferred, the one with least left over;
        else it is the one with most free CPU of those where it fits once all
        tasks have ended that do end.

        Args:
            step: Step of the task.
            usable: The workers that may get new runs.
            job: Job of the task; None if another cell asked for the room.
            task: The task; None if another cell asked for the room.

        Returns:
            Whether a worker will have room.
        """
        step_name = _step_name(job, task) if job and task else ""
        best: workers.Worker | None = None
        best_order: tuple = ()
        for worker in usable:
            if not self._will_fit(worker, step, step_name):
                continue
            group = self._open.get(worker.id)
            if group is None:
                group = self._open[worker.id] = self.open_group(worker)
            fits_now = _fits(step, group)
            free = group.cpu_millicores
            order = (fits_now, -free if fits_now else free, worker.id)
            if best is None or order > best_order:
                best, best_order = worker, order
        if best is None:
            return False
        kept = Reservation(worker=best, step=step, job=job, task=task)
        self.entries.append(kept)
        self._by_worker.setdefault(best.id, []).append(kept)
        _take(self._lasting[best.id], step)
        del self._open[best.id]
        return True

    def record_assigned(self, worker: workers.Worker) -> None:
        """Record that a task was assigned to a worker.

        Args:
            worker: The worker.
        """
        self._lasting.pop(worker.id, None)
        self._open.pop(worker.id, None)

    def will_fit_all(
        self,
        step: specs.StepSpec,
        usable: typing.Iterable[workers.Worker],
        task_count: int,
    ) -> bool:
        """Return whether workers will have room for several tasks of a step.

        Args:
            step: The step.
            usable: The workers that may get new runs.
            task_count: Number of the tasks.
        """
        fitting = sum(
            self._lasting_group(worker).count_per_worker(step)
            for worker in usable
            if step.required_label in ("", *worker.registration.labels)
        )
        return fitting >= task_count

    def _lasting_group(
        self, worker: workers.Worker
    ) -> worker_groups.WorkerGroup:
        group = self._lasting.get(worker.id)
        if group is None:
            group = self._lasting[worker.id] = worker.lasting_group()
            for kept in self._by_worker.get(worker.id, ()):
                _take(group, kept.step)
        return group

    def _will_fit(
        self, worker: workers.Worker, step: specs.StepSpec, step_name: str
    ) -> bool:
        group = self._lasting_group(worker)
        if step.required_label not in ("", *worker.registration.labels):
            return False
        if not group.count_per_worker(step):
            return False
        if not step.most_per_worker:
            return True
        beside = worker.count_step_tasks(step_name) if step_name else 0
        for kept in self._by_worker.get(worker.id, ()):
            beside += (
                kept.step_name() == step_name
                if step_name
                else kept.step is step
            )
        return beside < step.most_per_worker


def _fits(step: specs.StepSpec, group: worker_groups.WorkerGroup) -> bool:
    return (
        step.memory_mb <= group.memory_mb
        and step.accelerators <= group.accelerators
        and (step.is_filler or step.cpu_millicores <= group.cpu_millicores)
    )


def _take(group: worker_groups.WorkerGroup, step: specs.StepSpec) -> None:
    group.cpu_millicores -= step.cpu_millicores
    group.memory_mb -= step.memory_mb
    group.accelerators -= step.accelerators


def _step_name(job: jobs.Job, task: tasks.Task) -> str:
    return job.task_name(task).rpartition(".")[0] + "."
