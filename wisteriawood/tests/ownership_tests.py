"""Tests that an accepted job always has an owner and runs if it can."""

import random
import unittest

import anyio

from wisteriawood.cells import tables
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests
from wisteriawood.tests import ownership_builders

CELL = "shop@a"
# Time in which work that a worker has room for starts, whatever happened
# before.
START_BOUND_S = 14.0
# Longest time for the transaction that moves a job to another cell.
MOVE_BOUND_S = 0.5
# Time for which reads may be stale after a loss of history.
STALE_READ_S = 20.0
# Time after which all accepted work is done, once load and faults are over.
DRAIN_BOUND_S = 60.0
LOAD_S = 40.0
SEEDS = (1, 2)
# Faults that let jobs move often, in cells of one worker, while the store is
# slow.
MOVING_FAULTS = (
    "history-lost",
    "store-answers-late",
    "store-answers-late",
    "store-answers-lost",
    "worker-drained",
    "worker-restarted",
    "worker-silent",
)
MOVING_SEEDS = (1, 3, 6)


def _filler(**fields):
    values = {
        "task_count": 1,
        "cpu_millicores": 2000,
        "is_filler": True,
        "is_checkpointing": True,
        "image": "fills",
    }
    return specs.StepSpec(**(values | fields))


class ReturningJobTests(cells_tests.SingleRunCase):
    """Jobs move to another cell and back while their batch is written."""

    def test_move_back_before_the_batch_of_the_move_is_stored(self):
        """Guards against a returned job that its cell takes for moved away.

        The batch has two transactions. The first one moves the jobs, and
        while the second one is slow, the other cell moves them back.
        """

        async def _check(world):
            world.add_worker("b0", "b")
            await anyio.sleep(3)
            first, *others = builders.make_job_ids("a", world.zones, 25)
            world.store.slow_keys[first] = 2.0
            await world.submit_to(CELL, first, [_filler()])
            await anyio.sleep(0.3)
            for job_id in others:
                await world.submit_to(CELL, job_id, [_filler()])
            await anyio.sleep(1.4)
            world.store.slow_keys[others[-1]] = 5.0
            world.drain_worker("b0")
            world.add_worker("a0", "a")
            await anyio.sleep(7)
            world.store.slow_keys.clear()
            await anyio.sleep(START_BOUND_S)
            self.assertEqual(builders.find_unowned_jobs(world), [])
            for job_id in (first, *others):
                state = await world.intake().state(job_id)
                self.assertEqual(state, jobs.JobState.COMPLETED, job_id)
            self.check_single_runs(world)

        builders.run_job_world(_check, workers_per_zone=0)

    def test_move_back_before_the_answer_to_the_move(self):
        """Guards against a returned job that its cell takes for moved away.

        The store answers the transaction of the move late.
        """

        async def _check(world):
            world.add_worker("b0", "b")
            await anyio.sleep(3)
            (job_id,) = builders.make_job_ids("a", world.zones, 1)
            await world.submit_to(CELL, job_id, [_filler()])
            world.store.slow_keys[job_id] = 0.4
            world.store.late_answers[job_id] = 2.0
            await anyio.sleep(0.1)
            while builders.held_jobs(world)[CELL][job_id].cell == CELL:
                await anyio.sleep(0.01)
            world.drain_worker("b0")
            world.add_worker("a0", "a")
            await anyio.sleep(0.5)
            world.store.slow_keys.clear()
            world.store.late_answers.clear()
            await anyio.sleep(2 + START_BOUND_S)
            self.assertEqual(builders.find_unowned_jobs(world), [])
            state = await world.intake().state(job_id)
            self.assertEqual(state, jobs.JobState.COMPLETED)
            self.check_single_runs(world)

        builders.run_job_world(_check, workers_per_zone=0)


