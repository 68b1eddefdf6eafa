"""Estimates of how much tasks of one class slow those of another.

The harm of a pair of classes is the natural logarithm of the slowdown that
the aggressor would cause the victim if it used all cores of the worker.
"""

import dataclasses
import math
import typing

from wisteriawood.contracts import tasks

# Harm assumed of an aggressor without measurements.
PRIOR_HARM = 0.15
# Shares of a correction that are applied to the estimate of the aggressor
# over all victims, and to the estimate of the pair.
AGGRESSOR_LEARNING_RATE = 0.05
PAIR_LEARNING_RATE = 0.3
PAIR_HALF_LIFE_S = 3600.0
MAX_PAIRS = 16_384
MAX_HARM = 5.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Neighbour:
    """Tasks of one class on a worker.

    Attributes:
        name: Class of the tasks.
        team: Team that owns them.
        kind: Kind of the tasks.
        count: Number of tasks.
        load: Cores that they use, as a share of the worker's cores.
    """

    name: str
    team: str = ""
    kind: tasks.TaskKind = tasks.TaskKind.BATCH
    count: int = 1
    load: float


class Estimates(typing.Protocol):
    """Predicts slowdowns; benchmarks substitute the true values."""

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the harm of a pair of classes."""

    def observe(
        self,
        victim: str,
        neighbours: list[Neighbour],
        *,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Update the estimates with one measured slowdown."""


class PairEstimates:
    """Harm of each pair of classes, shrunk towards that of the aggressor.

    The logarithm of a task's slowdown is modelled as a sum over its
    neighbours: the harm of the pair times the load of the neighbour. Each
    measured slowdown corrects the harm of every neighbour in proportion to
    its load (normalised least mean squares). The estimate of a pair is
    stored as a difference from the estimate of the aggressor over all
    victims, and this difference decays to 0 over time.
    """

    __slots__ = ("_aggressor_harms", "_pair_differences")

    def __init__(self):
        self._aggressor_harms: dict[str, float] = {}
        self._pair_differences: dict[tuple[str, str], tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._pair_differences)

    def _pair_difference(self, key: tuple[str, str], now_s: float) -> float:
        found = self._pair_differences.get(key)
        if found is None:
            return 0.0
        value, updated_at_s = found
        return value * 0.5 ** ((now_s - updated_at_s) / PAIR_HALF_LIFE_S)

    def harm(self, victim: str, aggressor: str, now_s: float) -> float:
        """Return the harm of a pair of classes.

        Args:
            victim: Class of the slowed task.
            aggressor: Class of the neighbour.
            now_s: Monotonic time in seconds.
        """
        value = self._aggressor_harms.get(aggressor, PRIOR_HARM)
        found = self._pair_differences.get((victim, aggressor))
        if found is not None:
            value += found[0] * 0.5 ** ((now_s - found[1]) / PAIR_HALF_LIFE_S)
        return value if value > 0.0 else 0.0

    def observe(
        self,
        victim: str,
        neighbours: list[Neighbour],
        *,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Update the estimates with one measured slowdown.

        Args:
            victim: Class of the slowed task.
            neighbours: Classes on the same worker, each once.
            slowdown: Run time divided by the run time alone; 1 for no
                slowdown.
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
        # The constant term bounds the corrections when the loads are small.
        error = (math.log(max(slowdown, 1e-3)) - predicted) / (norm + 0.05)
        for name, load in loads.items():
            self._correct(victim, name, error * load, now_s)

    def _correct(
        self, victim: str, aggressor: str, step: float, now_s: float
    ) -> None:
        aggressor_harm = self._aggressor_harms.get(aggressor, PRIOR_HARM)
        aggressor_harm = min(
            max(aggressor_harm + AGGRESSOR_LEARNING_RATE * step, 0.0), MAX_HARM
        )
        self._aggressor_harms[aggressor] = aggressor_harm
        key = (victim, aggressor)
        value = self._pair_difference(key, now_s) + PAIR_LEARNING_RATE * step
        # harm() returns at least 0, so an unbounded difference could go on
        # falling without any effect on the predictions.
        value = min(max(value, -aggressor_harm), MAX_HARM)
        self._pair_differences.pop(key, None)
        if len(self._pair_differences) >= MAX_PAIRS:
            self._pair_differences.pop(next(iter(self._pair_differences)))
        self._pair_differences[key] = (value, now_s)
