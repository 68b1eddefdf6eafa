"""State of a cell on the host that holds it: its jobs and its workers."""

import collections
import math
import time
import typing

import anyio
from anyio import abc

from wisteriawood.cells import capacity_requests
from wisteriawood.cells import checkpoints
from wisteriawood.cells import claims
from wisteriawood.cells import interference_models
from wisteriawood.cells import job_writers
from wisteriawood.cells import lending
from wisteriawood.cells import lookahead
from wisteriawood.cells import meters
from wisteriawood.cells import placers
from wisteriawood.cells import progress
from wisteriawood.cells import runs
from wisteriawood.cells import start_checks
from wisteriawood.cells import tables
from wisteriawood.cells import worker_directories
from wisteriawood.cells import worker_groups
from wisteriawood.cells import workers
from wisteriawood.cells import zone_drains
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import clocks
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.policies.backfill import base as backfill
from wisteriawood.policies.ordering import base as ordering_base
from wisteriawood.policies.spreading import base as spreading
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
# Time without a new job after which the placer starts fillers of idle jobs
# even where they exceed the load limits.
INTAKE_IDLE_S = 5.0
# Time after the opening of a cell in which live workers answer its holder.
FIRST_ANSWERS_S = 1.5
# Pause between two placement passes.
PLACEMENT_PAUSE_S = 0.02
# Time for which a pending job that moved away is reported here; the other
# cell reports it with its next heartbeat.
MOVED_REPORT_S = 2.0
# Pause between two log lines about checkpoints that are too long to be kept.
CHECKPOINT_LOG_PERIOD_S = 10.0
# Runs that the log line of one placement pass lists at most.
MAX_LOGGED_RUNS = 20


