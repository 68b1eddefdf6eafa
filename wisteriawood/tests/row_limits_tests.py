"""Tests of the sizes of rows and transactions of jobs at the limits."""

import json
import unittest

import anyio

from wisteriawood.cells import checkpoints
from wisteriawood.cells import job_writers
from wisteriawood.cells import lending
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores
from wisteriawood.machines import intakes
from wisteriawood.platform import directory
from wisteriawood.platform import odd_entries
from wisteriawood.platform import worker_client
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders
from wisteriawood.tests import row_limits_builders as limits_builders

JOB = limits_builders.JOB
MAX_LOANS = 40


class LargeJobTests(unittest.TestCase):
    """Jobs whose checkpoints do not fit into a row."""

    def _run(self, check, **fields):
        async def _main(world):
            await limits_builders.run_large_job(world, **fields)
            await check(world)

        builders.run_job_world(
            _main, zones=("a",), hosts_per_zone=2, workers_per_zone=3
        )

    async def _complete(self, world):
        await world.wait_for(JOB, jobs.JobState.COMPLETED)
        done = [
            outcome
            for ends in world.ends().values()
            for _run, outcome, _at_s in ends
            if outcome == tasks.Outcome.DONE
        ]
        self.assertEqual(len(done), 1000)

    def test_it_is_completed_without_a_disruption(self):
        """Regression: LOST, a job was shown as failed without a failed run.

        The checkpoints of its tasks, also of those that were done, had
        outgrown its row.
        """
        for length in (48, 64, 100, 5000):
            with self.subTest(length=length):
                self._run(self._complete, checkpoint_length=length)

    def test_it_is_completed_after_a_worker_was_lost(self):
        """Regression: LOST, review case 11."""

        async def _check(world):
            await anyio.sleep(1.0)
            world.lose_worker("w-a-0")
            await self._complete(world)

        for length in (48, 100):
            with self.subTest(length=length):
                self._run(_check, checkpoint_length=length)

    def test_it_is_completed_after_worker_and_holder_were_lost(self):
        """Guards against rows that a new holder can't read or write."""

        async def _check(world):
            await anyio.sleep(1.0)
            world.lose_worker("w-a-0")
            await anyio.sleep(1.0)
            world.kill_host(world.holder_of("shop@a"))
            await self._complete(world)

        self._run(_check, checkpoint_length=100)


