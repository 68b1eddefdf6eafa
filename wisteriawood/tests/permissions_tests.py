"""Tests of hosts that act on a permission that has run out meanwhile.

Reports of operators: a process that had been paused acted on a permission that
was no longer valid; around a hand-over, two processes gave orders.
"""

import dataclasses
from unittest import mock

import anyio

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.standins import job_worlds
from wisteriawood.standins import runners as run_standins
from wisteriawood.tests import builders
from wisteriawood.tests import cells_tests

JOB = "0123456789abcdef"
CELL = "shop@a"
STEP = specs.StepSpec(task_count=4, cpu_millicores=2000, memory_mb=10)
# Longer than a takeover and than the lease of a worker.
PAUSE_S = 3 * job_worlds.LEASE_S
NEVER_MS = 10**12
# Time after the held starts at which the held renewals are delivered. A host
# that is fenced at a renewal sends no start any more.
RENEWAL_DELAY_S = 0.05


class PausedHost:
    """Holds up calls of one host to workers, as a pause of its process does.

    A held call is delivered when the pause ends, whatever has happened since.
    """

    def __init__(self, *, world):
        self._world = world
        self._resumed = anyio.Event()
        self.name = ""
        self.held = []

    def patch(self, call):
        """Return a patch of one call of the links to the workers."""
        original = getattr(run_standins.MemoryRunLink, call)

        async def _held(link, *args, **fields):
            if link._host == self.name:
                self.held.append(call)
                await self._resumed.wait()
                if call == "renew":
                    await anyio.sleep(RENEWAL_DELAY_S)
            return await original(link, *args, **fields)

        return mock.patch.object(run_standins.MemoryRunLink, call, _held)

    def pause(self, name):
        self.name = name
        self._world.store.cut_hosts.add(name)

    def resume(self):
        self._world.store.cut_hosts.discard(self.name)
        self.name = ""
        self._resumed.set()


class PausedHostTests(cells_tests.SingleRunCase):
    def _run(self, check, *, is_checked=True):
        async def _main(world):
            paused = PausedHost(world=world)
            with (
                paused.patch("start"),
                paused.patch("stop"),
                paused.patch("renew"),
            ):
                await anyio.sleep(3)
                await check(world, paused)
                await anyio.sleep(5)
                if is_checked:
                    self.check_single_runs(world)

        builders.run_job_world(_main, zones=["a"])

    async def _send_starts_late(self, world, paused):
        """Return the starts before and after late ones have arrived."""
        former = world.holder_of(CELL)
        paused.name = former
        world.work_s[JOB] = 2.0
        await world.submit(JOB, [STEP])
        await anyio.sleep(0.5)
        self.assertIn("start", paused.held)
        paused.pause(former)
        await anyio.sleep(PAUSE_S)
        successor = self._other_holder(world, former)
        await world.wait_for(JOB, jobs.JobState.COMPLETED, host=successor)
        before = world.starts()
        self.assertEqual(len(before), STEP.task_count)
        paused.resume()
        await anyio.sleep(4)
        return before, world.starts()

    def test_start_that_is_sent_after_a_takeover(self):
        """Guards against a host paused between its check and its call."""

        async def _check(world, paused):
            before, after = await self._send_starts_late(world, paused)
            self.assertEqual(before, after)

        self._run(_check)

    def test_late_start_is_seen_if_nothing_keeps_it_out(self):
        """Proof of the test above: without its guards, tasks run again.

        They are the token, the end of the lease and the number of the run.
        """
        begin_run = run_standins.MemoryWorker.begin_run

        def _begin_unguarded(worker, command):
            worker._refused_up_to.clear()
            worker.token = 0
            late = dataclasses.replace(command, lease_until_ms=NEVER_MS)
            return begin_run(worker, late)

        async def _check(world, paused):
            with mock.patch.object(
                run_standins.MemoryWorker, "begin_run", _begin_unguarded
            ):
                before, after = await self._send_starts_late(world, paused)
            self.assertNotEqual(before, after)

        self._run(_check, is_checked=False)

    def test_commands_of_a_holder_that_wakes_beside_its_successor(self):
        """Guards against renewals and stops that touch the other's runs."""

        async def _check(world, paused):
            former = world.holder_of(CELL)
            world.work_s[JOB] = 30.0
            await world.submit(JOB, [STEP])
            await anyio.sleep(1)
            paused.pause(former)
            await anyio.sleep(PAUSE_S)
            successor = self._other_holder(world, former)
            running = sum(len(w.runs) for w in world.workers.values())
            self.assertEqual(running, STEP.task_count)
            starts = world.starts()
            paused.resume()
            await anyio.sleep(4)
            self.assertEqual(world.starts(), starts)
            self.assertEqual(world.hosts[former].open_cells(), [])
            self.assertEqual(world.hosts[successor].open_cells(), [CELL])

        self._run(_check)

    def test_orders_around_a_release(self):
        """Guards against two starts of a task while a cell changes hands."""

        async def _check(world, paused):
            former = world.holder_of(CELL)
            for number in range(8):
                await world.submit(f"{number:016x}", [STEP])
            await world.hosts[former].drain()
            for number in range(8):
                await world.wait_for(f"{number:016x}", jobs.JobState.COMPLETED)
            numbers = {
                name: [run for run, _at_s, _worker in runs]
                for name, runs in world.starts().items()
            }
            for name, found in numbers.items():
                self.assertEqual(sorted(set(found)), sorted(found), name)

        self._run(_check)

    def _other_holder(self, world, former):
        return next(
            (
                name
                for name, host in world.hosts.items()
                if name != former and CELL in host.open_cells()
            ),
            "",
        )
