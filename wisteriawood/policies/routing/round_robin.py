"""Routing to each target in turn."""

import random

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("round-robin")
class RoundRobin(base.BasePolicy):
    """Cycles through the targets by id, skipping those without a free slot.

    Args:
        rng: Not used.
    """

    __slots__ = ("_last_id",)

    def __init__(self, *, rng: random.Random):
        super().__init__(rng=rng)
        self._last_id = ""

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the free target whose id follows the last one chosen."""
        later = [target for target in free if target.id > self._last_id]
        chosen = min(later or free, key=lambda target: target.id)
        self._last_id = chosen.id
        return chosen
