"""EASY backfill: only the first step that fits nowhere gets a reservation."""

from wisteriawood.policies.backfill import base


@base.BACKFILL.register("easy")
class Easy:
    """Reserves for one step at a time, the first in the order of starts."""

    __slots__ = ()

    def select(self, candidates: list[base.Candidate]) -> list[base.Candidate]:
        """Return the candidates in the order of starts."""
        return candidates

    def choose(self, offers: list[base.Offer], now_s: float) -> base.Offer:
        """Return the room that becomes free first."""
        del now_s
        return base.earliest(offers)

    def most_steps(self) -> int:
        """Return 1."""
        return 1
