"""Placement on the worker with the most free cores."""

import random

from wisteriawood.contracts import tasks
from wisteriawood.machines import workers
from wisteriawood.policies.placement import base


@base.PLACEMENT.register("least-loaded")
class LeastLoaded:
    """Chooses the worker with the most free cores.

    Args:
        rng: Not used; ties go to the first.
    """

    __slots__ = ()

    def __init__(self, *, rng: random.Random):
        pass

    def choose(
        self, spec: tasks.TaskSpec, candidates: list[workers.Worker]
    ) -> workers.Worker | None:
        """Return the worker with the most free cores that fits."""
        fitting = [w for w in candidates if spec.needs.fits(w.free)]
        return max(fitting, key=lambda w: w.free.cores, default=None)
