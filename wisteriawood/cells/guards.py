"""Guarding serving tasks against the fillers beside them."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import pressure
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Load of a serving task at which the fillers beside it step down, the load
# that this aims at, and the load up to which they step up again.
ALARM_LOAD = pressure.BOUND_LOAD - 0.035
AIM_LOAD = pressure.BOUND_LOAD - 0.08
# Time over its bound after which all fillers that a task may feel stand
# still; far inside the four seconds that count as harm.
MAX_OVER_S = 1.2
# Fillers that add less to a load are not felt.
FELT_LOAD = 0.015
# Time for which no filler starts beside a task that was over its bound.
PAUSE_AFTER_OVER_S = 1.5
# Time between two looks at one worker; a tail covers half a second.
STEP_PERIOD_S = 0.6
STEP_UP_PERCENT = 25
# A filler that may only work below this share is stopped, if it can
# resume elsewhere from a checkpoint.
MOVE_BELOW_PERCENT = 30


class Guard:
    """Paces the fillers on workers whose serving tasks are disturbed.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_over_since_s", "_stepped_at_s")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._over_since_s: dict[str, float] = {}
        self._stepped_at_s: dict[str, float] = {}

    def look(self) -> None:
        """Step fillers down or up where the tails call for it."""
        now_s = anyio.current_time()
        for worker in self._cell.fleet.values():
            self._look_at(worker, now_s)

    def _look_at(self, worker: workers.Worker, now_s: float) -> None:
        strained, load = self._most_strained(worker, now_s)
        if load < pressure.BOUND_LOAD:
            self._over_since_s.pop(worker.id, None)
            over_s = 0.0
        else:
            over_s = now_s - self._over_since_s.setdefault(worker.id, now_s)
        fillers = [
            run
            for run in worker.runs.values()
            if run.step.is_filler and run.is_confirmed and not run.is_stopping
        ]
        if strained is not None and over_s >= MAX_OVER_S:
            worker.no_fillers_until_s = now_s + PAUSE_AFTER_OVER_S
            self._halt(worker, fillers, strained)
            return
        since_s = now_s - self._stepped_at_s.get(worker.id, 0.0)
        if not fillers or since_s < STEP_PERIOD_S:
            return
        if strained is not None and load >= ALARM_LOAD:
            self._step_down(worker, fillers, strained, load)
        else:
            self._step_up(worker, fillers)

    def _most_strained(
        self, worker: workers.Worker, now_s: float
    ) -> tuple[runs.Run | None, float]:
        """Return the serving task with the highest load, and that load.

        A task that has just started has no tail yet; what fillers there
        are known to add to the load of its image counts instead.
        """
        shares = worker.filler_shares()
        found: runs.Run | None = None
        highest = 0.0
        for run in worker.runs.values():
            if run.step.tail_target_ms <= 0 or not run.is_confirmed:
                continue
            if run.signal > 0 and now_s - run.started_at_s >= workers.WARM_S:
                load = pressure.load_of(run.strain())
            else:
                load = worker.own_load(run).mean
                load += self._cell.book.added_load(run.step.image, shares)
            if found is None or load > highest:
                found, highest = run, load
        return found, highest

    def _added(
        self, worker: workers.Worker, strained: runs.Run, run: runs.Run
    ) -> float:
        """Return what a filler adds to the load of a serving task."""
        book = self._cell.book
        weight = book.weight(strained.step.image, run.step.image)
        return weight * worker.share_of(run)

    def _halt(
        self,
        worker: workers.Worker,
        fillers: list[runs.Run],
        strained: runs.Run,
    ) -> None:
        """Let all fillers that may be felt stand still, or go elsewhere."""
        moving = [
            run
            for run in fillers
            if self._added(worker, strained, run) >= FELT_LOAD
            or not self._cell.book.is_known(
                strained.step.image, run.step.image
            )
        ]
        if not any(run.pace_percent for run in moving):
            # What little there is may still add up.
            moving = fillers
        if not any(run.pace_percent for run in moving):
            return
        for run in moving:
            self._set(worker, run, 0, "halt")
        self._note(worker, strained, fillers)
        self._move_stopped(worker, fillers)

    def _step_down(
        self,
        worker: workers.Worker,
        fillers: list[runs.Run],
        strained: runs.Run,
        load: float,
    ) -> None:
        """Slow the fillers that add most, until the tail should hold."""
        excess = load - AIM_LOAD
        parts = [(self._added(worker, strained, run), run) for run in fillers]
        parts.sort(key=lambda part: (-part[0], part[1].name))
        for added, run in parts:
            if excess <= 0 or added < FELT_LOAD:
                break
            keep = max(0.0, 1.0 - excess / added)
            percent = int(run.pace_percent * keep)
            excess -= added * (1 - keep)
            self._set(worker, run, percent, "tail")
        self._note(worker, strained, fillers)
        self._move_stopped(worker, fillers)

    def _step_up(
        self, worker: workers.Worker, fillers: list[runs.Run]
    ) -> None:
        """Let slowed fillers work faster, as far as the tails allow."""
        slowed = [run for run in fillers if run.pace_percent < 100]
        if not slowed:
            return
        book = self._cell.book
        loads = worker.loads_ahead(book)

        def _pressing(run: runs.Run) -> float:
            return max(
                (book.weight(image, run.step.image) for image in loads),
                default=0.0,
            )

        run = min(slowed, key=lambda run: (_pressing(run), run.name))
        percent = min(100, run.pace_percent + STEP_UP_PERCENT)
        share = run.step.cpu_millicores / worker.capacity_millicores()
        more = share * (percent - run.pace_percent) / 100
        for image, load in loads.items():
            weight = book.cautious_weight(image, run.step.image)
            if load + weight * more > AIM_LOAD:
                return
        self._set(worker, run, percent, "calm")
        self._note(worker, None, fillers)

    def _move_stopped(
        self, worker: workers.Worker, fillers: list[runs.Run]
    ) -> None:
        """Stop slowed fillers that lose little by going elsewhere."""
        for run in fillers:
            if run.pace_percent >= MOVE_BELOW_PERCENT:
                continue
            if run.step.is_checkpointing and not run.is_kept:
                self._cell.counters.paces.labels(cause="move").inc()
                self._cell.stop_run(worker, run)

    def _set(
        self, worker: workers.Worker, run: runs.Run, percent: int, cause: str
    ) -> None:
        if percent == run.pace_percent:
            return
        run.pace_percent = percent
        now_s = anyio.current_time()
        self._stepped_at_s[worker.id] = now_s
        self._cell.counters.paces.labels(cause=cause).inc()
        self._cell.send_pace(worker, run)
        worker.note_shares(now_s)

    def _note(
        self,
        worker: workers.Worker,
        strained: runs.Run | None,
        fillers: list[runs.Run],
    ) -> None:
        _LOG.log(
            job_events.FILLERS_PACED,
            worker=worker.id,
            strained=strained.name if strained else "",
            strain=round(strained.strain(), 2) if strained else 0.0,
            fillers={run.name: run.pace_percent for run in fillers},
        )
