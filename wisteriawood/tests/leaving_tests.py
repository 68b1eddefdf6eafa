"""Tests of what hosts conclude when the directory drops a worker's entry.

A worker that left runs nothing any more, so its tasks may start elsewhere at
once. One that fell silent may run on until its lease lapses.
"""

import dataclasses
import math
import unittest
from unittest import mock

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import tables
from wisteriawood.cells import worker_directories
from wisteriawood.jobs import specs
from wisteriawood.links import version_times
from wisteriawood.platform import worker_followers
from wisteriawood.standins import job_worlds
from wisteriawood.tests import builders
from wisteriawood.tests import directory_builders

JOB = "0123456789abcdef"
CELL = "shop@a"
# Longest time without a run of a task whose worker left.
RESTART_BOUND_S = 3.0
# The same if the holder of the cell is lost in the same moment: the time
# until another host notices it is added.
TAKEOVER_BOUND_S = RESTART_BOUND_S + 3.0
# Longest time without a run of a standing task, whatever was lost.
AWAY_BOUND_S = 9.0
# Time without power of a host.
HOST_OUTAGE_S = 3.5
# Longest time without a run of a task whose worker and holder were lost
# together, if the holder is back after HOST_OUTAGE_S.
LOST_BOUND_S = 11.0
# No wait; two readings of the clock at once may differ by microseconds.
NOW_S = -0.001
ONE_ZONE = {"zones": ["a"], "hosts_per_zone": 2, "workers_per_zone": 2}


