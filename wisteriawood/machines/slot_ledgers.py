"""Slot ledgers: a grantor's record of which entry hosts hold which slots."""

from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.machines import shares


class SlotHolder:
    """State of a grantor's link to one process of an entry host.

    Args:
        member: Member row of the process.
        now_s: Monotonic time in seconds.

    Attributes:
        member: Member row of the process.
        updated_s: Monotonic time in seconds of the newest update sent; at
            first, of the opening of the link.
        is_closed: Whether the link must be closed: a newer one replaced it,
            the process is dead, or its slots were reclaimed.
        is_draining: Whether the entry host is returning its slots.
        demand: Slots that the entry host could fill, by team/service.
        renewed: Names of the racks whose grants the newest update renewed.
    """

    __slots__ = (
        "demand",
        "is_closed",
        "is_draining",
        "member",
        "renewed",
        "updated_s",
    )

    def __init__(self, *, member: holdings.MemberRow, now_s: float):
        self.member = member
        self.updated_s = now_s
        self.is_closed = False
        self.is_draining = False
        self.demand: dict[str, float] = {}
        self.renewed: set[str] = set()


class SlotLedger:
    """Record of who holds which slots of the targets of one rack.

    Args:
        claim: Rack and epoch under which it is held.
        now_s: Monotonic time in seconds, read after the rack was claimed.

    Attributes:
        claim: Rack and epoch under which it is held.
        claimed_s: Monotonic time in seconds, read after the rack was
            claimed.
        is_lost: Whether an entry host knows a newer epoch of the rack.
        answered: Incarnations of the entry hosts that answered the claim.
        unanswered_until_s: Monotonic time until which an entry host that
            has not answered may hold slots, by incarnation. None until the
            members at the time of the claim have been read.
        targets: Shares of the targets, by id.
    """

    __slots__ = (
        "answered",
        "claim",
        "claimed_s",
        "is_lost",
        "targets",
        "unanswered_until_s",
    )

    def __init__(self, *, claim: grants.RackClaim, now_s: float):
        self.claim = claim
        self.claimed_s = now_s
        self.is_lost = False
        self.answered: set[str] = set()
        self.unanswered_until_s: dict[str, float] | None = None
        self.targets: dict[str, shares.TargetShares] = {}

    def target(self, target_id: str) -> shares.TargetShares:
        """Return the shares of a target."""
        found = self.targets.get(target_id)
        if found is None:
            found = self.targets[target_id] = shares.TargetShares(
                target=target_id
            )
        return found

    def is_complete(self) -> bool:
        """Return whether all slots that entry hosts may hold are known."""
        return self.unanswered_until_s == {}

    def clear_shares(self, holder: str) -> None:
        """Remove the shares of a holder, which is about to report them."""
        for target in self.targets.values():
            target.shares.pop(holder, None)

    def quarantine(
        self, holder: str, *, until_s: float, is_dead: bool
    ) -> None:
        """Limit how long the shares of a holder count as taken.

        Args:
            holder: Incarnation of the entry host.
            until_s: Monotonic time in seconds by which its last request has
                ended.
            is_dead: Whether its process is proved dead. A process that only
                stopped responding may keep slots that an earlier grantor
                granted.
        """
        self.answered.discard(holder)
        for target in self.targets.values():
            share = target.shares.get(holder)
            if share is not None:
                share.until_s = min(share.until_s, until_s)
        unanswered = self.unanswered_until_s or {}
        if is_dead and holder in unanswered:
            unanswered[holder] = min(unanswered[holder], until_s)

    def review(self, *, now_s: float) -> None:
        """Remove the quarantines and unanswered claims that have expired.

        Args:
            now_s: Monotonic time in seconds.
        """
        for target in self.targets.values():
            target.end_quarantines(now_s=now_s)
        unanswered = self.unanswered_until_s or {}
        for holder in [
            h for h, until_s in unanswered.items() if until_s <= now_s
        ]:
            del unanswered[holder]
