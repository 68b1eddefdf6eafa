"""A host's view of the other hosts and of the holders of cells."""

import math
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import hold_terms
from wisteriawood.cells import lease_rows
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links import clocks
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.links import version_times
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import former_holders

_LOG = events.Logger(name=__name__)
# Period of the heartbeats of a host that holds a cell, of one that is ready to
# take a cell over, and of other hosts.
HEARTBEAT_PERIOD_S = 0.8
STANDBY_HEARTBEAT_PERIOD_S = 1.6
PLAIN_HEARTBEAT_PERIOD_S = 3.2
# Hosts of a zone, the strongest ones, that follow the directory of workers to
# be ready to take over a cell. They include the holders, as a rule.
STANDBYS_PER_ZONE = 3
# Time after its first heartbeat from which a host knows the others.
STANDBY_START_DELAY_S = 2.0
# Time without a new heartbeat after which a host counts as failed: three
# heartbeat periods and a margin for the pause of the feed.
HOST_SILENCE_S = 2.6
# Most hosts that have to confirm the holds of a host without store.
MAX_WITNESSES = 2
# Time after a claim by which a heartbeat of its holder must show the same
# incarnation.
INCARNATION_MISMATCH_S = 1.8
# Age up to which the newest heartbeat of a host with a cell counts as proof
# that it is alive. Those of other hosts are further apart, and so much older.
LIVENESS_TIMEOUT_S = 2.0
# Duration of a slow write. With one idle period it is the age of this host's
# own newest heartbeat up to which the store counts as accepting its writes.
SLOW_WRITE_S = 0.8
MAX_OWN_HEARTBEAT_AGE_S = STANDBY_HEARTBEAT_PERIOD_S + SLOW_WRITE_S
# A host with at least this multiple of another's cores counts as stronger.
STRONGER_CORES_RATIO = 1.5
# Time for which heartbeats tell what has ended. Longer than any wait for the
# leases of a former holder.
ENDED_REPORT_S = 60.0
# Most former processes of a host that its heartbeats name.
MAX_ENDED = 4
# Longest poll of the claims. They rarely change, and a claim made on old ones
# fails.
CLAIM_POLL_S = 3.5
# The same of the heartbeats. They change many times a second, so that this
# poll is the first to show that the store has fallen silent.
HEARTBEAT_POLL_S = 0.5
# Age that the claims and the heartbeats should not exceed. A host that would
# take over a cell relies on both, and is not ready without heartbeats.
MAX_CLAIM_AGE_S = 4.5
MAX_HEARTBEAT_AGE_S = 2.5
# Pause of the heartbeat feed between calls, so that one answer brings
# several heartbeats.
HEARTBEAT_FEED_PAUSE_S = 0.5
# The same on a host that would not take over a cell.
PLAIN_FEED_PAUSE_S = 0.8


class Member:
    """A host and its newest heartbeat.

    Attributes:
        heartbeat: The newest heartbeat.
        heartbeat_seen_at_s: Monotonic time at which it was first seen.
        written_by_s: Monotonic time by which it was certainly written.
    """

    __slots__ = ("heartbeat", "heartbeat_seen_at_s", "written_by_s")

    def __init__(
        self,
        *,
        heartbeat: claims.HostHeartbeat,
        heartbeat_seen_at_s: float,
        written_by_s: float,
    ):
        self.heartbeat = heartbeat
        self.heartbeat_seen_at_s = heartbeat_seen_at_s
        self.written_by_s = written_by_s