class PausedFillerTests(unittest.TestCase):
    """A filler is paused beside a serving task, whose latency then falls."""

    def _run(self, resume):
        serving_id, job_id = f"{1:016x}", f"{2:016x}"

        async def _check(world):
            latencies_ms = world.workers["w-a-0"].tail_latencies_ms
            await anyio.sleep(3)
            world.work_s[serving_id] = ownership_builders.FOREVER_S
            serving = specs.StepSpec(
                task_count=1,
                cpu_millicores=2000,
                is_standing=True,
                image="serves",
                tail_target_ms=10.0,
            )
            await world.submit_to(CELL, serving_id, [serving])
            await anyio.sleep(1)
            latencies_ms[f"{serving_id}.0.0.0"] = 3.0
            world.work_s[job_id] = 8.0
            filler = _filler(is_checkpointing=False)
            await world.submit_to(CELL, job_id, [filler])
            await anyio.sleep(2)
            (run,) = (
                run
                for name, run in world.workers["w-a-0"].runs.items()
                if name.startswith(job_id)
            )
            latencies_ms[f"{serving_id}.0.0.0"] = 12.0
            while run.percent:
                await anyio.sleep(0.1)
            await resume(
                world,
                lambda: latencies_ms.update({f"{serving_id}.0.0.0": 3.0}),
            )
            await anyio.sleep(START_BOUND_S)
            self.assertEqual(run.percent, 100)
            await world.wait_for(job_id, jobs.JobState.COMPLETED)

        builders.run_job_world(
            _check, zones=["a"], hosts_per_zone=2, workers_per_zone=1
        )

    def test_it_resumes(self):
        async def _resume(_world, calm):
            calm()

        self._run(_resume)

    def test_it_resumes_under_another_holder(self):
        """Guards against fillers that stay paused after a takeover."""

        async def _resume(world, calm):
            world.kill_host(world.holder_of(CELL))
            while not world.holder_of(CELL):
                await anyio.sleep(0.1)
            calm()

        self._run(_resume)

    def test_it_resumes_after_commands_without_answer(self):
        """Guards against fillers that stay paused as commands are lost."""

        async def _resume(world, calm):
            world.workers["w-a-0"].lost_paces = 4
            calm()

        self._run(_resume)


class StaleProgressTests(cells_tests.SingleRunCase):
    """A holder reads the progress of a job late."""

    def test_outage_and_stale_read_after_a_move(self):
        """Guards against a moved job that its new cell gives up.

        The store is away when the cell reads the progress, and the first
        read after that is stale.
        """

        async def _check(world):
            world.add_worker("b0", "b")
            await anyio.sleep(3)
            (job_id,) = builders.make_job_ids("a", world.zones, 1)
            await world.submit_to(CELL, job_id, [_filler()])
            before = dict(world.store.rows)
            spec_at = tables.spec_row("shop@b", "a", job_id)
            while spec_at not in world.store.rows:
                await anyio.sleep(0.001)
            world.store.is_down = True
            await anyio.sleep(STALE_READ_S + 1)
            world.store.compact_history()
            world.store.stale_rows = before
            world.store.is_down = False
            await anyio.sleep(2)
            world.store.stale_rows = None
            await anyio.sleep(START_BOUND_S)
            self.assertEqual(builders.find_unowned_jobs(world), [])
            state = await world.intake().state(job_id)
            self.assertEqual(state, jobs.JobState.COMPLETED)
            self.check_single_runs(world)

        builders.run_job_world(_check, workers_per_zone=0)

    def test_stale_progress_in_a_takeover(self):
        """Guards against tasks that wait for leases of a gone holder.

        The new holder stops their runs, since it doesn't know them yet.
        """

        async def _check(world):
            await anyio.sleep(3)
            job_id = f"{1:016x}"
            world.work_s[job_id] = 60.0
            await world.submit_to(CELL, job_id, [_filler(task_count=2)])
            await anyio.sleep(1)
            self.assertEqual(len(world.running()), 2)
            world.store.hidden_tables.add(tables.JOBS)
            world.kill_host(world.holder_of(CELL))
            while not world.holder_of(CELL):
                await anyio.sleep(0.1)
            await anyio.sleep(START_BOUND_S)
            self.assertEqual(len(world.running()), 2)
            self.check_single_runs(world)

        builders.run_job_world(
            _check, zones=["a"], hosts_per_zone=2, workers_per_zone=2
        )


