"""Placement on a random worker on which the task fits."""

import random

from wisteriawood.machines import indexes
from wisteriawood.policies.placement import base

SAMPLE_SIZE = 4


@base.PLACEMENT.register("random")
class RandomFit:
    """Chooses a random worker on which the task fits.

    Args:
        rng: Source of random numbers.
        context: Not used.
    """

    __slots__ = ("_rng",)

    def __init__(self, *, rng: random.Random, **context):
        self._rng = rng

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.IndexEntry:
        """Return a random worker on which the task fits."""
        return self._rng.choice(request.sample(index, SAMPLE_SIZE))
