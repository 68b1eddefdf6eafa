"""What a routing policy does, and the registry of them."""

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
            free: The targets with a free slot, at least one.
            busy: The other targets that may be used.
            queued: Requests that want a slot, this one included.
        """

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Learn from an answer.

        Args:
            target: Target that answered.
            latency_s: Time that the request took at the target.
        """

    def slowdowns(self) -> dict[str, float]:
        """Return how many times slower than its peers each slow target is."""

    def tend(self) -> None:
        """Do what is due by time alone; called several times a second."""

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left.

        Args:
            target_id: Id of the target.
        """


class BasePolicy:
    """What the policies share: they learn nothing, unless they say so.

    Args:
        rng: Source of random numbers.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def observe(self, target: targets.Target, *, latency_s: float) -> None:
        """Learn nothing."""

    def slowdowns(self) -> dict[str, float]:
        """Return nothing: no target is known to be slow."""
        return {}

    def tend(self) -> None:
        """Do nothing: nothing that was learned fades."""

    def forget(self, target_id: str) -> None:
        """Drop nothing."""


class RoutingFactory(typing.Protocol):
    """Makes a routing policy."""

    def __call__(self, *, rng: random.Random) -> RoutingPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
        """


ROUTING: registry.Registry[RoutingFactory] = registry.Registry(
    kind="routing policy"
)
DEFAULT = "interference-aware"
