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
        avoid: Workers on which it failed.
        now_s: Monotonic time in seconds.
    """

    spec: tasks.TaskSpec
    needs: resources.Resources
    avoid: frozenset[str] | set[str] = frozenset()
    now_s: float = 0.0


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
