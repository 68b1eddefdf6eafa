"""Racks in which an entry host holds slots."""

import math

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import terms


class HeldRack:
    """A rack in which an entry host holds slots, and their time limits.

    Args:
        name: Name of the rack.

    Attributes:
        name: Name of the rack.
        epoch: Newest epoch under which a scheduler has claimed the rack.
        grantor: Member row of that scheduler; None before the first claim.
        is_retained: Whether the slots are retained without the grantor.
        renewed_s: Monotonic time in seconds of the grantor's last answer.
        retained_until_s: Monotonic time in seconds until which the slots may
            be retained.
        usable_until_s: Monotonic time in seconds until which the slots may
            be used.
    """

    __slots__ = (
        "epoch",
        "grantor",
        "is_retained",
        "name",
        "renewed_s",
        "retained_until_s",
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
        """Retain the slots until the horizon without the grantor.

        By then the next holder of the rack can count them. To be called
        only when the grantor is known to be unable to reclaim slots: its
        process is dead, its term has ended, or it no longer holds the rack.
        Slots that may no longer be used are not retained.
        """
        if self.is_usable(now_s=anyio.current_time()):
            self.is_retained = True
            self.usable_until_s = self.retained_until_s
