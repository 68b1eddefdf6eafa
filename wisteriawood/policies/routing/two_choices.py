"""Routing to the less loaded of two targets taken at random."""

import random

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("two-choices")
class TwoChoices(base.ComparesNothing):
    """Chooses the target with fewer requests in flight out of two.

    Args:
        rng: Takes the two.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the less loaded of two targets."""
        one = self._rng.choice(free)
        other = self._rng.choice(free)
        return other if other.in_flight < one.in_flight else one

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Learn nothing."""

    def forget(self, target_id: str) -> None:
        """Drop nothing."""
