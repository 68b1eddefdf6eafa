"""Invariants checked from what workers and callers observe."""

import math
import time

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.standins import runners as run_standins

# Time after the acknowledgement of a cancel in which runs may still start.
CANCEL_GRACE_S = 3.0
# Time after a worker reports that it drains in which runs may still start, and
# the delay that slow links may add.
DRAIN_GRACE_S = 2.0
LINK_DELAY_S = 0.6
# Tail latency of an undisturbed serving task, divided by its bound.
CALM_TAIL_RATIO = 0.2


class SentJob:
    """A job that a caller has submitted.

    Attributes:
        spec: Specification of the job.
        is_accepted: Whether a host accepted it.
        is_refused: Whether an attempt to submit it was refused.
        is_unknown: Whether an attempt got no answer or is in progress.
        is_cancel_sent: Whether a cancel was sent.
        cancelled_at_s: Time at which a cancel was acknowledged, in seconds
            since the start of the soak; 0 for never.
        is_reported_completed: Whether a host reported it as completed.
        done: Names of tasks that ended as done and whose end was
            acknowledged before the lease of the worker expired.
        ended: Names of tasks with a run that ended as done.
    """

    __slots__ = (
        "cancelled_at_s",
        "done",
        "ended",
        "is_accepted",
        "is_cancel_sent",
        "is_refused",
        "is_reported_completed",
        "is_unknown",
        "spec",
    )

    def __init__(self, *, spec: specs.JobSpec):
        self.spec = spec
        self.is_accepted = False
        self.is_refused = False
        self.is_unknown = False
        self.is_cancel_sent = False
        self.is_reported_completed = False
        self.cancelled_at_s = 0.0
        self.done: set[str] = set()
        self.ended: set[str] = set()

    def is_standing(self) -> bool:
        """Return whether its tasks run until it is cancelled."""
        return any(step.is_standing for step in self.spec.steps)

    def names(self) -> list[str]:
        """Return the names of all tasks."""
        return [
            f"{self.spec.id}.0.{step}.{index}"
            for step, spec in enumerate(self.spec.steps)
            for index in range(spec.task_count)
        ]