class PassedOverTests(unittest.TestCase):
    """Work waits although a worker has room for it."""

    def test_another_job_needs_more_memory_than_there_is(self):
        """Guards against work that waits behind work that fits nowhere."""

        async def _check(world):
            world.add_worker("w", "a", memory_mb=11_000)
            await anyio.sleep(3)
            for number, memory_mb in enumerate((12_000, 9984)):
                step = _filler(is_filler=False, memory_mb=memory_mb)
                await world.submit_to(CELL, f"{number:016x}", [step])
            await anyio.sleep(START_BOUND_S)
            state = await world.intake().state(f"{1:016x}")
            self.assertEqual(state, jobs.JobState.COMPLETED)

        builders.run_job_world(_check, zones=["a"], workers_per_zone=0)

    def test_the_rack_with_the_data_is_full(self):
        """Guards against fillers that wait for their rack beside free ones."""

        async def _check(world):
            world.add_worker("near", "a", rack="r1", labels=["r1"])
            world.add_worker("far", "a", rack="r2")
            await anyio.sleep(3)
            job_ids = [f"{number:016x}" for number in range(2)]
            world.work_s = dict.fromkeys(job_ids, 60.0)
            full = specs.StepSpec(
                task_count=1,
                cpu_millicores=16_000,
                is_standing=True,
                required_label="r1",
            )
            await world.submit_to(CELL, job_ids[0], [full])
            await anyio.sleep(1)
            self.assertEqual(list(world.running().values()), ["near"])
            fillers = _filler(
                task_count=20, cpu_millicores=7800, near_rack="r1"
            )
            await world.submit_to(CELL, job_ids[1], [fillers])
            await anyio.sleep(START_BOUND_S)
            self.assertIn("far", world.running().values())

        builders.run_job_world(_check, zones=["a"], workers_per_zone=0)

    def test_another_task_of_the_job_runs_slowly(self):
        """Guards against fillers that wait beside cells without work.

        A serving task is near its bound, so that the fillers on its worker
        are stopped. One starts again at a low pace, and the other one waits
        although another cell is free.
        """

        async def _check(world):
            await anyio.sleep(3)
            job_ids = [f"{number:016x}" for number in range(2)]
            world.work_s = dict.fromkeys(job_ids, ownership_builders.FOREVER_S)
            serving = specs.StepSpec(
                task_count=1,
                cpu_millicores=8000,
                is_standing=True,
                image=ownership_builders.SERVING_IMAGE,
                tail_target_ms=ownership_builders.TAIL_TARGET_MS,
            )
            await world.submit_to(CELL, job_ids[0], [serving])
            await anyio.sleep(1)
            latencies_ms = world.workers["w-a-0"].tail_latencies_ms
            latencies_ms[f"{job_ids[0]}.0.0.0"] = 2.0
            await anyio.sleep(3)
            await world.submit_to(CELL, job_ids[1], [_filler(task_count=2)])
            await anyio.sleep(6)
            self.assertEqual(set(world.running().values()), {"w-a-0"})
            self.assertEqual(len(world.running()), 3)
            latencies_ms[f"{job_ids[0]}.0.0.0"] = 14.0
            await anyio.sleep(2)
            latencies_ms[f"{job_ids[0]}.0.0.0"] = 9.0
            await anyio.sleep(4 + START_BOUND_S)
            fillers = [n for n in world.running() if n.startswith(job_ids[1])]
            self.assertEqual(len(fillers), 2)

        builders.run_job_world(_check, workers_per_zone=1)


