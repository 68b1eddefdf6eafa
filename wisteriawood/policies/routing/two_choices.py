"""Routing to the less loaded of two random targets."""

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("two-choices")
class TwoChoices(base.BasePolicy):
    """Chooses the one of two random targets with fewer requests in flight.

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
        """Return the less loaded of two random targets."""
        one = self._rng.choice(free)
        other = self._rng.choice(free)
        return other if other.in_flight < one.in_flight else one
