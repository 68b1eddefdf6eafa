"""Tests of the sizes of rows and messages about holds, at the limits."""

import unittest

from wisteriawood.cells import claims
from wisteriawood.cells import lease_rows
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import cbor
from wisteriawood.links import messages
from wisteriawood.links import sockets
from wisteriawood.links import stores
from wisteriawood.tests import row_limits_builders as limits_builders


class LargestTests(unittest.TestCase):
    """Rows and messages that grow with what fails, and with the queues."""

    def test_row_of_leases(self):
        """Guards against cells that nobody can claim as the row is full."""
        row = limits_builders.make_largest_leases()
        data = lease_rows.leases_to_bytes(row)
        self.assertLess(len(data), stores.MAX_ROW_BYTES)
        self.assertGreater(len(row.withheld_s), 300)
        self.assertGreater(len(row.unanswered_s), 800)

    def test_answer_about_a_hold(self):
        """Guards against answers that the asking host can't receive."""
        row = limits_builders.make_largest_leases()
        answer = messages.HoldAnswer(
            cell="c" * bounds.MAX_NAME_LENGTH,
            host="h" * bounds.MAX_NAME_LENGTH,
            incarnation="i" * 32,
            former_version=bounds.MAX_NUMBER,
            has_ended=True,
            ended_s=59.9,
            by_worker_s=row.withheld_s,
            unanswered_s=row.unanswered_s,
        )
        self.assertLess(len(cbor.encode(answer)), sockets.MAX_MESSAGE_BYTES)

    def test_heartbeat(self):
        """Guards against live hosts that fall silent as a row is full."""
        for fields in ({"queue_count": 2000}, {"rack_count": 2000}):
            with self.subTest(**fields):
                large = limits_builders.make_largest_heartbeat(**fields)
                found = claims.trim_heartbeat(large)
                data = claims.heartbeat_to_bytes(found)
                self.assertLess(len(data), stores.MAX_ROW_BYTES)
        load = found.cells[limits_builders.CELL]
        self.assertGreater(len(load.racks), 100)
        small = limits_builders.make_largest_heartbeat(queue_count=50)
        self.assertIs(claims.trim_heartbeat(small), small)
