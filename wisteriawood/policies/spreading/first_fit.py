"""Spreading to the first worker with enough free capacity."""

from wisteriawood.cells import pressure
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base


@base.POLICIES.register("first-fit")
class FirstFit:
    """Chooses the worker with the lowest id."""

    __slots__ = ()

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        book: pressure.PressureBook,
    ) -> workers.Worker | None:
        """Return the worker with the lowest id."""
        del step, book
        return min(candidates, key=lambda worker: worker.id)
