"""Placement on the worker with the most free cores."""

from wisteriawood.machines import indexes
from wisteriawood.policies.placement import base


@base.PLACEMENT.register("least-loaded")
class LeastLoaded:
    """Chooses the worker with the most free cores, by a scan.

    Args:
        context: Not used; ties go to the first.
    """

    __slots__ = ()

    def __init__(self, **context):
        pass

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.Entry:
        """Return the worker with the most free cores that fits."""
        fitting = [
            entry
            for entry in index.fitting(request.needs)
            if entry.worker.name not in request.avoid
        ]
        if not fitting:
            raise base.no_room(request.needs)
        return max(fitting, key=lambda entry: entry.worker.free.cores)
