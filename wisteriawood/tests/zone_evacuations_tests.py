"""Tests of the runs in a drained zone: which of them move, and when."""

import dataclasses
from unittest import mock

import anyio

from wisteriawood.cells import balancers
from wisteriawood.cells import claims
from wisteriawood.cells import pacers
from wisteriawood.cells import regrouping
from wisteriawood.cells import relocation
from wisteriawood.cells import zone_drains
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests
from wisteriawood.tests import zone_drains_builders as drain_builders

JOB = "0123456789abcdef"
OTHER_JOB = "fedcba9876543210"
FOREVER_S = drain_builders.FOREVER_S
NOTICE_S = drain_builders.NOTICE_S
make_step = drain_builders.make_step
# Time for which a moving task is away, at most.
AWAY_BOUND_S = 1.5


def _standing(**fields):
    values = {"task_count": 6, "most_missing": 2, "is_standing": True}
    return make_step(**(values | fields))


class EvacuationCase(cells_tests.SingleRunCase):
    """A standing job runs in zone a, which is drained."""

    def run_drain(self, check, step=None, **fields):
        async def _main(world):
            world.work_s[JOB] = FOREVER_S
            step_or_default = step or _standing()
            await world.submit_to("shop@a", JOB, [step_or_default])
            await anyio.sleep(NOTICE_S + 2)
            self.assertEqual(
                len(world.running("a")), step_or_default.task_count
            )
            await check(world)
            self.check_single_runs(world)

        drain_builders.run_drain_world(_main, **fields)

    async def wait_until_moved(self, world, count, timeout_s, zone="a"):
        with anyio.move_on_after(timeout_s):
            while len(world.running()) < count or world.running(zone):
                await anyio.sleep(0.1)
        self.assertEqual(world.running(zone), {})
        self.assertEqual(len(world.running()), count)


