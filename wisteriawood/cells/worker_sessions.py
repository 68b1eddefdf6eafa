"""Sessions with workers: lease renewals, reports and acknowledgements."""

import math

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import job_writers
from wisteriawood.cells import late_starts
from wisteriawood.cells import runs
from wisteriawood.cells import single_commands
from wisteriawood.cells import tables
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.links import transport_errors
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Longest time for which a worker may delay the answer to a renewal; a third of
# the shortest lease remains after it.
RENEW_WAIT_MS = 1000
# Used instead while fillers run beside a serving task whose tail latency is at
# least HIGH_LATENCY_RATIO of its bound.
HIGH_LATENCY_WAIT_MS = 400
HIGH_LATENCY_RATIO = 0.8
# Time in which a worker usually answers a call.
USUAL_CALL_S = 0.3
# Longest wait for the commit of ended runs before the next renewal.
COMMIT_WAIT_S = 0.25
# Pause between renewals while that commit is pending.
COMMIT_PENDING_PAUSE_S = 0.5
# Time in which the entry of a live worker returns that the directory removed
# while the store was away.
RETURN_S = 2.0
# Time after a failed renewal in which a retry is answered if only its
# connection was lost, and if the worker answers slowly.
RETRY_ANSWER_S = 0.15
SLOW_ANSWER_S = 0.5
# Pause between renewals that may not extend the lease; the first one that may
# is sent this soon after the row of leases is stored.
WITHHELD_PAUSE_S = 0.1
# The same while ends are held back until the store was read.
HELD_ENDS_PAUSE_S = 0.1
RETRY_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 0.5
# Standing tasks that the log line about a lost worker names at most.
MAX_NAMED_TASKS = 12


