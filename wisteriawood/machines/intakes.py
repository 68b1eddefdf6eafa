"""Handles callers' requests to submit, query and cancel jobs."""

import contextlib
import typing

import anyio

from wisteriawood.cells import balancers
from wisteriawood.cells import loads
from wisteriawood.cells import relocation
from wisteriawood.cells import tables
from wisteriawood.cells import zone_drains
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links.codecs import rows
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.machines import placeholders
from wisteriawood.policies import admission
from wisteriawood.policies.admission import base
from wisteriawood.policies import registry
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Size of the largest specification that is accepted. Its row also has to hold
# what a loan of one of its tasks adds: a checkpoint, names and numbers.
MAX_SPEC_BYTES = 57_344
# Retry delay for a caller that is refused because the store is unreachable.
STORE_RETRY_S = 1.0
# Retry delay for a caller whose queue may be in a newer configuration.
CONFIGURATION_RETRY_S = 0.5
# Longest time for which a submission or cancellation is tried.
SUBMIT_TIMEOUT_S = 2.0


class Intake:
    """Answers the callers of one host.

    Args:
        host: The host.
        policy: Name of the admission policy.
    """

    __slots__ = ("_balancer", "_host", "_placeholders", "_policy")

    def __init__(self, *, host: job_hosts.JobHost, policy: str = base.DEFAULT):
        self._host = host
        self._balancer = balancers.Balancer()
        self._placeholders = placeholders.Placeholders(host=host)
        registry.load_modules(admission)
        self._policy = base.ADMISSION.get(policy)()

    def find_queue(self, host_name: str, path: str) -> queues.Queue:
        """Return the queue that a request addresses.

        Args:
            host_name: Host name in the request.
            path: Path of the request.

        Raises:
            RequestNotRunError: This host has no configuration yet, or one
                that is too old to tell that there is no such queue.
            NotFoundError: There is no such queue.
        """
        if self._host.queues is None:
            raise errors.RequestNotRunError(
                reason="this host has no configuration yet; try another",
                retry_after_s=STORE_RETRY_S,
            )
        try:
            return self._host.queues.find(host_name, path)
        except errors.NotFoundError as exc:
            version = self._host.queues.version
            age_s = self._host.configuration_age_s()
            reason = (
                f"{exc} in version {version} of the configuration, read "
                f"{age_s:.3f} s ago"
            )
            if age_s > self._host.limits.max_configuration_age_s:
                raise errors.RequestNotRunError(
                    reason=f"{reason}; a newer version may have it, try again",
                    retry_after_s=CONFIGURATION_RETRY_S,
                ) from exc
            raise errors.NotFoundError(reason) from exc

    async def submit(self, spec: specs.JobSpec, timeout_s: float) -> None:
        """Accept a job; it is stored on return.

        If a job of this id is stored already, it stays unchanged.

        Args:
            spec: The job.
            timeout_s: Time for which the caller waits.

        Raises:
            UsageError: The job is too large to be stored.
            RequestNotRunError: The job was refused and never runs.
            RequestUnknownError: The job may have been accepted.
        """
        began_at_s = anyio.current_time()
        give_up_at_s = began_at_s + min(timeout_s, SUBMIT_TIMEOUT_S)
        outcome, cell = "refused", ""
        try:
            self._check_store()
            spec.accepted_unix_ms = self._host.now_unix_ms()
            bucket = tables.bucket_of(spec.id, self._host.zones)
            cell, refusal = self._choose_and_check(spec, bucket)
            with _map_store_errors():
                if refusal is not None:
                    outcome = refusal.outcome
                    outcome = await self._refuse(
                        spec, cell, refusal, give_up_at_s
                    )
                    return
                outcome = await self._store_job(
                    spec, cell, bucket, give_up_at_s
                )
            self._balancer.record_sent(cell, spec)
        except errors.RequestUnknownError:
            outcome = "unknown"
            raise
        finally:
            self._record_submission(spec, cell, outcome, began_at_s)

    def _record_submission(
        self, spec: specs.JobSpec, cell: str, outcome: str, began_at_s: float
    ) -> None:
        took_s = anyio.current_time() - began_at_s
        self._host.counters.submissions.labels(outcome=outcome).inc()
        self._host.counters.accepted_s.observe(took_s)
        _LOG.log(
            job_events.JOB_HANDED_IN,
            job=spec.id,
            queue=spec.queue.name,
            cell=cell,
            outcome=outcome,
            took_s=round(took_s, 3),
        )

    async def _store_job(
        self,
        spec: specs.JobSpec,
        cell: str,
        bucket: str,
        give_up_at_s: float,
    ) -> str:
        """Store a job.

        Returns:
            "accepted"; "repeated" if it was known; "cancelled" if it was
            cancelled before it could be stored, so that it never runs.
        """
        at = tables.job_row(bucket, spec.id)
        version = 0
        while True:
            try:
                await stores.commit_with_retry(
                    self._host.store,
                    _make_submission(spec, cell, bucket, version),
                    give_up_at_s=give_up_at_s,
                )
            except stores.ChangeConflictError as exc:
                found = placeholders.find(exc.rows, at)
                if found is None:
                    return "repeated"
                if found.state is jobs.JobState.WITHDRAWN:
                    return await self._store_cancelled(
                        spec.id, cell, found, give_up_at_s
                    )
                version = found.version
                continue
            return "accepted"

    async def _store_cancelled(
        self,
        job_id: str,
        cell: str,
        found: placeholders.Placeholder,
        give_up_at_s: float,
    ) -> str:
        """Show a job as cancelled that was cancelled before it was stored."""
        try:
            await self._placeholders.put(
                job_id=job_id,
                cell=cell,
                state=jobs.JobState.CANCELED,
                version=found.version,
                give_up_at_s=give_up_at_s,
            )
        except stores.ChangeConflictError:
            # Another submission has done so.
            return "repeated"
        return "cancelled"

    async def _refuse(
        self,
        spec: specs.JobSpec,
        cell: str,
        refusal: base.Refusal,
        give_up_at_s: float,
    ) -> str:
        """Refuse a job, unless it is stored already.

        Returns:
            "repeated" if it was stored; "cancelled" if it was cancelled
            before.

        Raises:
            RequestNotRunError: The job is refused.
        """
        try:
            await self._placeholders.put(
                job_id=spec.id,
                cell=cell,
                state=jobs.JobState.REFUSED,
                version=0,
                give_up_at_s=give_up_at_s,
            )
        except stores.ChangeConflictError as exc:
            bucket = tables.bucket_of(spec.id, self._host.zones)
            found = placeholders.find(
                exc.rows, tables.job_row(bucket, spec.id)
            )
            if found is None:
                return "repeated"
            if found.state is jobs.JobState.WITHDRAWN:
                return await self._store_cancelled(
                    spec.id, cell, found, give_up_at_s
                )
        raise errors.RequestNotRunError(
            reason=refusal.reason,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
        )

    async def run(self) -> None:
        """Remove the rows of jobs that never ran once they are not needed."""
        await self._placeholders.remove_forever()

    def _check_store(self) -> None:
        """Refuse the request if the store is known to be unreachable."""
        if self._host.is_store_unreachable():
            raise errors.RequestNotRunError(
                reason="the store does not answer this host",
                retry_after_s=STORE_RETRY_S,
            )

    def _choose_and_check(
        self, spec: specs.JobSpec, bucket: str
    ) -> tuple[str, base.Refusal | None]:
        """Return the cell of a job and, if none can take it, a refusal."""
        cell, view = self._choose_cell(spec, bucket)
        if view is None:
            return cell, self._refuse_drained(spec, cell)
        refusal = self._policy.check(spec, view)
        if refusal is not None:
            _LOG.log(
                job_events.JOB_OVERLOAD,
                job=spec.id,
                queue=spec.queue.name,
                cell=cell,
                cause=refusal.reason,
                retry_after_s=round(refusal.retry_after_s, 1),
                view=rows.to_value(view),
            )
        return cell, refusal

    def _refuse_drained(
        self, spec: specs.JobSpec, cell: str
    ) -> base.Refusal | None:
        """Return a refusal if a job could only go to a drained zone."""
        if not self._host.is_drained(cell):
            return None
        return base.Refusal(
            reason="the zones that could run the job are drained",
            retry_after_s=zone_drains.RETRY_S + base.retry_spread_s(spec),
            status=503,
            outcome="drained",
        )

    def _choose_cell(
        self, spec: specs.JobSpec, bucket: str
    ) -> tuple[str, base.CellView | None]:
        """Return the cell for a job, and the load of the cell.

        The balancer chooses among the cells that have workers and a live
        holder and whose zones are not drained, and of these among the ones
        that can run all steps, if any. If the job names racks and the cell in
        their zone is one of them, it is the only candidate, unless that zone
        was drained of late.

        Returns:
            The cell and its load; None as the load if there is no such cell.
            If zones are drained, the cell is then in one of them.
        """
        service = spec.queue.service
        zones = self._host.zones
        start = zones.index(bucket)
        ordered = zones[start:] + zones[:start]
        near = loads.zone_of_racks(
            self._host.members.all_loads(),
            service,
            {step.near_rack for step in spec.steps if step.near_rack},
        )
        if near:
            ordered = [near] + [zone for zone in ordered if zone != near]
        names = [tables.cell_name(service, zone) for zone in ordered]
        with_workers = [name for name in names if self._host.has_workers(name)]
        live_loads = self._host.members.live_cell_loads()
        open_cells = [name for name in with_workers if name in live_loads]
        drained = [name for name in names if self._host.is_drained(name)]
        if drained:
            open_cells = [name for name in open_cells if name not in drained]
        if not open_cells:
            return (drained or with_workers or names)[0], None
        open_cells = [
            name
            for name in open_cells
            if relocation.can_ever_run_all(live_loads[name], spec)
        ] or open_cells
        is_near_open = bool(near) and open_cells[0] == names[0]
        if is_near_open and self._host.new_job_share(names[0]) == 1.0:
            open_cells = names[:1]
        hosts = self._host.members.count_live_hosts()
        return self._balancer.choose(
            open_cells,
            live_loads,
            spec,
            hosts,
            share_of=self._host.new_job_share,
        )

    async def _read(self, job_id: str) -> tuple[str, jobs.JobState]:
        self._check_store()
        bucket = tables.bucket_of(job_id, self._host.zones)
        try:
            page = await self._host.store.read(tables.JOBS, bucket, key=job_id)
        except errors.PlatformError as exc:
            raise errors.RequestNotRunError(
                reason=f"the store can't be read now: {exc}",
                retry_after_s=STORE_RETRY_S,
            ) from exc
        if not page.rows:
            raise errors.NotFoundError(f"there is no job {job_id}")
        cell, state = codec.summary_from_bytes(page.rows[0].value or b"")
        if state in jobs.HIDDEN_STATES:
            raise errors.NotFoundError(f"there is no job {job_id}")
        return cell, state

    async def state(self, job_id: str) -> jobs.JobState:
        """Return the state of a job.

        Args:
            job_id: Id of the job.

        Raises:
            NotFoundError: There is no such job.
            RequestNotRunError: The store can't be read.
        """
        _cell, state = await self._read(job_id)
        return state

    async def cancel(self, job_id: str, timeout_s: float) -> None:
        """Cancel a job; the request is stored on return.

        Does nothing if the job has ended. If it is not stored, no submission
        of it takes effect any more.

        Args:
            job_id: Id of the job.
            timeout_s: Time for which the caller waits.

        Raises:
            NotFoundError: There is no such job, and there will be none.
            RequestNotRunError: The request was not stored.
            RequestUnknownError: The request may have been stored.
        """
        give_up_at_s = anyio.current_time() + min(timeout_s, SUBMIT_TIMEOUT_S)
        try:
            cell, state = await self._read(job_id)
        except errors.NotFoundError:
            with _map_store_errors():
                found = await self._withdraw(job_id, give_up_at_s)
            if found is None:
                raise
            cell, state = found
        if state in jobs.ENDED_STATES:
            return
        await self._store_cancel(job_id, cell, give_up_at_s)

    async def _withdraw(
        self, job_id: str, give_up_at_s: float
    ) -> tuple[str, jobs.JobState] | None:
        """Keep submissions of a job that is not stored from taking effect.

        One may be under way whose answer nobody waits for any more.

        Args:
            job_id: Id of the job.
            give_up_at_s: Monotonic time at which to stop.

        Returns:
            The cell and the state of the job if one has taken effect
            meanwhile, or the read was stale; None otherwise.
        """
        bucket = tables.bucket_of(job_id, self._host.zones)
        at = tables.job_row(bucket, job_id)
        version = 0
        while True:
            try:
                await self._placeholders.put(
                    job_id=job_id,
                    state=jobs.JobState.WITHDRAWN,
                    version=version,
                    give_up_at_s=give_up_at_s,
                )
            except stores.ChangeConflictError as exc:
                found = placeholders.find(exc.rows, at)
                if found is None:
                    for row in exc.rows:
                        if row.at == at and row.value is not None:
                            return codec.summary_from_bytes(row.value)
                    # The row that was to be replaced is gone.
                    version = 0
                    continue
                if found.state is not jobs.JobState.WITHDRAWN:
                    version = found.version
                    continue
            _LOG.log(
                job_events.JOB_CANCEL_ASKED,
                job=job_id,
                cell="",
                outcome="withdrawn",
            )
            return None

    async def _store_cancel(
        self, job_id: str, cell: str, give_up_at_s: float
    ) -> None:
        bucket = tables.bucket_of(job_id, self._host.zones)
        at = tables.cancel_row(bucket, job_id)
        change = stores.Change(expected={at: 0}, writes={at: b"{}"})
        outcome = "refused"
        try:
            with _map_store_errors():
                await stores.commit_with_retry(
                    self._host.store, change, give_up_at_s=give_up_at_s
                )
            outcome = "accepted"
        except stores.ChangeConflictError:
            outcome = "repeated"
        except errors.RequestUnknownError:
            outcome = "unknown"
            raise
        finally:
            _LOG.log(
                job_events.JOB_CANCEL_ASKED,
                job=job_id,
                cell=cell,
                outcome=outcome,
            )

    def pending(self, queue: queues.Queue) -> int:
        """Return the number of jobs of a queue that have not started.

        Args:
            queue: The queue.
        """
        known = self._host.members.all_loads().values()
        return sum(load.pending.get(queue.name, 0) for load in known)


