"""What a retry policy does, and the registry of them."""

import random
import typing

from wisteriawood.policies import registry


class RetryPolicy(typing.Protocol):
    """Says whether and when a failed request of a service is retried."""

    def succeeded(self) -> None:
        """Record a good answer."""

    def available(self) -> int:
        """Return how many retries are allowed now."""

    def spend(self, *, failures: int) -> float | None:
        """Take one retry out of those allowed.

        Args:
            failures: Attempts of the request that have failed.

        Returns:
            Seconds to pause before the retry; None if there is to be none.
        """


class RetryFactory(typing.Protocol):
    """Makes a retry policy."""

    def __call__(self, *, rng: random.Random) -> RetryPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
        """


RETRYING: registry.Registry[RetryFactory] = registry.Registry(
    kind="retry policy"
)
DEFAULT = "budgeted"
