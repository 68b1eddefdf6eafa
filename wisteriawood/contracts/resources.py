"""Amounts of CPU, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Resources:
    """Amounts that a task needs or a worker offers.

    Attributes:
        cores: CPU cores; fractions are allowed.
        memory_bytes: Memory in bytes.
        accelerators: Number of accelerators.
    """

    cores: float = 0.0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            cores=self.cores + other.cores,
            memory_bytes=self.memory_bytes + other.memory_bytes,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            cores=self.cores - other.cores,
            memory_bytes=self.memory_bytes - other.memory_bytes,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, free: "Resources") -> bool:
        """Return whether this amount fits into the free one.

        Args:
            free: Free resources; cores are compared with a tolerance of
                1e-9.
        """
        return (
            self.cores <= free.cores + 1e-9
            and self.memory_bytes <= free.memory_bytes
            and self.accelerators <= free.accelerators
        )


NOTHING = Resources()
