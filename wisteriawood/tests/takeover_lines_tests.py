"""Tests of what a new holder logs about its takeover."""

import anyio

from wisteriawood.telemetry import job_events
from wisteriawood.tests import builders
from wisteriawood.tests import handover_tests

CELL = handover_tests.CELL
TAKEOVER_S = 5.0


class TakeoverLinesTests(handover_tests.HandOverCase):
    """The holder is killed after a worker was lost."""

    def _run(self, check):
        """Call a check with the lines of both events and the lost worker."""

        async def _check(world, directory, name):
            self.lose_worker(world, directory, name)
            await anyio.sleep(2)
            with (
                builders.record_events(job_events.TAKEOVER_TIMED) as times,
                builders.record_events(job_events.LEASE_AWAITED) as awaited,
            ):
                world.kill_host(world.holder_of(CELL))
                await anyio.sleep(TAKEOVER_S)
            check(times, awaited, name)

        self.run_world(_check)

    def test_phases_of_the_takeover(self):
        """Guards against a slow takeover whose phase no line names."""

        def _check(times, _awaited, _name):
            (line,) = times
            phases_s = line["phases_s"]
            self.assertEqual(list(phases_s), ["claim", "load", "first_pass"])
            self.assertAlmostEqual(
                sum(phases_s.values()), line["total_s"], places=2
            )
            self.assertGreater(line["silent_s"], 1.0)

        self._run(_check)

    def test_lease_of_a_silent_worker(self):
        """Guards against a wait for a lease that no line explains."""

        def _check(_times, awaited, name):
            (line,) = awaited
            self.assertEqual(line["worker"], name)
            self.assertEqual(len(line["standing"]), 0)
            self.assertEqual(line["runs"], 1)
            self.assertGreater(line["left_s"], 0)
            self.assertTrue(line["basis"])

        self._run(_check)
