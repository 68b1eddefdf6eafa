"""Tests of jobs and tasks that wait where they can't run."""

import dataclasses
import unittest
from unittest import mock

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import claims
from wisteriawood.cells import loads
from wisteriawood.cells import relocation
from wisteriawood.cells import runs
from wisteriawood.cells import tables
from wisteriawood.cells import worker_groups
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.standins import stores as store_standins
from wisteriawood.telemetry import job_events
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests

JOB = "0123456789abcdef"
OTHER_JOB = "fedcba9876543210"
CELL = "shop@a"
FOREVER_S = 100_000.0
# The lease of a lost worker, a wait and the time to move and start.
RESTART_BOUND_S = 10.0
# Delay of an answer of the store, below the longest timeout of a call.
LATE_ANSWER_S = 2.0
# Most bytes of a key that the platform's store takes.
MAX_KEY_BYTES = 200


def _step(**fields):
    return specs.StepSpec(
        **({"task_count": 2, "cpu_millicores": 2000} | fields)
    )


class LostWorkerTests(cells_tests.SingleRunCase):
    """Zone a loses for good the only worker that can run a job."""

    def _run(self, step, *, special=None, work_s=3.0, **fields):
        """Run a job on the worker of zone a, and lose that worker.

        Zone a keeps a worker that can't run the job if the lost one and one
        of zone b have `special` fields.
        """

        async def _main(world):
            if special is None:
                world.add_worker("lost", "a")
            else:
                world.add_worker("other", "a")
                world.add_worker("lost", "a", **special)
            for number in range(2):
                world.add_worker(f"b{number}", "b", **special or {})
            await anyio.sleep(3)
            world.work_s[JOB] = work_s
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(1)
            self.assertEqual(set(world.running().values()), {"lost"})
            world.lose_worker("lost")
            await anyio.sleep(RESTART_BOUND_S)
            restarted = [
                task
                for task, starts in world.starts().items()
                if max(starts)[2] in ("b0", "b1")
            ]
            self.assertEqual(len(restarted), step.task_count)
            if step.is_standing:
                self.assertEqual(len(world.running("b")), step.task_count)
            else:
                await world.wait_for(JOB, jobs.JobState.COMPLETED)
                self.check_single_runs(world)

        builders.run_job_world(_main, workers_per_zone=0, **fields)

    def test_it_was_the_only_one(self):
        """Regression: LOST, jobs of a zone without workers never ran."""
        self._run(_step())

    def test_it_was_the_only_one_with_a_label(self):
        special = {"labels": ["big"]}
        self._run(_step(required_label="big"), special=special)

    def test_it_was_the_only_one_with_enough_memory(self):
        special = {"memory_mb": 100_000}
        self._run(_step(task_count=1, memory_mb=90_000), special=special)

    def test_it_was_the_only_one_with_enough_cpu(self):
        special = {"cpu_millicores": 32_000}
        self._run(_step(task_count=1, cpu_millicores=30_000), special=special)

    def test_it_was_the_only_one_with_accelerators(self):
        special = {"accelerators": 2}
        self._run(_step(accelerators=1), special=special)

    def test_the_job_is_a_filler(self):
        self._run(_step(is_filler=True, image="fills"))

    def test_the_job_is_standing(self):
        self._run(_step(task_count=6, is_standing=True), work_s=FOREVER_S)

    def test_the_job_is_a_standing_gang(self):
        step = _step(is_standing=True, is_gang=True)
        self._run(step, work_s=FOREVER_S)

    def test_tasks_are_not_to_share_a_worker(self):
        async def _check(world):
            await anyio.sleep(3)
            world.work_s[JOB] = FOREVER_S
            step = _step(task_count=4, is_standing=True, most_per_worker=1)
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(4)
            self.assertEqual(len(world.running("a")), 3)
            self.assertEqual(len(world.running("b")), 1)
            for name in ("w-a-0", "w-a-1", "w-a-2"):
                world.lose_worker(name)
            await anyio.sleep(RESTART_BOUND_S)
            workers = list(world.running("b").values())
            self.assertEqual(len(workers), len(set(workers)))
            self.assertEqual(len(workers), 3)

        builders.run_job_world(_check)


