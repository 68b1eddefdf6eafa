"""Tests of starts on workers that drain, whatever delays the news of it.

Each test delays, loses or reverses the news in one way. No task may be started
on a worker later than DRAIN_BOUND_S after its entry says that it drains.
"""

import unittest

import anyio

from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders

JOB = "0123456789abcdef"
DRAIN_BOUND_S = 2.0
ONE_HOST = {"zones": ["a"], "hosts_per_zone": 1, "workers_per_zone": 2}


def _step(**fields):
    values = {"task_count": 8, "cpu_millicores": 4000, "memory_mb": 100}
    return specs.StepSpec(**(values | fields))


class DrainCase(unittest.TestCase):
    """Starts on a worker that drains from a known time."""

    def check_starts(self, worker, drained_at_s):
        late = [
            (name, number, round(at_s - drained_at_s, 2))
            for name, number, at_s in worker.starts
            if at_s > drained_at_s + DRAIN_BOUND_S
        ]
        self.assertEqual(late, [])

    def check_all_run(self, world, name, count):
        """Fail unless all tasks of a job run on a worker."""
        self.assertEqual(len(world.workers[name].runs), count)


class DelayedStartTests(DrainCase):
    """A start waits between its assignment and its worker."""

    def test_start_queued_behind_a_hung_worker(self):
        """Guards against queued starts that are sent after the news.

        A worker hangs, so both of its senders wait for answers. When it
        answers again, it has drained for seconds.
        """

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.cut_from.add("host-a-0")
            await world.submit(JOB, [_step()])
            await anyio.sleep(0.5)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(3.5)
            worker.cut_from.clear()
            await anyio.sleep(8)
            self.check_starts(worker, drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **ONE_HOST)

    def test_start_whose_commit_is_slow(self):
        """Guards against starts that wait for the commit of their job."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            await world.submit(JOB, [_step(task_count=4)])
            world.store.lost_table = "jobs"
            world.store.lost_answers = 1
            world.store.lost_answer_delay_s = 4.0
            await anyio.sleep(0.5)
            self.assertEqual(world.store.lost_answers, 0)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(8)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **ONE_HOST)

    def test_start_that_is_sent_again(self):
        """Guards against later attempts of a start without an answer."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.lost_answers = 2
            worker.lost_answer_delay_s = 60.0
            await world.submit(JOB, [_step(task_count=1)])
            await anyio.sleep(0.4)
            self.assertLess(worker.lost_answers, 2)
            world.drain_worker("w-a-0")
            await anyio.sleep(8)
            self.assertEqual(worker.starts, [])
            self.check_all_run(world, "w-a-1", 1)

        builders.run_job_world(_check, **ONE_HOST)

    def test_gang_of_a_withheld_start(self):
        """Guards against members of a gang that wait alone for a start."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.cut_from.add("host-a-0")
            await world.submit(JOB, [_step(cpu_millicores=2000, is_gang=True)])
            await anyio.sleep(0.5)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(0.7)
            started = {name for name, *_rest in world.workers["w-a-1"].starts}
            worker.cut_from.clear()
            await anyio.sleep(8)
            self.check_starts(worker, drained_at_s)
            self.check_all_run(world, "w-a-1", 8)
            ends = world.ends()
            for name in started:
                if len(world.starts()[name]) > 1:
                    outcomes = {outcome for _n, outcome, _s in ends[name]}
                    self.assertEqual(outcomes, {tasks.Outcome.STOPPED})

        builders.run_job_world(_check, **ONE_HOST)
