"""Which waiting task goes to which worker, and in what order."""

import math
import typing

from wisteriawood.cells import pressure
from wisteriawood.cells import progress
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.policies.spreading import base

# Jobs in a row without room after which a pass ends; bounds its time. What
# found no room costs little the second time.
MAX_MISSES = 500
# Tasks whose memory differs by less find room alike.
MEMORY_STEP_MB = 4096
# Time after which a job of which nothing runs gets one task started where
# it disturbs least; the guard slows it down as far as needed.
STARVED_S = 2.0
# Such tasks on one worker; together they stay below one at full speed.
MAX_KEPT = 4
# Beyond this multiple of its objective a job is worth nothing any more.
WORTHLESS_X = 3.0


def is_worthless(job: jobs.Job, now_s: float) -> bool:
    """Tell whether a job is too late to be worth anything.

    Args:
        job: The job.
        now_s: Monotonic time.
    """
    return now_s - job.accepted_at_s > WORTHLESS_X * job.objective_s


def urgency(job: jobs.Job, now_s: float) -> tuple:
    """Return the place of a job in the order of starts; lower goes first.

    Standing jobs lose something at each moment they don't run. Jobs that
    can't meet their objective any more, even if all of the rest started
    now, come after those that can.

    Args:
        job: The job.
        now_s: Monotonic time.
    """
    age_s = now_s - job.accepted_at_s
    if job.is_standing() or job.spec.is_timed():
        return (0, job.spec.queue.priority, job.accepted_at_s, job.id)
    is_late = age_s + progress.remaining_s(job) > job.objective_s
    rank = 3 if is_worthless(job, now_s) else 2 if is_late else 1
    due_s = job.accepted_at_s + job.objective_s
    return (rank, job.spec.queue.priority, due_s, job.id)


