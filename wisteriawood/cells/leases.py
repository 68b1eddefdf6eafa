"""The lease of a worker, as its holder tracks it."""

import math
import typing

if typing.TYPE_CHECKING:
    from wisteriawood.cells import former_holders
    from wisteriawood.cells import hold_terms

# Highest ratio of the time here to the time on a worker's monotonic clock;
# the platform limits the drift to 2%.
CLOCK_DRIFT_RATIO = 1.02
# Added to the end of a lease before it counts as lapsed, as timers may fire
# late.
LAPSE_MARGIN_S = 0.15
# Difference up to which the end of a lease counts as that of its term.
TERM_MARGIN_S = 0.05


def lapse_s(length_s: float) -> float:
    """Return the time after which a lease granted now has surely lapsed.

    Args:
        length_s: Duration of the lease on the worker's clock.
    """
    return length_s * CLOCK_DRIFT_RATIO + LAPSE_MARGIN_S


class Lease:
    """The holder's view of a lease, which ends by the worker's clock.

    Args:
        length_s: Duration of the lease from each renewal.
        former: The former holder, which may have granted a lease as well;
            None if there was none.
        worker_id: Id of the worker, by which the former holder is asked.
        longest_s: Duration of the longest lease that the worker accepts.
        term: Bounds the ends of the leases; None for no bound.

    Attributes:
        is_withheld: Whether the lease is not extended, since the next holder
            may have been told when it ends.
        granted_until_ms: Latest end granted so far, in milliseconds of the
            worker's clock.
        lapsed_at_s: Monotonic time from which the leases granted here have
            certainly ended.
        longest_s: Duration of the longest lease that the worker accepts.
    """

    __slots__ = (
        "_clock_at_s",
        "_clock_ms",
        "_former",
        "_term",
        "_worker_id",
        "granted_until_ms",
        "is_withheld",
        "lapsed_at_s",
        "length_s",
        "longest_s",
    )

    def __init__(
        self,
        *,
        length_s: float,
        former: "former_holders.FormerHolder | None" = None,
        worker_id: str = "",
        longest_s: float = 0.0,
        term: "hold_terms.HoldTerm | None" = None,
    ):
        self.length_s = length_s
        self.longest_s = max(length_s, longest_s)
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self.granted_until_ms = 0
        self._former = former
        self._term = term
        self._worker_id = worker_id
        self.is_withheld = False
        self.lapsed_at_s = 0.0

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record a reading of the worker's clock.

        Args:
            clock_ms: The clock in an answer of the worker.
            now_s: Monotonic time at which the answer arrived.
        """
        self._clock_ms = clock_ms
        self._clock_at_s = now_s

    def reset(self) -> None:
        """Forget the granted end, which a former instance's clock measures."""
        self.granted_until_ms = 0

    def include_longest(self, now_s: float) -> None:
        """Count with the longest lease, granted up to now.

        An order that was meant for a former instance of the worker's process
        may have granted it: on the clock of the present one, which starts
        anew, the end that the order names is far ahead.

        Args:
            now_s: Monotonic time at which the last such order may have
                arrived.
        """
        self.lapsed_at_s = max(
            self.lapsed_at_s, now_s + lapse_s(self.longest_s)
        )

    def former_start_until_s(self, task_name: str) -> float:
        """Return until when a start of a former holder may take effect.

        Args:
            task_name: Name of the task.

        Returns:
            Monotonic time; infinitely early if no such start is known.
        """
        if self._former is None:
            return -math.inf
        return self._former.late_start_until_s(task_name)

    def least_clock_ms(self, now_s: float) -> float:
        """Return the least time on the clock of the known instance.

        The clock of a later instance, which starts anew, shows less, unless
        the known one had just started.

        Args:
            now_s: Monotonic time.

        Returns:
            The time in milliseconds; 0 if that clock is not known yet.
        """
        if not self._clock_ms:
            return 0.0
        passed_s = (now_s - self._clock_at_s) / CLOCK_DRIFT_RATIO
        return self._clock_ms + (passed_s - LAPSE_MARGIN_S) * 1000

    def clock_ms(self, now_s: float) -> float:
        """Return the estimated time on the worker's clock.

        Args:
            now_s: Monotonic time.

        Returns:
            The time in milliseconds; 0 if that clock is not known yet.
        """
        if not self._clock_ms:
            return 0.0
        return self._clock_ms + (now_s - self._clock_at_s) * 1000

    def grant(self, now_s: float) -> int:
        """Extend the lease from now, unless it is withheld.

        It does not run beyond the term of the hold.

        Args:
            now_s: Monotonic time.

        Returns:
            The end of the lease in milliseconds of the worker's clock; 0
            if that clock is not known yet.
        """
        if not self._clock_ms:
            return 0
        if self.is_withheld:
            return self.granted_until_ms
        length_s = self.length_s
        if self._term is not None:
            length_s = self._term.left_s(length_s)
            if length_s <= 0:
                return self.granted_until_ms
        until_ms = int(self.clock_ms(now_s) + length_s * 1000)
        if until_ms <= self.granted_until_ms:
            return self.granted_until_ms
        self.granted_until_ms = until_ms
        left_s = (self.granted_until_ms - self._clock_ms) / 1000
        self.lapsed_at_s = max(
            self.lapsed_at_s,
            self._clock_at_s + left_s * CLOCK_DRIFT_RATIO + LAPSE_MARGIN_S,
        )
        return until_ms

    def beyond_term_s(self, now_s: float) -> float:
        """Return for how long the lease may run if it may outlast the term.

        Args:
            now_s: Monotonic time.

        Returns:
            The time in seconds; 0 if it ends within the term.
        """
        left_s = self.lapsed_at_s - now_s
        if self._term is None or left_s <= 0:
            return 0.0
        age_s = self.length_s - self._term.left_s(self.length_s)
        if left_s <= lapse_s(self.length_s) - age_s + TERM_MARGIN_S:
            return 0.0
        return left_s

    def is_granted(self, now_s: float) -> bool:
        """Return whether a lease is granted that has not ended yet.

        Args:
            now_s: Monotonic time.
        """
        return self.clock_ms(now_s) < self.granted_until_ms

    def has_lapsed(self, now_s: float) -> bool:
        """Return whether nothing can run under the lease any more.

        Args:
            now_s: Monotonic time.
        """
        return now_s >= self.ended_at_s()

    def ended_at_s(self) -> float:
        """Return from when nothing can run under the lease any more.

        Returns:
            Monotonic time.
        """
        if self._former is None:
            return self.lapsed_at_s
        former_s = self._former.lapsed_at_s_of(self._worker_id)
        return max(self.lapsed_at_s, former_s)