class LeavingWorkerTests(unittest.TestCase):
    """A task runs on a worker that leaves the directory."""

    def _run(self, check, *, drains=True, **fields):
        async def _main(world, directory):
            world.work_s[JOB] = 60.0
            step = specs.StepSpec(
                task_count=1, cpu_millicores=4000, memory_mb=100
            )
            await world.submit(JOB, [step])
            await anyio.sleep(2)
            (name,) = (n for n, w in world.workers.items() if w.runs)
            if drains:
                directory.drain(name)
                await anyio.sleep(2.4)
            await check(world, directory, name)

        directory_builders.run_followed_world(
            _main, settle_s=3.0, **(ONE_ZONE | fields)
        )

    def _claim_holder(self, world):
        row = world.store.rows[tables.claim_row(CELL)]
        return claims.read_claim(row).row.holder

    def _restarts(self, world, name):
        return [
            at_s
            for other, worker in world.workers.items()
            for _task, _run, at_s in worker.starts
            if other != name
        ]

    def test_task_of_a_worker_that_left(self):
        """Guards against tasks that wait for the lease of a gone worker."""

        async def _check(world, directory, name):
            left_at_s = directory.leave(name)
            await anyio.sleep(RESTART_BOUND_S)
            (restarted_at_s,) = self._restarts(world, name)
            self.assertGreater(restarted_at_s, left_at_s)

        self._run(_check)

    def test_task_of_a_worker_that_left_when_its_holder_was_lost(self):
        """Guards against a holder that never learns that a worker left.

        On store-away-drains, tasks that should always run waited 18 s.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            await anyio.sleep(0.5)
            directory.leave(name)
            await anyio.sleep(TAKEOVER_BOUND_S)
            self.assertNotEqual(world.holder_of(CELL), holder)
            self.assertEqual(len(self._restarts(world, name)), 1)

        self._run(_check)

    def test_task_of_a_worker_that_left_when_its_holder_had_restarted(self):
        """Guards against a holder that has not seen the entry written.

        On takeovers-drain, a task that should always run waited 9 s.
        """

        async def _check(world, directory, name):
            (host,) = world.hosts
            directory.restart_host(host, "a")
            while not world.holder_of(CELL):
                await anyio.sleep(0.05)
            await anyio.sleep(0.3)
            directory.leave(name)
            await anyio.sleep(RESTART_BOUND_S)
            self.assertEqual(len(self._restarts(world, name)), 1)

        self._run(_check, hosts_per_zone=1)

    def test_task_of_a_worker_that_left_between_two_polls(self):
        """Regression: LOST, a new holder did not know that a worker drained.

        It learns of the notice and of the removal from the same answer.
        """

        async def _check(world, directory, name):
            standby = next(
                n for n in world.hosts if n != world.holder_of(CELL)
            )
            feed = directory.followers[standby].feed
            polled_at_s = feed.answered_at_s
            while feed.answered_at_s == polled_at_s:
                await anyio.sleep(0.05)
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            directory.drain(name)
            await anyio.sleep(2.4)
            left_at_s = directory.leave(name)
            while world.holder_of(CELL) != standby:
                await anyio.sleep(0.01)
            self.assertLess(feed.answered_at_s, left_at_s)
            await anyio.sleep(TAKEOVER_BOUND_S)
            self.assertEqual(len(self._restarts(world, name)), 1)

        # The answer comes after the cell has been opened.
        with (
            mock.patch.object(worker_followers, "STANDBY_POLL_PAUSE_S", 4.0),
            mock.patch.object(worker_followers.WorkerFollower, "_poll_now"),
        ):
            self._run(_check, drains=False)

    def test_worker_and_holder_are_lost_and_the_holder_restarts(self):
        """Regression: LOST, the task waited 18 s after the takeover."""

        async def _check(world, directory, name):
            lost_at_s = anyio.current_time()
            world.workers[name].crash()
            directory.stop_writing(name)
            holder = world.holder_of(CELL)
            await anyio.sleep(0.5)
            world.kill_host(holder)
            await anyio.sleep(HOST_OUTAGE_S)
            directory.start_host(holder, "a")
            await anyio.sleep(10)
            (restarted_at_s,) = self._restarts(world, name)
            self.assertLess(restarted_at_s - lost_at_s, LOST_BOUND_S)

        self._run(_check, drains=False)

    def test_worker_is_lost_while_its_holder_is_cut_off_for_a_while(self):
        """Regression: LOST, the task waited 18 s after the takeover."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            await anyio.sleep(2)
            lost_at_s = anyio.current_time()
            world.workers[name].crash()
            directory.stop_writing(name)
            await anyio.sleep(2)
            world.store.cut_hosts.discard(holder)
            await anyio.sleep(10)
            self.assertNotEqual(world.holder_of(CELL), holder)
            (restarted_at_s,) = self._restarts(world, name)
            self.assertLess(restarted_at_s - lost_at_s, LOST_BOUND_S)

        self._run(_check, drains=False)

    def test_worker_is_lost_and_the_claim_of_the_new_holder_unanswered(self):
        """Regression: LOST, the new holder waited 18 s for its own leases.

        Its first claim took effect, and it never held the cell under it.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            (standby,) = world.hosts.keys() - {holder}
            lost_at_s = anyio.current_time()
            world.workers[name].crash()
            directory.stop_writing(name)
            world.store.lost_table = tables.CLAIMS
            await world.hosts[holder].drain()
            world.store.lost_answers = 1
            at = tables.claim_row(CELL)
            while standby.encode() not in world.store.rows[at].value:
                await anyio.sleep(0.01)
            world.store.cut_hosts.add(standby)
            await anyio.sleep(claims.CLAIM_TIMEOUT_S)
            world.store.cut_hosts.discard(standby)
            await anyio.sleep(10)
            self.assertEqual(world.holder_of(CELL), standby)
            (restarted_at_s,) = self._restarts(world, name)
            self.assertLess(
                restarted_at_s - lost_at_s,
                claims.CLAIM_TIMEOUT_S + LOST_BOUND_S,
            )

        self._run(_check, drains=False)

    def test_worker_is_lost_while_its_holder_is_cut_off_for_long(self):
        """Regression: LOST, the task waited for a holder that may go on.

        Nothing shows that the former holder has ended, but its leases end
        with its last sign of life.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            world.workers[name].crash()
            directory.stop_writing(name)
            await anyio.sleep(AWAY_BOUND_S)
            self.assertNotIn(world.holder_of(CELL), ("", holder))
            self.assertEqual(len(self._restarts(world, name)), 1)
            world.store.cut_hosts.discard(holder)
            await anyio.sleep(RESTART_BOUND_S)
            self.assertEqual(len(self._restarts(world, name)), 1)

        self._run(_check, drains=False)

    def test_worker_is_lost_and_a_better_holder_comes_during_the_wait(self):
        """Regression: LOST, each change of the holder began a new wait."""

        async def _check(world, directory, name):
            world.workers[name].crash()
            directory.stop_writing(name)
            world.kill_host(world.holder_of(CELL))
            while not world.holder_of(CELL):
                await anyio.sleep(0.05)
            waits_s = former_holders.RENEW_WITHOUT_STORE_S + job_worlds.LEASE_S
            await anyio.sleep(waits_s - 3)
            directory.start_host("host-a-strong", "a", cores=2.0)
            await anyio.sleep(3 + 2)
            self.assertEqual(len(self._restarts(world, name)), 1)
            await anyio.sleep(RESTART_BOUND_S)
            self.assertEqual(world.holder_of(CELL), "host-a-strong")

        self._run(_check, drains=False)

    def test_worker_is_cut_off_from_its_new_holder_only(self):
        """Guards against a second run while the former holder renews."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            worker = world.workers[name]
            world.store.cut_hosts.add(holder)
            worker.cut_from.update(world.hosts.keys() - {holder})
            await directory.fall_silent(name)
            while worker.runs:
                self.assertEqual(self._restarts(world, name), [])
                await anyio.sleep(0.1)
            self.assertNotEqual(world.holder_of(CELL), holder)

        self._run(_check, drains=False)

    def test_worker_is_cut_off_from_two_new_holders(self):
        """Guards against a second run while the first holder renews (TWICE).

        The second holder gives the cell up at once.
        """

        async def _check(world, directory, name):
            first = world.holder_of(CELL)
            world.store.cut_hosts.add(first)
            for worker in world.workers.values():
                worker.cut_from.update(world.hosts.keys() - {first})
            world.add_worker("other", "a")
            world.workers["other"].cut_from.add(first)
            directory.stop_writing(name)
            while self._claim_holder(world) in ("", first):
                await anyio.sleep(0.05)
            taken_at_s = anyio.current_time()
            second = self._claim_holder(world)
            await world.hosts[second].drain()
            await anyio.sleep(directory.expiry_s)
            directory.remove_entry(name)
            self.assertNotIn(self._claim_holder(world), ("", first, second))
            while world.workers[name].runs:
                self.assertEqual(self._restarts(world, name), [])
                await anyio.sleep(0.02)
            waits_s = former_holders.RENEW_WITHOUT_STORE_S + job_worlds.LEASE_S
            until_s = taken_at_s + waits_s + RESTART_BOUND_S
            await anyio.sleep(until_s - anyio.current_time())
            self.assertEqual(len(self._restarts(world, name)), 1)

        self._run(_check, drains=False, hosts_per_zone=3)

    def test_task_of_a_draining_worker_that_fell_silent(self):
        """Guards against two runs of a task whose worker is only cut off."""

        async def _check(world, directory, name):
            worker = world.workers[name]
            worker.cut_from.update(world.hosts)
            await directory.fall_silent(name)
            await anyio.sleep(0.2)
            self.assertEqual(len(worker.runs), 1)
            while worker.runs:
                self.assertEqual(self._restarts(world, name), [])
                await anyio.sleep(0.1)
            await anyio.sleep(2)
            self.assertEqual(len(self._restarts(world, name)), 1)

        self._run(_check)

    def test_cut_worker_whose_last_writes_came_late(self):
        """Guards against a young entry that counts as proof of an end.

        On store-away-drains the store applied heartbeats late, and removed
        the entries of live workers 3.5 s after their last change.
        """

        async def _check(world, directory, name):
            worker = world.workers[name]
            worker.cut_from.update(world.hosts)
            directory.remove_entry(name)
            self.assertEqual(len(worker.runs), 1)
            while worker.runs:
                self.assertEqual(self._restarts(world, name), [])
                await anyio.sleep(0.1)

        self._run(_check)

    def test_live_worker_that_a_new_holder_does_not_find_listed(self):
        """Guards against a second run of a task whose worker still answers."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            await anyio.sleep(0.5)
            directory.remove_entry(name)
            await anyio.sleep(30)
            self.assertNotEqual(world.holder_of(CELL), holder)
            self.assertEqual(len(world.workers[name].runs), 1)
            self.assertEqual(self._restarts(world, name), [])

        self._run(_check)

    def test_entry_that_a_store_lost_while_it_was_away(self):
        """Guards against a removal without silence that proves nothing."""

        async def _check(world, directory, name):
            worker = world.workers[name]
            holder = world.holder_of(CELL)
            world.store.is_down = True
            await anyio.sleep(1)
            world.store.is_down = False
            directory.remove_entry(name)
            world.kill_host(holder)
            worker.cut_from.update(world.hosts)
            while worker.runs:
                self.assertEqual(self._restarts(world, name), [])
                await anyio.sleep(0.1)

        self._run(_check)


