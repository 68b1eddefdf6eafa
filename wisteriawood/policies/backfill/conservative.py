"""Conservative backfill: each step that fits nowhere gets a reservation."""

import sys

from wisteriawood.policies.backfill import base


@base.BACKFILL.register("conservative")
class Conservative:
    """Reserves for all steps, in the order of starts, within the bounds."""

    __slots__ = ()

    def select(self, candidates: list[base.Candidate]) -> list[base.Candidate]:
        """Return the candidates in the order of starts."""
        return candidates

    def choose(self, offers: list[base.Offer], now_s: float) -> base.Offer:
        """Return the room that becomes free first."""
        del now_s
        return base.earliest(offers)

    def most_steps(self) -> int:
        """Return a number without a bound; the look-ahead bounds workers."""
        return sys.maxsize