class FullZoneTests(cells_tests.SingleRunCase):
    def test_a_zone_is_full_of_standing_tasks(self):
        """Guards against jobs that wait for tasks that never end."""

        async def _check(world):
            await anyio.sleep(3)
            world.work_s[OTHER_JOB] = FOREVER_S
            full = _step(task_count=3, cpu_millicores=16000, is_standing=True)
            await world.submit_to(CELL, OTHER_JOB, [full])
            await anyio.sleep(1)
            await world.submit_to(CELL, JOB, [_step(), _step(after=[0])])
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=8)
            self.check_single_runs(world)

        builders.run_job_world(_check)

    def test_a_zone_has_no_room_for_a_gang(self):
        async def _check(world):
            for number in range(3):
                world.add_worker(f"more-{number}", "b")
            await anyio.sleep(3)
            gang = _step(task_count=10, cpu_millicores=6000, is_gang=True)
            await world.submit_to(CELL, JOB, [gang])
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=4)
            self.check_single_runs(world)

        builders.run_job_world(_check)

    def test_new_jobs_go_where_they_can_run(self):
        async def _check(world):
            world.add_worker("big", "b", labels=["big"])
            await anyio.sleep(3)
            for number in range(8):
                job_id = f"{number:016x}"
                await world.submit(job_id, [_step(required_label="big")])
                await world.wait_for(
                    job_id, jobs.JobState.COMPLETED, timeout_s=2
                )

        builders.run_job_world(_check)


