"""Placement on the first worker that fits."""

from wisteriawood.machines import indexes
from wisteriawood.policies.placement import base


@base.PLACEMENT.register("first-fit")
class FirstFit:
    """Chooses the first worker that fits, by a scan.

    Args:
        context: Not used.
    """

    __slots__ = ()

    def __init__(self, **context):
        pass

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.Entry:
        """Return the first worker that fits."""
        return request.scan(index)[0]
