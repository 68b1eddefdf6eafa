"""Interface and registry of routing policies."""

import random
import typing

from wisteriawood.machines import targets
from wisteriawood.policies import registry


class RoutingPolicy(typing.Protocol):
    """Chooses a target for a request."""

    def choose(
        self,
        free: list[targets.Target],
        *,
        busy: list[targets.Target],
        queued: int,
    ) -> targets.Target | None:
        """Return one of the targets with a free slot, or None to wait.

        Args:
            free: Targets with a free slot, at least one.
            busy: The other usable targets, which have no free slot.
            queued: Number of requests that wait for a slot, including this
                one.
        """

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Record the latency of a request.

        Args:
            target: Target that answered.
            latency_s: Time that the request took at the target, in
                seconds.
        """

    def slowdowns(self) -> dict[str, float]:
        """Return the slow targets by id, with their slowdown factor."""

    def tick(self) -> None:
        """Update time-dependent state; called several times a second."""

    def forget(self, target_id: str) -> None:
        """Discard the state of a target that was removed.

        Args:
            target_id: Id of the target.
        """


class BasePolicy:
    """Base of policies; keeps no state about targets unless overridden.

    Args:
        rng: Source of random numbers.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Do nothing."""

    def slowdowns(self) -> dict[str, float]:
        """Return no targets."""
        return {}

    def tick(self) -> None:
        """Do nothing."""

    def forget(self, target_id: str) -> None:
        """Do nothing."""


class RoutingFactory(typing.Protocol):
    """Creates a routing policy."""

    def __call__(self, *, rng: random.Random) -> RoutingPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
        """


ROUTING: registry.Registry[RoutingFactory] = registry.Registry(
    kind="routing policy"
)
DEFAULT = "interference-aware"