class MoveTests(cells_tests.SingleRunCase):
    """Zone a has no worker; its job is moved to zone b."""

    def _run(self, check, **fields):
        async def _main(world):
            for number in range(2):
                world.add_worker(f"b{number}", "b")
            await anyio.sleep(3)
            await check(world)
            self.check_single_runs(world)

        builders.run_job_world(_main, workers_per_zone=0, **fields)

    def test_the_answer_of_the_store_is_lost(self):
        async def _check(world):
            await world.submit_to(CELL, JOB, [_step()])
            world.store.lost_table = tables.specs_table("b")
            world.store.lost_answers = 1
            world.store.lost_answer_delay_s = 0.5
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=8)

        self._run(_check)

    def test_it_returns_before_its_move_is_acknowledged(self):
        """Guards against a job in the store that no holder has in memory.

        The other cell moves it back while the answer to the transaction that
        moved it there is still on its way.
        """
        commit = store_standins.MemoryStoreLink.commit

        async def _check(world):
            was_delayed = False

            async def _commit_late(link, change):
                nonlocal was_delayed
                version = await commit(link, change)
                to = tables.specs_table("b")
                is_move = any(at.table == to for at in change.writes)
                if is_move and not was_delayed:
                    was_delayed = True
                    for number in range(2):
                        world.drain_worker(f"b{number}")
                    world.add_worker("a0", "a")
                    await anyio.sleep(LATE_ANSWER_S)
                return version

            with mock.patch.object(
                store_standins.MemoryStoreLink, "commit", _commit_late
            ):
                await world.submit_to(CELL, JOB, [_step()])
                await world.wait_for(JOB, jobs.JobState.COMPLETED)

        self._run(_check)

    def test_a_lost_answer_does_not_cost_the_cell(self):
        """Guards against a holder that gives all of its jobs up for one.

        The other cell has started the job before the move is sent again.
        """

        async def _check(world):
            await world.submit_to(CELL, JOB, [_step()])
            world.store.lost_table = tables.specs_table("b")
            world.store.lost_answers = 1
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=8)
            await anyio.sleep(2)
            claim = world.store.rows[tables.claim_row(CELL)]
            self.assertEqual(claims.read_claim(claim).epoch, 1)
            self.assertEqual(builders.held_jobs(world)[CELL], {})

        self._run(_check)

    def test_a_cancellation_that_no_read_shows(self):
        """Guards against the start of a job that was cancelled on its way."""

        async def _check(world):
            await world.submit_to(CELL, JOB, [_step()])
            world.store.hidden_tables.add(tables.CANCELS)
            await world.intake().cancel(JOB, 3.0)
            await anyio.sleep(5)
            self.assertEqual(world.starts(), {})
            state = await world.intake().state(JOB)
            self.assertEqual(state, jobs.JobState.CANCELED)
            self.assertTrue(world.holder_of(CELL))
            self.assertTrue(world.holder_of("shop@b"))

        self._run(_check)

    def test_a_cancellation_while_it_moves(self):
        async def _check(world):
            for number in range(20):
                job_id = f"{number:016x}"
                world.work_s[job_id] = FOREVER_S
                await world.submit_to(CELL, job_id, [_step()])
                await anyio.sleep(0.8 + 0.02 * number)
                await world.intake().cancel(job_id, 3.0)
            await anyio.sleep(1)
            self.assertEqual(world.running(), {})
            for number in range(20):
                state = await world.intake().state(f"{number:016x}")
                self.assertEqual(state, jobs.JobState.CANCELED)
            epochs = [
                claims.read_claim(row).epoch
                for at, row in world.store.rows.items()
                if at.table == tables.CLAIMS
                and not at.key.endswith(tables.LEASES_SUFFIX)
            ]
            self.assertEqual(epochs, [1, 1])

        self._run(_check)

    def test_a_read_of_its_progress_is_stale(self):
        """Guards against a moved job that no cell has.

        Reads after a loss of history return rows that are seconds old.
        """

        async def _check(world):
            await world.submit_to(CELL, JOB, [_step()])
            bucket = tables.bucket_of(JOB, world.zones)
            stale = world.store.rows[tables.job_row(bucket, JOB)]
            read = store_standins.MemoryStoreLink.read
            stale_until_s = anyio.current_time() + 4.0

            async def _read_stale(link, table, part, **fields):
                page = await read(link, table, part, **fields)
                is_stale = anyio.current_time() < stale_until_s
                if is_stale and fields.get("key") == JOB:
                    page.rows = [stale]
                return page

            with mock.patch.object(
                store_standins.MemoryStoreLink, "read", _read_stale
            ):
                await anyio.sleep(6)
                await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=3)

        self._run(_check)

    def test_both_holders_are_killed(self):
        async def _check(world):
            await world.submit_to(CELL, JOB, [_step()])
            await anyio.sleep(1.1)
            world.kill_host(world.holder_of(CELL))
            world.kill_host(world.holder_of("shop@b"))
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=15)

        self._run(_check)

    def test_used_attempts_are_kept(self):
        """Guards against more runs than the queue allows (BUDGET)."""

        async def _check(world):
            world.add_worker("lost", "a")
            world.failing_workers = {"lost", "b0", "b1"}
            await anyio.sleep(2)
            world.work_s[f"{JOB}.0.0.0"] = 0.2
            world.work_s[f"{JOB}.0.0.1"] = 60.0
            await world.submit_to(CELL, JOB, [_step()])
            await anyio.sleep(0.3)
            world.lose_worker("lost")
            await world.wait_for(JOB, jobs.JobState.FAILED)
            failed = [
                run
                for run, outcome, _at_s in world.ends()[f"{JOB}.0.0.0"]
                if outcome == "failed"
            ]
            self.assertLessEqual(len(failed), world.queue.attempts)

        self._run(_check)

    def test_jobs_on_their_way_count_as_pending(self):
        """Guards against a count of pending jobs that omits moved ones."""

        async def _check(world):
            world.add_worker("lost", "a")
            await anyio.sleep(2)
            world.work_s = {JOB: FOREVER_S, OTHER_JOB: FOREVER_S}
            full = _step(task_count=1, cpu_millicores=16000, is_standing=True)
            await world.submit_to(CELL, JOB, [full])
            full = _step(task_count=2, cpu_millicores=16000, is_standing=True)
            await world.submit_to("shop@b", OTHER_JOB, [full])
            await anyio.sleep(1)
            self.assertEqual(len(world.running()), 3)
            for number in range(12):
                await world.submit_to(CELL, f"{number:016x}", [_step()])
            await anyio.sleep(5)
            world.lose_worker("lost")
            for _tick in range(150):
                await anyio.sleep(0.1)
                pending = world.intake().pending(world.queue)
                self.assertGreaterEqual(2 * pending, 12)
            moved = {
                at.key
                for at in world.store.rows
                if at.table == tables.specs_table("b")
            }
            self.assertEqual(len(moved), 14)

        self._run(_check)


