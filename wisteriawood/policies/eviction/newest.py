"""Eviction of the task that was placed last."""

import random

from wisteriawood.contracts import quotas
from wisteriawood.policies.eviction import base


@base.EVICTION.register("newest")
class Newest:
    """Evicts the newest attempt first.

    Args:
        rng: Not used.
        team_quotas: Not used.
    """

    __slots__ = ()

    def __init__(self, *, rng: random.Random, team_quotas: quotas.Quotas):
        pass

    def cost(self, victim: base.Victim) -> float:
        """Return a cost that grows with the seconds since placement."""
        return 1.0 + victim.elapsed_s
