"""Tests of the writer of job rows."""

import contextlib
import unittest
from unittest import mock

import anyio

from wisteriawood.cells import job_writers
from wisteriawood.cells import lending
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import stores
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

JOB = "0123456789abcdef"
# A thousand of them are more than a row may contain.
LONG_CHECKPOINT = "c" * 100
TIMEOUT_S = 60.0


class JobWriterTests(unittest.TestCase):
    def test_rows_of_many_jobs_are_split_into_transactions(self):
        """Guards against changes that the store refuses as too large."""

        async def _check():
            store = store_standins.MemoryStore()
            writer = job_writers.JobWriter(
                store=store.link("me"),
                claim_key=tables.claim_row("shop@b"),
                claim_version=0,
                on_cancel=self.fail,
                on_refusal=self.fail,
            )
            names = [f"{number:016x}" for number in range(60)]
            for name in names:
                write = writer.schedule_write(builders.make_job(name))
            async with anyio.create_task_group() as group:
                group.start_soon(writer.write_bucket, "a")
                await writer.wait_until_stored([write])
                group.cancel_scope.cancel()
            self.assertEqual({at.key for at in store.rows}, set(names))
            self.assertEqual(store.rejected, 0)

        builders.run_virtual(_check)


class RejectedChangeTests(unittest.TestCase):
    """The store can never accept what has become of a job."""

    @contextlib.asynccontextmanager
    async def _open_cell(self):
        store = store_standins.MemoryStore()
        cell = builders.make_cell(store=store.link("me"))
        claim_at = tables.claim_row(cell.name)
        store.apply(stores.Change(writes={claim_at: b"claim"}))
        async with anyio.create_task_group() as group:
            cell.open(group)
            group.start_soon(cell.writer.write_bucket, "a")
            with anyio.fail_after(TIMEOUT_S):
                yield cell, store
            group.cancel_scope.cancel()

    def _make_large_job(self):
        job = builders.make_job("large", task_count=1000)
        for task in job.all_tasks():
            task.run, task.checkpoint = 1, LONG_CHECKPOINT
        return job

    def test_other_jobs_of_its_bucket_are_written(self):
        """Regression: LOST, nothing else in the bucket was written any more.

        The same change was sent again without end. The job itself is not the
        reason for a failure: its checkpoints are left out.
        """

        async def _check():
            async with self._open_cell() as (cell, store):
                large = self._make_large_job()
                others = [builders.make_job(f"{n}") for n in range(5)]
                for job in (others[0], large, *others[1:]):
                    cell.add_job(job)
                    write = cell.writer.schedule_write(job)
                await cell.writer.wait_until_stored([write])
                self.assertEqual(_job_keys(store), {"large", *"01234"})
                self.assertIs(large.state, jobs.JobState.QUEUED)
                self.assertEqual(store.rejected, 0)
                await anyio.sleep(10)
                self.assertEqual(store.rejected, 0)

        builders.run_virtual(_check)

    def test_its_runs_go_on(self):
        """Regression: LOST, the runs of a large job were stopped."""

        async def _check():
            async with self._open_cell() as (cell, _store):
                worker = builders.make_run_worker("w", cores=5000)
                cell.fleet["w"] = worker
                large = self._make_large_job()
                cell.add_job(large)
                run = builders.put_run(worker, large)
                write = cell.writer.schedule_write(large)
                await cell.writer.wait_until_stored([write])
                self.assertFalse(run.is_stopping)
                self.assertIn(run.name, worker.runs)

        builders.run_virtual(_check)

    def test_loans_that_the_store_refuses_are_taken_back(self):
        """Guards against tasks that no cell runs after a refusal."""

        async def _check():
            async with self._open_cell() as (cell, store):
                job = builders.make_job("job", task_count=2, is_standing=True)
                cell.add_job(job)
                task = next(job.all_tasks())
                rows = lending.lend(job, task, "shop@b")
                store.refused_keys.update(at.key for at in rows)
                write = cell.writer.schedule_write(job, rows)
                await cell.writer.wait_until_stored([write])
                self.assertEqual(_job_keys(store), {"job"})
                self.assertIs(task.phase, tasks.Phase.WAITING)
                self.assertTrue(job.is_refused)

        builders.run_virtual(_check)

    def test_a_job_that_is_refused_however_small_waits(self):
        """Guards against an accepted job that ends as its rows are refused.

        The others go on, and it does as well once the store accepts it.
        """

        async def _check():
            async with self._open_cell() as (cell, store):
                store.refused_keys.add("odd")
                odd, other = builders.make_job("odd"), builders.make_job("job")
                for job in (odd, other):
                    cell.add_job(job)
                    cell.writer.schedule_write(job)
                for _number in range(20):
                    await anyio.sleep(1)
                    write = cell.writer.schedule_write(other)
                    await cell.writer.wait_until_stored([write])
                self.assertEqual(_job_keys(store), {"job"})
                self.assertFalse(odd.is_ended())
                self.assertLess(store.rejected, 20)
                waiting = cell.writer.schedule_write(odd)
                await anyio.sleep(1)
                self.assertFalse(waiting.is_saved)
                self.assertIsNotNone(cell.writer.find_pending(odd))
                store.refused_keys.clear()
                await cell.writer.wait_until_stored([waiting])
                self.assertEqual(_job_keys(store), {"job", "odd"})
                self.assertIsNone(cell.writer.find_pending(odd))

        builders.run_virtual(_check)

    def test_starts_of_other_jobs_do_not_wait_for_it(self):
        """Guards against one job that holds up a placement pass."""

        async def _check():
            async with self._open_cell() as (cell, store):
                store.refused_keys.add("odd")
                worker = builders.make_run_worker("w", cores=64)
                cell.fleet["w"] = worker
                found = {}
                for name in ("odd", "job"):
                    job = builders.make_job(name)
                    cell.add_job(job)
                    found[name] = builders.put_run(worker, job)
                    cell.run_in_background(
                        cell._start_assigned,
                        [(worker, found[name])],
                        cell.writer.schedule_write(job),
                    )
                with anyio.fail_after(1):
                    started = await worker.commands_out.receive()
                self.assertIs(started, found["job"])

        builders.run_virtual(_check)

    def test_too_many_rows_of_one_job(self):
        async def _check():
            async with self._open_cell() as (cell, store):
                job = builders.make_job("many")
                cell.add_job(job)
                rows = {
                    stores.RowKey(table="t", part="a", key=f"{n}"): b"1"
                    for n in range(store_standins.MAX_TRANSACTION_ENTRIES)
                }
                write = cell.writer.schedule_write(job, rows)
                await cell.writer.wait_until_stored([write])
                self.assertEqual(_job_keys(store), {"many"})

        builders.run_virtual(_check)

    def test_a_store_that_accepts_nothing_fails_no_job(self):
        """Guards against jobs that fail although they are not the reason.

        The cell is left to other hosts; the stored jobs stay as they were.
        """

        async def _check():
            rejection = stores.ChangeRejectedError("a fault of this host")
            with self.assertRaises(ExceptionGroup) as caught:
                async with self._open_cell() as (cell, store):
                    job = builders.make_job("job")
                    cell.add_job(job)
                    with mock.patch.object(
                        store_standins.MemoryStore,
                        "apply",
                        side_effect=rejection,
                    ):
                        cell.writer.schedule_write(job)
                        await anyio.sleep(10)
            self.assertEqual(caught.exception.exceptions, (rejection,))
            self.assertEqual(_job_keys(store), set())

        builders.run_virtual(_check)

    def test_a_submission_is_answered_at_once(self):
        """Guards against retries that can't succeed; callers get a 400."""

        async def _check(world):
            await anyio.sleep(2)
            name = "n" * 200
            steps = [
                specs.StepSpec(task_count=1, near_rack=name, image=name)
                for _number in range(100)
            ]
            began_at_s = anyio.current_time()
            with self.assertRaises(errors.UsageError):
                await world.submit(JOB, steps)
            self.assertLess(anyio.current_time() - began_at_s, 0.1)
            with self.assertRaises(errors.NotFoundError):
                await world.intake().state(JOB)

        builders.run_job_world(_check)


def _job_keys(store):
    """Return the keys of the rows with the progress of jobs."""
    return {at.key for at in store.rows if at.table == tables.JOBS}