class PendingJobTests(unittest.TestCase):
    def test_an_assigned_job_is_pending_until_a_worker_has_started_it(self):
        """Regression: MIXED, jobs whose start was not answered were missing.

        Their worker had just been lost.
        """

        async def _check():
            worker = builders.make_run_worker("w")
            cell = builders.make_cell([worker])
            job = builders.make_job()
            cell.add_job(job)
            job.state = jobs.JobState.RUNNING
            (task,) = job.all_tasks()
            task.assign(worker_id="w", run=1)
            run = runs.Run(job=job, task=task, assigned_at_s=0.0)
            worker.add_run(run)
            self.assertEqual(loads.report(cell).pending, {"q": 1})
            restored = codec.job_from_bytes(
                job.spec, "a", codec.job_to_bytes(job)
            )
            self.assertTrue(restored.is_pending())
            run.confirm(1.0)
            self.assertEqual(loads.report(cell).pending, {})

        builders.run_virtual(_check)

    def test_a_moved_job_is_reported_until_the_other_cell_reports_it(self):
        async def _check():
            cell = builders.make_cell()
            job = builders.make_job()
            cell.add_job(job)
            cell.remove_moved_job(job)
            self.assertEqual(loads.report(cell).pending, {"q": 1})
            await anyio.sleep(cells.MOVED_REPORT_S + 0.1)
            self.assertEqual(loads.report(cell).pending, {})

        builders.run_virtual(_check)


class HopelessJobTests(cells_tests.SingleRunCase):
    def test_a_standing_task_that_fits_nowhere_stays(self):
        """Regression: LOST, it was lent on and on under longer and longer ids.

        Once an id exceeded what the store takes as a key, no other job of the
        cell and bucket was written any more.
        """

        async def _check(world):
            await anyio.sleep(3)
            for number, fields in enumerate(
                (
                    {"memory_mb": 300_000},
                    {"accelerators": 1},
                    {"required_label": "none"},
                    {"cpu_millicores": 64_000},
                )
            ):
                step = _step(**{"task_count": 1, "is_standing": True} | fields)
                await world.submit_to(CELL, f"{number:016x}", [step])
            await anyio.sleep(30)
            self.assertEqual(_moves(world), [0, 0, 0, 0])

        builders.run_job_world(_check)

    def test_ids_stay_short_however_often_a_task_moves(self):
        async def _check(world):
            await anyio.sleep(3)
            world.work_s[JOB] = FOREVER_S
            step = _step(cpu_millicores=9000, is_standing=True)
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(3)
            for _round in range(6):
                (victim,) = {*world.running().values()} - {"w-a-0"}
                world.workers[victim].crash()
                await anyio.sleep(RESTART_BOUND_S)
                (successor,) = {*world.running().values()} - {"w-a-0"}
                self.assertNotEqual(successor, victim)
                world.workers[victim].restart()
                await anyio.sleep(2)
            self.assertEqual(sorted(_moves(world)), [0, 7])
            lengths = [len(at.key.encode()) for at in world.store.rows]
            self.assertLess(max(lengths), MAX_KEY_BYTES / 4)

        builders.run_job_world(
            _check, zones=["a", "b", "c"], workers_per_zone=1
        )

    # Guards against four moves a second, between two cells whose reports
    # don't show that their workers already have a task of the step.
    def test_a_standing_task_without_room_anywhere_moves_now_and_then(self):
        async def _check(world):
            await anyio.sleep(3)
            world.work_s[JOB] = FOREVER_S
            step = _step(task_count=3, is_standing=True, most_per_worker=1)
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(6)
            self.assertEqual(len(set(world.running().values())), 3)
            world.lose_worker("w-c-0")
            await anyio.sleep(RESTART_BOUND_S)
            watched_s = 10.0
            with builders.record_events(job_events.JOB_MOVED) as moves:
                await anyio.sleep(watched_s)
            self.assertGreater(len(moves), 0)
            self.assertLessEqual(len(moves), watched_s / relocation.MIN_WAIT_S)

        builders.run_job_world(
            _check, zones=["a", "b", "c"], workers_per_zone=1
        )


