"""No retries, the yardstick of the others."""

import random

from wisteriawood.policies.retrying import base


@base.RETRYING.register("never")
class Never:
    """Retries nothing.

    Args:
        rng: Not used.
    """

    __slots__ = ()

    def __init__(self, *, rng: random.Random):
        pass

    def succeeded(self) -> None:
        """Learn nothing."""

    def available(self) -> int:
        """Return 0."""
        return 0

    def spend(self, *, failures: int) -> float | None:
        """Return None."""
        return None
