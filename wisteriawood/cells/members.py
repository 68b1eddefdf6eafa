"""What a host knows of the other hosts and of who holds which cell."""

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time between two heartbeats of a host that holds a cell, and of others.
BEAT_S = 0.8
IDLE_BEAT_S = 1.6
# Time without a new heartbeat after which a host counts as silent: three
# heartbeats and the rest of the feed.
SILENCE_S = 2.6
# Time after a claim by which the heartbeat of its holder must show it.
MISMATCH_S = 1.8
# A beat this old still tells that a cell's holder works, or that a host
# that holds none is there.
LIVELY_S = 2.0
IDLE_LIVELY_S = LIVELY_S + IDLE_BEAT_S - BEAT_S
# Age of this host's own newest heartbeat up to which the store takes its
# writes: one period, and the time of a slow write.
WRITTEN_S = IDLE_BEAT_S + 0.8
# A host with this multiple of another's processor is much stronger.
STRONGER_X = 1.5
# Rest of the feed of heartbeats, so that several come in one answer.
FEED_PAUSE_S = 0.5


class Member:
    """A host as its heartbeats show it.

    Attributes:
        beat: The newest heartbeat.
        changed_at_s: Monotonic time at which it was first seen.
    """

    __slots__ = ("beat", "changed_at_s")

    def __init__(self, *, beat: claims.HostBeat, changed_at_s: float):
        self.beat = beat
        self.changed_at_s = changed_at_s


