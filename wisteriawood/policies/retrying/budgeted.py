"""Retries within a share of the recent successes."""

import random

from wisteriawood.policies.retrying import base

SUCCESSES_PER_RETRY = 10
MOST_RETRIES_SAVED = 20
MAX_ATTEMPTS = 4
BASE_PAUSE_S = 0.01
MAX_PAUSE_S = 1.0


@base.RETRYING.register("budgeted")
class Budgeted:
    """Lets each success pay for a part of a retry; pauses with full jitter.

    Args:
        rng: Makes the pauses.
    """

    __slots__ = ("_rng", "_successes")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._successes = MOST_RETRIES_SAVED * SUCCESSES_PER_RETRY

    def succeeded(self) -> None:
        """Record a good answer."""
        most = MOST_RETRIES_SAVED * SUCCESSES_PER_RETRY
        self._successes = min(most, self._successes + 1)

    def available(self) -> int:
        """Return how many retries are allowed now."""
        return self._successes // SUCCESSES_PER_RETRY

    def spend(self, *, failures: int) -> float | None:
        """Take one retry out of those allowed."""
        if failures >= MAX_ATTEMPTS or not self.available():
            return None
        self._successes -= SUCCESSES_PER_RETRY
        longest_s = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** (failures - 1))
        return self._rng.uniform(0.0, longest_s)
