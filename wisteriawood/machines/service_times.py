"""Recent latency of the targets of a service."""

import collections
import math

WINDOW_SIZE = 512
REFRESH_INTERVAL = 16
MIN_OBSERVED = 32


class ServiceTimes:
    """Mean and quantiles of the latency of a service's recent answers.

    Attributes:
        median_s: Median in seconds; 0 until MIN_OBSERVED answers have been
            observed.
        p99_s: 99th percentile in seconds; 0 until MIN_OBSERVED answers
            have been observed.
    """

    __slots__ = ("_count", "_sum_s", "_window", "median_s", "p99_s")

    def __init__(self):
        self._window: collections.deque[float] = collections.deque()
        self._sum_s = 0.0
        self._count = 0
        self.median_s = 0.0
        self.p99_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Record the latency of one answer in seconds."""
        self._window.append(latency_s)
        self._sum_s += latency_s
        if len(self._window) > WINDOW_SIZE:
            self._sum_s -= self._window.popleft()
        self._count += 1
        if self.has_estimate() and self._count % REFRESH_INTERVAL == 0:
            self._refresh()

    def has_estimate(self) -> bool:
        """Return whether enough answers were observed for an estimate."""
        return self._count >= MIN_OBSERVED

    def mean_s(self) -> float:
        """Return the mean in seconds; NaN if no answer was observed."""
        if not self._window:
            return math.nan
        return self._sum_s / len(self._window)

    def _refresh(self) -> None:
        ordered = sorted(self._window)
        self._sum_s = sum(ordered)
        self.median_s = ordered[len(ordered) // 2]
        self.p99_s = ordered[int(0.99 * (len(ordered) - 1))]
