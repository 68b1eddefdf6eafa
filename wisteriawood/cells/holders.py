"""Manages a held cell: its jobs, new submissions and its workers."""

import typing

import anyio
from anyio import abc

from wisteriawood.cells import away_tasks
from wisteriawood.cells import cells
from wisteriawood.cells import command_senders
from wisteriawood.cells import contention_monitors
from wisteriawood.cells import evacuations
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import idle_jobs
from wisteriawood.cells import job_writers
from wisteriawood.cells import late_starts
from wisteriawood.cells import lease_ledgers
from wisteriawood.cells import lease_rows
from wisteriawood.cells import leases
from wisteriawood.cells import lending
from wisteriawood.cells import pacers
from wisteriawood.cells import preemption
from wisteriawood.cells import regrouping
from wisteriawood.cells import relocation
from wisteriawood.cells import stored_jobs
from wisteriawood.cells import tables
from wisteriawood.cells import takeover_times
from wisteriawood.cells import weight_exchanges
from wisteriawood.cells import worker_sessions
from wisteriawood.cells import workers
from wisteriawood.cells import zone_evacuations
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.links import clocks
from wisteriawood.links import feeds
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Fencing tokens per epoch; each restart of a worker uses one.
TOKENS_PER_EPOCH = 1000
TICK_PERIOD_S = 0.25
# Longest duration of one poll of the submissions or the cancellations; without
# new rows, the known cancellations get as old as this.
JOBS_POLL_S = 1.0
# Age that the submissions should not exceed: jobs wait in it unseen.
MAX_SUBMISSION_AGE_S = 2.0
EXPIRY_PERIOD_TICKS = 40
LOAD_LOG_PERIOD_TICKS = 8
# Time without an answer after which a worker counts as silent. A live one
# may take the longest wait of a renewal and a call.
SILENT_S = worker_sessions.RENEW_WAIT_MS / 1000 + 0.25
# Most lines of a new holder about silent workers.
MAX_AWAITED_LINES = 16

Dial = typing.Callable[[runners.Registration], runners.RunLink]


