"""Tests of when the end of a run may be acknowledged to its worker."""

import unittest

import anyio

from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests

JOB = "0123456789abcdef"
OTHER_JOB = "00000000000000aa"
CELL = "shop@a"
STEP = specs.StepSpec(task_count=2, cpu_millicores=2000)


class UnreadJobTests(cells_tests.SingleRunCase):
    """A holder's first reads lack a job whose tasks run or have ended."""

    def _run(self, check, work_s, **fields):
        async def _main(world):
            await anyio.sleep(3)
            world.work_s[JOB] = work_s
            await world.submit_to(CELL, JOB, [STEP])
            await anyio.sleep(1)
            self.assertEqual(len(world.running()), 2)
            world.store.hidden_keys.add(JOB)
            world.store.hidden_tables.add(tables.JOBS)
            world.kill_host(world.holder_of(CELL))
            while not world.holder_of(CELL):
                await anyio.sleep(0.1)
            await check(world)
            self.check_single_runs(world)
            for starts in world.starts().values():
                self.assertEqual(len(starts), 1)

        builders.run_job_world(
            _main, zones=["a"], hosts_per_zone=3, workers_per_zone=2, **fields
        )

    def test_its_ends_are_not_lost_with_each_of_two_holders(self):
        """Guards against ends that are acknowledged but not stored (TWICE).

        The reads stay stale for longer than any load was waited for.
        """

        async def _check(world):
            await anyio.sleep(lost_after_s)
            world.kill_host(world.holder_of(CELL))
            await anyio.sleep(lost_after_s)
            world.store.hidden_keys.clear()
            world.store.hidden_tables.clear()
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=30)

        for work_s in (2.0, 3.0, 4.0, 6.0):
            for lost_after_s in (0.0, 0.02, 0.1, 0.5, 1.5, 6.0):
                with self.subTest(work_s=work_s, lost_after_s=lost_after_s):
                    self._run(_check, work_s)

    def test_its_ends_are_kept_while_the_store_is_down(self):
        """Guards against ends that are acknowledged unseen (TWICE)."""

        async def _check(world):
            world.store.is_down = True
            await anyio.sleep(8)
            self.assertTrue(
                any(
                    w.has_unacknowledged_ends() for w in world.workers.values()
                )
            )
            world.store.is_down = False
            world.store.hidden_keys.clear()
            world.store.hidden_tables.clear()
            await anyio.sleep(2)
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=9)

        self._run(_check, 2.4)

    def test_its_runs_go_on(self):
        """Guards against runs that are stopped as unknown."""

        async def _check(world):
            await anyio.sleep(4)
            self.assertEqual(len(world.running()), 2)
            # The hidden job was loaded by what the workers report.
            self.assertIn(JOB, builders.held_jobs(world)[CELL])

        self._run(_check, 60.0)


class ForeignEndTests(unittest.TestCase):
    """A worker reports the end of a run that no job in the store has."""

    def _run(self, check):
        async def _main(world):
            await anyio.sleep(3)
            await check(world, world.workers["w-a-0"])

        builders.run_job_world(
            _main, zones=["a"], hosts_per_zone=1, workers_per_zone=1
        )

    def _end_foreign_run(self, world, worker, name):
        worker.begin_run(
            runners.StartRunCommand(
                task_name=name,
                run=1,
                payload="",
                lease_until_ms=worker.clock_ms() + 6000,
                token=worker.token,
            )
        )
        worker.stop_run(name, 1)

    def test_it_is_acknowledged_soon(self):
        """Guards against ends that stay listed for good."""

        async def _check(world, worker):
            for name in (f"{OTHER_JOB}.0.0.0", "odd", "a.b.c.d", "x.1.2"):
                self._end_foreign_run(world, worker, name)
            await anyio.sleep(1)
            self.assertFalse(worker.has_unacknowledged_ends())

        self._run(_check)

    def test_later_ends_are_processed_while_it_is_looked_up(self):
        """Guards against jobs that wait for the lookup of another one."""

        async def _check(world, worker):
            world.work_s[JOB] = 1.0
            await world.submit_to(CELL, JOB, [STEP])
            await anyio.sleep(0.2)
            bucket = tables.bucket_of(OTHER_JOB, world.zones)
            self.assertEqual(bucket, "a")
            holder = world.hosts[world.holder_of(CELL)]._holders[CELL]
            holder.cell.is_foreign = lambda _name, _since_s: is_looked_up
            is_looked_up = False
            self._end_foreign_run(world, worker, f"{OTHER_JOB}.0.0.0")
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=3)
            self.assertTrue(worker.has_unacknowledged_ends())
            is_looked_up = True
            await anyio.sleep(0.5)
            self.assertFalse(worker.has_unacknowledged_ends())

        self._run(_check)


class LateEndTests(unittest.TestCase):
    """The end of a run that no longer counts as on its worker."""

    def _run(self, check):
        async def _main():
            await anyio.sleep(10)
            worker = builders.make_run_worker("w", now_s=anyio.current_time())
            cell = builders.make_cell([worker])
            job = builders.make_job(JOB)
            cell.add_job(job)
            run = builders.put_run(worker, job)
            cell.end_run(worker, run, tasks.Outcome.LAPSED)
            check(cell, worker, job)
            worker.close()

        builders.run_virtual(_main)

    def _end(self, outcome):
        return runners.EndedRun(
            number=1, task_name=f"{JOB}.0.0.0", run=1, outcome=outcome
        )

    def test_a_done_task_that_waits_is_not_run_again(self):
        """Guards against a start after an acknowledged end (TWICE)."""

        def _check(cell, worker, job):
            end = self._end(tasks.Outcome.DONE)
            write = cell.record_late_end(worker, job, end)
            self.assertIsNotNone(write)
            self.assertIs(write, cell.writer.find_pending(job))
            self.assertIs(job.state, jobs.JobState.COMPLETED)

        self._run(_check)

    def test_a_failure_that_is_stored_does_not_count_again(self):
        """Guards against a job that fails with attempts left (LOST).

        A holder that stored the end was lost before it acknowledged it.
        """

        def _check(cell, worker, job):
            run = builders.put_run(worker, job)
            cell.end_run(worker, run, tasks.Outcome.FAILED)
            end = self._end(tasks.Outcome.FAILED)
            end.run = run.number
            cell.record_late_end(worker, job, end)
            self.assertEqual(job.occurrences[0][0][0].failures, 1)
            self.assertFalse(job.is_ended())

        self._run(_check)

    def test_an_end_of_an_older_run_changes_nothing(self):
        def _check(cell, worker, job):
            builders.put_run(worker, job)
            cell.record_late_end(worker, job, self._end(tasks.Outcome.DONE))
            self.assertFalse(job.is_ended())

        self._run(_check)

    def test_it_waits_for_a_write_that_is_pending(self):
        """Guards against an end that is acknowledged before it is stored."""

        def _check(cell, worker, job):
            end = self._end(tasks.Outcome.LAPSED)
            write = cell.record_late_end(worker, job, end)
            self.assertIs(write, cell.writer.find_pending(job))
            self.assertIsNotNone(write)

        self._run(_check)
