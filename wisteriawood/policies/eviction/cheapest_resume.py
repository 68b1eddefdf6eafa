"""Eviction of the task that is cheapest to resume."""

import random

from wisteriawood.contracts import quotas
from wisteriawood.policies.eviction import base

# Seconds of work that a restart costs.
RESTART_S = 10.0
# Core-seconds to write and read a GiB of checkpoint.
CHECKPOINT_CORE_S_PER_GIB = 4.0
# Assumed share of evictions in which the checkpoint is lost.
CHECKPOINT_LOSS_SHARE = 0.1


@base.EVICTION.register("cheapest-resume")
class CheapestResume:
    """Adds the costs of the restart, the checkpoint and the work at risk.

    Args:
        rng: Not used.
        team_quotas: Weights that teams give to evictions.
    """

    __slots__ = ("_quotas",)

    def __init__(self, *, rng: random.Random, team_quotas: quotas.Quotas):
        self._quotas = team_quotas

    def cost(self, victim: base.Victim) -> float:
        """Return the cost in core-seconds, times the weight of the team."""
        cores = victim.allocated.cores
        memory_gib = victim.allocated.memory_bytes / 2**30
        at_risk_s = CHECKPOINT_LOSS_SHARE * victim.elapsed_s
        cost = (
            cores * (RESTART_S + at_risk_s)
            + CHECKPOINT_CORE_S_PER_GIB * memory_gib
        )
        weight = self._quotas.of(victim.spec.team).eviction_weight
        return max(weight, 0.01) * cost