class FillerMoveTests(unittest.TestCase):
    """Fillers wait in a cell while the other one reports room."""

    def _run(self, check):
        async def _main():
            await anyio.sleep(100)
            worker = builders.make_run_worker("w", now_s=anyio.current_time())
            cell = builders.make_cell([worker])
            await check(cell, worker, relocation.Relocator(cell=cell))
            worker.close()

        builders.run_virtual(_main)

    async def _tick(self, cell, relocator, cores):
        """Let 3.5 s pass, in which the other cell has some cores left."""
        group = builders.make_group(cores=cores)
        cell.other_loads = {
            "shop@b": claims.CellLoad(
                free_millicores=1000 * cores,
                left_millicores=1000 * cores,
                free=[group],
                total=[group],
            )
        }
        for _tick in range(14):
            builders.confirm_views(cell)
            relocator.tick()
            await anyio.sleep(relocation.BUSY_WAIT_S / 12)

    def test_no_more_crawling_jobs_are_stopped_than_fit_elsewhere(self):
        """Guards against fillers that are stopped for the same free place."""

        async def _check(cell, worker, relocator):
            found = []
            for number in range(4):
                job = builders.make_job(
                    f"j{number}",
                    task_count=2,
                    cpu_millicores=8000,
                    is_filler=True,
                    is_checkpointing=True,
                    image="fills",
                )
                cell.add_job(job)
                run = builders.put_run(worker, job)
                run.is_pinned = True
                cell.update_waiting(job)
                found.append(run)
            await self._tick(cell, relocator, 24)
            self.assertEqual(sum(run.is_stopping for run in found), 1)

        self._run(_check)

    def test_earlier_moves_of_other_work_do_not_count(self):
        """Guards against batch jobs that wait longer after each move."""

        async def _check(cell, worker, relocator):
            other = builders.make_job("o", cpu_millicores=16000)
            cell.add_job(other)
            builders.put_run(worker, other)
            cell.update_waiting(other)
            job = builders.make_job("j", cpu_millicores=8000)
            job.spec = dataclasses.replace(job.spec, moves=4)
            cell.add_job(job)
            await self._tick(cell, relocator, 64)
            self.assertEqual(job.cell, "shop@b")

        self._run(_check)


