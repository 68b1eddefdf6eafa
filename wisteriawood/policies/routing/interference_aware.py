"""Routing away from targets that are slower than their peers."""

import dataclasses
import math
import random

import anyio

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

WEIGHT_OF_NEWEST = 1 / 24
HALF_LIFE_S = 10.0
MIN_COUNT = 8
LOG_SLOW_FACTOR = math.log(1.6)
COMPARE_PERIOD_S = 0.05
TIE_BREAK = 1 / 1024
HOLD_SHARE = 0.25
FRESH_FACTOR = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Pace:
    """How fast one target has been.

    Attributes:
        log_latency: Decayed mean of the logarithm of seconds.
        mean_s: Decayed mean latency in seconds.
        observed_s: Monotonic time of the newest answer.
        count: Answers seen.
    """

    log_latency: float
    mean_s: float
    observed_s: float
    count: int = 1


@base.ROUTING.register("interference-aware")
class InterferenceAware:
    """Prefers targets that keep pace with their peers.

    The slowdown of a target is its mean latency over the median of all,
    on a logarithmic scale so that a single long request weighs little. It
    decays to none while no answers come. A request waits rather than go
    to a slow target where that is likely to be quicker.

    Args:
        rng: Breaks ties.
    """

    __slots__ = ("_compared_s", "_paces", "_peers_log", "_rng", "_slow")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._paces: dict[str, Pace] = {}
        self._peers_log = 0.0
        self._compared_s = -math.inf
        self._slow: dict[str, float] = {}

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the least loaded target among the least slowed ones."""
        self._compare()
        slow = self._slow
        best = free[0]
        best_score = math.inf
        for target in free:
            score = 1 + target.in_flight / target.grant.slots
            if target.id in slow:
                score *= slow[target.id]
            score += TIE_BREAK * self._rng.random()
            if score < best_score:
                best, best_score = target, score
        if best.id in slow and self._pays_to_wait(best, busy, queued):
            return None
        return best

    def tend(self) -> None:
        """Let what was learned fade while no requests come."""
        self._compare()

    def slowdowns(self) -> dict[str, float]:
        """Return how many times slower than its peers each slow target is."""
        return dict(self._slow)

    def _excess(self, pace: Pace, *, now_s: float) -> float:
        """Return the logarithm of a slowdown, faded since the last answer."""
        faded = 0.5 ** ((now_s - pace.observed_s) / HALF_LIFE_S)
        return (pace.log_latency - self._peers_log) * faded

    def _pays_to_wait(
        self, target: targets.Target, busy: list[targets.Target], queued: int
    ) -> bool:
        """Tell whether a slot of a faster target is worth waiting for."""
        freed_each_s = 0.0
        for other in busy:
            pace = self._paces.get(other.id)
            if pace is None or other.id in self._slow:
                continue
            if self._compared_s - pace.observed_s < FRESH_FACTOR * pace.mean_s:
                freed_each_s += other.in_flight / pace.mean_s
        if not freed_each_s:
            return False
        mean_s = self._paces[target.id].mean_s
        extra_s = mean_s * (1 - 1 / self._slow[target.id])
        return queued / freed_each_s < HOLD_SHARE * extra_s

    def _compare(self) -> None:
        """Find the slow targets anew, now and then."""
        now_s = anyio.current_time()
        if now_s - self._compared_s < COMPARE_PERIOD_S or not self._paces:
            return
        self._compared_s = now_s
        paces = sorted(pace.log_latency for pace in self._paces.values())
        self._peers_log = paces[len(paces) // 2]
        self._slow = {}
        for target_id, pace in self._paces.items():
            excess = self._excess(pace, now_s=now_s)
            if excess > LOG_SLOW_FACTOR and pace.count >= MIN_COUNT:
                self._slow[target_id] = math.exp(excess)

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Learn the pace of a target."""
        log_latency = math.log(max(latency_s, 1e-6))
        now_s = anyio.current_time()
        pace = self._paces.get(target.id)
        if pace is None:
            self._paces[target.id] = Pace(
                log_latency=log_latency, mean_s=latency_s, observed_s=now_s
            )
            return
        pace.count += 1
        weight = max(WEIGHT_OF_NEWEST, 1 / pace.count)
        known = self._peers_log + self._excess(pace, now_s=now_s)
        pace.log_latency = known + weight * (log_latency - known)
        pace.mean_s += weight * (latency_s - pace.mean_s)
        pace.observed_s = now_s

    def forget(self, target_id: str) -> None:
        """Drop the pace of a target that has left."""
        self._paces.pop(target_id, None)
        self._slow.pop(target_id, None)
