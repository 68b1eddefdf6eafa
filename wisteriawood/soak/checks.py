"""What must hold, as workers and callers see it."""

import time

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.standins import runners as run_standins

# Time after the acknowledgement of a cancel in which starts may still come.
CANCEL_S = 3.0


class SentJob:
    """A job that a caller sent.

    Attributes:
        spec: The job.
        is_accepted: Whether a host took it in.
        is_refused: Whether an attempt was refused.
        is_unknown: Whether an attempt had no answer, or is under way.
        is_cancel_sent: Whether a cancel was sent.
        cancelled_at_s: When a cancel was acknowledged; 0 for never.
        is_told_completed: Whether a caller was shown that it is completed.
        done: Tasks whose end was acknowledged for good, by name.
        ended: Tasks with a run that ended done.
    """

    __slots__ = (
        "cancelled_at_s",
        "done",
        "ended",
        "is_accepted",
        "is_cancel_sent",
        "is_refused",
        "is_told_completed",
        "is_unknown",
        "spec",
    )

    def __init__(self, *, spec: specs.JobSpec):
        self.spec = spec
        self.is_accepted = False
        self.is_refused = False
        self.is_unknown = False
        self.is_cancel_sent = False
        self.is_told_completed = False
        self.cancelled_at_s = 0.0
        self.done: set[str] = set()
        self.ended: set[str] = set()

    def is_standing(self) -> bool:
        """Tell whether its tasks run until it is cancelled."""
        return any(step.is_standing for step in self.spec.steps)

    def names(self) -> list[str]:
        """Return the names of all tasks."""
        return [
            f"{self.spec.id}.0.{step}.{index}"
            for step, spec in enumerate(self.spec.steps)
            for index in range(spec.task_count)
        ]


