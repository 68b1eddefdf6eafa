"""Membership: the daemon's own member row and those of all daemons."""

import dataclasses
import math
import time
import typing

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.telemetry import events

RENEW_PERIOD_S = {
    holdings.Role.SCHEDULER: 2.0,
    holdings.Role.ENTRY: 5.0,
}
SCAN_PERIOD_S = 1.0
# Longest gap between two scans; after a longer one, the age of every row is
# counted from zero again.
MAX_SCAN_GAP_S = 3.0

_LOG = events.Logger(name=__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class ObservedMember:
    """A member row as this process last read it.

    Attributes:
        member: The row.
        version: Version of the row; 0 once it has been deleted.
        first_seen_s: Monotonic time at which this version was first read.
        started_s: Monotonic time at which this incarnation was first read.
    """

    member: holdings.MemberRow
    version: int
    first_seen_s: float
    started_s: float

    def is_expired(self, *, now_s: float) -> bool:
        """Return whether the term, drift included, has certainly ended.

        Args:
            now_s: Monotonic time in seconds.
        """
        wait_s = terms.PLACEMENT_TERM_S + terms.DRIFT_MARGIN_S
        return now_s - self.first_seen_s > wait_s


class Membership:
    """Renews the daemon's own member row and reads those of the others.

    Args:
        platform: Link to the platform.
        own: This daemon's row.
    """

    __slots__ = (
        "_platform",
        "_reachable",
        "_renewal_due",
        "_scanned_at_s",
        "_version",
        "_was_held",
        "announced_longest_s",
        "changed",
        "dead",
        "own",
        "renewed",
        "observed_members",
        "superseded",
        "term",
        "scan_sent_at_s",
    )

    def __init__(
        self, *, platform: platforms.Platform, own: holdings.MemberRow
    ):
        self._platform = platform
        self._reachable = True
        self._was_held = False
        self._renewal_due = anyio.Event()
        self._version = 0
        self._scanned_at_s: float | None = None
        self.own = own
        self.term = terms.Term(duration_s=terms.PLACEMENT_TERM_S)
        self.observed_members: dict[
            tuple[holdings.Role, str], ObservedMember
        ] = {}
        # Time at which the last complete scan was sent; _scanned_at_s is the
        # time of its answer.
        self.scan_sent_at_s = -math.inf
        # Longest request time that the stored row is known to announce.
        self.announced_longest_s = 0.0
        # Incarnations whose hosts refuse connections.
        self.dead: set[str] = set()
        self.changed = anyio.Event()
        self.renewed = anyio.Event()
        self.superseded = anyio.Event()

    def holds_term(self) -> bool:
        """Return whether the daemon holds its term now."""
        return self.term.is_held(now_s=anyio.current_time())

    @property
    def is_reachable(self) -> bool:
        """Whether the last call to the platform was answered."""
        return self._reachable

    def scanned_since(self, time_s: float) -> bool:
        """Return whether the last read of all members began after a time.

        Args:
            time_s: Monotonic time in seconds.
        """
        return self.scan_sent_at_s > time_s

    def has_row_of(self, member: holdings.MemberRow) -> bool:
        """Return whether the table has a row of this process.

        Args:
            member: Member row of the process, or one built from its role,
                name and incarnation.
        """
        observed = self.observed_members.get((member.role, member.name))
        return (
            observed is not None
            and observed.member.incarnation == member.incarnation
        )

    def live(
        self, role: holdings.Role, *, zone: str = ""
    ) -> list[holdings.MemberRow]:
        """Return the members of a role whose terms have not ended.

        Args:
            role: Role of the members.
            zone: Zone of the members; empty for all zones.
        """
        now_s = anyio.current_time()
        return [
            observed.member
            for (found, _name), observed in sorted(
                self.observed_members.items()
            )
            if found == role
            and zone in ("", observed.member.zone)
            and observed.version
            and observed.member.incarnation not in self.dead
            and observed.member.state != holdings.HostState.GONE
            and not observed.is_expired(now_s=now_s)
        ]

    async def run(self) -> None:
        """Renew the daemon's row and read the others until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew_periodically)
            group.start_soon(self._scan_periodically)

    async def _renew_periodically(self) -> None:
        while not self.superseded.is_set():
            self._renewal_due = anyio.Event()
            await self._track_reachability(self.renew)
            self._log_term()
            with anyio.move_on_after(RENEW_PERIOD_S[self.own.role]):
                await self._renewal_due.wait()

    def _log_term(self) -> None:
        is_held = self.holds_term()
        if is_held and not self._was_held:
            _LOG.log(events.TERM_HELD)
        elif self._was_held and not is_held:
            _LOG.log(events.TERM_LOST, reason="not confirmed in time")
        self._was_held = is_held

    def request_renewal(self) -> None:
        """Have the daemon's row written at once because it has changed."""
        self._renewal_due.set()

    async def _scan_periodically(self) -> None:
        while True:
            await self._track_reachability(self.scan)
            await anyio.sleep(SCAN_PERIOD_S)

    async def _track_reachability(
        self, call: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        try:
            await call()
        except errors.PlatformError as exc:
            if self._reachable:
                _LOG.log(events.PLATFORM_LOST, reason=str(exc))
            self._reachable = False
            return
        if not self._reachable:
            _LOG.log(events.PLATFORM_FOUND)
        self._reachable = True

    async def renew(self) -> None:
        """Write the daemon's row once and confirm the term.

        Raises:
            PlatformError: The row was not written.
        """
        key = keys.member(self.own.role, self.own.name)
        if not self._version:
            row = await self._platform.read(key)
            self._version = row.version if row else 0
            self._copy_former(row)
        self.own.renewals += 1
        self.own.renewed_unix_s = time.time()
        sent_at_s = anyio.current_time()
        announced_longest_s = self.own.longest_s
        # Even if no answer comes, the write may have taken effect.
        self.announced_longest_s = min(
            self.announced_longest_s, announced_longest_s
        )
        transaction = platforms.Transaction(
            conditions=[platforms.Condition(key=key, version=self._version)],
            writes=[platforms.Write(key=key, value=rows.to_value(self.own))],
        )
        result = await platforms.commit_with_retry(self._platform, transaction)
        if not result.committed:
            # A newer process of this host has written the row.
            self.term.end()
            self.superseded.set()
            _LOG.log(events.TERM_LOST, reason="superseded")
            return
        self._version = result.version
        self.term.confirm(
            sent_at_s=sent_at_s, confirmed_at_s=anyio.current_time()
        )
        self.announced_longest_s = announced_longest_s
        self.renewed.set()
        self.renewed = anyio.Event()

    def _copy_former(self, row: platforms.Row | None) -> None:
        """Copy what the previous process announced if this one replaces it.

        Args:
            row: The stored member row, or None if there is none.
        """
        if row is None:
            return
        former = rows.from_value(row.value, holdings.MemberRow)
        if self.own.replaces(former):
            self.own.former_incarnation = former.incarnation
            self.own.former_longest_s = former.longest_s

    async def scan(self) -> None:
        """Read the rows of all members once.

        Raises:
            PlatformError: They could not be read.
        """
        sent_at_s = anyio.current_time()
        found = await platforms.scan_all(self._platform, keys.members())
        self.scan_sent_at_s = sent_at_s
        now_s = anyio.current_time()
        self._handle_scan_gap(now_s)
        seen = set()
        for row in found:
            member = rows.from_value(row.value, holdings.MemberRow)
            seen.add((member.role, member.name))
            self._observe(member, row.version, now_s)
        for key in set(self.observed_members) - seen:
            self._observe(self.observed_members[key].member, 0, now_s)
        self.changed.set()
        self.changed = anyio.Event()

    def _handle_scan_gap(self, now_s: float) -> None:
        # While the rows could not be read, they could not be renewed
        # either. Count the age of every row again from now, so that each
        # member has a full term to renew it.
        before_s = self._scanned_at_s
        if before_s is not None and now_s - before_s > MAX_SCAN_GAP_S:
            for observed in self.observed_members.values():
                observed.first_seen_s = now_s
        self._scanned_at_s = now_s

    def _observe(
        self, member: holdings.MemberRow, version: int, now_s: float
    ) -> None:
        key = (member.role, member.name)
        before = self.observed_members.get(key)
        if before is not None and before.version == version:
            return
        started_s = now_s
        if before and before.member.incarnation == member.incarnation:
            started_s = before.started_s
        elif before:
            self.dead.discard(before.member.incarnation)
        self.observed_members[key] = ObservedMember(
            member=member,
            version=version,
            first_seen_s=now_s,
            started_s=started_s,
        )

    def watch_missing(self, member: holdings.MemberRow) -> None:
        """Start to count the time for which a member has had no row.

        Args:
            member: Member row built from the known role, name and
                incarnation.
        """
        self._observe(member, 0, anyio.current_time())
