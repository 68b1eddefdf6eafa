"""Tests that requests are retried only if safe and within the budget."""

import unittest

import anyio

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.policies.retrying import budgeted
from wisteriawood.policies.retrying import never
from wisteriawood.tests import builders


class RetryingTests(unittest.TestCase):

    def _make_pair(self, **fields):
        targets = [
            builders.make_target(id="bad"),
            builders.make_target(id="good"),
        ]
        # Requests go to the bad target first, until it is ejected.
        targets[1].in_flight = 1
        service = builders.make_service(targets=targets, **fields)
        return targets, service, builders.make_dispatcher(service)

    def test_refused_request_of_any_class_runs_at_another_target(self):
        async def _check():
            (bad, good), _service, dispatcher = self._make_pair()
            bad.link.refuses = True
            request = builders.make_request(
                request_class=requests.RequestClass.RUN_ONCE, key="bill-1"
            )
            answer = await dispatcher.dispatch(request)
            self.assertEqual("good", answer.target)
            self.assertEqual(0, bad.in_flight)
            self.assertEqual(1, len(good.link.sent))

        builders.run_virtual(_check)

    def test_run_once_request_of_unknown_outcome_is_not_sent_again(self):
        async def _check():
            (bad, good), _service, dispatcher = self._make_pair()
            bad.link.is_frozen = True
            request = builders.make_request(
                request_class=requests.RequestClass.RUN_ONCE, key="bill-1"
            )
            with self.assertRaises(errors.RequestUnknownError):
                await dispatcher.dispatch(request)
            self.assertEqual([], good.link.sent)
            self.assertEqual(1, bad.in_flight)

        builders.run_virtual(_check)

    def test_repeatable_request_is_retried_when_its_target_stalls(self):
        async def _check():
            (bad, _good), service, dispatcher = self._make_pair()
            bad.link.is_frozen = True
            for _ in range(64):
                service.times.observe(0.01)
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_ticks, service)
                started_s = anyio.current_time()
                answer = await dispatcher.dispatch(builders.make_request())
                self.assertEqual("good", answer.target)
                self.assertLess(anyio.current_time() - started_s, 1.0)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    async def _run_ticks(self, service):
        while True:
            await anyio.sleep(0.1)
            service.tick()

    def test_outcome_is_unknown_after_an_attempt_of_unknown_outcome(self):
        async def _check():
            (bad, good), service, dispatcher = self._make_pair()
            bad.link.is_frozen = True
            good.link.refuses = True
            for _ in range(64):
                service.times.observe(0.01)
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_ticks, service)
                with self.assertRaises(errors.RequestUnknownError):
                    await dispatcher.dispatch(builders.make_request())
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    def test_budget_is_exhausted_if_all_targets_refuse(self):
        async def _check():
            targets, _service, dispatcher = self._make_pair()
            for target in targets:
                target.link.refuses = True
            refused = 0
            for _ in range(100):
                try:
                    await dispatcher.dispatch(builders.make_request())
                except errors.RequestNotRunError:
                    refused += 1
            self.assertEqual(100, refused)
            attempts = sum(target.link.refusals for target in targets)
            self.assertEqual(100 + budgeted.MAX_SAVED_RETRIES, attempts)

        builders.run_virtual(_check)

    def test_budget_is_a_share_of_the_successes(self):
        async def _check():
            (bad, good), service, dispatcher = self._make_pair()
            while service.retrying.spend(failures=1) is not None:
                pass
            bad.link.refuses = True
            with self.assertRaises(errors.RequestNotRunError):
                await dispatcher.dispatch(builders.make_request())
            bad.link.refuses = False
            for _ in range(10):
                await dispatcher.dispatch(builders.make_request())
            self.assertEqual(1, service.retrying.available())
            self.assertTrue(good.link.sent or bad.link.sent)

        builders.run_virtual(_check)

    def test_pauses_have_full_jitter_and_attempts_are_limited(self):
        policy = budgeted.Budgeted(rng=builders.make_rng())
        pauses_s = [policy.spend(failures=1) for _ in range(10)]
        self.assertEqual(10, len(set(pauses_s)))
        self.assertLessEqual(max(pauses_s), budgeted.BASE_PAUSE_S)
        self.assertIsNone(policy.spend(failures=budgeted.MAX_ATTEMPTS))

    def test_refusal_is_reported_if_there_are_no_retries(self):
        async def _check():
            rng = builders.make_rng()
            (bad, _good), _service, dispatcher = self._make_pair(
                retrying=never.Never(rng=rng)
            )
            bad.link.refuses = True
            with self.assertRaises(errors.RequestNotRunError):
                await dispatcher.dispatch(builders.make_request())

        builders.run_virtual(_check)

    def test_target_that_fails_fast_does_not_attract_most_requests(self):
        async def _check():
            (bad, good), _service, dispatcher = self._make_pair()
            bad.link.status = 500
            bad.link.service_s = 0.0001
            for _ in range(100):
                await dispatcher.dispatch(builders.make_request())
            self.assertGreater(len(good.link.sent), 90)

        builders.run_virtual(_check)

    def test_short_deadlines_do_not_eject_a_target(self):
        async def _check():
            (bad, good), service, dispatcher = self._make_pair()
            for _ in range(64):
                service.times.observe(0.01)
            for _ in range(20):
                with self.assertRaises(errors.RequestError):
                    await dispatcher.dispatch(
                        builders.make_request(
                            deadline_s=anyio.current_time() + 0.005
                        )
                    )
            self.assertEqual({}, service.outliers.ejected(targets_count=10))
            self.assertTrue(bad.link.sent and good.link.sent)

        builders.run_virtual(_check)

    def test_all_targets_are_used_when_most_fail(self):
        async def _check():
            targets, service, dispatcher = self._make_pair()
            for target in targets:
                target.link.status = 500
            for _ in range(50):
                await dispatcher.dispatch(builders.make_request())
            self.assertEqual({}, service.outliers.ejected(targets_count=2))

        builders.run_virtual(_check)
