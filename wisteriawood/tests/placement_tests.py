import random
import unittest
from unittest import mock

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.machines import monitors
from wisteriawood.machines import slow_starts
from wisteriawood.policies import interference
from wisteriawood.policies.placement import base
from wisteriawood.policies import sizes
from wisteriawood.tests import builders

GIB = builders.GIB


def _service(number, **fields):
    return builders.make_spec(
        id=f"service-{number}", kind=tasks.TaskKind.SERVICE, **fields
    )


def _workers_of(starts):
    return [start.worker.name for start in starts]


class IndexTests(unittest.TestCase):

    def test_sample_agrees_with_a_scan(self):
        rng = random.Random(5)
        workers = builders.make_workers(60)
        index = indexes.WorkerIndex(rng=rng)
        for number in range(400):
            worker = rng.choice(workers)
            if worker.placements and rng.random() < 0.4:
                worker.remove(rng.choice(list(worker.placements)))
            else:
                needs = builders.make_resources(
                    cores=rng.uniform(0.5, 20),
                    memory_bytes=rng.randint(1, 60) * GIB,
                )
                spec = builders.make_spec(id=f"t-{number}", needs=needs)
                if needs.fits(worker.free):
                    builders.add_placement(worker, spec)
            worker.leaving = rng.random() < 0.05
            index.refresh(workers)
            wanted = builders.make_resources(
                cores=rng.uniform(0.5, 64),
                memory_bytes=rng.randint(1, 250) * GIB,
            )
            with mock.patch.object(indexes, "BORDERLINE_SAMPLE_SIZE", 60):
                drawn = index.sample(wanted, 60)
            self.assertCountEqual(
                [e.worker.name for e in index.fitting(wanted)],
                [e.worker.name for e in drawn],
            )
            self.assertEqual(len(drawn), len({id(e) for e in drawn}))

    def test_sample_skips_worker_filled_since_last_update(self):
        (worker,) = builders.make_workers(1)
        index = indexes.WorkerIndex(rng=random.Random(1))
        index.refresh([worker])
        needs = builders.make_resources(cores=40.0)
        builders.add_placement(worker, builders.make_spec(needs=needs))
        self.assertEqual([], index.sample(needs, 4))

    def test_team_share_follows_tasks_and_workers(self):
        workers = builders.make_workers(2)
        index = indexes.WorkerIndex(rng=random.Random(1))
        needs = builders.make_resources(cores=32.0)
        builders.add_placement(workers[0], builders.make_spec(needs=needs))
        index.refresh(workers)
        self.assertEqual(0.25, index.team_share("vitrinenklima"))
        index.refresh(workers[:1])
        self.assertEqual(0.5, index.team_share("vitrinenklima"))
        workers[0].remove("task-1")
        index.refresh(workers[:1])
        self.assertEqual(0.0, index.team_share("vitrinenklima"))


