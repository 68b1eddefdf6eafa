"""Reservations for tasks that fit nowhere now but soon, and backfill.

Small tasks take each part of a worker that becomes free, so that a large task
or a gang never finds enough room at once. Room is reserved for it on the
worker where it is expected to fit first; other tasks may use this room as long
as they don't delay it.
"""

import math
import typing

from wisteriawood.cells import holds
from wisteriawood.cells import offers as room_offers
from wisteriawood.cells import reservations
from wisteriawood.cells import run_times
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.policies import backfill
from wisteriawood.policies.backfill import base
from wisteriawood.policies import registry
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
# Reservations are on at most one in this many workers, and on at least one.
WORKERS_PER_RESERVED = 10
# Time between two passes that review the reservations and make others. Passes
# may be 20 ms apart, and such a pass takes longer than others.
PLAN_INTERVAL_S = 0.25
# Time for which a step fits nowhere before it gets a reservation. Most find
# room sooner: with 0.3 s, half of the reservations of gangs ended unused.
MIN_WAIT_S = 1.0
# Time for which a step is not considered again after it got no offer.
RETRY_S = 1.0
# Most runs on a worker that may be stopped when its room is needed.
MAX_STOPPABLE = 4
# Runs that were confirmed less than this ago are not stopped: they would
# have done little but start.
MIN_STOP_AGE_S = 1.0
# Steps that one plan considers.
MAX_STEPS = 16
# Reservations that one plan makes for steps of many tasks; others follow with
# the next plans. Each looks over some of the workers, and 3,000 in one plan
# blocked the event loop for 0.9 s.
MAX_PLANNED_TASKS = 64
# Steps whose wait is followed. Further ones wait without a reservation.
MAX_WAITS = 2000
# Withheld tasks of a class that are remembered in a pass, to skip others.
MAX_WITHHELD = 32
# Time after which a step that no pass finds waiting is forgotten.
FORGET_S = 5.0
_GUARDED = "lookahead"


