"""No retries, the baseline for the other policies."""

import random

from wisteriawood.policies.retrying import base


@base.RETRYING.register("never")
class Never:
    """Never retries a request.

    Args:
        rng: Not used.
    """

    __slots__ = ()

    def __init__(self, *, rng: random.Random):
        pass

    def record_success(self) -> None:
        """Do nothing."""

    def available(self) -> int:
        """Return 0."""
        return 0

    def spend(self, *, failures: int) -> float | None:
        """Return None."""
        return None
