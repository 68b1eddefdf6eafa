"""Tests of the admission of jobs under overload."""

import unittest

import anyio

from wisteriawood.cells import loads
from wisteriawood.cells import placers
from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base
from wisteriawood.policies.admission import in_time
from wisteriawood.tests import builders

JOB = "0123456789abcdef"


def _spec(**fields):
    step = specs.StepSpec(
        **(
            {"task_count": 4, "cpu_millicores": 4000, "expected_run_ms": 2000}
            | fields
        )
    )
    queue = queues.Queue(name="q", service="shop", stretch=2.0, target_ms=1000)
    return specs.JobSpec(id=JOB, queue=queue, steps=[step])


class PolicyTests(unittest.TestCase):
    """Decisions of the in-time policy for fillers and standing jobs."""

    def test_fillers_that_would_be_late_are_refused(self):
        policy = in_time.InTime()
        view = base.CellView(
            capacity_millicores=64000,
            backlog_millicore_s=60000,
            rate_millicores=20000,
        )
        spec = _spec(is_filler=True)
        self.assertIsNone(policy.check(spec, view))
        view.backlog_millicore_s = 420000
        refusal = policy.check(spec, view)
        self.assertGreater(refusal.retry_after_s, 4)
        self.assertLess(refusal.retry_after_s, 8)

    def test_standing_jobs_leave_capacity_for_jobs_that_end(self):
        policy = in_time.InTime()
        spec = _spec(is_standing=True)
        view = base.CellView(capacity_millicores=64000)
        view.free_millicores = 26000
        self.assertIsNone(policy.check(spec, view))
        view.free_millicores = 25000
        self.assertIsNotNone(policy.check(spec, view))
        self.assertIsNone(policy.check(_spec(), view))


class BacklogTests(unittest.TestCase):
    def test_expired_jobs_do_not_count_towards_the_backlog(self):
        """Expired jobs counted towards the backlog of their cell.

        New jobs were then refused although workers were idle (incident
        inc-afd0).
        """

        async def _main():
            cell = builders.make_cell()
            old = builders.make_job(
                "old", is_filler=True, task_count=10, expected_run_ms=1000
            )
            new = builders.make_job(
                "new", is_filler=True, task_count=1, expected_run_ms=1000
            )
            for job in (old, new):
                job.spec.accepted_unix_ms = int(cell.now_unix_ms())
                cell.add_job(job)
            before = loads.report(cell).backlog_millicore_s
            old.accepted_at_s -= (
                2 * placers.NO_VALUE_FACTOR * old.objective_s + 1
            )
            after = loads.report(cell).backlog_millicore_s
            self.assertEqual((before, after), (44000, 4000))

        builders.run_virtual(_main)


class RefusalTests(unittest.TestCase):
    """A refused job does not run, and a stored job is not refused."""

    def _refusing_intake(self, world):
        class _RefuseAll:
            def check(self, spec, view):
                return base.Refusal(reason="full", retry_after_s=1.0)

        intake = world.intake()
        intake._policy = _RefuseAll()
        return intake

    def test_refused_job_is_not_stored_by_an_earlier_submission(self):
        async def _check(world):
            await anyio.sleep(2)
            world.store.lost_answers = 1
            world.store.lost_table = tables.JOBS
            world.store.lost_answer_delay_s = 3.0
            async with anyio.create_task_group() as group:
                group.start_soon(self._submit_unanswered, world)
                await anyio.sleep(0.5)
                with self.assertRaises(builders.NotRunError):
                    await self._refusing_intake(world).submit(_spec(), 3.0)
            await anyio.sleep(5)
            self.assertEqual(world.starts(), {})

        builders.run_job_world(_check)

    async def _submit_unanswered(self, world):
        with self.assertRaises(builders.UnknownError):
            with anyio.fail_after(0.4):
                await world.intake().submit(_spec(), 0.4)

    def test_stored_job_is_not_refused_when_submitted_again(self):
        async def _check(world):
            await anyio.sleep(2)
            await world.intake().submit(_spec(), 3.0)
            await self._refusing_intake(world).submit(_spec(), 3.0)
            await world.wait_for(JOB, jobs.JobState.COMPLETED)

        builders.run_job_world(_check)

    def test_refused_job_is_accepted_when_submitted_later(self):
        async def _check(world):
            await anyio.sleep(2)
            with self.assertRaises(builders.NotRunError):
                await self._refusing_intake(world).submit(_spec(), 3.0)
            with self.assertRaises(builders.NotFoundError):
                await world.intake().state(JOB)
            await world.intake().submit(_spec(), 3.0)
            await world.wait_for(JOB, jobs.JobState.COMPLETED)

        builders.run_job_world(_check)
