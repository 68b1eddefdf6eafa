"""Tests of the log lines on standard output."""

import json
import os
import unittest

from wisteriawood.telemetry import lines


class LineTests(unittest.TestCase):
    def _pipe(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        writer = lines.LineWriter(descriptor=writing, fields={"host": "h"})
        return reading, writer

    def test_a_line_carries_its_fields(self):
        reading, writer = self._pipe()
        writer.add({"message_type": "W1:x", "task_uuid": "u", "job": "j"})
        writer.flush()
        found = json.loads(os.read(reading, 10_000))
        self.assertEqual(
            found, {"message_type": "W1:x", "job": "j", "host": "h"}
        )

    def test_lines_over_the_budget_are_counted(self):
        reading, writer = self._pipe()
        for _line in range(lines.LINES_PER_KIND_S * 3):
            writer.add({"message_type": "W1:x"})
        writer.flush()
        found = os.read(reading, 1_000_000).splitlines()
        last = json.loads(found[-1])
        self.assertEqual(last["message_type"], "W2306:lines-left-out")
        self.assertGreaterEqual(last["counts"]["W1:x"], lines.LINES_PER_KIND_S)

    def test_a_reader_that_does_not_read_blocks_nothing(self):
        _reading, writer = self._pipe()
        for number in range(3000):
            writer.add({"message_type": f"W{number}:x", "text": "x" * 1000})
            writer.flush()
        self.assertLess(
            writer._waiting_bytes, lines.MAX_WAITING_BYTES + 10_000
        )