class StandingTaskTests(EvacuationCase):

    def test_tasks_move_within_the_limit_of_their_step(self):
        """Guards against tasks that stay, or move all at once."""

        async def _check(world):
            world.write_request("a")
            await self.wait_until_moved(world, 6, 4 * NOTICE_S)
            self.assertEqual(world.most_away(JOB), 2)
            for name, ended_s, back_s in world.absences(JOB):
                self.assertLess(back_s - ended_s, AWAY_BOUND_S, name)

        self.run_drain(_check)

    def test_only_task_of_its_job(self):
        async def _check(world):
            world.write_request("a")
            await self.wait_until_moved(world, 1, NOTICE_S)
            self.assertEqual(world.most_away(JOB), 1)

        self.run_drain(_check, _standing(task_count=1, most_missing=1))

    def test_step_that_may_not_be_interrupted(self):
        async def _check(world):
            world.write_request("a")
            await anyio.sleep(3 * NOTICE_S)
            self.assertEqual(len(world.running("a")), 6)
            self.assertEqual(world.absences(JOB), [])

        self.run_drain(_check, _standing(most_missing=0))

    def test_gang(self):
        """Guards against members of a gang that are stopped alone."""

        async def _check(world):
            world.write_request("a")
            await anyio.sleep(3 * NOTICE_S)
            self.assertEqual(world.absences(JOB), [])

        self.run_drain(_check, _standing(is_gang=True))

    def test_no_other_cell_has_room(self):
        """Guards against tasks that are stopped and fit nowhere."""

        async def _check(world):
            world.work_s[OTHER_JOB] = FOREVER_S
            full = make_step(
                task_count=3, cpu_millicores=15000, is_standing=True
            )
            await world.submit_to("shop@b", OTHER_JOB, [full])
            await anyio.sleep(3)
            with builders.record_events(drain_builders.HELD) as lines:
                world.write_request("a")
                await anyio.sleep(3 * NOTICE_S)
            self.assertEqual(world.absences(JOB), [])
            self.assertEqual(lines[-1]["causes"], {"no room elsewhere": 6})

        self.run_drain(_check)

    def test_room_for_some(self):
        async def _check(world):
            world.work_s[OTHER_JOB] = FOREVER_S
            full = make_step(
                task_count=3, cpu_millicores=12000, is_standing=True
            )
            await world.submit_to("shop@b", OTHER_JOB, [full])
            await anyio.sleep(3)
            world.write_request("a")
            await anyio.sleep(8 * NOTICE_S)
            self.assertEqual(len(world.running("b")), 3 + 3)
            self.assertEqual(len(world.running("a")), 3)
            self.assertLessEqual(world.most_away(JOB), 2)

        self.run_drain(_check, _standing(cpu_millicores=3000))

    def test_other_tasks_are_lost_meanwhile(self):
        """Guards against moves on top of tasks that are away anyway."""

        async def _check(world):
            lost = next(iter(world.running("a").values()))
            lost_tasks = set(world.workers[lost].runs)
            world.lose_worker(lost)
            world.write_request("a")
            await self.wait_until_moved(world, 6, 60.0)
            self.assertEqual(len(lost_tasks), 2)
            absences = world.absences(JOB)
            back_s = max(b for name, _e, b in absences if name in lost_tasks)
            moved_s = min(
                e for name, e, _b in absences if name not in lost_tasks
            )
            self.assertGreaterEqual(moved_s, back_s + NOTICE_S)
            self.assertLessEqual(world.most_away(JOB), 2)

        self.run_drain(_check, _standing(cpu_millicores=8000))

    async def _wait_for_first_move(self, world):
        """Wait until a task has run elsewhere for 2 s; return its worker."""
        while not set(world.running()) - set(world.running("a")):
            await anyio.sleep(0.1)
        await anyio.sleep(2)
        (moved,) = set(world.running()) - set(world.running("a"))
        return world.running()[moved]

    def test_moved_task_loses_its_worker(self):
        """Guards against moves while a task that has moved is away again.

        Its row shows it as assigned until the lease of the worker has ended.
        """

        async def _check(world):
            world.write_request("a")
            worker = await self._wait_for_first_move(world)
            world.lose_worker(worker)
            await self.wait_until_moved(world, 6, 90.0)
            self.assertEqual(world.most_away(JOB), 1)

        self.run_drain(_check, _standing(most_missing=1))

    def test_moved_task_loses_its_worker_and_its_holder(self):
        """Guards against moves while nobody knows of a task elsewhere."""

        async def _check(world):
            world.write_request("a")
            worker = await self._wait_for_first_move(world)
            zone = world.workers[worker].registration.zone
            world.write_request(zone)
            world.lose_worker(worker)
            world.kill_host(world.holder_of(f"shop@{zone}"))
            await self.wait_until_moved(world, 6, 120.0)
            self.assertEqual(world.most_away(JOB), 1)

        self.run_drain(
            _check, _standing(most_missing=1), zones=["a", "b", "c", "d"]
        )

    def test_tasks_of_one_step_in_several_drained_zones(self):
        """Guards against zones that each move as many as the step allows."""

        async def _check(world):
            world.write_request("a")
            await anyio.sleep(NOTICE_S + 2)
            self.assertTrue(world.running("a"))
            elsewhere = set(world.running()) - set(world.running("a"))
            zone = world.workers[
                world.running()[min(elsewhere)]
            ].registration.zone
            world.write_request(zone)
            await self.wait_until_moved(world, 6, 80.0)
            await self.wait_until_moved(world, 6, 80.0, zone)
            self.assertEqual(world.most_away(JOB), 2)

        self.run_drain(_check, zones=["a", "b", "c", "d"])

    def test_zones_with_tasks_of_one_step_drained_together(self):
        """Guards against zones that read the same rows and both move."""

        async def _check(world):
            world.write_request("a")
            await anyio.sleep(NOTICE_S)
            world.end_drain("a")
            await anyio.sleep(3 * NOTICE_S)
            zones = {
                world.workers[worker].registration.zone
                for worker in world.running().values()
            }
            self.assertEqual(len(world.running("a")), 4)
            self.assertGreater(len(zones), 1)
            for zone in sorted(zones):
                world.write_request(zone)
            for zone in sorted(zones):
                await self.wait_until_moved(world, 6, 80.0, zone)
            self.assertEqual(world.most_away(JOB), 2)

        self.run_drain(_check, zones=["a", "b", "c", "d", "e"])

    def test_tasks_that_have_just_come_back(self):
        """Guards against moves soon after another interruption."""

        async def _check(world):
            # The other tasks would be the first to move.
            running = world.running("a")
            lost = running[max(running)]
            self.assertEqual(len(world.workers[lost].runs), 2)
            world.lose_worker(lost)
            while len(world.running("a")) == 6:
                await anyio.sleep(0.1)
            while len(world.running("a")) < 6:
                await anyio.sleep(0.1)
            world.write_request("a")
            await self.wait_until_moved(world, 6, 60.0)
            self.assertEqual(world.most_away(JOB), 2)

        self.run_drain(
            _check, _standing(cpu_millicores=8000), workers_per_zone=4
        )

    def test_worker_that_drains_in_a_drained_zone(self):
        """Guards against tasks that are stopped to start on a neighbour."""

        async def _check(world):
            world.write_request("a")
            await anyio.sleep(0.5)
            world.drain_worker(next(iter(world.running("a").values())))
            await self.wait_until_moved(world, 6, 40.0)
            self.assertEqual(world.most_away(JOB), 2)

        self.run_drain(_check)

    def test_holder_that_fails_meanwhile(self):
        """Guards against a new holder that does not know what has moved."""

        async def _check(world):
            world.write_request("a")
            await anyio.sleep(2)
            self.assertEqual(len(world.running("b")), 2)
            world.kill_host(world.holder_of("shop@a"))
            await self.wait_until_moved(world, 6, 60.0)
            self.assertEqual(world.most_away(JOB), 2)

        self.run_drain(_check)

    def test_store_that_fails_meanwhile(self):
        async def _check(world):
            world.write_request("a")
            await anyio.sleep(2)
            world.store.is_down = True
            await anyio.sleep(5)
            world.store.is_down = False
            await self.wait_until_moved(world, 6, 80.0)
            self.assertEqual(world.most_away(JOB), 2)

        # Leases go on meanwhile as the other hosts confirm the hold.
        self.run_drain(_check, has_host_links=True)

    def test_drain_that_ends_meanwhile(self):
        async def _check(world):
            world.write_request("a")
            await anyio.sleep(2)
            world.end_drain("a")
            await anyio.sleep(4 * NOTICE_S)
            self.assertEqual(len(world.running("a")), 4)
            self.assertEqual(len(world.running("b")), 2)
            host = world.holder_host("shop@a")
            values = builders.gauge_values(host.counters.zone_runs_left)
            self.assertEqual(values, {})

        self.run_drain(_check)


