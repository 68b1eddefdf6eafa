"""Terms: spans of a monotonic clock during which authority holds."""

PLACEMENT_TERM_S = 6.0
SLOT_TERM_S = 10.0
LEASE_S = 15.0
HORIZON_S = 900.0
DRIFT_MARGIN_S = 0.5
# Longest time for which a command to a worker may be under way.
COMMAND_LIFE_S = 4.0


class Term:
    """A span of time that a confirmed renewal starts anew.

    The span counts from before the renewal was sent, so that it ends
    here no later than the confirming side believes.

    Args:
        duration_s: Length of the span in seconds.
    """

    __slots__ = ("_broken_at_s", "_confirmed_at_s", "duration_s")

    def __init__(self, *, duration_s: float):
        self.duration_s = duration_s
        self._confirmed_at_s: float | None = None
        self._broken_at_s: float | None = None

    def confirm(self, *, sent_at_s: float, confirmed_at_s: float) -> None:
        """Record that a renewal sent at a time was confirmed.

        Args:
            sent_at_s: Monotonic time just before the renewal was sent.
            confirmed_at_s: Monotonic time at which it was confirmed.
        """
        ended_at_s = self.ends_at_s()
        # Between the end and a late confirmation, a successor may have
        # claimed, though the renewal had left in time.
        if ended_at_s is None or confirmed_at_s >= ended_at_s:
            self._broken_at_s = confirmed_at_s
        if self._confirmed_at_s is None or sent_at_s > self._confirmed_at_s:
            self._confirmed_at_s = sent_at_s

    def ends_at_s(self) -> float | None:
        """Return the monotonic time at which the term ends, if begun."""
        if self._confirmed_at_s is None:
            return None
        return self._confirmed_at_s + self.duration_s

    def is_held(self, *, now_s: float) -> bool:
        """Tell whether the term holds at a monotonic time in seconds."""
        ends_at_s = self.ends_at_s()
        return ends_at_s is not None and now_s < ends_at_s

    def unbroken_since_s(self) -> float | None:
        """Return the time since which the term never lapsed."""
        return self._broken_at_s

    def end(self) -> None:
        """Give the term up."""
        self._confirmed_at_s = None
        self._broken_at_s = None
