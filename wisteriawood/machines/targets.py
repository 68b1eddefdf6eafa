"""Targets, as represented in entry hosts and in schedulers."""

import heapq
import math

import anyio

from wisteriawood.contracts import grants
from wisteriawood.links import targets
from wisteriawood.machines import held_racks


class Target:
    """A target in an entry host, with the slots granted there.

    A slot whose request has an unknown outcome is quarantined: it stays
    occupied until the target answers or, if the call has failed, until the
    deadline of the attempt.

    Args:
        grant: Latest grant of its slots.
        grantor: Name of the scheduler that granted it.
        link: Link to the target.

    Attributes:
        in_flight: Number of occupied slots, including the quarantined ones.
        late_calls: Number of calls that continue though no caller waits.
        rack: Rack of the target, which limits how long its slots may be
            used; None for no limit.
    """

    __slots__ = (
        "_early_ends",
        "_quarantined_until_s",
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
        # Number of late calls that ended before their slot was quarantined.
        self._early_ends = 0

    def usable_until_s(self) -> float:
        """Return the monotonic time in seconds when the slots expire."""
        return math.inf if self.rack is None else self.rack.usable_until_s

    def has_free_slot(self) -> bool:
        """Return whether another request may be sent to the target."""
        if self.grant.leaving or self.in_flight >= self.grant.slots:
            return False
        return anyio.current_time() < self.usable_until_s()

    def acquire_slot(self) -> None:
        """Acquire a slot for a request that is about to be sent."""
        self.in_flight += 1

    def release_slot(self, *, is_done: bool, until_s: float) -> None:
        """Release a slot, or quarantine it while its request may run.

        Args:
            is_done: Whether the target is known to have finished the
                request; False where its outcome is unknown.
            until_s: Monotonic time in seconds of the attempt's deadline.
                The quarantine ends by then or, if a call continues beyond
                it, once that call has ended.
        """
        if is_done or self._early_ends:
            self._early_ends -= not is_done
            self.in_flight -= 1
            return
        heapq.heappush(self._quarantined_until_s, until_s)

    def record_late_end(self, *, is_done: bool) -> None:
        """Record the end of a call whose caller no longer waited.

        Args:
            is_done: Whether the target answered or refused the request;
                if not, the slot stays quarantined until the deadline.
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
        """Release the quarantined slots whose deadline has passed.

        One slot stays quarantined for each late call that the target has
        not answered, so that no other request is sent in its place.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The number of slots released.
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
        """Return whether the target works on a request past its deadline.

        Args:
            now_s: Monotonic time in seconds.
        """
        ends_s = self._quarantined_until_s
        return bool(self.late_calls and ends_s and ends_s[0] <= now_s)

    def holding(self) -> grants.SlotHolding:
        """Return the slots that this entry host reports as held."""
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
    """A target in the scheduler that grants its slots.

    Args:
        id: Id of the target.
        address: Address of the target, as host:port.
        team: Team that owns the service.
        service: Service that the target runs.
        slots: Number of requests that the target serves at once.
        since_epoch: Epoch of the rack holding under which the target was
            started; 0 if it may have been started earlier.
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
