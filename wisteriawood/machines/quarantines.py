"""Quarantines: how long requests of ended entry hosts may still run."""

import dataclasses

from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood.zones import membership


@dataclasses.dataclass(slots=True, kw_only=True)
class Quarantine:
    """The shares of a process that sends nothing new.

    Attributes:
        member: Its member row when that was found out.
        ended_s: Monotonic time after its last request had left.
        is_dead: Whether it has surely ended, and holds nothing at all.
        longest_s: Seconds that its last request may take.
    """

    member: holdings.MemberRow
    ended_s: float
    is_dead: bool
    longest_s: float = requests.LONGEST_REQUEST_S

    def until_s(self) -> float:
        """Return the monotonic time at which its last request has ended."""
        return self.ended_s + self.longest_s + terms.DRIFT_MARGIN_S


class Quarantines:
    """Processes of entry hosts that have sent their last request.

    How long that one may take stands in the process's row. Only a row read
    after the end tells it; until then the longest time counts that callers
    may ask for.

    Args:
        members: Membership of the scheduler.
    """

    __slots__ = ("_members", "_open")

    def __init__(self, *, members: membership.Membership):
        self._members = members
        self._open: dict[str, Quarantine] = {}

    def is_dead(self, incarnation: str) -> bool:
        """Tell whether a process has surely ended."""
        found = self._open.get(incarnation)
        return found is not None and found.is_dead

    def open(
        self, member: holdings.MemberRow, *, ended_s: float, is_dead: bool
    ) -> Quarantine:
        """Begin a quarantine; one that has begun goes on.

        Args:
            member: Member row of the process.
            ended_s: Monotonic time after its last request had left.
            is_dead: Whether the process has surely ended.
        """
        found = self._open.get(member.incarnation)
        if found is None or (is_dead and not found.is_dead):
            found = Quarantine(member=member, ended_s=ended_s, is_dead=is_dead)
            self._open[member.incarnation] = found
        return found

    def drop(self, incarnation: str) -> None:
        """Forget a process that has come back.

        Args:
            incarnation: Its incarnation.
        """
        self._open.pop(incarnation, None)

    def review(self, *, now_s: float) -> list[Quarantine]:
        """Read the rows, and return the quarantines.

        Args:
            now_s: Monotonic time in seconds.
        """
        for incarnation, found in list(self._open.items()):
            if self._members.watched_since(found.ended_s):
                self._read_row(found)
            if now_s > found.until_s() and not self._members.lists(
                found.member
            ):
                del self._open[incarnation]
        return list(self._open.values())

    def _read_row(self, found: Quarantine) -> None:
        sighting = self._sighting(found)
        if sighting is None or not sighting.version:
            return
        longest_s = 0.0
        if sighting.member.incarnation == found.member.incarnation:
            longest_s = sighting.member.longest_s
        elif sighting.member.former_incarnation == found.member.incarnation:
            longest_s = sighting.member.former_longest_s
        if longest_s > 0:
            found.longest_s = longest_s

    def _sighting(self, found: Quarantine) -> membership.Sighting | None:
        member = found.member
        return self._members.sightings.get((member.role, member.name))
