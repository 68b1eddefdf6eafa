"""Finds out whether the store has a job that a worker reports a run of."""

import collections
import math
import typing

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import lending
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Jobs of one lookup; each has two rows.
MAX_JOBS_PER_LOOKUP = stores.MAX_TRANSACTION_ENTRIES // 2
# Jobs for which it is remembered that they are not of this cell.
MAX_REMEMBERED = 1000

# Loads a job from the current rows of its specification and its progress.
Load = typing.Callable[[stores.StoredRow, stores.StoredRow | None], None]


class JobLookups:
    """Looks up the jobs of reported runs that the holder does not know.

    The first reads of a holder may be stale. What a worker reports is of a
    job that was stored before, so that a current read tells for certain
    whether there is something to record.

    Args:
        cell: The cell.
        zones: All availability zones, sorted.
        load: Loads a job that was found.
    """

    __slots__ = ("_absent_at_s", "_cell", "_load", "_wanted", "_zones")

    def __init__(self, *, cell: cells.Cell, zones: list[str], load: Load):
        self._cell = cell
        self._zones = zones
        self._load = load
        # Monotonic times at which jobs were certainly not of this cell.
        self._absent_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Jobs to look up, by the bucket of the lookup under way.
        self._wanted: dict[str, set[str]] = {}

    def is_foreign(self, task_name: str, since_s: float) -> bool:
        """Return whether the store had no job of this cell with a task.

        If that is not known, the job is looked up in the background. One that
        is found is loaded.

        Args:
            task_name: Name of the task, of which no job is known here.
            since_s: Monotonic time at which the task was first reported.
        """
        parsed = tasks.parse_name(task_name)
        if parsed is None:
            return True
        job_id, place = parsed
        unknown = [
            found_id
            for found_id in (job_id, lending.lent_id(job_id, place))
            if found_id not in self._cell.jobs
            and self._absent_at_s.get(found_id, -math.inf) < since_s
        ]
        bucket = tables.bucket_of(job_id, self._zones)
        for found_id in unknown:
            self._want(bucket, found_id)
        return not unknown

    def _want(self, bucket: str, job_id: str) -> None:
        if bucket in self._wanted:
            self._wanted[bucket].add(job_id)
            return
        self._wanted[bucket] = {job_id}
        self._cell.run_in_background(self._look_up, bucket)

    async def _look_up(self, bucket: str) -> None:
        """Look up the wanted jobs of a bucket until there are no more."""
        try:
            while self._wanted[bucket]:
                job_ids = sorted(self._wanted[bucket])[:MAX_JOBS_PER_LOOKUP]
                try:
                    await self._look_up_some(bucket, job_ids)
                    self._wanted[bucket].difference_update(job_ids)
                except errors.PlatformError as exc:
                    _LOG.log(
                        job_events.JOB_NOT_LOOKED_UP,
                        cell=self._cell.name,
                        jobs=len(self._wanted[bucket]),
                        cause=str(exc),
                    )
                    await anyio.sleep(feeds.RETRY_DELAY_S)
        finally:
            del self._wanted[bucket]

    async def _look_up_some(self, bucket: str, job_ids: list[str]) -> None:
        cell = self._cell.name
        sent_at_s = anyio.current_time()
        found = await stores.read_current(
            self._cell.store,
            [
                at
                for job_id in job_ids
                for at in (
                    tables.job_row(bucket, job_id),
                    tables.spec_row(cell, bucket, job_id),
                )
            ],
        )
        for job_id in job_ids:
            row = found.get(tables.spec_row(cell, bucket, job_id))
            if row is not None and job_id not in self._cell.jobs:
                state = found.get(tables.job_row(bucket, job_id))
                self._load(row, state)
            if job_id not in self._cell.jobs:
                self._absent_at_s[job_id] = sent_at_s
                self._absent_at_s.move_to_end(job_id)
        while len(self._absent_at_s) > MAX_REMEMBERED:
            self._absent_at_s.popitem(last=False)
