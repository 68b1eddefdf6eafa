"""Routing away from targets that are slower than their peers."""

import dataclasses
import math
import random

import anyio

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

WEIGHT_OF_NEWEST = 1 / 16
HALF_LIFE_S = 10.0
LOG_SLOW_FACTOR = math.log(1.5)
PEERS_PERIOD_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Pace:
    """How fast one target has been.

    Attributes:
        log_latency: Decayed mean of the logarithm of seconds.
        mean_s: Decayed mean latency in seconds.
        observed_s: Monotonic time of the newest answer.
    """

    log_latency: float
    mean_s: float
    observed_s: float


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

    __slots__ = ("_paces", "_peers_log", "_peers_s", "_rng")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._paces: dict[str, Pace] = {}
        self._peers_log = 0.0
        self._peers_s = -math.inf

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the least loaded target among the least slowed ones."""
        now_s = anyio.current_time()
        self._compare(now_s)
        best = None
        best_score = math.inf
        for target in free:
            slowdown = self.slowdown(target.id, now_s=now_s)
            load = target.in_flight / max(1, target.grant.slots)
            score = slowdown * (1 + load) + self._rng.random() / 1024
            if score < best_score:
                best, best_score, best_slowdown = target, score, slowdown
        if best_slowdown > 1 and self._pays_to_wait(
            best, best_slowdown, busy, queued, now_s
        ):
            return None
        return best

    def slowdown(self, target_id: str, *, now_s: float) -> float:
        """Return how many times slower than its peers a target is.

        Args:
            target_id: Id of the target.
            now_s: Monotonic time.

        Returns:
            The factor; 1 where it is too small to tell from chance.
        """
        pace = self._paces.get(target_id)
        if pace is None:
            return 1.0
        excess = self._excess(pace, now_s=now_s)
        return math.exp(excess) if excess > LOG_SLOW_FACTOR else 1.0

    def _excess(self, pace: Pace, *, now_s: float) -> float:
        """Return the logarithm of a slowdown, faded since the last answer."""
        faded = 0.5 ** ((now_s - pace.observed_s) / HALF_LIFE_S)
        return (pace.log_latency - self._peers_log) * faded

    def _pays_to_wait(
        self,
        target: targets.Target,
        slowdown: float,
        busy: list[targets.Target],
        queued: int,
        now_s: float,
    ) -> bool:
        """Tell whether a slot of a faster target is worth waiting for."""
        freed_each_s = 0.0
        for other in busy:
            pace = self._paces.get(other.id)
            if pace is None or self.slowdown(other.id, now_s=now_s) > 1:
                continue
            freed_each_s += other.in_flight / pace.mean_s
        if not freed_each_s:
            return False
        extra_s = self._paces[target.id].mean_s * (1 - 1 / slowdown)
        return queued / freed_each_s < extra_s

    def _compare(self, now_s: float) -> None:
        """Take the median of all targets anew, now and then."""
        if now_s - self._peers_s < PEERS_PERIOD_S or not self._paces:
            return
        paces = sorted(pace.log_latency for pace in self._paces.values())
        self._peers_log = paces[len(paces) // 2]
        self._peers_s = now_s

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
        known = self._peers_log + self._excess(pace, now_s=now_s)
        pace.log_latency = known + WEIGHT_OF_NEWEST * (log_latency - known)
        pace.mean_s += WEIGHT_OF_NEWEST * (latency_s - pace.mean_s)
        pace.observed_s = now_s

    def forget(self, target_id: str) -> None:
        """Drop the pace of a target that has left."""
        self._paces.pop(target_id, None)