class WorkerSession:
    """Session of a cell's holder with one worker.

    It renews the worker's lease, processes its run reports and acknowledges
    the ended runs whose jobs are in the store.

    Args:
        cell: The cell.
        worker: The worker.
    """

    __slots__ = (
        "_answered_acknowledgement",
        "_cell",
        "_has_ended_connection",
        "_has_restarted",
        "_held_since_s",
        "_is_fenced",
        "_processed",
        "_restarts",
        "_uncommitted",
        "_unknown_since_s",
        "_worker",
    )

    def __init__(self, *, cell: cells.Cell, worker: workers.Worker):
        self._cell = cell
        self._worker = worker
        # Whether the worker itself ended the connection of the first call
        # that failed.
        self._has_ended_connection = False
        # Number of restarts of the worker after which the rest was learned,
        # and whether no report has followed the last of them.
        self._restarts = worker.restarts
        self._has_restarted = False
        # Whether the known instance has answered a call with the present
        # token, from when on it rejects what was sent with an earlier one.
        self._is_fenced = False
        # Number of the last end whose acknowledgement was answered.
        self._answered_acknowledgement = 0
        self._uncommitted: list[tuple[list[job_writers.JobWrite], int]] = []
        # Monotonic times since which ends are held back, as their jobs may be
        # in the store, by number; and the numbers of processed ends after
        # them.
        self._held_since_s: dict[int, float] = {}
        self._processed: set[int] = set()
        # Monotonic times since which runs of unknown jobs have been reported.
        self._unknown_since_s: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Manage the worker until it has left and nothing can run on it.

        The session also ends if another instance of the worker process
        answers at the worker's address.

        Raises:
            CellLostError: The worker has a newer holder, or reports a run
                that is newer than what was read of its job.
        """
        delay_s = RETRY_DELAY_S
        backoff = supervision.Backoff()
        while not self._is_finished():
            try:
                await self._renew()
            except runners.FencedError as exc:
                raise tables.CellLostError(
                    f"worker {self._worker.id} has a newer holder"
                ) from exc
            except runners.OtherInstanceError:
                break
            except tables.CellLostError:
                raise
            except errors.LinkError as exc:
                self._handle_no_answer(exc)
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)
                continue
            except Exception as exc:
                # The lease ends unless a later report can be processed.
                self._cell.supervisor.record(
                    "worker session", self._worker.id, exc
                )
                self._handle_no_answer(exc)
                await anyio.sleep(backoff.next_delay_s())
                continue
            delay_s = RETRY_DELAY_S
            await self._wait_for_commits()
            if self._worker.lease.is_withheld:
                await anyio.sleep(WITHHELD_PAUSE_S)
            elif self._held_since_s:
                await anyio.sleep(HELD_ENDS_PAUSE_S)
        self._end_session()

    def _is_finished(self) -> bool:
        """Return whether nothing can run on the worker any more."""
        worker = self._worker
        if not worker.is_gone or worker.is_answering:
            return False
        if self._has_left():
            self._drop_ended_runs()
            return not worker.runs
        return worker.has_lapsed(anyio.current_time())

    def _has_left(self) -> bool:
        """Return whether the worker has drained and its process has ended.

        A worker that is cut off may lose its entry too, and run on. It does
        not end its connections.
        """
        worker = self._worker
        if not worker.registration.is_draining:
            return False
        if worker.answered_at_s:
            return self._has_ended_connection
        return self._cell.directory.has_left(worker.id, RETURN_S)

    def _drop_ended_runs(self) -> None:
        """Drop the runs that have ended with a worker that has left.

        A start without an answer may take effect if it comes back.
        """
        worker = self._worker
        now_s = anyio.current_time()
        ended = [
            run
            for run in worker.runs.values()
            if now_s >= worker.late_start_ends_s(run)
        ]
        drop_runs(self._cell, worker, ended, "worker left")

    def _handle_no_answer(self, cause: Exception) -> None:
        worker = self._worker
        if worker.is_answering:
            worker.is_answering = False
            self._has_ended_connection = isinstance(
                cause, errors.LinkEndedError
            )
            fault = transport_errors.find_fault(cause)
            is_timeout = fault.kind == TimeoutError.__name__
            worker.lost_from_s = anyio.current_time() + (
                SLOW_ANSWER_S if is_timeout else RETRY_ANSWER_S
            )
            standing = [
                run.name
                for run in worker.runs.values()
                if run.step.is_standing
            ]
            _LOG.log(
                job_events.RUN_WORKER_LOST,
                worker=worker.id,
                runs=len(worker.runs),
                cause=str(cause),
                kind=fault.kind,
                errno=fault.errno_name,
                standing=standing[:MAX_NAMED_TASKS],
                standing_count=len(standing),
                silent_s=round(anyio.current_time() - worker.answered_at_s, 3),
            )
            self._cell.on_answering_change()

    async def _renew(self) -> None:
        worker = self._worker
        self._follow_restart()
        sent_at_s = anyio.current_time()
        token = worker.token
        # After a failed call the lease is not extended: if the worker is
        # partitioned, the end of its lease is what stops its runs. Another
        # instance may answer then, and it numbers its ends from one again.
        is_answering = worker.is_answering
        is_known = is_answering and worker.started_unix_ms > 0
        until_ms = worker.lease.grant(sent_at_s) if is_known else 0
        acknowledged = self._next_acknowledgement() if is_known else 0
        if until_ms:
            worker.renewed_at_s = sent_at_s
        is_waiting = (
            is_known
            and self._is_fenced
            and not self._uncommitted
            and not self._held_since_s
            and not worker.lease.is_withheld
        )
        wait_ms = self._wait_ms() if is_waiting else 0
        worker.answer_due_at_s = sent_at_s + wait_ms / 1000 + USUAL_CALL_S
        report = await self._send_renewal(
            token=token,
            acknowledged=acknowledged,
            lease_until_ms=until_ms,
            wait_ms=wait_ms,
            started_unix_ms=worker.started_unix_ms if is_known else 0,
        )
        now_s = anyio.current_time()
        worker.answer_due_at_s = math.inf
        if report is None:
            return
        self._answered_acknowledgement = max(
            self._answered_acknowledgement, acknowledged
        )
        worker.lease.record_clock(report.clock_ms, now_s)
        worker.answered_at_s = now_s
        if not is_answering:
            worker.is_answering = True
            self._cell.on_answering_change()
            _LOG.log(
                job_events.RUN_WORKER_FOUND,
                worker=worker.id,
                active=len(report.active),
                ended=len(report.ended),
                token=token,
            )
        self._process_report(report, sent_at_s, token)

    async def _send_renewal(self, **fields) -> runners.RunReport | None:
        """Send a renewal and return the report.

        Args:
            **fields: Arguments of RunLink.renew.

        Returns:
            The report; None if a restart was noticed meanwhile, so that it
            may be of the instance that has ended.
        """
        worker, report = self._worker, None
        try:
            with anyio.CancelScope() as worker.renewal:
                report = await worker.link.renew(**fields)
        except runners.FencedError:
            worker.check_fence(fields["token"])
        except runners.RestartedError:
            worker.end_instance(fields["started_unix_ms"])
            raise
        finally:
            worker.renewal = None
        return report if worker.restarts == self._restarts else None

    def _next_acknowledgement(self) -> int:
        """Return the number of the end to acknowledge; 0 for none.

        An acknowledgement is not repeated once it was answered, as the next
        instance of the worker's process might get it.
        """
        if self._worker.acknowledged <= self._answered_acknowledgement:
            return 0
        return self._worker.acknowledged

    def _wait_ms(self) -> int:
        worker = self._worker
        is_latency_high = worker.filler_millicores > 0 and any(
            run.step.tail_target_ms > 0
            and run.latency_ratio() >= HIGH_LATENCY_RATIO
            for run in worker.runs.values()
        )
        return HIGH_LATENCY_WAIT_MS if is_latency_high else RENEW_WAIT_MS

    def _process_report(
        self, report: runners.RunReport, sent_at_s: float, token: int
    ) -> None:
        worker = self._worker
        now_s = anyio.current_time()
        if worker.started_unix_ms not in (0, report.started_unix_ms):
            worker.end_instance(worker.started_unix_ms)
            self._follow_restart()
        if self._has_restarted:
            self._log_restart(report, token)
        if not self._is_fenced:
            self._include_misdirected(report, now_s)
        self._is_fenced = token == worker.token
        # Nothing is sent to an instance that has not answered the token.
        worker.started_unix_ms = (
            report.started_unix_ms if self._is_fenced else 0
        )
        writes = self._process_ended_runs(report, now_s)
        listed = self._process_active_runs(report, now_s)
        for run in list(worker.runs.values()):
            # A report lists all runs on the worker. A run that it omits, and
            # for which the worker answered before the renewal, has ended; how,
            # the next report tells if this one has not all ends. Until the
            # instance has answered the token, an earlier start may follow.
            if (
                report.is_complete
                and run.name not in listed
                and run.is_answered
                and run.answered_at_s < sent_at_s
                and (self._is_fenced or now_s > worker.late_start_until_s(run))
            ):
                self._cell.end_run(worker, run, tasks.Outcome.LAPSED)
        worker.learn(self._cell.model, now_s)
        self._cell.request_placement()
        if writes or worker.last_processed_end > worker.acknowledged:
            self._uncommitted.append((writes, worker.last_processed_end))

    def _log_restart(self, report: runners.RunReport, token: int) -> None:
        """Log the first report of the next instance of the worker."""
        worker = self._worker
        self._has_restarted = False
        _LOG.log(
            job_events.RUN_WORKER_RESTARTED,
            worker=worker.id,
            runs=len(worker.runs),
            active=len(report.active),
            ended=len(report.ended),
            age_s=report.clock_ms / 1000,
            token=worker.token,
            is_fenced=token == worker.token,
        )

    def _include_misdirected(
        self, report: runners.RunReport, now_s: float
    ) -> None:
        """Count with orders of the former instance that this one has taken."""
        age_s = report.clock_ms / 1000
        lease = self._worker.lease
        if age_s < late_starts.LATE_ORDER_S + lease.longest_s - lease.length_s:
            lease.include_longest(now_s)

    def _process_ended_runs(
        self, report: runners.RunReport, now_s: float
    ) -> list[job_writers.JobWrite]:
        """Process the ends that are new, and those that were held back.

        An end may be acknowledged once it is stored, or once the store is
        known to have nothing that it belongs to. The worker forgets all ends
        up to the acknowledged one, so that one that is held back keeps the
        later ones listed.

        Returns:
            The writes to wait for before the ends are acknowledged.
        """
        worker = self._worker
        writes = []
        held_since_s: dict[int, float] = {}
        for end in report.ended:
            if self._is_processed(end):
                continue
            since_s = self._held_since_s.get(end.number, now_s)
            is_settled, write = self._process_end(end, since_s)
            if write is not None:
                writes.append(write)
            if is_settled:
                self._processed.add(end.number)
            else:
                held_since_s[end.number] = since_s
        for end in report.ended:
            if end.number in held_since_s:
                break
            worker.last_processed_end = max(
                worker.last_processed_end, end.number
            )
        self._processed = {
            number
            for number in self._processed
            if number > worker.last_processed_end
        }
        self._held_since_s = held_since_s
        return writes

    def _is_processed(self, end: runners.EndedRun) -> bool:
        return (
            end.number <= self._worker.last_processed_end
            or end.number in self._processed
        )

    def _process_end(
        self, end: runners.EndedRun, since_s: float
    ) -> tuple[bool, job_writers.JobWrite | None]:
        """Process an end.

        Args:
            end: The end.
            since_s: Monotonic time of the first report that listed it.

        Returns:
            Whether all is done about it once the write, if any, is stored.
        """
        worker, cell = self._worker, self._cell
        run = worker.runs.get(end.task_name)
        if run is not None and run.number == end.run:
            return True, cell.end_run(worker, run, end.outcome, end.checkpoint)
        cell.check_reported_run(end.task_name, end.run)
        job = cell.find_job_of(end.task_name)
        if job is not None:
            return True, cell.record_late_end(worker, job, end)
        return cell.is_foreign(end.task_name, since_s), None

    def _process_active_runs(
        self, report: runners.RunReport, now_s: float
    ) -> set[str]:
        worker = self._worker
        listed = set()
        if self._unknown_since_s:
            reported = {(a.task_name, a.run) for a in report.active}
            self._unknown_since_s = {
                key: since_s
                for key, since_s in self._unknown_since_s.items()
                if key in reported
            }
        for active in report.active:
            run = worker.runs.get(active.task_name)
            if run is None or run.number != active.run:
                self._cell.check_reported_run(active.task_name, active.run)
                if self._is_certainly_unknown(active, now_s):
                    self._stop_unknown_run(active)
                continue
            listed.add(run.name)
            if run.job.is_ended() and not run.is_stopping:
                # The former holder ended the job but did not stop this run.
                self._cell.stop_run(worker, run)
            if not run.is_confirmed:
                run.confirm(now_s)
                worker.record_shares(now_s)
            run.checkpoint = self._cell.take_checkpoint(
                run.name, active.checkpoint, run.checkpoint
            )
            run.speed_percent = active.percent
            if not run.is_pace_known:
                run.is_pace_known = True
                run.pace_percent = min(100, int(active.percent))
            run.signal = active.signal
        return listed

    def _is_certainly_unknown(
        self, active: runners.ActiveRun, now_s: float
    ) -> bool:
        """Return whether no job of the cell can have a reported run."""
        if self._cell.find_job_of(active.task_name) is not None:
            return True
        key = (active.task_name, active.run)
        since_s = self._unknown_since_s.setdefault(key, now_s)
        return self._cell.is_foreign(active.task_name, since_s)

    def _stop_unknown_run(self, active: runners.ActiveRun) -> None:
        worker = self._worker
        _LOG.log(
            job_events.RUN_UNKNOWN,
            worker=worker.id,
            task=active.task_name,
            run=active.run,
        )
        single_commands.stop_unknown_run(self._cell, worker, active)

    async def _wait_for_commits(self) -> None:
        """Acknowledge ended runs if their commit is done in COMMIT_WAIT_S."""
        self._follow_restart()
        if not self._uncommitted:
            return
        writes, number = self._uncommitted[0]
        with anyio.move_on_after(COMMIT_WAIT_S):
            await self._cell.writer.wait_until_stored(writes)
            if self._worker.restarts != self._restarts:
                return
            self._uncommitted.pop(0)
            self._worker.acknowledged = number
            return
        await anyio.sleep(COMMIT_PENDING_PAUSE_S)

    def _follow_restart(self) -> None:
        """Forget what was learned of an instance that has ended since.

        Runs that started on the next instance already are in its report. The
        others count as omitted.
        """
        if self._restarts == self._worker.restarts:
            return
        self._restarts = self._worker.restarts
        self._has_restarted = True
        self._held_since_s.clear()
        self._processed.clear()
        self._uncommitted.clear()
        self._is_fenced = False
        self._answered_acknowledgement = 0

    def _end_session(self) -> None:
        worker = self._worker
        drop_runs(
            self._cell, worker, list(worker.runs.values()), "worker left"
        )
        self._cell.fleet.pop(worker.id, None)
        worker.close()
        _LOG.log(job_events.RUN_WORKER_GONE, worker=worker.id)


def drop_runs(
    cell: cells.Cell,
    worker: workers.Worker,
    dropped: list[runs.Run],
    cause: str,
) -> None:
    """Record runs that can't be on their worker any more.

    Args:
        cell: The cell of the worker.
        worker: The worker.
        dropped: The runs.
        cause: Why, for the log.
    """
    silent_s = None
    if worker.answered_at_s:
        silent_s = round(anyio.current_time() - worker.answered_at_s, 3)
    for run in dropped:
        _LOG.log(
            job_events.RUN_DROPPED,
            worker=worker.id,
            task=run.name,
            run=run.number,
            cause=cause,
            has_unanswered_start=run.late_start_until_s > 0,
            silent_s=silent_s,
        )
        cell.end_run(worker, run, tasks.Outcome.LAPSED)
    cell.request_placement()


def adopt_runs(worker: workers.Worker, adopted: list[runs.Run]) -> None:
    """Reserve capacity for the runs that a former holder assigned.

    The first report under the new token shows which of them are there: from
    then on the worker rejects the commands of the former holder.

    Args:
        worker: The worker.
        adopted: The runs.
    """
    for run in adopted:
        run.was_sent = True
        run.is_adopted = True
        run.is_pace_known = not run.step.is_filler
        # Earlier than any renewal, so that the first report decides.
        run.mark_answered(-1.0)
        worker.add_run(run)
