"""A worker in memory that runs tasks under one lease."""

import typing

import anyio

from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners

TICK_S = 0.02
CALL_S = 0.002
TIMEOUT_S = 0.8


class MemoryRun:
    """A run on a worker in memory.

    Args:
        order: The start.
        work_s: Work left.

    Attributes:
        percent: Share of its speed that it is allowed.
        outcome: How it will end.
    """

    __slots__ = ("order", "outcome", "percent", "work_s")

    def __init__(
        self,
        *,
        order: runners.StartOrder,
        work_s: float,
        outcome: tasks.Outcome,
    ):
        self.order = order
        self.work_s = work_s
        self.percent = 100
        self.outcome = outcome


class MemoryWorker:
    """A worker that does what the platform's workers do.

    Args:
        registration: What the directory says of it.
        work_s: Tells the work of a task, by its name.
        outcome_of: Tells how a run ends, by task and number.

    Attributes:
        starts: All runs that ever began, as (name, number, time).
        ends: All ends, as (name, number, outcome, time).
        lost_answers: Orders to come that are carried out without answer.
        lost_answer_delay_s: Time after which those are carried out.
        cut_from: Hosts from which nothing comes through.
    """

    __slots__ = (
        "_born_at_s",
        "_ends",
        "_late",
        "_lease_until_ms",
        "_number",
        "_outcome_of",
        "_refused",
        "_work_s",
        "born_unix_ms",
        "cut_from",
        "ends",
        "is_dead",
        "lost_answer_delay_s",
        "lost_answers",
        "registration",
        "runs",
        "starts",
        "tails",
        "token",
    )

    def __init__(
        self,
        *,
        registration: runners.Registration,
        work_s: typing.Callable[[str], float],
        outcome_of: typing.Callable[[str, int], tasks.Outcome] | None = None,
    ):
        self.registration = registration
        self._work_s = work_s
        self._outcome_of = outcome_of
        self.starts: list[tuple[str, int, float]] = []
        self.ends: list[tuple[str, int, str, float]] = []
        self.lost_answers = 0
        self.lost_answer_delay_s = 0.0
        self.cut_from: set[str] = set()
        self.is_dead = False
        self.born_unix_ms = 1000
        self.tails: dict[str, float] = {}
        self._late: list[tuple[float, typing.Callable]] = []
        self._begin()

    def _begin(self) -> None:
        self._born_at_s = anyio.current_time()
        self.token = 0
        self._lease_until_ms = 0
        self._number = 0
        self._ends: list[runners.EndedRun] = []
        self._refused: dict[str, int] = {}
        self.runs: dict[str, MemoryRun] = {}

    def clock_ms(self) -> int:
        """Return the worker's clock, which starts with its life."""
        return 1 + int((anyio.current_time() - self._born_at_s) * 1000)

    def crash(self) -> None:
        """End this life; all runs are over at once."""
        self.is_dead = True
        self.runs.clear()

    def restart(self) -> None:
        """Begin a new life under the same id."""
        self.is_dead = False
        self.born_unix_ms += 1000
        self._begin()

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            if self.is_dead:
                continue
            self._carry_out_late()
            if self.runs and self.clock_ms() > self._lease_until_ms:
                for name in list(self.runs):
                    self._end(name, tasks.Outcome.LAPSED)
            for name, run in list(self.runs.items()):
                run.work_s -= TICK_S * run.percent / 100
                if run.work_s <= 0:
                    self._end(name, run.outcome)

    def put_off(self, act: typing.Callable[[], typing.Any]) -> None:
        """Carry out an order after the worker's delay.

        Args:
            act: Carries it out.
        """
        self._late.append(
            (anyio.current_time() + self.lost_answer_delay_s, act)
        )

    def _carry_out_late(self) -> None:
        now_s = anyio.current_time()
        due = [act for at_s, act in self._late if at_s <= now_s]
        self._late = [late for late in self._late if late[0] > now_s]
        for act in due:
            act()

    def _end(self, name: str, outcome: tasks.Outcome) -> None:
        run = self.runs.pop(name)
        number = run.order.run
        self._refused[name] = max(self._refused.get(name, 0), number)
        self._number += 1
        self._ends.append(
            runners.EndedRun(
                number=self._number,
                task_name=name,
                run=number,
                outcome=outcome,
                checkpoint="",
            )
        )
        self.ends.append((name, number, outcome, anyio.current_time()))

    def check_token(self, token: int) -> None:
        """Take note of a token.

        Raises:
            FencedError: A higher one was seen.
        """
        if token < self.token:
            raise runners.FencedError("fenced")
        self.token = token

    def begin_run(self, order: runners.StartOrder) -> runners.StartAnswer:
        """Carry out a start."""
        try:
            self.check_token(order.token)
        except runners.FencedError:
            return runners.StartAnswer.FENCED
        if order.lease_until_ms < self.clock_ms():
            return runners.StartAnswer.TOO_LATE
        self._lease_until_ms = max(self._lease_until_ms, order.lease_until_ms)
        held = self.runs.get(order.task_name)
        if held is not None and held.order.run == order.run:
            return runners.StartAnswer.STARTED
        if order.run <= self._refused.get(order.task_name, 0):
            return runners.StartAnswer.OLD_RUN
        outcome = tasks.Outcome.DONE
        if self._outcome_of is not None:
            outcome = self._outcome_of(order.task_name, order.run)
        self.runs[order.task_name] = MemoryRun(
            order=order,
            work_s=self._work_s(order.task_name),
            outcome=outcome,
        )
        now_s = anyio.current_time()
        self.starts.append((order.task_name, order.run, now_s))
        return runners.StartAnswer.STARTED

    def stop_run(self, name: str, number: int) -> None:
        """Carry out a stop."""
        run = self.runs.get(name)
        if run is not None and run.order.run <= number:
            self._end(name, tasks.Outcome.STOPPED)
        self._refused[name] = max(self._refused.get(name, 0), number)

    def report(self, acknowledged: int) -> runners.RunReport:
        """Return the runs and the ends that were not acknowledged."""
        self._ends = [e for e in self._ends if e.number > acknowledged]
        return runners.RunReport(
            born_unix_ms=self.born_unix_ms,
            clock_ms=self.clock_ms(),
            active=[
                runners.ActiveRun(
                    task_name=name,
                    run=run.order.run,
                    percent=run.percent,
                    signal=self.tails.get(name, 0.0),
                )
                for name, run in self.runs.items()
            ],
            ended=list(self._ends),
        )

    def renew(self, lease_until_ms: int) -> None:
        """Extend the lease."""
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)

    def has_ends(self) -> bool:
        """Tell whether an end waits for its acknowledgement."""
        return bool(self._ends)


