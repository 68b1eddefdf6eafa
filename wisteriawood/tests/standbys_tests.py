"""Tests of which hosts follow the directory of workers, and how often others.

With hundreds of hosts and workers, reading the directory on each host was most
of the bytes that the store sent.
"""

import unittest

import anyio

from wisteriawood.cells import loads
from wisteriawood.cells import members
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.tests import directory_builders

JOB = "0123456789abcdef"
CELL = "shop@a"
STEP = specs.StepSpec(task_count=2, cpu_millicores=1000, memory_mb=10)
HOSTS = 8
# Time in which the hosts of a zone agree on its standbys.
SETTLE_S = 8.0
# Time in which a plain host claims a cell if all other hosts are lost.
TAKEOVER_S = 9.0


class StandbyTests(unittest.TestCase):
    def _run(self, check, *, hosts_per_zone=HOSTS):
        directory_builders.run_followed_world(
            check,
            settle_s=SETTLE_S,
            zones=["a"],
            hosts_per_zone=hosts_per_zone,
        )

    def _followers(self, world):
        return {
            name
            for name, host in world.hosts.items()
            if host.directory.workers
        }

    def test_few_hosts_follow_the_directory(self):
        """Guards against bytes that grow with hosts times workers."""

        async def _check(world, _directory):
            followers = self._followers(world)
            self.assertIn(world.holder_of(CELL), followers)
            self.assertLessEqual(len(followers), members.STANDBYS_PER_ZONE + 1)
            self.assertGreater(len(followers), 1)

        self._run(_check)

    def test_plain_host_accepts_jobs(self):
        """It knows the workers of a cell from what its holder reports."""

        async def _check(world, _directory):
            plain, *_others = sorted(
                world.hosts.keys() - self._followers(world)
            )
            self.assertTrue(world.hosts[plain].has_workers(CELL))
            known = world.hosts[plain].members.all_loads()
            self.assertEqual(
                loads.zone_of_racks(known, "shop", {"rack-a"}), "a"
            )
            await world.submit(JOB, [STEP], host=plain)
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=10)

        self._run(_check)

    def test_standby_takes_over_before_plain_hosts(self):
        """Guards against a new holder that knows no workers."""

        async def _check(world, _directory):
            followers = self._followers(world)
            lost = world.holder_of(CELL)
            world.kill_host(lost)
            await anyio.sleep(5)
            self.assertIn(world.holder_of(CELL), followers - {lost})
            # Another host takes the place of the lost standby.
            await anyio.sleep(5)
            self.assertGreaterEqual(
                len(self._followers(world)), members.STANDBYS_PER_ZONE
            )

        self._run(_check)

    def test_plain_host_takes_over_if_all_others_are_lost(self):
        """Guards against a cell that only standbys would claim."""

        async def _check(world, _directory):
            for name in self._followers(world):
                world.kill_host(name)
            with anyio.fail_after(TAKEOVER_S):
                while not world.holder_of(CELL):
                    await anyio.sleep(0.1)
            await world.submit(JOB, [STEP])
            await world.wait_for(JOB, jobs.JobState.COMPLETED, timeout_s=10)

        self._run(_check)

    def test_plain_host_does_not_take_over_while_the_store_is_slow(self):
        """Its own heartbeats are rarer, so its view of silence is weaker."""

        async def _check(world, _directory):
            holder = world.holder_of(CELL)
            epoch = world.hosts[holder]._holders[CELL].cell.claim.epoch
            world.store.is_down = True
            await anyio.sleep(6)
            world.store.is_down = False
            await anyio.sleep(6)
            holder = world.holder_of(CELL)
            self.assertEqual(
                world.hosts[holder]._holders[CELL].cell.claim.epoch, epoch
            )

        self._run(_check)

    def test_hosts_of_a_small_zone_all_follow(self):
        """Guards against a small zone without a prepared host."""

        async def _check(world, _directory):
            self.assertEqual(self._followers(world), set(world.hosts))

        self._run(_check, hosts_per_zone=members.STANDBYS_PER_ZONE)


if __name__ == "__main__":
    unittest.main()
