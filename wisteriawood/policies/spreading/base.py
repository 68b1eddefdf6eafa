"""Interface and registry of spreading policies."""

import typing

from wisteriawood.cells import interference_models
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies import registry

DEFAULT = "least-pressed"


class SpreadingPolicy(typing.Protocol):
    """Chooses the worker of a run from those with enough free capacity."""

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> workers.Worker | None:
        """Return the chosen worker, or None to wait.

        Args:
            candidates: Usable workers with enough free capacity, at least one.
            step: Step of the task.
            model: Model of how fillers slow latency-sensitive tasks.
        """

    def find_limit(
        self,
        worker: workers.Worker,
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> str:
        """Return why a worker with enough free capacity is never chosen.

        Args:
            worker: The worker.
            step: Step of the task.
            model: Model of how fillers slow latency-sensitive tasks.

        Returns:
            The limit that it would exceed; empty if it may be chosen.
        """


SPREADING: registry.Registry[type[SpreadingPolicy]] = registry.Registry(
    kind="spreading policy"
)
