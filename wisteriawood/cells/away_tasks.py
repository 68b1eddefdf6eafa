"""Reports the standing tasks of a cell that are away, and the reason."""

import collections
import math
import typing

import anyio

from wisteriawood.cells import absences
from wisteriawood.cells import former_holders
from wisteriawood.cells import runs
from wisteriawood.cells import wait_reasons
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 0.5
# Time from which a task that is away is reported.
AWAY_TIMEOUT_S = 2.5
# Least time between two lines about one task, in the same phase and in
# another one.
LOG_PERIOD_S = 3.0
NEW_PHASE_LOG_PERIOD_S = 1.0
# Most lines of one check about tasks that are away, and about tasks that no
# longer are.
MAX_AWAY_LINES = 4
MAX_END_LINES = 4

AwayPhase = absences.AwayPhase


class Placement:
    """The newest run of an assigned task.

    Args:
        worker: Its worker.
        run: The run.
        answers: Whether the worker answers.
    """

    __slots__ = ("answers", "run", "worker")

    def __init__(
        self, *, worker: workers.Worker, run: runs.Run, answers: bool
    ):
        self.worker = worker
        self.run = run
        self.answers = answers

    def is_running(self) -> bool:
        """Return whether the task runs, as far as is known.

        A run that is being stopped goes on until its end is reported.
        """
        return self.answers and self.run.is_confirmed


class EndedAbsence:
    """An absence that is over for this cell.

    Args:
        absence: The absence.
        at_s: Monotonic time of its end.
        placement: The run that ended it; None if another cell has the task.
        to: Name of that cell; empty for none.
    """

    __slots__ = ("absence", "at_s", "placement", "to")

    def __init__(
        self,
        *,
        absence: absences.Absence,
        at_s: float,
        placement: Placement | None = None,
        to: str = "",
    ):
        self.absence = absence
        self.at_s = at_s
        self.placement = placement
        self.to = to

    def away_s(self) -> float:
        """Return how long the task was away."""
        return self.absence.away_s(self.at_s)

    def is_same_run(self) -> bool:
        """Return whether the last run had gone on all the while."""
        return (
            self.placement is not None
            and self.placement.run.number == self.absence.last_run
        )


