"""Assignment of waiting tasks to workers, in order of their jobs."""

import math
import typing

from wisteriawood.cells import contention
from wisteriawood.cells import interference_models
from wisteriawood.cells import lookahead as lookaheads
from wisteriawood.cells import moving
from wisteriawood.cells import progress
from wisteriawood.cells import reservations
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.policies.ordering import base as ordering_base
from wisteriawood.policies.spreading import base
from wisteriawood import supervision

# Jobs in a row without a placed task after which a pass ends, to bound its
# time. Tasks of a class that did not fit are skipped for the rest of a pass.
MAX_CONSECUTIVE_MISSES = 500
# Time without a running task after which one task of a filler job is started
# where it interferes least; the filler pacer then slows it as far as needed. A
# job that can run is to have a running task at least each 3 s, and a start may
# take up to a second.
IDLE_JOB_TIMEOUT_S = 1.0
# Time after which an assigned run that no worker has confirmed no longer
# counts as about to run.
START_TIMEOUT_S = 2.0
# Most tasks started this way (pinned) on one worker; at their initial pace,
# together they use less CPU than one at full speed.
MAX_PINNED_PER_WORKER = 4
# The same for a job that has been idle for so long that it has to run next.
# The pacer slows all of them.
MAX_URGENT_PINNED_PER_WORKER = 8
URGENT_IDLE_S = 2.0
# Workers of a cell for each standing task that has never run and for which
# room is kept. A task that has run gets room on any worker.
MIN_WORKERS_PER_NEW_TASK = 4
# Most tasks for which other cells get room in a pass.
MAX_REQUESTED_TASKS = 200
# Multiple of its objective after which the result of a job has no value.
NO_VALUE_FACTOR = contention.NO_VALUE_FACTOR
# Name of the ordering policy in the guard, beside the ids of jobs.
ORDERING_PART = "ordering policy"

# A job with its waiting tasks, by step.
Entry = tuple[jobs.Job, list[list[tasks.Task]]]


def has_no_value(job: jobs.Job, now_s: float) -> bool:
    """Return whether a job is so late that its result has no value.

    Args:
        job: The job.
        now_s: Monotonic time.
    """
    return now_s - job.accepted_at_s > NO_VALUE_FACTOR * job.objective_s


def start_order(job: jobs.Job, now_s: float) -> tuple:
    """Return the sort key of a job in the order of starts; lower is first.

    Standing and timed jobs come first: a standing job loses value whenever it
    does not run. Jobs that can no longer meet their objective, even if all of
    their remaining tasks started now, come after those that can. Jobs whose
    result has no value come last.

    Args:
        job: The job.
        now_s: Monotonic time.
    """
    age_s = now_s - job.accepted_at_s
    if job.is_standing() or job.spec.is_timed():
        return (0, job.spec.queue.priority, job.accepted_at_s, job.id)
    is_late = age_s + progress.remaining_s(job) > job.objective_s
    rank = 3 if has_no_value(job, now_s) else 2 if is_late else 1
    due_s = job.accepted_at_s + job.objective_s
    return (rank, job.spec.queue.priority, due_s, job.id)


class ExpectedStep:
    """Standing tasks of a step that will probably need a worker soon.

    Args:
        job: The job.
        tasks: The tasks; their workers do not answer, or drain.
    """

    __slots__ = ("job", "tasks")

    def __init__(self, *, job: jobs.Job, tasks: list[tasks.Task]):
        self.job = job
        self.tasks = tasks


