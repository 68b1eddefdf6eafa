"""Throttling of fillers that slow serving tasks on the same worker."""

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import interference_models
from wisteriawood.cells import runs
from wisteriawood.cells import single_commands
from wisteriawood.cells import workers
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Load of a serving task from which the fillers on its worker are slowed down.
SLOWDOWN_LOAD = interference_models.BOUND_LOAD - 0.035
# Load at which slowing fillers aims, and which speeding them up must not
# exceed.
TARGET_LOAD = interference_models.BOUND_LOAD - 0.08
# Time over the bound after which all fillers relevant to the task are paused;
# well below the four seconds after which this counts as a violation.
MAX_OVERLOAD_S = 1.2
# Added load below which a filler is not relevant to a serving task.
MIN_RELEVANT_LOAD = 0.015
# Time without filler starts on a worker after its fillers were paused.
FILLER_PAUSE_S = 1.5
# Least time between two changes of pace on one worker; a reported tail latency
# covers half a second.
PACE_CHANGE_INTERVAL_S = 0.6
SPEEDUP_PERCENT = 25
# Time without any speed after which a filler counts as paused whatever pace
# was set: the command got no answer, or an older one took effect after it.
STANDSTILL_S = 3.0
# Pace below which a filler is stopped if it can resume on another worker from
# a checkpoint.
MOVE_BELOW_PERCENT = 30


