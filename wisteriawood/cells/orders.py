"""The holder's tasks that send orders to a worker."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Connections on which orders go out to one worker at a time.
CONNECTIONS = 2
# Times that a start is sent before the run is given up.
START_TRIES = 3
RETRY_DELAY_S = 0.1
STOP_RETRY_DELAY_S = 0.3
# Share of its speed at which a filler begins that no worker had room for.
KEPT_PERCENT = 15
# Time for which a worker that calls itself unhealthy is left alone.
UNHEALTHY_PAUSE_S = 2.0


class OrderSender:
    """Sends the orders to one worker over one connection.

    Args:
        cell: The cell.
        worker: The worker.
    """

    __slots__ = ("_cell", "_orders", "_worker")

    def __init__(self, *, cell: cells.Cell, worker: workers.Worker):
        self._cell = cell
        self._orders = worker.orders_out.clone()
        self._worker = worker

    async def run(self) -> None:
        """Send orders until the worker's life is over.

        Raises:
            CellLostError: Another holder commands the worker.
        """
        try:
            with self._orders:
                async for run in self._orders:
                    await self._obey(run)
        except runners.FencedError as exc:
            raise tables.CellLostError(
                f"worker {self._worker.id} has a newer holder"
            ) from exc

    async def _obey(self, run: runs.Run) -> None:
        if not self._is_there(run):
            return
        if run.is_stopping:
            await self._stop(run)
        else:
            await self._start(run)

    def _is_there(self, run: runs.Run) -> bool:
        """Tell whether the run may be on the worker or come there."""
        return self._worker.runs.get(run.name) is run

    async def _start(self, run: runs.Run) -> None:
        for attempt in range(START_TRIES):
            if run.is_stopping or not self._is_there(run):
                return
            answer = await self._send_start(run)
            if answer is None or answer is runners.StartAnswer.TOO_LATE:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if answer is runners.StartAnswer.STARTED:
                run.settle(anyio.current_time())
                run.confirm(run.settled_at_s)
                if run.is_kept:
                    run.pace_percent = KEPT_PERCENT
                    self._cell.send_pace(self._worker, run)
                if run.step.is_filler:
                    self._worker.note_shares(run.settled_at_s)
                self._cell.counters.started_s.observe(
                    run.settled_at_s - run.assigned_at_s
                )
                return
            self._take_refusal(run, answer, is_first=attempt == 0)
            return
        _LOG.log(
            job_events.RUN_START_UNANSWERED,
            worker=self._worker.id,
            task=run.name,
            run=run.number,
            tries=START_TRIES,
        )
        # Only an answered stop proves that the start can't happen later.
        self._worker.note_refusal(anyio.current_time())
        run.is_stopping = True
        await self._stop(run)

    async def _send_start(self, run: runs.Run) -> runners.StartAnswer | None:
        worker = self._worker
        order = runners.StartOrder(
            task_name=run.name,
            run=run.number,
            payload=run.job.spec.payload,
            lease_until_ms=worker.lease_for_start(anyio.current_time()),
            token=worker.token,
            checkpoint=run.task.checkpoint,
        )
        run.was_sent = True
        try:
            answer = await worker.link.start(order)
        except runners.OtherLifeError:
            return None
        except runners.FencedError:
            raise
        except errors.LinkError:
            return None
        if answer is runners.StartAnswer.FENCED:
            if worker.token > order.token:
                return None
            raise runners.FencedError("a start was fenced")
        return answer

    def _take_refusal(
        self, run: runs.Run, answer: runners.StartAnswer, *, is_first: bool
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
        worker.note_refusal(now_s)
        if answer is runners.StartAnswer.UNHEALTHY:
            worker.avoided_until_s = now_s + UNHEALTHY_PAUSE_S
        run.settle(now_s)
        if answer is runners.StartAnswer.OLD_RUN:
            # Its end is listed, or the next report shows that it isn't.
            return
        if is_first:
            self._cell.end_run(worker, run, tasks.Outcome.STOPPED)
            self._cell.place()
            return
        # An earlier try without an answer may still take effect.
        run.is_settled = False
        run.is_stopping = True
        worker.order(run)

    async def _stop(self, run: runs.Run) -> None:
        while self._is_there(run):
            try:
                await self._worker.link.stop(
                    run.name, run.number, self._worker.token
                )
            except runners.FencedError:
                raise
            except errors.LinkError:
                await anyio.sleep(STOP_RETRY_DELAY_S)
                continue
            run.settle(anyio.current_time())
            return
