"""Tests of what a holder acknowledges to its workers."""

import unittest

import anyio

from wisteriawood.cells import probations
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders

# Duration of a lease with the drift of clocks, the detection and one retry.
SILENCE_BOUND_S = 8.0
FIRST_JOB = "0123456789abcdef"
SECOND_JOB = "fedcba9876543210"
ONE_WORKER = {"zones": ["a"], "hosts_per_zone": 1, "workers_per_zone": 1}


class LostWorkerTests(unittest.TestCase):
    """A worker is lost while batch tasks wait for room."""

    def _run(self, check):
        async def _main():
            await anyio.sleep(100)
            worker = builders.make_run_worker("w", now_s=anyio.current_time())
            worker.lease.record_clock(5000, anyio.current_time())
            worker.lease.grant(anyio.current_time())
            lapsed_at_s = worker.lease.lapsed_at_s
            await anyio.sleep(2)
            check(worker, anyio.current_time())
            self.assertEqual(worker.lease.lapsed_at_s, lapsed_at_s)
            worker.close()

        builders.run_virtual(_main)

    def test_starts_do_not_extend_its_lease(self):
        """Guards against runs that count for 8.9 s after a loss (LOST).

        Each start to the lost worker granted a lease of 6 s until its last
        answer was 2.5 s old.
        """

        def _check(worker, now_s):
            until_ms = worker.lease.granted_until_ms
            self.assertEqual(worker.lease_for_start(now_s), until_ms)

        self._run(_check)

    def test_no_run_is_sent_after_a_renewal_has_failed(self):
        """Guards against tasks that are assigned to a lost worker."""

        def _check(worker, now_s):
            self.assertTrue(worker.is_usable(now_s))
            worker.is_answering = False
            self.assertFalse(worker.is_usable(now_s))
            worker.lease_for_start(now_s)

        self._run(_check)


class ProbationTests(unittest.TestCase):
    """Many runs fail on a worker at the same moment."""

    def _fail(self, tracker, count, *, assigned_at_s, now_s):
        return [
            tracker.record_end(
                f"j{number}", True, assigned_at_s=assigned_at_s, now_s=now_s
            )
            for number in range(count)
        ]

    def test_they_cause_one_probation(self):
        """Guards against tasks that wait beside an avoided worker (LOST).

        mix --seed 492016598542 of kroupa-dilna: ten failures within 0.1 s led
        to a probation of 30 s, and tasks waited beside 39 free cores.
        """
        tracker = probations.ProbationTracker()
        found = self._fail(tracker, 12, assigned_at_s=0.0, now_s=1.0)
        self.assertEqual([s for s in found if s], [4.0])
        found = self._fail(tracker, 9, assigned_at_s=6.0, now_s=7.0)
        self.assertEqual([s for s in found if s], [8.0])


class RestartedWorkerTests(unittest.TestCase):
    """A worker restarts at once, and numbers its ends from one again."""

    def test_end_that_the_new_instance_has_not_reported(self):
        """Guards against the loss of an end, whose task then runs again.

        Soak, seed 49: the number acknowledged to the former instance
        acknowledged an end of the new one.
        """

        async def _check(world):
            worker = world.workers["w-a-0"]
            step = specs.StepSpec(
                task_count=4, cpu_millicores=1000, memory_mb=100
            )
            world.work_s |= {FIRST_JOB: 0.05, SECOND_JOB: 0.01}
            await anyio.sleep(2)
            await world.submit(FIRST_JOB, [step])
            await anyio.sleep(3)
            self.assertEqual(len(worker.ends), 4)
            async with anyio.create_task_group() as group:
                group.start_soon(world.submit, SECOND_JOB, [step])
                await anyio.sleep(0.02)
                worker.crash()
                worker.restart()
            await anyio.sleep(5)
            ends = world.ends()
            done = {
                name: sum(
                    outcome is tasks.Outcome.DONE
                    for _number, outcome, _at_s in ends[name]
                )
                for name in ends
            }
            self.assertEqual(set(done.values()), {1})
            self.assertEqual(len(done), 8)

        builders.run_job_world(_check, **ONE_WORKER)

    def test_lease_of_a_new_instance_whose_clock_starts_anew(self):
        """Guards against tasks that wait for a lease on a former clock.

        A worker that had run for long restarted and was lost soon after. Its
        tasks waited for as long as its former instance had run.
        """

        async def _check(world):
            first = world.workers["w-a-0"]
            await anyio.sleep(200)
            first.crash()
            first.restart()
            await anyio.sleep(3)
            world.work_s[FIRST_JOB] = 100.0
            step = specs.StepSpec(
                task_count=8, cpu_millicores=4000, memory_mb=100
            )
            await world.submit(FIRST_JOB, [step])
            await anyio.sleep(2)
            self.assertEqual(len(first.runs), 4)
            world.add_worker("w-a-2", "a")
            first.crash()
            await anyio.sleep(SILENCE_BOUND_S)
            self.assertEqual(len(world.workers["w-a-2"].runs), 4)

        builders.run_job_world(
            _check, **(ONE_WORKER | {"workers_per_zone": 2})
        )