class Placer:
    """Assigns waiting tasks to workers.

    Args:
        policy: Chooses among the workers with enough free capacity.
        model: Estimates of the load that fillers add to serving tasks.
        guard: Leaves out jobs whose placement fails unexpectedly; None for
            one of its own.
        lookahead: Reserves room that will become free; None for one of its
            own.
        ordering: Decides which job gets workers first; None for start_order.

    Attributes:
        is_intake_idle: Whether no job was submitted recently. Only then
            are fillers of idle jobs started beyond the load limits, since
            jobs that can still meet their objective need the CPU more.
        is_leaving: Returns whether the runs of a job are being stopped, so
            that it can move.
        should_move: Returns whether a job that fits nowhere here moves to
            another cell instead.
        lookahead: Reserves room that will become free for tasks that fit
            nowhere now.
        ordering: Decides which job gets workers first; None for start_order.
        reservations: The room that the last pass kept for standing tasks.
        unplaceable: Steps of the standing tasks that have run and for which no
            worker here will have room, one for each task, by task name.
    """

    __slots__ = (
        "_active_ids",
        "_guard",
        "_idle_since_s",
        "_model",
        "_new_tasks_left",
        "_pinned_ids",
        "_policy",
        "_unplaced",
        "lookahead",
        "ordering",
        "reservations",
        "unplaceable",
        "is_intake_idle",
        "is_leaving",
        "should_move",
    )

    def __init__(
        self,
        *,
        policy: base.SpreadingPolicy,
        model: interference_models.InterferenceModel,
        guard: supervision.Guard | None = None,
        lookahead: lookaheads.Lookahead | None = None,
        ordering: ordering_base.OrderingPolicy | None = None,
    ):
        self._policy = policy
        self.ordering = ordering
        self._model = model
        self._guard = guard or supervision.Guard(kind="job")
        self.lookahead = lookahead or lookaheads.make()
        self._idle_since_s: dict[str, float] = {}
        # Waiting jobs whose last start was pinned.
        self._pinned_ids: set[str] = set()
        # Jobs with a running task; None until this pass needs them.
        self._active_ids: set[str] | None = None
        self.reservations = reservations.Reservations()
        self.unplaceable: dict[str, specs.StepSpec] = {}
        # Standing tasks that have never run for which this pass may still
        # keep room.
        self._new_tasks_left = 0
        # CPU and memory of the tasks that did not fit in this pass, by class.
        self._unplaced: dict[tuple, list[tuple[int, int]]] = {}
        self.is_intake_idle = True
        self.is_leaving: typing.Callable[[jobs.Job], bool] = lambda _job: False
        self.should_move: typing.Callable[[jobs.Job, specs.StepSpec], bool] = (
            lambda _job, _step: False
        )

    def place(
        self,
        waiting: dict[str, tuple[jobs.Job, list[list[tasks.Task]]]],
        fleet: typing.Collection[workers.Worker],
        now_s: float,
        expected: typing.Iterable[ExpectedStep] = (),
        requested: typing.Iterable[specs.StepSpec] = (),
    ) -> list[tuple[workers.Worker, runs.Run]]:
        """Assign as many waiting tasks as fit now.

        Standing tasks that have run before come first. Room is kept for those
        that don't fit, then for those that are expected, then for other
        cells; what comes after them can't take it.

        Args:
            waiting: Jobs with their tasks that may start, by job id.
            fleet: The workers of the cell.
            now_s: Monotonic time.
            expected: Standing tasks that will probably wait soon.
            requested: Steps for which other cells ask for room, each with the
                number of tasks.

        Returns:
            The assigned runs; the rows of their jobs must be written before
            the runs are started.
        """
        usable = [worker for worker in fleet if worker.is_usable(now_s)]
        self._begin_pass(waiting, usable)
        self.lookahead.begin_pass(self.reservations, now_s)
        self._prepare_order(waiting, usable, now_s)
        restarts, others = _split_restarts(
            self._in_start_order(waiting.values(), now_s)
        )
        assigned: list[tuple[workers.Worker, runs.Run]] = []
        self._place_all(restarts, usable, assigned, now_s)
        endangered = [(step.job, [step.tasks]) for step in expected]
        for job, steps in self._in_start_order(endangered, now_s):
            with self._guard.contain(job.id):
                self._reserve_room(job, steps[0], usable)
        self._reserve_requested(requested, usable)
        if usable:
            self._place_all(others, usable, assigned, now_s)
        self.lookahead.end_pass(usable)
        return assigned

    def _prepare_order(
        self,
        waiting: typing.Mapping[str, Entry],
        usable: list[workers.Worker],
        now_s: float,
    ) -> None:
        """Let the ordering policy look at the jobs; contain its errors."""
        if self.ordering and not self._guard.is_excluded(ORDERING_PART):
            with self._guard.contain(ORDERING_PART):
                found = (job for job, _steps in waiting.values())
                self.ordering.prepare(found, usable, now_s)

    def _in_start_order(
        self, entries: typing.Iterable[Entry], now_s: float
    ) -> list[Entry]:
        """Return the jobs that are not left out, in the order of starts."""
        keyed = []
        sort_key = self.ordering.sort_key if self.ordering else start_order
        for entry in entries:
            job = entry[0]
            if self._guard.is_excluded(job.id):
                continue
            # Cheaper than a context manager, for each job of each pass.
            try:
                keyed.append((sort_key(job, now_s), entry))
            except Exception as exc:
                self._guard.exclude(job.id, exc)
        keyed.sort(key=lambda item: item[0])
        return [entry for _key, entry in keyed]

    def _reserve_requested(
        self,
        requested: typing.Iterable[specs.StepSpec],
        usable: list[workers.Worker],
    ) -> None:
        left = MAX_REQUESTED_TASKS
        for step in requested:
            for _number in range(min(step.task_count, left)):
                left -= 1
                if not self.reservations.reserve(step, usable):
                    break

    def _begin_pass(
        self,
        waiting: typing.Mapping[str, typing.Any],
        usable: list[workers.Worker],
    ) -> None:
        self._unplaced.clear()
        self.reservations.clear()
        self.unplaceable.clear()
        self._new_tasks_left = max(1, len(usable) // MIN_WORKERS_PER_NEW_TASK)
        self._active_ids = None
        for job_id in self._idle_since_s.keys() - waiting.keys():
            del self._idle_since_s[job_id]
        self._pinned_ids &= waiting.keys()

    def _place_all(
        self,
        entries: list[Entry],
        usable: list[workers.Worker],
        assigned: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> None:
        """Assign the tasks of some jobs.

        Args:
            entries: Each job with its tasks, by step.
            usable: The workers that may get new runs.
            assigned: The assigned runs, to which others are added.
            now_s: Monotonic time.
        """
        misses = 0
        for job, steps in entries:
            placed = 0
            try:
                for step_tasks in steps:
                    placed += self._place_step(
                        job, step_tasks, usable, assigned, now_s
                    )
            except Exception as exc:
                self._guard.exclude(job.id, exc)
            misses = 0 if placed else misses + 1
            if misses >= MAX_CONSECUTIVE_MISSES:
                break

    def _place_step(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        usable: list[workers.Worker],
        assigned: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        step = job.step_of(step_tasks[0])
        if step.is_gang:
            placed = self._place_gang(job, step_tasks, usable, assigned, now_s)
            if step.is_standing and not placed:
                self._reserve_room(job, step_tasks, usable)
            elif not placed:
                self.lookahead.record_unplaced(job, step_tasks, step)
            return placed
        placed = 0
        for task in step_tasks:
            if self._is_ruled_out(job, task, step):
                break
            worker = self._choose(job, task, step, usable, now_s)
            if worker is None:
                if not (step.most_per_worker or self.lookahead.has_withheld):
                    self._rule_out(step)
                break
            assigned.append((worker, _assign(job, task, worker, now_s)))
            self.reservations.record_assigned(worker)
            self.lookahead.record_assigned(*assigned[-1])
            placed += 1
        if placed < len(step_tasks):
            self.lookahead.record_unplaced(job, step_tasks[placed:], step)
        if step.is_standing and not step.is_filler:
            self._reserve_room(job, step_tasks[placed:], usable)
        if placed:
            self._pinned_ids.discard(job.id)
        elif (
            step.is_filler
            and self.is_intake_idle
            and self._has_idled_too_long(job, usable, now_s)
            and not self.is_leaving(job)
            and not (moving.can_move(job) and self.should_move(job, step))
        ):
            return self._place_least_disruptive(
                job, step_tasks[0], usable, assigned, now_s
            )
        return placed

    def _reserve_room(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        usable: list[workers.Worker],
    ) -> None:
        """Keep room for standing tasks of a step.

        Smaller tasks would take each part of it that becomes free.

        Args:
            job: The job.
            step_tasks: The tasks.
            usable: The workers that may get new runs.
        """
        if not step_tasks:
            return
        is_gang = job.step_of(step_tasks[0]).is_gang
        if is_gang and not self.reservations.will_fit_all(
            job.step_of(step_tasks[0]), usable, len(step_tasks)
        ):
            return
        will_fit = True
        for task in step_tasks:
            step = job.step_of(task)
            has_run = task.run > 0
            if not has_run and self._new_tasks_left <= 0:
                continue
            will_fit = will_fit and self.reservations.reserve(
                step, usable, job, task
            )
            if will_fit and not has_run:
                self._new_tasks_left -= 1
            if has_run and not will_fit and not is_gang:
                self.unplaceable[job.task_name(task)] = step

    def _is_ruled_out(
        self, job: jobs.Job, task: tasks.Task, step: specs.StepSpec
    ) -> bool:
        """Return whether a task that needs no more did not fit in this pass.

        Args:
            job: The job.
            task: A waiting task of the job.
            step: Its step.
        """
        return any(
            step.cpu_millicores >= cpu_millicores
            and step.memory_mb >= memory_mb
            for cpu_millicores, memory_mb in self._unplaced.get(
                _placement_class(step), ()
            )
        ) or self.lookahead.is_withheld(job, task, step)

    def _rule_out(self, step: specs.StepSpec) -> None:
        needs = (step.cpu_millicores, step.memory_mb)
        self._unplaced.setdefault(_placement_class(step), []).append(needs)

    def _has_idled_too_long(
        self, job: jobs.Job, usable: list[workers.Worker], now_s: float
    ) -> bool:
        """Return whether a job has had no running task for too long.

        A run on a worker that does not answer does not count. There is no
        wait after a pinned task: the job still fits nowhere.

        Args:
            job: The job.
            usable: The workers that may get new runs.
            now_s: Monotonic time.
        """
        if self._active_ids is None:
            self._active_ids = _jobs_with_active_runs(usable, now_s)
        if job.id in self._active_ids:
            self._idle_since_s.pop(job.id, None)
            return False
        since_s = self._idle_since_s.setdefault(job.id, now_s)
        if job.id in self._pinned_ids:
            return True
        return now_s - since_s >= IDLE_JOB_TIMEOUT_S

    def _most_pinned(self, job: jobs.Job, now_s: float) -> int:
        """Return the most pinned tasks of a worker that gets one of a job."""
        idle_s = self.idle_s(job, now_s)
        if idle_s is not None and idle_s >= URGENT_IDLE_S:
            return MAX_URGENT_PINNED_PER_WORKER
        return MAX_PINNED_PER_WORKER

    def _place_least_disruptive(
        self,
        job: jobs.Job,
        task: tasks.Task,
        usable: list[workers.Worker],
        assigned: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        """Place one filler where the load stays lowest, at any load."""
        step = job.step_of(task)
        # At the time math.inf, all temporary blocks of workers are over.
        candidates = [
            worker
            for worker in self._candidates(job, task, step, usable, math.inf)
            if _may_pin_another(worker, self._most_pinned(job, now_s))
        ]
        if not candidates:
            return 0
        worker = min(
            _near_first(candidates, step)[0],
            key=lambda w: (
                now_s < w.no_fillers_until_s,
                w.load_with(step, self._model),
                w.id,
            ),
        )
        run = _assign(job, task, worker, now_s)
        run.is_pinned = True
        assigned.append((worker, run))
        self.lookahead.record_assigned(worker, run)
        self._idle_since_s.pop(job.id, None)
        self._pinned_ids.add(job.id)
        if self._active_ids is not None:
            self._active_ids.add(job.id)
        return 1

    def find_obstacle(
        self,
        job: jobs.Job,
        task: tasks.Task,
        worker: workers.Worker,
        now_s: float,
    ) -> str:
        """Return why a task is not placed on a worker in a pass.

        Args:
            job: The job.
            task: A waiting task of the job.
            worker: The worker.
            now_s: Monotonic time.

        Returns:
            The reason; empty if the worker is suitable.
        """
        step = job.step_of(task)
        if step.is_standing and not step.is_filler:
            # Such a task ignores the block of its image if it has to.
            blocked_at_s = math.inf
        else:
            blocked_at_s = now_s
        return (
            worker.find_fault(now_s)
            or worker.find_conflict(step, job.task_name(task), blocked_at_s)
            or self._find_reservation(worker, step, task)
            or self.lookahead.find_obstacle(worker, job, task, step)
            or self._policy.find_limit(worker, step, self._model)
        )

    def _find_reservation(
        self, worker: workers.Worker, step: specs.StepSpec, task: tasks.Task
    ) -> str:
        if self.reservations.leaves_room_for(worker, step, task):
            return ""
        return "room kept for standing tasks"

    def find_pinning_obstacle(
        self,
        job: jobs.Job,
        task: tasks.Task,
        worker: workers.Worker,
        now_s: float,
    ) -> str:
        """Return why a filler is not started beyond a worker's load limits.

        Args:
            job: The job.
            task: A waiting task of a filler step.
            worker: The worker.
            now_s: Monotonic time.

        Returns:
            The reason; empty if the worker is suitable.
        """
        step = job.step_of(task)
        obstacle = worker.find_fault(now_s) or worker.find_conflict(
            step, job.task_name(task), math.inf
        )
        most = self._most_pinned(job, now_s)
        if obstacle or _may_pin_another(worker, most):
            return obstacle
        return "pinned limit"

    def idle_s(self, job: jobs.Job, now_s: float) -> float | None:
        """Return for how long a job counts as idle for pinning.

        Args:
            job: The job.
            now_s: Monotonic time.

        Returns:
            The time in seconds; None if it does not count as idle.
        """
        since_s = self._idle_since_s.get(job.id)
        return None if since_s is None else now_s - since_s

    def unplaced_needs(self, step: specs.StepSpec) -> list[tuple[int, int]]:
        """Return what similar tasks needed that the last pass did not place.

        Tasks that need as much or more were skipped.

        Args:
            step: The step.

        Returns:
            CPU in millicores and memory in MB, one pair for each such task.
        """
        return self._unplaced.get(_placement_class(step), [])

    def _choose(
        self,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
        usable: list[workers.Worker],
        now_s: float,
    ) -> workers.Worker | None:
        candidates = self._candidates(job, task, step, usable, now_s)
        if not candidates and step.is_standing and not step.is_filler:
            # The block of an image improves the grouping of serving tasks. It
            # must not keep one from running.
            candidates = self._candidates(job, task, step, usable, math.inf)
        if step.is_standing:
            # A start without an answer would cost the task another lease.
            candidates = [
                worker
                for worker in candidates
                if now_s <= worker.answer_due_at_s
            ] or candidates
        for group in _near_first(candidates, step):
            worker = self._policy.choose(group, step, self._model)
            if worker is not None:
                return worker
        return None

    def _candidates(
        self,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
        usable: list[workers.Worker],
        now_s: float,
    ) -> list[workers.Worker]:
        """Return workers that accept a task."""
        name = job.task_name(task)
        found = [
            worker
            for worker in usable
            if self.reservations.leaves_room_for(worker, step)
            and not worker.find_conflict(step, name, now_s)
        ]
        return self.lookahead.filter(found, job, task, step)

    def _place_gang(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        usable: list[workers.Worker],
        assigned: list[tuple[workers.Worker, runs.Run]],
        now_s: float,
    ) -> int:
        """Assign all tasks of a gang or none, on one rack if possible."""
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
            try:
                for task in step_tasks:
                    worker = self._choose(job, task, step, rack, now_s)
                    if worker is None:
                        break
                    run = _assign(job, task, worker, now_s, number=number)
                    placed.append((worker, run))
            finally:
                # Also after an error, so that no member stays assigned alone.
                if len(placed) < len(step_tasks):
                    _unassign(placed, number - 1)
            if len(placed) == len(step_tasks):
                assigned.extend(placed)
                for worker, run in placed:
                    self.lookahead.record_assigned(worker, run)
                return len(placed)
        return 0


def _split_restarts(
    ordered: list[Entry],
) -> tuple[list[Entry], list[Entry]]:
    """Return the standing tasks that have run before, and all others.

    A gang of which a member has run counts as a whole.

    Args:
        ordered: Jobs with their waiting tasks, by step.
    """
    restarts: list[Entry] = []
    others: list[Entry] = []
    for job, steps in ordered:
        old_steps, new_steps = [], []
        for step_tasks in steps:
            step = job.step_of(step_tasks[0])
            old = [task for task in step_tasks if task.run > 0]
            if not old or not step.is_standing:
                new_steps.append(step_tasks)
                continue
            if step.is_gang:
                old_steps.append(step_tasks)
                continue
            old_steps.append(old)
            new = [task for task in step_tasks if task.run == 0]
            if new:
                new_steps.append(new)
        if old_steps:
            restarts.append((job, old_steps))
        if new_steps:
            others.append((job, new_steps))
    return restarts, others


def _near_first(
    candidates: list[workers.Worker], step: specs.StepSpec
) -> list[list[workers.Worker]]:
    """Return the workers near the data of a step, then all the others.

    Args:
        candidates: The workers.
        step: The step.
    """
    if not step.near_rack:
        return [candidates] if candidates else []
    near, others = [], []
    for worker in candidates:
        is_near = worker.registration.rack == step.near_rack
        (near if is_near else others).append(worker)
    return [group for group in (near, others) if group]


def _may_pin_another(worker: workers.Worker, most: int) -> bool:
    pinned = sum(run.is_pinned for run in worker.runs.values())
    return pinned < most


def _jobs_with_active_runs(
    fleet: typing.Iterable[workers.Worker], now_s: float
) -> set[str]:
    """Return the ids of the jobs of which a task runs or is about to.

    Args:
        fleet: Workers that answer.
        now_s: Monotonic time.
    """
    return {
        run.job.id
        for worker in fleet
        for run in worker.runs.values()
        if not run.is_stopping
        and (run.is_confirmed or now_s - run.assigned_at_s < START_TIMEOUT_S)
    }


def _placement_class(step: specs.StepSpec) -> tuple:
    """Return the key of steps that differ only in CPU and memory."""
    return (
        step.is_filler,
        step.image,
        step.tail_target_ms > 0,
        step.required_label,
        step.near_rack,
        step.accelerators,
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
    worker.add_run(run)
    return run


def _unassign(
    placed: list[tuple[workers.Worker, runs.Run]], last_run: int
) -> None:
    """Undo the assignment of a part of a gang.

    Args:
        placed: The assigned members.
        last_run: Number of the last run of the gang.
    """
    for worker, run in placed:
        worker.remove_run(run)
        run.task.release(tasks.Phase.WAITING)
        run.task.run = last_run
