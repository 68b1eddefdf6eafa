"""Prediction of the resources that tasks use, from usage reports."""

import array

from wisteriawood.contracts import resources

# Samples that are kept for each class.
WINDOW_SIZE = 32
MIN_SAMPLES = 4
CORES_QUANTILE = 0.6
CORES_MARGIN = 1.0
MEMORY_MARGIN = 1.15
MAX_CLASSES = 4096


class QuantileWindow:
    """A sliding window over the newest values of one quantity.

    Args:
        quantile: Quantile that value() returns, 0 to 1.
    """

    __slots__ = ("_cached_value", "_oldest_index", "_quantile", "_values")

    def __init__(self, *, quantile: float):
        self._oldest_index = 0
        self._quantile = quantile
        self._cached_value: float | None = None
        self._values = array.array("f")

    def add(self, value: float) -> None:
        """Add a value; a full window drops the oldest one."""
        self._cached_value = None
        if len(self._values) < WINDOW_SIZE:
            self._values.append(value)
            return
        self._values[self._oldest_index] = value
        self._oldest_index = (self._oldest_index + 1) % WINDOW_SIZE

    def value(self) -> float:
        """Return the quantile of the values in the window."""
        if self._cached_value is None:
            ordered = sorted(self._values)
            index = min(len(ordered) - 1, int(self._quantile * len(ordered)))
            self._cached_value = ordered[index]
        return self._cached_value

    def spread_ratio(self) -> float:
        """Return the 90th percentile divided by the 10th."""
        ordered = sorted(self._values)
        low = ordered[len(ordered) // 10]
        high = ordered[len(ordered) - 1 - len(ordered) // 10]
        return high / max(low, 1e-6)


class ClassSizes:
    """Peak usage of the tasks of one class.

    Attributes:
        count: Number of samples; a long task adds several.
        cores: Cores used.
        cores_ratio: Cores used, divided by those declared.
        memory_bytes: Memory used.
        memory_ratio: Memory used, divided by that declared.
    """

    __slots__ = (
        "cores",
        "cores_ratio",
        "count",
        "memory_bytes",
        "memory_ratio",
    )

    def __init__(self):
        self.count = 0
        self.cores = QuantileWindow(quantile=CORES_QUANTILE)
        self.cores_ratio = QuantileWindow(quantile=CORES_QUANTILE)
        self.memory_bytes = QuantileWindow(quantile=1.0)
        self.memory_ratio = QuantileWindow(quantile=1.0)


class SizeEstimator:
    """Predicts what a task uses from its class and its declared needs.

    For each class it records the usage itself and the ratio of the usage to
    the declared needs. For cores it uses the one that varies less, for
    memory the one that predicts less. So it predicts closely both for
    classes whose tasks are alike and for classes whose declared needs differ
    from the usage by a constant factor.
    """

    __slots__ = ("_classes",)

    def __init__(self):
        self._classes: dict[str, ClassSizes] = {}

    def __len__(self) -> int:
        return len(self._classes)

    def is_known(self, name: str) -> bool:
        """Return whether a class has enough samples for a prediction.

        Args:
            name: Name of the class.
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
        """Record a sample of the peak usage of a task.

        Args:
            name: Class of the task.
            declared: Resources that it declared.
            used: Highest use of each resource so far.
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
        """Return the resources to allocate for a task.

        Args:
            name: Class of the task.
            declared: Resources that it declares.

        Returns:
            The predicted usage with a margin, or the declared resources
            while the class has fewer than MIN_SAMPLES samples.
        """
        found = self._classes.get(name)
        if found is None or found.count < MIN_SAMPLES:
            return declared
        cores = found.cores.value()
        if found.cores_ratio.spread_ratio() < found.cores.spread_ratio():
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
