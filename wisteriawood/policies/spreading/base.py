"""What the policies of spreading share."""

import typing

from wisteriawood.cells import pressure
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies import registry

DEFAULT = "least-pressed"


class SpreadingPolicy(typing.Protocol):
    """Chooses the worker of a run among those that have room."""

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        book: pressure.PressureBook,
    ) -> workers.Worker | None:
        """Return the best worker, or None to wait.

        Args:
            candidates: Usable workers that have room, never empty.
            step: Step of the task.
            book: What is known of how fillers disturb serving tasks.
        """


POLICIES: registry.Registry[type[SpreadingPolicy]] = registry.Registry(
    kind="spreading policy"
)
