"""Routing to the target with the fewest requests of this host in flight."""

from wisteriawood.machines import targets
from wisteriawood.policies.routing import base


@base.ROUTING.register("least-in-flight")
class LeastInFlight(base.BasePolicy):
    """Chooses the target with the fewest requests of this host in flight.

    Args:
        rng: Breaks ties.
    """

    __slots__ = ()

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return the target with the fewest requests in flight."""
        fewest = min(target.in_flight for target in free)
        return self._rng.choice(
            [target for target in free if target.in_flight == fewest]
        )
