"""Measurements that benchmarks return, and the registry of benchmarks."""

import dataclasses
import typing

from wisteriawood.policies import registry


@dataclasses.dataclass(slots=True, kw_only=True)
class Measurement:
    """One value that a benchmark measured, with its bounds.

    Attributes:
        name: Name in the form area/case/figure.
        value: Measured value.
        unit: Unit of the value.
        at_most: Upper bound, inclusive; None for no upper bound.
        at_least: Lower bound, inclusive; None for no lower bound.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def is_within_bounds(self) -> bool:
        """Return whether the value is within its bounds."""
        if self.at_most is not None and not self.value <= self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least

    def format_bounds(self) -> str:
        """Return the bounds as text; empty if there are none."""
        parts = []
        if self.at_least is not None:
            parts.append(f">= {self.at_least:g}")
        if self.at_most is not None:
            parts.append(f"<= {self.at_most:g}")
        return " and ".join(parts)


Benchmark = typing.Callable[[], list[Measurement]]

BENCHMARKS: registry.Registry[Benchmark] = registry.Registry(kind="benchmark")
