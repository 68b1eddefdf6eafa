"""Tests with real processes that get SIGKILL, SIGSTOP and SIGTERM."""

import functools
import pathlib
import random
import tempfile
import unittest

import anyio
import msgspec

from wisteriawood.contracts import tasks
from wisteriawood.links import configurations
from wisteriawood.links import jobs
from wisteriawood.standins import checks
from wisteriawood.standins import clusters
from wisteriawood.standins import loads
from wisteriawood.standins import targets
from wisteriawood.standins import workers
from wisteriawood.tests import builders

ZONE = "linz-a"
WAIT_TIMEOUT_S = 150.0
POLL_PERIOD_S = 0.2


async def wait_for(check):
    """Wait until an async check returns a true value, and return it."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            found = await check()
            if found:
                return found
            await anyio.sleep(POLL_PERIOD_S)


class Harness:
    """A cluster with one zone and one service, and its callers."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.platform = None
        self.load = None

    async def start(self):
        await self.cluster.start()
        self.platform = self.cluster.platform()
        await configurations.apply(
            self.platform, builders.make_configuration(), base=0
        )
        await self.submit(
            *[
                builders.make_spec(
                    id=f"service-{number}", kind=tasks.TaskKind.SERVICE
                )
                for number in range(2)
            ]
        )
        for name in self.cluster.entry_hosts:
            await self.cluster.wait_until_ready(name)
        self.load = loads.Load(
            addresses=[
                p.caller_address for p in self.cluster.entry_hosts.values()
            ],
            path="/vitrinenklima/humidity/check",
            rng=random.Random(1),
        )

    async def submit(self, *specs):
        await jobs.submit(self.platform, list(specs), zone=ZONE)

    async def find(self, task_id):
        return await jobs.find(self.platform, task_id)

    async def holder(self, rack):
        row = await self.platform.read(f"rack/{ZONE}/{rack}")
        return row.value["holder"] if row else ""

    async def read_records(self):
        counts, records = [], []
        for address in self.cluster.worker_addresses.values():
            base = f"http://{address}/standin"
            counts += msgspec.convert(
                await self.cluster.get(f"{base}/counts"),
                list[targets.TargetCounts],
            )
            records += msgspec.convert(
                await self.cluster.get(f"{base}/records"),
                list[workers.RunRecord],
            )
        return counts, records


class ProcessTests(unittest.TestCase):

    def run_with_cluster(self, function):
        async def _main():
            with tempfile.TemporaryDirectory() as folder:
                cluster = clusters.LocalCluster(
                    folder=pathlib.Path(folder), zones=[ZONE]
                )
                harness = Harness(cluster)
                try:
                    await harness.start()
                    await function(harness)
                    await harness.platform.aclose()
                finally:
                    await cluster.stop()

        anyio.run(_main)

    async def check_all(self, harness):
        counts, records = await harness.read_records()
        sent = harness.load.sent
        for result in (
            checks.check_slots(counts),
            checks.check_answers(sent),
            checks.check_not_run(sent, counts),
            checks.check_run_once(sent, counts),
            checks.check_single_run(records),
        ):
            with self.subTest(invariant=result.name):
                self.assertEqual([], result.breaches)
                self.assertGreater(result.checked, 0)

    def test_slots_of_killed_entry_host_are_granted_again(self):
        async def _check(harness):
            cluster, load = harness.cluster, harness.load
            dead, alive = list(cluster.entry_hosts)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    functools.partial(load.run, callers_at_once=8, seconds=4.0)
                )
                await anyio.sleep(1.0)
                cluster.kill(f"entry/{dead}")
                cluster.kill(f"scheduler/{dead}")
                load.remove_address(cluster.entry_hosts[dead].caller_address)

            async def _has_all_slots():
                operator = cluster.entry_hosts[alive].entry_operator_address
                status = await cluster.get(f"http://{operator}/status")
                slots = sum(t["slots"] for t in status["targets"])
                # Two instances of the service with eight slots each.
                return slots == 16

            await wait_for(_has_all_slots)
            await load.run(callers_at_once=8, seconds=1.0)
            await self.check_all(harness)

        self.run_with_cluster(_check)

    def test_frozen_scheduler_loses_its_rack(self):
        async def _check(harness):
            cluster = harness.cluster
            await harness.load.run(callers_at_once=4, seconds=0.5)
            rack = f"{ZONE}-rack-1"
            frozen = await harness.holder(rack)
            await harness.submit(
                *[
                    builders.make_spec(id=f"batch-{number}", run_s=3.0)
                    for number in range(6)
                ]
            )
            cluster.freeze(f"scheduler/{frozen}")

            async def _is_taken_over():
                return await harness.holder(rack) not in ("", frozen)

            await wait_for(_is_taken_over)
            cluster.thaw(f"scheduler/{frozen}")

            async def _are_finished():
                found = [await harness.find(f"batch-{n}") for n in range(6)]
                return all(
                    task.state == tasks.TaskState.FINISHED for task in found
                )

            await wait_for(_are_finished)
            self.assertNotEqual(frozen, await harness.holder(rack))
            await self.check_all(harness)

        self.run_with_cluster(_check)

    def test_graceful_shutdown_cuts_no_request(self):
        async def _check(harness):
            cluster, load = harness.cluster, harness.load
            leaving, _staying = list(cluster.entry_hosts)
            unclean = []

            async def _stop():
                # As a load balancer does when readiness fails.
                load.remove_address(
                    cluster.entry_hosts[leaving].caller_address
                )
                if not await cluster.daemons[f"entry/{leaving}"].stop():
                    unclean.append(leaving)

            async with anyio.create_task_group() as group:
                group.start_soon(
                    functools.partial(load.run, callers_at_once=8, seconds=4.0)
                )
                await anyio.sleep(1.0)
                group.start_soon(_stop)
            self.assertEqual([], unclean)
            lost = [s for s in load.sent if s.outcome == loads.NO_ANSWER]
            self.assertEqual([], lost)
            await self.check_all(harness)

        self.run_with_cluster(_check)
