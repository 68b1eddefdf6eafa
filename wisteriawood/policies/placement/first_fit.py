"""Placement on the first worker on which the task fits."""

from wisteriawood.machines import indexes
from wisteriawood.policies.placement import base


@base.PLACEMENT.register("first-fit")
class FirstFit:
    """Scans the workers and chooses the first on which the task fits.

    Args:
        context: Not used.
    """

    __slots__ = ()

    def __init__(self, **context):
        pass

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.IndexEntry:
        """Return the first worker on which the task fits."""
        return request.scan(index)[0]
