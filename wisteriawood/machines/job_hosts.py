"""A host that accepts jobs and holds cells."""

import functools
import math
import time
import typing
import uuid

import anyio
from anyio import abc

from wisteriawood.cells import cells
from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import holders
from wisteriawood.cells import lease_ledgers
from wisteriawood.cells import lease_rows
from wisteriawood.cells import loads
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood.cells import takeover_times
from wisteriawood.cells import worker_directories
from wisteriawood.cells import zone_drains
from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import clocks
from wisteriawood.links import feeds
from wisteriawood.links import messages
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.links import version_times
from wisteriawood.machines import directory_needs
from wisteriawood.machines import drain_requests
from wisteriawood.machines import heartbeats
from wisteriawood.machines import hold_answers
from wisteriawood.machines import hold_questions
from wisteriawood.machines import host_limits
from wisteriawood.machines import suspensions
from wisteriawood.machines import table_ages
from wisteriawood.machines import takeovers
from wisteriawood.machines import witness_questions
from wisteriawood.machines import witnesses
from wisteriawood.policies.backfill import base as backfill_base
from wisteriawood.policies import ordering as ordering_policies
from wisteriawood.policies.ordering import base as ordering_base
from wisteriawood.policies import registry
from wisteriawood.policies import spreading
from wisteriawood.policies.spreading import base as spreading_base
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
CELL_CHECK_PERIOD_S = 0.2
# Checks of cells between two of whether this host is a standby.
STANDBY_CHECK_PERIOD_TICKS = 5
# Time for which this host must have held a cell and read heartbeats before
# it releases the cell for a better holder.
RELEASE_DELAY_S = 2.0
# Time without an answer of the store after which callers are refused at
# once; the heartbeat feed retries several times within it.
STORE_UNREACHABLE_S = 1.0
# Greatest age of the newest answers about the other hosts and about the
# configuration at which the host is ready.
READY_ANSWER_AGE_S = 2.5


