"""Tests of standing tasks whose workers are lost for good in busy zones."""

import unittest

import anyio

from wisteriawood.cells import leases
from wisteriawood.cells import members
from wisteriawood.cells import worker_sessions
from wisteriawood.standins import job_worlds
from wisteriawood.tests import lost_workers_builders as lost_builders

# A standing task is to run again 6 s after its last run; it is missed once
# it has been away for 3 s more.
BOUND_S = 9.0
# The lease of a worker until it has certainly ended, the tick of the holder,
# and the time of its calls.
LEASE_BOUND_S = (
    job_worlds.LEASE_S * leases.CLOCK_DRIFT_RATIO
    + leases.LAPSE_MARGIN_S
    + 0.25
    + 0.1
)
# Time in which a holder notices that a worker is silent: the longest wait for
# an answer, and the timeout of the call.
SILENCE_S = 1.9
# Least time left of a lease when it is granted: it counts from the last sign
# of life of the holder.
LEAST_LEASE_S = job_worlds.LEASE_S - members.HEARTBEAT_PERIOD_S
# Longest time between the last renewal of a worker's lease and its loss.
RENEWAL_S = worker_sessions.RENEW_WAIT_MS / 1000
# CPU cores of standing tasks that fill a worker together with 34 others, of
# some more, and of all of these.
FULL_SIZES = (1.5, 2.5, 5, 7, 8, 10)
SIZES = (1.5, 3, 6, 9, 13)
STANDING_CORES = 100.5
# The same of twelve wide tasks.
WIDE_CORES = 128
# Part of the CPU left to batch work that it must use after a loss, and the
# span of time in which it must.
LEAST_BATCH_SHARE = 0.5
BATCH_SPAN_S = 12.0
# Longest time in that span in which no batch task of a zone may end.
LONGEST_PAUSE_S = 1.5


class LostWorkersCase(unittest.TestCase):
    """Loses workers, and checks that their standing tasks run in time."""

    maxDiff = None

    def run_world(self, check, **fields):
        """Run an async function, and check the runs of its world."""

        async def _main(busy):
            with self.subTest("runs in time"):
                await check(busy)
            with self.subTest("runs once"):
                self.assertEqual(busy.overlaps(), [])
                self.assertEqual(busy.done_twice(), [])

        lost_builders.run_busy_world(_main, **fields)

    async def check_restarts(self, busy):
        """Wait, and check that all lost standing tasks run in time."""
        await anyio.sleep(BOUND_S)
        self.check_gaps(busy)

    def check_gaps(self, busy):
        """Check that all lost standing tasks have run again in time."""
        gaps_s = busy.gaps_s()
        self.assertTrue(gaps_s)
        late = {
            task: gap_s
            for task, gap_s in gaps_s.items()
            if gap_s is None or gap_s > BOUND_S
        }
        self.assertEqual(late, {}, f"{len(late)} of {len(gaps_s)} are late")
        running = busy.world.running()
        away = [
            name for name, _on, _at_s in busy.losses if name not in running
        ]
        self.assertEqual(away, [])

    def check_batch(self, busy, zone, from_s, standing_cores):
        """Check that batch work has used the CPU that it could."""
        left = busy.capacity(zone) - standing_cores
        done = busy.batch_core_s(zone, from_s, from_s + BATCH_SPAN_S)
        self.assertGreater(done, LEAST_BATCH_SHARE * left * BATCH_SPAN_S)
        pause_s = busy.longest_batch_pause_s(
            zone, from_s, from_s + BATCH_SPAN_S
        )
        self.assertLess(pause_s, LONGEST_PAUSE_S)


class LeaseTests(LostWorkersCase):
    """Starts go on to the only worker with room, which is lost."""

    def _run(self, is_refusing):
        for after_s in (1.0, 1.3, 1.7):
            with self.subTest(after_s=after_s):
                self._run_once(is_refusing, after_s)

    def _run_once(self, is_refusing, after_s):
        async def _check(busy):
            await busy.add_workers("a", "kept")
            await busy.add_standing("a", 15.9, count=4)
            await busy.wait_for_standing(kept=4)
            await busy.add_workers("a", "lost", cores=256)
            await busy.add_standing("a", 10, count=3)
            await busy.wait_for_standing(kept=4, lost=3)
            async with anyio.create_task_group() as group:
                group.start_soon(self._submit_small, busy)
                await anyio.sleep(after_s)
                busy.lose("lost", is_refusing=is_refusing)
                recorded_s = await busy.wait_until_recorded("lost")
                group.cancel_scope.cancel()
            self.assertLess(recorded_s, LEASE_BOUND_S)

        self.run_world(_check, zones=["a"])

    async def _submit_small(self, busy):
        while True:
            await busy.add_batch("a", 1, 1, 60.0)
            await anyio.sleep(0.1)

    def test_starts_to_a_refusing_worker_do_not_prolong_its_lease(self):
        """Guards against starts that keep the runs of a lost worker alive."""
        self._run(is_refusing=True)

    def test_starts_to_a_silent_worker_do_not_prolong_its_lease(self):
        """Guards against starts that keep the runs of a lost worker alive."""
        self._run(is_refusing=False)


