"""The holder's task for each worker: renew, take in, acknowledge."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import ledgers
from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Longest wait of one renewal; a third of the shortest lease stays spare.
WAIT_MS = 1000
# The same while a tail near its bound has to be watched.
STRAINED_WAIT_MS = 400
STRAINED = 0.8
# How long a follower waits for a commit before it renews the lease again.
SAVE_WAIT_S = 0.25
# Rest between renewals while ends wait for their commit.
BUSY_PAUSE_S = 0.5
RETRY_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 0.5


class Follower:
    """Follows one worker for as long as something may run there.

    Args:
        cell: The cell.
        worker: The worker.
    """

    __slots__ = ("_cell", "_is_failing", "_saving", "_worker")

    def __init__(self, *, cell: cells.Cell, worker: workers.Worker):
        self._cell = cell
        self._worker = worker
        self._is_failing = True
        self._saving: list[tuple[list[ledgers.Batch], int]] = []

    async def run(self) -> None:
        """Follow the worker until its life is surely over.

        Raises:
            CellLostError: Another holder commands the worker.
        """
        delay_s = RETRY_DELAY_S
        while not self._is_over():
            try:
                await self._renew()
            except runners.FencedError as exc:
                raise tables.CellLostError(
                    f"worker {self._worker.id} has a newer holder"
                ) from exc
            except runners.OtherLifeError:
                break
            except errors.LinkError as exc:
                self._note_silence(exc)
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)
                continue
            delay_s = RETRY_DELAY_S
            await self._wait_for_commits()
        self._end_life()

    def _is_over(self) -> bool:
        """Tell whether the worker left and its lease has surely ended."""
        now_s = anyio.current_time()
        return (
            self._worker.is_gone
            and self._is_failing
            and self._worker.lease.has_lapsed(now_s)
        )

    def _note_silence(self, cause: Exception) -> None:
        worker = self._worker
        if not self._is_failing:
            self._is_failing = True
            _LOG.log(
                job_events.RUN_WORKER_LOST,
                worker=worker.id,
                runs=len(worker.runs),
                cause=str(cause),
                silent_s=round(anyio.current_time() - worker.answered_at_s, 3),
            )
        if worker.lease.has_lapsed(anyio.current_time()):
            self._drop_runs("lease lapsed")

    async def _renew(self) -> None:
        worker = self._worker
        sent_at_s = anyio.current_time()
        token = worker.token
        # A worker that may be cut off must not live on by our renewals:
        # its lease is what ends its runs.
        is_fresh = not self._is_failing
        until_ms = worker.lease.grant(sent_at_s) if is_fresh else 0
        report = await worker.link.renew(
            token=token,
            acknowledged=worker.acknowledged,
            lease_until_ms=until_ms,
            wait_ms=self._wait_ms() if is_fresh and not self._saving else 0,
        )
        now_s = anyio.current_time()
        worker.lease.read_clock(report.clock_ms, now_s)
        worker.answered_at_s = now_s
        if self._is_failing:
            self._is_failing = False
            _LOG.log(
                job_events.RUN_WORKER_FOUND,
                worker=worker.id,
                active=len(report.active),
                ended=len(report.ended),
                token=token,
            )
        self._take_in(report, sent_at_s)

    def _wait_ms(self) -> int:
        worker = self._worker
        is_strained = worker.filler_millicores > 0 and any(
            run.step.tail_target_ms > 0 and run.strain() >= STRAINED
            for run in worker.runs.values()
        )
        return STRAINED_WAIT_MS if is_strained else WAIT_MS

    def _take_in(self, report: runners.RunReport, sent_at_s: float) -> None:
        worker = self._worker
        now_s = anyio.current_time()
        if worker.born_unix_ms not in (0, report.born_unix_ms):
            self._begin_life()
        worker.born_unix_ms = report.born_unix_ms
        batches = self._take_ends(report)
        listed = self._take_active(report, now_s)
        for run in list(worker.runs.values()):
            if (
                run.name not in listed
                and run.is_settled
                and run.settled_at_s < sent_at_s
            ):
                self._cell.end_run(worker, run, tasks.Outcome.LAPSED)
        worker.learn(self._cell.book, now_s)
        self._cell.place()
        if worker.seen > worker.acknowledged:
            self._saving.append((batches, worker.seen))

    def _take_ends(self, report: runners.RunReport) -> list[ledgers.Batch]:
        worker = self._worker
        batches = []
        for end in report.ended:
            if end.number <= worker.seen:
                continue
            worker.seen = end.number
            run = worker.runs.get(end.task_name)
            if run is None or run.number != end.run:
                continue
            batch = self._cell.end_run(
                worker, run, end.outcome, end.checkpoint
            )
            if batch is not None:
                batches.append(batch)
        return batches

    def _take_active(
        self, report: runners.RunReport, now_s: float
    ) -> set[str]:
        worker = self._worker
        listed = set()
        for active in report.active:
            run = worker.runs.get(active.task_name)
            if run is None or run.number != active.run:
                self._stop_unknown(active)
                continue
            listed.add(run.name)
            if run.job.is_ended() and not run.is_stopping:
                # A holder before this one has not got round to the stop.
                self._cell.stop_run(worker, run)
            if not run.is_confirmed:
                run.confirm(now_s)
                worker.note_shares(now_s)
            if active.checkpoint:
                run.checkpoint = active.checkpoint
            run.percent = active.percent
            run.signal = active.signal
        return listed

    def _stop_unknown(self, active: runners.ActiveRun) -> None:
        worker = self._worker
        _LOG.log(
            job_events.RUN_UNKNOWN,
            worker=worker.id,
            task=active.task_name,
            run=active.run,
        )
        self._cell.stop_unknown(worker, active)

    async def _wait_for_commits(self) -> None:
        """Acknowledge ends whose jobs are in the store, if that is soon."""
        if not self._saving:
            return
        batches, number = self._saving[0]
        with anyio.move_on_after(SAVE_WAIT_S):
            await self._cell.ledger.save(batches)
            self._saving.pop(0)
            self._worker.acknowledged = number
            return
        await anyio.sleep(BUSY_PAUSE_S)

    def _begin_life(self) -> None:
        """Start over with a worker that has come to life again."""
        worker = self._worker
        _LOG.log(
            job_events.RUN_WORKER_REBORN,
            worker=worker.id,
            runs=len(worker.runs),
        )
        self._drop_runs("worker restarted")
        worker.seen = worker.acknowledged = 0
        self._saving.clear()
        # A start that is still under way to the former life must not be
        # taken by the new one, which has seen no token.
        worker.token += 1

    def _drop_runs(self, cause: str) -> None:
        worker = self._worker
        for run in list(worker.runs.values()):
            _LOG.log(
                job_events.RUN_DROPPED,
                worker=worker.id,
                task=run.name,
                run=run.number,
                cause=cause,
            )
            self._cell.end_run(worker, run, tasks.Outcome.LAPSED)
        self._cell.place()

    def _end_life(self) -> None:
        worker = self._worker
        self._drop_runs("worker left")
        self._cell.fleet.pop(worker.id, None)
        worker.close()
        _LOG.log(job_events.RUN_WORKER_GONE, worker=worker.id)


def adopt_runs(worker: workers.Worker, adopted: list[runs.Run]) -> None:
    """Count runs that a former holder assigned against their worker.

    The first answer under the new token tells which of them are there,
    since the worker takes no command of the former holder after it.

    Args:
        worker: The worker.
        adopted: The runs.
    """
    for run in adopted:
        run.was_sent = True
        run.settle(-1.0)
        worker.take(run)
