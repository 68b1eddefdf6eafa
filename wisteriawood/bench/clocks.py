"""A virtual clock for trio that jumps to the next deadline."""

import math

import trio

# Real time that trio sleeps when no task has a deadline.
IDLE_SLEEP_S = 1.0


class AutojumpClock(trio.abc.Clock):
    """Virtual clock for a run without I/O outside of the process.

    It is cheaper than `trio.testing.MockClock`, which waits until all tasks
    are blocked before it jumps.
    """

    __slots__ = ("_now_s",)

    def __init__(self):
        self._now_s = 0.0

    def start_clock(self) -> None:
        """Do nothing; the time changes only when the clock jumps."""

    def current_time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Jump to a deadline and return 0, as no real time has to pass.

        Args:
            deadline: Virtual time at which the next task is due.
        """
        if math.isinf(deadline):
            return IDLE_SLEEP_S
        self._now_s = max(self._now_s, deadline)
        return 0.0