class Checker:
    """Checks observed events and records breaches of the invariants.

    Attributes:
        sent: Submitted jobs, by id.
        workers: Workers, by id.
        links_released_at_s: Time at which held links were last released, in
            seconds since the start of the soak; commands that they held
            arrive late.
        breaches: Descriptions of the breaches, with their times.
        ended_at_s: Times at which the last runs of tasks ended, in seconds
            since the start of the soak, by task name.
        starts: Number of runs that were started.
    """

    __slots__ = (
        "_began_at_s",
        "_newest_runs",
        "breaches",
        "ended_at_s",
        "links_released_at_s",
        "sent",
        "starts",
        "workers",
    )

    def __init__(self):
        self._newest_runs: dict[str, int] = {}
        self.sent: dict[str, SentJob] = {}
        self.workers: dict[str, WatchedWorker] = {}
        self.breaches: list[str] = []
        self.ended_at_s: dict[str, float] = {}
        self.starts = 0
        self.links_released_at_s = -math.inf
        self._began_at_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time in seconds since the start of the soak."""
        return time.monotonic() - self._began_at_s

    def record_breach(self, rule: str, what: str) -> None:
        """Record a breach of an invariant.

        Args:
            rule: Short name of the invariant.
            what: Description of the breach.
        """
        self.breaches.append(f"{self.now_s():.2f} s {rule}: {what}")

    def check_start(
        self, worker: "WatchedWorker", command: runners.StartRunCommand
    ) -> None:
        """Check a run that starts.

        Args:
            worker: Worker on which it starts.
            command: Command that starts it.
        """
        self.starts += 1
        name = command.task_name
        newest = self._newest_runs.get(name, 0)
        self._newest_runs[name] = max(newest, command.run)
        where = f"{name} run {command.run} on {worker.registration.worker_id}"
        sent = self.sent.get(name.partition(".")[0])
        if sent is None:
            self.record_breach("unasked", f"{where}: no caller sent the job")
            return
        step = sent.spec.steps[int(name.split(".")[2])]
        if sent.is_refused and not (sent.is_accepted or sent.is_unknown):
            self.record_breach(
                "refused", f"{where}: all attempts were refused"
            )
        if command.payload != sent.spec.payload:
            self.record_breach("unasked", f"{where}: payload differs")
        if sent.cancelled_at_s:
            late_s = self.now_s() - sent.cancelled_at_s
            if late_s > CANCEL_GRACE_S:
                self.record_breach(
                    "unasked", f"{where}: {late_s:.1f} s after cancel"
                )
        for other in self.workers.values():
            if other is not worker and name in other.runs:
                there = other.registration.worker_id
                self.record_breach("twice", f"{where}: also runs on {there}")
        if name in sent.done:
            self.record_breach("twice", f"{where}: its end was acknowledged")
        self._check_drain(worker, where)
        self._check_order(sent, step, where)
        self._check_capacity(worker, step, where)

    def _check_drain(self, worker: "WatchedWorker", where: str) -> None:
        if not worker.drains_since_s or not worker.registration.is_draining:
            return
        now_s = self.now_s()
        late_s = now_s - worker.drains_since_s
        if now_s - self.links_released_at_s < LINK_DELAY_S:
            return
        if late_s > DRAIN_GRACE_S + LINK_DELAY_S:
            self.record_breach("drain", f"{where}: drains for {late_s:.1f} s")

    def check_acknowledged_end(self, end: runners.EndedRun) -> None:
        """Check the acknowledgement of a run that ended as done.

        Args:
            end: End of the run.
        """
        self.sent[end.task_name.partition(".")[0]].done.add(end.task_name)
        newest = self._newest_runs.get(end.task_name, 0)
        if newest > end.run:
            self.record_breach(
                "twice",
                f"{end.task_name} run {end.run} is acknowledged as done, "
                f"but run {newest} was started",
            )

    def _check_order(
        self, sent: SentJob, step: specs.StepSpec, where: str
    ) -> None:
        for before in step.after:
            prefix = f"{sent.spec.id}.0.{before}."
            ended = {n for n in sent.ended if n.startswith(prefix)}
            if len(ended) < sent.spec.steps[before].task_count:
                self.record_breach(
                    "order", f"{where}: step {before} is not done"
                )

    def _check_capacity(
        self, worker: "WatchedWorker", step: specs.StepSpec, where: str
    ) -> None:
        steps = [step, *(self.step_of(name) for name in worker.runs)]
        # Fillers reserve no CPU.
        used = sum(s.cpu_millicores for s in steps if not s.is_filler)
        if used > worker.registration.cpu_millicores:
            self.record_breach("limit", f"{where}: {used} millicores in use")
        used_mb = sum(s.memory_mb for s in steps)
        if used_mb > worker.registration.memory_mb:
            self.record_breach("limit", f"{where}: {used_mb} MB in use")

    def step_of(self, name: str) -> specs.StepSpec:
        """Return the step of a task.

        Args:
            name: Name of the task.
        """
        job_id, _occurrence, step, _index = name.split(".")
        return self.sent[job_id].spec.steps[int(step)]

    def check_state(self, sent: SentJob, state: str) -> None:
        """Check a job state that a caller received.

        Args:
            sent: The job.
            state: The state; empty if the host did not know the job.
        """
        if not state:
            if sent.is_accepted:
                self.record_breach("lost", f"{sent.spec.id} is unknown")
            return
        if state == jobs.JobState.COMPLETED:
            sent.is_reported_completed = True
            missing = set(sent.names()) - sent.ended
            if missing:
                self.record_breach(
                    "mixed", f"completed without {sorted(missing)}"
                )
        if state == jobs.JobState.CANCELED and not sent.is_cancel_sent:
            self.record_breach(
                "mixed", f"{sent.spec.id} canceled without a request"
            )
        if state == jobs.JobState.FAILED:
            self.record_breach(
                "lost", f"{sent.spec.id} failed although no run failed"
            )

    def runs_of(self, sent: SentJob) -> set[str]:
        """Return the names of the tasks of a job that are running.

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
        """Return what is still outstanding, one description for each job."""
        found = [self.outstanding(sent) for sent in self.sent.values()]
        return [what for what in found if what]

    def outstanding(self, sent: SentJob) -> str:
        """Return what is still outstanding of a job; empty for nothing.

        Args:
            sent: The job.
        """
        running = self.runs_of(sent)
        if sent.cancelled_at_s:
            return f"{sent.spec.id} is cancelled but runs" if running else ""
        if not sent.is_accepted or sent.is_cancel_sent:
            # A cancel without an answer may have taken effect.
            return ""
        if sent.is_standing():
            if len(running) < len(sent.names()):
                return f"{sent.spec.id} has tasks that do not run"
            return ""
        if len(sent.ended) < len(sent.names()):
            return f"{sent.spec.id} is not done"
        if not sent.is_reported_completed:
            return f"{sent.spec.id} is not reported as completed"
        return ""


