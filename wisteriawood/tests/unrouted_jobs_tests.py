"""Tests of accepted jobs whose queue is removed or names another service."""

import dataclasses
import json
import unittest

import anyio

from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.platform import directory
from wisteriawood.standins import job_worlds
from wisteriawood.tests import directory_builders

JOB = "0123456789abcdef"
STANDING_JOB = "00000000000000aa"
CELL = "shop@a"
SERVICES = [job_worlds.SERVICE, "other"]
OTHER = queues.Queue(name="r-3", host_name="h", service="other")


def _later_queues(queue):
    """Return what the queues may be once none names the service."""
    return {
        "removed": [],
        "replaced": [OTHER],
        "sent elsewhere": [dataclasses.replace(queue, service="other")],
    }


def _adopt(world, directory_of_world, found, names=None):
    """Put a configuration in force on hosts, all of them by default."""
    for name in names or list(world.hosts):
        world.hosts[name].adopt_queues(
            queues.QueueTable(version=2, queues=found, services=SERVICES)
        )
        directory_of_world.followers[name].update()


class UnroutedJobTests(unittest.TestCase):
    """The service is still configured, and its workers are up."""

    def _run_each_way(self, check):
        async def _main(world, directory_of_world):
            found = _later_queues(world.queue)[way]
            await check(world, directory_of_world, found)

        for way in ("removed", "replaced", "sent elsewhere"):
            with self.subTest(way=way):
                directory_builders.run_followed_world(
                    _main,
                    settle_s=3,
                    zones=["a"],
                    hosts_per_zone=2,
                    workers_per_zone=2,
                )

    async def _submit(self, world):
        """Submit a job of two steps and one that stands."""
        world.work_s[STANDING_JOB] = 1000.0
        step = specs.StepSpec(task_count=2, cpu_millicores=2000)
        later = dataclasses.replace(step, after=[0])
        standing = dataclasses.replace(step, is_standing=True)
        await world.submit_to(CELL, STANDING_JOB, [standing])
        await world.submit_to(CELL, JOB, [step, later])
        await anyio.sleep(0.3)

    def test_their_next_steps_run(self):
        """Guards against jobs that stand still for good (LOST)."""

        async def _check(world, directory_of_world, found):
            await self._submit(world)
            _adopt(world, directory_of_world, found)
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=5)

        self._run_each_way(_check)

    def test_their_standing_tasks_run_again(self):
        """Guards against standing tasks that are away for good (LOST)."""

        async def _check(world, directory_of_world, found):
            await self._submit(world)
            _adopt(world, directory_of_world, found)
            worker = world.workers["w-a-0"]
            worker.crash()
            worker.restart()
            await anyio.sleep(3)
            self.assertEqual(
                len(
                    [n for n in world.running() if n.startswith(STANDING_JOB)]
                ),
                2,
            )

        self._run_each_way(_check)

    def test_another_host_takes_their_cell_over(self):
        """Guards against a cell that nobody claims after its holder."""

        async def _check(world, directory_of_world, found):
            await self._submit(world)
            _adopt(world, directory_of_world, found)
            holder = world.holder_of(CELL)
            directory_of_world.restart_host(holder, "a")
            _adopt(world, directory_of_world, found, [holder])
            # The host that has just started has not read the store yet.
            other = min(world.hosts.keys() - {holder})
            await world.wait_for(
                JOB, jobs.JobState.COMPLETED, timeout_s=9, host=other
            )
            self.assertEqual(len(world.running()), 2)

        self._run_each_way(_check)

    def test_they_can_be_cancelled(self):
        async def _check(world, directory_of_world, found):
            await self._submit(world)
            _adopt(world, directory_of_world, found)
            await world.intake().cancel(STANDING_JOB, 3.0)
            await anyio.sleep(2)
            self.assertEqual(
                [n for n in world.running() if n.startswith(STANDING_JOB)], []
            )

        self._run_each_way(_check)


class DecodedServicesTests(unittest.TestCase):
    def test_services_without_a_route_are_known(self):
        document = {
            "version": 3,
            "routes": [{"name": "r-1", "service": "routed"}],
            "services": [{"name": "routed", "max_conns": 64}, {"name": "s"}],
        }
        data = json.dumps(document).encode()
        table, _max_bytes = directory.decode_configuration(data)
        self.assertEqual(table.services(), {"routed", "s"})

    def test_a_service_that_only_a_route_names_is_known(self):
        document = {"version": 3, "routes": [{"name": "r", "service": "s"}]}
        data = json.dumps(document).encode()
        table, _max_bytes = directory.decode_configuration(data)
        self.assertEqual(table.services(), {"s"})
