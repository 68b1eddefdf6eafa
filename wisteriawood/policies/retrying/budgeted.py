"""Retries limited by a budget that successful requests refill."""

import random

from wisteriawood.policies.retrying import base

SUCCESSES_PER_RETRY = 10
MAX_SAVED_RETRIES = 20
MAX_ATTEMPTS = 4
BASE_PAUSE_S = 0.01
MAX_PAUSE_S = 1.0


@base.RETRYING.register("budgeted")
class Budgeted:
    """Allows a retry for every few successes, after a pause with full jitter.

    Args:
        rng: Source of random numbers for the pauses.
    """

    __slots__ = ("_rng", "_saved_successes")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._saved_successes = MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY

    def record_success(self) -> None:
        """Record a successful request."""
        limit = MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY
        self._saved_successes = min(limit, self._saved_successes + 1)

    def available(self) -> int:
        """Return how many retries are allowed now."""
        return self._saved_successes // SUCCESSES_PER_RETRY

    def spend(self, *, failures: int) -> float | None:
        """Use one of the allowed retries."""
        if failures >= MAX_ATTEMPTS or not self.available():
            return None
        self._saved_successes -= SUCCESSES_PER_RETRY
        max_pause_s = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** (failures - 1))
        return self._rng.uniform(0.0, max_pause_s)
