"""Tests of hosts that decide at the same time to claim a cell."""

import unittest
from unittest import mock

import anyio

from wisteriawood.machines import takeovers
from wisteriawood.telemetry import job_events
from wisteriawood.tests import builders

CELL = "shop@a"
# Delays of a probe of the cell's workers on the slower of two hosts.
PROBE_DELAYS_S = (0.1, 0.25, 0.4, 0.55)
TAKEOVER_S = 12.0


class ClaimRaceTests(unittest.TestCase):
    """Two hosts of other zones probe the workers of a cell without a host."""

    def _claimants(self, probe_delay_s):
        """Return the hosts that claimed the cell of a killed host."""
        claimants = []

        async def _probe(self, _cell):
            if self._members.name == "host-c-0":
                await anyio.sleep(probe_delay_s)
            return True

        async def _main(world):
            await anyio.sleep(4)
            with builders.record_events(job_events.CELL_CLAIMED) as lines:
                world.kill_host("host-a-0")
                await anyio.sleep(TAKEOVER_S)
            claimants.extend(
                line["silent_s"] for line in lines if line["cell"] == CELL
            )

        with mock.patch.object(
            takeovers.Takeovers, "_can_reach_worker", _probe
        ):
            builders.run_job_world(
                _main, zones=["a", "b", "c"], hosts_per_zone=1
            )
        return claimants

    # Guards against a host that claims over a claim which it has not judged:
    # LOST, as the claim of a moment hid the holder that knew the leases.
    def test_claim_that_appears_during_the_probe_is_not_replaced(self):
        for delay_s in PROBE_DELAYS_S:
            with self.subTest(delay_s=delay_s):
                self.assertEqual(len(self._claimants(delay_s)), 1)
