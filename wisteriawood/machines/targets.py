"""Targets, as entry hosts and as schedulers see them."""

import heapq
import math

import anyio

from wisteriawood.contracts import grants
from wisteriawood.links import targets
from wisteriawood.machines import held_racks


class Target:
    """A target as an entry host sees it.

    Args:
        grant: Newest grant of its slots.
        grantor: Name of the scheduler that granted it.
        link: Link to the target.
    """

    __slots__ = (
        "_quarantined_until_s",
        "_early_ends",
        "address",
        "grant",
        "grantor",
        "id",
        "in_flight",
        "late_calls",
        "latency_s",
        "link",
        "rack",
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
        self.late_calls = 0
        self.rack: held_racks.HeldRack | None = None
        self._quarantined_until_s: list[float] = []
        self._early_ends = 0

    def usable_until_s(self) -> float:
        """Return the monotonic time until which slots may be filled."""
        return math.inf if self.rack is None else self.rack.usable_until_s

    def has_free_slot(self) -> bool:
        """Tell whether one more request may be sent to it."""
        if self.grant.leaving or self.in_flight >= self.grant.slots:
            return False
        return anyio.current_time() < self.usable_until_s()

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
        if is_done or self._early_ends:
            self._early_ends -= not is_done
            self.in_flight -= 1
            return
        heapq.heappush(self._quarantined_until_s, until_s)

    def record_late_end(self, *, is_done: bool) -> None:
        """Record the end of a call whose caller had left.

        Args:
            is_done: Whether the target answered or refused it; else the
                slot stays taken until the deadline.
        """
        self.late_calls -= 1
        if not is_done:
            return
        if not self._quarantined_until_s:
            self._early_ends += 1
            return
        heapq.heappop(self._quarantined_until_s)
        self.in_flight -= 1

    def end_quarantines(self, *, now_s: float) -> int:
        """Free the slots whose requests must have ended.

        A target that still works on some gets no others in their place.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The number of slots freed.
        """
        freed = 0
        while len(self._quarantined_until_s) > self.late_calls:
            if self._quarantined_until_s[0] > now_s:
                break
            heapq.heappop(self._quarantined_until_s)
            freed += 1
        self.in_flight -= freed
        return freed

    def is_overrun(self, *, now_s: float) -> bool:
        """Tell whether the target works on a request past its deadline.

        Args:
            now_s: Monotonic time in seconds.
        """
        ends_s = self._quarantined_until_s
        return bool(self.late_calls and ends_s and ends_s[0] <= now_s)

    def holding(self) -> grants.SlotHolding:
        """Return what this entry host says of its share."""
        is_usable = anyio.current_time() < self.usable_until_s()
        slots = self.grant.slots if is_usable else 0
        return grants.SlotHolding(
            target=self.id,
            slots=max(slots, self.in_flight),
            in_flight=self.in_flight,
            rack=self.grant.rack,
            epoch=self.grant.epoch,
        )


class TargetSlots:
    """A target as the scheduler that grants its slots sees it.

    Args:
        id: Id of the target.
        address: Address of the target, as host:port.
        team: Team that owns the service.
        service: Service that it runs.
        slots: Requests that it serves at once.
        since_epoch: Epoch of the rack holding under which it was started;
            0 if it may be older.
    """

    __slots__ = (
        "address",
        "id",
        "leaving",
        "service",
        "since_epoch",
        "slots",
        "team",
    )

    def __init__(
        self,
        *,
        id: str,
        address: str,
        team: str,
        service: str,
        slots: int,
        since_epoch: int = 0,
    ):
        self.id = id
        self.address = address
        self.team = team
        self.service = service
        self.slots = slots
        self.since_epoch = since_epoch
        self.leaving = False
