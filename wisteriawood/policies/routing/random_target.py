"""Routing to a random target, the baseline for the other policies."""

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("random")
class RandomTarget(base.BasePolicy):
    """Chooses a random target with a free slot.

    Args:
        rng: Source of random numbers.
    """

    __slots__ = ()

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return a random target."""
        return self._rng.choice(free)