class PlacementTests(unittest.TestCase):

    def setUp(self):
        patcher = mock.patch.object(
            slow_starts, "MAX_UNMEASURED_TASKS", 10_000
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_every_policy_keeps_within_capacity(self):
        for policy in base.PLACEMENT.names():
            rng = random.Random(3)
            capacity = builders.make_resources(
                cores=64.0, memory_bytes=250 * GIB, accelerators=4
            )
            workers = builders.make_workers(10, capacity=capacity)
            allocator = builders.make_allocator(workers, placement=policy)
            for number in range(400):
                needs = builders.make_resources(
                    cores=rng.choice((0.5, 3.0, 17.0)),
                    memory_bytes=rng.choice((1, 30, 100)) * GIB,
                    accelerators=rng.choice((0, 0, 1, 3)),
                )
                kind = rng.choice(list(tasks.TaskKind))
                spec = builders.make_spec(
                    id=f"t-{number}", kind=kind, needs=needs
                )
                builders.enqueue(allocator, spec)
            allocator.place(now_s=0.0)
            with self.subTest(policy=policy):
                self.assertTrue(any(w.placements for w in workers))
                for worker in workers:
                    self.assertTrue(resources.NOTHING.fits(worker.free))

    def test_services_are_spread_over_racks(self):
        workers = builders.make_workers(24)
        allocator = builders.make_allocator(workers)
        for number in range(12):
            builders.enqueue(allocator, _service(number))
        racks = [s.worker.rack for s in allocator.place(now_s=0.0)]
        counts = sorted(racks.count(rack) for rack in set(racks))
        self.assertEqual([4, 4, 4], counts)

    def test_leaving_disconnected_and_failed_workers_get_no_tasks(self):
        workers = builders.make_workers(4)
        workers[0].leaving = True
        workers[1].is_connected = False
        allocator = builders.make_allocator(workers)
        waiting = builders.enqueue(allocator, builders.make_spec())
        waiting.task.failures = ["worker-2"]
        starts = allocator.place(now_s=0.0)
        self.assertEqual(["worker-3"], _workers_of(starts))

    def test_noisy_job_is_placed_apart_from_services(self):
        workers = builders.make_workers(2)
        builders.add_placement(workers[0], _service(1, task_class="shop"))
        allocator = builders.make_allocator(workers)
        noisy = interference.Neighbour(name="kroupa/noisy", load=0.125)
        for now_s in range(30):
            allocator.estimates.observe(
                "vitrinenklima/shop", [noisy], slowdown=1.3, now_s=now_s
            )
        for number in range(6):
            needs = builders.make_resources(cores=8.0)
            spec = builders.make_spec(
                id=f"n-{number}",
                team="kroupa",
                needs=needs,
                task_class="noisy",
            )
            builders.enqueue(allocator, spec, now_s=30.0)
        starts = allocator.place(now_s=30.0)
        self.assertEqual({"worker-1"}, set(_workers_of(starts)))

    def test_harmful_job_waits_then_starts_throttled(self):
        (worker,) = builders.make_workers(1)
        builders.add_placement(worker, _service(1, task_class="shop"))
        allocator = builders.make_allocator([worker])
        noisy = interference.Neighbour(name="kroupa/noisy", load=0.25)
        for now_s in range(30):
            allocator.estimates.observe(
                "vitrinenklima/shop", [noisy], slowdown=1.2, now_s=now_s
            )
        needs = builders.make_resources(cores=16.0)
        spec = builders.make_spec(
            team="kroupa", needs=needs, task_class="noisy"
        )
        waiting = builders.enqueue(allocator, spec, now_s=30.0)
        self.assertEqual([], allocator.place(now_s=31.0))
        self.assertIn("services there would be slowed", waiting.reason)
        (start,) = allocator.place(now_s=120.0)
        self.assertEqual(0.25, start.placement.throttle)


class SizeTests(unittest.TestCase):

    def _learn(self, size_estimator, *, factors, count=20):
        rng = random.Random(2)
        for _number in range(count):
            true = builders.make_resources(
                cores=4.0 * rng.uniform(0.9, 1.1),
                memory_bytes=int(8 * GIB * rng.uniform(0.9, 1.1)),
            )
            factor = rng.choice(factors)
            declared = builders.make_resources(
                cores=true.cores * factor,
                memory_bytes=int(true.memory_bytes * factor),
            )
            size_estimator.observe("c", declared=declared, used=true)

    def test_declared_sizes_wrong_by_ten_times_are_corrected(self):
        for factors in ((10.0,), (0.1,), (0.1, 10.0)):
            size_estimator = sizes.SizeEstimator()
            self._learn(size_estimator, factors=factors)
            for factor in factors:
                declared = builders.make_resources(
                    cores=4.0 * factor, memory_bytes=int(8 * GIB * factor)
                )
                predicted = size_estimator.predict("c", declared)
                with self.subTest(factors=factors, factor=factor):
                    self.assertAlmostEqual(4.0, predicted.cores, delta=0.8)
                    self.assertGreater(predicted.memory_bytes, 8 * GIB)
                    self.assertLess(predicted.memory_bytes, 11 * GIB)

    def test_declared_size_is_used_with_few_samples(self):
        size_estimator = sizes.SizeEstimator()
        self._learn(size_estimator, factors=(10.0,), count=3)
        declared = builders.make_resources(cores=40.0)
        self.assertIs(declared, size_estimator.predict("c", declared))

    def test_unknown_class_starts_slowly(self):
        workers = builders.make_workers(8)
        allocator = builders.make_allocator(workers)
        monitor = monitors.Monitor(allocator=allocator)
        specs = [
            builders.make_spec(id=f"t-{number}", task_class="new")
            for number in range(40)
        ]
        for spec in specs:
            builders.enqueue(allocator, spec)
        self.assertEqual(
            slow_starts.MAX_UNMEASURED_TASKS, len(allocator.place(now_s=0.0))
        )
        self.assertEqual([], allocator.place(now_s=1.0))
        for now_s in (2.0, 3.0):
            for worker in workers:
                reports = [
                    builders.make_usage(p.task.spec, measured_s=now_s)
                    for p in worker.placements.values()
                ]
                monitor.observe(worker, reports, now_s=now_s)
        self.assertEqual(32, len(allocator.place(now_s=4.0)))

    def test_use_beyond_memory_evicts_until_it_fits(self):
        (worker,) = builders.make_workers(1)
        allocator = builders.make_allocator([worker])
        monitor = monitors.Monitor(allocator=allocator)
        used = builders.make_resources(cores=1.0, memory_bytes=60 * GIB)
        specs = [builders.make_spec(id=f"t-{number}") for number in range(5)]
        watcher = builders.make_spec(id="w", kind=tasks.TaskKind.WATCHER)
        for spec in (watcher, *specs):
            builders.add_placement(worker, spec)
        for now_s in (10.0, 11.0, 12.0):
            reports = [
                builders.make_usage(spec, used=used, measured_s=now_s)
                for spec in specs
            ]
            monitor.observe(worker, reports, now_s=now_s)
        evicted = [
            task for task, p in worker.placements.items() if p.eviction_reason
        ]
        self.assertEqual(1, len(evicted))
        self.assertNotIn("w", evicted)
