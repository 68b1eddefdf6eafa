"""Sizes of tasks, learned from usage reports."""

import array

from wisteriawood.contracts import resources

HISTORY = 32
MIN_SAMPLES = 4
CORES_QUANTILE = 0.6
CORES_MARGIN = 1.0
MEMORY_MARGIN = 1.15
MAX_CLASSES = 4096


class Ring:
    """The newest values of one figure.

    Args:
        quantile: Quantile that is asked for, 0 to 1.
    """

    __slots__ = ("_next", "_quantile", "_value", "_values")

    def __init__(self, *, quantile: float):
        self._next = 0
        self._quantile = quantile
        self._value: float | None = None
        self._values = array.array("f")

    def add(self, value: float) -> None:
        """Add a value; the oldest one is forgotten."""
        self._value = None
        if len(self._values) < HISTORY:
            self._values.append(value)
            return
        self._values[self._next] = value
        self._next = (self._next + 1) % HISTORY

    def value(self) -> float:
        """Return the quantile of the values."""
        if self._value is None:
            found = sorted(self._values)
            place = min(len(found) - 1, int(self._quantile * len(found)))
            self._value = found[place]
        return self._value

    def spread(self) -> float:
        """Return how far the values lie apart, as a ratio; 1 if alike."""
        found = sorted(self._values)
        low = found[len(found) // 10]
        high = found[len(found) - 1 - len(found) // 10]
        return high / max(low, 1e-6)


class ClassSizes:
    """What the tasks of one class were seen to use."""

    __slots__ = (
        "cores",
        "cores_ratio",
        "count",
        "memory_bytes",
        "memory_ratio",
    )

    def __init__(self):
        self.count = 0
        self.cores = Ring(quantile=CORES_QUANTILE)
        self.cores_ratio = Ring(quantile=CORES_QUANTILE)
        self.memory_bytes = Ring(quantile=1.0)
        self.memory_ratio = Ring(quantile=1.0)


class Sizes:
    """Predicts what a task uses from its class and what it declares.

    Two figures are learned for each class: the use itself, and the use as a
    ratio of what was declared. The one that varies less counts for cores,
    the lower bound for memory, so a class whose tasks are alike and one
    whose declarations are wrong in the same way are both predicted closely.
    """

    __slots__ = ("_classes",)

    def __init__(self):
        self._classes: dict[str, ClassSizes] = {}

    def __len__(self) -> int:
        return len(self._classes)

    def is_known(self, name: str) -> bool:
        """Tell whether enough was seen of a class to predict its tasks.

        Args:
            name: The class.
        """
        found = self._classes.get(name)
        return found is not None and found.count >= MIN_SAMPLES

    def observe(
        self,
        name: str,
        *,
        declared: resources.Resources,
        used: resources.Resources,
    ) -> None:
        """Learn from what one task used at its peak.

        Args:
            name: Class of the task.
            declared: What it declared.
            used: What it used.
        """
        found = self._classes.get(name)
        if found is None:
            if len(self._classes) >= MAX_CLASSES:
                self._classes.pop(next(iter(self._classes)))
            found = self._classes[name] = ClassSizes()
        found.count += 1
        found.cores.add(used.cores)
        found.cores_ratio.add(used.cores / max(declared.cores, 1e-3))
        found.memory_bytes.add(used.memory_bytes)
        found.memory_ratio.add(
            used.memory_bytes / max(declared.memory_bytes, 1)
        )

    def predict(
        self, name: str, declared: resources.Resources
    ) -> resources.Resources:
        """Return what a task is counted with.

        Args:
            name: Class of the task.
            declared: What it declares.

        Returns:
            The learned size with a margin, or the declared one as long as
            too little is known of the class.
        """
        found = self._classes.get(name)
        if found is None or found.count < MIN_SAMPLES:
            return declared
        cores = found.cores.value()
        if found.cores_ratio.spread() < found.cores.spread():
            cores = found.cores_ratio.value() * declared.cores
        memory_bytes = min(
            found.memory_bytes.value(),
            found.memory_ratio.value() * declared.memory_bytes,
        )
        return resources.Resources(
            cores=max(0.1, cores * CORES_MARGIN),
            memory_bytes=int(memory_bytes * MEMORY_MARGIN),
            accelerators=declared.accelerators,
        )
