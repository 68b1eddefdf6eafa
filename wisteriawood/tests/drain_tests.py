"""Tests of starts on workers that drain, whatever delays the news of it.

Each test delays, loses or reverses the news in one way. No task may be started
on a worker later than DRAIN_BOUND_S after its entry says that it drains.
"""

import dataclasses
import unittest
from unittest import mock

import anyio

from wisteriawood.cells import start_checks
from wisteriawood.cells import worker_directories
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import clocks
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.platform import directory
from wisteriawood.platform import standins as platform_standins
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

JOB = "0123456789abcdef"
DRAIN_BOUND_S = 2.0
ONE_HOST = {"zones": ["a"], "hosts_per_zone": 1, "workers_per_zone": 2}


def _step(**fields):
    values = {"task_count": 8, "cpu_millicores": 4000, "memory_mb": 100}
    return specs.StepSpec(**(values | fields))


class DrainCase(unittest.TestCase):
    """Starts on a worker that drains from a known time."""

    def check_starts(self, worker, drained_at_s):
        late = [
            (name, number, round(at_s - drained_at_s, 2))
            for name, number, at_s in worker.starts
            if at_s > drained_at_s + DRAIN_BOUND_S
        ]
        self.assertEqual(late, [])

    def check_all_run(self, world, name, count):
        """Fail unless all tasks of a job run on a worker."""
        self.assertEqual(len(world.workers[name].runs), count)