class Holder:
    """Manages one cell while its claim is valid.

    Args:
        cell: The cell.
        zones: All availability zones, sorted.
        dial: Opens the link to a worker.
        lease_s: Duration of the workers' leases.
        longest_lease_s: Duration of the longest lease that workers accept.
        retention_s: Time for which the state of an ended job can be queried.
        former: The former holders, which may still renew leases.
        leases_row: The row of leases that was stored with the claim.
        times: Measures the takeover; None if it is not measured.
        term: Until when leases may run; None for no bound.

    Attributes:
        cell: The cell.
        listed_workers: The cell's workers in the directory, by id.
        is_open: Whether the jobs are loaded and the workers are managed.
        term: The same as given.
    """

    __slots__ = (
        "_dial",
        "_filler_pacer",
        "_former",
        "_group",
        "_guard",
        "_has_opened",
        "_held_since_s",
        "_lease_s",
        "_ledger",
        "_longest_lease_s",
        "_parts",
        "_regrouper",
        "_relocator",
        "_retention_s",
        "_preemptor",
        "_stored",
        "_ticks",
        "_times",
        "_zone_evacuator",
        "_zones",
        "cell",
        "is_open",
        "listed_workers",
        "term",
    )

    def __init__(
        self,
        *,
        cell: cells.Cell,
        zones: list[str],
        dial: Dial,
        lease_s: float,
        longest_lease_s: float,
        retention_s: float,
        former: former_holders.FormerHolder,
        leases_row: lease_rows.LeasesRow,
        times: takeover_times.TakeoverTimes | None = None,
        term: hold_terms.HoldTerm | None = None,
    ):
        self.cell = cell
        self._zones = zones
        self._dial = dial
        self._lease_s = lease_s
        self._longest_lease_s = longest_lease_s
        self._retention_s = retention_s
        self._former = former
        self._ledger = lease_ledgers.LeaseLedger(
            cell=cell, former=former, row=leases_row, term=term
        )
        self._times = times
        self.term = term
        self._group: abc.TaskGroup | None = None
        self._held_since_s = anyio.current_time()
        self._filler_pacer = pacers.FillerPacer(cell=cell)
        self._relocator = relocation.Relocator(cell=cell)
        self._zone_evacuator = zone_evacuations.ZoneEvacuator(
            cell=cell, relocator=self._relocator
        )
        self._preemptor = preemption.Preemptor(cell=cell)
        cell.placer.should_move = self._relocator.is_better_elsewhere
        cell.placer.is_leaving = self._relocator.is_leaving
        self._regrouper = regrouping.Regrouper(cell=cell)
        self._stored = stored_jobs.StoredJobs(
            cell=cell, zones=zones, on_adopt=former.record_assigned
        )
        self._guard = supervision.Guard(
            supervisor=cell.supervisor,
            kind="cell part",
            expected=tables.CellLostError,
        )
        # Periodic work, in the order in which it is done. An error in a part
        # does not keep the others from their work.
        self._parts: list[tuple[str, typing.Callable[[], None]]] = [
            ("occurrences", cell.open_occurrences),
            ("stored jobs", self._stored.check),
            ("filler pacer", self._filler_pacer.tick),
            ("relocator", self._relocator.tick),
            (
                "zone evacuation",
                lambda: self._zone_evacuator.tick(anyio.current_time()),
            ),
            (
                "preemptor",
                lambda: self._preemptor.tick(anyio.current_time()),
            ),
            ("evacuations", self._evacuate),
            (
                "regrouper",
                lambda: self._regrouper.tick(anyio.current_time()),
            ),
            ("load log", self._log_load),
        ]
        self._ticks = 0
        self._has_opened = False
        self.listed_workers: dict[str, runners.Registration] = {}
        self.is_open = False

    def age_s(self) -> float:
        """Return for how long the cell has been held."""
        return anyio.current_time() - self._held_since_s

    def awaits_leases(self) -> bool:
        """Return whether tasks wait for leases of silent workers to end.

        A change of the holder could only make that wait longer.
        """
        return bool(self.cell.orphans) or any(
            worker.runs and not worker.is_answering
            for worker in self.cell.fleet.values()
        )

    def withhold_leases(self) -> lease_rows.LeasesLeft:
        """Extend no lease until `restore_leases`, and tell which may run on.

        Returns:
            How long leases that this holder has granted may still run,
            rounded up. Workers that are not named may just have got one.
        """
        self._ledger.withhold_all()
        now_s = anyio.current_time()
        ends_s = self._ledger.removed_until_s() | {
            worker.id: worker.lease.lapsed_at_s
            for worker in self.cell.fleet.values()
            if now_s - worker.answered_at_s > SILENT_S
        }
        return lease_rows.LeasesLeft(
            by_worker_s={
                worker_id: former_holders.ceil_tenth(ends_s[worker_id] - now_s)
                for worker_id in lease_rows.bound_withheld(ends_s)
            },
            has_granted=self._has_opened,
            unanswered_s=late_starts.left_in_cell_s(self.cell, self._former),
        )

    def restore_leases(self) -> None:
        """Extend leases again: this host certainly goes on as the holder."""
        self._ledger.restore()

    def make_release_row(self) -> lease_rows.LeasesRow:
        """Return the row of leases to store with a release of the cell."""
        return self._ledger.make_release_row(
            SILENT_S, leases.lapse_s(self._lease_s)
        )

    async def run(self) -> None:
        """Manage the cell until cancelled.

        Raises:
            CellLostError: Another host holds the cell now.
        """
        started_at_s = anyio.current_time()
        read_at_s = clocks.elapsed_s()
        submissions, cancels = await self._load_jobs()
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                self.cell.open(group)
                for bucket in self._zones:
                    group.start_soon(self.cell.writer.write_bucket, bucket)
                group.start_soon(self._follow_submissions(submissions).run)
                group.start_soon(self._follow_cancels(cancels, read_at_s).run)
                group.start_soon(
                    self.cell.supervisor.run,
                    "weight exchange",
                    self.cell.name,
                    weight_exchanges.WeightExchange(cell=self.cell).run,
                )
                group.start_soon(
                    self.cell.supervisor.run,
                    "idle jobs",
                    self.cell.name,
                    idle_jobs.IdleJobMonitor(cell=self.cell).run,
                )
                group.start_soon(
                    self.cell.supervisor.run,
                    "contention",
                    self.cell.name,
                    contention_monitors.ContentionMonitor(cell=self.cell).run,
                )
                group.start_soon(
                    self.cell.supervisor.run,
                    "away tasks",
                    self.cell.name,
                    away_tasks.AwayTaskMonitor(
                        cell=self.cell, former=self._former
                    ).run,
                )
                self.is_open = self._has_opened = True
                self.update_fleet(self.listed_workers)
                self._add_removed_workers()
                took_s = anyio.current_time() - started_at_s
                self.cell.counters.takeover_s.observe(took_s)
                _LOG.log(
                    job_events.CELL_OPENED,
                    cell=self.cell.name,
                    epoch=self.cell.claim.epoch,
                    jobs=len(self.cell.jobs),
                    workers=len(self.cell.fleet),
                    took_s=round(took_s, 3),
                )
                group.start_soon(self._report_takeover)
                group.start_soon(self._ledger.run)
                await self._tick_forever()
        finally:
            self.is_open = False
            self._stored.close()
            self._zone_evacuator.close()
            self.cell.writer.close()
            with anyio.CancelScope(shield=True):
                for worker in list(self.cell.fleet.values()):
                    worker.close()
                    await worker.link.aclose()

    async def _report_takeover(self) -> None:
        """Log the phases of the takeover, and the workers that are silent."""
        if self._times is not None:
            self._times.end_phase("load")
            await self.cell.has_placed.wait()
            self._times.end_phase("first_pass")
            self._times.report(self.cell.name, self.cell.claim.epoch)
        await anyio.sleep(lease_ledgers.FIRST_ANSWERS_S)
        self._log_awaited_leases()

    def _log_awaited_leases(self) -> None:
        """Log for each silent worker with runs when its lease ends."""
        now_s = anyio.current_time()
        awaited = [
            (worker.id, list(worker.runs.values()), worker.lease.ended_at_s())
            for worker in self.cell.fleet.values()
            if worker.runs and not worker.is_answering
        ]
        awaited += [
            (worker_id, runs, self._former.lapsed_at_s_of(worker_id))
            for worker_id, runs in self.cell.orphans.items()
        ]
        for worker_id, runs, ended_at_s in awaited[:MAX_AWAITED_LINES]:
            _LOG.log(
                job_events.LEASE_AWAITED,
                cell=self.cell.name,
                worker=worker_id,
                runs=len(runs),
                standing=[r.name for r in runs if r.step.is_standing][
                    : worker_sessions.MAX_NAMED_TASKS
                ],
                left_s=round(max(0.0, ended_at_s - now_s), 3),
                basis=self._former.describe_basis(worker_id),
                left_out=max(0, len(awaited) - MAX_AWAITED_LINES),
            )

    def _follow_submissions(self, submissions: stores.Page) -> feeds.Feed:
        """Return the feed of new submissions.

        Args:
            submissions: The table of submissions, read before.
        """
        feed = feeds.Feed(
            store=self.cell.store,
            table=tables.specs_table(tables.zone_of_cell(self.cell.name)),
            on_rows=lambda rows: self._stored.process(
                rows, may_be_old=feed.is_reading_table
            ),
            start=submissions,
            wait_s=JOBS_POLL_S,
            max_age_s=lambda: MAX_SUBMISSION_AGE_S,
            supervisor=self.cell.supervisor,
        )
        return feed

    def _follow_cancels(
        self, cancels: stores.Page, read_at_s: float
    ) -> feeds.Feed:
        """Return the feed of the cancellations in all cells.

        A cell may run a part of any job, and whoever holds the others may be
        away, so each holder reads them all.

        Args:
            cancels: The table of cancellations, read before.
            read_at_s: Time of clocks.elapsed_s at which that read was sent.
        """
        feed = feeds.Feed(
            store=self.cell.store,
            table=tables.CANCELS,
            on_rows=self._process_cancels,
            start=cancels,
            wait_s=JOBS_POLL_S,
            max_age_s=lambda: self.cell.max_cancel_age_s,
            supervisor=self.cell.supervisor,
        )
        self.cell.cancels_confirmed_at_s = lambda: max(
            read_at_s, feed.confirmed_at_s
        )
        return feed

    async def _load_jobs(self) -> tuple[stores.Page, stores.Page]:
        """Load the cell's jobs from the store.

        Returns:
            The tables of submissions and of cancellations.
        """
        name = self.cell.name
        table = tables.specs_table(tables.zone_of_cell(name))
        while True:
            try:
                submissions = await stores.read_table(self.cell.store, table)
                cancels = await stores.read_table(
                    self.cell.store, tables.CANCELS
                )
                states = await stores.read_table(self.cell.store, tables.JOBS)
                break
            except errors.PlatformError as exc:
                _LOG.log(
                    job_events.CELL_LOAD_FAILED, cell=name, cause=str(exc)
                )
                await anyio.sleep(feeds.RETRY_DELAY_S)
        self._process_cancels(cancels.rows)
        self._stored.load_all(submissions.rows, states.rows)
        return submissions, cancels

    def _process_cancels(self, rows: list[stores.StoredRow]) -> None:
        """Process new and removed cancellations.

        Args:
            rows: Changed rows of the table of cancellations.
        """
        for row in rows:
            if row.value is None:
                self.cell.cancelled_ids.discard(row.at.key)
                continue
            self.cell.cancelled_ids.add(row.at.key)
            self.cell.cancel_job(row.at.key)

    def update_fleet(self, fleet: dict[str, runners.Registration]) -> None:
        """Apply the directory's current list of the cell's workers.

        Args:
            fleet: The workers by id.
        """
        self.listed_workers = fleet
        if not self.is_open:
            return
        for worker_id, registration in fleet.items():
            worker = self.cell.fleet.get(worker_id)
            if worker is None:
                self._add_worker(registration)
                continue
            was_draining = worker.registration.is_draining
            worker.update(registration)
            if registration.is_draining and not was_draining:
                self._log_draining(worker)
        for worker_id, worker in self.cell.fleet.items():
            if worker_id not in fleet and not worker.is_gone:
                removed = self.cell.directory.removed_entry(worker_id)
                if removed is not None:
                    # It may be newer than the entry known here: a worker can
                    # drain and leave between two polls of a standby.
                    worker.update(removed)
                worker.is_gone = True
                _LOG.log(
                    job_events.RUN_WORKER_DELISTED,
                    worker=worker_id,
                    runs=len(worker.runs),
                )
        self.cell.request_placement()

    def _add_removed_workers(self) -> None:
        """Add the workers of orphans whose entries were removed of late.

        One that has not left answers, and its runs go on.
        """
        for worker_id in list(self.cell.orphans):
            removed = self.cell.directory.removed_entry(worker_id)
            if removed is not None:
                self._add_worker(removed)
                self.cell.fleet[worker_id].is_gone = True

    def _log_draining(self, worker: workers.Worker) -> None:
        now_s = anyio.current_time()
        registration = worker.registration
        news_age_ms = worker.lease.clock_ms(now_s) - registration.clock_ms
        _LOG.log(
            job_events.WORKER_DRAINING,
            worker=worker.id,
            remaining_ms=registration.remaining_ms,
            news_age_s=round(news_age_ms / 1000, 3),
            unsent=sum(not run.was_sent for run in worker.runs.values()),
            runs=len(worker.runs),
        )

    def _add_worker(self, registration: runners.Registration) -> None:
        cell = self.cell
        worker = workers.Worker(
            registration=registration,
            link=self._dial(registration),
            token=cell.claim.epoch * TOKENS_PER_EPOCH,
            lease=leases.Lease(
                length_s=self._lease_s,
                former=self._former,
                worker_id=registration.worker_id,
                longest_s=self._longest_lease_s,
                term=self.term,
            ),
        )
        worker.lease.is_withheld = self._ledger.is_withheld(worker.id)
        cell.fleet[worker.id] = worker
        worker_sessions.adopt_runs(worker, cell.orphans.pop(worker.id, []))
        group = self._group
        group.start_soon(
            worker_sessions.WorkerSession(cell=cell, worker=worker).run
        )
        for _number in range(command_senders.CONNECTIONS_PER_WORKER):
            group.start_soon(
                command_senders.CommandSender(cell=cell, worker=worker).run
            )

    def _next_tick_s(self) -> float:
        """Return the time until the next tick, or until a lease lapses."""
        now_s = anyio.current_time()
        left_s = [
            worker.lease.ended_at_s() - now_s
            for worker in self.cell.fleet.values()
            if worker.runs and not worker.is_answering
        ]
        return min([TICK_PERIOD_S, *(left for left in left_s if left > 0)])

    async def _tick_forever(self) -> None:
        while True:
            await anyio.sleep(self._next_tick_s())
            self._ticks += 1
            # Without these the cell can not go on.
            self._former.update()
            self._drop_orphans()
            self._drop_lapsed_runs()
            for name, part in self._parts:
                if not self._guard.is_excluded(name):
                    with self._guard.contain(name):
                        part()
            self.cell.request_placement()
            if self._ticks % EXPIRY_PERIOD_TICKS == 0:
                with self._guard.contain("expired-jobs"):
                    await self._remove_expired_jobs()

    def _evacuate(self) -> None:
        evacuations.evacuate(self.cell, anyio.current_time())

    def _log_load(self) -> None:
        """Log the load of each worker from time to time.

        The values of a worker are its number of serving tasks, its number
        of runs, its free CPU and the CPU that its fillers request, both in
        cores, and its free memory in gigabytes. `is_drained` is there only
        while the zone is drained.
        """
        if self._ticks % LOAD_LOG_PERIOD_TICKS:
            return
        _LOG.log(
            job_events.CELL_LOAD,
            cell=self.cell.name,
            waiting=self.cell.waiting_count(),
            reserved=len(self.cell.placer.reservations.entries),
            unplaceable=len(self.cell.placer.unplaceable),
            **({"is_drained": True} if self.cell.is_drained() else {}),
            workers={
                worker.id: [
                    sum(worker.serving_images().values()),
                    len(worker.runs),
                    worker.free_millicores // 1000,
                    worker.filler_millicores // 1000,
                    worker.free_memory_mb // 1024,
                ]
                for worker in self.cell.fleet.values()
            },
        )

    def _drop_lapsed_runs(self) -> None:
        """Drop the runs of workers whose leases have lapsed."""
        now_s = anyio.current_time()
        for worker in self.cell.fleet.values():
            lapsed = worker.find_lapsed_runs(now_s)
            if lapsed:
                worker_sessions.drop_runs(
                    self.cell, worker, lapsed, "lease lapsed"
                )

    def _late_start_ends_s(self, task_name: str) -> float:
        """Return until when a former start may let an orphan go on."""
        until_s = self._former.late_start_until_s(task_name)
        return until_s + leases.lapse_s(self._longest_lease_s)

    def _drop_orphans(self) -> None:
        """Drop the runs of workers that were never listed.

        This waits until the leases that the former holder may have granted
        have lapsed.
        """
        now_s = anyio.current_time()
        for worker_id in list(self.cell.orphans):
            if now_s < self._former.lapsed_at_s_of(worker_id):
                continue
            waiting = [
                run
                for run in self.cell.orphans[worker_id]
                if now_s < self._late_start_ends_s(run.name)
            ]
            orphans = self.cell.orphans.pop(worker_id)
            if waiting:
                self.cell.orphans[worker_id] = waiting
            for run in orphans:
                if run in waiting:
                    continue
                _LOG.log(
                    job_events.RUN_DROPPED,
                    worker=worker_id,
                    task=run.name,
                    run=run.number,
                    cause="worker never listed, lease lapsed",
                    held_s=round(self.age_s(), 3),
                )
                if run.is_current():
                    self.cell.record_run_end(
                        run.job, run.task, tasks.Outcome.LAPSED, ""
                    )

    async def _remove_expired_jobs(self) -> None:
        """Remove expired jobs and their rows."""
        now_unix_ms = self.cell.now_unix_ms()
        for job in list(self.cell.jobs.values()):
            if not job.is_ended() or self.cell.has_runs(job):
                continue
            if now_unix_ms - job.ended_unix_ms < self._retention_s * 1000:
                continue
            keys = [
                tables.job_row(job.bucket, job.id),
                tables.spec_row(job.cell, job.bucket, job.id),
            ]
            if job.id == job.submitted_id:
                if await self._has_lent_rows(job):
                    continue
                keys.append(tables.cancel_row(job.bucket, job.id))
            self.cell.remove_job(job)
            await job_writers.remove_job(self.cell.store, job, keys)

    async def _has_lent_rows(self, job: jobs.Job) -> bool:
        """Return whether rows of lent tasks of a job may still exist.

        The cancellation of the job must outlast them: the cell that has a
        lent task may be cut off for longer than ended jobs are retained.
        """
        if not job.is_standing():
            return False
        try:
            page = await self.cell.store.read(
                tables.JOBS, job.bucket, prefix=lending.lent_prefix(job.id)
            )
        except errors.PlatformError as exc:
            _LOG.log(job_events.JOB_NOT_REMOVED, job=job.id, cause=str(exc))
            return True
        return bool(page.rows)
