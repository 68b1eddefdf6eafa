"""Sends start and stop commands to workers."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import late_starts
from wisteriawood.cells import runs
from wisteriawood.cells import single_commands
from wisteriawood.cells import start_checks
from wisteriawood.cells import tables
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Connections over which commands go to one worker in parallel.
CONNECTIONS_PER_WORKER = 2
# Attempts to send a start before the run is stopped.
START_TRIES = 3
RETRY_DELAY_S = 0.1
STOP_RETRY_DELAY_S = 0.3
# Initial pace of a pinned filler, in percent of full speed; such a filler runs
# beside serving tasks although it exceeds the load limits.
PINNED_PACE_PERCENT = 15
# Age of an answer up to which a standing task is started without asking for
# another one.
FRESH_ANSWER_S = 0.05
# Time for which an unhealthy worker gets no new runs.
UNHEALTHY_PAUSE_S = 2.0


class CommandSender:
    """Sends commands to one worker over one connection.

    Args:
        cell: The cell.
        worker: The worker.
    """

    __slots__ = ("_cell", "_commands", "_worker")

    def __init__(self, *, cell: cells.Cell, worker: workers.Worker):
        self._cell = cell
        self._commands = worker.commands_out.clone()
        self._worker = worker

    async def run(self) -> None:
        """Send commands until the worker is closed.

        Raises:
            CellLostError: The worker has a newer holder.
        """
        try:
            with self._commands:
                async for run in self._commands:
                    await self._execute_or_stop(run)
        except runners.FencedError as exc:
            raise tables.CellLostError(
                f"worker {self._worker.id} has a newer holder"
            ) from exc

    async def _execute_or_stop(self, run: runs.Run) -> None:
        """Execute a command; after an unexpected error, stop its run.

        What reached the worker is not known then.
        """
        backoff = supervision.Backoff()
        while True:
            try:
                await self._execute(run)
                return
            except (runners.FencedError, tables.CellLostError):
                raise
            except Exception as exc:
                self._cell.supervisor.record("command", run.name, exc)
            run.is_stopping = True
            await anyio.sleep(backoff.next_delay_s())

    async def _execute(self, run: runs.Run) -> None:
        if not self._may_be_on_worker(run):
            return
        if run.is_stopping:
            await self._stop(run)
        else:
            await self._start(run)

    def _may_be_on_worker(self, run: runs.Run) -> bool:
        """Return whether the run is on the worker or may still start there."""
        return self._worker.runs.get(run.name) is run

    async def _start(self, run: runs.Run) -> None:
        for attempt in range(START_TRIES):
            if run.is_stopping or not self._may_be_on_worker(run):
                return
            obstacle = await self._find_obstacle(run)
            if run.is_stopping or not self._may_be_on_worker(run):
                # It has ended meanwhile, and its task may run elsewhere.
                return
            if obstacle:
                await self._withhold(run, obstacle)
                return
            answer = await self._send_start(run)
            if answer is None or answer is runners.StartResult.TOO_LATE:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if answer is runners.StartResult.STARTED:
                run.mark_answered(anyio.current_time())
                run.confirm(run.answered_at_s)
                if run.step.is_standing:
                    self._cell.on_standing_start()
                if run.is_pinned:
                    run.pace_percent = PINNED_PACE_PERCENT
                    single_commands.send_pace(self._cell, self._worker, run)
                if run.step.is_filler:
                    self._worker.record_shares(run.answered_at_s)
                self._cell.counters.started_s.observe(
                    run.answered_at_s - run.assigned_at_s
                )
                return
            self._handle_refusal(run, answer, is_first=attempt == 0)
            return
        _LOG.log(
            job_events.RUN_START_UNANSWERED,
            worker=self._worker.id,
            task=run.name,
            run=run.number,
            tries=START_TRIES,
        )
        # A start without an answer may take effect later. Only an answered
        # stop rules that out.
        self._worker.record_refusal(anyio.current_time())
        run.is_stopping = True
        await self._stop(run)

    async def _find_obstacle(self, run: runs.Run) -> str:
        """Return why a run may not be started now; empty if it may.

        The task of a start without an answer waits longer than the lease of a
        lost worker. A standing task should not: its worker has to answer
        right before.
        """
        obstacle = start_checks.find_obstacle(self._cell, self._worker)
        if not obstacle and not self._worker.started_unix_ms:
            obstacle = "the instance of the worker is not known yet"
        if not obstacle and self._worker.lease.is_withheld:
            obstacle = "its lease is not extended"
        if obstacle or not run.step.is_standing:
            return obstacle
        if not await self._is_answering():
            self._worker.record_refusal(anyio.current_time())
            return "the worker does not answer"
        return start_checks.find_obstacle(self._cell, self._worker)

    async def _is_answering(self) -> bool:
        """Return whether the known instance of the worker answers now."""
        worker = self._worker
        if anyio.current_time() - worker.answered_at_s <= FRESH_ANSWER_S:
            return True
        started_unix_ms, token = worker.started_unix_ms, worker.token
        try:
            report = await worker.link.renew(
                token=token,
                acknowledged=0,
                lease_until_ms=0,
                wait_ms=0,
                started_unix_ms=started_unix_ms,
            )
        except runners.FencedError:
            worker.check_fence(token)
            return False
        except runners.RestartedError:
            worker.end_instance(started_unix_ms)
            return False
        except errors.LinkError:
            return False
        if report.started_unix_ms != started_unix_ms:
            worker.end_instance(started_unix_ms)
            return False
        return True

    async def _withhold(self, run: runs.Run, obstacle: str) -> None:
        """Give up a start that may not be sent now; its task waits again."""
        _LOG.log(
            job_events.RUN_START_WITHHELD,
            worker=self._worker.id,
            task=run.name,
            run=run.number,
            cause=obstacle,
            assigned_s_ago=round(anyio.current_time() - run.assigned_at_s, 3),
            directory_age_s=round(self._cell.directory.age_s(), 3),
        )
        start_checks.withdraw(self._cell, self._worker, run)
        if run.was_sent:
            # An attempt without an answer may still take effect.
            await self._stop(run)
        self._cell.request_placement()

    async def _send_start(self, run: runs.Run) -> runners.StartResult | None:
        worker = self._worker
        command = runners.StartRunCommand(
            task_name=run.name,
            run=run.number,
            payload=run.job.spec.payload,
            lease_until_ms=worker.lease_for_start(anyio.current_time()),
            token=worker.token,
            started_unix_ms=worker.started_unix_ms,
            least_clock_ms=worker.lease.least_clock_ms(anyio.current_time()),
            checkpoint=run.task.checkpoint,
        )
        run.was_sent = True
        late_before_s = run.late_start_until_s
        run.late_start_until_s = (
            anyio.current_time() + late_starts.LATE_ORDER_S
        )
        try:
            answer = await worker.link.start(command)
        except runners.OtherInstanceError:
            return None
        except runners.NotSentError:
            run.late_start_until_s = late_before_s
            return None
        except runners.RestartedError:
            run.late_start_until_s = late_before_s
            worker.end_instance(command.started_unix_ms)
            return None
        except runners.MisdirectedError as exc:
            _LOG.log(
                job_events.RUN_START_MISDIRECTED,
                worker=worker.id,
                task=run.name,
                run=run.number,
                cause=str(exc),
            )
            worker.end_instance(command.started_unix_ms)
            return None
        except runners.FencedError:
            raise
        except errors.LinkError:
            run.late_start_until_s = (
                anyio.current_time() + late_starts.LATE_ORDER_S
            )
            return None
        run.late_start_until_s = late_before_s
        if answer is runners.StartResult.FENCED:
            worker.check_fence(command.token)
            return None
        return answer

    def _handle_refusal(
        self, run: runs.Run, answer: runners.StartResult, *, is_first: bool
    ) -> None:
        worker = self._worker
        now_s = anyio.current_time()
        _LOG.log(
            job_events.RUN_START_REFUSED,
            worker=worker.id,
            task=run.name,
            run=run.number,
            answer=answer,
        )
        worker.record_refusal(now_s)
        if answer is runners.StartResult.UNHEALTHY:
            worker.avoided_until_s = now_s + UNHEALTHY_PAUSE_S
        run.mark_answered(now_s)
        if answer is runners.StartResult.OLD_RUN:
            # The next report lists the run as ended or omits it; an omitted
            # run is recorded as ended.
            return
        if is_first:
            self._cell.end_run(worker, run, tasks.Outcome.STOPPED)
            self._cell.request_placement()
            return
        # An earlier attempt without an answer may still take effect.
        run.is_answered = False
        run.is_stopping = True
        worker.queue_command(run)

    async def _stop(self, run: runs.Run) -> None:
        while self._may_be_on_worker(run):
            token = self._worker.token
            try:
                await self._worker.link.stop(run.name, run.number, token)
            except runners.FencedError:
                self._worker.check_fence(token)
                continue
            except errors.LinkError:
                await anyio.sleep(STOP_RETRY_DELAY_S)
                continue
            run.mark_answered(anyio.current_time())
            return