class Lookahead:
    """Reserves room that will become free, and admits backfill.

    An unexpected error in it drops all reservations, and tasks are placed
    without them until a delay is over.

    Args:
        policy: Chooses what gets a reservation, and where.
        cell: Name of the cell, for the log.
        counters: Metrics of the host; None to count nothing.
        supervisor: Records unexpected errors.

    Attributes:
        has_withheld: Whether a reservation ruled a worker out for the task
            that was checked last. If that task finds no other worker, tasks
            that end earlier may still start on that worker.
        book: The reservations.
        times: Learned run times.
    """

    __slots__ = (
        "_backfills",
        "_cell",
        "_counters",
        "_finder",
        "_guard",
        "_is_planning",
        "_now_s",
        "_planned_at_s",
        "_policy",
        "_position",
        "_reasons",
        "_stops",
        "_waits",
        "_withheld",
        "book",
        "has_withheld",
        "times",
    )

    def __init__(
        self,
        *,
        policy: base.BackfillPolicy,
        cell: str = "",
        counters: job_metrics.JobMetrics | None = None,
        supervisor: supervision.Supervisor | None = None,
    ):
        self._policy = policy
        self._cell = cell
        self._counters = counters
        self._guard = supervision.Guard(
            supervisor=supervisor, kind="lookahead"
        )
        self.times = run_times.RunTimes()
        self.has_withheld = False
        self.book = holds.HoldBook()
        self._finder = room_offers.OfferFinder(
            times=self.times, book=self.book
        )
        self._waits: dict[holds.StepKey, holds.Wait] = {}
        self._backfills: dict[str, holds.Backfill] = {}
        self._now_s = 0.0
        self._planned_at_s = -math.inf
        # Whether this pass reviews the reservations and makes others.
        self._is_planning = False
        self._position = 0
        # Why the last checked tasks of a step may use a worker with a hold.
        self._reasons: dict[tuple[str, holds.StepKey], str] = {}
        self._stops: list[tuple[workers.Worker, runs.Run]] = []
        # Steps that reservations left no worker in this pass: CPU, memory and
        # latest run time, by what else matters.
        self._withheld: dict[tuple, list[tuple[int, int, float]]] = {}

    def begin_pass(
        self, kept: reservations.Reservations, now_s: float
    ) -> None:
        """Begin a placement pass.

        Args:
            kept: The room that is kept for standing tasks.
            now_s: Monotonic time.
        """
        self._finder.begin_pass(kept, now_s)
        self._now_s = now_s
        self._position = 0
        self._is_planning = now_s - self._planned_at_s >= PLAN_INTERVAL_S
        self._reasons.clear()
        self._withheld.clear()

    def filter(
        self,
        candidates: list[workers.Worker],
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
    ) -> list[workers.Worker]:
        """Return the workers where a task delays no reservation.

        Args:
            candidates: Workers that accept the task.
            job: Its job.
            task: The task.
            step: Its step.
        """
        self.has_withheld = False
        if not self.book.by_worker or step.is_standing or self._is_off():
            return candidates
        try:
            found = [
                worker
                for worker in candidates
                if worker.id not in self.book.by_worker
                or self._admits(worker, job, task, step)
            ]
            self.has_withheld = len(found) < len(candidates)
            if self.has_withheld and not found:
                self._withhold(job, task, step)
            return found
        except Exception as exc:
            self._fail(exc)
            return candidates

    def is_withheld(
        self, job: jobs.Job, task: tasks.Task, step: specs.StepSpec
    ) -> bool:
        """Return whether reservations kept a task that needs no more waiting.

        Args:
            job: Job of the task.
            task: The task.
            step: Its step.
        """
        if not self._withheld or self._is_off():
            return False
        try:
            if self.book.count_of(holds.key_of(job, task)):
                return False
            late_s = self._late_s(job, task)
            return any(
                step.cpu_millicores >= cpu_millicores
                and step.memory_mb >= memory_mb
                and late_s >= known_late_s
                for cpu_millicores, memory_mb, known_late_s in (
                    self._withheld.get(_withheld_class(step), ())
                )
            )
        except Exception as exc:
            self._fail(exc)
            return False

    def find_obstacle(
        self,
        worker: workers.Worker,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
    ) -> str:
        """Return why a task would delay a reservation on a worker.

        Args:
            worker: The worker.
            job: Job of the task.
            task: The task.
            step: Its step.

        Returns:
            The reason; empty if it would delay none.
        """
        if self.filter([worker], job, task, step):
            return ""
        return "reserved for a task that waits"

    def record_unplaced(
        self,
        job: jobs.Job,
        step_tasks: list[tasks.Task],
        step: specs.StepSpec,
    ) -> None:
        """Record that tasks of a step found no worker in this pass.

        Args:
            job: Their job.
            step_tasks: The tasks.
            step: Their step.
        """
        if not self._is_planning or step.is_standing:
            return
        self._position += 1
        key = holds.key_of(job, step_tasks[0])
        wait = self._waits.get(key)
        if wait is None:
            if len(self._waits) >= MAX_WAITS:
                return
            wait = self._waits[key] = holds.Wait(
                job=job, step=step, now_s=self._now_s
            )
        wait.job = job
        wait.tasks = step_tasks
        wait.seen_s = self._now_s
        wait.position = self._position

    def record_assigned(self, worker: workers.Worker, run: runs.Run) -> None:
        """Record the assignment of a run.

        Args:
            worker: Its worker.
            run: The run.
        """
        if not self._waits or self._is_off():
            return
        try:
            self._record_assigned(worker, run)
        except Exception as exc:
            self._fail(exc)

    def end_pass(self, usable: list[workers.Worker]) -> None:
        """Review the reservations at the end of a pass, and make others.

        Args:
            usable: The workers that may get new runs.
        """
        if not self._is_planning or self._is_off():
            return
        try:
            self._planned_at_s = self._now_s
            self._review(usable)
            if usable:
                # Without workers, a pass does not look at what waits.
                self._forget_waits()
            self._plan(usable)
            self._find_stops()
        except Exception as exc:
            self._fail(exc)
        if self._counters is not None:
            self._counters.workers_reserved.labels(cell=self._cell).set(
                len(self.book.by_worker)
            )

    def take_stops(self) -> list[tuple[workers.Worker, runs.Run]]:
        """Return the runs to stop now, since their room is needed."""
        found, self._stops = self._stops, []
        return found

    def record_end(
        self, run: runs.Run, outcome: tasks.Outcome, now_s: float
    ) -> None:
        """Learn from the end of a run.

        Args:
            run: The run, as it was before the end is recorded in its task.
            outcome: How it ended.
            now_s: Monotonic time.
        """
        if self._is_off():
            return
        try:
            self._backfills.pop(run.name, None)
            # A resumed run has done a part of its work before. The start of a
            # run that a former holder assigned is not known. The pace of a
            # filler is counted by the forecast.
            if (
                outcome is tasks.Outcome.DONE
                and run.is_confirmed
                and not run.is_adopted
                and not (run.step.is_filler and run.pace_percent < 100)
                and not run.task.checkpoint
            ):
                ran_s = now_s - run.started_at_s
                self.times.learn(run.job, run.task, ran_s, now_s)
        except Exception as exc:
            self._fail(exc)

    def _is_off(self) -> bool:
        return self._guard.is_excluded(_GUARDED)

    def _fail(self, cause: Exception) -> None:
        """Drop all reservations after an unexpected error."""
        self._guard.exclude(_GUARDED, cause)
        self.book.clear()
        self._waits.clear()
        self._backfills.clear()
        self._withheld.clear()
        self._stops.clear()

    def _late_s(self, job: jobs.Job, task: tasks.Task) -> float:
        """Return the latest expected run time; infinite if not known."""
        expected = self.times.expect(job, task, self._now_s)
        return math.inf if expected is None else expected.late_s

    def _admits(
        self,
        worker: workers.Worker,
        job: jobs.Job,
        task: tasks.Task,
        step: specs.StepSpec,
    ) -> bool:
        """Return whether a task may use a worker with reserved room."""
        key = holds.key_of(job, task)
        reserved = [hold for hold in self.book.on(worker) if hold.key != key]
        if not reserved:
            return True
        reason = ""
        needed_at_s = min(hold.ready_at_s for hold in reserved)
        if self._leaves_room(worker, reserved, step):
            reason = "room"
        elif any(hold.is_firm for hold in reserved):
            return False
        elif self._now_s + self._late_s(job, task) <= needed_at_s:
            reason = "ends"
        elif (
            step.is_checkpointing
            and not step.is_gang
            and self._now_s + MIN_STOP_AGE_S < needed_at_s
            and self._count_stoppable(worker) < MAX_STOPPABLE
        ):
            reason = "stoppable"
        self._reasons[worker.id, key] = reason
        return bool(reason)

    def _leaves_room(
        self,
        worker: workers.Worker,
        reserved: list[holds.Hold],
        step: specs.StepSpec,
    ) -> bool:
        """Return whether a further task leaves the reserved room as it is.

        It must fit beside each reservation when that one is due, since later
        ends don't help an earlier one. Firm reservations don't rely on the
        ends of other runs.
        """
        if any(hold.is_firm for hold in reserved):
            return self._fits_beside(worker, reserved, step, self._now_s)
        return all(
            self._fits_beside(
                worker,
                [other for other in reserved if other.ready_at_s <= due_s],
                step,
                due_s,
            )
            for due_s in {hold.ready_at_s for hold in reserved}
        )

    def _fits_beside(
        self,
        worker: workers.Worker,
        reserved: list[holds.Hold],
        step: specs.StepSpec,
        at_s: float,
    ) -> bool:
        """Return whether a task fits beside reservations at some time."""
        room = self._finder.room(worker, at_s)
        for hold in reserved:
            room.add(hold.step, -1)
        return room.fits(step)

    def _count_stoppable(self, worker: workers.Worker) -> int:
        return sum(
            found.worker.id == worker.id and found.reason == "stoppable"
            for found in self._backfills.values()
        )

    def _withhold(
        self, job: jobs.Job, task: tasks.Task, step: specs.StepSpec
    ) -> None:
        """Record that reservations left a task no worker."""
        if step.most_per_worker:
            # Its own limit may have ruled out workers that others can use.
            return
        known = self._withheld.setdefault(_withheld_class(step), [])
        if len(known) < MAX_WITHHELD:
            late_s = self._late_s(job, task)
            known.append((step.cpu_millicores, step.memory_mb, late_s))

    def _record_assigned(self, worker: workers.Worker, run: runs.Run) -> None:
        self._finder.forget(worker)
        key = holds.key_of(run.job, run.task)
        wait = self._waits.get(key)
        if wait is not None:
            # The other tasks of the step have lost nothing yet.
            wait.since_s = self._now_s
            wait.losses = 0
        others = [hold for hold in self.book.on(worker) if hold.key != key]
        if others and not run.step.is_standing:
            reason = self._reasons.get((worker.id, key), "room")
            self._backfills[run.name] = holds.Backfill(
                run=run,
                worker=worker,
                reason=reason,
                needed_at_s=min(hold.ready_at_s for hold in others),
            )
            if self._counters is not None:
                self._counters.backfills.labels(reason=reason).inc()
        own = self.book.first_of(key)
        if own is None:
            return
        if run.step.is_gang:
            # All members are on their workers by now.
            prefix = run.name.rpartition(".")[0] + "."
            members = self.book.of(key)
            is_used = any(h.worker.count_step_tasks(prefix) for h in members)
            for hold in members:
                self._end(hold, "used" if is_used else "elsewhere")
            return
        here = [hold for hold in self.book.on(worker) if hold.key == key]
        self._end(here[0] if here else own, "used" if here else "elsewhere")

    def _end(self, hold: holds.Hold, outcome: str) -> None:
        """End a reservation and log it."""
        self.book.remove(hold)
        wait = self._waits.get(hold.key)
        if wait is not None and outcome in ("wrong", "expired"):
            wait.losses += 1
            if hold.is_firm:
                # Others get their turn.
                wait.retry_at_s = self._now_s + holds.MAX_HELD_S
        if self._counters is not None:
            self._counters.reservations.labels(outcome=outcome).inc()
        _LOG.log(
            job_events.ROOM_RELEASED,
            cell=self._cell,
            job=hold.key[0],
            step=hold.key[2],
            worker=hold.worker.id,
            outcome=outcome,
            held_s=round(self._now_s - hold.made_at_s, 3),
            late_s=_rounded(self._now_s - hold.ready_at_s),
            is_firm=hold.is_firm,
            losses=0 if wait is None else wait.losses,
        )

    def _review(self, usable: list[workers.Worker]) -> None:
        """Drop reservations that turned out wrong; note what overran."""
        if self.book:
            by_id = {worker.id: worker for worker in usable}
            for hold in self.book.entries:
                if hold not in self.book:
                    # Ended together with its gang.
                    continue
                outcome = self._find_fault(hold, by_id)
                if outcome:
                    for other in self._with_gang(hold):
                        self._end(other, outcome)
        for found in self._backfills.values():
            is_late = self._now_s > found.needed_at_s
            if not is_late or found.has_overrun or found.reason != "ends":
                continue
            if found.worker.id not in self.book.by_worker:
                continue
            found.has_overrun = True
            if self._counters is not None:
                self._counters.backfill_overruns.inc()
            _LOG.log(
                job_events.BACKFILL_OVERRAN,
                cell=self._cell,
                task=found.run.name,
                worker=found.worker.id,
                ran_s=round(self._now_s - found.run.assigned_at_s, 3),
                declared_ms=found.run.step.expected_run_ms,
            )
        if not self.book:
            self._backfills.clear()

    def _with_gang(self, hold: holds.Hold) -> list[holds.Hold]:
        if not hold.step.is_gang:
            return [hold]
        return self.book.of(hold.key)

    def _find_fault(
        self, hold: holds.Hold, by_id: dict[str, workers.Worker]
    ) -> str:
        """Return how a reservation ends now; empty if it goes on."""
        if by_id.get(hold.worker.id) is not hold.worker:
            # First, since a pass without workers does not look at what waits.
            return "wrong"
        wait = self._waits.get(hold.key)
        if wait is None or wait.seen_s < self._now_s:
            return "gone"
        if self.book.count_of(hold.key) > len(wait.tasks):
            return "gone"
        if self._now_s >= hold.until_s:
            return "expired"
        ready_at_s = self._ready_at_s(hold)
        if ready_at_s is None:
            return "wrong"
        if hold.step.is_gang:
            # The members need their rooms at the same time.
            ready_at_s = max(ready_at_s, hold.ready_at_s)
        if ready_at_s > hold.until_s and not hold.is_firm:
            return "wrong"
        hold.ready_at_s = ready_at_s
        return ""

    def _ready_at_s(self, hold: holds.Hold) -> float | None:
        """Return when the reservations on a worker up to this one will fit.

        Runs that may be stopped count as ended.
        """
        room = self._finder.room(hold.worker)
        for other in self.book.on(hold.worker):
            if other is hold:
                break
            room.add(other.step, -1)
        stoppable = self._stoppable(hold.worker)
        for run in stoppable:
            room.add(run.step)
        if room.fits(hold.step):
            return self._now_s
        for end_s, run in self._finder.forecast(hold.worker).ends:
            if run not in stoppable:
                room.add(run.step)
            if room.fits(hold.step):
                return end_s
        return None

    def _stoppable(self, worker: workers.Worker) -> list[runs.Run]:
        """Return the runs on a worker to stop for its reservations.

        Some may not have started yet: forecasts count on their stop, but none
        is sent until then.
        """
        is_firm_due = any(
            hold.is_firm
            and self._now_s
            >= min(hold.ready_at_s, hold.made_at_s + holds.MAX_HELD_S)
            for hold in self.book.on(worker)
        )
        found = []
        for run in worker.runs.values():
            if run.is_stopping or run.step.is_standing or run.step.is_gang:
                continue
            if not run.step.is_checkpointing:
                continue
            backfilled = self._backfills.get(run.name)
            if is_firm_due or (
                backfilled is not None and backfilled.reason == "stoppable"
            ):
                found.append(run)
        return found

    def _find_stops(self) -> None:
        """Find the runs whose stop lets a reservation be used."""
        for reserved in self.book.by_worker.values():
            worker = reserved[0].worker
            if any(run.is_stopping for run in worker.runs.values()):
                # Their room may suffice.
                continue
            room = self._finder.room(worker)
            needed = [hold.step for hold in reserved]
            for step in needed[:-1]:
                room.add(step, -1)
            if room.fits(needed[-1]):
                continue
            chosen = []
            for run in sorted(
                self._stoppable(worker), key=lambda run: -run.started_at_s
            ):
                if not self._may_stop_now(run):
                    continue
                room.add(run.step)
                chosen.append(run)
                if room.fits(needed[-1]):
                    break
            if not room.fits(needed[-1]):
                continue
            for run in list(chosen):
                room.add(run.step, -1)
                if room.fits(needed[-1]):
                    chosen.remove(run)
                else:
                    room.add(run.step)
            for run in chosen:
                self._stops.append((worker, run))
                _LOG.log(
                    job_events.BACKFILL_STOPPED,
                    cell=self._cell,
                    task=run.name,
                    run=run.number,
                    worker=worker.id,
                    job=reserved[0].key[0],
                )

    def _may_stop_now(self, run: runs.Run) -> bool:
        """Return whether the start of a run is over.

        Until the start is answered, it may still be carried out after a stop.
        """
        age_s = self._now_s - run.started_at_s
        return run.is_confirmed and age_s >= MIN_STOP_AGE_S

    def _forget_waits(self) -> None:
        forgotten = [
            key
            for key, wait in self._waits.items()
            if self._now_s - wait.seen_s > FORGET_S
        ]
        for key in forgotten:
            del self._waits[key]

    def _plan(self, usable: list[workers.Worker]) -> None:
        """Make reservations for steps that wait, within the bounds."""
        limit = max(1, len(usable) // WORKERS_PER_RESERVED)
        if not usable or len(self.book.by_worker) >= limit:
            return
        held = set(self.book.keys)
        waits = [
            (key, wait)
            for key, wait in self._waits.items()
            if wait.seen_s >= self._now_s
            and self._now_s - wait.since_s >= MIN_WAIT_S
            and self._now_s >= wait.retry_at_s
        ]
        firm, others = [], []
        for key, wait in waits:
            (firm if wait.is_firm(self._now_s) else others).append((key, wait))
        firm.sort(key=lambda item: (-item[1].losses, item[1].since_s, item[0]))
        others.sort(key=lambda item: item[1].position)
        by_candidate = {}
        candidates = []
        for key, wait in others:
            candidate = base.Candidate(step=wait.step, position=wait.position)
            by_candidate[id(candidate)] = (key, wait)
            candidates.append(candidate)
        selected = self._policy.select(candidates)
        if not selected and not self._policy.most_steps():
            return
        ordered = firm + [by_candidate[id(found)] for found in selected]
        shapes: set[tuple] = set()
        considered = 0
        most_tasks = MAX_PLANNED_TASKS
        for key, wait in ordered:
            if len(self.book.by_worker) >= limit or considered >= MAX_STEPS:
                return
            if most_tasks <= 0:
                return
            if key not in held and len(held) >= self._policy.most_steps():
                return
            if key in held and wait.step.is_gang:
                continue
            shape = _shape(wait.step)
            if shape in shapes:
                continue
            considered += 1
            made = self._reserve(key, wait, usable, limit, most_tasks)
            most_tasks -= made
            if made:
                held.add(key)
            else:
                # Another step of this shape gets no better offer now.
                shapes.add(shape)
                wait.retry_at_s = self._now_s + RETRY_S

    def _reserve(
        self,
        key: holds.StepKey,
        wait: holds.Wait,
        usable: list[workers.Worker],
        limit: int,
        most_tasks: int,
    ) -> int:
        """Make reservations for a step; return how many.

        A gang gets those for all of its members.
        """
        is_firm = wait.is_firm(self._now_s)
        if wait.step.is_gang:
            most_workers = limit - len(self.book.by_worker)
            offers = self._finder.find_for_gang(
                wait, usable, most_workers, is_firm
            )
            ready_at_s = max((o.ready_at_s for o in offers), default=0.0)
            for offer in offers:
                self._hold(key, wait, offer, ready_at_s, is_firm)
            return len(offers)
        made = 0
        left = len(wait.tasks) - self.book.count_of(key)
        while made < min(left, most_tasks):
            if len(self.book.by_worker) >= limit:
                break
            offers = self._finder.find(wait, usable, is_firm)
            if not offers:
                break
            chosen = self._policy.choose(offers, self._now_s)
            self._hold(key, wait, chosen, chosen.ready_at_s, is_firm)
            made += 1
        return made

    def _hold(
        self,
        key: holds.StepKey,
        wait: holds.Wait,
        offer: base.Offer,
        ready_at_s: float,
        is_firm: bool,
    ) -> None:
        hold = holds.Hold(
            key=key,
            step=wait.step,
            worker=offer.worker,
            now_s=self._now_s,
            ready_at_s=ready_at_s,
            is_firm=is_firm,
        )
        self.book.add(hold)
        forecast = self._finder.forecast(offer.worker)
        _LOG.log(
            job_events.ROOM_RESERVED,
            cell=self._cell,
            job=key[0],
            step=key[2],
            worker=offer.worker.id,
            ready_s=_rounded(ready_at_s - self._now_s),
            ends=offer.ends,
            waited_s=round(self._now_s - wait.since_s, 3),
            is_firm=is_firm,
            reports_age_s=round(forecast.age_s, 3),
            learned_age_s=round(forecast.learned_age_s, 3),
        )


def make(name: str = base.DEFAULT, **fields: typing.Any) -> Lookahead:
    """Return a look-ahead with a registered policy.

    Args:
        name: Name of the policy.
        **fields: Further arguments of the look-ahead.

    Raises:
        UsageError: There is no such policy.
    """
    registry.load_modules(backfill)
    return Lookahead(policy=base.BACKFILL.get(name)(), **fields)


def _rounded(time_s: float) -> float | None:
    """Return a time for the log; None if it is infinite."""
    return round(time_s, 3) if math.isfinite(time_s) else None


def _shape(step: specs.StepSpec) -> tuple:
    """Return what the offers for a task of a step depend on."""
    return (
        step.is_filler,
        step.image,
        step.cpu_millicores,
        step.memory_mb,
        step.accelerators,
        step.required_label,
        step.is_gang and step.task_count,
        step.most_per_worker,
    )


def _withheld_class(step: specs.StepSpec) -> tuple:
    return (
        step.is_filler,
        step.is_checkpointing,
        step.is_gang,
        step.image,
        step.required_label,
        step.accelerators,
    )
