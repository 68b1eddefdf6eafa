"""Workers and workloads of two teams, with slowdowns by pair of classes."""

import dataclasses
import math
import random

from wisteriawood.contracts import quotas
from wisteriawood.policies import interference


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TaskClass:
    """Tasks with similar properties.

    Attributes:
        name: Name of the class.
        cores: Typical number of cores that a task uses.
        memory_gib: Typical memory that a task uses, in GiB.
        run_s: Typical run time of a task without slowdown, in seconds.
        aggression: Natural logarithm of the slowdown that a worker full of
            these tasks causes, before the random factor of the pair.
        declared_ratio: Declared size divided by the actual size; 0 for a
            random ratio from 0.1 to 10 for each task.
    """

    name: str
    cores: float
    memory_gib: float
    run_s: float = 0.0
    aggression: float = 0.1
    declared_ratio: float = 1.0


NOISY = TaskClass(
    name="noisy",
    cores=4,
    memory_gib=6,
    run_s=60,
    aggression=1.4,
    declared_ratio=0.2,
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """Workers of a team and the tasks that run on them.

    Attributes:
        team: Name of the team.
        workers: Number of workers.
        quota: Quota of the team, with the weights of its objectives.
        service: Class of the service's instances.
        instances: Number of instances of the service.
        batch: Classes of batch jobs; the last one is the noisy class.
    """

    team: str
    workers: int
    quota: quotas.Quota
    service: TaskClass
    instances: int
    batch: tuple[TaskClass, ...]


KROUPA = Site(
    team="kroupa",
    workers=35,
    quota=quotas.Quota(team="kroupa", tail_latency_weight=2.0),
    service=TaskClass(name="shop", cores=6, memory_gib=12),
    instances=35,
    batch=(
        TaskClass(name="pattern", cores=6, memory_gib=8, run_s=90),
        TaskClass(
            name="images", cores=3, memory_gib=20, run_s=60, aggression=0.5
        ),
        TaskClass(
            name="stock", cores=2, memory_gib=4, run_s=40, declared_ratio=10
        ),
        TaskClass(
            name="fit",
            cores=8,
            memory_gib=12,
            run_s=120,
            aggression=0.3,
            declared_ratio=0,
        ),
        NOISY,
    ),
)
VITRINENKLIMA = Site(
    team="vitrinenklima",
    workers=25,
    quota=quotas.Quota(
        team="vitrinenklima", throughput_weight=2.0, eviction_weight=2.0
    ),
    service=TaskClass(name="humidity", cores=4, memory_gib=8),
    instances=25,
    batch=(
        TaskClass(name="bundle", cores=4, memory_gib=12, run_s=120),
        TaskClass(
            name="archive", cores=2, memory_gib=24, run_s=60, declared_ratio=5
        ),
        TaskClass(
            name="curve",
            cores=8,
            memory_gib=6,
            run_s=90,
            aggression=0.4,
            declared_ratio=0,
        ),
        TaskClass(
            name="audit",
            cores=3,
            memory_gib=8,
            run_s=50,
            aggression=0.6,
            declared_ratio=10,
        ),
        NOISY,
    ),
)


class TrueSlowdowns:
    """True slowdowns of each pair of classes.

    The policies have to learn them, except in runs with an oracle.

    Args:
        site: Site whose classes are paired.
        rng: Random number generator for the factor of each pair.
    """

    __slots__ = ("_harms",)

    def __init__(self, *, site: Site, rng: random.Random):
        self._harms: dict[tuple[str, str], float] = {}
        classes = (site.service, *site.batch)
        for victim in classes:
            for other in classes:
                factor = math.exp(rng.gauss(0.0, 0.5))
                key = (
                    f"{site.team}/{victim.name}",
                    f"{site.team}/{other.name}",
                )
                self._harms[key] = other.aggression * factor

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the logarithm of the slowdown on a fully loaded worker."""
        return self._harms[victim, aggressor]

    def observe(self, victim: str, neighbours, **measured) -> None:
        """Do nothing: an oracle learns nothing from measurements."""

    def slowdown(
        self,
        victim: str,
        neighbours: list[interference.Neighbour],
        worker_load: float,
    ) -> float:
        """Return the slowdown of a task; 1 if it runs alone.

        Args:
            victim: Class of the task.
            neighbours: Classes on the same worker.
            worker_load: Load of the whole worker as a share of its cores;
                the harm increases with it.
        """
        total = sum(
            self.harm(victim, other.name, 0.0) * other.load
            for other in neighbours
        )
        return math.exp(total * (0.7 + 0.5 * worker_load)) * max(
            1.0, worker_load
        )
