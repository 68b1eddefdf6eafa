"""What a placement policy does, and the registry of them."""

import random
import typing

from wisteriawood.contracts import tasks
from wisteriawood.machines import workers
from wisteriawood.policies import registry


class PlacementPolicy(typing.Protocol):
    """Chooses a worker for a task."""

    def choose(
        self, spec: tasks.TaskSpec, candidates: list[workers.Worker]
    ) -> workers.Worker | None:
        """Return a worker that can hold the task, or None.

        Args:
            spec: The task.
            candidates: Workers that take new tasks.
        """


class PlacementFactory(typing.Protocol):
    """Makes a placement policy."""

    def __call__(self, *, rng: random.Random) -> PlacementPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
        """


PLACEMENT: registry.Registry[PlacementFactory] = registry.Registry(
    kind="placement policy"
)
DEFAULT = "least-loaded"
