"""Tests of routing policies with slowed targets."""

import unittest

import anyio

from wisteriawood.policies import registry
from wisteriawood.policies import routing
from wisteriawood.policies.routing import base
from wisteriawood.tests import builders

SLOWED_S = 0.06
UNDISTURBED_S = 0.02


class RoutingTests(unittest.TestCase):

    def _share_of_slowed(self, policy, *, rounds=400):
        """Return the share of requests that go to the slowed one of 5 targets.

        Returns:
            The share and the service.
        """

        async def _check():
            targets = [
                builders.make_target(
                    id=f"target-{number}",
                    link=builders.FakeLink(service_s=UNDISTURBED_S),
                )
                for number in range(5)
            ]
            targets[0].link.service_s = SLOWED_S
            service = builders.make_service(targets=targets, policy=policy)
            dispatcher = builders.make_dispatcher(service)
            await self._send_requests(dispatcher, rounds=rounds)
            return len(targets[0].link.sent) / rounds, service

        return builders.run_virtual(_check)

    def test_each_policy_uses_all_of_several_equal_targets(self):
        registry.load_modules(routing)
        for policy in base.ROUTING.names():
            with self.subTest(policy=policy):
                targets = [
                    builders.make_target(id=f"target-{n}") for n in range(4)
                ]
                used = builders.run_virtual(
                    self._used_targets, policy, targets, rounds=200
                )
                self.assertEqual(4, len(used))

    async def _used_targets(self, policy, targets, *, rounds):
        service = builders.make_service(targets=targets, policy=policy)
        dispatcher = builders.make_dispatcher(service)
        used = set()
        for _ in range(rounds):
            answer = await dispatcher.dispatch(builders.make_request())
            used.add(answer.target)
        return used

    def test_slowed_target_gets_fewer_requests_than_with_random_routing(self):
        aware_share, _service = self._share_of_slowed("interference-aware")
        random_share, _service = self._share_of_slowed("random")
        self.assertLess(aware_share, 0.4 * random_share)

    def test_slowdown_is_reported_until_the_target_is_forgotten(self):
        _share, service = self._share_of_slowed("interference-aware")
        self.assertEqual({"target-0"}, set(service.policy.slowdowns()))
        service.policy.forget("target-0")
        self.assertEqual({}, service.policy.slowdowns())

    def test_target_that_recovers_is_used_again(self):
        async def _check():
            targets = [
                builders.make_target(
                    id=f"target-{number}",
                    link=builders.FakeLink(service_s=UNDISTURBED_S),
                )
                for number in range(5)
            ]
            targets[0].link.service_s = SLOWED_S
            service = builders.make_service(
                targets=targets, policy="interference-aware"
            )
            dispatcher = builders.make_dispatcher(service)
            await self._send_requests(dispatcher, rounds=400)
            targets[0].link.service_s = UNDISTURBED_S
            targets[0].link.sent.clear()
            await anyio.sleep(20)
            await self._send_requests(dispatcher, rounds=400)
            self.assertGreater(len(targets[0].link.sent), 0.1 * 400)

        builders.run_virtual(_check)

    async def _send_requests(self, dispatcher, *, rounds):
        async with anyio.create_task_group() as group:
            for _ in range(rounds):
                await anyio.sleep(0.002)
                group.start_soon(dispatcher.dispatch, builders.make_request())

    def test_slow_target_is_used_if_no_other_has_slots(self):
        async def _check():
            slow = builders.make_target(
                id="slow", link=builders.FakeLink(service_s=SLOWED_S)
            )
            undisturbed = [
                builders.make_target(
                    id=f"calm-{n}",
                    link=builders.FakeLink(service_s=UNDISTURBED_S),
                )
                for n in range(2)
            ]
            service = builders.make_service(
                targets=[slow, *undisturbed], policy="interference-aware"
            )
            dispatcher = builders.make_dispatcher(service)
            await self._send_requests(dispatcher, rounds=400)
            for target in undisturbed:
                target.grant.slots = 0
            answer = await dispatcher.dispatch(builders.make_request())
            self.assertEqual("slow", answer.target)

        builders.run_virtual(_check)

    def test_request_does_not_wait_for_unresponsive_targets(self):
        async def _check():
            slow = builders.make_target(
                id="slow", link=builders.FakeLink(service_s=SLOWED_S)
            )
            undisturbed = [
                builders.make_target(
                    id=f"calm-{n}",
                    link=builders.FakeLink(service_s=UNDISTURBED_S),
                )
                for n in range(2)
            ]
            service = builders.make_service(
                targets=[slow, *undisturbed], policy="interference-aware"
            )
            dispatcher = builders.make_dispatcher(service)
            await self._send_requests(dispatcher, rounds=400)
            for target in undisturbed:
                target.in_flight = target.grant.slots
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_ticks, service)
                started_s = anyio.current_time()
                answer = await dispatcher.dispatch(builders.make_request())
                self.assertEqual("slow", answer.target)
                self.assertLess(anyio.current_time() - started_s, 0.5)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    async def _run_ticks(self, service):
        while True:
            await anyio.sleep(0.1)
            service.tick()