class TightCellsTests(unittest.TestCase):
    """Serving tasks of all cells are near their bounds."""

    def test_a_filler_settles_in_one_of_them(self):
        """Guards against jobs that move to and fro and never run."""

        async def _check(world):
            await anyio.sleep(3)
            for number, zone in enumerate(world.zones):
                job_id = f"{number + 1:016x}"
                world.work_s[job_id] = ownership_builders.FOREVER_S
                serving = specs.StepSpec(
                    task_count=1,
                    cpu_millicores=8000,
                    is_standing=True,
                    image=ownership_builders.SERVING_IMAGE,
                    tail_target_ms=ownership_builders.TAIL_TARGET_MS,
                )
                await world.submit_to(f"shop@{zone}", job_id, [serving])
                latencies_ms = world.workers[f"w-{zone}-0"].tail_latencies_ms
                latencies_ms[f"{job_id}.0.0.0"] = 9.5
            await anyio.sleep(8)
            job_id = f"{9:016x}"
            world.work_s[job_id] = ownership_builders.FOREVER_S
            await world.submit_to(CELL, job_id, [_filler(task_count=2)])
            idle_ticks = longest_ticks = 0
            for _tick in range(200):
                await anyio.sleep(0.1)
                is_running = any(n.startswith(job_id) for n in world.running())
                idle_ticks = 0 if is_running else idle_ticks + 1
                if _tick > 80:
                    longest_ticks = max(longest_ticks, idle_ticks)
            self.assertLess(longest_ticks, 30)
            (moves,) = (
                job.spec.moves
                for held in builders.held_jobs(world).values()
                for job in held.values()
                if job.id == job_id
            )
            self.assertLessEqual(moves, 3)

        builders.run_job_world(_check, workers_per_zone=1)


class RandomFaultTests(unittest.TestCase):
    """Overlapping faults under load, in three small zones."""

    def _run(
        self,
        seed,
        names,
        *,
        check,
        is_calm=False,
        workers_per_zone=2,
        has_host_links=False,
    ):
        async def _check(world):
            rng = random.Random(seed)
            await anyio.sleep(3)
            for number in range(3):
                job_id = f"{number:x}" * 16
                world.work_s[job_id] = ownership_builders.FOREVER_S
                steps = ownership_builders.make_standing_steps(rng)
                await world.submit_to(CELL, job_id, steps)
            until_s = anyio.current_time() + LOAD_S
            async with anyio.create_task_group() as group:
                group.start_soon(
                    ownership_builders.vary_latencies,
                    world,
                    rng,
                    0.0 if is_calm else until_s,
                )
                if has_host_links:
                    group.start_soon(
                        ownership_builders.vary_host_links,
                        world,
                        random.Random(seed),
                        until_s,
                    )
                async with anyio.create_task_group() as load:
                    load.start_soon(
                        ownership_builders.submit, world, rng, until_s
                    )
                    await ownership_builders.inject(world, rng, names, until_s)
                ownership_builders.heal(world)
                await check(world)
                group.cancel_scope.cancel()

        builders.run_job_world(
            _check,
            zones=["a", "b", "c"],
            workers_per_zone=workers_per_zone,
            has_host_links=has_host_links,
        )

    async def _check_owners(self, world):
        await anyio.sleep(START_BOUND_S)
        unowned = set(builders.find_unowned_jobs(world))
        if unowned:
            # One whose move is being written belongs to neither cell yet.
            await anyio.sleep(MOVE_BOUND_S)
            unowned &= set(builders.find_unowned_jobs(world))
        self.assertEqual(unowned, set())
        self.assertEqual(ownership_builders.find_overlaps(world), [])

    async def _check_jobs(self, world):
        starved = await ownership_builders.find_starved_jobs(
            world, START_BOUND_S
        )
        self.assertEqual(builders.find_unowned_jobs(world), [])
        self.assertEqual(starved, [])
        self.assertEqual(ownership_builders.find_overlaps(world), [])
        await anyio.sleep(DRAIN_BOUND_S - START_BOUND_S)
        unfinished = ownership_builders.find_unfinished_jobs(world)
        self.assertEqual(unfinished, [])

    def test_accepted_jobs_have_an_owner_and_run(self):
        """Guards against accepted jobs that wait for good (LOST)."""
        names = ownership_builders.FAULTS.names()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._run(seed, names, check=self._check_jobs)

    def test_jobs_of_hosts_that_are_linked(self):
        """Guards against two runs after an answer of a former holder."""
        names = ownership_builders.FAULTS.names()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._run(
                    seed, names, check=self._check_jobs, has_host_links=True
                )

    def test_jobs_that_often_move_keep_an_owner(self):
        """Guards against returned jobs that no holder has (LOST)."""
        for seed in MOVING_SEEDS:
            with self.subTest(seed=seed):
                self._run(
                    seed,
                    MOVING_FAULTS,
                    check=self._check_owners,
                    is_calm=True,
                    workers_per_zone=1,
                )
