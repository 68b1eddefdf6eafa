import unittest
from unittest import mock

import anyio

from wisteriawood.contracts import quotas
from wisteriawood.contracts import tasks
from wisteriawood.links import jobs
from wisteriawood.machines import probations
from wisteriawood.machines import slow_starts
from wisteriawood.tests import builders


def _started(starts):
    return [start.placement.task.spec.id for start in starts]


def _count_by_team(starts):
    counts = {}
    for start in starts:
        team = start.placement.task.spec.team
        counts[team] = counts.get(team, 0) + 1
    return counts


def _eight_cores(id, **fields):
    needs = builders.make_resources(cores=8.0)
    return builders.make_spec(id=id, needs=needs, task_class="x", **fields)


class QueueTests(unittest.TestCase):

    def setUp(self):
        # Most tests do not cover the slow start of new classes.
        patcher = mock.patch.object(
            slow_starts, "MAX_UNMEASURED_TASKS", 10_000
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_flooding_team_gets_only_its_share(self):
        allocator = builders.make_allocator(builders.make_workers(4))
        for number in range(500):
            spec = _eight_cores(f"flood-{number}", team="flood")
            builders.enqueue(allocator, spec)
        for number in range(20):
            spec = _eight_cores(f"calm-{number}", team="calm")
            builders.enqueue(allocator, spec, now_s=5.0)
        teams = _count_by_team(allocator.place(now_s=6.0))
        self.assertEqual({"flood": 16, "calm": 16}, teams)

    def test_weights_divide_the_workers_between_teams(self):
        shares = {"a": quotas.Quota(team="a", weight=3.0)}
        allocator = builders.make_allocator(
            builders.make_workers(4), team_quotas=quotas.Quotas(quotas=shares)
        )
        for number in range(40):
            for team in ("a", "b"):
                spec = _eight_cores(f"{team}-{number}", team=team)
                builders.enqueue(allocator, spec)
        teams = _count_by_team(allocator.place(now_s=1.0))
        self.assertEqual({"a": 24, "b": 8}, teams)

    def test_limit_of_a_quota_holds_and_is_explained(self):
        limit = builders.make_resources(cores=16.0, memory_bytes=2**40)
        allocator = builders.make_allocator(
            builders.make_workers(4),
            team_quotas=quotas.Quotas(
                quotas={"a": quotas.Quota(team="a", limit=limit)}
            ),
        )
        entries = [
            builders.enqueue(allocator, _eight_cores(f"a-{number}", team="a"))
            for number in range(4)
        ]
        self.assertEqual(2, len(allocator.place(now_s=1.0)))
        self.assertIn("limit of its quota", entries[3].reason)

    def test_priority_goes_first_until_others_have_waited(self):
        allocator = builders.make_allocator(builders.make_workers(1))
        for worker in builders.make_workers(1):
            allocator.refresh([worker], now_s=0.0)
            needs = builders.make_resources(cores=56.0)
            builders.add_placement(
                worker, builders.make_spec(id="filling", needs=needs)
            )
        builders.enqueue(allocator, _eight_cores("low"), now_s=0.0)
        builders.enqueue(
            allocator, _eight_cores("high", priority=1), now_s=30.0
        )
        builders.enqueue(
            allocator, _eight_cores("late", priority=1), now_s=90.0
        )
        order = [
            waiting.task.spec.id
            for waiting in allocator.queue.by_share(lambda team: 0.0)
        ]
        self.assertEqual(["high", "low", "late"], order)
        self.assertEqual(["high"], _started(allocator.place(now_s=91.0)))

    def test_large_job_starts_despite_steady_small_ones(self):
        workers = builders.make_workers(4)
        allocator = builders.make_allocator(workers)
        large = builders.make_spec(
            id="large", needs=builders.make_resources(cores=60.0)
        )
        ends_s = {}
        started_s = None
        for now_s in range(400):
            spec = _eight_cores(f"small-{now_s}")
            builders.enqueue(allocator, spec, now_s=now_s)
            if now_s == 50:
                builders.enqueue(allocator, large, now_s=now_s)
            for worker in workers:
                for task_id in list(worker.placements):
                    if ends_s.get(task_id, 1e9) <= now_s:
                        worker.remove(task_id)
            allocator.refresh(workers, now_s=now_s)
            for task_id in _started(allocator.place(now_s=now_s)):
                ends_s[task_id] = now_s + 40 + len(ends_s) % 7
                if task_id == "large":
                    started_s = now_s
        self.assertIsNotNone(started_s)
        self.assertLess(started_s, 50 + 120)

    def test_large_jobs_reserve_few_workers(self):
        workers = builders.make_workers(10)
        for worker in workers:
            builders.add_placement(worker, _eight_cores(f"old-{worker.name}"))
        allocator = builders.make_allocator(workers)
        for number in range(10):
            needs = builders.make_resources(cores=64.0)
            builders.enqueue(
                allocator,
                builders.make_spec(id=f"large-{number}", needs=needs),
            )
        allocator.place(now_s=60.0)
        reserved = [
            entry
            for entry in allocator.index.entries.values()
            if entry.reserved_for
        ]
        self.assertEqual(1, len(reserved))
        builders.enqueue(allocator, _eight_cores("small"), now_s=60.0)
        self.assertEqual(["small"], _started(allocator.place(now_s=61.0)))

    def test_borrowed_share_is_reclaimed(self):
        workers = builders.make_workers(2)
        for number in range(16):
            builders.add_placement(
                workers[number % 2],
                _eight_cores(f"b-{number}", team="borrower"),
            )
        allocator = builders.make_allocator(workers)
        for number in range(16):
            spec = _eight_cores(f"o-{number}", team="owner")
            builders.enqueue(allocator, spec)
        evicted = 0
        for now_s in range(1, 60):
            allocator.refresh(workers, now_s=now_s)
            allocator.place(now_s=now_s)
            if now_s <= 10:
                continue
            for worker in workers:
                for task_id, placement in list(worker.placements.items()):
                    if placement.eviction_reason:
                        self.assertEqual("borrower", placement.task.spec.team)
                        worker.remove(task_id)
                        evicted += 1
        # Exactly the owner's fair share, half of the zone, is reclaimed.
        self.assertEqual(8, evicted)


class WaitingTaskTests(unittest.TestCase):

    def test_impossible_job_ends_without_an_attempt(self):
        async def _check(world):
            world.add_worker(builders.make_worker_host())
            scheduler = world.add_scheduler(builders.make_member())
            needs = builders.make_resources(cores=1.0, accelerators=1)
            spec = builders.make_spec(needs=needs)
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(15)
            task = await jobs.find(world.platform, spec.id)
            self.assertEqual(tasks.TaskState.IMPOSSIBLE, task.state)
            self.assertIn("1 accelerators; submit it with", task.reason)
            self.assertEqual(0, task.attempt)
            self.assertEqual({}, scheduler.placer.pending)

        builders.run_world(_check)

    def test_job_that_waits_for_room_is_not_impossible(self):
        async def _check(world):
            world.add_worker(builders.make_worker_host())
            scheduler = world.add_scheduler(builders.make_member())
            needs = builders.make_resources(cores=60.0)
            specs = [
                builders.make_spec(id=f"task-{number}", needs=needs, run_s=900)
                for number in range(2)
            ]
            await jobs.submit(world.platform, specs, zone="linz-a")
            await anyio.sleep(20)
            (waiting,) = scheduler.placer.pending
            reason = scheduler.placer.explain(waiting)
            self.assertIn("no worker has 60 cores", reason)

        builders.run_world(_check)

    def test_urgent_job_evicts_and_starts_in_time(self):
        async def _check(world):
            worker = world.add_worker(builders.make_worker_host())
            world.add_scheduler(builders.make_member())
            needs = builders.make_resources(cores=30.0)
            specs = [
                builders.make_spec(id=f"task-{number}", needs=needs, run_s=900)
                for number in range(2)
            ]
            await jobs.submit(world.platform, specs, zone="linz-a")
            await anyio.sleep(20)
            urgent = builders.make_spec(
                id="urgent", needs=needs, run_s=900, urgent=True
            )
            submitted_s = anyio.current_time()
            await jobs.submit(world.platform, [urgent], zone="linz-a")
            await anyio.sleep(10)
            (record,) = [r for r in worker.records if r.task == "urgent"]
            self.assertLess(record.started_s - submitted_s, 1.6)
            self.assertEqual(3, len(worker.records))

        builders.run_world(_check)

    def test_worker_that_always_fails_gets_few_attempts(self):
        async def _check(world):
            bad = world.add_worker(builders.make_worker_host(name="bad"))
            world.add_worker(builders.make_worker_host(name="good-1"))
            world.add_worker(builders.make_worker_host(name="good-2"))
            bad.faults.fails_everything = True
            world.add_scheduler(builders.make_member())
            specs = [
                builders.make_spec(id=f"task-{number}", run_s=2.0)
                for number in range(60)
            ]
            await jobs.submit(world.platform, specs, zone="linz-a")
            await anyio.sleep(120)
            for spec in specs:
                task = await jobs.find(world.platform, spec.id)
                self.assertEqual(tasks.TaskState.FINISHED, task.state)
            # Attempts started before the first failures were recorded, and a
            # few after each probation.
            self.assertLess(len(bad.records), 20)

        builders.run_world(_check)


class ProbationTests(unittest.TestCase):

    def _fail(self, tracker, worker, task, *, now_s=0.0, count=10):
        return tracker.record_failure(
            worker=worker, task=task, now_s=now_s, worker_count=count
        )

    def test_failures_of_several_jobs_put_worker_on_probation(self):
        tracker = probations.Probations()
        self.assertFalse(self._fail(tracker, "w", "a"))
        self.assertFalse(self._fail(tracker, "w", "a"))
        self.assertFalse(self._fail(tracker, "w", "b"))
        self.assertTrue(self._fail(tracker, "w", "c"))
        self.assertTrue(tracker.is_on_probation("w", 59.0))
        self.assertFalse(tracker.is_on_probation("w", 61.0))

    def test_job_that_fails_on_several_workers_is_faulty(self):
        tracker = probations.Probations()
        for task in ("a", "b", "c"):
            for worker in ("w-1", "w-2", "w-3"):
                self._fail(tracker, worker, task)
        self.assertTrue(tracker.is_faulty("c"))
        # Each job counted as faulty once it failed on the third worker.
        self.assertFalse(tracker.is_on_probation("w-3", 1.0))

    def test_probation_never_covers_all_workers(self):
        tracker = probations.Probations()
        for worker in ("w-1", "w-2", "w-3"):
            for number in range(5):
                self._fail(tracker, worker, f"{worker}-{number}", count=3)
        on_probation = [
            worker
            for worker in ("w-1", "w-2", "w-3")
            if tracker.is_on_probation(worker, 1.0)
        ]
        self.assertEqual(["w-1"], on_probation)

    def test_probation_doubles_and_success_ends_it(self):
        tracker = probations.Probations()
        for number in range(3):
            self._fail(tracker, "w", f"a-{number}")
        self.assertTrue(self._fail(tracker, "w", "b", now_s=61.0))
        self.assertTrue(tracker.is_on_probation("w", 61.0 + 119.0))
        tracker.record_success(worker="w", task="b")
        self.assertFalse(tracker.is_on_probation("w", 62.0))
