"""Tests of the log lines on standard output."""

import json
import os
import unittest

from wisteriawood.telemetry import lines


class LineTests(unittest.TestCase):
    def _pipe(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        writer = lines.LineWriter(descriptor=write_end, fields={"host": "h"})
        return read_end, writer

    def test_each_line_has_the_fields_of_the_writer(self):
        read_end, writer = self._pipe()
        writer.add({"message_type": "W1:x", "task_uuid": "u", "job": "j"})
        writer.flush()
        found = json.loads(os.read(read_end, 10_000))
        self.assertEqual(
            found, {"message_type": "W1:x", "job": "j", "host": "h"}
        )

    def test_lines_over_the_budget_are_counted(self):
        read_end, writer = self._pipe()
        for _line in range(lines.MAX_LINES_PER_TYPE_PER_S * 3):
            writer.add({"message_type": "W1:x"})
        writer.flush()
        found = os.read(read_end, 1_000_000).splitlines()
        last = json.loads(found[-1])
        self.assertEqual(last["message_type"], "W2306:lines-left-out")
        self.assertGreaterEqual(
            last["counts"]["W1:x"], lines.MAX_LINES_PER_TYPE_PER_S
        )

    def test_writer_does_not_block_without_a_reader(self):
        _read_end, writer = self._pipe()
        for number in range(3000):
            writer.add({"message_type": f"W{number}:x", "text": "x" * 1000})
            writer.flush()
        self.assertLess(
            writer._buffered_bytes, lines.MAX_BUFFERED_BYTES + 10_000
        )
