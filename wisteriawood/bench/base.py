"""What a benchmark measures, and the registry of them."""

import dataclasses
import typing

from wisteriawood.policies import registry


@dataclasses.dataclass(slots=True, kw_only=True)
class Measure:
    """One figure of a benchmark.

    Attributes:
        name: What was measured, as area/case/figure.
        value: The figure.
        unit: Its unit.
        at_most: Greatest value within the bound; None for no bound.
        at_least: Least value within the bound; None for no bound.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def is_met(self) -> bool:
        """Tell whether the figure keeps its bounds."""
        if self.at_most is not None and not self.value <= self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least

    def bound(self) -> str:
        """Return the bounds as text; empty if there are none."""
        parts = []
        if self.at_least is not None:
            parts.append(f">= {self.at_least:g}")
        if self.at_most is not None:
            parts.append(f"<= {self.at_most:g}")
        return " and ".join(parts)


Bench = typing.Callable[[], list[Measure]]

BENCHES: registry.Registry[Bench] = registry.Registry(kind="benchmark")