class FillerPacer:
    """Adjusts the pace of fillers to the load of serving tasks.

    Args:
        cell: The cell.
    """

    __slots__ = (
        "_cell",
        "_overloaded_since_s",
        "_pace_changed_at_s",
        "_still_since_s",
    )

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._overloaded_since_s: dict[str, float] = {}
        self._pace_changed_at_s: dict[str, float] = {}
        # Monotonic times since which fillers have stood still that should not,
        # by task name and number of the run.
        self._still_since_s: dict[tuple[str, int], float] = {}

    def tick(self) -> None:
        """Slow down or speed up fillers as the tail latencies require."""
        now_s = anyio.current_time()
        known, self._still_since_s = self._still_since_s, {}
        for worker in self._cell.fleet.values():
            self._check_speeds(worker, known, now_s)
            self._check_worker(worker, now_s)

    def _check_speeds(
        self,
        worker: workers.Worker,
        known: dict[tuple[str, int], float],
        now_s: float,
    ) -> None:
        """Count fillers as paused that stand still although they should not.

        Args:
            worker: Their worker.
            known: Since when fillers were known to stand still.
            now_s: Monotonic time.
        """
        for run in worker.runs.values():
            if not run.step.is_filler or not run.is_confirmed:
                continue
            if run.speed_percent or not run.pace_percent:
                continue
            key = (run.name, run.number)
            since_s = self._still_since_s[key] = known.get(key, now_s)
            if now_s - since_s >= STANDSTILL_S:
                run.pace_percent = 0
                worker.record_shares(now_s)

    def _check_worker(self, worker: workers.Worker, now_s: float) -> None:
        most_loaded, load = self._find_most_loaded(worker, now_s)
        if load < interference_models.BOUND_LOAD:
            self._overloaded_since_s.pop(worker.id, None)
            overloaded_s = 0.0
        else:
            overloaded_s = now_s - self._overloaded_since_s.setdefault(
                worker.id, now_s
            )
        fillers = [
            run
            for run in worker.runs.values()
            if run.step.is_filler and run.is_confirmed and not run.is_stopping
        ]
        if most_loaded is not None and overloaded_s >= MAX_OVERLOAD_S:
            worker.no_fillers_until_s = now_s + FILLER_PAUSE_S
            self._pause_relevant(worker, fillers, most_loaded)
            return
        since_s = now_s - self._pace_changed_at_s.get(worker.id, 0.0)
        if not fillers or since_s < PACE_CHANGE_INTERVAL_S:
            return
        if most_loaded is not None and load >= SLOWDOWN_LOAD:
            self._slow_down(worker, fillers, most_loaded, load)
        else:
            self._speed_up(worker, fillers)

    def _find_most_loaded(
        self, worker: workers.Worker, now_s: float
    ) -> tuple[runs.Run | None, float]:
        """Return the serving task with the highest load, and that load.

        For a task that has just started or has no tail latency yet, the
        load is estimated from the model.
        """
        shares = worker.filler_shares()
        found: runs.Run | None = None
        highest = 0.0
        for run in worker.runs.values():
            if run.step.tail_target_ms <= 0 or not run.is_confirmed:
                continue
            if (
                run.signal > 0
                and now_s - run.started_at_s >= workers.TAIL_WARMUP_S
            ):
                load = interference_models.load_from_latency_ratio(
                    run.latency_ratio()
                )
            else:
                load = worker.baseline_load(run).mean
                load += self._cell.model.added_load(run.step.image, shares)
            if found is None or load > highest:
                found, highest = run, load
        return found, highest

    def _added_load(
        self, worker: workers.Worker, most_loaded: runs.Run, run: runs.Run
    ) -> float:
        """Return the load that a filler adds to a serving task."""
        model = self._cell.model
        weight = model.weight(most_loaded.step.image, run.step.image)
        return weight * worker.share_of(run)

    def _pause_relevant(
        self,
        worker: workers.Worker,
        fillers: list[runs.Run],
        most_loaded: runs.Run,
    ) -> None:
        """Pause all relevant fillers; stop those that can resume elsewhere.

        A filler is relevant if it adds at least MIN_RELEVANT_LOAD or if its
        weight is unknown. If all relevant fillers are paused already, the
        other fillers are paused too.
        """
        affected = [
            run
            for run in fillers
            if self._added_load(worker, most_loaded, run) >= MIN_RELEVANT_LOAD
            or not self._cell.model.is_known(
                most_loaded.step.image, run.step.image
            )
        ]
        if not any(run.pace_percent for run in affected):
            # Fillers that each add little load may together add much.
            affected = fillers
        if not any(run.pace_percent for run in affected):
            return
        for run in affected:
            self._set_pace(worker, run, 0, "halt")
        self._log_paces(worker, most_loaded, fillers)
        self._evict_slowed(worker, fillers)

    def _slow_down(
        self,
        worker: workers.Worker,
        fillers: list[runs.Run],
        most_loaded: runs.Run,
        load: float,
    ) -> None:
        """Slow the fillers that add most load until TARGET_LOAD is met."""
        excess = load - TARGET_LOAD
        parts = [
            (self._added_load(worker, most_loaded, run), run)
            for run in fillers
        ]
        parts.sort(key=lambda part: (-part[0], part[1].name))
        for added, run in parts:
            if excess <= 0 or added < MIN_RELEVANT_LOAD:
                break
            keep = max(0.0, 1.0 - excess / added)
            percent = int(run.pace_percent * keep)
            excess -= added * (1 - keep)
            self._set_pace(worker, run, percent, "tail")
        self._log_paces(worker, most_loaded, fillers)
        self._evict_slowed(worker, fillers)

    def _speed_up(
        self, worker: workers.Worker, fillers: list[runs.Run]
    ) -> None:
        """Speed up one slowed filler if the projected loads allow it."""
        slowed = [run for run in fillers if run.pace_percent < 100]
        if not slowed:
            return
        model = self._cell.model
        loads = worker.projected_loads(model)

        def _highest_weight(run: runs.Run) -> float:
            return max(
                (model.weight(image, run.step.image) for image in loads),
                default=0.0,
            )

        run = min(slowed, key=lambda run: (_highest_weight(run), run.name))
        percent = min(100, run.pace_percent + SPEEDUP_PERCENT)
        share = run.step.cpu_millicores / worker.capacity_millicores()
        more = share * (percent - run.pace_percent) / 100
        for image, load in loads.items():
            weight = model.conservative_weight(image, run.step.image)
            if load + weight * more > TARGET_LOAD:
                return
        self._set_pace(worker, run, percent, "calm")
        self._log_paces(worker, None, fillers)

    def _evict_slowed(
        self, worker: workers.Worker, fillers: list[runs.Run]
    ) -> None:
        """Stop slowed fillers that can resume from a checkpoint elsewhere."""
        if self._cell.is_drained():
            # They could not start again on another worker here.
            return
        for run in fillers:
            if run.pace_percent >= MOVE_BELOW_PERCENT:
                continue
            if run.step.is_checkpointing and not run.is_pinned:
                self._cell.counters.paces.labels(cause="move").inc()
                self._cell.stop_run(worker, run)

    def _set_pace(
        self, worker: workers.Worker, run: runs.Run, percent: int, cause: str
    ) -> None:
        if percent == run.pace_percent:
            return
        run.pace_percent = percent
        now_s = anyio.current_time()
        self._pace_changed_at_s[worker.id] = now_s
        self._cell.counters.paces.labels(cause=cause).inc()
        single_commands.send_pace(self._cell, worker, run)
        worker.record_shares(now_s)

    def _log_paces(
        self,
        worker: workers.Worker,
        most_loaded: runs.Run | None,
        fillers: list[runs.Run],
    ) -> None:
        _LOG.log(
            job_events.FILLERS_PACED,
            worker=worker.id,
            strained=most_loaded.name if most_loaded else "",
            strain=(
                round(most_loaded.latency_ratio(), 2) if most_loaded else 0.0
            ),
            fillers={run.name: run.pace_percent for run in fillers},
        )
