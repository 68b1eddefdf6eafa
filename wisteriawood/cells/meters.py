"""The rate at which the fillers of a cell complete work."""

import math

import anyio

# Time constant of the moving average of the rate.
RATE_TIME_CONSTANT_S = 4.0


class FillerMeter:
    """Measures the rate at which fillers complete work."""

    __slots__ = ("_done_millicore_s", "_measured_at_s", "_rate_millicores")

    def __init__(self):
        self._done_millicore_s = 0
        self._rate_millicores = 0.0
        self._measured_at_s = anyio.current_time()

    def add(self, millicore_s: int) -> None:
        """Count the work of a completed filler.

        Args:
            millicore_s: The estimated work of the filler.
        """
        self._done_millicore_s += millicore_s

    def rate_millicores(self) -> int:
        """Return the recent rate: estimated millicore-seconds per second."""
        now_s = anyio.current_time()
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s > 0:
            weight = 1 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
            newest = self._done_millicore_s / elapsed_s
            self._rate_millicores += weight * (newest - self._rate_millicores)
            self._measured_at_s = now_s
            self._done_millicore_s = 0
        return int(self._rate_millicores)
