"""Placement on the worker with the most free cores."""

from wisteriawood.machines import indexes
from wisteriawood.policies.placement import base


@base.PLACEMENT.register("least-loaded")
class LeastLoaded:
    """Scans the workers and chooses the one with the most free cores.

    Of workers with equally many, it chooses the first.

    Args:
        context: Not used.
    """

    __slots__ = ()

    def __init__(self, **context):
        pass

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.IndexEntry:
        """Return the worker with the most free cores."""
        return max(
            request.scan(index), key=lambda entry: entry.worker.free.cores
        )