class TwoWorkersTests(LostWorkersCase):
    """Two workers of zone a are lost at once, with 15 standing tasks."""

    async def _add_lost(self, busy):
        await busy.add_workers("a", "lost_0")
        for cores in FULL_SIZES:
            await busy.add_standing("a", cores)
        await busy.add_standing("a", 13, count=2, most_per_worker=2)
        await busy.add_workers("a", "lost_1")
        await busy.add_standing("a", 4, count=2, most_per_worker=1)
        await busy.wait_for_standing(lost_0=9, lost_1=1)
        for cores in SIZES:
            await busy.add_standing("a", cores)
        await busy.wait_for_standing(lost_0=9, lost_1=6)

    async def _add_wide_lost(self, busy):
        for name in ("lost_0", "lost_1"):
            await busy.add_workers("a", name)
            await busy.add_standing("a", 13, count=4)
            await busy.add_standing("a", 6, count=2, most_per_worker=2)
            await busy.wait_for_standing(**{name: 6})

    async def _fill_kept(self, busy):
        """Add workers to zone a that have room for nothing else."""
        await busy.add_workers("a", "kept_0", "kept_1")
        await busy.add_standing("a", 16, count=8)
        await busy.wait_for_standing(kept_0=4, kept_1=4)

    def _run_with_room_here(
        self,
        zones,
        is_refusing,
        sizes=lost_builders.MIXED_CORES,
        has_wide_tasks=False,
        seed=1,
    ):
        async def _check(busy):
            if has_wide_tasks:
                await self._add_wide_lost(busy)
            else:
                await self._add_lost(busy)
            kept_count = 3 if has_wide_tasks else 4
            kept = [f"kept_{number}" for number in range(kept_count)]
            await busy.add_workers("a", *kept)
            for zone in zones[1:]:
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(2)))
            await busy.keep_busy(*zones, sizes=sizes)
            lost_at_s = anyio.current_time()
            busy.lose("lost_0", "lost_1", is_refusing=is_refusing)
            await self.check_restarts(busy)
            await anyio.sleep(BATCH_SPAN_S - BOUND_S)
            self.check_batch(
                busy, "a", lost_at_s, standing_cores=STANDING_CORES
            )

        self.run_world(_check, zones=zones, seed=seed)

    def test_refusing_workers_of_the_only_zone(self):
        """Guards against batch tasks that take all room that becomes free."""
        self._run_with_room_here(["a"], is_refusing=True)

    def test_silent_workers_of_the_only_zone(self):
        """Guards against batch tasks that take all room that becomes free."""
        self._run_with_room_here(["a"], is_refusing=False)

    def test_refusing_workers_beside_small_batch_tasks(self):
        """Guards against small tasks that take each part that gets free."""
        sizes = lost_builders.SMALL_CORES
        self._run_with_room_here(["a"], is_refusing=True, sizes=sizes)

    def test_wide_tasks_beside_small_batch_tasks(self):
        """Guards against wide tasks that get room one after the other."""
        for seed in (1, 4):
            with self.subTest(seed=seed):
                self._run_with_room_here(
                    ["a"],
                    is_refusing=True,
                    sizes=lost_builders.SMALL_CORES,
                    has_wide_tasks=True,
                    seed=seed,
                )

    def test_wide_tasks_beside_small_batch_tasks_in_three_zones(self):
        """Guards against wide tasks that get room one after the other."""
        self._run_with_room_here(
            ["a", "b", "c"],
            is_refusing=True,
            sizes=lost_builders.SMALL_CORES,
            has_wide_tasks=True,
        )

    def test_refusing_workers_among_three_busy_zones(self):
        """Guards against tasks that wait for each other, here or elsewhere."""
        self._run_with_room_here(["a", "b", "c"], is_refusing=True)

    def _run_without_room_here(self, is_refusing):
        async def _check(busy):
            await self._fill_kept(busy)
            await self._add_lost(busy)
            for zone in ("b", "c"):
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(4)))
            await busy.keep_busy("b", "c")
            lost_at_s = anyio.current_time()
            busy.lose("lost_0", "lost_1", is_refusing=is_refusing)
            await self.check_restarts(busy)
            await anyio.sleep(BATCH_SPAN_S - BOUND_S)
            for zone in ("b", "c"):
                self.check_batch(
                    busy, zone, lost_at_s, standing_cores=STANDING_CORES
                )

        self.run_world(_check)

    def test_refusing_workers_of_a_full_zone_beside_busy_ones(self):
        """Guards against other zones whose batch tasks take all free room."""
        self._run_without_room_here(is_refusing=True)

    def test_silent_workers_of_a_full_zone_beside_busy_ones(self):
        """Guards against other zones whose batch tasks take all free room."""
        self._run_without_room_here(is_refusing=False)


