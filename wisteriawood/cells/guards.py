"""Guarding serving tasks against the fillers beside them."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import runs
from wisteriawood.cells import workers
from wisteriawood.telemetry import events

_LOG = events.Logger(name=__name__)
# Share of its bound at which a tail calls for a step down.
ALARM_SHARE = 0.85
# Share of its bound below which fillers may step up again.
CALM_SHARE = 0.6
# Factor of a step down, and the lowest share before a filler stands still.
STEP_DOWN = 0.5
LOWEST_PERCENT = 20
STEP_UP_PERCENT = 20
# Time between two steps on one worker; the tail covers half a second.
STEP_PERIOD_S = 0.7
CALM_PERIOD_S = 1.5


class Guard:
    """Paces the fillers on workers whose serving tasks are disturbed.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_stepped_at_s")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._stepped_at_s: dict[str, float] = {}

    def look(self) -> None:
        """Step fillers down or up where the tails call for it."""
        now_s = anyio.current_time()
        for worker in self._cell.fleet.values():
            fillers = [
                run
                for run in worker.runs.values()
                if run.step.is_filler
                and run.is_confirmed
                and not run.is_stopping
            ]
            if not fillers or now_s - worker.answered_at_s > STEP_PERIOD_S * 3:
                continue
            strain = _strain(worker)
            since_s = now_s - self._stepped_at_s.get(worker.id, 0.0)
            if strain >= ALARM_SHARE and since_s >= STEP_PERIOD_S:
                self._step(worker, fillers, strain, is_down=True)
            elif strain < CALM_SHARE and since_s >= CALM_PERIOD_S:
                slowed = [run for run in fillers if run.pace_percent < 100]
                if slowed:
                    self._step(worker, slowed, strain, is_down=False)

    def _step(
        self,
        worker: workers.Worker,
        fillers: list[runs.Run],
        strain: float,
        *,
        is_down: bool,
    ) -> None:
        self._stepped_at_s[worker.id] = anyio.current_time()
        for run in fillers:
            percent = _next_percent(run.pace_percent, strain, is_down)
            if percent == run.pace_percent:
                continue
            run.pace_percent = percent
            self._cell.counters.paces.labels(
                cause="tail" if is_down else "calm"
            ).inc()
            self._cell.send_pace(worker, run)
        _LOG.log(
            events.FILLERS_PACED,
            worker=worker.id,
            strain=round(strain, 2),
            fillers=len(fillers),
            percent=min(run.pace_percent for run in fillers),
        )


def _strain(worker: workers.Worker) -> float:
    """Return the highest tail of a worker as a share of its bound."""
    return max(
        (
            run.signal / run.step.tail_target_ms
            for run in worker.runs.values()
            if run.step.tail_target_ms > 0 and run.is_confirmed
        ),
        default=0.0,
    )


def _next_percent(percent: int, strain: float, is_down: bool) -> int:
    if not is_down:
        return min(100, percent + STEP_UP_PERCENT)
    lower = int(percent * STEP_DOWN)
    if strain >= 1.0 and percent <= LOWEST_PERCENT:
        return 0
    return max(lower, LOWEST_PERCENT) if strain < 1.0 else lower
