"""Quarantines: how long requests of stopped entry hosts may still run."""

import dataclasses

from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood.zones import membership


@dataclasses.dataclass(slots=True, kw_only=True)
class Quarantine:
    """Quarantine of the slots of a process that sends no new requests.

    Attributes:
        member: Member row of the process when the quarantine began.
        ended_s: Monotonic time in seconds, read after its last request was
            sent.
        is_dead: Whether the process is proved dead and holds no slots; else
            it only stopped responding.
        longest_s: Longest time in seconds that its last request may take.
    """

    member: holdings.MemberRow
    ended_s: float
    is_dead: bool
    longest_s: float = requests.MAX_REQUEST_S

    def until_s(self) -> float:
        """Return the monotonic time by which its last request has ended."""
        return self.ended_s + self.longest_s + terms.DRIFT_MARGIN_S


class Quarantines:
    """Quarantined processes of entry hosts, which send no new requests.

    A process announces in its member row how long its requests may take.
    Only a row that was read after its last request was sent is
    authoritative; until then the longest deadline that callers may request
    is assumed.

    Args:
        members: Membership of the scheduler.
    """

    __slots__ = ("_members", "_open")

    def __init__(self, *, members: membership.Membership):
        self._members = members
        self._open: dict[str, Quarantine] = {}

    def is_dead(self, incarnation: str) -> bool:
        """Return whether a process is proved dead."""
        found = self._open.get(incarnation)
        return found is not None and found.is_dead

    def open(
        self, member: holdings.MemberRow, *, ended_s: float, is_dead: bool
    ) -> Quarantine:
        """Begin a quarantine, or return the one in progress.

        Proof that a process is dead replaces a quarantine that began when
        it only stopped responding.

        Args:
            member: Member row of the process.
            ended_s: Monotonic time in seconds, read after its last request
                was sent.
            is_dead: Whether the process is proved dead.
        """
        found = self._open.get(member.incarnation)
        if found is None or (is_dead and not found.is_dead):
            found = Quarantine(member=member, ended_s=ended_s, is_dead=is_dead)
            self._open[member.incarnation] = found
        return found

    def drop(self, incarnation: str) -> None:
        """End the quarantine of a process that has reconnected.

        Args:
            incarnation: Incarnation of the process.
        """
        self._open.pop(incarnation, None)

    def review(self, *, now_s: float) -> list[Quarantine]:
        """Update the quarantines from the member rows and return them.

        Those that have expired, and whose process has no row any more, are
        dropped.

        Args:
            now_s: Monotonic time in seconds.
        """
        for incarnation, found in list(self._open.items()):
            if self._members.scanned_since(found.ended_s):
                self._read_row(found)
            if now_s > found.until_s() and not self._members.has_row_of(
                found.member
            ):
                del self._open[incarnation]
        return list(self._open.values())

    def _read_row(self, quarantine: Quarantine) -> None:
        observed = self._observed_member(quarantine)
        if observed is None or not observed.version:
            return
        longest_s = 0.0
        if observed.member.incarnation == quarantine.member.incarnation:
            longest_s = observed.member.longest_s
        elif (
            observed.member.former_incarnation == quarantine.member.incarnation
        ):
            longest_s = observed.member.former_longest_s
        if longest_s > 0:
            quarantine.longest_s = longest_s

    def _observed_member(
        self, quarantine: Quarantine
    ) -> membership.ObservedMember | None:
        member = quarantine.member
        return self._members.observed_members.get((member.role, member.name))
