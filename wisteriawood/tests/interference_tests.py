import math
import random
import unittest

from wisteriawood.contracts import quotas
from wisteriawood.contracts import tasks
from wisteriawood.machines import monitors
from wisteriawood.policies.eviction import base as eviction_base
from wisteriawood.policies import interference
from wisteriawood.policies.throttling import base as throttling_base
from wisteriawood.policies.throttling import step_down
from wisteriawood.tests import builders


def _view(excess, shares, *, now_s, harm=0.1):
    aggressors = [
        throttling_base.Aggressor(task=task, harm=harm, share=share)
        for task, share in shares.items()
    ]
    return throttling_base.WorkerView(
        worker="w", excess=excess, aggressors=aggressors, now_s=now_s
    )


class EstimateTests(unittest.TestCase):

    def test_harm_of_each_class_is_learned_from_mixed_neighbours(self):
        rng = random.Random(4)
        true_harms = {"calm": 0.1, "noisy": 1.5, "medium": 0.6}
        estimates = interference.PairEstimates()
        for now_s in range(600):
            neighbours = [
                interference.Neighbour(name=name, load=rng.uniform(0, 0.4))
                for name in true_harms
            ]
            total = sum(
                true_harms[other.name] * other.load for other in neighbours
            )
            slowdown = math.exp(total + rng.gauss(0, 0.03))
            estimates.observe(
                "shop", neighbours, slowdown=slowdown, now_s=float(now_s)
            )
        for name, harm in true_harms.items():
            learned = estimates.harm("shop", name, 600.0)
            self.assertAlmostEqual(harm, learned, delta=0.2)

    def test_new_pair_starts_from_harm_of_aggressor_to_others(self):
        estimates = interference.PairEstimates()
        noisy = interference.Neighbour(name="noisy", load=0.5)
        for now_s in range(200):
            estimates.observe("a", [noisy], slowdown=1.8, now_s=now_s)
        new = estimates.harm("b", "noisy", 200.0)
        self.assertGreater(new, 2 * interference.PRIOR_HARM)
        self.assertLess(new, estimates.harm("a", "noisy", 200.0))

    def test_learned_harm_decays(self):
        estimates = interference.PairEstimates()
        noisy = interference.Neighbour(name="noisy", load=0.5)
        for now_s in range(20):
            estimates.observe("a", [noisy], slowdown=1.8, now_s=now_s)
        fresh = estimates.harm("a", "noisy", 20.0)
        old = estimates.harm("a", "noisy", 20.0 + 10 * 3600)
        self.assertLess(old, fresh / 2)


class StepDownTests(unittest.TestCase):

    def test_worst_job_is_throttled_first_and_then_observed(self):
        policy = step_down.StepDown()
        view = _view(1.05, {"a": 1.0, "b": 1.0}, now_s=10.0)
        view.aggressors[1].harm = 0.4
        (throttle,) = policy.decide(view).throttles
        self.assertEqual(("b", 0.5), (throttle.task, throttle.share))
        view.now_s = 12.0
        self.assertEqual([], policy.decide(view).throttles)

    def test_eviction_is_the_last_step(self):
        policy = step_down.StepDown()
        shares = {"a": 1.0}
        for now_s in range(60):
            decision = policy.decide(_view(1.2, shares, now_s=float(now_s)))
            for throttle in decision.throttles:
                shares[throttle.task] = throttle.share
            if decision.evict:
                break
        self.assertEqual({"a": step_down.MIN_SHARE}, shares)
        self.assertGreaterEqual(now_s, step_down.EVICT_AFTER_S)

    def test_batch_that_is_not_the_cause_is_not_limited(self):
        policy = step_down.StepDown()
        for now_s in range(120):
            view = _view(1.3, {"a": 1.0}, now_s=float(now_s), harm=0.001)
            decision = policy.decide(view)
            self.assertEqual([], decision.throttles)
            self.assertFalse(decision.evict)

    def test_throttling_does_not_oscillate_around_the_limit(self):
        rng = random.Random(7)
        policy = step_down.StepDown()
        shares = {"a": 1.0, "b": 1.0}
        throttle_count = 0
        for now_s in range(1200):
            # The limit is exceeded whenever both jobs run at full share.
            harm = 0.1 * sum(shares.values())
            excess = math.exp(harm - 0.14 + rng.gauss(0, 0.01))
            view = _view(excess, shares, now_s=float(now_s), harm=0.1)
            for throttle in policy.decide(view).throttles:
                shares[throttle.task] = throttle.share
                throttle_count += 1
        self.assertLess(throttle_count, 12)

    def test_share_is_restored_after_the_cause_ends(self):
        policy = step_down.StepDown()
        shares = {"a": 1.0}
        for now_s in range(200):
            excess = 1.2 if now_s < 30 else 0.85
            view = _view(excess, shares, now_s=float(now_s), harm=0.05)
            for throttle in policy.decide(view).throttles:
                shares[throttle.task] = throttle.share
        self.assertEqual({"a": 1.0}, shares)