class WorkerDirectoryTests(unittest.TestCase):
    """What the removal of an entry proves."""

    def _check(self, check):
        async def _main():
            known = worker_directories.WorkerDirectory(
                max_age_s=1.0, silence_s=4.5
            )
            worker = builders.make_run_worker("w").registration
            await check(
                known, dataclasses.replace(worker, is_draining=True), worker
            )

        builders.run_virtual(_main)

    def test_only_a_draining_worker_leaves(self):
        """Guards against a crashed or replaced worker that counts as gone."""

        async def _check(known, draining, ready):
            known.record_removal(ready, 1.0)
            self.assertFalse(known.has_left("w", NOW_S))
            known.record_removal(draining, 1.0)
            self.assertTrue(known.has_left("w", NOW_S))

        self._check(_check)

    def test_silence_does_not_prove_it(self):
        """Guards against a silent worker, or an unknown age, as a proof."""

        async def _check(known, draining, _ready):
            for age_s in (4.0, 4.5, math.inf):
                known.record_removal(draining, age_s)
                self.assertFalse(known.has_left("w", NOW_S))

        self._check(_check)

    def test_entry_that_returns(self):
        """Guards against a worker of the same id that counts as gone."""

        async def _check(known, draining, ready):
            known.record_removal(draining, 1.0)
            known.update({"w": ready})
            self.assertFalse(known.has_left("w", NOW_S))

        self._check(_check)

    def test_it_is_forgotten_in_time(self):
        """Guards against a list of removals that only grows."""

        async def _check(known, draining, _ready):
            known.record_removal(draining, 1.0)
            await anyio.sleep(2.2)
            self.assertTrue(known.has_left("w", 2.0))
            self.assertFalse(known.has_left("w", 2.4))
            await anyio.sleep(worker_directories.REMOVAL_RETENTION_S)
            other = dataclasses.replace(draining, worker_id="other")
            known.record_removal(other, 1.0)
            self.assertFalse(known.has_left("w", NOW_S))

        self._check(_check)


