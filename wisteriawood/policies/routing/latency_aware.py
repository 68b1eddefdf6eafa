"""Routing by the recent latency of each target."""

import random

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

# Weight of a new sample in the moving average.
SMOOTHING_FACTOR = 1 / 16


@base.ROUTING.register("latency-aware")
class LatencyAware(base.BasePolicy):
    """Chooses the lowest product of mean latency and requests in flight.

    Args:
        rng: Not used.
    """

    __slots__ = ("_mean_s",)

    def __init__(self, *, rng: random.Random):
        super().__init__(rng=rng)
        self._mean_s: dict[str, float] = {}

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the target with the lowest product."""
        return min(free, key=self._score)

    def _score(self, target: targets.Target) -> float:
        return self._mean_s.get(target.id, 0.0) * (target.in_flight + 1)

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Update the mean latency of a target."""
        mean_s = self._mean_s.get(target.id, latency_s)
        mean_s += SMOOTHING_FACTOR * (latency_s - mean_s)
        self._mean_s[target.id] = mean_s

    def forget(self, target_id: str) -> None:
        """Discard the latency of a target that was removed."""
        self._mean_s.pop(target_id, None)