class StopTests(cells_tests.SingleRunCase):
    """Parts of a holder that stop runs to start them on another worker."""

    def test_slowed_filler(self):
        """Guards against fillers that are stopped and can't start again."""

        async def _check():
            worker = builders.make_run_worker("w")
            cell = drain_builders.make_drained_cell([worker])
            filler = builders.make_job(
                "f", is_filler=True, is_checkpointing=True, image="fills"
            )
            run = builders.put_run(worker, filler)
            run.pace_percent = 0
            pacers.FillerPacer(cell=cell)._evict_slowed(worker, [run])
            self.assertFalse(run.is_stopping)
            cell.zone_drains.end("a", anyio.current_time())
            pacers.FillerPacer(cell=cell)._evict_slowed(worker, [run])
            self.assertTrue(run.is_stopping)

        builders.run_virtual(_check)

    def test_serving_task_that_would_be_regrouped(self):
        async def _check():
            cell = drain_builders.make_drained_cell(
                [builders.make_run_worker("w")]
            )
            regrouper = regrouping.Regrouper(cell=cell)
            with mock.patch.object(regrouping.Regrouper, "_best_move") as move:
                move.return_value = None
                filler = builders.make_job("f", is_filler=True, image="fills")
                cell.add_job(filler)
                regrouper.tick(10.0)
                self.assertEqual(move.call_count, 0)
                cell.zone_drains.end("a", anyio.current_time())
                regrouper.tick(10.0)
                self.assertEqual(move.call_count, 1)

        builders.run_virtual(_check)


class WaitingWorkTests(cells_tests.SingleRunCase):
    """A relocator whose cell is in a drained zone."""

    def _run(self, check):
        async def _main():
            await anyio.sleep(100)
            worker = builders.make_run_worker("w", now_s=anyio.current_time())
            cell = drain_builders.make_drained_cell([worker])
            await check(cell, worker, relocation.Relocator(cell=cell))
            worker.close()

        builders.run_virtual(_main)

    def _set_room(self, cell, cores, workers=1):
        group = builders.make_group(cores=cores, workers=workers)
        cell.other_loads = {
            "shop@b": claims.CellLoad(
                free_millicores=1000 * cores, free=[group], total=[group]
            )
        }

    def test_task_with_reserved_room_behind_one_without(self):
        """Guards against a stopped task that waits for an earlier one."""

        async def _check(cell, worker, relocator):
            job = builders.make_job("j", is_standing=True, task_count=3)
            self._set_room(cell, 4)
            # The relocator sees the room before a task waits for it.
            relocator.tick()
            cell.add_job(job)
            builders.put_run(worker, job, index=2)
            cell.update_waiting(job)
            _first, second, _third = job.all_tasks()
            self.assertEqual(
                relocator.reserve_elsewhere(job, second), "shop@b"
            )
            relocator.tick()
            self.assertEqual(
                [task.phase for task in job.all_tasks()],
                [
                    tasks.Phase.WAITING,
                    tasks.Phase.LENT,
                    tasks.Phase.ASSIGNED,
                ],
            )

        self._run(_check)

    def test_runs_beside_a_task_that_is_lent(self):
        """Guards against runs that are stopped for a task that has left."""

        async def _check(cell, worker, relocator):
            job = builders.make_job("j", is_standing=True)
            batch = make_step(is_checkpointing=True, expected_run_ms=30_000)
            job = jobs.Job(
                spec=dataclasses.replace(
                    job.spec, steps=[batch, *job.spec.steps]
                ),
                cell=job.cell,
                bucket=job.bucket,
            )
            job.open_due_occurrences(0)
            cell.add_job(job)
            run = builders.put_run(worker, job, now_s=anyio.current_time())
            cell.update_waiting(job)
            self._set_room(cell, 16, workers=4)
            relocator.tick()
            self.assertEqual(
                [task.phase for task in job.all_tasks()],
                [tasks.Phase.ASSIGNED, tasks.Phase.LENT],
            )
            self.assertFalse(run.is_stopping)

        self._run(_check)