class EvictionTests(unittest.TestCase):

    def _victim(self, id, *, kind=tasks.TaskKind.BATCH, **fields):
        spec = builders.make_spec(id=id, kind=kind)
        return eviction_base.Victim(
            spec=spec, worker="w", allocated=spec.needs, **fields
        )

    def test_no_policy_evicts_a_watcher_before_batch(self):
        builders.make_allocator()
        for name in eviction_base.EVICTION.names():
            policy = eviction_base.EVICTION.get(name)(
                rng=random.Random(1), team_quotas=quotas.Quotas()
            )
            victims = [
                self._victim("watcher", kind=tasks.TaskKind.WATCHER),
                self._victim("old", elapsed_s=9000.0),
                self._victim("new", elapsed_s=1.0),
            ]
            ordered = eviction_base.eviction_order(policy, victims)
            with self.subTest(policy=name):
                self.assertEqual("watcher", ordered[-1].spec.id)
                if name != "random":
                    self.assertEqual("new", ordered[0].spec.id)

    def test_plan_evicts_no_more_than_needed(self):
        (worker,) = builders.make_workers(1)
        for number, cores in enumerate((4.0, 8.0, 52.0)):
            needs = builders.make_resources(cores=cores)
            spec = builders.make_spec(id=f"t-{number}", needs=needs)
            builders.add_placement(worker, spec)
        allocator = builders.make_allocator([worker])
        urgent = builders.make_spec(
            id="u", urgent=True, needs=builders.make_resources(cores=8.0)
        )
        builders.enqueue(allocator, urgent)
        allocator.place(now_s=1.0)
        ordered = [
            t for t, p in worker.placements.items() if p.eviction_reason
        ]
        self.assertEqual(["t-1"], ordered)

    def test_classes_that_are_not_resumable_are_not_evicted(self):
        (worker,) = builders.make_workers(1)
        needs = builders.make_resources(cores=64.0)
        kept = builders.make_spec(id="k", needs=needs, task_class="bundle")
        builders.add_placement(worker, kept)
        quota = quotas.Quota(team=kept.team, not_evicted=frozenset({"bundle"}))
        allocator = builders.make_allocator(
            [worker], team_quotas=quotas.Quotas(quotas={kept.team: quota})
        )
        urgent = builders.make_spec(id="u", urgent=True, needs=needs)
        builders.enqueue(allocator, urgent)
        allocator.place(now_s=1.0)
        self.assertEqual("", worker.placements["k"].eviction_reason)


class MonitorTests(unittest.TestCase):

    def _run(self, *, latency, speed=0.7, seconds=40):
        (worker,) = builders.make_workers(1)
        service = builders.make_spec(id="s", kind=tasks.TaskKind.SERVICE)
        needs = builders.make_resources(cores=16.0)
        job = builders.make_spec(id="j", needs=needs, task_class="noisy")
        for spec in (service, job):
            builders.add_placement(worker, spec)
        monitor = monitors.Monitor(allocator=builders.make_allocator([worker]))
        for now_s in range(seconds):
            if latency:
                monitor.observe_latency("s", slowdown=latency, now_s=now_s)
            report = builders.make_usage(
                service, speed=speed, measured_s=now_s
            )
            monitor.observe(worker, [report], now_s=float(now_s))
        return worker.placements["j"]

    def test_neighbour_of_slowed_service_is_throttled(self):
        self.assertLess(self._run(latency=0.0).throttle, 1.0)

    def test_latency_at_entry_hosts_overrides_lagging_usage(self):
        self.assertEqual(1.0, self._run(latency=1.0).throttle)
        self.assertLess(self._run(latency=1.5, speed=1.0).throttle, 1.0)

    def test_throttling_ends_when_services_leave(self):
        (worker,) = builders.make_workers(1)
        placement = builders.add_placement(worker, builders.make_spec())
        placement.throttle = 0.25
        monitor = monitors.Monitor(allocator=builders.make_allocator([worker]))
        monitor.observe(worker, [], now_s=1.0)
        self.assertEqual(1.0, placement.throttle)
