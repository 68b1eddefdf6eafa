"""Rows of jobs that never run, in place of the rows of their progress.

A submission is stored under the condition that its job has no row. One whose
answer was lost may take effect seconds later, unless such a row is there by
then.
"""

import dataclasses

import anyio

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time for which the row of a refused job is kept. It must outlast an earlier
# transaction for the same job whose answer was lost; such a transaction takes
# effect within seconds.
REFUSED_RETENTION_S = 30.0
REMOVE_PERIOD_S = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Placeholder:
    """The row of a job that was refused, or cancelled before it was stored.

    Attributes:
        state: Which of the two.
        version: Version of the row.
    """

    state: jobs.JobState
    version: int


def find(
    rows: list[stores.StoredRow], at: stores.RowKey
) -> Placeholder | None:
    """Return the placeholder at a key; None if something else is there.

    Args:
        rows: Rows that the store returned.
        at: The key.
    """
    for row in rows:
        if row.at != at or row.value is None:
            continue
        _cell, state = codec.summary_from_bytes(row.value)
        if state in jobs.HIDDEN_STATES:
            return Placeholder(state=state, version=row.version)
    return None


class Placeholders:
    """The placeholders that one host has written.

    Args:
        host: The host.
    """

    __slots__ = ("_host", "_kept")

    def __init__(self, *, host: job_hosts.JobHost):
        self._host = host
        # Monotonic times until which rows are kept, and their versions.
        self._kept: dict[stores.RowKey, tuple[float, int]] = {}

    async def put(
        self,
        *,
        job_id: str,
        cell: str = "",
        state: jobs.JobState,
        version: int,
        give_up_at_s: float,
    ) -> None:
        """Write the row of a job that never runs; it is removed later.

        Args:
            job_id: Id of the job.
            cell: Cell that the job was meant for; empty if unknown.
            state: State that the row shows.
            version: Version of the row to replace; 0 if there must be none.
            give_up_at_s: Monotonic time at which to stop.

        Raises:
            ChangeConflictError: The row has another version.
            PlatformError: The row was not stored, or may not have been.
        """
        bucket = tables.bucket_of(job_id, self._host.zones)
        at = tables.job_row(bucket, job_id)
        stored_version = await stores.commit_with_retry(
            self._host.store,
            stores.Change(
                expected={at: version},
                writes={at: codec.placeholder_to_bytes(cell, state)},
            ),
            give_up_at_s=give_up_at_s,
        )
        retention_s = self._host.limits.retention_s
        if state is jobs.JobState.REFUSED:
            retention_s = REFUSED_RETENTION_S
        self._kept[at] = (anyio.current_time() + retention_s, stored_version)

    async def remove_forever(self) -> None:
        """Remove the rows that are not needed any more, until cancelled."""
        while True:
            await anyio.sleep(REMOVE_PERIOD_S)
            now_s = anyio.current_time()
            for at, (until_s, version) in list(self._kept.items()):
                if now_s >= until_s:
                    del self._kept[at]
                    await self._remove(at, version)

    async def _remove(self, at: stores.RowKey, version: int) -> None:
        change = stores.Change(expected={at: version}, writes={at: None})
        try:
            await self._host.store.commit(change)
        except errors.PlatformError as exc:
            _LOG.log(job_events.JOB_NOT_REMOVED, job=at.key, cause=str(exc))
