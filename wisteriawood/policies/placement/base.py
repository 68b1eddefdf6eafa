"""What a placement policy does, and the registry of them."""

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
    """A task that asks for a worker.

    Attributes:
        spec: The task.
        needs: What it is counted with.
        among: Workers to choose from, if not from all.
        avoid: Workers on which it failed.
        now_s: Monotonic time in seconds.
        share: Share of its resources that it starts with, 0 to 1.
        waited_s: Seconds that it has waited.
    """

    spec: tasks.TaskSpec
    needs: resources.Resources
    among: list[indexes.Entry] | None = None
    avoid: typing.AbstractSet[str] = frozenset()
    now_s: float = 0.0
    share: float = 1.0
    waited_s: float = 0.0

    def sample(
        self, index: indexes.WorkerIndex, count: int
    ) -> list[indexes.Entry]:
        """Return random workers that can hold the task, at least one.

        Args:
            index: The workers.
            count: Most workers to return.

        Raises:
            NoRoomError: There is none.
        """
        drawn = self.among
        if drawn is None:
            drawn = index.sample(self.needs, count)
        return self._allowed(drawn)

    def scan(self, index: indexes.WorkerIndex) -> list[indexes.Entry]:
        """Return all workers that can hold the task, at least one.

        Args:
            index: The workers.

        Raises:
            NoRoomError: There is none.
        """
        found = self.among
        if found is None:
            found = index.fitting(self.needs)
        return self._allowed(found)

    def _allowed(self, found: list[indexes.Entry]) -> list[indexes.Entry]:
        allowed = [
            entry for entry in found if entry.worker.name not in self.avoid
        ]
        if not allowed:
            raise no_room(self.needs)
        return allowed


class NoRoomError(errors.PlacementError):
    """No worker that was looked at has enough free."""


class HarmError(errors.PlacementError):
    """The task would slow services by more than their team allows."""


def no_room(needs: resources.Resources) -> NoRoomError:
    """Return the error that no worker has an amount free.

    Args:
        needs: The amount.
    """
    gib = needs.memory_bytes / 2**30
    return NoRoomError(
        f"no worker has {needs.cores:.3g} cores, {gib:.3g} GiB and "
        f"{needs.accelerators} accelerators free"
    )


class PlacementPolicy(typing.Protocol):
    """Chooses a worker for a task."""

    def choose(
        self, request: Request, index: indexes.WorkerIndex
    ) -> indexes.Entry:
        """Return a worker that can hold the task.

        Args:
            request: The task.
            index: Workers that take new tasks.

        Raises:
            NoRoomError: No worker can hold it.
            HarmError: It would slow services too much.
        """


class PlacementFactory(typing.Protocol):
    """Makes a placement policy."""

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
            estimates: What is known of slowdowns.
            team_quotas: What teams weigh most.
        """


PLACEMENT: registry.Registry[PlacementFactory] = registry.Registry(
    kind="placement policy"
)
DEFAULT = "least-harm"
