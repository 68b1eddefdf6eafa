"""How much tasks of one class slow those of another, as learned."""

import dataclasses
import math
import typing

from wisteriawood.contracts import tasks

PRIOR = 0.15
CLASS_RATE = 0.05
PAIR_RATE = 0.3
HALF_LIFE_S = 3600.0
MAX_PAIRS = 16_384
MAX_HARM = 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Neighbour:
    """Tasks of one class on a worker.

    Attributes:
        name: Class of the tasks.
        team: Team that owns them.
        kind: Their kind.
        count: How many they are.
        load: Cores that they use, as a share of the worker's.
    """

    name: str
    team: str = ""
    kind: tasks.TaskKind = tasks.TaskKind.BATCH
    count: int = 1
    load: float


class Estimates(typing.Protocol):
    """Predicts slowdowns; a benchmark can put the truth in its place."""

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the logarithm of the slowdown by a whole worker's load."""

    def observe(
        self,
        victim: str,
        neighbours: list[Neighbour],
        *,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Learn from one measured slowdown."""


class PairEstimates:
    """Slowdown of each pair of classes, shrunk to that of the aggressor.

    The logarithm of a task's slowdown is taken as a sum over its
    neighbours: harm of the pair times the neighbour's load. A measured
    slowdown corrects each neighbour's harm by its part in the sum
    (normalised least mean squares). What is learned of a pair decays to
    what is known of the aggressor on the whole.
    """

    __slots__ = ("_aggressors", "_pairs")

    def __init__(self):
        self._aggressors: dict[str, float] = {}
        self._pairs: dict[tuple[str, str], tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._pairs)

    def _pair(self, key: tuple[str, str], now_s: float) -> float:
        found = self._pairs.get(key)
        if found is None:
            return 0.0
        value, at_s = found
        return value * 0.5 ** ((now_s - at_s) / HALF_LIFE_S)

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the logarithm of the slowdown by a whole worker's load.

        Args:
            victim: Class of the slowed task.
            aggressor: Class of the neighbour.
            now_s: Monotonic time in seconds.
        """
        value = self._aggressors.get(aggressor, PRIOR)
        found = self._pairs.get((victim, aggressor))
        if found is not None:
            value += found[0] * 0.5 ** ((now_s - found[1]) / HALF_LIFE_S)
        return value if value > 0.0 else 0.0

    def observe(
        self,
        victim: str,
        neighbours: list[Neighbour],
        *,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Learn from one measured slowdown.

        Args:
            victim: Class of the slowed task.
            neighbours: The classes beside it, each once.
            slowdown: Run time against running alone; 1 for none.
            now_s: Monotonic time of the measurement in seconds.
        """
        loads = {other.name: other.load for other in neighbours}
        norm = sum(load * load for load in loads.values())
        if not norm:
            return
        predicted = sum(
            self.harm(victim, name, now_s) * load
            for name, load in loads.items()
        )
        # A little of the norm keeps small loads from large corrections.
        error = (math.log(max(slowdown, 1e-3)) - predicted) / (norm + 0.05)
        for name, load in loads.items():
            self._correct(victim, name, error * load, now_s)

    def _correct(
        self, victim: str, aggressor: str, step: float, now_s: float
    ) -> None:
        mean = self._aggressors.get(aggressor, PRIOR)
        mean = min(max(mean + CLASS_RATE * step, 0.0), MAX_HARM)
        self._aggressors[aggressor] = mean
        key = (victim, aggressor)
        value = self._pair(key, now_s) + PAIR_RATE * step
        # The sum stays in its bounds, so that no value runs away unseen.
        value = min(max(value, -mean), MAX_HARM)
        self._pairs.pop(key, None)
        if len(self._pairs) >= MAX_PAIRS:
            self._pairs.pop(next(iter(self._pairs)))
        self._pairs[key] = (value, now_s)
