"""Stand-in for a worker that runs the tasks of jobs, and the link to it."""

import typing

import anyio

from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners

TICK_S = 0.02
CALL_DELAY_S = 0.002
CALL_TIMEOUT_S = 0.8
LONGEST_LEASE_S = 10.0
MAX_REPORTED_ENDS = 500


class MemoryRun:
    """A run on a simulated worker.

    Args:
        command: Command that started the run.
        work_s: Remaining run time at full speed, in seconds.
        outcome: Outcome of the run once the work is done.

    Attributes:
        percent: Speed of the run, as a percentage of full speed.
    """

    __slots__ = ("command", "outcome", "percent", "work_s")

    def __init__(
        self,
        *,
        command: runners.StartRunCommand,
        work_s: float,
        outcome: tasks.Outcome,
    ):
        self.command = command
        self.work_s = work_s
        self.percent = 100
        self.outcome = outcome


class MemoryWorker:
    """Simulates a worker of the platform, with all its runs under one lease.

    Args:
        registration: Entry of the worker in the directory.
        work_s: Returns the run time of a task at full speed, in seconds,
            by task name.
        outcome_of: Returns the outcome of a run, by task name and run
            number; all runs succeed if None.
        longest_lease_s: A longer lease is shortened to this when its order
            arrives.

    Attributes:
        acknowledged: All ends that an acknowledgement has reached, as (task
            name, run number, outcome).
        forwards_calls: Whether connections outlive the process, as through a
            proxy, so that each instance gets the calls meant for others.
        started_unix_ms: Start time of this instance of the worker process.
        cut_from: Hosts whose calls do not reach the worker.
        ends: All ends of runs, as (task name, run number, outcome, time in
            seconds).
        has_left: Whether the worker has shut down, which ends its
            connections.
        is_refusing: Whether the worker's machine refuses connections, as
            only the process has ended there.
        is_dead: Whether the worker has crashed and not been restarted.
        keep_orders: Whether starts without an answer outlive the process that
            got them, so that the next instance may carry them out.
        lost_answer_delay_s: Delay after which a start whose answer is lost
            is executed, in seconds.
        checkpoint_of: Returns the checkpoint that a task reports, by its name.
        runs: Active runs, by task name.
        starts: All runs that were started, as (task name, run number, time
            in seconds).
        tail_latencies_ms: Tail latencies to report, by task name.
        token: Highest fencing token received.
        lost_answers: Number of subsequent calls that the fault applies to;
            starts and stops among them are executed but their answers are
            lost.
        lost_paces: Number of subsequent changes of pace that are lost.
    """

    __slots__ = (
        "_deferred",
        "_ends",
        "_last_end_number",
        "_lease_until_ms",
        "_longest_lease_s",
        "_outcome_of",
        "_refused_up_to",
        "_started_at_s",
        "_work_s",
        "acknowledged",
        "checkpoint_of",
        "started_unix_ms",
        "cut_from",
        "ends",
        "forwards_calls",
        "has_left",
        "is_dead",
        "is_refusing",
        "keep_orders",
        "lost_answer_delay_s",
        "registration",
        "runs",
        "starts",
        "tail_latencies_ms",
        "token",
        "lost_answers",
        "lost_paces",
    )

    def __init__(
        self,
        *,
        registration: runners.Registration,
        work_s: typing.Callable[[str], float],
        outcome_of: typing.Callable[[str, int], tasks.Outcome] | None = None,
        longest_lease_s: float = LONGEST_LEASE_S,
    ):
        self.registration = registration
        self._longest_lease_s = longest_lease_s
        self.forwards_calls = False
        self.keep_orders = False
        self._work_s = work_s
        self._outcome_of = outcome_of
        self.starts: list[tuple[str, int, float]] = []
        self.ends: list[tuple[str, int, str, float]] = []
        self.acknowledged: list[tuple[str, int, str]] = []
        self.checkpoint_of: typing.Callable[[str], str] = lambda _name: ""
        self.lost_answers = 0
        self.lost_paces = 0
        self.lost_answer_delay_s = 0.0
        self.cut_from: set[str] = set()
        self.has_left = False
        self.is_refusing = False
        self.is_dead = False
        self.started_unix_ms = 1000
        self.tail_latencies_ms: dict[str, float] = {}
        self._deferred: list[tuple[float, typing.Callable]] = []
        self._start_instance()

    def _start_instance(self) -> None:
        self._started_at_s = anyio.current_time()
        self.token = 0
        self._lease_until_ms = 0
        self._last_end_number = 0
        self._ends: list[runners.EndedRun] = []
        self._refused_up_to: dict[str, int] = {}
        self.runs: dict[str, MemoryRun] = {}

    def clock_ms(self) -> int:
        """Return the worker's clock, which starts with this instance."""
        return 1 + int((anyio.current_time() - self._started_at_s) * 1000)

    def crash(self) -> None:
        """Simulate a crash of the worker process, which ends all runs."""
        self.is_dead = True
        now_s = anyio.current_time()
        for name, run in self.runs.items():
            self.ends.append((name, run.command.run, "lost", now_s))
        self.runs.clear()
        # Commands that the process has received end with it.
        if not self.keep_orders:
            self._deferred.clear()

    def leave(self) -> None:
        """Shut down the worker process, which ends all runs."""
        self.has_left = True
        self.crash()

    def end_process(self) -> None:
        """End the worker process; its machine refuses connections then."""
        self.is_refusing = True
        self.crash()

    def restart(self) -> None:
        """Start a new instance of the worker process under the same id."""
        self.has_left = False
        self.is_refusing = False
        self.is_dead = False
        self.started_unix_ms += 1000
        self._start_instance()

    async def run(self) -> None:
        """Advance the runs until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            if self.is_dead:
                continue
            self._run_deferred()
            if self.runs and self.clock_ms() > self._lease_until_ms:
                for name in list(self.runs):
                    self._end(name, tasks.Outcome.LAPSED)
            for name, run in list(self.runs.items()):
                run.work_s -= TICK_S * run.percent / 100
                if run.work_s <= 0:
                    self._end(name, run.outcome)

    def defer(self, act: typing.Callable[[], typing.Any]) -> None:
        """Execute a command after a delay of lost_answer_delay_s.

        Args:
            act: Executes the command.
        """
        self._deferred.append(
            (anyio.current_time() + self.lost_answer_delay_s, act)
        )

    def _run_deferred(self) -> None:
        now_s = anyio.current_time()
        due = [act for at_s, act in self._deferred if at_s <= now_s]
        self._deferred = [item for item in self._deferred if item[0] > now_s]
        for act in due:
            act()

    def _end(self, name: str, outcome: tasks.Outcome) -> None:
        run = self.runs.pop(name)
        number = run.command.run
        self._refused_up_to[name] = max(
            self._refused_up_to.get(name, 0), number
        )
        self._last_end_number += 1
        self._ends.append(
            runners.EndedRun(
                number=self._last_end_number,
                task_name=name,
                run=number,
                outcome=outcome,
                checkpoint=self.checkpoint_of(name),
            )
        )
        self.ends.append((name, number, outcome, anyio.current_time()))

    def check_token(self, token: int) -> None:
        """Record a fencing token.

        Raises:
            FencedError: A higher token has been received.
        """
        if token < self.token:
            raise runners.FencedError("fenced")
        self.token = token

    def begin_run(
        self, command: runners.StartRunCommand
    ) -> runners.StartResult:
        """Start a run, unless the command is fenced, late or outdated."""
        try:
            self.check_token(command.token)
        except runners.FencedError:
            return runners.StartResult.FENCED
        if command.lease_until_ms < self.clock_ms():
            return runners.StartResult.TOO_LATE
        self._extend_lease(command.lease_until_ms)
        held = self.runs.get(command.task_name)
        if held is not None and held.command.run == command.run:
            return runners.StartResult.STARTED
        if command.run <= self._refused_up_to.get(command.task_name, 0):
            return runners.StartResult.OLD_RUN
        outcome = tasks.Outcome.DONE
        if self._outcome_of is not None:
            outcome = self._outcome_of(command.task_name, command.run)
        self.runs[command.task_name] = MemoryRun(
            command=command,
            work_s=self._work_s(command.task_name),
            outcome=outcome,
        )
        now_s = anyio.current_time()
        self.starts.append((command.task_name, command.run, now_s))
        return runners.StartResult.STARTED

    def stop_run(self, name: str, number: int) -> None:
        """Stop a run and refuse starts of runs up to its number."""
        run = self.runs.get(name)
        if run is not None and run.command.run <= number:
            self._end(name, tasks.Outcome.STOPPED)
        self._refused_up_to[name] = max(
            self._refused_up_to.get(name, 0), number
        )

    def report(self, acknowledged: int) -> runners.RunReport:
        """Return the active runs and the ends not yet acknowledged.

        Args:
            acknowledged: Number of the last end that is acknowledged.
        """
        self.acknowledged.extend(
            (end.task_name, end.run, end.outcome)
            for end in self._ends
            if end.number <= acknowledged
        )
        self._ends = [e for e in self._ends if e.number > acknowledged]
        return runners.RunReport(
            started_unix_ms=self.started_unix_ms,
            clock_ms=self.clock_ms(),
            active=[
                runners.ActiveRun(
                    task_name=name,
                    run=run.command.run,
                    checkpoint=self.checkpoint_of(name),
                    percent=run.percent,
                    signal=self.tail_latencies_ms.get(name, 0.0),
                )
                for name, run in self.runs.items()
            ],
            ended=self._ends[:MAX_REPORTED_ENDS],
            is_complete=len(self._ends) <= MAX_REPORTED_ENDS,
        )

    def renew(self, lease_until_ms: int) -> None:
        """Extend the lease.

        Args:
            lease_until_ms: End of the lease on the worker's clock.
        """
        self._extend_lease(lease_until_ms)

    def _extend_lease(self, until_ms: int) -> None:
        """Extend the lease of all runs, at most by the longest one."""
        longest_ms = self.clock_ms() + int(self._longest_lease_s * 1000)
        self._lease_until_ms = max(
            self._lease_until_ms, min(until_ms, longest_ms)
        )

    def has_unacknowledged_ends(self) -> bool:
        """Return whether ends of runs are not yet acknowledged."""
        return bool(self._ends)


class MemoryRunLink:
    """Link from a host to a simulated worker.

    Args:
        worker: The worker.
        host: Name of the host.
    """

    __slots__ = ("_host", "_worker")

    def __init__(self, *, worker: MemoryWorker, host: str):
        self._worker = worker
        self._host = host

    async def _reach(self) -> None:
        """Wait until a process at the worker's address gets a call.

        A connection is only made once a process is there, so that a call that
        was meant for an instance may reach the next one.

        Raises:
            LinkClosedError: None is there in time.
        """
        worker = self._worker
        waited_s = 0.0
        while worker.is_dead or self._host in worker.cut_from:
            if waited_s >= CALL_TIMEOUT_S:
                raise errors.LinkClosedError("no answer")
            await anyio.sleep(TICK_S)
            waited_s += TICK_S

    def _check_instance(self, started_unix_ms: int) -> None:
        """Check that a call has reached the instance that it is meant for.

        Raises:
            RestartedError: It has not, and was not carried out.
        """
        worker = self._worker
        if started_unix_ms in (0, worker.started_unix_ms):
            return
        if not worker.forwards_calls:
            raise runners.RestartedError("the worker has restarted")

    async def _apply_call_faults(self, started_unix_ms: int = 0) -> bool:
        """Delay a call; return whether its answer will be lost.

        Args:
            started_unix_ms: Instance that the call is meant for; 0 for any.

        Raises:
            LinkClosedError: The worker is dead or unreachable.
            RestartedError: Another instance would get the call.
        """
        worker = self._worker
        if worker.is_refusing and self._host not in worker.cut_from:
            await anyio.sleep(CALL_DELAY_S)
            raise runners.NotSentError("no process listens")
        await self._reach()
        await anyio.sleep(CALL_DELAY_S)
        if worker.is_dead:
            await self._apply_answer_faults(True)
        self._check_instance(started_unix_ms)
        if worker.lost_answers <= 0:
            return False
        worker.lost_answers -= 1
        return True

    async def _apply_answer_faults(self, is_lost: bool) -> None:
        worker = self._worker
        self._check_process()
        if is_lost or worker.is_dead or self._host in worker.cut_from:
            await anyio.sleep(CALL_TIMEOUT_S)
            raise errors.LinkClosedError("no answer")

    def _check_process(self) -> None:
        """Check that the process has not ended during a call.

        Raises:
            LinkEndedError: It has, which ended the connection of the call.
        """
        worker = self._worker
        if worker.is_refusing and self._host not in worker.cut_from:
            raise errors.LinkEndedError("the process has ended")

    async def start(
        self, command: runners.StartRunCommand
    ) -> runners.StartResult:
        """Start a run."""
        is_lost = await self._apply_call_faults(command.started_unix_ms)
        if is_lost:
            self._worker.defer(lambda: self._worker.begin_run(command))
            await self._apply_answer_faults(True)
        answer = self._worker.begin_run(command)
        clock_ms = self._worker.clock_ms()
        await self._apply_answer_faults(False)
        runners.check_clock(command, clock_ms)
        return answer

    async def stop(self, task_name: str, run: int, token: int) -> None:
        """Stop a run."""
        is_lost = await self._apply_call_faults()
        self._worker.check_token(token)
        self._worker.stop_run(task_name, run)
        await self._apply_answer_faults(is_lost)

    async def pace(
        self, task_name: str, run: int, percent: int, token: int
    ) -> None:
        """Set the speed of a run, as a percentage of full speed."""
        await self._apply_call_faults()
        if self._worker.lost_paces > 0:
            self._worker.lost_paces -= 1
            await self._apply_answer_faults(True)
        self._worker.check_token(token)
        held = self._worker.runs.get(task_name)
        if held is not None and held.command.run == run:
            held.percent = percent
        await self._apply_answer_faults(False)

    async def renew(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
        started_unix_ms: int = 0,
    ) -> runners.RunReport:
        """Renew the lease, acknowledge ends and return a report.

        Waits up to wait_ms for the next end of a run.
        """
        worker = self._worker
        await self._apply_call_faults(started_unix_ms)
        worker.check_token(token)
        worker.renew(lease_until_ms)
        worker.report(acknowledged)
        instance = worker.started_unix_ms
        waited_s = 0.0
        while (
            waited_s < wait_ms / 1000 and not worker.has_unacknowledged_ends()
        ):
            await anyio.sleep(TICK_S)
            waited_s += TICK_S
            if worker.started_unix_ms != instance:
                raise errors.LinkClosedError("the worker has restarted")
            self._check_process()
            if worker.has_left:
                raise errors.LinkEndedError("the worker has left")
        await self._apply_answer_faults(False)
        worker.check_token(token)
        return worker.report(acknowledged)

    async def aclose(self) -> None:
        """Do nothing; there are no connections."""