class OtherWorkTests(cells_tests.SingleRunCase):
    """Batch tasks and fillers in a drained zone."""

    def test_batch_tasks_run_to_completion(self):
        async def _check(world):
            world.work_s[JOB] = 5.0
            step = make_step(task_count=4, expected_run_ms=5000)
            await world.submit_to("shop@a", JOB, [step, make_step(after=[0])])
            await anyio.sleep(1)
            self.assertEqual(len(world.running("a")), 4)
            world.write_request("a")
            await world.wait_for(JOB, jobs.JobState.COMPLETED, 15.0)
            self.assertEqual(len(world.starts()), 5)
            self.assertEqual(len(world.starts_in("b", 0.0)), 1)
            self.assertEqual(
                {len(starts) for starts in world.starts().values()}, {1}
            )

        drain_builders.run_drain_world(_check)

    def test_job_whose_waiting_tasks_wait_for_long_runs(self):
        """Guards against a job that waits until its last run here has ended.

        Its runs can go on from a checkpoint.
        """

        async def _check(world):
            world.work_s[JOB] = 30.0
            step = make_step(
                task_count=6,
                cpu_millicores=8000,
                expected_run_ms=30_000,
                is_checkpointing=True,
            )
            world.work_s[OTHER_JOB] = FOREVER_S
            full = make_step(
                task_count=2, cpu_millicores=16000, is_standing=True
            )
            await world.submit_to("shop@a", OTHER_JOB, [full])
            await anyio.sleep(1)
            await world.submit_to("shop@a", JOB, [step])
            await anyio.sleep(1)
            self.assertEqual(len(world.running("a")), 2 + 2)
            world.write_request("a")
            await anyio.sleep(3)
            self.assertEqual(len(world.running("b")), 6)
            self.check_single_runs(world)

        drain_builders.run_drain_world(_check)


class RampTests(cells_tests.SingleRunCase):
    """New jobs after a drain."""

    def _count(self, drains, now_s):
        """Return how many of 1,000 new jobs zone a gets of two alike."""
        loads = {
            cell: claims.CellLoad(
                capacity_millicores=100_000,
                free_millicores=100_000,
                left_millicores=100_000,
            )
            for cell in ("shop@a", "shop@b")
        }
        balancer = balancers.Balancer()
        chosen = [
            balancer.choose(
                list(loads),
                loads,
                specs.JobSpec(
                    id=f"{number:016x}",
                    queue=queues.Queue(name="q"),
                    steps=[make_step()],
                ),
                share_of=lambda cell: drains.share_of(cell[-1], now_s),
            )[0]
            for number in range(1000)
        ]
        return chosen.count("shop@a")

    def test_share_of_new_jobs_rises_in_steps(self):
        """Guards against a surge to a zone whose workers are slow at first."""

        async def _check():
            drains = zone_drains.ZoneDrains(zones=["a", "b"], max_age_s=4.0)
            drains.begin("a", 0.0)
            drains.end("a", 10.0)
            step_s = zone_drains.RAMP_STEP_S
            counts = [
                self._count(drains, 10.0 + step_s * (number + 0.5))
                for number in range(len(zone_drains.RAMP_SHARES) + 1)
            ]
            self.assertEqual(counts, sorted(counts))
            self.assertLess(counts[0], 150)
            self.assertGreater(counts[-1], 400)

        builders.run_virtual(_check)

    def test_second_drain_during_the_ramp(self):
        drains = zone_drains.ZoneDrains(zones=["a", "b"], max_age_s=4.0)
        drains.begin("a", 0.0)
        drains.end("a", 10.0)
        self.assertTrue(drains.begin("a", 11.0))
        self.assertEqual(drains.share_of("a", 11.5), 0.0)
        self.assertFalse(drains.begin("a", 12.0))
        self.assertEqual(drains.end("a", 14.0), 3.0)
        self.assertIsNone(drains.end("a", 14.0))
        self.assertEqual(
            drains.share_of("a", 14.5), zone_drains.RAMP_SHARES[0]
        )
        self.assertEqual(drains.share_of("b", 14.5), 1.0)
