"""Throttling in steps with hysteresis, and eviction as the last resort."""

import dataclasses
import math

from wisteriawood.policies.throttling import base

# Time after which usage reports, which lag, reflect a throttle.
REPORT_LAG_S = 6.0
# Factor by which one step reduces the share of a job.
STEP_FACTOR = 0.5
MIN_SHARE = 0.125
# Excess below which the services have recovered.
RECOVERED_EXCESS = 0.98
# Bounds of the time without slowdown that must pass before a release.
MIN_HOLD_S = 15.0
MAX_HOLD_S = 240.0
# A slowdown within this time after a release doubles the time before the next
# one.
RELAPSE_S = 60.0
# A job is evicted if services stay slowed for this long and no job that slows
# them can be throttled further.
EVICT_AFTER_S = 15.0


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerState:
    """Throttling state of a worker.

    Attributes:
        acted_at_s: Monotonic time of the newest command in seconds.
        slowed_since_s: Monotonic time in seconds since which services are
            slowed; 0 if they are not.
        recovered_since_s: Monotonic time in seconds since which they have
            recovered; 0 if they have not.
        max_excess: Highest excess since they recovered or since the last
            release was considered.
        released_at_s: Monotonic time of the newest release in seconds.
        hold_s: Seconds without slowdown that must pass before a release.
    """

    acted_at_s: float = -1e9
    slowed_since_s: float = 0.0
    recovered_since_s: float = 0.0
    max_excess: float = 0.0
    released_at_s: float = -1e9
    hold_s: float = MIN_HOLD_S


@base.THROTTLING.register("step-down")
class StepDown:
    """Halves the shares of the most harmful jobs, then waits for reports.

    Shares are released one step at a time, each after a period without
    slowdown. The period doubles whenever a slowdown follows a release.
    """

    __slots__ = ("_states",)

    def __init__(self):
        self._states: dict[str, WorkerState] = {}

    def forget(self, worker: str) -> None:
        """Discard the state of a worker that was removed."""
        self._states.pop(worker, None)

    def decide(self, view: base.WorkerView) -> base.Decision:
        """Return the next step on a worker, if one is due."""
        state = self._states.setdefault(view.worker, WorkerState())
        now_s = view.now_s
        if view.excess > 1.0:
            state.slowed_since_s = state.slowed_since_s or now_s
            state.recovered_since_s = 0.0
        elif view.excess < RECOVERED_EXCESS:
            state.slowed_since_s = 0.0
            if not state.recovered_since_s:
                state.recovered_since_s = now_s
                state.max_excess = 0.0
        state.max_excess = max(state.max_excess, view.excess)
        if now_s - state.acted_at_s < REPORT_LAG_S:
            return base.Decision()
        if state.slowed_since_s and view.excess > 1.0:
            return self._throttle(state, view)
        if (
            state.recovered_since_s
            and now_s - state.recovered_since_s >= state.hold_s
        ):
            return self._release(state, view)
        return base.Decision()

    def _throttle(
        self, state: WorkerState, view: base.WorkerView
    ) -> base.Decision:
        if view.now_s - state.released_at_s < RELAPSE_S:
            state.hold_s = min(2 * state.hold_s, MAX_HOLD_S)
            # Each release doubles the period at most once.
            state.released_at_s = -1e9
        harmful = [
            aggressor
            for aggressor in view.aggressors
            if aggressor.current_harm() >= base.MIN_HARM
        ]
        reducible = [
            aggressor for aggressor in harmful if aggressor.share > MIN_SHARE
        ]
        if reducible:
            state.acted_at_s = view.now_s
            return base.Decision(
                throttles=_next_throttles(reducible, view.excess)
            )
        if harmful and view.now_s - state.slowed_since_s >= EVICT_AFTER_S:
            state.acted_at_s = view.now_s
            return base.Decision(evict=True)
        # No batch job here causes the slowdown, or EVICT_AFTER_S have not
        # passed yet.
        return base.Decision()

    def _release(
        self, state: WorkerState, view: base.WorkerView
    ) -> base.Decision:
        throttled = [
            aggressor for aggressor in view.aggressors if aggressor.share < 1.0
        ]
        if not throttled:
            state.hold_s = max(MIN_HOLD_S, state.hold_s / 2)
            state.recovered_since_s = view.now_s
            return base.Decision()
        least_harmful = min(throttled, key=base.Aggressor.current_harm)
        share = min(1.0, least_harmful.share / STEP_FACTOR)
        added = least_harmful.harm * (share - least_harmful.share)
        if math.log(max(state.max_excess, 0.01)) + added > 0:
            # The release would slow the services again; wait for another
            # period.
            state.recovered_since_s = view.now_s
            state.max_excess = 0.0
            return base.Decision()
        state.acted_at_s = state.released_at_s = view.now_s
        state.recovered_since_s = state.max_excess = 0.0
        return base.Decision(
            throttles=[base.Throttle(task=least_harmful.task, share=share)]
        )


def _next_throttles(
    reducible: list[base.Aggressor], excess: float
) -> list[base.Throttle]:
    """Return one step for each of the most harmful jobs.

    Args:
        reducible: Jobs whose shares can be reduced.
        excess: Excess of the worker; as many jobs are throttled as are
            predicted to reduce it to 1.
    """
    remaining = math.log(excess)
    steps = []
    for aggressor in sorted(
        reducible, key=base.Aggressor.current_harm, reverse=True
    ):
        if steps and remaining <= 0:
            break
        share = max(MIN_SHARE, aggressor.share * STEP_FACTOR)
        remaining -= aggressor.harm * (aggressor.share - share)
        steps.append(base.Throttle(task=aggressor.task, share=share))
    return steps
