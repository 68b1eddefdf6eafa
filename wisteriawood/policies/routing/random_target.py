"""Routing to any target with a free slot, the yardstick of the others."""

import random

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("random")
class RandomTarget(base.ComparesNothing):
    """Chooses any target with a free slot.

    Args:
        rng: Makes the choices.
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
        """Return any of the targets."""
        return self._rng.choice(free)

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Learn nothing."""

    def forget(self, target_id: str) -> None:
        """Drop nothing."""
