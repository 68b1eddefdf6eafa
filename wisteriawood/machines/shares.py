"""Shares of a target's slots, as the scheduler that grants them counts."""

import dataclasses
import hashlib
import math

# Part of a service's demand that each entry host is granted for a start.
IDLE_WEIGHT = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Share:
    """Slots of one target that one process of an entry host holds.

    Attributes:
        granted: Slots in the newest grant.
        held: Slots that the entry host last said it holds.
        is_listed: Whether the entry host knows the target by this grantor.
        is_leaving: Whether it has been told that the target leaves.
        until_s: Monotonic time at which the slots are free at the latest;
            infinite while the entry host may fill them anew.
    """

    granted: int = 0
    held: int = 0
    is_listed: bool = False
    is_leaving: bool = False
    until_s: float = math.inf

    def counted(self) -> int:
        """Return the slots that count as taken."""
        return max(self.granted, self.held)


def _offset(target: str) -> float:
    digest = hashlib.blake2b(target.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


def divide(
    *, target: str, slots: int, demand: dict[str, float]
) -> dict[str, int]:
    """Divide a target's slots in proportion to demand.

    Each target rounds at another offset, so that over many targets each
    entry host gets its proportion, and the parts always sum to the whole.

    Args:
        target: Id of the target.
        slots: Slots that it has.
        demand: Slots that each entry host could fill, over all targets.
    """
    total = sum(demand.values())
    floor = IDLE_WEIGHT * total if total else 1.0
    weights = {name: demand[name] + floor for name in sorted(demand)}
    scale = slots / sum(weights.values()) if weights else 0.0
    offset = _offset(target)
    parts = {}
    summed = 0.0
    before = 0
    for name, weight in weights.items():
        summed += weight * scale
        # The last sum is the whole, whatever the rounding of the floats.
        after = min(slots, math.floor(summed + offset + 1e-9))
        parts[name] = after - before
        before = after
    if parts:
        parts[name] += slots - before
    return parts


class TargetShares:
    """The shares of one target.

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
        """Return the slots that count as taken by all."""
        return sum(share.counted() for share in self.shares.values())

    def end_quarantines(self, *, now_s: float) -> None:
        """Forget the shares whose slots are free by now.

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

        It rises only by what is free. It sinks only to a whole slot or
        more below, so that demand that wavers moves nothing.

        Args:
            holder: Incarnation of the entry host.
            fair: Slots that it should have.
            free: Slots of the target that nobody holds.
        """
        share = self.share(holder)
        now = share.counted()
        if fair > now:
            share.granted = min(fair, now + max(0, free))
        else:
            share.granted = fair
        return share.granted
