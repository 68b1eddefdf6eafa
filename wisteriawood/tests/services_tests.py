"""Admission of requests: order of service, refusals, ejected targets."""

import contextlib
import math
import unittest

import anyio

from wisteriawood import errors
from wisteriawood.links import configurations
from wisteriawood.machines import outliers
from wisteriawood.machines import services
from wisteriawood.tests import builders


class ServiceTests(unittest.TestCase):

    def setUp(self):
        self.order = []
        self.refusals = []

    async def _serve(self, service, request, *, service_s=1.0):
        """Hold a slot for some time, and record the order of acquisition."""
        try:
            target = await service.acquire(request)
        except errors.RequestNotRunError as exc:
            self.refusals.append((request.id, exc))
            return
        self.order.append(request.id)
        await anyio.sleep(service_s)
        result = services.AttemptResult(
            verdict=outliers.Verdict.GOOD, latency_s=service_s, is_done=True
        )
        service.release(target, request, result)

    async def _serve_all(self, service, arrivals, **kwargs):
        async with anyio.create_task_group() as group:
            for request in arrivals:
                group.start_soon(
                    lambda request=request: self._serve(
                        service, request, **kwargs
                    )
                )
                await anyio.sleep(0.0001)

    def _observe_latency(self, service, *, latency_s):
        for _ in range(64):
            service.times.observe(latency_s)

    def test_urgent_requests_precede_the_earliest_deadline(self):
        async def _check():
            target = builders.make_target(slots=1)
            service = builders.make_service(targets=[target])
            now_s = anyio.current_time()
            arrivals = [
                builders.make_request(id="first", deadline_s=now_s + 90),
                builders.make_request(id="late", deadline_s=now_s + 80),
                builders.make_request(id="early", deadline_s=now_s + 70),
                builders.make_request(
                    id="urgent", deadline_s=now_s + 90, urgent=True
                ),
            ]
            await self._serve_all(service, arrivals)

        builders.run_virtual(_check)
        self.assertEqual(["first", "urgent", "early", "late"], self.order)

    def test_flooding_team_does_not_use_the_share_of_others(self):
        async def _check():
            queue_pool = builders.make_queue_pool(
                weights={"flood": 1.0, "calm": 1.0}
            )
            target = builders.make_target(slots=2)
            service = builders.make_service(
                targets=[target], queue_pool=queue_pool
            )
            arrivals = [
                builders.make_request(
                    id=f"flood-{n}",
                    caller="flood",
                    urgent=True,
                    deadline_s=math.inf,
                )
                for n in range(50)
            ]
            arrivals += [
                builders.make_request(
                    id=f"calm-{n}", caller="calm", deadline_s=math.inf
                )
                for n in range(10)
            ]
            await self._serve_all(service, arrivals)

        builders.run_virtual(_check)
        calm = [n for n, id in enumerate(self.order) if id[:4] == "calm"]
        # From the first release on, half of the slots go to the calm team.
        self.assertLessEqual(max(calm), 2 + 2 * 10)

    def test_full_queue_refuses_the_team_with_most_waiting_requests(self):
        async def _check():
            weights = {"vitrinenklima": 1.0, "kroupa": 1.0}
            queue_pool = builders.make_queue_pool(
                max_waiting=10, weights=weights
            )
            service = builders.make_service(queue_pool=queue_pool)
            other = services.Service(
                team="kroupa",
                name="shop",
                policy=service.policy,
                queue_pool=queue_pool,
            )
            async with anyio.create_task_group() as group:
                for number in range(20):
                    request = builders.make_request(id=f"flood-{number}")
                    group.start_soon(self._serve, service, request)
                await anyio.sleep(0.1)
                for number in range(3):
                    request = builders.make_request(
                        id=f"calm-{number}", team="kroupa", service="shop"
                    )
                    group.start_soon(self._serve, other, request)
                await anyio.sleep(0.1)
                self.assertEqual(10, service.waiting + other.waiting)
                self.assertEqual(3, other.waiting)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)
        self.assertTrue(all(id[:5] == "flood" for id, _ in self.refusals))

    def test_request_in_flight_keeps_its_share_when_weights_change(self):
        async def _check():
            queue_pool = builders.make_queue_pool()
            target = builders.make_target(slots=1)
            service = builders.make_service(
                targets=[target], queue_pool=queue_pool
            )
            request = builders.make_request(caller="kroupa")
            await service.acquire(request)
            queue_pool.set_quotas(weights={"kroupa": 2.0}, limits={})
            service.release(
                target, request, services.AttemptResult(is_done=True)
            )
            queue = queue_pool.open_queue(team="kroupa")
            self.assertEqual(2.0, queue.share(_fresh()).weight)
            for share in service.shares():
                self.assertEqual(0, share.in_flight)

        def _fresh():
            return builders.make_request(id="fresh", caller="kroupa")

        builders.run_virtual(_check)

    def test_team_stays_within_its_limit_in_all_its_services(self):
        async def _check():
            queue_pool = builders.make_queue_pool()
            queue_pool.set_quotas(weights={}, limits={"vitrinenklima": 3})
            limited_services = [
                builders.make_service(
                    targets=[builders.make_target(id=name)],
                    queue_pool=queue_pool,
                )
                for name in ("one", "other")
            ]
            async with anyio.create_task_group() as group:
                for service in limited_services:
                    group.start_soon(self._tick_forever, service)
                for number in range(10):
                    request = builders.make_request(
                        id=str(number), deadline_s=math.inf
                    )
                    group.start_soon(
                        self._serve, limited_services[number % 2], request
                    )
                for _ in range(100):
                    await anyio.sleep(0.1)
                    in_flight = sum(
                        service.targets[name].in_flight
                        for service, name in zip(
                            limited_services, ("one", "other")
                        )
                    )
                    self.assertLessEqual(in_flight, 3)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)
        self.assertEqual(10, len(self.order))

    def test_quotas_of_an_accepted_configuration_are_applied(self):
        async def _check(world):
            entry = builders.add_entries(world, ["linz-a-1"])["linz-a-1"]
            await anyio.sleep(2)
            document = builders.make_configuration()
            document["teams"]["kroupa"]["quota"] = {
                "share": 3.0,
                "requests_in_flight": 7,
            }
            await configurations.apply(world.platform, document, base=0)
            await anyio.sleep(3)
            self.assertEqual(7, entry.queue_pool.limit("kroupa"))
            self.assertEqual(math.inf, entry.queue_pool.limit("vitrinenklima"))
            self.assertEqual(3.0, entry.queue_pool.weights["kroupa"])

        builders.run_world(_check)

    def test_size_of_waiting_bodies_is_bounded(self):
        async def _check():
            queue_pool = builders.make_queue_pool(max_waiting_bytes=1000)
            service = builders.make_service(queue_pool=queue_pool)
            async with anyio.create_task_group() as group:
                for number in range(20):
                    request = builders.make_request(
                        id=str(number), body=b"x" * 200
                    )
                    group.start_soon(self._serve, service, request)
                await anyio.sleep(0.1)
                self.assertEqual(5, service.waiting)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        async def _check():
            service = builders.make_service(
                targets=[builders.make_target(slots=1)]
            )
            self._observe_latency(service, latency_s=1.0)
            started_s = anyio.current_time()
            async with anyio.create_task_group() as group:
                for number in range(10):
                    request = builders.make_request(id=str(number))
                    group.start_soon(self._serve, service, request)
                await anyio.sleep(0.01)
                self.assertEqual(5, len(self.refusals))
                self.assertEqual(0.01, anyio.current_time() - started_s)

        builders.run_virtual(_check)
        self.assertEqual(5, len(self.order))
        for _id, exc in self.refusals:
            self.assertGreaterEqual(exc.retry_after_s, 1.0)

    def test_request_whose_deadline_passes_in_the_queue_is_not_run(self):
        async def _check():
            target = builders.make_target(slots=1)
            service = builders.make_service(targets=[target])
            await self._serve_all(
                service,
                [builders.make_request(id="a"), builders.make_request(id="b")],
                service_s=6.0,
            )
            self.assertEqual(0, service.waiting)
            self.assertEqual(0, target.in_flight)

        builders.run_virtual(_check)
        self.assertEqual(["a"], self.order)
        self.assertEqual(["b"], [id for id, _exc in self.refusals])

    def test_cancelled_request_is_removed_from_the_queue(self):
        async def _check():
            target = builders.make_target(slots=1)
            service = builders.make_service(targets=[target])
            first = builders.make_request(id="first")
            await service.acquire(first)
            with anyio.move_on_after(0.1):
                await service.acquire(builders.make_request(id="gone"))
            self.assertEqual(0, service.waiting)
            service.release(
                target, first, services.AttemptResult(is_done=True)
            )
            self.assertEqual(0, target.in_flight)

        builders.run_virtual(_check)

    def test_slot_assigned_to_a_cancelled_request_goes_to_the_next(self):
        async def _check():
            target = builders.make_target(slots=1)
            service = builders.make_service(targets=[target])
            first = builders.make_request(id="first")
            await service.acquire(first)
            async with anyio.create_task_group() as group:
                scope = anyio.CancelScope()

                async def _leave():
                    with scope:
                        await service.acquire(
                            builders.make_request(id="gone", urgent=True)
                        )

                group.start_soon(_leave)
                group.start_soon(
                    self._serve, service, builders.make_request(id="next")
                )
                await anyio.sleep(0.1)
                scope.cancel()
                service.release(
                    target, first, services.AttemptResult(is_done=True)
                )
            self.assertEqual(0, target.in_flight)

        builders.run_virtual(_check)
        self.assertEqual(["next"], self.order)

    def test_one_waiting_request_is_woken_for_each_slot(self):
        async def _check():
            target = builders.make_target(slots=1)
            service = builders.make_service(targets=[target])
            first = builders.make_request(id="first")
            await service.acquire(first)
            async with anyio.create_task_group() as group:
                for number in range(100):
                    request = builders.make_request(id=str(number))
                    group.start_soon(self._serve, service, request)
                await anyio.sleep(0.1)
                service.release(
                    target, first, services.AttemptResult(is_done=True)
                )
                self.assertEqual(99, service.waiting)
                await anyio.sleep(0.1)
                self.assertEqual(1, len(self.order))
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    def test_frozen_target_is_ejected_and_readmitted(self):
        async def _check():
            frozen = builders.make_target(id="frozen")
            good = builders.make_target(id="good")
            frozen.link.is_frozen = True
            service = builders.make_service(targets=[frozen, good])
            self._observe_latency(service, latency_s=0.01)
            dispatcher = builders.make_dispatcher(service)
            async with anyio.create_task_group() as group:
                group.start_soon(self._tick_forever, service)
                for number in range(400):
                    await anyio.sleep(0.01)
                    with contextlib.suppress(errors.RequestUnknownError):
                        await dispatcher.dispatch(
                            builders.make_request(id=str(number))
                        )
                self.assertLess(len(frozen.link.sent), 8)
                frozen.link.is_frozen = False
                await anyio.sleep(60)
                sent = len(frozen.link.sent)
                for number in range(100):
                    await dispatcher.dispatch(builders.make_request())
                self.assertGreater(len(frozen.link.sent), sent + 30)
                group.cancel_scope.cancel()

        builders.run_virtual(_check)

    async def _tick_forever(self, service):
        while True:
            await anyio.sleep(0.1)
            for target in service.targets.values():
                target.end_quarantines(now_s=anyio.current_time())
            service.tick()

    def test_frozen_target_loses_no_answer_and_no_slot_is_exceeded(self):
        async def _check(world):
            frozen, good = (
                world.add_target(
                    builders.make_target_host(name=name), service_s=0.02
                )
                for name in ("target-1", "target-2")
            )
            world.add_scheduler(builders.make_member())
            entry = builders.add_entries(world, ["linz-a-1"])["linz-a-1"]
            await anyio.sleep(10)
            await self._send_requests(entry, 100)
            frozen.faults.frozen = True
            started = frozen.counts.started
            await self._send_requests(entry, 100)
            frozen.faults.frozen = False
            caught = frozen.counts.started - started
            self.assertTrue(0 < caught <= 8, caught)
            await self._send_requests(entry, 100)
            self.assertEqual(0, frozen.counts.breaches + good.counts.breaches)

        builders.run_world(_check)
        self.assertEqual(300, len(self.order))

    async def _send_requests(self, entry, count):
        """Send requests to an entry host, and record those answered."""

        async def _send(request):
            await entry.serve(request)
            self.order.append(request.id)

        async with anyio.create_task_group() as group:
            for number in range(count):
                await anyio.sleep(0.02)
                request = builders.make_request(id=f"{number}")
                group.start_soon(_send, request)