class MemoryRunLink:
    """Calls of one host to a worker in memory.

    Args:
        worker: The worker.
        host: Name of the host.
    """

    __slots__ = ("_host", "_worker")

    def __init__(self, *, worker: MemoryWorker, host: str):
        self._worker = worker
        self._host = host

    async def _arrive(self) -> bool:
        """Reach the worker; return whether the answer will be lost.

        Raises:
            LinkClosedError: The worker is not reached.
        """
        worker = self._worker
        if worker.is_dead or self._host in worker.cut_from:
            await anyio.sleep(TIMEOUT_S)
            raise errors.LinkClosedError("no answer")
        await anyio.sleep(CALL_S)
        if worker.lost_answers <= 0:
            return False
        worker.lost_answers -= 1
        return True

    async def _answer(self, is_lost: bool) -> None:
        worker = self._worker
        if is_lost or worker.is_dead or self._host in worker.cut_from:
            await anyio.sleep(TIMEOUT_S)
            raise errors.LinkClosedError("no answer")

    async def start(self, order: runners.StartOrder) -> runners.StartAnswer:
        """Start a run."""
        is_lost = await self._arrive()
        if is_lost:
            self._worker.put_off(lambda: self._worker.begin_run(order))
            await self._answer(True)
        answer = self._worker.begin_run(order)
        await self._answer(False)
        return answer

    async def stop(self, task_name: str, run: int, token: int) -> None:
        """Stop a run."""
        is_lost = await self._arrive()
        self._worker.check_token(token)
        self._worker.stop_run(task_name, run)
        await self._answer(is_lost)

    async def pace(
        self, task_name: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed."""
        await self._arrive()
        self._worker.check_token(token)
        held = self._worker.runs.get(task_name)
        if held is not None and held.order.run == run:
            held.percent = percent
        await self._answer(False)

    async def renew(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> runners.RunReport:
        """Renew the lease, acknowledge ends and return the runs."""
        worker = self._worker
        await self._arrive()
        worker.check_token(token)
        worker.renew(lease_until_ms)
        worker.report(acknowledged)
        waited_s = 0.0
        while waited_s < wait_ms / 1000 and not worker.has_ends():
            await anyio.sleep(TICK_S)
            waited_s += TICK_S
        await self._answer(False)
        worker.check_token(token)
        return worker.report(acknowledged)

    async def aclose(self) -> None:
        """Do nothing; there are no connections."""