class WatchedWorker(run_standins.MemoryWorker):
    """A simulated worker that reports starts and ends to a checker.

    Args:
        checker: Checker that the events are reported to.
        **fields: Arguments of MemoryWorker.

    Attributes:
        drains_since_s: Time at which its entry first said that it drains, in
            seconds since the start of the soak; 0 if it does not.
        listed_until_s: Time until which its entry stays after a crash, in
            seconds since the start of the soak.
        lost_at_s: Time at which it was lost for good, in seconds since the
            start of the soak; 0 for never.
        tail_ratio: Tail latencies of the serving tasks here, divided by their
            bounds.
    """

    __slots__ = (
        "_checker",
        "_expired_up_to",
        "drains_since_s",
        "listed_until_s",
        "lost_at_s",
        "tail_ratio",
    )

    def __init__(self, *, checker: Checker, **fields):
        self._checker = checker
        # Ends up to this number precede an expiry of the lease.
        self._expired_up_to = 0
        self.drains_since_s = 0.0
        self.listed_until_s = 0.0
        self.lost_at_s = 0.0
        self.tail_ratio = CALM_TAIL_RATIO
        super().__init__(**fields)

    def record_entry(self) -> None:
        """Record that the entry of the worker was written as it is now."""
        if not self.registration.is_draining:
            self.drains_since_s = 0.0
        elif not self.drains_since_s:
            self.drains_since_s = self._checker.now_s()

    def crash(self) -> None:
        """Simulate a crash of the worker process, which ends all runs."""
        for name in self.runs:
            self._checker.ended_at_s[name] = self._checker.now_s()
        super().crash()

    def is_listed(self) -> bool:
        """Return whether the directory has an entry of the worker."""
        return not self.is_dead or (
            self._checker.now_s() < self.listed_until_s
        )

    def restart(self) -> None:
        """Start a new instance of the worker process under the same id."""
        self._expired_up_to = 0
        super().restart()

    def renew(self, lease_until_ms: int) -> None:
        """Extend the lease, after checking whether it has expired."""
        self._record_expiry()
        super().renew(lease_until_ms)

    def begin_run(
        self, command: runners.StartRunCommand
    ) -> runners.StartResult:
        """Start a run and have the checker check it."""
        self._record_expiry()
        before = len(self.starts)
        held = set(self.runs)
        answer = super().begin_run(command)
        if len(self.starts) > before:
            # The checker adds the new run to those in `runs`.
            run = self.runs.pop(command.task_name)
            if command.task_name in held:
                self._checker.record_breach(
                    "twice", f"{command.task_name} restarted"
                )
            self._checker.check_start(self, command)
            self.runs[command.task_name] = run
        return answer

    def report(self, acknowledged: int) -> runners.RunReport:
        """Report runs and ends; check the acknowledged ends."""
        self._record_expiry()
        for end in self._ends:
            if end.number > acknowledged or end.number <= self._expired_up_to:
                continue
            if end.outcome is tasks.Outcome.DONE:
                self._checker.check_acknowledged_end(end)
        for name in self.runs:
            bound_ms = self._checker.step_of(name).tail_target_ms
            self.tail_latencies_ms[name] = self.tail_ratio * bound_ms
        return super().report(acknowledged)

    def _record_expiry(self) -> None:
        if self.clock_ms() > self._lease_until_ms:
            self._expired_up_to = self._last_end_number

    def _end(self, name: str, outcome: tasks.Outcome) -> None:
        super()._end(name, outcome)
        self._checker.ended_at_s[name] = self._checker.now_s()
        sent = self._checker.sent.get(name.partition(".")[0])
        if sent is not None and outcome is tasks.Outcome.DONE:
            sent.ended.add(name)
