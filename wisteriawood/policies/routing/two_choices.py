"""Routing to the less loaded of two targets taken at random."""

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("two-choices")
class TwoChoices(base.BasePolicy):
    """Chooses the target with fewer requests in flight out of two.

    Args:
        rng: Takes the two.
    """

    __slots__ = ()

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
