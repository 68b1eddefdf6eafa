"""The rate at which the fillers of a cell get work done."""

import math

import anyio

# Time over which the rate of fillers is averaged.
RATE_MEMORY_S = 4.0


class FillerMeter:
    """Measures the rate at which fillers get work done."""

    __slots__ = ("_done_millicore_s", "_measured_at_s", "_rate_millicores")

    def __init__(self):
        self._done_millicore_s = 0
        self._rate_millicores = 0.0
        self._measured_at_s = anyio.current_time()

    def add(self, millicore_s: int) -> None:
        """Count the work of a filler that is done.

        Args:
            millicore_s: The work, as it was estimated.
        """
        self._done_millicore_s += millicore_s

    def rate_millicores(self) -> int:
        """Return the rate of late, in estimated work for each second."""
        now_s = anyio.current_time()
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s > 0:
            weight = 1 - math.exp(-elapsed_s / RATE_MEMORY_S)
            newest = self._done_millicore_s / elapsed_s
            self._rate_millicores += weight * (newest - self._rate_millicores)
            self._measured_at_s = now_s
            self._done_millicore_s = 0
        return int(self._rate_millicores)
