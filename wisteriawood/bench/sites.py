"""Teams' machines and the tasks on them, with slowdowns by pair."""

import dataclasses
import math
import random

from wisteriawood.contracts import quotas
from wisteriawood.policies import interference


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TaskClass:
    """Tasks that are alike.

    Attributes:
        name: Name of the class.
        cores: Cores that one uses, typically.
        memory_gib: Memory that one uses, typically.
        run_s: Seconds that one runs alone, typically.
        aggression: Logarithm of the slowdown that a worker full of them
            causes, before the pair's own factor.
        bias: Declared size against the true one; 0 for tenfold either way
            at random for each task.
    """

    name: str
    cores: float
    memory_gib: float
    run_s: float = 0.0
    aggression: float = 0.1
    bias: float = 1.0


NOISY = TaskClass(
    name="noisy", cores=4, memory_gib=6, run_s=60, aggression=1.4, bias=0.2
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """A team's machines and what runs there.

    Attributes:
        team: Name of the team.
        workers: Workers.
        quota: What the team weighs most.
        service: Its service.
        instances: Instances of the service.
        batch: Its batch jobs.
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
        TaskClass(name="stock", cores=2, memory_gib=4, run_s=40, bias=10),
        TaskClass(
            name="fit",
            cores=8,
            memory_gib=12,
            run_s=120,
            aggression=0.3,
            bias=0,
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
        TaskClass(name="archive", cores=2, memory_gib=24, run_s=60, bias=5),
        TaskClass(
            name="curve",
            cores=8,
            memory_gib=6,
            run_s=90,
            aggression=0.4,
            bias=0,
        ),
        TaskClass(
            name="audit",
            cores=3,
            memory_gib=8,
            run_s=50,
            aggression=0.6,
            bias=10,
        ),
        NOISY,
    ),
)


class Truth:
    """The slowdowns of pairs, hidden from the policies.

    Args:
        site: Whose classes.
        rng: Source of random numbers.
    """

    __slots__ = ("_pairs",)

    def __init__(self, *, site: Site, rng: random.Random):
        self._pairs: dict[tuple[str, str], float] = {}
        classes = (site.service, *site.batch)
        for victim in classes:
            for other in classes:
                factor = math.exp(rng.gauss(0.0, 0.5))
                key = (
                    f"{site.team}/{victim.name}",
                    f"{site.team}/{other.name}",
                )
                self._pairs[key] = other.aggression * factor

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the logarithm of the slowdown by a whole worker's load."""
        return self._pairs[victim, aggressor]

    def observe(self, victim: str, neighbours, **measured) -> None:
        """Learn nothing; all is known."""

    def slowdown(
        self,
        victim: str,
        neighbours: list[interference.Neighbour],
        busy: float,
    ) -> float:
        """Return how much slower a task runs; 1 if it runs alone.

        Args:
            victim: Class of the task.
            neighbours: Classes beside it.
            busy: Load of the whole worker; harm grows with it.
        """
        total = sum(
            self.harm(victim, other.name, 0.0) * other.load
            for other in neighbours
        )
        return math.exp(total * (0.7 + 0.5 * busy)) * max(1.0, busy)