class Members:
    """All hosts and all claims, as read from the store.

    Args:
        store: The store.
        name: Name of this host.
        zone: Its availability zone.
        incarnation: Identifier of its process.
        cores: CPU that it may use, in cores; 0 if unknown.
        process_age_s: For how long its process has run already.
        times: Records the answers of the store; None for no record.
        supervisor: Records unexpected errors; None to only log them.

    Attributes:
        address: Address at which other hosts reach this one, as host:port;
            empty if there is none.
        is_leaving: Whether this host is draining.
        heartbeat_written_at_s: Monotonic time of this host's last
            successful heartbeat; 0 before the first.
        heartbeat_period_s: Time until this host's next heartbeat.
        by_name: Hosts by name.
        claims: Newest known claim of each cell.
        leases: Newest known row of leases of each cell.
        has_read_heartbeats: Set once the heartbeats have been read, the one of
            the former process of this host included.
        claim_feed: Feed of the claims.
        heartbeat_feed: Feed of the heartbeats.
        on_ended: Called when a former process of this host becomes known.
        signs: Signs of life of this process.
        own_unconfirmed_s: Returns for how long this process has not confirmed
            a hold of another host, by cell and version of the claim.
        witness_sets: Hosts that have to confirm the holds of this one.
        on_trimmed: Called when a heartbeat leaves out figures for lack of
            room.
    """

    __slots__ = (
        "_claim_seen_at_s",
        "_ended",
        "_first_written_at_s",
        "_given_up",
        "_heartbeat_count",
        "_is_trimming",
        "_loads",
        "_started_at_s",
        "_store",
        "_times",
        "address",
        "by_name",
        "claim_feed",
        "claims",
        "cores",
        "has_read_heartbeats",
        "heartbeat_feed",
        "heartbeat_period_s",
        "heartbeat_written_at_s",
        "incarnation",
        "is_leaving",
        "leases",
        "name",
        "on_ended",
        "on_trimmed",
        "own_unconfirmed_s",
        "signs",
        "witness_sets",
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
        process_age_s: float = 0.0,
        times: version_times.VersionTimes | None = None,
        supervisor: supervision.Supervisor | None = None,
    ):
        self._store = store
        self._times = times or version_times.VersionTimes()
        self._heartbeat_count = 0
        self._is_trimming = False
        self._first_written_at_s = 0.0
        self.heartbeat_period_s = STANDBY_HEARTBEAT_PERIOD_S
        self._loads: dict[str, claims.CellLoad] = {}
        self._claim_seen_at_s: dict[str, float] = {}
        self._started_at_s = anyio.current_time() - process_age_s
        # Incarnations of former processes of this host, the newest last.
        self._ended: list[str] = []
        self.on_ended: typing.Callable[[], None] = lambda: None
        self.signs = hold_terms.Signs()
        self.own_unconfirmed_s: typing.Callable[[str, int], float] = (
            lambda _cell, _version: self.age_s()
        )
        self.witness_sets = hold_terms.WitnessSets()
        self.on_trimmed: typing.Callable[[], None] = lambda: None
        # Monotonic times and versions of the claims given up, by cell.
        self._given_up: dict[str, tuple[float, int]] = {}
        self.address = ""
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.cores = cores
        self.is_leaving = False
        self.heartbeat_written_at_s = 0.0
        self.by_name: dict[str, Member] = {}
        self.claims: dict[str, claims.Claim] = {}
        self.leases: dict[str, lease_rows.StoredLeases] = {}
        self.has_read_heartbeats = anyio.Event()
        self.claim_feed = feeds.Feed(
            store=store,
            table=tables.CLAIMS,
            on_rows=self.process_claims,
            wait_s=CLAIM_POLL_S,
            max_age_s=lambda: MAX_CLAIM_AGE_S,
            times=self._times,
            supervisor=supervisor,
        )
        self.heartbeat_feed = feeds.Feed(
            store=store,
            table=tables.HOSTS,
            on_rows=self._process_heartbeats,
            pause_s=self._feed_pause_s,
            on_answer=self._note_answer,
            wait_s=HEARTBEAT_POLL_S,
            max_age_s=lambda: MAX_HEARTBEAT_AGE_S,
            times=self._times,
            supervisor=supervisor,
        )

    def _feed_pause_s(self) -> float:
        return (
            PLAIN_FEED_PAUSE_S if self.is_plain() else HEARTBEAT_FEED_PAUSE_S
        )

    def is_plain(self) -> bool:
        """Return whether this host neither holds a cell nor is a standby."""
        return self.heartbeat_period_s >= PLAIN_HEARTBEAT_PERIOD_S

    def process_claims(self, rows: list[stores.StoredRow]) -> None:
        """Process rows of claims and leases, of any age.

        Args:
            rows: The rows; those without a value are skipped.
        """
        for row in rows:
            if row.value is None:
                continue
            try:
                if row.at.key.endswith(tables.LEASES_SUFFIX):
                    self._record_leases(row, lease_rows.read_leases(row.value))
                    continue
                claim = claims.read_claim(row)
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.CLAIM_UNREADABLE,
                    cell=row.at.key,
                    cause=str(exc),
                )
                if row.at.key.endswith(tables.LEASES_SUFFIX):
                    self._record_leases(row, None)
                continue
            self.record_claim(claim)

    def find_leases(self, cell: str) -> lease_rows.StoredLeases | None:
        """Return the newest known row of leases; None if there is none.

        Args:
            cell: The cell.
        """
        stored = self.leases.get(cell)
        if stored is None or self._store is None:
            return stored
        passed_s = self._store.clock.passed_s(stored.row.taken_ms)
        stored.taken_by_s = min(
            stored.taken_by_s, anyio.current_time() - passed_s
        )
        return stored

    def _record_leases(
        self, row: stores.StoredRow, found: lease_rows.LeasesRow | None
    ) -> None:
        cell = row.at.key.removesuffix(tables.LEASES_SUFFIX)
        known = self.leases.get(cell)
        if known is not None and known.version >= row.version:
            return
        known_for_s = self._times.known_for_s(row.version)
        written_by_s = anyio.current_time() - known_for_s
        self.leases[cell] = lease_rows.StoredLeases(
            row=found or lease_rows.LeasesRow(),
            version=row.version,
            is_readable=found is not None,
            written_by_s=written_by_s,
            taken_by_s=written_by_s,
        )

    def record_claim(self, claim: claims.Claim) -> None:
        """Record a claim unless a newer one is known.

        Args:
            claim: The claim.
        """
        if claim.row.holder == self.name:
            self._record_incarnation(claim.row.incarnation)
        known = self.claims.get(claim.cell)
        if known is not None and known.version >= claim.version:
            return
        self.claims[claim.cell] = claim
        self._claim_seen_at_s[claim.cell] = anyio.current_time()

    def written_by_s(self, version: int) -> float:
        """Return the monotonic time by which a row was certainly written.

        Args:
            version: Version of the row.
        """
        return anyio.current_time() - self._times.known_for_s(version)

    def claim_seen_at_s(self, claim: claims.Claim) -> float:
        """Return by when a claim was certainly written.

        Args:
            claim: The claim.

        Returns:
            Monotonic time: when it was first seen, or now if a newer one has
            been seen since.
        """
        known = self.claims.get(claim.cell)
        if known is None or known.version != claim.version:
            return anyio.current_time()
        return self._claim_seen_at_s[claim.cell]

    def _note_answer(self) -> None:
        self.has_read_heartbeats.set()

    def _record_incarnation(self, incarnation: str) -> None:
        """Record a process that wrote under the name of this host.

        Any other than this one has ended before this one started.
        """
        if incarnation != self.incarnation and incarnation not in self._ended:
            self._ended = [*self._ended, incarnation][-MAX_ENDED:]
            self.on_ended()

    def age_s(self) -> float:
        """Return for how long the process of this host has run."""
        return anyio.current_time() - self._started_at_s

    def record_given_up(self, claim: claims.Claim) -> None:
        """Record that this host no longer holds a cell under a claim.

        Args:
            claim: The claim.
        """
        self._given_up[claim.cell] = (anyio.current_time(), claim.version)

    def is_own_unheld(self, claim: claims.Claim) -> bool:
        """Return whether this process wrote a claim and never held under it.

        Args:
            claim: A claim of the cell, replaced or the newest one.
        """
        _at_s, version = self._given_up.get(claim.cell, (0.0, 0))
        return (
            claim.row.incarnation == self.incarnation
            and version < claim.version
        )

    def hold_ended_at_s(self, claim: claims.Claim) -> float:
        """Return when a holder had certainly stopped to renew leases.

        Args:
            claim: Its claim.

        Returns:
            Monotonic time; infinite if the holder may still go on.
        """
        host = claim.row.holder
        if host == self.name and claim.row.incarnation != self.incarnation:
            return self._started_at_s
        if host == self.name:
            ended_at_s, version = self._given_up.get(claim.cell, (0.0, 0))
            return ended_at_s if version >= claim.version else math.inf
        member = self.by_name.get(host)
        if member is None:
            return math.inf
        heartbeat = member.heartbeat
        if claim.row.incarnation in heartbeat.ended:
            return member.written_by_s - heartbeat.age_s
        if (
            heartbeat.incarnation == claim.row.incarnation
            and heartbeat.given_up.get(claim.cell, 0) >= claim.version
        ):
            return member.written_by_s - heartbeat.given_up_s.get(
                claim.cell, 0.0
            )
        return math.inf

    def _process_heartbeats(self, rows: list[stores.StoredRow]) -> None:
        now_s = anyio.current_time()
        for row in rows:
            try:
                heartbeat = claims.read_heartbeat(row)
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.HEARTBEAT_UNREADABLE,
                    host=row.at.key,
                    cause=str(exc),
                )
                continue
            if row.at.key == self.name:
                self._record_incarnation(heartbeat.incarnation)
            known = self.by_name.get(row.at.key)
            if known is not None and not _is_newer(heartbeat, known.heartbeat):
                continue
            self.by_name[row.at.key] = Member(
                heartbeat=heartbeat,
                heartbeat_seen_at_s=now_s,
                written_by_s=now_s - self._times.known_for_s(row.version),
            )
            for cell, load in heartbeat.cells.items():
                last = self._loads.get(cell)
                if last is None or last.epoch <= load.epoch:
                    self._loads[cell] = load

    def silence_s(self, host: str) -> float:
        """Return for how long a host has certainly sent no heartbeat.

        Time in which this host could not read heartbeats does not count.
        The result is 0 while the store rejects this host's own heartbeats,
        since it may reject those of the others too, and while this host
        has not caught up with them.

        Args:
            host: Name of the host.

        Returns:
            The time in seconds; 0 if nothing can be concluded.
        """
        now_s = anyio.current_time()
        readable_since_s = self.heartbeat_feed.unbroken_since_s
        if (
            not readable_since_s
            or not self.heartbeat_feed.is_caught_up
            or now_s - self.heartbeat_feed.answered_at_s > HOST_SILENCE_S
        ):
            return 0.0
        max_own_age_s = MAX_OWN_HEARTBEAT_AGE_S
        if self.is_plain():
            max_own_age_s = PLAIN_HEARTBEAT_PERIOD_S + SLOW_WRITE_S
        if now_s - self.heartbeat_written_at_s > max_own_age_s:
            return 0.0
        member = self.by_name.get(host)
        since_s = readable_since_s
        if member is not None:
            since_s = max(since_s, member.heartbeat_seen_at_s)
        return now_s - since_s

    def is_holder_gone(self, claim: claims.Claim, silence_s: float) -> bool:
        """Return whether the holder of a cell has failed or released it.

        Args:
            claim: The claim of the cell.
            silence_s: Time without a heartbeat after which the holder
                counts as failed.
        """
        if not claim.row.holder or claim.row.holder == self.name:
            # Callers ask only about cells that this process does not hold,
            # so a claim under its own name is stale.
            return True
        if self._has_restarted(claim):
            return True
        return self.silence_s(claim.row.holder) > silence_s

    def _has_restarted(self, claim: claims.Claim) -> bool:
        """Return whether the holder's host has restarted since the claim.

        A heartbeat with another incarnation may be older than the claim.
        It counts only if it was seen after the claim, or if it is still
        the newest one INCARNATION_MISMATCH_S later.
        """
        member = self.by_name.get(claim.row.holder)
        if member is None:
            return False
        if member.heartbeat.incarnation == claim.row.incarnation:
            return False
        claim_seen_at_s = self._claim_seen_at_s.get(claim.cell, 0.0)
        if member.heartbeat_seen_at_s > claim_seen_at_s:
            return True
        return anyio.current_time() - claim_seen_at_s > INCARNATION_MISMATCH_S

    def live_cell_loads(self) -> dict[str, claims.CellLoad]:
        """Return the loads of the cells whose holders are alive."""
        now_s = anyio.current_time()
        found = {}
        for name, member in self.by_name.items():
            if now_s - member.heartbeat_seen_at_s > LIVENESS_TIMEOUT_S:
                continue
            for cell, load in member.heartbeat.cells.items():
                claim = self.claims.get(cell)
                if claim is None or claim.row.holder == name:
                    found[cell] = load
        return found

    def all_loads(self) -> dict[str, claims.CellLoad]:
        """Return the newest known load of each cell.

        That of a cell without a holder is the last one that a holder sent.
        """
        return dict(self._loads)

    def count_live_hosts(self) -> int:
        """Return the number of live hosts that don't drain, at least 1."""
        now_s = anyio.current_time()
        live = [
            member
            for member in self.by_name.values()
            if not member.heartbeat.is_leaving
            and now_s - member.heartbeat_seen_at_s
            <= _liveness_timeout_s(member)
        ]
        return max(1, len(live))

    def has_stronger_host(self, cells_held: int) -> bool:
        """Return whether a stronger host of the zone could hold a cell.

        Args:
            cells_held: Number of cells that this host holds; a host with
                more of them does not count.
        """
        return any(
            self.by_name[name].heartbeat.cores
            >= STRONGER_CORES_RATIO * self.cores
            and len(self.by_name[name].heartbeat.cells) <= cells_held
            for name in self.live_hosts(self.zone)
            if name != self.name and self.cores > 0
        )

    def standbys(self) -> list[str]:
        """Return the hosts of this zone that should follow the directory.

        They are the strongest live ones; empty while this host does not know
        the others yet.
        """
        started_at_s = self._first_written_at_s
        if (
            not started_at_s
            or anyio.current_time() - started_at_s < STANDBY_START_DELAY_S
        ):
            return []
        ranked = sorted(
            self.live_hosts(self.zone),
            key=lambda name: -self.by_name[name].heartbeat.cores,
        )
        return ranked[:STANDBYS_PER_ZONE]

    def live_hosts(self, zone: str) -> list[str]:
        """Return the names of a zone's live hosts that don't drain.

        Hosts count as live while this host can't tell (see `silence_s`).

        Args:
            zone: The availability zone.
        """
        return sorted(
            name
            for name, member in self.by_name.items()
            if member.heartbeat.zone == zone
            and not member.heartbeat.is_leaving
            and self.silence_s(name) < _liveness_timeout_s(member)
        )

    def _choose_witnesses(self) -> dict[str, str]:
        """Return the processes that confirm the holds of this host, by host.

        They are the strongest ones of its zone, which would claim its cells;
        of other zones if there is none.
        """
        now_s = anyio.current_time()
        found = [n for n in self.live_hosts(self.zone) if n != self.name]
        if not found:
            found = [
                name
                for name, member in self.by_name.items()
                if name != self.name
                and not member.heartbeat.is_leaving
                and now_s - member.heartbeat_seen_at_s
                <= _liveness_timeout_s(member)
            ]
        ranked = sorted(
            (name for name in found if self.by_name[name].heartbeat.address),
            key=lambda name: (-self.by_name[name].heartbeat.cores, name),
        )
        return {
            name: self.by_name[name].heartbeat.incarnation
            for name in ranked[:MAX_WITNESSES]
        }

    def last_sign_s(self, claim: claims.Claim, since_s: float) -> float:
        """Return by when a former holder certainly sent its last sign.

        Args:
            claim: Its claim.
            since_s: Monotonic time by which the claim was certainly written.

        Returns:
            Monotonic time; infinite while a later one is possible, or if its
            leases are not bounded by its signs.
        """
        host = claim.row.holder
        member = self.by_name.get(host)
        if member is None or member.heartbeat.witnesses is None:
            return math.inf
        if member.heartbeat.incarnation != claim.row.incarnation:
            return math.inf
        feed = self.heartbeat_feed
        if tables.host_row(host) in feed.unverified:
            # It was read with the whole table, which may have been stale.
            return math.inf
        last_s = max(member.written_by_s, since_s)
        age_s = anyio.current_time() - last_s
        read_s_ago = clocks.elapsed_s() - feed.confirmed_at_s
        if age_s - read_s_ago < hold_terms.LAST_SIGN_S:
            return math.inf
        return last_s

    def last_load(self, claim: claims.Claim) -> claims.CellLoad | None:
        """Return the load of a cell in the last heartbeat of its holder.

        Args:
            claim: The claim of the holder.

        Returns:
            The load; None if that heartbeat does not have it.
        """
        member = self.by_name.get(claim.row.holder)
        if member is None:
            return None
        if member.heartbeat.incarnation != claim.row.incarnation:
            return None
        return member.heartbeat.cells.get(claim.cell)

    def term_basis_s(self, hold: "former_holders.FormerHold") -> float:
        """Return when a former holder was certainly the holder last.

        Args:
            hold: Its hold.

        Returns:
            Monotonic time; infinite if that is not known.
        """
        last_s = self.last_sign_s(hold.claim, hold.claimed_by_s)
        if last_s == math.inf:
            return math.inf
        member = self.by_name[hold.claim.row.holder]
        witnesses = member.heartbeat.witnesses
        if not witnesses:
            return last_s
        # One that does not confirm is enough, since all of them have to.
        confirmed_by_s = min(
            self._confirmed_by_s(hold, member, name, process)
            for name, process in witnesses.items()
        )
        return max(last_s, confirmed_by_s)

    def _confirmed_by_s(
        self,
        hold: "former_holders.FormerHold",
        holder: Member,
        name: str,
        process: str,
    ) -> float:
        """Return by when a witness had confirmed a former hold last.

        Args:
            hold: The hold.
            holder: Its host.
            name: Name of the witness.
            process: The process of it that the holder's heartbeat names.
        """
        if name == self.name:
            return anyio.current_time() - self.own_unconfirmed_s(
                hold.claim.cell, hold.claim.version
            )
        term = hold.witness_terms.get(name)
        if term is None:
            return math.inf
        if term.incarnation == process:
            return term.confirmed_by_s
        if term.answered_at_s >= holder.heartbeat_seen_at_s:
            # The named process had ended when the one that answered began.
            return term.began_by_s
        return math.inf

    def unasked_witnesses(
        self, hold: "former_holders.FormerHold"
    ) -> list[str]:
        """Return the witnesses to ask about a former hold.

        Args:
            hold: The hold.

        Returns:
            Their names; none if what they would tell is known already.
        """
        member = self.by_name.get(hold.claim.row.holder)
        if member is None or not member.heartbeat.witnesses:
            return []
        if member.heartbeat.incarnation != hold.claim.row.incarnation:
            return []
        confirmed_by_s = {
            name: self._confirmed_by_s(hold, member, name, process)
            for name, process in member.heartbeat.witnesses.items()
        }
        if min(confirmed_by_s.values()) < math.inf:
            return []
        return [name for name in confirmed_by_s if name != self.name]

    async def write_heartbeat(self, cells: dict[str, claims.CellLoad]) -> bool:
        """Write a heartbeat of this host.

        Args:
            cells: Loads of the cells that this host holds, by name.

        Returns:
            Whether the store has accepted it.
        """
        self._heartbeat_count += 1
        now_s = anyio.current_time()
        age_s = self.age_s()
        given_up = {
            cell: (ended_at_s, version)
            for cell, (ended_at_s, version) in self._given_up.items()
            if now_s - ended_at_s < ENDED_REPORT_S
        }
        row = claims.HostHeartbeat(
            zone=self.zone,
            incarnation=self.incarnation,
            count=self._heartbeat_count,
            cells=cells,
            is_leaving=self.is_leaving,
            cores=self.cores,
            period_s=self.heartbeat_period_s,
            age_s=_floor_tenth(age_s),
            ended=self._ended if age_s < ENDED_REPORT_S else [],
            given_up={
                cell: version for cell, (_at_s, version) in given_up.items()
            },
            given_up_s={
                cell: _floor_tenth(now_s - ended_at_s)
                for cell, (ended_at_s, _version) in given_up.items()
            },
            address=self.address,
            witnesses=self._choose_witnesses() if cells else {},
        )
        trimmed = claims.trim_heartbeat(row)
        if trimmed is not row:
            self.on_trimmed()
        self._log_trimmed(is_trimmed=trimmed is not row)
        value = claims.heartbeat_to_bytes(trimmed)
        change = stores.Change(writes={tables.host_row(self.name): value})
        self.witness_sets.record_sent(row.witnesses)
        sent_s = clocks.elapsed_s()
        try:
            await self._store.commit(change)
        except errors.PlatformError as exc:
            _LOG.log(
                job_events.HEARTBEAT_FAILED, host=self.name, cause=str(exc)
            )
            # Writes of workers may get lost or take effect late as well.
            self._times.clear()
            return False
        self.signs.record(sent_s=sent_s, answered_s=clocks.elapsed_s())
        self.witness_sets.record_answered()
        self.heartbeat_written_at_s = anyio.current_time()
        self._first_written_at_s = (
            self._first_written_at_s or self.heartbeat_written_at_s
        )
        return True

    def _log_trimmed(self, *, is_trimmed: bool) -> None:
        """Log when heartbeats begin to leave out figures, and no longer do."""
        if is_trimmed != self._is_trimming:
            self._is_trimming = is_trimmed
            _LOG.log(
                job_events.HEARTBEAT_TRIMMED,
                host=self.name,
                is_over=not is_trimmed,
            )


def _floor_tenth(value: float) -> float:
    """Return a number rounded down to tenths, which keeps rows short."""
    return math.floor(value * 10) / 10


def _liveness_timeout_s(member: Member) -> float:
    period_s = member.heartbeat.period_s or STANDBY_HEARTBEAT_PERIOD_S
    if member.heartbeat.cells:
        period_s = HEARTBEAT_PERIOD_S
    return LIVENESS_TIMEOUT_S + period_s - HEARTBEAT_PERIOD_S


def _is_newer(
    heartbeat: claims.HostHeartbeat, known: claims.HostHeartbeat
) -> bool:
    """Return whether a heartbeat is newer than the known one.

    A write that the store applied late can bring an older heartbeat of the
    same process.
    """
    if heartbeat.incarnation != known.incarnation:
        return True
    return heartbeat.count > known.count