class DelayedStartTests(DrainCase):
    """A start waits between its assignment and its worker."""

    def test_start_queued_behind_a_hung_worker(self):
        """Guards against queued starts that are sent after the news.

        A worker hangs, so both of its senders wait for answers. When it
        answers again, it has drained for seconds.
        """

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.cut_from.add("host-a-0")
            await world.submit(JOB, [_step()])
            await anyio.sleep(0.5)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(3.5)
            worker.cut_from.clear()
            await anyio.sleep(8)
            self.check_starts(worker, drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **ONE_HOST)

    def test_start_whose_commit_is_slow(self):
        """Guards against starts that wait for the commit of their job."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            await world.submit(JOB, [_step(task_count=4)])
            world.store.lost_table = "jobs"
            world.store.lost_answers = 1
            world.store.lost_answer_delay_s = 4.0
            await anyio.sleep(0.5)
            self.assertEqual(world.store.lost_answers, 0)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(8)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **ONE_HOST)

    def test_start_that_is_sent_again(self):
        """Guards against later attempts of a start without an answer."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.lost_answers = 2
            worker.lost_answer_delay_s = 60.0
            await world.submit(JOB, [_step(task_count=1)])
            await anyio.sleep(0.4)
            self.assertLess(worker.lost_answers, 2)
            world.drain_worker("w-a-0")
            await anyio.sleep(8)
            self.assertEqual(worker.starts, [])
            self.check_all_run(world, "w-a-1", 1)

        builders.run_job_world(_check, **ONE_HOST)

    def test_gang_of_a_withheld_start(self):
        """Guards against members of a gang that wait alone for a start."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            worker = world.workers["w-a-0"]
            worker.cut_from.add("host-a-0")
            await world.submit(JOB, [_step(cpu_millicores=2000, is_gang=True)])
            await anyio.sleep(0.5)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(0.7)
            started = {name for name, *_rest in world.workers["w-a-1"].starts}
            worker.cut_from.clear()
            await anyio.sleep(8)
            self.check_starts(worker, drained_at_s)
            self.check_all_run(world, "w-a-1", 8)
            ends = world.ends()
            for name in started:
                if len(world.starts()[name]) > 1:
                    outcomes = {outcome for _n, outcome, _s in ends[name]}
                    self.assertEqual(outcomes, {tasks.Outcome.STOPPED})

        builders.run_job_world(_check, **ONE_HOST)


class OldDirectoryTests(DrainCase):
    """The directory that a host knows is old."""

    def test_directory_is_not_read(self):
        """Guards against starts that rely on an old directory."""

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 30.0
            world.outdated_hosts.add("host-a-0")
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(DRAIN_BOUND_S + 0.5)
            await world.submit(JOB, [_step(task_count=4)])
            await anyio.sleep(5)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            self.check_all_run(world, "w-a-1", 0)
            world.outdated_hosts.clear()
            world.publish_directory()
            await anyio.sleep(2)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **ONE_HOST)

    def test_host_that_takes_a_cell_over(self):
        """Guards against a new holder that relies on its idle directory.

        A host without cells reads the directory every few seconds only.
        """

        async def _check(world):
            await anyio.sleep(2)
            cell = "shop@a"
            holder = world.holder_of(cell)
            other = next(name for name in world.hosts if name != holder)
            world.outdated_hosts.add(other)
            drained_at_s = world.drain_worker("w-a-0")
            await anyio.sleep(1)
            world.kill_host(holder)
            world.work_s[JOB] = 60.0
            await world.submit(JOB, [_step()], host=other)
            await anyio.sleep(8)
            self.assertEqual(world.holder_of(cell), other)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            world.outdated_hosts.clear()
            world.publish_directory()
            await anyio.sleep(2)
            self.check_starts(world.workers["w-a-0"], drained_at_s)
            self.check_all_run(world, "w-a-1", 4)

        builders.run_job_world(_check, **(ONE_HOST | {"hosts_per_zone": 2}))

    def test_machine_that_was_suspended(self):
        """Guards against ages measured by a clock that stops meanwhile."""

        async def _check():
            worker = builders.make_run_worker("w")
            cell = builders.make_cell([worker])
            builders.confirm_views(cell)
            self.assertEqual(start_checks.find_obstacle(cell, worker), "")
            before_s = clocks.suspended_s()
            with mock.patch.object(
                clocks, "suspended_s", return_value=before_s + 30.0
            ):
                self.assertIn(
                    "out of date", start_checks.find_obstacle(cell, worker)
                )

        builders.run_virtual(_check)

    def test_entry_of_another_instance(self):
        """Guards against starts that rely on the entry of an earlier life."""

        async def _check():
            worker = builders.make_run_worker("w")
            cell = builders.make_cell([worker])
            builders.confirm_views(cell)
            worker.started_unix_ms = 2000
            worker.registration = dataclasses.replace(
                worker.registration, started_unix_ms=1000
            )
            self.assertIn(
                "another instance", start_checks.find_obstacle(cell, worker)
            )
            worker.registration = dataclasses.replace(
                worker.registration, started_unix_ms=2000
            )
            self.assertEqual(start_checks.find_obstacle(cell, worker), "")

        builders.run_virtual(_check)

    def test_cancellations_that_are_not_read(self):
        """Guards against starts of jobs whose cancellation is unknown."""

        async def _check():
            worker = builders.make_run_worker("w")
            cell = builders.make_cell([worker])
            builders.confirm_views(cell)
            await anyio.sleep(5)
            cell.directory.confirm(clocks.elapsed_s())
            self.assertIn(
                "cancellations", start_checks.find_obstacle(cell, worker)
            )

        builders.run_virtual(_check)


class StaleReadTests(unittest.TestCase):
    """The directory is read after a loss of history, and the read is old."""

    def _run(self, check, *, hidden=(), **fields):
        self.received = []

        async def _main():
            memory = store_standins.MemoryStore()
            store = builders.StaleStore(store=memory, is_stale=True)
            store.hidden_keys.update(hidden)
            feed = feeds.Feed(
                store=store,
                table=directory.WORKER_TABLE,
                on_rows=self.received.extend,
                **fields,
            )

            def _write(name, is_draining=False):
                registration = dataclasses.replace(
                    builders.make_run_worker(name).registration,
                    is_draining=is_draining,
                )
                platform_standins.write_worker(memory, registration, name)

            _write("w")
            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                await check(memory, store, feed, _write)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

    def _at(self, name):
        return stores.RowKey(table=directory.WORKER_TABLE, key=name)

    def test_entry_counts_once_the_feed_repeats_it(self):
        """Guards against starts that rely on a read of the whole table."""

        async def _check(memory, _store, feed, write):
            await anyio.sleep(0.5)
            self.assertIn(self._at("w"), feed.unverified)
            write("w")
            await anyio.sleep(0.1)
            self.assertEqual(feed.unverified, set())
            memory.compact_history()
            write("other")
            memory.compact_history()
            await anyio.sleep(0.5)
            self.assertIn(self._at("w"), feed.unverified)
            write("w", is_draining=True)
            await anyio.sleep(0.1)
            self.assertNotIn(self._at("w"), feed.unverified)

        self._run(_check)

    def test_entry_that_nobody_repeats_counts_after_the_last_audit(self):
        """Guards against workers that get no tasks for ever after a loss."""

        async def _check(_memory, _store, feed, _write):
            await anyio.sleep(feeds.AUDIT_DELAYS_S[-1] - 1)
            self.assertIn(self._at("w"), feed.unverified)
            await anyio.sleep(2)
            self.assertEqual(feed.unverified, set())

        self._run(_check)

    def test_row_missed_by_a_stale_first_read_is_found(self):
        """Guards against rows that a restarted host never learns of."""

        async def _check(_memory, store, feed, _write):
            await anyio.sleep(0.5)
            store.is_stale = False
            self.assertEqual(self.received, [])
            await anyio.sleep(feeds.FIRST_AUDIT_DELAYS_S[-1] + 3)
            self.assertEqual(
                [row.at for row in self.received], [self._at("w")]
            )
            self.assertEqual(feed.unverified, set())

        self._run(_check, hidden=["w"])

    def test_entries_are_old_as_soon_as_the_history_is_lost(self):
        """Guards against starts while the table is read again."""

        async def _check(memory, store, feed, write):
            await anyio.sleep(0.5)
            write("w")
            await anyio.sleep(0.1)
            self.assertEqual(feed.unverified, set())
            store.read_delay_s = 30.0
            memory.compact_history()
            write("other")
            memory.compact_history()
            await anyio.sleep(0.5)
            self.assertIn(self._at("w"), feed.unverified)

        self._run(_check)

    def test_host_that_falls_behind_with_the_directory(self):
        """Guards against starts on entries that full answers left out.

        On late-takeovers-drain of a grown deployment, a host that had been
        idle took a cell over and started tasks on workers that drained.
        """
        max_age_s = 1.0
        known = worker_directories.WorkerDirectory(
            max_age_s=max_age_s, silence_s=4.5
        )

        async def _check(memory, store, feed, write):
            write("w")
            await anyio.sleep(0.1)
            store.answer_delay_s = 0.3
            for number in range(8 * store_standins.MAX_FEED_ROWS):
                write(f"other-{number % 50}")
            write("w", is_draining=True)
            version, drained_at_s = memory.version, anyio.current_time()
            feed.poll_now()
            for _ in range(40):
                await anyio.sleep(0.1)
                known.confirm(feed.confirmed_at_s)
                is_late = anyio.current_time() - drained_at_s > max_age_s
                if is_late and self.received[-1].version < version:
                    self.assertFalse(known.is_recent("w"))
            self.assertEqual(self.received[-1].version, version)

        with mock.patch.object(store_standins, "MAX_FEED_ROWS", 50):
            self._run(_check, pause_s=lambda: 4.0)

    def test_age_of_polls_with_and_without_changes(self):
        """Guards against an age that leaves out the time of a poll."""

        async def _oldest_s(feed):
            oldest_s = 0.0
            for _ in range(40):
                await anyio.sleep(0.1)
                age_s = clocks.elapsed_s() - feed.confirmed_at_s
                oldest_s = max(oldest_s, age_s)
            return oldest_s

        async def _check(_memory, store, feed, write):
            await anyio.sleep(feeds.AUDIT_DELAYS_S[-1] + 3)
            self.assertAlmostEqual(await _oldest_s(feed), 1.0, delta=0.15)
            store.answer_delay_s = 0.6
            write("w")
            await anyio.sleep(0.7)
            write("w")
            self.assertGreater(await _oldest_s(feed), 1.5)

        self._run(_check, wait_s=1.0)
