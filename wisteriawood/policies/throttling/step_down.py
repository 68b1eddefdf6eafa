"""Throttling in steps, with hysteresis, and eviction as the last step."""

import dataclasses
import math

from wisteriawood.policies.throttling import base

# Time in which an order shows in the usage reports, which lag.
SETTLE_S = 6.0
STEP = 0.5
LEAST_SHARE = 0.125
# Below this excess the services count as calm.
CALM_EXCESS = 0.98
FIRST_CALM_S = 15.0
MAX_CALM_S = 240.0
# Slowed this long after a release, the release came too early.
RELAPSE_S = 60.0
# Slowed this long with all throttled, a job is evicted.
EVICT_AFTER_S = 15.0


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """What is remembered of a worker.

    Attributes:
        acted_s: Monotonic time of the newest order.
        slow_s: Monotonic time since which services are slowed; 0 if not.
        calm_s: Monotonic time since which they are calm; 0 if not.
        worst: Greatest excess while calm.
        released_s: Monotonic time of the newest release.
        hold_s: Seconds of calm that a release takes.
    """

    acted_s: float = -1e9
    slow_s: float = 0.0
    calm_s: float = 0.0
    worst: float = 0.0
    released_s: float = -1e9
    hold_s: float = FIRST_CALM_S


@base.THROTTLING.register("step-down")
class StepDown:
    """Halves the share of the job with the most harm, then waits.

    Shares come back one step at a time after a calm that gets longer
    each time a release was followed by a new slowdown.
    """

    __slots__ = ("_states",)

    def __init__(self):
        self._states: dict[str, State] = {}

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._states.pop(worker, None)

    def decide(self, view: base.WorkerView) -> base.Verdict:
        """Return the next step on a worker, if it is time for one."""
        state = self._states.setdefault(view.worker, State())
        now_s = view.now_s
        if view.excess > 1.0:
            state.slow_s = state.slow_s or now_s
            state.calm_s = 0.0
        elif view.excess < CALM_EXCESS:
            state.slow_s = 0.0
            if not state.calm_s:
                state.calm_s = now_s
                state.worst = 0.0
        state.worst = max(state.worst, view.excess)
        if now_s - state.acted_s < SETTLE_S:
            return base.Verdict()
        if state.slow_s and view.excess > 1.0:
            return self._tighten(state, view)
        if state.calm_s and now_s - state.calm_s >= state.hold_s:
            return self._release(state, view)
        return base.Verdict()

    def _tighten(self, state: State, view: base.WorkerView) -> base.Verdict:
        if view.now_s - state.released_s < RELAPSE_S:
            state.hold_s = min(2 * state.hold_s, MAX_CALM_S)
            state.released_s = -1e9
        worth = [
            culprit
            for culprit in view.culprits
            if culprit.present_harm() >= base.LEAST_HARM
        ]
        left = [culprit for culprit in worth if culprit.share > LEAST_SHARE]
        if left:
            state.acted_s = view.now_s
            return base.Verdict(throttles=_steps(left, view.excess))
        if worth and view.now_s - state.slow_s >= EVICT_AFTER_S:
            state.acted_s = view.now_s
            return base.Verdict(evict=True)
        # What slows the services is none of the batch jobs here.
        return base.Verdict()

    def _release(self, state: State, view: base.WorkerView) -> base.Verdict:
        throttled = [found for found in view.culprits if found.share < 1.0]
        if not throttled:
            state.hold_s = max(FIRST_CALM_S, state.hold_s / 2)
            state.calm_s = view.now_s
            return base.Verdict()
        least = min(throttled, key=base.Culprit.present_harm)
        share = min(1.0, least.share / STEP)
        added = least.harm * (share - least.share)
        if math.log(max(state.worst, 0.01)) + added > 0:
            # The services would be slowed again; wait as long once more.
            state.calm_s = view.now_s
            state.worst = 0.0
            return base.Verdict()
        state.acted_s = state.released_s = view.now_s
        state.calm_s = state.worst = 0.0
        return base.Verdict(
            throttles=[base.Throttle(task=least.task, share=share)]
        )


def _steps(left: list[base.Culprit], excess: float) -> list[base.Throttle]:
    """Return one step for each of the worst jobs, as many as it takes."""
    wanted = math.log(excess)
    steps = []
    for culprit in sorted(left, key=base.Culprit.present_harm, reverse=True):
        if steps and wanted <= 0:
            break
        share = max(LEAST_SHARE, culprit.share * STEP)
        wanted -= culprit.harm * (culprit.share - share)
        steps.append(base.Throttle(task=culprit.task, share=share))
    return steps
