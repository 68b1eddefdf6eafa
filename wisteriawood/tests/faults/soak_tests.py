"""A short soak with real processes, and tests of the soak checks."""

import pathlib
import socket
import tempfile
import unittest

import anyio

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.soak import checks
from wisteriawood.soak import faults
from wisteriawood.soak import worlds
from wisteriawood.tests import builders

SEED = 1
LOAD_S = 6.0
JOB = "0123456789abcdef"


class ReservedPortsTests(unittest.TestCase):
    """Guards against a soak that takes the port of a stopped host."""

    def test_port_stays_reserved_until_the_end(self):
        own, other = worlds._ReservedPorts(), worlds._ReservedPorts()
        self.addCleanup(other.close)
        port = own.reserve()
        self.assertFalse(other._bind(port, reuses_address=False))
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", port))
            listener.listen()
        self.assertFalse(other._bind(port, reuses_address=False))
        own.close()
        self.assertTrue(other._bind(port, reuses_address=False))


class FaultTests(unittest.TestCase):
    def test_faults_of_wide_jobs_are_only_added_on_request(self):
        plain = set(faults.choose([], False))
        self.assertNotIn("drain-zone", plain)
        self.assertLess(plain, set(faults.choose([], True)))

    def test_only_the_named_faults_are_chosen(self):
        chosen = faults.choose(["drain-zone"], True)
        self.assertEqual(set(chosen), {"drain-zone"})
        with self.assertRaises(errors.UsageError):
            faults.choose(["drain-zone"], False)


class SoakTests(unittest.TestCase):
    def test_short_soak_finds_no_breach(self):
        with tempfile.TemporaryDirectory() as folder:

            async def _main():
                world = worlds.SoakWorld(
                    seed=SEED, folder=pathlib.Path(folder), load_s=LOAD_S
                )
                await world.run()
                return world

            world = anyio.run(_main)
        checker = world.checker
        self.assertEqual(checker.breaches, [])
        self.assertGreater(len(world.injected_faults), 2)
        self.assertTrue(any(s.is_accepted for s in checker.sent.values()))


class CheckTests(unittest.TestCase):
    """Tests that each check reports its kind of breach."""

    def _run(self, check, **fields):
        async def _main():
            checker = checks.Checker()
            step = specs.StepSpec(
                **({"task_count": 2, "cpu_millicores": 3000} | fields)
            )
            later = specs.StepSpec(task_count=1, after=[0])
            spec = specs.JobSpec(
                id=JOB,
                queue=queues.Queue(name="q"),
                payload="p",
                steps=[step, later],
            )
            sent = checks.SentJob(spec=spec)
            checker.sent[JOB] = sent
            for name in ("w1", "w2"):
                checker.workers[name] = checks.WatchedWorker(
                    checker=checker,
                    registration=runners.Registration(
                        worker_id=name,
                        service="s",
                        address="a",
                        zone="a",
                        cpu_millicores=4000,
                        memory_mb=1000,
                    ),
                    work_s=lambda _name: 1.0,
                )
            check(checker, sent)
            found = " ".join(checker.breaches)
            return found

        return builders.run_virtual(_main)

    def _start(self, checker, worker, index=0, step=0, run=1, payload="p"):
        return checker.workers[worker].begin_run(
            runners.StartRunCommand(
                task_name=f"{JOB}.0.{step}.{index}",
                run=run,
                payload=payload,
                lease_until_ms=1000,
                token=1,
            )
        )

    def test_valid_runs_are_not_reported(self):
        def _check(checker, sent):
            sent.is_accepted = True
            self._start(checker, "w1")
            self._start(checker, "w2", index=1)

        self.assertEqual(self._run(_check), "")

    def test_two_runs_at_once(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            self._start(checker, "w2", run=2)

        self.assertIn("twice", self._run(_check))

    def test_a_start_after_an_acknowledged_end(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            worker = checker.workers["w1"]
            worker._end(f"{JOB}.0.0.0", tasks.Outcome.DONE)
            worker.report(1)
            self._start(checker, "w2", run=2)

        self.assertIn("twice", self._run(_check))

    def test_an_end_that_is_acknowledged_after_a_new_start(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            worker = checker.workers["w1"]
            worker._end(f"{JOB}.0.0.0", tasks.Outcome.DONE)
            self._start(checker, "w2", run=2)
            worker.report(1)

        self.assertIn("twice", self._run(_check))

    def test_runs_over_the_capacity_of_a_worker(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            self._start(checker, "w1", index=1)

        self.assertIn("limit", self._run(_check))

    def test_runs_over_the_memory_of_a_worker(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            self._start(checker, "w1", index=1)

        step = {"cpu_millicores": 1000, "memory_mb": 600}
        self.assertIn("1200 MB", self._run(_check, **step))

    def test_fillers_reserve_no_cpu(self):
        def _check(checker, _sent):
            self._start(checker, "w1")
            self._start(checker, "w1", index=1)

        self.assertEqual(self._run(_check, is_filler=True), "")

    def test_step_that_starts_before_its_predecessor(self):
        def _check(checker, _sent):
            self._start(checker, "w1", step=1)

        self.assertIn("order", self._run(_check))

    def test_start_on_a_worker_that_has_drained_for_long(self):
        def _check(checker, _sent):
            worker = checker.workers["w1"]
            worker.registration.is_draining = True
            worker.record_entry()
            self._start(checker, "w1")
            self.assertEqual(checker.breaches, [])
            worker.drains_since_s -= 10.0
            self._start(checker, "w1", run=2)

        self.assertIn("drain", self._run(_check))

    def test_payload_that_no_caller_sent(self):
        def _check(checker, _sent):
            self._start(checker, "w1", payload="other")

        self.assertIn("unasked", self._run(_check))

    def test_run_of_a_refused_job(self):
        def _check(checker, sent):
            sent.is_refused = True
            self._start(checker, "w1")

        self.assertIn("refused", self._run(_check))

    def test_job_reported_completed_too_early(self):
        def _check(checker, sent):
            checker.check_state(sent, "completed")

        self.assertIn("mixed", self._run(_check))

    def test_accepted_job_that_is_unknown(self):
        def _check(checker, sent):
            sent.is_accepted = True
            checker.check_state(sent, "")

        self.assertIn("lost", self._run(_check))