class Cell:
    """State of a held cell and the decisions about it.

    Args:
        claim: The claim under which the cell is held.
        store: The store.
        policy: Chooses the worker of each run.
        directory: The directory of workers.
        max_cancel_age_s: Age of the known cancellations up to which tasks
            may be started.
        counters: Metrics of the host.
        supervisor: Contains unexpected errors.
        drains: The drained zones; None if the deployment drains none.
        backfill_policy: Name of the policy that reserves room ahead.
        ordering: Decides which job gets workers first; None for
            placers.start_order.

    Attributes:
        jobs: All jobs of the cell, by id.
        fleet: The workers, by id.
        cancelled_ids: Ids of the submitted jobs that were cancelled, in any
            cell.
        cancels_confirmed_at_s: Returns the time of clocks.elapsed_s as of
            which the cancellations are known.
        last_job_at_s: Monotonic time at which the newest job was accepted.
        on_answering_change: Called when a worker stops answering, or answers
            again.
        on_standing_start: Called when the start of a standing task is
            answered.
        on_job_removed: Called with a job that the cell no longer manages.
        on_run_end: Called when the newest run of a task ends, with its
            worker, the run and the outcome.
        is_foreign: Returns whether the store had no job of this cell with a
            task of a name at or after a monotonic time. While that is not
            known, it finds out, and loads the job if there is one.
        writer: Writes the rows of the jobs.
        model: Estimates of the load that fillers add to serving tasks.
        filler_meter: Measures the rate at which fillers complete work.
        orphans: Stored runs of workers not in the directory yet, by worker.
        has_placed: Set after the first placement pass in which a worker has
            answered.
        other_loads: Last reported loads of the service's other cells, by cell;
            without those of drained zones.
        steady_cells: The service's other cells, also of drained zones, whose
            live holders report that all workers with runs answer.
        zone: Availability zone of the cell.
        zone_drains: The drained zones.
    """

    __slots__ = (
        "_group",
        "_guard",
        "_ids_by_submitted",
        "_log_checkpoints_at_s",
        "_moved",
        "_opened_at_s",
        "_placement_requested",
        "_placer",
        "_waiting",
        "cancelled_ids",
        "cancels_confirmed_at_s",
        "claim",
        "counters",
        "directory",
        "filler_meter",
        "fleet",
        "has_placed",
        "is_foreign",
        "jobs",
        "last_job_at_s",
        "max_cancel_age_s",
        "model",
        "on_answering_change",
        "on_job_removed",
        "on_run_end",
        "on_standing_start",
        "orphans",
        "other_loads",
        "steady_cells",
        "store",
        "supervisor",
        "writer",
        "zone",
        "zone_drains",
    )

    def __init__(
        self,
        *,
        claim: claims.Claim,
        store: stores.Store,
        policy: spreading.SpreadingPolicy,
        directory: worker_directories.WorkerDirectory,
        max_cancel_age_s: float,
        counters: job_metrics.JobMetrics,
        supervisor: supervision.Supervisor,
        drains: zone_drains.ZoneDrains | None = None,
        backfill_policy: str = backfill.DEFAULT,
        ordering: type[ordering_base.OrderingPolicy] | None = None,
    ):
        self.claim = claim
        self.zone = tables.zone_of_cell(claim.cell)
        self.zone_drains = drains or zone_drains.ZoneDrains(zones=[self.zone])
        self.supervisor = supervisor
        self.store = store
        self.counters = counters
        self.directory = directory
        self.max_cancel_age_s = max_cancel_age_s
        self.cancels_confirmed_at_s: typing.Callable[[], float] = lambda: 0.0
        self.last_job_at_s = -math.inf
        self.is_foreign: typing.Callable[[str, float], bool] = (
            lambda _task_name, _since_s: True
        )
        self.on_answering_change: typing.Callable[[], None] = lambda: None
        self.on_standing_start: typing.Callable[[], None] = lambda: None
        self.on_job_removed: typing.Callable[[jobs.Job], None] = (
            lambda _job: None
        )
        self.on_run_end: typing.Callable[
            [workers.Worker, runs.Run, tasks.Outcome], None
        ] = lambda _worker, _run, _outcome: None
        self.cancelled_ids: set[str] = set()
        self.jobs: dict[str, jobs.Job] = {}
        # Ids of the jobs here that a submitted job consists of: itself, its
        # lent tasks or both.
        self._ids_by_submitted: dict[str, set[str]] = {}
        self.fleet: dict[str, workers.Worker] = {}
        self.other_loads: dict[str, claims.CellLoad] = {}
        self.steady_cells: set[str] = set()
        self.orphans: dict[str, list[runs.Run]] = {}
        self.writer = job_writers.JobWriter(
            store=store,
            claim_key=tables.claim_row(claim.cell),
            claim_version=claim.version,
            on_cancel=self._handle_missed_cancel,
            on_refusal=self._reduce_job,
            on_left_out=self._record_left_out,
        )
        self.model = interference_models.InterferenceModel()
        self._guard = supervision.Guard(supervisor=supervisor, kind="job")
        self._placer = placers.Placer(
            policy=policy,
            model=self.model,
            guard=self._guard,
            lookahead=lookahead.make(
                backfill_policy,
                cell=claim.cell,
                counters=counters,
                supervisor=supervisor,
            ),
            ordering=ordering(model=self.model) if ordering else None,
        )
        self._waiting: dict[str, tuple[jobs.Job, list[list[tasks.Task]]]] = {}
        # Monotonic times and queues of the pending jobs that moved away.
        self._moved: collections.deque[tuple[float, str]] = collections.deque()
        self.filler_meter = meters.FillerMeter()
        self._group: abc.TaskGroup | None = None
        self._opened_at_s = math.inf
        self._log_checkpoints_at_s = -math.inf
        self._placement_requested = anyio.Event()
        self.has_placed = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the cell."""
        return self.claim.cell

    @property
    def placer(self) -> placers.Placer:
        """Assigns the waiting tasks."""
        return self._placer

    def is_drained(self) -> bool:
        """Return whether no task may start here as the zone is drained."""
        return self.zone_drains.is_drained(self.zone)

    def open(self, group: abc.TaskGroup) -> None:
        """Start placing tasks.

        Args:
            group: Runs the cell's background tasks.
        """
        self._group = group
        self._opened_at_s = anyio.current_time()
        group.start_soon(self.run_placement)

    def add_job(self, job: jobs.Job) -> None:
        """Add a job to the cell.

        Args:
            job: The job, newly submitted or loaded from the store.
        """
        age_s = time.time() - job.spec.accepted_unix_ms / 1000
        job.accepted_at_s = anyio.current_time() - max(0.0, age_s)
        self.jobs[job.id] = job
        self._ids_by_submitted.setdefault(job.submitted_id, set()).add(job.id)
        if not job.spec.moves:
            self.last_job_at_s = max(self.last_job_at_s, job.accepted_at_s)
        if not job.is_ended() and job.open_due_occurrences(time.time() * 1000):
            self.counters.jobs_opened.inc()
        if job.submitted_id in self.cancelled_ids:
            self.cancel_job(job.submitted_id)
        self.update_waiting(job)

    def remove_job(self, job: jobs.Job) -> None:
        """Remove a job that this cell no longer manages.

        Args:
            job: The job.
        """
        del self.jobs[job.id]
        self._waiting.pop(job.id, None)
        ids = self._ids_by_submitted[job.submitted_id]
        ids.discard(job.id)
        if not ids:
            del self._ids_by_submitted[job.submitted_id]
        self.on_job_removed(job)

    def remove_moved_job(self, job: jobs.Job) -> None:
        """Remove a job that another cell has now.

        Args:
            job: The job.
        """
        self.remove_job(job)
        if job.is_pending():
            self._moved.append((anyio.current_time(), job.spec.queue.name))

    def recently_moved_queues(self) -> list[str]:
        """Return the queue of each pending job that moved away of late."""
        now_s = anyio.current_time()
        while self._moved and now_s - self._moved[0][0] > MOVED_REPORT_S:
            self._moved.popleft()
        return [queue for _moved_at_s, queue in self._moved]

    def update_waiting(self, job: jobs.Job) -> None:
        """Recompute which tasks of a job are ready to start.

        Args:
            job: The job.
        """
        waiting = progress.waiting_steps(job)
        if waiting and job.cell == self.name:
            self._waiting[job.id] = (job, waiting)
        else:
            self._waiting.pop(job.id, None)

    def open_occurrences(self) -> None:
        """Open the due occurrences of timed jobs."""
        now_unix_ms = time.time() * 1000
        for job in self.jobs.values():
            if not job.spec.is_timed() or job.is_ended():
                continue
            if self._guard.is_excluded(job.id):
                continue
            with self._guard.contain(job.id):
                if job.open_due_occurrences(now_unix_ms):
                    self.update_waiting(job)

    def request_placement(self) -> None:
        """Request a placement pass and return at once."""
        self._placement_requested.set()

    async def run_placement(self) -> None:
        """Run a placement pass after each request, until cancelled.

        Requests within PLACEMENT_PAUSE_S share a pass, which bounds the CPU
        time that a large cell with many worker reports spends on placement.
        """
        while True:
            await self._placement_requested.wait()
            self._placement_requested = anyio.Event()
            self._assign_waiting()
            if any(worker.answered_at_s for worker in self.fleet.values()):
                self.has_placed.set()
            await anyio.sleep(PLACEMENT_PAUSE_S)

    def _assign_waiting(self) -> None:
        """Assign waiting tasks, write their rows and start the runs."""
        expected = self._expected_steps()
        requested = self._requested_steps()
        has_reservations = (
            self._placer.reservations.entries
            or self._placer.unplaceable
            or self._placer.lookahead.book
        )
        if not (self._waiting or expected or requested or has_reservations):
            return
        if self._group is None:
            return
        now_s = anyio.current_time()
        self._placer.is_intake_idle = (
            now_s - self.last_job_at_s >= INTAKE_IDLE_S
        )
        startable = self._startable_workers()
        assigned = self._placer.place(
            self._waiting, startable, now_s, expected, requested
        )
        if not self._knows_fleet(now_s):
            self._placer.unplaceable.clear()
        for worker, run in self._placer.lookahead.take_stops():
            with self._guard.contain(run.job.id):
                self.stop_run(worker, run)
        if not assigned:
            return
        _LOG.log(
            job_events.RUNS_ASSIGNED,
            cell=self.name,
            epoch=self.claim.epoch,
            runs=[
                [
                    run.name,
                    run.number,
                    worker.id,
                    round(worker.free_millicores / 1000, 1),
                ]
                for worker, run in assigned[:MAX_LOGGED_RUNS]
            ],
            left_out=max(0, len(assigned) - MAX_LOGGED_RUNS),
            waiting=self.waiting_count() - len(assigned),
            directory_age_s=round(self.directory.age_s(), 3),
        )
        by_job: dict[str, list[tuple[workers.Worker, runs.Run]]] = {}
        for worker, run in assigned:
            by_job.setdefault(run.job.id, []).append((worker, run))
        for found in by_job.values():
            job = found[0][1].job
            if job.state is jobs.JobState.QUEUED:
                job.state = jobs.JobState.RUNNING
            self.update_waiting(job)
            write = self.writer.schedule_write(job)
            self.run_in_background(self._start_assigned, found, write)

    def _startable_workers(self) -> list[workers.Worker]:
        """Return the workers on which tasks may be started now."""
        if start_checks.find_cell_obstacle(self):
            return []
        return [
            worker
            for worker in self.fleet.values()
            if not start_checks.find_worker_obstacle(self, worker)
        ]

    def _knows_fleet(self, now_s: float) -> bool:
        """Return whether the workers that may get new runs are known.

        Args:
            now_s: Monotonic time.
        """
        cancel_age_s = clocks.elapsed_s() - self.cancels_confirmed_at_s()
        return (
            now_s - self._opened_at_s >= FIRST_ANSWERS_S
            and self.directory.is_current()
            and cancel_age_s <= self.max_cancel_age_s
            and self.zone_drains.is_current()
        )

    def _expected_steps(self) -> list[placers.ExpectedStep]:
        """Return the standing tasks that will probably need a worker soon.

        Their workers do not answer, so that their runs count until their
        leases have lapsed, or drain.
        """
        endangered = [
            run
            for worker in self.fleet.values()
            if not worker.is_answering or worker.registration.is_draining
            for run in worker.runs.values()
        ]
        for orphans in self.orphans.values():
            endangered += orphans
        found: dict[tuple[str, int, int], placers.ExpectedStep] = {}
        for run in endangered:
            job, step, task = run.job, run.step, run.task
            if not step.is_standing or step.is_filler or job.is_ended():
                continue
            if run.is_current():
                found.setdefault(
                    (job.id, task.occurrence, task.step),
                    placers.ExpectedStep(job=job, tasks=[]),
                ).tasks.append(task)
        return list(found.values())

    def _requested_steps(self) -> list[specs.StepSpec]:
        """Return the steps for which other cells ask for room here."""
        return [
            step
            for load in self.other_loads.values()
            for step in capacity_requests.share_of(
                load.requested, len(self.other_loads)
            )
        ]

    async def _start_assigned(
        self,
        assigned: list[tuple[workers.Worker, runs.Run]],
        write: job_writers.JobWrite,
    ) -> None:
        await self.writer.wait_until_stored([write])
        for worker, run in assigned:
            if run.is_current() and not run.is_stopping:
                worker.queue_command(run)

    def end_run(
        self,
        worker: workers.Worker,
        run: runs.Run,
        outcome: tasks.Outcome,
        checkpoint: str = "",
    ) -> job_writers.JobWrite | None:
        """Record that a run has ended and is no longer on its worker.

        Args:
            worker: The worker.
            run: The run.
            outcome: How it ended.
            checkpoint: Its last checkpoint; empty for the last reported one.

        Returns:
            The write to wait for before the end is acknowledged; None if
            nothing changes in the store.
        """
        now_s = anyio.current_time()
        worker.remove_run(run)
        self.counters.ends.labels(outcome=outcome).inc()
        if outcome is tasks.Outcome.DONE and run.step.is_filler:
            self.filler_meter.add(specs.step_millicore_s(run.step))
        if outcome in (tasks.Outcome.DONE, tasks.Outcome.FAILED):
            has_failed = outcome is tasks.Outcome.FAILED
            if worker.record_end(run, has_failed, now_s):
                _LOG.log(
                    job_events.RUN_WORKER_PROBATION,
                    worker=worker.id,
                    until_s=round(worker.avoided_until_s - now_s, 1),
                )
        self._placer.lookahead.record_end(run, outcome, now_s)
        if not run.is_current():
            return self.writer.find_pending(run.job)
        self.on_run_end(worker, run, outcome)
        return self.record_run_end(
            run.job,
            run.task,
            outcome,
            self.take_checkpoint(run.name, checkpoint, run.checkpoint),
        )

    def find_job_of(self, task_name: str) -> jobs.Job | None:
        """Return the job here that a reported task belongs to.

        A job that has lent the task knows nothing of its runs.

        Args:
            task_name: Name of the task.
        """
        parsed = tasks.parse_name(task_name)
        if parsed is None:
            return None
        job_id, place = parsed
        lent = self.jobs.get(lending.lent_id(job_id, place))
        if lent is not None:
            return lent
        job = self.jobs.get(job_id)
        if job is None:
            return None
        is_lent = any(
            task.phase is tasks.Phase.LENT
            and (task.occurrence, task.step, task.index) == place
            for task in job.all_tasks()
        )
        return None if is_lent else job

    def _find_task(self, task_name: str) -> tuple[jobs.Job, tasks.Task] | None:
        """Return a reported task that has not left its open occurrence."""
        job = self.find_job_of(task_name)
        if job is None:
            return None
        for task in job.all_tasks():
            if job.task_name(task) == task_name:
                return job, task
        return None

    def check_reported_run(self, task_name: str, run: int) -> None:
        """Check that a run that is not known here is no newer than its task.

        A run is started once it is stored, so a newer one shows that the
        job was read before.

        Args:
            task_name: Name of the task.
            run: Number of the run that a worker reports.

        Raises:
            CellLostError: The jobs must be read again.
        """
        found = self._find_task(task_name)
        if found is None or found[0].is_ended():
            return
        _job, task = found
        if task.phase is not tasks.Phase.LENT and task.run < run:
            raise tables.CellLostError(f"{task_name} has a newer run")

    def record_late_end(
        self, worker: workers.Worker, job: jobs.Job, end: runners.EndedRun
    ) -> job_writers.JobWrite | None:
        """Record the end of a run that no longer counts as on its worker.

        Args:
            worker: The worker.
            job: Job of the task, which is known here.
            end: The end.

        Returns:
            The write to wait for before the end is acknowledged; None if the
            store has all that the end tells.
        """
        found = self._find_task(end.task_name)
        is_open = job.cell == self.name and not job.is_ended()
        if found is not None and is_open and found[1].run == end.run:
            task = found[1]
            is_here = (
                task.phase is tasks.Phase.ASSIGNED
                and task.worker_id == worker.id
            )
            # Any other end may have been stored before, by a holder that did
            # not live to acknowledge it.
            is_missed = (
                task.phase is tasks.Phase.WAITING
                and end.outcome is tasks.Outcome.DONE
            )
            if is_here or is_missed:
                return self.record_run_end(
                    job,
                    task,
                    end.outcome,
                    self.take_checkpoint(end.task_name, end.checkpoint, ""),
                )
        return self.writer.find_pending(job)

    def record_run_end(
        self,
        job: jobs.Job,
        task: tasks.Task,
        outcome: tasks.Outcome,
        checkpoint: str,
    ) -> job_writers.JobWrite:
        """Update a job after the end of the newest run of a task.

        Args:
            job: The job.
            task: The task.
            outcome: How the run ended.
            checkpoint: Its last checkpoint.

        Returns:
            The write of the change.
        """
        was_ended = job.is_ended()
        if was_ended:
            task.release(tasks.Phase.WAITING)
        else:
            progress.end_run(job, task, outcome, checkpoint)
        if outcome is not tasks.Outcome.DONE:
            _LOG.log(
                job_events.RUN_ENDED,
                task=job.task_name(task),
                run=task.run,
                outcome=outcome,
                failures=task.failures,
            )
        if job.is_ended() and not was_ended:
            self.end_job(job, job.state)
        self.update_waiting(job)
        return self.writer.schedule_write(job)

    def end_job(
        self, job: jobs.Job, state: jobs.JobState
    ) -> job_writers.JobWrite:
        """End a job and stop its remaining runs.

        Args:
            job: The job.
            state: Its final state.

        Returns:
            The write of the final state.
        """
        job.state = state
        job.ended_unix_ms = int(time.time() * 1000)
        self.counters.jobs_ended.labels(state=state).inc()
        _LOG.log(
            job_events.JOB_ENDED,
            job=job.id,
            queue=job.spec.queue.name,
            state=state,
            age_s=round(anyio.current_time() - job.accepted_at_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        for worker in self.fleet.values():
            for run in list(worker.runs.values()):
                if run.job is job:
                    self.stop_run(worker, run)
        self.update_waiting(job)
        return self.writer.schedule_write(job)

    def stop_run(self, worker: workers.Worker, run: runs.Run) -> None:
        """Request that a run stops; `end_run` is called once it has.

        Args:
            worker: The worker.
            run: The run.
        """
        if run.is_stopping:
            return
        run.is_stopping = True
        if run.was_sent:
            worker.queue_command(run)
            return
        # No start was sent, so the run can't start on the worker.
        self.end_run(worker, run, tasks.Outcome.STOPPED)

    def run_in_background(
        self, function: typing.Callable[..., typing.Awaitable], *args
    ) -> None:
        """Run a function while the cell is held; does nothing before that.

        Args:
            function: The function.
            *args: Its arguments.
        """
        if self._group is not None:
            self._group.start_soon(function, *args)

    def cancel_job(self, submitted_id: str) -> None:
        """Cancel a submitted job and its lent tasks, as far as they are here.

        One that is being moved is cancelled by the other cell, or here if the
        transaction that moves it fails because of the cancellation.

        Args:
            submitted_id: Id of the submitted job.
        """
        for job_id in list(self._ids_by_submitted.get(submitted_id, ())):
            job = self.jobs[job_id]
            if not job.is_ended() and job.cell == self.name:
                self.end_job(job, jobs.JobState.CANCELED)

    def _handle_missed_cancel(self, submitted_id: str) -> None:
        """Cancel a submitted job after a write has failed because of that."""
        for job_id in self._ids_by_submitted.get(submitted_id, ()):
            job = self.jobs[job_id]
            job.revert_move()
        self.cancel_job(submitted_id)

    def _reduce_job(
        self,
        job: jobs.Job,
        extra_rows: dict[stores.RowKey, bytes | None],
        cause: str,
    ) -> None:
        """Make the rows of a job that the store refuses small.

        It stays in this cell with all of its tasks, and its row keeps no
        checkpoint.
        """
        _LOG.log(
            job_events.JOB_REFUSED,
            job=job.id,
            cell=self.name,
            extra_rows=len(extra_rows),
            cause=cause,
        )
        self.counters.jobs_refused.inc()
        job.is_refused = True
        job.revert_move()
        lending.take_back(job, extra_rows)
        self.update_waiting(job)

    def _record_left_out(self, job: jobs.Job, count: int) -> None:
        """Record for how many checkpoints the row of a job has no room."""
        _LOG.log(
            job_events.CHECKPOINTS_LEFT_OUT,
            job=job.id,
            cell=self.name,
            count=count,
        )
        self.counters.checkpoints_dropped.labels(reason="row_full").inc()

    def take_checkpoint(
        self, task_name: str, checkpoint: str, known: str
    ) -> str:
        """Return the checkpoint of a task that is kept from now on.

        Args:
            task_name: Name of the task.
            checkpoint: The checkpoint that a worker reports; empty for none.
            known: The one that is kept so far.
        """
        if not checkpoint or checkpoints.may_keep(checkpoint):
            return checkpoint or known
        now_s = anyio.current_time()
        self.counters.checkpoints_dropped.labels(reason="too_long").inc()
        if now_s >= self._log_checkpoints_at_s:
            self._log_checkpoints_at_s = now_s + CHECKPOINT_LOG_PERIOD_S
            _LOG.log(
                job_events.CHECKPOINT_TOO_LONG,
                task=task_name,
                length=len(checkpoint),
            )
        return known

    def now_unix_ms(self) -> float:
        """Return the wall-clock time in milliseconds since the epoch."""
        return time.time() * 1000

    def jobs_of(self, submitted_id: str) -> list[jobs.Job]:
        """Return the jobs here that a submitted job consists of.

        Args:
            submitted_id: Id of the submitted job.
        """
        ids = self._ids_by_submitted.get(submitted_id, ())
        return [self.jobs[job_id] for job_id in sorted(ids)]

    def has_runs(self, job: jobs.Job) -> bool:
        """Return whether a run of a job may be on a worker.

        Args:
            job: The job.
        """
        return any(
            run.job is job
            for worker in self.fleet.values()
            for run in worker.runs.values()
        )

    def racks(self) -> set[str]:
        """Return the racks of the workers."""
        return {worker.registration.rack for worker in self.fleet.values()}

    def total_capacity(self) -> list[worker_groups.WorkerGroup]:
        """Return the listed workers that don't drain, with all capacity.

        There are none in a drained zone.
        """
        if self.is_drained():
            return []
        return worker_groups.summarize(
            worker.total_group()
            for worker in self.fleet.values()
            if not worker.is_gone and not worker.registration.is_draining
        )

    def waiting_jobs(
        self,
    ) -> typing.Iterable[tuple[jobs.Job, list[list[tasks.Task]]]]:
        """Return each job with its ready but unassigned tasks, by step."""
        return self._waiting.values()

    def waiting_steps(
        self,
    ) -> typing.Iterator[tuple[jobs.Job, list[tasks.Task]]]:
        """Yield each job with the tasks of one step, for all such steps."""
        for job, steps in self._waiting.values():
            for step_tasks in steps:
                yield job, step_tasks

    def waiting_count(self) -> int:
        """Return the number of ready tasks that have no worker."""
        return sum(
            len(step)
            for _job, steps in self._waiting.values()
            for step in steps
        )
