"""Terms, and the durations that the daemons agree on.

The term is the time-limited authority of a daemon, renewed through its
member row and measured on its own monotonic clock. A lease is the right of a
worker to continue an attempt.
"""

PLACEMENT_TERM_S = 6.0
SLOT_TERM_S = 10.0
LEASE_S = 15.0
# Upper bound of the time for which leases and slots outlive the authority of
# the scheduler that granted them.
HORIZON_S = 900.0
# Allowance for clocks that run at different rates.
DRIFT_MARGIN_S = 0.5
# Longest time for which a command to a worker may be in transit.
COMMAND_VALIDITY_S = 4.0


class Term:
    """A period of validity that each confirmed renewal restarts.

    The period starts just before the renewal is sent, so that it ends here
    no later than the confirming side assumes.

    Args:
        duration_s: Length of the period in seconds.
    """

    __slots__ = ("_unbroken_since_s", "_confirmed_at_s", "duration_s")

    def __init__(self, *, duration_s: float):
        self.duration_s = duration_s
        self._confirmed_at_s: float | None = None
        self._unbroken_since_s: float | None = None

    def confirm(self, *, sent_at_s: float, confirmed_at_s: float) -> None:
        """Record a confirmed renewal.

        Args:
            sent_at_s: Monotonic time just before the renewal was sent.
            confirmed_at_s: Monotonic time at which it was confirmed.
        """
        previous_end_s = self.ends_at_s()
        # Once the term has ended, another daemon may have taken over before
        # the confirmation arrives, even if the renewal was sent in time.
        if previous_end_s is None or confirmed_at_s >= previous_end_s:
            self._unbroken_since_s = confirmed_at_s
        if self._confirmed_at_s is None or sent_at_s > self._confirmed_at_s:
            self._confirmed_at_s = sent_at_s

    def ends_at_s(self) -> float | None:
        """Return the monotonic time in seconds at which the term ends.

        Returns:
            None if there is no term.
        """
        if self._confirmed_at_s is None:
            return None
        return self._confirmed_at_s + self.duration_s

    def is_held(self, *, now_s: float) -> bool:
        """Return whether the term is valid.

        Args:
            now_s: Monotonic time in seconds.
        """
        ends_at_s = self.ends_at_s()
        return ends_at_s is not None and now_s < ends_at_s

    def unbroken_since_s(self) -> float | None:
        """Return the monotonic time since which the term has not lapsed.

        Returns:
            Seconds; None if there is no term.
        """
        return self._unbroken_since_s

    def end(self) -> None:
        """End the term now."""
        self._confirmed_at_s = None
        self._unbroken_since_s = None
