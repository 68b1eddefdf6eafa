"""Tests of tasks that run in another cell than the rest of their job."""

import dataclasses
import time
from unittest import mock

import anyio

from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.standins import job_worlds
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests

JOB = "0123456789abcdef"
CELL = "shop@a"
# Fills a worker, so that a zone of three workers runs three of its tasks.
STANDING = {"task_count": 5, "cpu_millicores": 9000, "is_standing": True}
FOREVER_S = 100_000.0
# Time in which the tasks of a cancelled job are stopped.
STOP_BOUND_S = 1.0
# Tasks of a job, and how many of them don't fit in its own zone.
MANY = 126
MANY_LENT = 110
# Time in which so many tasks are lent and started.
LEND_BOUND_S = 8.0
RETENTION_S = 15.0
# Duration of a cut that outlasts the retention of ended jobs.
LONG_CUT_S = RETENTION_S + 20.0


def _step(**fields):
    return specs.StepSpec(
        **({"task_count": 1, "cpu_millicores": 2000} | fields)
    )


class CancelledJobTests(cells_tests.SingleRunCase):
    """A job of zone a is cancelled while some of its tasks run in zone b."""

    def _run(self, check):
        async def _main(world):
            await anyio.sleep(2)
            world.work_s[JOB] = FOREVER_S
            await world.submit_to(CELL, JOB, [_step(**STANDING)])
            await anyio.sleep(8)
            self.assertEqual(len(world.running("a")), 3)
            self.assertEqual(len(world.running("b")), 2)
            await check(world)
            self.check_single_runs(world)

        builders.run_job_world(_main)

    async def _check_cancel(self, world):
        """Cancel the job in zone b; its tasks there have to stop and stay so.

        They fail before, so that the holder there starts them again.
        """
        host = world.holder_of("shop@b")
        await world.intake(host).cancel(JOB, 3.0)
        await anyio.sleep(STOP_BOUND_S)
        self.assertEqual(world.running("b"), {})
        await anyio.sleep(20)
        self.assertEqual(world.running("b"), {})

    def test_their_zone_is_cut_off(self):
        """Regression: UNASKED, lent tasks ran on until the cut had ended."""

        async def _check(world):
            world.cut_zone("a")
            await self._check_cancel(world)
            world.heal()
            await anyio.sleep(10)
            self.assertEqual(world.running(), {})

        self._run(_check)

    def test_all_hosts_of_their_zone_are_killed(self):
        async def _check(world):
            for name in [n for n, h in world.hosts.items() if h.zone == "a"]:
                world.kill_host(name)
            await self._check_cancel(world)
            self.assertEqual(world.running(), {})

        self._run(_check)

    def test_their_cell_is_between_two_holders(self):
        async def _check(world):
            world.kill_host(world.holder_of(CELL))
            await self._check_cancel(world)
            self.assertEqual(world.running(), {})

        self._run(_check)

    def test_the_holder_is_cut_off_from_the_store(self):
        async def _check(world):
            world.store.cut_hosts.add(world.holder_of(CELL))
            await self._check_cancel(world)

        self._run(_check)

    def test_the_holder_of_the_lent_tasks_is_killed(self):
        async def _check(world):
            world.kill_host(world.holder_of("shop@b"))
            host = next(n for n, h in world.hosts.items() if h.zone == "b")
            await world.intake(host).cancel(JOB, 3.0)
            await anyio.sleep(6)
            self.assertEqual(world.running(), {})

        self._run(_check)

    def test_the_zone_of_the_lent_tasks_is_cut_off_for_long(self):
        """Guards against lent tasks that start when a cut has ended.

        The cancellation is retained as long as their rows.
        """

        async def _check(world):
            world.cut_zone("b")
            await world.intake(world.holder_of(CELL)).cancel(JOB, 3.0)
            await anyio.sleep(LONG_CUT_S)
            world.store.compact_history()
            world.heal()
            started = {name: len(s) for name, s in world.starts().items()}
            await anyio.sleep(10)
            self.assertEqual(world.running(), {})
            self.assertEqual(
                {name: len(s) for name, s in world.starts().items()}, started
            )
            await anyio.sleep(2 * LONG_CUT_S)
            self.assertEqual(_job_rows(world), [])

        limits = dataclasses.replace(
            job_worlds.LIMITS, retention_s=RETENTION_S
        )
        with (
            mock.patch.object(job_worlds, "LIMITS", limits),
            mock.patch.object(time, "time", anyio.current_time),
        ):
            self._run(_check)


class FailedJobTests(cells_tests.SingleRunCase):
    def test_lent_tasks_of_a_failed_job_stop(self):
        async def _check(world):
            await anyio.sleep(2)
            world.work_s = {JOB: FOREVER_S, f"{JOB}.0.1.0": 12.0}
            world.failing_workers = set(world.workers)
            steps = [_step(**STANDING), _step(cpu_millicores=100)]
            await world.submit_to(CELL, JOB, steps)
            await anyio.sleep(8)
            self.assertEqual(len(world.running("b")), 2)
            await world.wait_for(JOB, jobs.JobState.FAILED)
            await anyio.sleep(STOP_BOUND_S)
            self.assertEqual(world.running(), {})

        builders.run_job_world(_check)


class ManyLentTasksTests(cells_tests.SingleRunCase):
    """Most tasks of a job are lent, more than a transaction has entries."""

    def _run(self, check, *, outage_s=0.0, extra_steps=()):
        async def _main(world):
            world.add_worker("home", "a")
            world.add_worker("away", "b", cpu_millicores=500_000)
            await anyio.sleep(2)
            world.work_s[JOB] = FOREVER_S
            many = _step(task_count=MANY, cpu_millicores=1000)
            many.is_standing = True
            await world.submit_to(CELL, JOB, [many, *extra_steps])
            await anyio.sleep(1.2)
            if outage_s:
                world.store.is_down = True
                await anyio.sleep(outage_s)
                world.store.is_down = False
            await anyio.sleep(LEND_BOUND_S)
            self.assertEqual(len(world.running("a")), MANY - MANY_LENT)
            self.assertEqual(len(world.running("b")), MANY_LENT)
            await check(world)
            self.assertEqual(world.running(), {})
            self.assertEqual(world.store.rejected, 0)
            self.check_single_runs(world)

        builders.run_job_world(_main, workers_per_zone=0)

    async def _cancel(self, world):
        await world.intake().cancel(JOB, 3.0)
        await anyio.sleep(STOP_BOUND_S)

    def test_the_job_is_cancelled(self):
        """Regression: UNASKED, its transaction had over 100 entries."""
        self._run(self._cancel)

    def test_the_store_was_down_while_they_were_lent(self):
        """Guards against rows of loans that add up while none is stored."""
        self._run(self._cancel, outage_s=4.0)

    def test_the_job_fails(self):
        async def _check(world):
            await world.wait_for(JOB, jobs.JobState.FAILED)
            await anyio.sleep(STOP_BOUND_S)

        failing = _step(cpu_millicores=1, required_label="fails")

        async def _fail(world):
            world.failing_workers.add("fails")
            world.work_s[f"{JOB}.0.1.0"] = 0.1
            world.add_worker("fails", "a", cpu_millicores=1, labels=["fails"])
            await _check(world)

        self._run(_fail, extra_steps=[failing])


def _job_rows(world):
    """Return the rows of jobs, specifications and cancellations."""
    of_hosts = {tables.HOSTS, tables.CLAIMS, tables.WEIGHTS}
    return [at for at in world.store.rows if at.table not in of_hosts]