class SlowCommitTests(unittest.TestCase):
    """A job is relocated while a transaction of its bucket is slow."""

    def _run(self, *, has_running_task):
        """Return the phases and rows of a job after each transaction."""
        found = []

        async def _main():
            store = builders.GatedStore(
                on_commit=lambda: found.append(self._read(store))
            )
            cell = builders.make_cell(store=store)
            cell.writer._claim_version = 0
            job = builders.make_job("zz", is_standing=True, task_count=2)
            lost, other = job.all_tasks()
            lost.run = other.run = 1
            if has_running_task:
                other.assign(worker_id="w", run=1)
            cell.add_job(job)
            # They need several transactions, the last with the job.
            for number in range(40):
                cell.writer.schedule_write(builders.make_job(f"o{number:02}"))
            cell.writer.schedule_write(job)
            cell.other_loads = {
                "shop@b": claims.CellLoad(
                    reserved=[builders.make_group(cores=4, workers=9)]
                )
            }
            relocator = relocation.Relocator(cell=cell)
            async with anyio.create_task_group() as group:
                cell.open(group)
                group.start_soon(cell.writer.write_bucket, "a")
                await anyio.sleep(0.1)
                for _tick in range(8):
                    builders.confirm_views(cell)
                    for task in (lost, other):
                        name = job.task_name(task)
                        cell.placer.unplaceable[name] = job.step_of(task)
                    relocator.tick()
                    await anyio.sleep(0.25)
                    store.gate.set()
                group.cancel_scope.cancel()

        builders.run_virtual(_main)
        return [entry for entry in found if entry is not None]

    def _read(self, store):
        """Return the phases of the job, its cell and its lent tasks."""
        row = store.rows.get(tables.job_row("a", "zz"))
        if row is None:
            return None
        spec = builders.make_job("zz", is_standing=True, task_count=2).spec
        job = codec.job_from_bytes(spec, "a", row.value)
        lent = [at for at in store.rows if "~" in at.key]
        return [t.phase for t in job.all_tasks()], job.cell, len(lent)

    def test_a_task_is_lent_with_its_rows(self):
        """Guards against a lent task that no cell has (LOST).

        A later part of a transaction in progress wrote the job's row with the
        task lent, without the rows of the lent job.
        """
        found = self._run(has_running_task=True)
        for phases, _cell, lent in found:
            self.assertEqual(lent > 0, tasks.Phase.LENT in phases)
        self.assertIn(tasks.Phase.LENT, found[-1][0])

    def test_a_job_moves_in_one_transaction(self):
        """Guards against a second write that costs a holder its cell."""
        found = self._run(has_running_task=False)
        cells_seen = [cell for _phases, cell, _lent in found]
        self.assertEqual(cells_seen[-1], "shop@b")
        self.assertEqual(cells_seen.count("shop@b"), 1)


class GroupTests(unittest.TestCase):
    """What a cell reports of its workers."""

    def test_equal_workers_are_one_group(self):
        found = worker_groups.summarize(
            builders.make_group(cores=cores) for cores in (4, 8, 4)
        )
        self.assertEqual(sorted(group.workers for group in found), [1, 2])

    def test_many_workers_fit_a_short_report(self):
        one_by_one = [
            builders.make_group(cores=0.1 * n, memory_mb=100 * (n * 37 % 640))
            for n in range(640)
        ]
        found = worker_groups.summarize(
            builders.make_group(cores=0.1 * n, memory_mb=100 * (n * 37 % 640))
            for n in range(640)
        )
        self.assertLessEqual(len(found), worker_groups.MAX_GROUPS)
        self.assertEqual(sum(group.workers for group in found), 640)
        for step in (
            _step(cpu_millicores=7000, memory_mb=10_000),
            _step(cpu_millicores=300, memory_mb=60_000),
            _step(cpu_millicores=63_000, memory_mb=1),
        ):
            self.assertLessEqual(
                worker_groups.count_fitting(found, step),
                worker_groups.count_fitting(one_by_one, step),
            )

    def test_what_is_reserved_does_not_fit_again(self):
        groups = [builders.make_group(cores=10, workers=2)]
        step = _step(task_count=4, cpu_millicores=4000)
        self.assertEqual(worker_groups.count_fitting(groups, step), 4)
        worker_groups.reserve(groups, step, 3)
        self.assertEqual(worker_groups.count_fitting(groups, step), 1)

    def test_a_filler_needs_no_free_cpu(self):
        groups = [builders.make_group(cores=0)]
        step = _step(task_count=4, is_filler=True)
        self.assertEqual(worker_groups.count_fitting(groups, step), 4)

    def test_a_rack_is_a_label_of_its_workers(self):
        known = {
            "shop@b": claims.CellLoad(
                free=[builders.make_group()], racks=["r-b"]
            ),
            "shop@c": claims.CellLoad(
                free=[builders.make_group()], racks=["r-c"]
            ),
        }
        step = _step(required_label="r-c")
        self.assertEqual(relocation.choose_cell(known, step), "shop@c")


def _moves(world):
    """Return how often each job was moved, by the rows of the store."""
    found = []
    for at, row in world.store.rows.items():
        if at.table.startswith("specs-"):
            _cell, spec = codec.spec_from_bytes(row.value)
            found.append(spec.moves + bool(spec.lent_task))
    return found
