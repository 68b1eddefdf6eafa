"""Eviction of a random task."""

import random

from wisteriawood.contracts import quotas
from wisteriawood.policies.eviction import base


@base.EVICTION.register("random")
class RandomChoice:
    """Evicts tasks in random order.

    Args:
        rng: Source of random numbers.
        team_quotas: Not used.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random, team_quotas: quotas.Quotas):
        self._rng = rng

    def cost(self, victim: base.Victim) -> float:
        """Return a random cost."""
        return 1.0 + self._rng.random()
