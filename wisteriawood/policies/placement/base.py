"""Interface and registry of placement policies."""

import dataclasses
import random
import typing

from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.machines import indexes
from wisteriawood.policies import interference
from wisteriawood.policies import registry


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A task to place and the limits on the choice of a worker.

    Attributes:
        spec: The task.
        needs: Resources to allocate for it.
        candidates: Workers to choose from; None for all.
        avoid: Names of workers on which it failed.
        now_s: Monotonic time in seconds.
        share: Share of its resources that it starts with, 0 to 1.
        waited_s: Seconds for which it has waited.
    """

    spec: tasks.TaskSpec
    needs: resources.Resources
    candidates: list[indexes.IndexEntry] | None = None
    avoid: typing.AbstractSet[str] = frozenset()
    now_s: float = 0.0
    share: float = 1.0
    waited_s: float = 0.0

    def sample(
        self, index: indexes.WorkerIndex, count: int
    ) -> list[indexes.IndexEntry]:
        """Return random workers on which the task fits, at least one.

        Args:
            index: Index of the workers.
            count: Maximum number of workers to return.

        Raises:
            InsufficientCapacityError: The task fits on none of them.
        """
        candidates = self.candidates
        if candidates is None:
            candidates = index.sample(self.needs, count)
        return self._allowed(candidates)

    def scan(self, index: indexes.WorkerIndex) -> list[indexes.IndexEntry]:
        """Return all workers on which the task fits, at least one.

        Args:
            index: Index of the workers.

        Raises:
            InsufficientCapacityError: The task fits on none of them.
        """
        candidates = self.candidates
        if candidates is None:
            candidates = index.fitting(self.needs)
        return self._allowed(candidates)

    def _allowed(
        self, candidates: list[indexes.IndexEntry]
    ) -> list[indexes.IndexEntry]:
        allowed = [
            entry
            for entry in candidates
            if entry.worker.name not in self.avoid
        ]
        if not allowed:
            raise insufficient_capacity_error(self.needs)
        return allowed


class InsufficientCapacityError(errors.PlacementError):
    """No worker that was considered has enough free capacity."""


class HarmError(errors.PlacementError):
    """The task would slow its neighbours by more than is allowed."""


def insufficient_capacity_error(
    needs: resources.Resources,
) -> InsufficientCapacityError:
    """Return the error for resources that no worker has free.

    Args:
        needs: The resources.
    """
    gib = needs.memory_bytes / 2**30
    return InsufficientCapacityError(
        f"no worker has {needs.cores:.3g} cores, {gib:.3g} GiB and "
        f"{needs.accelerators} accelerators free"
    )


class PlacementPolicy(typing.Protocol):
    """Chooses a worker for a task."""

    def choose(
        self, request: Request, index: indexes.WorkerIndex
    ) -> indexes.IndexEntry:
        """Return a worker on which the task fits.

        Args:
            request: The task.
            index: Index of the workers that accept new tasks.

        Raises:
            InsufficientCapacityError: The task fits on no worker.
            HarmError: It would slow its neighbours by more than is
                allowed.
        """


class PlacementFactory(typing.Protocol):
    """Creates a placement policy."""

    def __call__(
        self,
        *,
        rng: random.Random,
        estimates: interference.Estimates,
        team_quotas: quotas.Quotas,
    ) -> PlacementPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
            estimates: Predicted slowdowns of classes by each other.
            team_quotas: Quotas and weights of the teams.
        """


PLACEMENT: registry.Registry[PlacementFactory] = registry.Registry(
    kind="placement policy"
)
DEFAULT = "least-harm"
