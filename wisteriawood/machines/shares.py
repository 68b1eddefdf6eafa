"""Shares of a target's slots, as counted by the scheduler granting them."""

import dataclasses
import hashlib
import math

# Fraction of a service's total demand that is added to the weight of each
# entry host, so that an idle one also gets slots.
BASE_DEMAND_FRACTION = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Share:
    """Slots of one target that one process of an entry host holds.

    Attributes:
        granted: Slots in the newest grant.
        held: Slots that the entry host last reported.
        is_announced: Whether this grantor has sent the target to the entry
            host.
        is_leaving_announced: Value of `leaving` in the newest grant.
        until_s: Monotonic time in seconds by which the slots are free;
            infinite while the entry host may send new requests.
    """

    granted: int = 0
    held: int = 0
    is_announced: bool = False
    is_leaving_announced: bool = False
    until_s: float = math.inf

    def counted(self) -> int:
        """Return the number of slots that count as taken."""
        return max(self.granted, self.held)


def _offset(target: str) -> float:
    digest = hashlib.blake2b(target.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


def divide(
    *, target: str, slots: int, demand: dict[str, float]
) -> dict[str, int]:
    """Divide a target's slots in proportion to demand.

    The rounding offset differs from target to target, so that over many
    targets each entry host gets its proportion. The parts always sum to the
    number of slots.

    Args:
        target: Id of the target.
        slots: Number of slots of the target.
        demand: Slots that each entry host could fill, over all targets of
            the service, by incarnation.

    Returns:
        Number of slots by incarnation.
    """
    total = sum(demand.values())
    floor = BASE_DEMAND_FRACTION * total if total else 1.0
    weights = {name: demand[name] + floor for name in sorted(demand)}
    scale = slots / sum(weights.values()) if weights else 0.0
    offset = _offset(target)
    parts = {}
    cumulative = 0.0
    before = 0
    for name, weight in weights.items():
        cumulative += weight * scale
        # min() and the correction below keep the sum equal to `slots`
        # despite floating-point rounding.
        after = min(slots, math.floor(cumulative + offset + 1e-9))
        parts[name] = after - before
        before = after
    if parts:
        parts[name] += slots - before
    return parts


class TargetShares:
    """Shares of one target, by incarnation of the entry host.

    Args:
        target: Id of the target.
    """

    __slots__ = ("shares", "target")

    def __init__(self, *, target: str):
        self.target = target
        self.shares: dict[str, Share] = {}

    def share(self, holder: str) -> Share:
        """Return the share of a holder.

        Args:
            holder: Incarnation of the entry host.
        """
        found = self.shares.get(holder)
        if found is None:
            found = self.shares[holder] = Share()
        return found

    def counted(self) -> int:
        """Return the number of slots taken by all holders together."""
        return sum(share.counted() for share in self.shares.values())

    def end_quarantines(self, *, now_s: float) -> None:
        """Remove the shares whose slots are free by now.

        Args:
            now_s: Monotonic time in seconds.
        """
        ended = [
            holder
            for holder, share in self.shares.items()
            if share.until_s <= now_s
        ]
        for holder in ended:
            del self.shares[holder]

    def allot(self, *, holder: str, fair: int, free: int) -> int:
        """Set a holder's grant and return it.

        A grant grows by no more than the free slots, and shrinks to the
        fair share at once. A fair share is a whole number, so that most
        small fluctuations of demand move no slots.

        Args:
            holder: Incarnation of the entry host.
            fair: Slots of the holder's fair share.
            free: Slots of the target that no entry host holds.
        """
        share = self.share(holder)
        now = share.counted()
        if fair > now:
            share.granted = min(fair, now + max(0, free))
        else:
            share.granted = fair
        return share.granted
