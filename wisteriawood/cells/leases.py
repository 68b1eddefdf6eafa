"""The lease of a worker: what the holder has granted, and when it ends."""

# A worker's steady clock may be this much slow; platform's bound is 2%.
CLOCK_DRIFT = 1.02
# Added to the proof that a lease has ended, for late timers.
MARGIN_S = 0.15


class Lease:
    """Under a lease, a worker runs tasks until its own clock says so.

    Args:
        length_s: Length of the lease at each renewal.

    Attributes:
        granted_until_ms: Latest end that was ever sent to the worker.
        lapsed_at_s: Monotonic time from which the lease has surely ended.
    """

    __slots__ = (
        "_clock_at_s",
        "_clock_ms",
        "granted_until_ms",
        "lapsed_at_s",
        "length_s",
    )

    def __init__(self, *, length_s: float, lapsed_at_s: float):
        self.length_s = length_s
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self.granted_until_ms = 0
        self.lapsed_at_s = lapsed_at_s

    def read_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the worker's clock.

        Args:
            clock_ms: The clock in an answer.
            now_s: Monotonic time at which the answer came.
        """
        self._clock_ms = clock_ms
        self._clock_at_s = now_s

    def grant(self, now_s: float) -> int:
        """Return the end of a renewed lease, on the worker's clock.

        Args:
            now_s: Monotonic time.

        Returns:
            0 if the worker's clock is not known yet.
        """
        if not self._clock_ms:
            return 0
        elapsed_s = now_s - self._clock_at_s
        until_ms = int(self._clock_ms + (elapsed_s + self.length_s) * 1000)
        self.granted_until_ms = max(self.granted_until_ms, until_ms)
        left_s = (self.granted_until_ms - self._clock_ms) / 1000
        self.lapsed_at_s = max(
            self.lapsed_at_s,
            self._clock_at_s + left_s * CLOCK_DRIFT + MARGIN_S,
        )
        return until_ms

    def has_lapsed(self, now_s: float) -> bool:
        """Tell whether nothing can run under the lease any more.

        Args:
            now_s: Monotonic time.
        """
        return now_s >= self.lapsed_at_s
