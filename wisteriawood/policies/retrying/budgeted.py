"""Retries within a share of the recent successes."""

import random

from wisteriawood.policies.retrying import base

RETRIES_PER_SUCCESS = 0.1
MOST_SAVED = 20.0
MAX_ATTEMPTS = 4
BASE_PAUSE_S = 0.01
MAX_PAUSE_S = 1.0


@base.RETRYING.register("budgeted")
class Budgeted:
    """Lets each success pay for a part of a retry; pauses with full jitter.

    Args:
        rng: Makes the pauses.
    """

    __slots__ = ("_rng", "_saved")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._saved = MOST_SAVED

    def succeeded(self) -> None:
        """Record a good answer."""
        self._saved = min(MOST_SAVED, self._saved + RETRIES_PER_SUCCESS)

    def available(self) -> int:
        """Return how many retries are allowed now."""
        return int(self._saved)

    def spend(self, *, failures: int) -> float | None:
        """Take one retry out of those allowed."""
        if failures >= MAX_ATTEMPTS or self._saved < 1:
            return None
        self._saved -= 1
        longest_s = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** (failures - 1))
        return self._rng.uniform(0.0, longest_s)
