"""Targets, as entry hosts and as schedulers see them."""

import dataclasses
import heapq

from wisteriawood.contracts import grants
from wisteriawood.links import targets


class Target:
    """A target as an entry host sees it.

    Args:
        grant: Newest grant of its slots.
        grantor: Name of the scheduler that granted it.
        link: Link to the target.
    """

    __slots__ = (
        "_quarantined_until_s",
        "address",
        "grant",
        "grantor",
        "id",
        "in_flight",
        "latency_s",
        "link",
    )

    def __init__(
        self,
        *,
        grant: grants.SlotGrant,
        grantor: str,
        link: targets.TargetLink,
    ):
        self.id = grant.target
        self.address = grant.address
        self.grant = grant
        self.grantor = grantor
        self.link = link
        self.in_flight = 0
        self.latency_s = 0.0
        self._quarantined_until_s: list[float] = []

    def has_free_slot(self) -> bool:
        """Tell whether one more request may be sent to it."""
        return not self.grant.leaving and self.in_flight < self.grant.slots

    def take(self) -> None:
        """Take a slot for one request that is about to be sent."""
        self.in_flight += 1

    def give_back(self, *, is_done: bool, until_s: float) -> None:
        """Give a slot back, at once or when its request must have ended.

        Args:
            is_done: Whether the target surely does not work on the request
                any more; False where its outcome is unknown.
            until_s: Monotonic time at which the slot is free at the
                latest: the deadline of the request.
        """
        if is_done:
            self.in_flight -= 1
            return
        heapq.heappush(self._quarantined_until_s, until_s)

    def end_quarantines(self, *, now_s: float) -> int:
        """Free the slots whose requests must have ended.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The number of slots freed.
        """
        freed = 0
        while self._quarantined_until_s:
            if self._quarantined_until_s[0] > now_s:
                break
            heapq.heappop(self._quarantined_until_s)
            freed += 1
        self.in_flight -= freed
        return freed

    def holding(self, *, wanted: int = 0) -> grants.SlotHolding:
        """Return what this entry host says of its share.

        Args:
            wanted: Slots that it could use now.
        """
        return grants.SlotHolding(
            target=self.id,
            slots=max(self.grant.slots, self.in_flight),
            in_flight=self.in_flight,
            wanted=wanted,
            epoch=self.grant.epoch,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Share:
    """Slots of one target that one entry host holds.

    Attributes:
        granted: Slots in the newest grant.
        held: Slots that the entry host last said it holds.
    """

    granted: int = 0
    held: int = 0

    def counted(self) -> int:
        """Return the slots that count as taken."""
        return max(self.granted, self.held)


class TargetSlots:
    """A target as the scheduler that grants its slots sees it.

    Args:
        id: Id of the target.
        address: Address of the target, as host:port.
        team: Team that owns the service.
        service: Service that it runs.
        slots: Requests that it serves at once.
    """

    __slots__ = (
        "address",
        "id",
        "leaving",
        "service",
        "shares",
        "slots",
        "team",
    )

    def __init__(
        self, *, id: str, address: str, team: str, service: str, slots: int
    ):
        self.id = id
        self.address = address
        self.team = team
        self.service = service
        self.slots = slots
        self.leaving = False
        self.shares: dict[str, Share] = {}

    def report(
        self, *, entry: str, holding: grants.SlotHolding | None
    ) -> None:
        """Record what an entry host says that it holds.

        Args:
            entry: Name of the entry host.
            holding: Its share; None if it knows of none.
        """
        share = self.shares.setdefault(entry, Share())
        share.held = holding.slots if holding else 0

    def grant(self, *, entry: str, epoch: int) -> grants.SlotGrant:
        """Return the grant for an entry host, never above what is free.

        Args:
            entry: Name of the entry host.
            epoch: Epoch of the rack holding.
        """
        share = self.shares.setdefault(entry, Share())
        others = sum(
            other.counted()
            for name, other in self.shares.items()
            if name != entry
        )
        fair = -(-self.slots // len(self.shares))
        share.granted = max(0, min(fair, self.slots - others))
        return grants.SlotGrant(
            target=self.id,
            address=self.address,
            team=self.team,
            service=self.service,
            slots=share.granted,
            epoch=epoch,
            leaving=self.leaving,
        )
