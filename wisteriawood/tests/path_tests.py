"""End-to-end tests of requests and jobs in virtual time."""

import unittest
from unittest import mock

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood.contracts import tasks
from wisteriawood.links import jobs
from wisteriawood.machines import monitors
from wisteriawood.tests import builders


class PathTests(unittest.TestCase):

    def test_request_reaches_service_on_worker(self):
        async def _check(world):
            worker = world.add_worker(builders.make_worker_host())
            world.add_scheduler(builders.make_member())
            entry = world.add_entry(
                builders.make_member(role=holdings.Role.ENTRY)
            )
            spec = builders.make_spec(kind=tasks.TaskKind.SERVICE)
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(10)
            answer = await entry.serve(builders.make_request(body=b"hello"))
            self.assertEqual(requests.Outcome.RAN, answer.outcome)
            self.assertEqual(b"hello", answer.body)
            self.assertEqual(1, len(worker.records))

        builders.run_world(_check)

    def test_batch_job_finishes(self):
        async def _check(world):
            worker = world.add_worker(builders.make_worker_host())
            world.add_scheduler(builders.make_member())
            spec = builders.make_spec(run_s=60.0)
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(70)
            task = await jobs.find(world.platform, spec.id)
            self.assertEqual(tasks.TaskState.FINISHED, task.state)
            self.assertEqual(1, task.attempt)
            self.assertRegex(
                worker.records[0].traceparent,
                "^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$",
            )

        builders.run_world(_check)

    def test_target_of_host_list_gets_no_more_requests_than_slots(self):
        async def _check(world):
            target = world.add_target(
                builders.make_target_host(), service_s=1.0
            )
            world.add_scheduler(builders.make_member())
            entries = [
                world.add_entry(
                    builders.make_member(name=name, role=holdings.Role.ENTRY)
                )
                for name in ("linz-a-1", "linz-a-2")
            ]
            await anyio.sleep(10)
            slots = [
                entry.counters.registry.get_sample_value(
                    "wisteriawood_slots_held"
                )
                for entry in entries
            ]
            self.assertEqual(8, sum(slots))
            async with anyio.create_task_group() as group:
                for number in range(40):
                    request = builders.make_request(
                        id=str(number),
                        deadline_s=anyio.current_time() + 30.0,
                    )
                    group.start_soon(entries[number % 2].serve, request)
            self.assertEqual(40, target.counts.finished)
            self.assertEqual(8, target.counts.most_at_once)
            self.assertEqual(0, target.counts.breaches)

        builders.run_world(_check)

    def test_tasks_finish_when_one_scheduler_has_no_rack(self):
        async def _check(world):
            world.add_worker(builders.make_worker_host())
            for name in ("linz-a-1", "linz-a-2"):
                world.add_scheduler(builders.make_member(name=name))
            specs = [
                builders.make_spec(id=f"task-{number}") for number in range(8)
            ]
            await jobs.submit(world.platform, specs, zone="linz-a")
            await anyio.sleep(30)
            for spec in specs:
                task = await jobs.find(world.platform, spec.id)
                self.assertEqual(tasks.TaskState.FINISHED, task.state)

        builders.run_world(_check)

    def test_slow_instance_is_reported_to_the_scheduler(self):
        async def _check(world):
            for number in range(1, 5):
                world.add_worker(
                    builders.make_worker_host(name=f"worker-{number}")
                )
            world.add_scheduler(builders.make_member())
            entry = world.add_entry(
                builders.make_member(role=holdings.Role.ENTRY)
            )
            specs = [
                builders.make_spec(
                    id=f"service-{number}", kind=tasks.TaskKind.SERVICE
                )
                for number in range(4)
            ]
            await jobs.submit(world.platform, specs, zone="linz-a")
            await anyio.sleep(30)
            self.assertEqual(4, len(world.targets))
            world.targets["service-0.1:1"].faults.slow_s = 0.1
            with mock.patch.object(
                monitors.Monitor, "observe_latency"
            ) as observe:
                for number in range(200):
                    await entry.serve(builders.make_request(id=str(number)))
                await anyio.sleep(2)
            reported = {call.args[0] for call in observe.call_args_list}
            self.assertEqual({"service-0"}, reported)

        builders.run_world(_check)
