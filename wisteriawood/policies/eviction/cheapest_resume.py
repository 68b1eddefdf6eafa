"""Eviction of what is cheapest to resume."""

import random

from wisteriawood.contracts import quotas
from wisteriawood.policies.eviction import base

# Seconds of work that a restart costs.
RESTART_S = 10.0
# Core-seconds that writing and reading a GiB of checkpoint costs.
GIB_CORE_S = 4.0
# Share of evictions whose checkpoint is taken to be lost.
LOSS_SHARE = 0.1


@base.EVICTION.register("cheapest-resume")
class CheapestResume:
    """Counts the restart, the checkpoint and the work at risk.

    Args:
        rng: Not used.
        team_quotas: How teams weigh evictions.
    """

    __slots__ = ("_quotas",)

    def __init__(self, *, rng: random.Random, team_quotas: quotas.Quotas):
        self._quotas = team_quotas

    def cost(self, victim: base.Victim) -> float:
        """Return the core-seconds that the eviction costs, weighted."""
        cores = victim.counted.cores
        memory_gib = victim.counted.memory_bytes / 2**30
        at_risk_s = LOSS_SHARE * victim.elapsed_s
        cost = cores * (RESTART_S + at_risk_s) + GIB_CORE_S * memory_gib
        weight = self._quotas.of(victim.spec.team).eviction_weight
        return max(weight, 0.01) * cost