class CheckpointTests(unittest.TestCase):
    """Which checkpoints are kept."""

    def _make_job(self, **fields):
        job = builders.make_job(task_count=4, **fields)
        for number, task in enumerate(job.all_tasks()):
            task.run, task.checkpoint = 1, f"{number:0100}"
        return job

    def test_a_done_task_has_none(self):
        job = self._make_job()
        task = next(job.all_tasks())
        task.release(tasks.Phase.DONE)
        self.assertEqual(task.checkpoint, "")

    def test_those_of_running_tasks_are_left_out_first(self):
        job = self._make_job()
        *waiting, running = job.all_tasks()
        running.assign(worker_id="w", run=2)
        left_out = checkpoints.choose_left_out(job, surplus_bytes=1)
        self.assertEqual(left_out, {running.checkpoint})
        left_out = checkpoints.choose_left_out(job, surplus_bytes=150)
        self.assertEqual(len(left_out), 2)
        self.assertIn(running.checkpoint, left_out)

    def test_a_gang_keeps_or_loses_its_own_together(self):
        """Guards against members that resume from different checkpoints."""
        job = self._make_job(is_gang=True)
        for task in job.all_tasks():
            task.checkpoint = "c" * 100
        data = codec.job_to_bytes(job)
        self.assertLess(len(data), 200)
        left_out = checkpoints.choose_left_out(job, surplus_bytes=1)
        loaded = codec.job_from_bytes(
            job.spec, "a", codec.job_to_bytes(job, left_out=left_out)
        )
        found = {task.checkpoint for task in loaded.all_tasks()}
        self.assertEqual(found, {""})

    def test_one_that_is_too_long_is_not_kept(self):
        """Guards against texts of workers that no row has room for."""

        async def _check():
            longest = "c" * (checkpoints.MAX_CHECKPOINT_BYTES - 3)
            cell = builders.make_cell()
            for given, expected in (
                (longest, longest),
                (longest + "c", "before"),
                ("\x00" * (len(longest) // 6), "\x00" * (len(longest) // 6)),
                ("\x00" * len(longest), "before"),
                ("", "before"),
            ):
                kept = cell.take_checkpoint("t", given, "before")
                self.assertEqual(kept, expected)

        builders.run_virtual(_check)


class FormerRowTests(unittest.TestCase):
    """Rows of the format before, which may still be in the store."""

    def test_they_are_read(self):
        """Guards against jobs that are lost when hosts are replaced."""
        job = builders.make_job(task_count=3)
        data = json.dumps(
            [1, "shop@a", "running", 0, 1, 0]
            + [{"0": [[0, [1, 2, "w", 1, "c"], [2, 1, "", 0, "d"]]]}]
        ).encode()
        loaded = codec.job_from_bytes(job.spec, "a", data)
        waiting, assigned, done = loaded.all_tasks()
        self.assertIs(waiting.phase, tasks.Phase.WAITING)
        self.assertEqual(
            (assigned.run, assigned.worker_id, assigned.failures),
            (2, "w", 1),
        )
        self.assertEqual(assigned.checkpoint, "c")
        self.assertIs(done.phase, tasks.Phase.DONE)
        self.assertEqual(
            codec.summary_from_bytes(data), ("shop@a", jobs.JobState.RUNNING)
        )

    def test_unknown_texts_are_an_error(self):
        job = builders.make_job(task_count=1)
        data = b'[2,"shop@a","running",0,1,0,{"0":[[[1,1,7,0,0]]]},[""]]'
        with self.assertRaises(errors.MessageError):
            codec.job_from_bytes(job.spec, "a", data)


class LargestTests(unittest.TestCase):
    """Sizes that follow from what was accepted, whatever happens later."""

    def _make_change(self, job):
        writer = job_writers.JobWriter(
            store=store_standins.MemoryStore().link("me"),
            claim_key=tables.claim_row(limits_builders.CELL),
            claim_version=1,
            on_cancel=self.fail,
            on_refusal=self.fail,
        )
        return writer._change_of("z", job, {})

    def test_row_of_a_job(self):
        """Guards against jobs whose progress can't be stored."""
        job = limits_builders.make_largest_job()
        data = codec.job_to_bytes(job)
        self.assertLess(len(data), stores.MAX_ROW_BYTES)
        for length in (16, 48, 4000):
            with self.subTest(length=length):
                large = limits_builders.make_largest_job(
                    checkpoint_length=length
                )
                change = self._make_change(large)
                self.assertTrue(limits_builders.is_within_limits(change))
                self.assertGreater(large.checkpoints_left_out, 0)

    def test_specification_of_a_lent_task(self):
        """Guards against loans that the store refuses."""
        checkpoint = "c" * (checkpoints.MAX_CHECKPOINT_BYTES - 3)
        spec = self._make_largest_spec()
        job = jobs.Job(spec=spec, cell=limits_builders.CELL, bucket="z")
        job.open_due_occurrences(0)
        for task in job.all_tasks():
            task.run, task.checkpoint = limits_builders.LAST_RUN, checkpoint
        rows = lending.lend(job, next(job.all_tasks()), limits_builders.CELL)
        sizes_bytes = [len(value) for value in rows.values()]
        self.assertLess(max(sizes_bytes), stores.MAX_ROW_BYTES)

    def _make_largest_spec(self):
        """Return a specification as large as a submission may have."""
        size = intakes.MAX_SPEC_BYTES
        spec = specs.JobSpec(
            id=JOB,
            queue=queues.Queue(name="q"),
            payload="p",
            steps=[specs.StepSpec(task_count=1000, is_standing=True)],
        )
        surplus = size - len(codec.spec_to_bytes(spec, limits_builders.CELL))
        spec.payload += "p" * surplus
        found = len(codec.spec_to_bytes(spec, limits_builders.CELL))
        self.assertEqual(found, size)
        return spec

    def test_transaction_with_lent_tasks(self):
        """Guards against transactions that outgrow the limit by loans."""

        async def _check():
            spec = self._make_largest_spec()
            job = jobs.Job(spec=spec, cell=limits_builders.CELL, bucket="z")
            job.open_due_occurrences(0)
            cell = builders.make_cell()
            lent = 0
            for task in job.all_tasks():
                if lent >= MAX_LOANS or not cell.writer.has_room_for_loan(job):
                    break
                rows = lending.lend(job, task, limits_builders.CELL)
                cell.writer.schedule_write(job, rows)
                lent += 1
            self.assertGreater(lent, 0)
            batch = cell.writer._batches[job.bucket]
            change, _included = cell.writer._build_change(
                job.bucket, [job], batch.extra_rows
            )
            self.assertTrue(limits_builders.is_within_limits(change))

        builders.run_virtual(_check)

    def test_small_loans_fit_into_one_transaction(self):
        """Guards against limits that ordinary loans meet."""

        async def _check():
            job = builders.make_job(task_count=MAX_LOANS, is_standing=True)
            cell = builders.make_cell()
            for task in job.all_tasks():
                self.assertTrue(cell.writer.has_room_for_loan(job))
                cell.writer.schedule_write(job, lending.lend(job, task, "s@b"))

        builders.run_virtual(_check)

    def test_a_large_submission_is_refused(self):
        """Guards against jobs that are accepted and outgrow a row later."""

        async def _check(world):
            await anyio.sleep(2)
            for size, is_accepted in ((55_000, True), (57_400, False)):
                job_id = f"{size:016x}"
                spec = specs.JobSpec(
                    id=job_id,
                    queue=world.queue,
                    payload="p" * size,
                    steps=[specs.StepSpec(task_count=1)],
                )
                if is_accepted:
                    await world.intake().submit(spec, 3.0)
                    continue
                with self.assertRaisesRegex(errors.UsageError, "too large"):
                    await world.intake().submit(spec, 3.0)
                with self.assertRaises(errors.NotFoundError):
                    await world.intake().state(job_id)

        builders.run_job_world(_check)


class WorkerIdTests(unittest.TestCase):
    """Ids of workers that are longer than rows have room for."""

    def _decode(self, worker_id):
        data = json.dumps(odd_entries.ENTRY).encode()
        return directory.decode_worker(worker_id, data)

    def test_a_long_id_is_shortened_inside_only(self):
        """Guards against calls that name a worker by another id."""
        long_id = "w" * bounds.MAX_NAME_LENGTH
        found = self._decode(long_id)
        self.assertLessEqual(
            len(found.worker_id), directory.MAX_WORKER_ID_LENGTH
        )
        self.assertNotEqual(
            found.worker_id, self._decode(long_id[:-1]).worker_id
        )
        client = worker_client.WorkerClient(registration=found)
        self.assertIn(("x-expect-instance", long_id), client._headers)

    def test_other_ids_stay_as_they_are(self):
        found = self._decode("i-7f3a91c2")
        self.assertEqual((found.worker_id, found.full_id), ("i-7f3a91c2", ""))