class JobHost:
    """Accepts jobs and holds cells: of its zone, and of zones without hosts.

    Args:
        name: Name of the host.
        zone: Its availability zone.
        zones: All availability zones.
        store: The store.
        dial: Opens the link to a worker.
        limits: Its time limits.
        policy: Name of the spreading policy.
        backfill_policy: Name of the policy that reserves room ahead.
        ordering: Name of the ordering policy.
        cores: CPU that the host may use, in cores; 0 if unknown.
        process_age_s: For how long its process has run already.
        dial_host: Opens the channel to another host; None if hosts are not
            linked.

    Attributes:
        directory: The directory of workers.
        configuration_feed: Feed of the configuration; None if the host gets it
            otherwise.
        limits: Its time limits.
        members: The other hosts and the claims of all cells.
        queues: Queues of the configuration in force; None before the first.
        is_draining: Whether the host releases its cells.
        directory_need: Whether this host follows the directory of workers.
        version_times: When changes of the store were made.
        supervisor: Contains unexpected errors.
        hold_answers: Answers other hosts that have claimed cells of this one.
        witness: Confirms holds of other hosts.
        drain_requests: Records the operator's requests to drain zones.
        zone_drains: The zones that an operator drains.
    """

    __slots__ = (
        "_dial",
        "_group",
        "_heartbeats",
        "_hold_questions",
        "_holders",
        "_backfill_policy",
        "_ordering",
        "_policy",
        "_releases",
        "_report_guard",
        "_scopes",
        "_suspensions",
        "_table_ages",
        "_takeovers",
        "_witness_questions",
        "configuration_feed",
        "counters",
        "directory",
        "directory_need",
        "drain_requests",
        "hold_answers",
        "is_draining",
        "limits",
        "members",
        "name",
        "queues",
        "store",
        "supervisor",
        "version_times",
        "witness",
        "zone",
        "zone_drains",
        "zones",
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        zones: typing.Iterable[str],
        store: stores.Store,
        dial: holders.Dial,
        limits: host_limits.HostLimits,
        policy: str = spreading_base.DEFAULT,
        backfill_policy: str = backfill_base.DEFAULT,
        ordering: str = ordering_base.DEFAULT,
        cores: float = 0.0,
        process_age_s: float = 0.0,
        dial_host: hold_questions.DialHost | None = None,
    ):
        self.name = name
        self.zone = zone
        self.zones = sorted(zones)
        self.store = store
        self._dial = dial
        self.limits = limits
        self.zone_drains = zone_drains.ZoneDrains(
            zones=self.zones, max_age_s=limits.max_zone_drain_age_s
        )
        registry.load_modules(spreading)
        self._backfill_policy = backfill_policy
        self._policy = spreading_base.SPREADING.get(policy)()
        registry.load_modules(ordering_policies)
        self._ordering = ordering_base.ORDERING.get(ordering)
        self.counters = job_metrics.JobMetrics()
        self.drain_requests = drain_requests.ZoneDrainRequests(
            drains=self.zone_drains, counters=self.counters
        )
        self.supervisor = supervision.Supervisor(
            count=self.counters.count_part_failure
        )
        self._report_guard = supervision.Guard(
            supervisor=self.supervisor, kind="load report"
        )
        self.version_times = version_times.VersionTimes()
        self.members = self._make_members(cores, process_age_s)
        self.queues: queues.QueueTable | None = None
        self.configuration_feed: feeds.Feed | None = None
        self._table_ages = table_ages.TableAges(
            contact=store.contact, counters=self.counters
        )
        self.is_draining = False
        self.directory_need = directory_needs.DirectoryNeed(
            known_members=self.members
        )
        self.directory = worker_directories.WorkerDirectory(
            max_age_s=limits.max_directory_age_s,
            silence_s=limits.directory_silence_s,
        )
        self._holders: dict[str, holders.Holder] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        # Set once the release of a cell under way has ended, by cell.
        self._releases: dict[str, anyio.Event] = {}
        self._suspensions = suspensions.Suspensions()
        self._group: abc.TaskGroup | None = None
        self._heartbeats = heartbeats.HeartbeatSender(
            known_members=self.members,
            directory_need=self.directory_need,
            report=self._report_loads,
            is_holding=self.is_holding,
        )
        self.members.on_ended = self._heartbeats.send_soon
        self.members.on_trimmed = self.counters.heartbeats_trimmed.inc
        self._takeovers = takeovers.Takeovers(
            known_members=self.members, dial=dial, workers_of=self._workers_of
        )
        self.hold_answers = hold_answers.HoldAnswers(
            known_members=self.members, end_hold=self._end_superseded_hold
        )
        self.witness = witnesses.Witness(
            known_members=self.members, counters=self.counters
        )
        self.members.own_unconfirmed_s = self.witness.unconfirmed_s
        self.hold_answers.handlers |= {
            messages.WitnessRequest: self.witness.confirm,
            messages.TermQuestion: self.witness.answer,
        }
        self._hold_questions: hold_questions.HoldQuestions | None = None
        self._witness_questions: witness_questions.WitnessQuestions | None = (
            None
        )
        if dial_host is not None:
            self._hold_questions = hold_questions.HoldQuestions(
                known_members=self.members,
                dial_host=dial_host,
                supervisor=self.supervisor,
            )
            self._witness_questions = witness_questions.WitnessQuestions(
                known_members=self.members,
                dial_host=dial_host,
                find_holders=lambda: dict(self._holders),
                counters=self.counters,
                supervisor=self.supervisor,
            )

    def _make_members(
        self, cores: float, process_age_s: float
    ) -> members.Members:
        return members.Members(
            store=self.store,
            name=self.name,
            zone=self.zone,
            incarnation=uuid.uuid4().hex,
            cores=cores,
            process_age_s=process_age_s,
            times=self.version_times,
            supervisor=self.supervisor,
        )

    def adopt_queues(self, table: queues.QueueTable) -> None:
        """Adopt a version of the configuration unless it is older.

        Args:
            table: The queues of that version.
        """
        if self.queues is not None and table.version <= self.queues.version:
            return
        self.queues = table
        _LOG.log(
            job_events.QUEUES_ADOPTED,
            version=table.version,
            queues=len(table.queues),
        )

    def configuration_age_s(self) -> float:
        """Return the age of the newest confirmed read of the configuration.

        It is 0 on a host that does not follow it in the store.
        """
        feed = self.configuration_feed
        return feed.age_s() if feed is not None else 0.0

    def update_fleet(self, fleet: dict[str, runners.Registration]) -> None:
        """Apply the directory's current list of workers.

        Args:
            fleet: All workers, by id.
        """
        self.directory.update(fleet)
        for name, holder in self._holders.items():
            holder.update_fleet(self._workers_of(name))

    def _workers_of(self, cell: str) -> dict[str, runners.Registration]:
        service = tables.service_of_cell(cell)
        zone = tables.zone_of_cell(cell)
        return self.directory.workers_of(service, zone)

    def open_cells(self) -> list[str]:
        """Return the names of the cells that this host has opened."""
        return [name for name, h in self._holders.items() if h.is_open]

    def is_holding(self) -> bool:
        """Return whether this host holds a cell, opened or not."""
        return bool(self._holders)

    def has_workers(self, cell: str) -> bool:
        """Return whether a cell is known to have workers.

        A host that does not follow the directory knows what the holder of
        the cell reported last.

        Args:
            cell: Name of the cell.
        """
        if self._workers_of(cell):
            return True
        load = self.members.all_loads().get(cell)
        return load is not None and load.workers > 0

    def is_drained(self, cell: str) -> bool:
        """Return whether the zone of a cell is drained.

        Args:
            cell: Name of the cell.
        """
        return self.zone_drains.is_drained(tables.zone_of_cell(cell))

    def new_job_share(self, cell: str) -> float:
        """Return the share of its weight for new jobs that a cell gets.

        Args:
            cell: Name of the cell.
        """
        return self.zone_drains.share_of(
            tables.zone_of_cell(cell), anyio.current_time()
        )

    def is_store_unreachable(self) -> bool:
        """Return whether the store has not answered for some time."""
        feed = self.members.heartbeat_feed
        silent_s = anyio.current_time() - feed.answered_at_s
        return not feed.unbroken_since_s and silent_s > STORE_UNREACHABLE_S

    def unready_reason(self) -> str:
        """Return why the host accepts no connections; empty if it does."""
        if self.is_draining:
            return "draining"
        if self.queues is None:
            return "no configuration yet"
        oldest_s = anyio.current_time() - READY_ANSWER_AGE_S
        if self.members.heartbeat_feed.answered_at_s < oldest_s:
            return "the store does not answer"
        feed = self.configuration_feed
        if feed is not None and feed.answered_at_s < oldest_s:
            return "the configuration is old"
        return ""

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for kind, function in (
                ("claim feed", self.members.claim_feed.run),
                ("heartbeat feed", self.members.heartbeat_feed.run),
                ("heartbeats", self._heartbeats.run),
                ("cell checks", self._check_cells_forever),
                ("table ages", self._table_ages.run),
            ):
                group.start_soon(
                    self.supervisor.run, kind, self.name, function
                )
            if self._witness_questions is not None:
                group.start_soon(
                    self.supervisor.run,
                    "witness questions",
                    self.name,
                    self._witness_questions.run,
                )

    def _report_loads(self) -> dict[str, claims.CellLoad]:
        """Return the loads of the cells that this host has opened."""
        found = {}
        for name, holder in self._holders.items():
            if not holder.is_open or self._report_guard.is_excluded(name):
                continue
            # Without a heartbeat this host would lose its other cells too.
            with self._report_guard.contain(name):
                found[name] = loads.report(holder.cell)
        return found

    def _all_cells(self) -> list[str]:
        services = self.directory.services()
        if self.queues is not None:
            services |= self.queues.services()
        return sorted(
            tables.cell_name(service, zone)
            for service in services
            for zone in self.zones
        )

    async def _check_cells_forever(self) -> None:
        ticks = 0
        while True:
            await anyio.sleep(CELL_CHECK_PERIOD_S)
            ticks += 1
            if ticks % STANDBY_CHECK_PERIOD_TICKS == 0:
                self.directory_need.check(self.is_holding())
            if self.is_draining or not self.members.claim_feed.answered_at_s:
                continue
            if self._holders:
                self._share_loads()
            for cell in self._all_cells():
                previous = self.members.claims.get(cell)
                if cell in self._holders:
                    self._check_held(cell)
                elif self._suspensions.has(cell):
                    continue
                elif await self._takeovers.should_claim(
                    cell, previous, len(self._holders)
                ):
                    # A claim that has appeared meanwhile is not replaced.
                    await self._claim(cell, previous)
                elif previous is not None and self._is_unheld(previous):
                    await self._release_unheld(cell, previous)

    def _is_unheld(self, claim: claims.Claim) -> bool:
        """Return whether a claim names this host, which never held under it.

        Its commit got no answer in time. Other hosts leave the cell to this
        one as long as it is alive.
        """
        return claim.row.holder == self.name and self.members.is_own_unheld(
            claim
        )

    async def _release_unheld(self, cell: str, claim: claims.Claim) -> None:
        """Release a cell that this host has claimed, but does not hold."""
        stored = self.members.find_leases(cell)
        leases_row = lease_ledgers.make_claim_row(
            former=self._find_former(claim, stored),
            stored=stored,
            taken_ms=self.store.clock.latest_ms(),
        )
        released = await self._commit_claim(
            cell, claim, stored, leases_row, host=""
        )
        if released is None:
            return
        self.members.record_claim(released)
        _LOG.log(
            job_events.CELL_RELEASED,
            cell=cell,
            epoch=released.epoch,
            withheld_s=leases_row.withheld_s,
        )

    def _share_loads(self) -> None:
        """Give each held cell the loads of its service's other cells.

        Nothing is moved to those of drained zones, which may not know of it.
        """
        live_loads = self.members.live_cell_loads()
        drained = {cell for cell in live_loads if self.is_drained(cell)}
        for name, holder in self._holders.items():
            service = tables.service_of_cell(name)
            others = {
                other: load
                for other, load in live_loads.items()
                if other != name and tables.service_of_cell(other) == service
            }
            holder.cell.other_loads = {
                other: load
                for other, load in others.items()
                if other not in drained
            }
            holder.cell.steady_cells = {
                other
                for other, load in others.items()
                if not load.silent_workers
            }

    def _check_held(self, cell: str) -> None:
        """Stop holding a cell that another host has claimed or should hold."""
        claim = self.members.claims.get(cell)
        held = self._holders[cell].cell.claim
        if claim is not None and claim.version > held.version:
            self._scopes[cell].cancel()
            return
        count = len(self._holders)
        if not self._takeovers.has_better_holder(cell, count):
            return
        holder = self._holders[cell]
        if not holder.is_open or holder.awaits_leases():
            return
        stable_s = min(
            anyio.current_time()
            - self.members.heartbeat_feed.unbroken_since_s,
            holder.age_s(),
        )
        if cell in self._releases:
            return
        if stable_s > RELEASE_DELAY_S and self._group is not None:
            self._group.start_soon(self.release, cell)

    async def _claim(self, cell: str, previous: claims.Claim | None) -> None:
        """Claim a cell over the claim that was judged, and hold it."""
        former = previous.row.holder if previous else ""
        silent_s = self.members.silence_s(former) if former else 0.0
        times = takeover_times.TakeoverTimes(
            former=former,
            silent_s=silent_s,
            decided_at_s=anyio.current_time(),
            counters=self.counters,
        )
        stored = self.members.find_leases(cell)
        leases_row = lease_ledgers.make_claim_row(
            former=self._find_former(previous, stored),
            stored=stored,
            taken_ms=self.store.clock.latest_ms(),
        )
        claimed_by_s = self._claimed_by_s(previous)
        claimed_s = clocks.elapsed_s()
        claim = await self._commit_claim(
            cell, previous, stored, leases_row, host=self.name
        )
        if claim is None:
            return
        times.end_phase("claim")
        self.members.record_claim(claim)
        self.directory_need.require()
        self._heartbeats.send_soon()
        _LOG.log(
            job_events.CELL_CLAIMED,
            cell=cell,
            epoch=claim.epoch,
            former=former,
            silent_s=round(silent_s, 3),
        )
        # Whoever was replaced counts from now, after the commit.
        former_holder = self._find_former(previous, stored, claimed_by_s)
        term = hold_terms.HoldTerm(
            claimed_s=claimed_s,
            signs=self.members.signs,
            witness_sets=self.members.witness_sets,
            claims_read_s=lambda: max(
                claimed_s, self.members.claim_feed.confirmed_at_s
            ),
        )
        holder = self._make_holder(
            claim, former_holder, leases_row, times, term
        )
        holder.update_fleet(self._workers_of(cell))
        holder.cell.on_standing_start = self._heartbeats.send_soon
        self._holders[cell] = holder
        self._scopes[cell] = anyio.CancelScope()
        self.counters.cells_held.set(len(self._holders))
        if self._group is not None:
            self._group.start_soon(self._run_holder, cell, holder)
        self._ask_former_holders(holder, former_holder)

    async def _commit_claim(
        self,
        cell: str,
        previous: claims.Claim | None,
        stored: lease_rows.StoredLeases | None,
        leases_row: lease_rows.LeasesRow,
        *,
        host: str,
    ) -> claims.Claim | None:
        """Return the new claim of a cell; None if it must not be relied on.

        Args:
            cell: The cell.
            previous: The claim to replace; None if there is none.
            stored: The row of leases to replace; None if there is none.
            leases_row: The new row of leases.
            host: This host; empty to release the cell.
        """
        try:
            claim = await claims.claim_cell(
                self.store,
                cell,
                previous,
                host,
                self.members.incarnation,
                leases=leases_row,
                leases_version=stored.version if stored else 0,
            )
        except errors.PlatformError as exc:
            if isinstance(exc, stores.ChangeConflictError):
                self.members.process_claims(exc.rows)
            _LOG.log(job_events.CLAIM_FAILED, cell=cell, cause=str(exc))
            return None
        if self.hold_answers.is_superseded(claim):
            _LOG.log(
                job_events.CLAIM_FAILED,
                cell=cell,
                cause="it was answered after a newer claim",
            )
            return None
        return claim

    def _make_holder(
        self,
        claim: claims.Claim,
        former: former_holders.FormerHolder,
        leases_row: lease_rows.LeasesRow,
        times: takeover_times.TakeoverTimes,
        term: hold_terms.HoldTerm,
    ) -> holders.Holder:
        return holders.Holder(
            cell=cells.Cell(
                claim=claim,
                store=self.store,
                policy=self._policy,
                ordering=self._ordering,
                directory=self.directory,
                max_cancel_age_s=self.limits.max_cancel_age_s,
                counters=self.counters,
                supervisor=self.supervisor,
                drains=self.zone_drains,
                backfill_policy=self._backfill_policy,
            ),
            zones=self.zones,
            dial=self._dial,
            lease_s=self.limits.lease_s,
            longest_lease_s=self.limits.longest_lease_s,
            retention_s=self.limits.retention_s,
            former=former,
            leases_row=leases_row,
            times=times,
            term=term,
        )

    def _claimed_by_s(self, claim: claims.Claim | None) -> float:
        """Return the monotonic time by which a claim was certainly written."""
        if claim is None:
            return math.inf
        return self.members.claim_seen_at_s(claim)

    def _find_former(
        self,
        previous: claims.Claim | None,
        stored: lease_rows.StoredLeases | None,
        claimed_by_s: float | None = None,
    ) -> former_holders.FormerHolder:
        if claimed_by_s is None:
            claimed_by_s = self._claimed_by_s(previous)
        return former_holders.FormerHolder(
            claim=previous,
            stored=stored,
            known_members=self.members,
            lease_s=self.limits.lease_s,
            claimed_by_s=claimed_by_s,
        )

    def _ask_former_holders(
        self, holder: holders.Holder, former: former_holders.FormerHolder
    ) -> None:
        """Start one task for each former holder whose end is unknown."""
        for hold in former.holds:
            if hold.claim.row.incarnation == self.members.incarnation:
                answer = self.hold_answers.answer_itself(hold.claim)
                if answer.has_ended:
                    hold.record_answer(answer)
        if self._group is None or self._hold_questions is None:
            return
        claim = holder.cell.claim
        for hold in former.holds:
            self._group.start_soon(
                self._hold_questions.ask,
                claim,
                hold,
                lambda: self._holders.get(claim.cell) is holder,
            )
            if self._witness_questions is not None:
                self._group.start_soon(
                    self._witness_questions.ask_about,
                    claim,
                    hold,
                    lambda: self._holders.get(claim.cell) is holder,
                )

    def _end_superseded_hold(self, question: messages.HoldQuestion) -> bool:
        """End a hold at once if a newer claim supersedes it.

        Args:
            question: The question of the host with the newer claim.

        Returns:
            Whether this host does not hold the cell any more.
        """
        cell = question.cell
        holder = self._holders.get(cell)
        if holder is None:
            return True
        held = holder.cell.claim
        if question.epoch <= held.epoch or question.version <= held.version:
            return False
        _LOG.log(
            job_events.CELL_LOST,
            cell=cell,
            cause=f"{question.host} has claimed it",
        )
        self.hold_answers.record(held, holder.withhold_leases())
        self._scopes[cell].cancel()
        return True

    async def _run_holder(self, cell: str, holder: holders.Holder) -> None:
        has_failed = False
        try:
            with self._scopes[cell]:
                await holder.run()
        except Exception as exc:
            lost, unexpected = supervision.split(exc, tables.CellLostError)
            if lost is not None:
                _LOG.log(job_events.CELL_LOST, cell=cell, cause=str(lost))
            if unexpected is not None:
                has_failed = True
                self.supervisor.record("cell", cell, unexpected)
        finally:
            if self._holders.get(cell) is holder:
                del self._holders[cell]
                del self._scopes[cell]
            self.hold_answers.record(
                holder.cell.claim, holder.withhold_leases()
            )
            self.members.record_given_up(holder.cell.claim)
            self._heartbeats.send_soon()
            self.counters.cells_held.set(len(self._holders))
        if has_failed:
            await self._suspend(cell, holder)

    async def _suspend(self, cell: str, holder: holders.Holder) -> None:
        """Leave a cell to other hosts for a time after an error here.

        The next holder reads the state of the jobs from the store.

        Args:
            cell: The cell.
            holder: Its holder, which has ended.
        """
        self._suspensions.add(cell)
        holder.withhold_leases()
        try:
            await self._release_claim(cell, holder)
        except errors.PlatformError:
            return

    async def release(self, cell: str) -> None:
        """Release a cell, so that another host can claim it at once.

        The release tells when leases end, so none is extended meanwhile. The
        cell is kept only if the release certainly had no effect.

        Args:
            cell: The cell.
        """
        while cell in self._releases:
            await self._releases[cell].wait()
        holder = self._holders.get(cell)
        if holder is None:
            return
        self._releases[cell] = anyio.Event()
        is_kept = False
        try:
            holder.withhold_leases()
            await self._release_claim(cell, holder)
        except (errors.PlatformUnavailableError, stores.ChangeRejectedError):
            is_kept = self._is_running(cell, holder)
            if is_kept:
                holder.restore_leases()
        except errors.PlatformError:
            # It may have been stored, or may still be.
            pass
        finally:
            self._releases.pop(cell).set()
            if not is_kept and self._holders.get(cell) is holder:
                self._scopes[cell].cancel()

    def _is_running(self, cell: str, holder: holders.Holder) -> bool:
        """Return whether a holder manages its cell and is not ending."""
        if self._holders.get(cell) is not holder:
            return False
        return not self._scopes[cell].cancel_called

    async def _release_claim(self, cell: str, holder: holders.Holder) -> None:
        """Write that a claim is released.

        Args:
            cell: The cell.
            holder: Its holder, which extends no lease.

        Raises:
            PlatformError: The release failed, or its outcome is unknown.
        """
        leases_row = holder.make_release_row()
        try:
            claim = await claims.claim_cell(
                self.store,
                cell,
                holder.cell.claim,
                "",
                self.members.incarnation,
                leases=leases_row,
                leases_version=None,
            )
        except errors.PlatformError as exc:
            _LOG.log(job_events.RELEASE_FAILED, cell=cell, cause=str(exc))
            raise
        self.members.record_claim(claim)
        _LOG.log(
            job_events.CELL_RELEASED,
            cell=cell,
            epoch=claim.epoch,
            withheld_s=leases_row.withheld_s,
        )

    async def drain(self) -> None:
        """Release all cells and claim no more."""
        self.is_draining = True
        self.members.is_leaving = True
        async with anyio.create_task_group() as group:
            for cell in list(self._holders):
                group.start_soon(functools.partial(self.release, cell))

    def now_unix_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        return int(time.time() * 1000)
