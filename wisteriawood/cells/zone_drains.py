"""The zones that an operator drains, as one host knows them."""

import math

from wisteriawood.links import clocks

# Shares of its usual weight for new jobs that a zone gets after its drain, one
# after the other; its workers may be slow at first.
RAMP_SHARES = (0.1, 0.25, 0.5)
RAMP_STEP_S = 2.0
# Time after which a caller may return that no zone could take.
RETRY_S = 2.0


class ZoneDrains:
    """Which zones are drained, since when, and as of when that is known.

    No task starts in a drained zone. While it is not known well enough which
    zones are drained, no task starts in any.

    Args:
        zones: All availability zones.
        max_age_s: Age of what is known up to which tasks may be started;
            infinite if the deployment does not drain zones.

    Attributes:
        confirmed_at_s: Time of clocks.elapsed_s as of which the drains are
            known; infinitely early before the first read.
    """

    __slots__ = (
        "_ended_at_s",
        "_max_age_s",
        "_since_s",
        "_zones",
        "confirmed_at_s",
    )

    def __init__(self, *, zones: list[str], max_age_s: float = math.inf):
        self._zones = frozenset(zones)
        self._max_age_s = max_age_s
        # Monotonic times at which requests became known, and at which it
        # became known that they were gone, by zone.
        self._since_s: dict[str, float] = {}
        self._ended_at_s: dict[str, float] = {}
        self.confirmed_at_s = -math.inf

    def is_enabled(self) -> bool:
        """Return whether the deployment drains zones."""
        return self._max_age_s < math.inf

    def has_zone(self, zone: str) -> bool:
        """Return whether there is a zone of a name.

        Args:
            zone: The name.
        """
        return zone in self._zones

    def begin(self, zone: str, now_s: float) -> bool:
        """Record that the drain of a zone is requested.

        Args:
            zone: The zone.
            now_s: Monotonic time.

        Returns:
            Whether it was not drained before.
        """
        if zone in self._since_s:
            return False
        self._since_s[zone] = now_s
        self._ended_at_s.pop(zone, None)
        return True

    def end(self, zone: str, now_s: float) -> float | None:
        """Record that the request for a zone is gone.

        Args:
            zone: The zone.
            now_s: Monotonic time.

        Returns:
            For how long it was drained; None if it was not.
        """
        since_s = self._since_s.pop(zone, None)
        if since_s is None:
            return None
        self._ended_at_s[zone] = now_s
        return now_s - since_s

    def confirm(self, at_s: float) -> None:
        """Record as of when the drains are known.

        Args:
            at_s: Time of clocks.elapsed_s.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def drained(self) -> list[str]:
        """Return the drained zones, sorted."""
        return sorted(self._since_s)

    def is_drained(self, zone: str) -> bool:
        """Return whether a zone is drained, as far as is known.

        Args:
            zone: The zone.
        """
        return zone in self._since_s

    def is_current(self) -> bool:
        """Return whether the drains are known well enough for a start."""
        if self._max_age_s == math.inf:
            return True
        return clocks.elapsed_s() - self.confirmed_at_s <= self._max_age_s

    def find_obstacle(self, zone: str) -> str:
        """Return why no task may be started in a zone now.

        Args:
            zone: The zone.

        Returns:
            The reason; empty if tasks may be started.
        """
        if zone in self._since_s:
            return "the zone is drained"
        if not self.is_current():
            return "the known drains of zones are out of date"
        return ""

    def share_of(self, zone: str, now_s: float) -> float:
        """Return the share of its weight for new jobs that a zone gets.

        Args:
            zone: The zone.
            now_s: Monotonic time.

        Returns:
            0 for a drained zone, 1 for one that was not drained of late.
        """
        if zone in self._since_s:
            return 0.0
        ended_at_s = self._ended_at_s.get(zone)
        if ended_at_s is None:
            return 1.0
        step = int((now_s - ended_at_s) / RAMP_STEP_S)
        if step < len(RAMP_SHARES):
            return RAMP_SHARES[step]
        del self._ended_at_s[zone]
        return 1.0
