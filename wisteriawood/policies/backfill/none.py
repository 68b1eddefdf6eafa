"""Placement without reservations: each task gets what is free now."""

from wisteriawood.policies.backfill import base


@base.BACKFILL.register("none")
class NoReservations:
    """Reserves nothing."""

    __slots__ = ()

    def select(self, candidates: list[base.Candidate]) -> list[base.Candidate]:
        """Return nothing."""
        del candidates
        return []

    def choose(self, offers: list[base.Offer], now_s: float) -> base.Offer:
        """Return the room that becomes free first."""
        del now_s
        return base.earliest(offers)

    def most_steps(self) -> int:
        """Return 0."""
        return 0