class Members:
    """All hosts and all claims, as the store tells them.

    Args:
        store: The store.
        name: Name of this host.
        zone: Its availability zone.
        incarnation: Start of its process.
        cores: Processor that it may use, in cores; 0 if unknown.
    """

    __slots__ = (
        "_count",
        "_noted_at_s",
        "_store",
        "beat_feed",
        "claim_feed",
        "claims",
        "cores",
        "incarnation",
        "is_leaving",
        "members",
        "name",
        "written_at_s",
        "zone",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        name: str,
        zone: str,
        incarnation: str,
        cores: float = 0.0,
    ):
        self._store = store
        self._count = 0
        self._noted_at_s: dict[str, float] = {}
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.cores = cores
        self.is_leaving = False
        self.written_at_s = 0.0
        self.members: dict[str, Member] = {}
        self.claims: dict[str, claims.Claim] = {}
        self.claim_feed = feeds.Feed(
            store=store, table=tables.CLAIMS, take=self._take_claims
        )
        self.beat_feed = feeds.Feed(
            store=store,
            table=tables.HOSTS,
            take=self._take_beats,
            pause_s=lambda: FEED_PAUSE_S,
        )

    def _take_claims(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            try:
                claim = claims.read_claim(row)
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.CLAIM_UNREADABLE,
                    cell=row.at.key,
                    cause=str(exc),
                )
                continue
            self.note_claim(claim)

    def note_claim(self, claim: claims.Claim) -> None:
        """Take in a claim unless a newer one is known.

        Args:
            claim: The claim.
        """
        known = self.claims.get(claim.cell)
        if known is None or known.version < claim.version:
            self.claims[claim.cell] = claim
            self._noted_at_s[claim.cell] = anyio.current_time()

    def _take_beats(self, rows: list[stores.StoredRow]) -> None:
        now_s = anyio.current_time()
        for row in rows:
            try:
                beat = claims.read_beat(row)
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.BEAT_UNREADABLE, host=row.at.key, cause=str(exc)
                )
                continue
            known = self.members.get(row.at.key)
            if known is not None and not _is_newer(beat, known.beat):
                continue
            self.members[row.at.key] = Member(beat=beat, changed_at_s=now_s)

    def silence_s(self, host: str) -> float:
        """Return for how long a host has surely been silent.

        Time in which this host could not hear it does not count, nor does
        any while the store does not take this host's own heartbeats: it
        may not take the others' either.

        Args:
            host: Name of the host.
        """
        now_s = anyio.current_time()
        heard_from_s = self.beat_feed.steady_since_s
        if not heard_from_s or now_s - self.beat_feed.heard_at_s > SILENCE_S:
            return 0.0
        if now_s - self.written_at_s > WRITTEN_S:
            return 0.0
        member = self.members.get(host)
        since_s = heard_from_s
        if member is not None:
            since_s = max(since_s, member.changed_at_s)
        return now_s - since_s

    def is_holder_gone(self, claim: claims.Claim, silence_s: float) -> bool:
        """Tell whether a cell can be claimed from its holder.

        Args:
            claim: The claim.
            silence_s: Silence that the caller asks for.
        """
        if not claim.row.holder or claim.row.holder == self.name:
            # This process would know if it worked for the cell.
            return True
        if self._has_restarted(claim):
            return True
        return self.silence_s(claim.row.holder) > silence_s

    def _has_restarted(self, claim: claims.Claim) -> bool:
        """Tell whether the holder's host runs a newer process by now.

        A heartbeat may be older than the claim; only one that was seen
        after it, or still stands a while after both, tells.
        """
        member = self.members.get(claim.row.holder)
        if member is None:
            return False
        if member.beat.incarnation == claim.row.incarnation:
            return False
        noted_at_s = self._noted_at_s.get(claim.cell, 0.0)
        if member.changed_at_s > noted_at_s:
            return True
        return anyio.current_time() - noted_at_s > MISMATCH_S

    def lively_cells(self) -> dict[str, dict]:
        """Return the loads of the cells whose holders were heard lately."""
        now_s = anyio.current_time()
        found = {}
        for name, member in self.members.items():
            if now_s - member.changed_at_s > LIVELY_S:
                continue
            for cell, load in member.beat.cells.items():
                claim = self.claims.get(cell)
                if claim is None or claim.row.holder == name:
                    found[cell] = load
        return found

    def all_loads(self) -> dict[str, dict]:
        """Return the newest load known of each cell."""
        found: dict[str, dict] = {}
        for member in self.members.values():
            for cell, load in member.beat.cells.items():
                known = found.get(cell)
                if known is None or known["epoch"] < load["epoch"]:
                    found[cell] = load
        return found

    def count_lively(self) -> int:
        """Return how many hosts were heard lately and stay, at least 1."""
        now_s = anyio.current_time()
        lively = [
            member
            for member in self.members.values()
            if not member.beat.is_leaving
            and now_s - member.changed_at_s <= _lively_s(member)
        ]
        return max(1, len(lively))

    def has_stronger(self, cells_held: int) -> bool:
        """Tell whether a much stronger host of the zone could hold a cell.

        Args:
            cells_held: Cells that this host holds; a host with more of
                them does not count.
        """
        return any(
            self.members[name].beat.cores >= STRONGER_X * self.cores
            and len(self.members[name].beat.cells) <= cells_held
            for name in self.lively_hosts(self.zone)
            if name != self.name and self.cores > 0
        )

    def lively_hosts(self, zone: str) -> list[str]:
        """Return the hosts of a zone that were heard lately and stay.

        Args:
            zone: The availability zone.
        """
        return sorted(
            name
            for name, member in self.members.items()
            if member.beat.zone == zone
            and not member.beat.is_leaving
            and self.silence_s(name) < _lively_s(member)
        )

    async def beat(self, cells: dict[str, dict]) -> bool:
        """Write one heartbeat.

        Args:
            cells: Loads of the cells that this host holds.

        Returns:
            Whether the store has taken it.
        """
        self._count += 1
        row = claims.HostBeat(
            zone=self.zone,
            incarnation=self.incarnation,
            count=self._count,
            cells=cells,
            is_leaving=self.is_leaving,
            cores=self.cores,
        )
        change = stores.Change(
            writes={tables.host_row(self.name): claims.beat_to_bytes(row)}
        )
        try:
            await self._store.commit(change)
        except errors.PlatformError as exc:
            _LOG.log(job_events.BEAT_FAILED, host=self.name, cause=str(exc))
            return False
        self.written_at_s = anyio.current_time()
        return True


def _lively_s(member: Member) -> float:
    return LIVELY_S if member.beat.cells else IDLE_LIVELY_S


def _is_newer(beat: claims.HostBeat, known: claims.HostBeat) -> bool:
    """Tell whether a heartbeat came after another.

    A write that was applied late brings an older one of the same process.
    """
    if beat.incarnation != known.incarnation:
        return True
    return beat.count > known.count
