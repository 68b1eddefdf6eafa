"""Tests of the room that is made for standing tasks."""

import unittest

import anyio

from wisteriawood.cells import evacuations
from wisteriawood.cells import preemption
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders

START_S = 100.0


class PreemptorTests(unittest.TestCase):
    """A standing task that has run waits on a worker full of batch tasks."""

    def _run(
        self,
        batch,
        *,
        waits_s,
        standing=None,
        has_run=True,
        accelerators=0,
        batch_jobs=1,
    ):
        """Return the names of the batch runs that are stopped.

        Args:
            batch: Fields of the step of the batch job.
            waits_s: For how long the standing task waits.
            standing: Further fields of the step of the standing job.
            has_run: Whether the standing task has run before.
            accelerators: Accelerators of the worker.
            batch_jobs: Number of batch jobs.
        """
        stopped = []

        async def _main():
            await anyio.sleep(START_S)
            now_s = anyio.current_time()
            worker = builders.make_run_worker("w", now_s=now_s)
            worker.free_accelerators = accelerators
            worker.registration.accelerators = accelerators
            cell = builders.make_cell([worker])
            batches = [
                builders.make_job(f"b{number}", **batch)
                for number in range(batch_jobs)
            ]
            fields = {"cpu_millicores": 4000, "memory_mb": 100}
            job = builders.make_job(
                "s", is_standing=True, **(fields | (standing or {}))
            )
            for task in job.all_tasks():
                task.run = int(has_run)
            for new in (*batches, job):
                cell.jobs[new.id] = new
            place = cell.placer.place
            place(builders.make_waiting(*batches), [worker], now_s)
            for run in worker.runs.values():
                run.was_sent = True
            maker = preemption.Preemptor(cell=cell)
            place(builders.make_waiting(job, *batches), [worker], now_s)
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
            maker = preemption.Preemptor(cell=cell)
            counts = []
            for at_s in (now_s, lost.lease.ended_at_s() - 0.5):
                maker.tick(at_s)
                counts.append(sum(r.is_stopping for r in worker.runs.values()))
            self.assertEqual(counts, [0, 2])
            for each in (worker, lost):
                each.close()

        builders.run_virtual(_main)

    def test_tasks_that_hold_accelerators_are_stopped(self):
        """Guards against tasks that wait for accelerators (LOST)."""
        batch = {"task_count": 2, "accelerators": 0, "cpu_millicores": 1000}
        found = self._run(
            batch,
            waits_s=1.0,
            standing={"accelerators": 1, "cpu_millicores": 1000},
            accelerators=0,
        )
        self.assertEqual(found, [])
        batch["accelerators"] = 1
        found = self._run(
            batch,
            waits_s=1.0,
            standing={"accelerators": 1, "cpu_millicores": 1000},
            accelerators=2,
        )
        self.assertEqual(len(found), 1)

    def test_a_gang_is_stopped_whole(self):
        """Guards against members of a gang that wait for the others (GANG)."""
        gang = {"task_count": 4, "is_gang": True}
        found = self._run(gang, waits_s=1.0)
        self.assertEqual(len(found), 4)

    def test_no_more_gangs_are_stopped_than_needed(self):
        """Guards against all gangs on a worker that end for one task."""
        gang = {"task_count": 4, "cpu_millicores": 1000, "is_gang": True}
        found = self._run(gang, waits_s=1.0, batch_jobs=4)
        self.assertEqual(len(found), 4)

    def test_room_of_an_older_job_is_no_room_to_evacuate_to(self):
        """Guards against tasks that are stopped with nowhere to go (AVAIL)."""

        async def _main():
            await anyio.sleep(START_S)
            now_s = anyio.current_time()
            drained = builders.make_run_worker("d", now_s=now_s)
            other = builders.make_run_worker("o", cores=4, now_s=now_s)
            lost = builders.make_run_worker("lost", now_s=now_s)
            lost.is_answering = False
            drained.registration.is_draining = True
            cell = builders.make_cell([drained, other, lost])
            older = builders.make_job("a", is_standing=True)
            builders.put_run(lost, older)
            job = builders.make_job("b", is_standing=True)
            run = builders.put_run(drained, job)
            older.accepted_at_s, job.accepted_at_s = 1.0, 2.0
            expected = cell._expected_steps()
            cell.placer.place({}, [other], now_s, expected)
            evacuations.evacuate(cell, now_s)
            self.assertFalse(run.is_stopping)
            cell.placer.place({}, [other], now_s, expected[:0])
            evacuations.evacuate(cell, now_s)
            self.assertTrue(run.is_stopping)
            for worker in (drained, other, lost):
                worker.close()

        builders.run_virtual(_main)

    def test_new_jobs_stop_nothing(self):
        """A task that has never run waits for batch tasks to end."""
        batch = {"task_count": 8, "cpu_millicores": 2000}
        self.assertEqual(self._run(batch, waits_s=9.0, has_run=False), [])