@contextlib.contextmanager
def _map_store_errors() -> typing.Iterator[None]:
    """Map errors of the store to errors for the caller.

    Raises:
        UsageError: The store can't keep what the caller submitted.
        RequestUnknownError: The change may take effect.
        RequestNotRunError: The change does not take effect.
    """
    try:
        yield
    except stores.ChangeConflictError:
        raise
    except stores.ChangeRejectedError as exc:
        raise errors.UsageError(
            f"the job is too large to be stored; submit smaller ones ({exc})"
        ) from exc
    except errors.TransactionUnknownError as exc:
        raise errors.RequestUnknownError(
            reason="the store did not say whether the change is stored"
        ) from exc
    except errors.PlatformError as exc:
        raise errors.RequestNotRunError(
            reason=f"nothing can be stored now: {exc}",
            retry_after_s=STORE_RETRY_S,
        ) from exc


def _make_submission(
    spec: specs.JobSpec, cell: str, bucket: str, version: int
) -> stores.Change:
    """Return the change that stores a job.

    Args:
        spec: The job.
        cell: Its cell.
        bucket: Its bucket.
        version: Version of the row to replace; 0 if there must be none.

    Raises:
        ChangeRejectedError: The job is too large to be stored.
    """
    job = jobs.Job(spec=spec, cell=cell, bucket=bucket)
    at = tables.job_row(bucket, spec.id)
    value = codec.spec_to_bytes(spec, cell)
    if len(value) > MAX_SPEC_BYTES:
        raise stores.ChangeRejectedError(
            f"its specification has {len(value)} bytes, "
            f"{MAX_SPEC_BYTES} are allowed"
        )
    return stores.Change(
        expected={at: version},
        writes={
            at: codec.job_to_bytes(job),
            tables.spec_row(cell, bucket, spec.id): value,
        },
    )
