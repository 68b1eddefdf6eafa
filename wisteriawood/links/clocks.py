"""A steady clock that also counts the time in which the machine sleeps."""

import time

import anyio


def suspended_s() -> float:
    """Return for how long the machine has been suspended since its start."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def elapsed_s() -> float:
    """Return the monotonic time plus the time spent suspended, in seconds.

    The monotonic clock stops while the machine is suspended. The age of what
    was read from other machines does not.
    """
    return anyio.current_time() + suspended_s()
