"""Tests of the room that is made for standing tasks."""

import unittest

import anyio

from wisteriawood.cells import room_makers
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders

START_S = 100.0


class RoomMakerTests(unittest.TestCase):
    """A standing task that has run waits on a worker full of batch tasks."""

    def _run(self, batch, *, waits_s, standing=None, has_run=True):
        """Return the names of the batch runs that are stopped.

        Args:
            batch: Fields of the step of the batch job.
            waits_s: For how long the standing task waits.
            standing: Further fields of the step of the standing job.
            has_run: Whether the standing task has run before.
        """
        stopped = []

        async def _main():
            await anyio.sleep(START_S)
            now_s = anyio.current_time()
            worker = builders.make_run_worker("w", now_s=now_s)
            cell = builders.make_cell([worker])
            batch_job = builders.make_job("b", **batch)
            fields = {"cpu_millicores": 4000, "memory_mb": 100}
            job = builders.make_job(
                "s", is_standing=True, **(fields | (standing or {}))
            )
            for task in job.all_tasks():
                task.run = int(has_run)
            for new in (batch_job, job):
                cell.jobs[new.id] = new
            place = cell.placer.place
            place(builders.make_waiting(batch_job), [worker], now_s)
            for run in worker.runs.values():
                run.was_sent = True
            maker = room_makers.RoomMaker(cell=cell)
            place(builders.make_waiting(job, batch_job), [worker], now_s)
            maker.tick(now_s)
            maker.tick(now_s + waits_s)
            stopped.extend(
                r.name for r in worker.runs.values() if r.is_stopping
            )
            self.assertTrue(
                all(t.phase is tasks.Phase.WAITING for t in job.all_tasks())
            )
            worker.close()

        builders.run_virtual(_main)
        return stopped

    def test_batch_tasks_that_do_not_end_are_stopped(self):
        """Guards against standing tasks behind tasks that stand still (LOST).

        Only as many as needed are stopped, first those with checkpoints.
        """
        batch = {"task_count": 8, "cpu_millicores": 2000}
        self.assertEqual(self._run(batch, waits_s=0.4), [])
        self.assertEqual(len(self._run(batch, waits_s=1.0)), 2)

    def test_fillers_that_hold_the_memory_are_stopped(self):
        """Guards against standing tasks that wait for memory (LOST)."""
        fillers = {
            "task_count": 6,
            "cpu_millicores": 2000,
            "memory_mb": 10_000,
            "is_filler": True,
            "is_checkpointing": True,
        }
        found = self._run(fillers, waits_s=1.0, standing={"memory_mb": 20_000})
        self.assertEqual(len(found), 2)

    def test_room_is_free_once_the_lease_ends(self):
        """Guards against tasks that wait for a stop after their lease (LOST).

        In a soak one waited for 2.3 s.
        """

        async def _main():
            await anyio.sleep(START_S)
            now_s = anyio.current_time()
            worker = builders.make_run_worker("w", now_s=now_s)
            lost = builders.make_run_worker("lost", now_s=now_s)
            lost.lease.record_clock(1000, now_s)
            lost.lease.grant(now_s)
            lost.is_answering = False
            cell = builders.make_cell([worker, lost])
            job = builders.make_job("s", is_standing=True)
            builders.put_run(lost, job)
            batch = builders.make_job("b", task_count=8, cpu_millicores=2000)
            waiting = builders.make_waiting(batch)
            cell.placer.place(waiting, [worker], now_s)
            for run in worker.runs.values():
                run.was_sent = True
            expected = cell._expected_steps()
            cell.placer.place({}, [worker], now_s, expected)
            maker = room_makers.RoomMaker(cell=cell)
            counts = []
            for at_s in (now_s, lost.lease.ended_at_s() - 0.5):
                maker.tick(at_s)
                counts.append(sum(r.is_stopping for r in worker.runs.values()))
            self.assertEqual(counts, [0, 2])
            for each in (worker, lost):
                each.close()

        builders.run_virtual(_main)

    def test_new_jobs_stop_nothing(self):
        """A task that has never run waits for batch tasks to end."""
        batch = {"task_count": 8, "cpu_millicores": 2000}
        self.assertEqual(self._run(batch, waits_s=9.0, has_run=False), [])
