"""Spreading to the first worker with enough free capacity."""

from wisteriawood.cells import interference_models
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base


@base.SPREADING.register("first-fit")
class FirstFit:
    """Chooses the worker with the lowest id."""

    __slots__ = ()

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> workers.Worker | None:
        """Return the worker with the lowest id."""
        del step, model
        return min(candidates, key=lambda worker: worker.id)

    def find_limit(
        self,
        worker: workers.Worker,
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> str:
        """Return an empty string: there are no load limits."""
        del worker, step, model
        return ""