class AwayTaskMonitor:
    """Logs, counts and measures the absences of a cell's standing tasks.

    A task is away from the last answer of a worker that stopped answering, or
    from the end of its run, until a worker that answers confirms a run of it
    here, or another cell has it. Tasks that have not run yet don't count.

    It only reads the state of the cell. A check looks at each run of a
    standing task and at each absence, but at the tasks of a job only after
    the job was loaded. The ends of runs are recorded as they are processed.

    Args:
        cell: The cell.
        former: The former holder, which may still renew leases.
    """

    __slots__ = (
        "_absences",
        "_answered_at_s",
        "_cell",
        "_former",
        "_known_ids",
    )

    def __init__(
        self,
        *,
        cell: "cells.Cell",
        former: former_holders.FormerHolder,
    ):
        self._cell = cell
        self._former = former
        self._absences: dict[tasks.Task, absences.Absence] = {}
        # Jobs that the last check has seen.
        self._known_ids: set[str] = set()
        # Monotonic times of the last answers as of the last check, by worker.
        self._answered_at_s: dict[str, float] = {}
        cell.on_run_end = self._handle_run_end

    async def run(self) -> None:
        """Check the tasks until cancelled."""
        try:
            while True:
                await anyio.sleep(CHECK_PERIOD_S)
                self.check()
        finally:
            gauge = self._cell.counters.standing_tasks_away
            for phase in AwayPhase:
                gauge.remove(self._cell.name, phase)

    def check(self) -> None:
        """Follow the absences, count them and log some of them."""
        now_s = anyio.current_time()
        placements = self._find_placements(now_s)
        self._add_silent(placements)
        self._add_loaded(placements, now_s)
        ended = [
            found
            for absence in list(self._absences.values())
            if (found := self._follow(absence, placements, now_s))
        ]
        self._answered_at_s = {
            worker.id: worker.answered_at_s
            for worker in self._cell.fleet.values()
        }
        self._count(ended)
        self._log_ended(ended)
        self._log_away(now_s)

    def _find_placements(self, now_s: float) -> dict[tasks.Task, Placement]:
        """Return the newest run of each assigned standing task.

        Those that just go on are left out.
        """
        found = {}
        for worker in self._cell.fleet.values():
            answers = worker.started_unix_ms > 0 and (
                worker.has_answered_recently(now_s)
            )
            for run in worker.runs.values():
                if not run.step.is_standing or not run.is_current():
                    continue
                if answers and run.is_confirmed and self._goes_on(run):
                    continue
                found[run.task] = Placement(
                    worker=worker, run=run, answers=answers
                )
        return found

    def _goes_on(self, run: runs.Run) -> bool:
        """Return whether a run that works is no news to the monitor."""
        return run.task not in self._absences and run.job.id in self._known_ids

    def _add_silent(self, placements: dict[tasks.Task, Placement]) -> None:
        """Add the tasks whose workers have stopped answering."""
        for task, placement in placements.items():
            run = placement.run
            if (
                placement.answers
                or not run.is_confirmed
                or task in self._absences
                or run.job.is_ended()
            ):
                continue
            self._add(
                run.job,
                task,
                worker_id=placement.worker.id,
                since_s=max(placement.worker.answered_at_s, run.started_at_s),
                cause=absences.Cause.SILENCE,
                phase=AwayPhase.END_UNKNOWN,
            )

    def _add_loaded(
        self, placements: dict[tasks.Task, Placement], now_s: float
    ) -> None:
        """Add the tasks that were away when their jobs were loaded."""
        new_ids = self._cell.jobs.keys() - self._known_ids
        self._known_ids = set(self._cell.jobs)
        for job_id in sorted(new_ids):
            job = self._cell.jobs[job_id]
            if job.is_ended() or not job.is_standing():
                continue
            for task in job.all_tasks():
                placement = placements.get(task)
                if task in self._absences or not job.step_of(task).is_standing:
                    continue
                if not _was_away_at_load(task, placement):
                    continue
                self._add(
                    job,
                    task,
                    worker_id=task.worker_id,
                    since_s=now_s,
                    cause=absences.Cause.LOAD,
                    phase=self._find_phase(job, task, placement, now_s)[0],
                )

    def _add(
        self,
        job: jobs.Job,
        task: tasks.Task,
        *,
        worker_id: str,
        since_s: float,
        cause: absences.Cause,
        phase: AwayPhase,
    ) -> None:
        self._absences[task] = absences.Absence(
            job=job,
            task=task,
            last_run=task.run,
            last_worker_id=worker_id,
            since_s=since_s,
            cause=cause,
            phase=phase,
        )

    def _handle_run_end(
        self, worker: workers.Worker, run: runs.Run, outcome: tasks.Outcome
    ) -> None:
        """Record that the newest run of a task has ended.

        An error must not keep the cell from recording the end.

        Args:
            worker: Its worker.
            run: The run.
            outcome: How it ended.
        """
        try:
            self._record_run_end(worker, run, outcome)
        except Exception as exc:
            self._cell.supervisor.record("away tasks", run.name, exc)

    def _record_run_end(
        self, worker: workers.Worker, run: runs.Run, outcome: tasks.Outcome
    ) -> None:
        if not run.step.is_standing or run.job.is_ended():
            return
        now_s = anyio.current_time()
        if run.task not in self._absences:
            if not run.is_confirmed:
                return
            since_s = now_s
            if outcome is tasks.Outcome.LAPSED:
                answered_at_s = self._answered_at_s.get(worker.id, math.inf)
                since_s = max(
                    run.started_at_s, min(worker.answered_at_s, answered_at_s)
                )
            self._add(
                run.job,
                run.task,
                worker_id=worker.id,
                since_s=since_s,
                cause=absences.Cause.RUN_END,
                phase=AwayPhase.END_UNKNOWN,
            )
        self._absences[run.task].enter(AwayPhase.NO_ROOM, now_s, now_s)

    def _follow(
        self,
        absence: absences.Absence,
        placements: dict[tasks.Task, Placement],
        now_s: float,
    ) -> EndedAbsence | None:
        """Update an absence; remove and return it if it is over here."""
        job, task = absence.job, absence.task
        placement = placements.get(task)
        to = self._find_new_cell(job, task)
        if to:
            del self._absences[task]
            return EndedAbsence(absence=absence, at_s=now_s, to=to)
        if job.is_ended() or self._cell.jobs.get(job.id) is not job:
            del self._absences[task]
            return None
        if placement is None or not placement.is_running():
            phase, at_s = self._find_phase(job, task, placement, now_s)
            absence.enter(phase, at_s, now_s)
            return None
        del self._absences[task]
        run = placement.run
        at_s = run.started_at_s
        if run.number == absence.last_run:
            at_s = max(at_s, placement.worker.answered_at_s)
        else:
            absence.enter(AwayPhase.START_UNANSWERED, run.assigned_at_s, at_s)
        return EndedAbsence(absence=absence, at_s=at_s, placement=placement)

    def _find_new_cell(self, job: jobs.Job, task: tasks.Task) -> str:
        """Return the other cell that has a task now; empty for none."""
        if job.is_ended():
            return ""
        if self._cell.jobs.get(job.id) is not job:
            return "" if job.cell == self._cell.name else job.cell
        if task.phase is not tasks.Phase.LENT:
            return ""
        return "" if self._cell.writer.has_unwritten(job) else task.worker_id

    def _find_phase(
        self,
        job: jobs.Job,
        task: tasks.Task,
        placement: Placement | None,
        now_s: float,
    ) -> tuple[AwayPhase, float]:
        """Return the phase of a task, and when it began at the latest."""
        if job.cell != self._cell.name or task.phase is tasks.Phase.LENT:
            return AwayPhase.OTHER_CELL_ASKED, now_s
        if task.phase is not tasks.Phase.ASSIGNED:
            return AwayPhase.NO_ROOM, now_s
        if placement is None:
            return self._find_lease_phase(0.0, now_s, now_s)
        run = placement.run
        if placement.answers or not run.was_sent:
            return AwayPhase.START_UNANSWERED, run.assigned_at_s
        worker = placement.worker
        silent_at_s = max(worker.answered_at_s, run.assigned_at_s)
        return self._find_lease_phase(
            worker.lease.lapsed_at_s, silent_at_s, now_s
        )

    def _find_lease_phase(
        self, lapsed_at_s: float, silent_at_s: float, now_s: float
    ) -> tuple[AwayPhase, float]:
        """Return whose leases a task waits for, and since when.

        Args:
            lapsed_at_s: Monotonic time at which those granted here lapse.
            silent_at_s: Monotonic time from which its worker is silent.
            now_s: Monotonic time.
        """
        if now_s < lapsed_at_s:
            return AwayPhase.END_UNKNOWN, silent_at_s
        if now_s < self._former.lapsed_at_s:
            return AwayPhase.FORMER_LEASE, max(lapsed_at_s, silent_at_s)
        return AwayPhase.END_UNKNOWN, max(
            lapsed_at_s, silent_at_s, self._former.lapsed_at_s
        )

    def _count(self, ended: list[EndedAbsence]) -> None:
        counters, name = self._cell.counters, self._cell.name
        counts = collections.Counter(
            absence.phase for absence in self._absences.values()
        )
        for phase in AwayPhase:
            counters.standing_tasks_away.labels(cell=name, phase=phase).set(
                counts[phase]
            )
        for found in ended:
            if found.placement is not None and not found.is_same_run():
                counters.standing_gap_s.labels(
                    cause=found.absence.cause
                ).observe(found.away_s())

    def _log_ended(self, ended: list[EndedAbsence]) -> None:
        due = [found for found in ended if found.away_s() >= AWAY_TIMEOUT_S]
        due.sort(key=EndedAbsence.away_s, reverse=True)
        left_out = max(0, len(due) - MAX_END_LINES)
        for found in due[:MAX_END_LINES]:
            placement = found.placement
            self._log(
                found.absence,
                found.at_s,
                worker=placement.worker.id if placement else "",
                is_back=placement is not None,
                is_same_run=found.is_same_run(),
                to=found.to,
                left_out=left_out,
            )

    def _log_away(self, now_s: float) -> None:
        due = [
            absence
            for absence in self._absences.values()
            if _is_due(absence, now_s)
        ]
        due.sort(key=lambda absence: absence.since_s)
        left_out = max(0, len(due) - MAX_AWAY_LINES)
        for absence in due[:MAX_AWAY_LINES]:
            absence.logged_at_s = now_s
            absence.logged_phase = absence.phase
            self._log(
                absence,
                now_s,
                worker=absence.task.worker_id or absence.last_worker_id,
                is_back=False,
                left_out=left_out,
                **self._describe(absence, now_s),
            )

    def _describe(
        self, absence: absences.Absence, now_s: float
    ) -> dict[str, typing.Any]:
        """Return the fields about what a task waits for."""
        cell, job, task = self._cell, absence.job, absence.task
        if absence.phase is AwayPhase.NO_ROOM:
            return wait_reasons.describe_waiting(cell, job, task, now_s)
        if absence.phase is AwayPhase.OTHER_CELL_ASKED:
            is_lent = task.phase is tasks.Phase.LENT
            return {"to": task.worker_id if is_lent else job.cell}
        worker = cell.fleet.get(task.worker_id)
        lapsed_at_s = worker.lease.lapsed_at_s if worker else now_s
        run = worker.runs.get(job.task_name(task)) if worker else None
        late_s = worker.late_start_ends_s(run) if run else now_s
        return {
            "assigned": wait_reasons.describe_assigned(cell, job, task, now_s),
            "lease_left_s": _time_left_s(lapsed_at_s, now_s),
            "late_start_left_s": _time_left_s(late_s, now_s),
            "former_lease_left_s": _time_left_s(
                self._former.lapsed_at_s, now_s
            ),
        }

    def _log(
        self,
        absence: absences.Absence,
        at_s: float,
        **fields: typing.Any,
    ) -> None:
        phases_s = absence.phase_times_s(at_s)
        _LOG.log(
            job_events.STANDING_TASK_AWAY,
            task=absence.job.task_name(absence.task),
            job=absence.job.id,
            cell=self._cell.name,
            run=absence.task.run,
            phase=absence.phase,
            away_s=round(absence.away_s(at_s), 3),
            phases_s={
                phase.value: round(phases_s[phase], 3)
                for phase in AwayPhase
                if phase in phases_s
            },
            cause=absence.cause,
            **fields,
        )


def _was_away_at_load(task: tasks.Task, placement: Placement | None) -> bool:
    """Return whether a task of a loaded job has run before and doesn't run.

    Args:
        task: The task.
        placement: Its newest run; None if no known worker has it.
    """
    here = (tasks.Phase.WAITING, tasks.Phase.ASSIGNED)
    if task.run == 0 or task.phase not in here:
        return False
    if placement is None:
        return True
    # The first run of a task that was assigned here is no absence.
    is_adopted = placement.run.answered_at_s < 0
    return not placement.run.is_confirmed and (is_adopted or task.run > 1)


def _is_due(absence: absences.Absence, now_s: float) -> bool:
    """Return whether a line about an absence is due."""
    if absence.away_s(now_s) < AWAY_TIMEOUT_S:
        return False
    if absence.logged_at_s is None:
        return True
    period_s = (
        LOG_PERIOD_S
        if absence.phase is absence.logged_phase
        else NEW_PHASE_LOG_PERIOD_S
    )
    return now_s - absence.logged_at_s >= period_s


def _time_left_s(until_s: float, now_s: float) -> float | None:
    """Return the time left until a time; None if that is not known."""
    return wait_reasons.round_time(max(0.0, until_s - now_s))
