"""Interface and registry of eviction policies."""

import dataclasses
import random
import typing

from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.policies import registry


@dataclasses.dataclass(slots=True, kw_only=True)
class Victim:
    """A task that could be evicted.

    Attributes:
        spec: The task.
        worker: Name of its worker.
        allocated: Resources that its eviction frees.
        elapsed_s: Seconds since its attempt was placed.
        harm: Predicted slowdown of services that the task causes, as a
            logarithm.
    """

    spec: tasks.TaskSpec
    worker: str
    allocated: resources.Resources
    elapsed_s: float = 0.0
    harm: float = 0.0


class EvictionPolicy(typing.Protocol):
    """Computes costs; the task with the lowest cost is evicted first."""

    def cost(self, victim: Victim) -> float:
        """Return the cost of an eviction, above 0.

        Args:
            victim: The task.
        """


class EvictionFactory(typing.Protocol):
    """Creates an eviction policy."""

    def __call__(
        self, *, rng: random.Random, team_quotas: quotas.Quotas
    ) -> EvictionPolicy:
        """Return a new policy.

        Args:
            rng: Source of random numbers.
            team_quotas: Quotas and weights of the teams.
        """


EVICTION: registry.Registry[EvictionFactory] = registry.Registry(
    kind="eviction policy"
)
DEFAULT = "cheapest-resume"


def eviction_order(
    policy: EvictionPolicy, victims: list[Victim]
) -> list[Victim]:
    """Return tasks in the order of eviction, batch jobs first.

    Args:
        policy: Computes the costs.
        victims: Tasks that could be evicted.
    """
    return sorted(
        victims,
        key=lambda victim: (
            victim.spec.kind != tasks.TaskKind.BATCH,
            policy.cost(victim),
            victim.spec.id,
        ),
    )
