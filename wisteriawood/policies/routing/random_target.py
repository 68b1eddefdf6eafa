"""Routing to any target with a free slot, the yardstick of the others."""

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("random")
class RandomTarget(base.BasePolicy):
    """Chooses any target with a free slot.

    Args:
        rng: Makes the choices.
    """

    __slots__ = ()

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return any of the targets."""
        return self._rng.choice(free)
