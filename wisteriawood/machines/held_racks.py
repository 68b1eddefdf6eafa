"""Racks in which an entry host holds slots."""

import math

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import terms


class HeldRack:
    """The period for which an entry host may use its slots of one rack.

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
        """Return whether a scheduler process grants the rack's slots.

        Args:
            grantor: Member row of the scheduler process.
        """
        return (
            self.grantor is not None
            and self.grantor.incarnation == grantor.incarnation
        )

    def is_usable(self, *, now_s: float) -> bool:
        """Return whether slots may be used at a monotonic time in seconds."""
        return now_s < self.usable_until_s

    def renew(self, *, sent_s: float, horizon_s: float) -> None:
        """Record the grantor's answer to a report.

        Args:
            sent_s: Monotonic time just before the report was sent.
            horizon_s: Seconds for which slots may be retained.
        """
        self.is_retained = False
        self.renewed_s = anyio.current_time()
        self.retained_until_s = sent_s + min(horizon_s, terms.HORIZON_S)
        self.usable_until_s = min(
            sent_s + terms.SLOT_TERM_S, self.retained_until_s
        )

    def shorten(self, *, until_s: float) -> None:
        """Shorten the period for which slots may be used.

        Args:
            until_s: Monotonic time in seconds at which it ends at the
                latest.
        """
        self.is_retained = False
        self.renewed_s = anyio.current_time()
        self.usable_until_s = min(self.usable_until_s, until_s)

    def retain(self) -> None:
        """Retain the slots until the horizon, for a successor to count.

        To be called only when the grantor is known to be unable to take
        slots back: its process is dead, its term has ended, or it no
        longer holds the rack. A period that has ended is not extended.
        """
        if self.is_usable(now_s=anyio.current_time()):
            self.is_retained = True
            self.usable_until_s = self.retained_until_s
