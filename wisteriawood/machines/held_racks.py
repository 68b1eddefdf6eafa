"""Racks on whose targets an entry host holds slots."""

import math

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import terms


class HeldRack:
    """The span for which an entry host may fill slots of one rack.

    Args:
        name: Name of the rack.
    """

    __slots__ = (
        "epoch",
        "grantor",
        "is_retained",
        "retained_until_s",
        "name",
        "renewed_s",
        "usable_until_s",
    )

    def __init__(self, *, name: str):
        self.name = name
        self.epoch = 0
        self.grantor: holdings.MemberRow | None = None
        self.is_retained = False
        self.retained_until_s = -math.inf
        self.renewed_s = -math.inf
        self.usable_until_s = -math.inf

    def is_granted_by(self, grantor: holdings.MemberRow) -> bool:
        """Tell whether a process of a scheduler grants its slots.

        Args:
            grantor: Member row of the process.
        """
        return (
            self.grantor is not None
            and self.grantor.incarnation == grantor.incarnation
        )

    def is_usable(self, *, now_s: float) -> bool:
        """Tell whether slots may be filled at a monotonic time."""
        return now_s < self.usable_until_s

    def renew(self, *, sent_s: float, horizon_s: float) -> None:
        """Record the grantor's answer to a report.

        Args:
            sent_s: Monotonic time just before the report was sent.
            horizon_s: Seconds for which slots may be kept.
        """
        self.is_retained = False
        self.renewed_s = anyio.current_time()
        self.retained_until_s = sent_s + min(horizon_s, terms.HORIZON_S)
        self.usable_until_s = min(
            sent_s + terms.SLOT_TERM_S, self.retained_until_s
        )

    def shorten(self, *, until_s: float) -> None:
        """Let the span end sooner.

        Args:
            until_s: Monotonic time at which it ends at the latest.
        """
        self.is_retained = False
        self.renewed_s = anyio.current_time()
        self.usable_until_s = min(self.usable_until_s, until_s)

    def retain(self) -> None:
        """Keep the slots to the horizon for a successor to count.

        Only where the grantor surely takes nothing back; a span that has
        ended stays so.
        """
        if self.is_usable(now_s=anyio.current_time()):
            self.is_retained = True
            self.usable_until_s = self.retained_until_s