class WholeZoneTests(LostWorkersCase):
    """All workers of zone a are lost at once; zones b and c are busy."""

    def _run(self, is_refusing, sizes=lost_builders.MIXED_CORES):
        async def _check(busy):
            lost = [f"a{number}" for number in range(3)]
            await busy.add_workers("a", *lost)
            await busy.add_standing("a", 4, count=3, most_per_worker=1)
            for cores in FULL_SIZES + SIZES:
                await busy.add_standing("a", cores)
            await busy.add_standing("a", 13, count=2, most_per_worker=1)
            for zone in ("b", "c"):
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(4)))
            await busy.keep_busy("a", "b", "c", sizes=sizes)
            self.assertEqual(len(busy.standing_on(*lost)), 16)
            lost_at_s = anyio.current_time()
            busy.lose(*lost, is_refusing=is_refusing)
            await self.check_restarts(busy)
            await anyio.sleep(BATCH_SPAN_S - BOUND_S)
            for zone in ("b", "c"):
                self.check_batch(
                    busy, zone, lost_at_s, standing_cores=STANDING_CORES
                )

        self.run_world(_check)

    def test_refusing_workers_of_a_whole_zone(self):
        """Guards against jobs that find no room in busy zones."""
        self._run(is_refusing=True)

    def test_refusing_workers_beside_small_batch_tasks(self):
        """Guards against small tasks that take each part that gets free."""
        self._run(is_refusing=True, sizes=lost_builders.SMALL_CORES)

    def test_wide_tasks_beside_small_batch_tasks(self):
        """Guards against wide jobs that find no room in busy zones."""

        async def _check(busy):
            lost = ("a0", "a1", "a2")
            await busy.add_workers("a", *lost)
            for cores in (9, 10, 13):
                await busy.add_standing("a", cores, count=4)
            await anyio.sleep(lost_builders.PLACING_S)
            for zone in ("b", "c"):
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(3)))
            sizes = lost_builders.SMALL_CORES
            await busy.keep_busy("b", "c", sizes=sizes)
            self.assertEqual(len(busy.standing_on(*lost)), 12)
            busy.lose(*lost)
            await self.check_restarts(busy)

        self.run_world(_check)

    def test_silent_workers_of_a_whole_zone(self):
        """Guards against jobs that find no room in busy zones."""
        self._run(is_refusing=False)


class PartOfJobTests(LostWorkersCase):
    """A part of a job, or all of it, is lost in a zone without room."""

    def _run(self, add_job):
        async def _check(busy):
            await add_job(busy)
            for zone in ("b", "c"):
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(3)))
            await busy.keep_busy("b", "c")
            busy.lose("lost")
            await self.check_restarts(busy)

        self.run_world(_check)

    def test_one_task_of_a_job_that_runs(self):
        """Guards against five running tasks that hide the sixth."""

        async def _add_job(busy):
            await busy.add_workers("a", "kept_0", "kept_1", "lost")
            await busy.add_standing("a", 9, count=3, most_per_worker=1)
            await busy.wait_for_standing(kept_0=1, kept_1=1, lost=1)

        self._run(_add_job)

    def test_all_tasks_of_a_job(self):
        """Guards against a move that waits for room in a busy zone."""

        async def _add_job(busy):
            await busy.add_workers("a", "kept")
            await busy.add_standing("a", 16, count=4)
            await busy.wait_for_standing(kept=4)
            await busy.add_workers("a", "lost")
            await busy.add_standing("a", 9, count=3)
            await busy.wait_for_standing(kept=4, lost=3)

        self._run(_add_job)


class FillersTests(LostWorkersCase):
    """Fillers hold the memory that lost standing tasks need."""

    def _run(self, work_s, **fields):
        async def _check(busy):
            await busy.add_workers("a", "lost", memory_mb=64_000)
            await busy.add_standing("a", 4, count=3, memory_mb=16_000)
            await busy.wait_for_standing(lost=3)
            await busy.add_workers("a", "k0", "k1", "k2", memory_mb=64_000)
            for _job in range(6):
                await busy.add_batch(
                    "a",
                    2,
                    12,
                    work_s,
                    memory_mb=10_000,
                    is_filler=True,
                    image="fills",
                    **fields,
                )
            await anyio.sleep(lost_builders.PLACING_S)
            for name in ("k0", "k1", "k2"):
                self.assertEqual(len(busy.world.workers[name].runs), 6)
            self.assertEqual(len(busy.standing_on("lost")), 3)
            busy.lose("lost")
            await self.check_restarts(busy)

        self.run_world(_check, zones=["a"])

    def test_fillers_that_checkpoint(self):
        """Guards against fillers that are not stopped for standing tasks."""
        self._run(60.0, is_checkpointing=True)

    def test_fillers_that_do_not_checkpoint(self):
        """Guards against fillers that are not stopped for standing tasks."""
        self._run(60.0)

    def test_short_fillers_with_a_long_queue(self):
        """Guards against fillers that take the memory of ended ones."""
        self._run(2.5)