class Placer:
    """Gives waiting tasks workers.

    Args:
        policy: Chooses among the workers that have room.
        book: What is known of how fillers disturb serving tasks.

    Attributes:
        is_calm: Whether no job has come for a while; until then what can
            still be in time needs the processor more.
    """

    __slots__ = ("_book", "_idle_since_s", "_missed", "_policy", "is_calm")

    def __init__(
        self, *, policy: base.SpreadingPolicy, book: pressure.PressureBook
    ):
        self._policy = policy
        self._book = book
        self._idle_since_s: dict[str, float] = {}
        # What found no room in this pass, by kind, with its processor.
        self._missed: dict[tuple, int] = {}
        self.is_calm = True

    def place(
        self,
        waiting: dict[str, tuple[jobs.Job, list[list[tasks.Task]]]],
        fleet: typing.Collection[workers.Worker],
        now_s: float,
    ) -> list[tuple[workers.Worker, runs.Run]]:
        """Assign what can be assigned now.

        Args:
            waiting: Jobs with tasks that may start, by id.
            fleet: The workers of the cell.
            now_s: Monotonic time.

        Returns:
            The runs assigned; the rows of their jobs are to be written
            before they are started.
        """
        usable = [worker for worker in fleet if worker.is_usable(now_s)]
        if not usable:
            return []
        found: list[tuple[workers.Worker, runs.Run]] = []
        self._missed.clear()
        for job_id in self._idle_since_s.keys() - waiting.keys():
            del self._idle_since_s[job_id]
        misses = 0
        ordered = sorted(
            waiting.values(), key=lambda entry: urgency(entry[0], now_s)
        )
        for job, steps in ordered:
            placed = 0
            for step_tasks in steps:
                placed += self._place_step(
                    job, step_tasks, usable, found, now_s
                )
            misses = 0 if placed else misses + 1
            if misses >= MAX_MISSES:
                break
        return found

    def _place_step(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        usable: list[workers.Worker],
        found: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        step = job.step_of(step_tasks[0])
        if step.is_gang:
            return self._place_gang(job, step_tasks, usable, found, now_s)
        placed = 0
        kind = _kind(step)
        for task in step_tasks:
            if step.cpu_millicores >= self._missed.get(kind, math.inf):
                break
            worker = self._choose(job, task, step, usable, now_s)
            if worker is None:
                if not step.most_per_worker:
                    self._missed[kind] = step.cpu_millicores
                break
            found.append((worker, _assign(job, task, worker, now_s)))
            placed += 1
        if (
            not placed
            and step.is_filler
            and self.is_calm
            and self._is_starved(job, now_s)
        ):
            return self._place_starved(
                job, step_tasks[0], usable, found, now_s
            )
        return placed

    def _is_starved(self, job: jobs.Job, now_s: float) -> bool:
        """Tell whether nothing of a job has run for a while."""
        if any(t.phase is tasks.Phase.ASSIGNED for t in job.all_tasks()):
            self._idle_since_s.pop(job.id, None)
            return False
        since_s = self._idle_since_s.setdefault(job.id, now_s)
        return now_s - since_s >= STARVED_S

    def _place_starved(
        self,
        job: jobs.Job,
        task: tasks.Task,
        usable: list[workers.Worker],
        found: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        """Place one filler where it disturbs least, however much that is."""
        step = job.step_of(task)
        candidates = [
            worker
            for worker in self._candidates(job, task, step, usable, math.inf)
            if sum(run.is_kept for run in worker.runs.values()) < MAX_KEPT
        ]
        if not candidates:
            return 0
        worker = min(
            candidates,
            key=lambda w: (
                now_s < w.no_fillers_until_s,
                w.load_with(step, self._book),
                w.id,
            ),
        )
        run = _assign(job, task, worker, now_s)
        run.is_kept = True
        found.append((worker, run))
        del self._idle_since_s[job.id]
        return 1

    def _choose(
        self,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
        usable: list[workers.Worker],
        now_s: float,
    ) -> workers.Worker | None:
        candidates = self._candidates(job, task, step, usable, now_s)
        if not candidates:
            return None
        return self._policy.choose(candidates, step, self._book)

    def _candidates(
        self,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
        usable: list[workers.Worker],
        now_s: float,
    ) -> list[workers.Worker]:
        """Return the workers that have room, near the data if they can."""
        name = job.task_name(task)
        candidates = [
            worker for worker in usable if worker.accepts(step, name, now_s)
        ]
        if step.near_rack:
            near = [
                worker
                for worker in candidates
                if worker.registration.rack == step.near_rack
            ]
            candidates = near or candidates
        return candidates

    def _place_gang(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        usable: list[workers.Worker],
        found: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        """Assign all members of a gang, on one rack if that can be."""
        step = job.step_of(step_tasks[0])
        racks: list[list[workers.Worker]] = [usable]
        if step.is_same_rack:
            names = sorted({w.registration.rack for w in usable})
            racks = [
                [w for w in usable if w.registration.rack == name]
                for name in names
            ] + [usable]
        number = progress.next_run(step_tasks)
        for rack in racks:
            placed: list[tuple[workers.Worker, runs.Run]] = []
            for task in step_tasks:
                worker = self._choose(job, task, step, rack, now_s)
                if worker is None:
                    break
                run = _assign(job, task, worker, now_s, number=number)
                placed.append((worker, run))
            if len(placed) == len(step_tasks):
                found.extend(placed)
                return len(placed)
            for worker, run in placed:
                worker.free(run)
                run.task.release(tasks.Phase.WAITING)
                run.task.run = number - 1
        return 0


def _kind(step: specs.StepSpec) -> tuple:
    """Return what tells steps apart that find room alike, but for size.

    Memory is counted in steps that are large beside the sizes of tasks.
    """
    return (
        step.is_filler,
        step.image,
        step.tail_target_ms > 0,
        step.required_label,
        step.near_rack,
        step.accelerators,
        step.memory_mb // MEMORY_STEP_MB,
    )


def _assign(
    job: jobs.Job,
    task: tasks.Task,
    worker: workers.Worker,
    now_s: float,
    number: int = 0,
) -> runs.Run:
    task.assign(worker_id=worker.id, run=number or task.run + 1)
    run = runs.Run(job=job, task=task, assigned_at_s=now_s)
    worker.take(run)
    return run