class VersionTimesTests(unittest.TestCase):
    """Bounds of the time between two changes."""

    def _record(self, times, version, at_s):
        times.record(version=version, sent_at_s=at_s, answered_at_s=at_s + 0.5)

    def test_bounds_contain_the_calls_around_both_changes(self):
        """Guards against an age that leaves out the time of a call."""
        times = version_times.VersionTimes()
        for version, at_s in ((10, 1.0), (20, 2.0), (30, 3.0), (40, 4.0)):
            self._record(times, version, at_s)
        # Written after the call at 2 s was sent, removed before the answer
        # at 4.5 s.
        self.assertEqual(times.longest_between_s(25, 35), 2.5)
        self.assertEqual(times.longest_between_s(20, 30), 2.5)
        self.assertEqual(times.longest_between_s(5, 30), math.inf)
        self.assertEqual(times.longest_between_s(25, 45), math.inf)

    def test_answers_before_a_failure_do_not_count(self):
        """Guards against ages that reach back over a failed call."""
        times = version_times.VersionTimes()
        self._record(times, 10, 1.0)
        times.clear()
        self._record(times, 30, 2.0)
        self.assertEqual(times.longest_between_s(20, 25), math.inf)

    def test_old_answers_are_dropped(self):
        """Guards against a list of answers that only grows."""
        times = version_times.VersionTimes()
        self._record(times, 10, 1.0)
        later_s = 2.0 + version_times.RETENTION_S
        self._record(times, 30, later_s)
        self.assertEqual(times.longest_between_s(20, 25), math.inf)
