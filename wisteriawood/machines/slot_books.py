"""Slot books: who holds which slots, as a grantor counts them."""

from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.machines import shares


class Holder:
    """A process of an entry host, as a grantor sees it on one link.

    Args:
        member: Its member row.
        now_s: Monotonic time in seconds.
    """

    __slots__ = (
        "demand",
        "is_draining",
        "is_silent",
        "member",
        "renewed",
        "updated_s",
    )

    def __init__(self, *, member: holdings.MemberRow, now_s: float):
        self.member = member
        self.updated_s = now_s
        self.is_silent = False
        self.is_draining = False
        self.demand: dict[str, float] = {}
        self.renewed: set[str] = set()


class SlotBook:
    """Who holds which slots of the targets of one rack.

    Args:
        claim: Rack and epoch under which it is held.
        now_s: Monotonic time after the rack was claimed.
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
        # None until the members that there were have been read.
        self.unanswered_until_s: dict[str, float] | None = None
        self.targets: dict[str, shares.TargetShares] = {}

    def target(self, name: str) -> shares.TargetShares:
        """Return the shares of a target."""
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = shares.TargetShares(target=name)
        return found

    def is_counted(self) -> bool:
        """Tell whether all that entry hosts may hold is known."""
        return self.unanswered_until_s == {}

    def forget(self, holder: str) -> None:
        """Remove the shares of a holder, which tells them anew."""
        for target in self.targets.values():
            target.shares.pop(holder, None)

    def quarantine(
        self, holder: str, *, until_s: float, is_dead: bool
    ) -> None:
        """Let the shares of a holder end.

        Args:
            holder: Incarnation of the entry host.
            until_s: Monotonic time at which its last request has ended.
            is_dead: Whether its process has surely ended. One that is only
                silent may keep what another grantor had granted.
        """
        self.answered.discard(holder)
        for target in self.targets.values():
            share = target.shares.get(holder)
            if share is not None:
                share.until_s = min(share.until_s, until_s)
        waits = self.unanswered_until_s or {}
        if is_dead and holder in waits:
            waits[holder] = min(waits[holder], until_s)

    def review(self, *, now_s: float) -> None:
        """End the quarantines and waits whose time has come.

        Args:
            now_s: Monotonic time in seconds.
        """
        for target in self.targets.values():
            target.end_quarantines(now_s=now_s)
        waits = self.unanswered_until_s or {}
        for holder in [h for h, until_s in waits.items() if until_s <= now_s]:
            del waits[holder]
