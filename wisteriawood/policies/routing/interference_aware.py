"""Routing away from targets that are slower than their peers."""

import dataclasses
import math
import random

import anyio

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

# Weight of a new sample in the moving averages, once there are many samples.
SMOOTHING_FACTOR = 1 / 24
SLOWDOWN_HALF_LIFE_S = 10.0
# A target counts as slow after this many answers and above this logarithm of
# its slowdown.
MIN_ANSWERS = 8
MIN_LOG_SLOWDOWN = math.log(1.6)
COMPARE_PERIOD_S = 0.05
TIE_BREAK_WEIGHT = 1 / 1024
# A request waits for a faster target if the expected wait is below this share
# of the time that the slowdown of the free target would cost.
MAX_WAIT_SHARE = 0.25
# Only targets whose newest answer is younger than this multiple of their mean
# latency are expected to free a slot.
MAX_ANSWER_AGE_FACTOR = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LatencyAverages:
    """Moving averages of the latency of one target.

    Attributes:
        log_latency: Exponential moving average of the logarithm of the
            latency in seconds.
        mean_s: Exponential moving average of the latency in seconds.
        observed_at_s: Monotonic time of the newest answer in seconds.
        count: Number of answers.
    """

    log_latency: float
    mean_s: float
    observed_at_s: float
    count: int = 1


@base.ROUTING.register("interference-aware")
class InterferenceAware:
    """Prefers targets whose latency is not above that of their peers.

    The slowdown of a target is its mean latency divided by the median over
    all targets. The mean is taken of logarithms, so that a single long
    request has little effect. The slowdown decays to 1 while no answers
    arrive. A request waits for a faster target instead of using a slow one
    if that is likely to take less time.

    Args:
        rng: Breaks ties.
    """

    __slots__ = (
        "_averages",
        "_compared_at_s",
        "_median_log_latency",
        "_rng",
        "_slowdowns",
    )

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._averages: dict[str, LatencyAverages] = {}
        self._median_log_latency = 0.0
        self._compared_at_s = -math.inf
        self._slowdowns: dict[str, float] = {}

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the target with the lowest load times slowdown, or None."""
        self._update_slowdowns()
        slowdowns = self._slowdowns
        best = free[0]
        best_score = math.inf
        for target in free:
            score = 1 + target.in_flight / target.grant.slots
            if target.id in slowdowns:
                score *= slowdowns[target.id]
            score += TIE_BREAK_WEIGHT * self._rng.random()
            if score < best_score:
                best, best_score = target, score
        if best.id in slowdowns and self._is_worth_waiting(best, busy, queued):
            return None
        return best

    def tick(self) -> None:
        """Update the slowdowns, which decay also while no requests arrive."""
        self._update_slowdowns()

    def slowdowns(self) -> dict[str, float]:
        """Return the slow targets by id, with their slowdown factor."""
        return dict(self._slowdowns)

    def _log_slowdown(
        self, averages: LatencyAverages, *, now_s: float
    ) -> float:
        """Return the logarithm of the slowdown, decayed to now."""
        decay = 0.5 ** (
            (now_s - averages.observed_at_s) / SLOWDOWN_HALF_LIFE_S
        )
        return (averages.log_latency - self._median_log_latency) * decay

    def _is_worth_waiting(
        self, target: targets.Target, busy: list[targets.Target], queued: int
    ) -> bool:
        """Return whether to wait for a slot of a faster target."""
        slots_per_s = 0.0
        for other in busy:
            averages = self._averages.get(other.id)
            if averages is None or other.id in self._slowdowns:
                continue
            if (
                self._compared_at_s - averages.observed_at_s
                < MAX_ANSWER_AGE_FACTOR * averages.mean_s
            ):
                slots_per_s += other.in_flight / averages.mean_s
        if not slots_per_s:
            return False
        mean_s = self._averages[target.id].mean_s
        extra_s = mean_s * (1 - 1 / self._slowdowns[target.id])
        return queued / slots_per_s < MAX_WAIT_SHARE * extra_s

    def _update_slowdowns(self) -> None:
        """Recompute the slow targets, at most once in COMPARE_PERIOD_S."""
        now_s = anyio.current_time()
        if (
            now_s - self._compared_at_s < COMPARE_PERIOD_S
            or not self._averages
        ):
            return
        self._compared_at_s = now_s
        logs = sorted(
            averages.log_latency for averages in self._averages.values()
        )
        self._median_log_latency = logs[len(logs) // 2]
        self._slowdowns = {}
        for target_id, averages in self._averages.items():
            log_slowdown = self._log_slowdown(averages, now_s=now_s)
            if (
                log_slowdown > MIN_LOG_SLOWDOWN
                and averages.count >= MIN_ANSWERS
            ):
                self._slowdowns[target_id] = math.exp(log_slowdown)

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Update the averages of a target."""
        log_latency = math.log(max(latency_s, 1e-6))
        now_s = anyio.current_time()
        averages = self._averages.get(target.id)
        if averages is None:
            self._averages[target.id] = LatencyAverages(
                log_latency=log_latency, mean_s=latency_s, observed_at_s=now_s
            )
            return
        averages.count += 1
        weight = max(SMOOTHING_FACTOR, 1 / averages.count)
        expected = self._median_log_latency + self._log_slowdown(
            averages, now_s=now_s
        )
        averages.log_latency = expected + weight * (log_latency - expected)
        averages.mean_s += weight * (latency_s - averages.mean_s)
        averages.observed_at_s = now_s

    def forget(self, target_id: str) -> None:
        """Discard the averages of a target that was removed."""
        self._averages.pop(target_id, None)
        self._slowdowns.pop(target_id, None)