class Checker:
    """Notes what breaks a promise.

    Attributes:
        sent: The jobs by id.
        workers: The workers by id.
        breaches: What was broken, and when.
        starts: Runs that began.
    """

    __slots__ = ("_began_at_s", "breaches", "sent", "starts", "workers")

    __slots__ = (
        "_began_at_s",
        "_newest_runs",
        "breaches",
        "sent",
        "starts",
        "workers",
    )

    def __init__(self):
        self._newest_runs: dict[str, int] = {}
        self.sent: dict[str, SentJob] = {}
        self.workers: dict[str, WatchedWorker] = {}
        self.breaches: list[str] = []
        self.starts = 0
        self._began_at_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the soak."""
        return time.monotonic() - self._began_at_s

    def breach(self, rule: str, what: str) -> None:
        """Note that a promise was broken.

        Args:
            rule: The promise.
            what: What was seen.
        """
        self.breaches.append(f"{self.now_s():.2f} s {rule}: {what}")

    def note_start(
        self, worker: "WatchedWorker", order: runners.StartOrder
    ) -> None:
        """Check a run that begins.

        Args:
            worker: Where it begins.
            order: The start.
        """
        self.starts += 1
        name = order.task_name
        newest = self._newest_runs.get(name, 0)
        self._newest_runs[name] = max(newest, order.run)
        where = f"{name} run {order.run} on {worker.registration.worker_id}"
        sent = self.sent.get(name.partition(".")[0])
        if sent is None:
            self.breach("unasked", f"{where}: no caller sent the job")
            return
        step = sent.spec.steps[int(name.split(".")[2])]
        if sent.is_refused and not (sent.is_accepted or sent.is_unknown):
            self.breach("refused", f"{where}: all attempts were refused")
        if order.payload != sent.spec.payload:
            self.breach("unasked", f"{where}: another payload")
        if sent.cancelled_at_s:
            late_s = self.now_s() - sent.cancelled_at_s
            if late_s > CANCEL_S:
                self.breach("unasked", f"{where}: {late_s:.1f} s cancelled")
        for other in self.workers.values():
            if other is not worker and name in other.runs:
                there = other.registration.worker_id
                self.breach("twice", f"{where}: it runs on {there} too")
        if name in sent.done:
            self.breach("twice", f"{where}: its end was acknowledged")
        self._check_order(sent, step, where)
        self._check_room(worker, step, where)

    def note_acknowledged(self, end: runners.EndedRun) -> None:
        """Take in that the end of a run that was done is acknowledged.

        Args:
            end: The end.
        """
        self.sent[end.task_name.partition(".")[0]].done.add(end.task_name)
        newest = self._newest_runs.get(end.task_name, 0)
        if newest > end.run:
            self.breach(
                "twice",
                f"{end.task_name} run {end.run} is acknowledged as done, "
                f"and run {newest} was started",
            )

    def _check_order(
        self, sent: SentJob, step: specs.StepSpec, where: str
    ) -> None:
        for before in step.after:
            prefix = f"{sent.spec.id}.0.{before}."
            ended = {n for n in sent.ended if n.startswith(prefix)}
            if len(ended) < sent.spec.steps[before].task_count:
                self.breach("order", f"{where}: step {before} is not done")

    def _check_room(
        self, worker: "WatchedWorker", step: specs.StepSpec, where: str
    ) -> None:
        used = step.cpu_millicores + sum(
            self.step_of(name).cpu_millicores for name in worker.runs
        )
        if used > worker.registration.cpu_millicores:
            self.breach("limit", f"{where}: {used} millicores in use")

    def step_of(self, name: str) -> specs.StepSpec:
        """Return the step of a task.

        Args:
            name: Name of the task.
        """
        job_id, _occurrence, step, _index = name.split(".")
        return self.sent[job_id].spec.steps[int(step)]

    def note_state(self, sent: SentJob, state: str) -> None:
        """Check a state that a caller was shown.

        Args:
            sent: The job.
            state: The state; empty for an unknown job.
        """
        if not state:
            if sent.is_accepted:
                self.breach("lost", f"{sent.spec.id} is not known")
            return
        if state == jobs.JobState.COMPLETED:
            sent.is_told_completed = True
            missing = set(sent.names()) - sent.ended
            if missing:
                self.breach("mixed", f"completed without {sorted(missing)}")
        if state == jobs.JobState.CANCELED and not sent.is_cancel_sent:
            self.breach("mixed", f"{sent.spec.id} canceled by nobody")
        if state == jobs.JobState.FAILED:
            self.breach("lost", f"{sent.spec.id} failed without a failure")

    def runs_of(self, sent: SentJob) -> set[str]:
        """Return the tasks of a job that run now.

        Args:
            sent: The job.
        """
        prefix = sent.spec.id + "."
        return {
            name
            for worker in self.workers.values()
            for name in worker.runs
            if name.startswith(prefix)
        }

    def unfinished(self) -> list[str]:
        """Return what has still to happen once all faults are over."""
        found = []
        for sent in self.sent.values():
            running = self.runs_of(sent)
            if sent.cancelled_at_s:
                if running:
                    found.append(f"{sent.spec.id} is cancelled and runs")
            elif not sent.is_accepted or sent.is_cancel_sent:
                # A cancel without an answer may have been carried out.
                continue
            elif sent.is_standing():
                if len(running) < len(sent.names()):
                    found.append(f"{sent.spec.id} does not run in full")
            elif len(sent.ended) < len(sent.names()):
                found.append(f"{sent.spec.id} is not done")
            elif not sent.is_told_completed:
                found.append(f"{sent.spec.id} is not shown as completed")
        return found


class WatchedWorker(run_standins.MemoryWorker):
    """A worker that tells a checker what it is made to do.

    Args:
        checker: The checker.
    """

    __slots__ = ("_checker", "_lapsed_to")

    def __init__(self, *, checker: Checker, **fields):
        self._checker = checker
        # Ends up to this number are older than a lapse of the lease.
        self._lapsed_to = 0
        super().__init__(**fields)

    def restart(self) -> None:
        """Begin a new life under the same id."""
        self._lapsed_to = 0
        super().restart()

    def renew(self, lease_until_ms: int) -> None:
        """Extend the lease."""
        self._note_lapse()
        super().renew(lease_until_ms)

    def begin_run(self, order: runners.StartOrder) -> runners.StartAnswer:
        """Carry out a start."""
        self._note_lapse()
        before = len(self.starts)
        held = set(self.runs)
        answer = super().begin_run(order)
        if len(self.starts) > before:
            run = self.runs.pop(order.task_name)
            if order.task_name in held:
                self._checker.breach("twice", f"{order.task_name} restarted")
            self._checker.note_start(self, order)
            self.runs[order.task_name] = run
        return answer

    def report(self, acknowledged: int) -> runners.RunReport:
        """Return the runs and the ends that were not acknowledged."""
        self._note_lapse()
        for end in self._ends:
            if end.number > acknowledged or end.number <= self._lapsed_to:
                continue
            if end.outcome is tasks.Outcome.DONE:
                self._checker.note_acknowledged(end)
        return super().report(acknowledged)

    def _note_lapse(self) -> None:
        if self.clock_ms() > self._lease_until_ms:
            self._lapsed_to = self._number

    def _end(self, name: str, outcome: tasks.Outcome) -> None:
        super()._end(name, outcome)
        sent = self._checker.sent.get(name.partition(".")[0])
        if sent is not None and outcome is tasks.Outcome.DONE:
            sent.ended.add(name)