class SecondLossTests(LostWorkersCase):
    def test_worker_with_restarted_tasks_is_lost_as_well(self):
        """Guards against a second loss that finds tasks without a claim."""

        async def _check(busy):
            await busy.add_workers("a", "lost")
            for cores in SIZES:
                await busy.add_standing("a", cores)
            await busy.wait_for_standing(lost=len(SIZES))
            for zone in ("a", "b", "c"):
                await busy.add_workers(zone, *(f"{zone}{n}" for n in range(4)))
            await busy.keep_busy("a", "b", "c")
            self.assertEqual(len(busy.standing_on("lost")), len(SIZES))
            busy.lose("lost")
            await self.check_restarts(busy)
            live = [w for w in busy.world.workers if w != "lost"]
            second = max(live, key=lambda w: len(busy.standing_on(w)))
            busy.lose(second)
            await self.check_restarts(busy)

        self.run_world(_check)

    def test_worker_is_lost_right_after_the_restart(self):
        """Guards against starts without an answer that hide a loss."""

        async def _check(busy):
            await busy.add_workers("a", "lost")
            await busy.add_standing("a", 8, count=4)
            await busy.wait_for_standing(lost=4)
            await busy.add_workers("a", "k0", "k1", "k2", "k3")
            await busy.keep_busy("a")
            busy.lose("lost")
            kept = ("k0", "k1", "k2", "k3")
            with anyio.move_on_after(BOUND_S):
                while not busy.standing_on(*kept):
                    await anyio.sleep(lost_builders.POLL_S)
            second, *_others = [w for w in kept if busy.standing_on(w)]
            busy.lose(second, is_refusing=False)
            await self.check_restarts(busy)

        self.run_world(_check, zones=["a"])


class UnansweredStartsTests(LostWorkersCase):
    """A second worker is lost before the tasks of a first one get room.

    It is their tightest fit, and the holder knows by then that it is lost.
    """

    def _run(self, wait_s, is_refusing):
        async def _check(busy):
            await busy.add_workers("a", "lost")
            await busy.add_standing("a", 8, count=4)
            await busy.wait_for_standing(lost=4)
            await busy.add_workers("a", "kept")
            await busy.add_workers("a", "second", cores=40)
            self.assertEqual(len(busy.standing_on("lost")), 4)
            busy.lose("lost")
            await anyio.sleep(wait_s)
            busy.lose("second", is_refusing=is_refusing)
            await anyio.sleep(BOUND_S - wait_s)
            self.check_gaps(busy)

        self.run_world(_check, zones=["a"])

    def test_worker_that_refuses_is_not_chosen(self):
        """Guards against starts to a worker that refuses connections."""
        self._run(LEAST_LEASE_S - RENEWAL_S, is_refusing=True)

    def test_worker_that_has_fallen_silent_is_not_chosen(self):
        """Guards against starts to a worker that did not answer a call."""
        self._run(LEAST_LEASE_S - SILENCE_S, is_refusing=False)


class ReleaseTests(LostWorkersCase):
    def test_holder_is_replaced_early_in_the_wait(self):
        """Guards against a new holder that waits for unknown leases."""
        self._run(2.0)

    def test_holder_is_replaced_late_in_the_wait(self):
        """Guards against a new holder that begins the wait anew."""
        self._run(5.0)

    def _run(self, wait_s):
        async def _check(busy):
            await busy.add_workers("a", "lost")
            for cores in SIZES:
                await busy.add_standing("a", cores)
            await busy.wait_for_standing(lost=len(SIZES))
            await busy.add_workers("a", "k0", "k1", "k2")
            self.assertEqual(len(busy.standing_on("lost")), len(SIZES))
            busy.lose("lost")
            await anyio.sleep(wait_s)
            former = busy.world.holder_of("shop@a")
            await busy.world.hosts[former].drain()
            busy.world.kill_host(former)
            await anyio.sleep(BOUND_S - wait_s)
            self.check_gaps(busy)
            self.assertNotIn(busy.world.holder_of("shop@a"), ("", former))

        self.run_world(_check, zones=["a"])


if __name__ == "__main__":
    unittest.main()
