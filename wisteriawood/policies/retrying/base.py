"""Interface and registry of retry policies."""

import random
import typing

from wisteriawood.policies import registry


class RetryPolicy(typing.Protocol):
    """Decides whether and when failed requests of a service are retried."""

    def record_success(self) -> None:
        """Record a successful request."""

    def available(self) -> int:
        """Return how many retries are allowed now."""

    def spend(self, *, failures: int) -> float | None:
        """Use one of the allowed retries.

        Args:
            failures: Attempts of the request that have failed.

        Returns:
            Seconds to pause before the retry; None if there is no retry.
        """


class RetryFactory(typing.Protocol):
    """Creates a retry policy."""

    def __call__(self, *, rng: random.Random) -> RetryPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
        """


RETRYING: registry.Registry[RetryFactory] = registry.Registry(
    kind="retry policy"
)
DEFAULT = "budgeted"
