"""Log lines on standard output, with bounded buffers and rates.

Writing never blocks the event loop.
"""

import collections
import os
import time
import typing

import anyio
import eliot
import msgspec

from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

WRITE_PERIOD_S = 0.25
# Lines of one type in one second; further lines are only counted.
MAX_LINES_PER_TYPE_PER_S = 40
# With more bytes than this waiting for the reader, lines are dropped.
MAX_BUFFERED_BYTES = 512 * 1024
# Name under which lines that could not be written are counted.
UNWRITTEN = "unwritten"


class LineWriter:
    """Writes events as JSON lines to a non-blocking file descriptor.

    Args:
        descriptor: File descriptor to write to; made non-blocking.
        fields: Fields that are added to each line.
    """

    __slots__ = (
        "_counts",
        "_descriptor",
        "_fields",
        "_dropped",
        "_lines",
        "_counted_second",
        "_buffered_bytes",
    )

    def __init__(self, *, descriptor: int, fields: dict[str, typing.Any]):
        self._descriptor = descriptor
        self._fields = fields
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._counted_second = 0
        os.set_blocking(descriptor, False)

    def add(self, message: dict[str, typing.Any]) -> None:
        """Add one event to the buffer; called by eliot.

        Args:
            message: Fields of the event.
        """
        message_type = str(message.get("message_type", ""))
        now_unix_s = time.time()
        if int(now_unix_s) != self._counted_second:
            self._counted_second = int(now_unix_s)
            self._counts.clear()
        self._counts[message_type] += 1
        is_over_budget = self._counts[message_type] > MAX_LINES_PER_TYPE_PER_S
        if is_over_budget or self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._dropped[message_type] += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._append({**message, **self._fields})

    def _append(self, message: dict[str, typing.Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        if self._dropped and self._buffered_bytes <= MAX_BUFFERED_BYTES:
            self._append(
                {
                    "timestamp": time.time(),
                    "message_type": events.message_type(
                        job_events.LINES_LEFT_OUT
                    ),
                    "counts": dict(self._dropped),
                    **self._fields,
                }
            )
            self._dropped.clear()
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the output any more. The daemon goes on, and
                # says how many lines were lost if somebody reads again.
                self._dropped[UNWRITTEN] += 1 + len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                return

    async def run(self) -> None:
        """Write lines until cancelled."""
        try:
            while True:
                self.flush()
                await anyio.sleep(WRITE_PERIOD_S)
        finally:
            self.flush()


def log_to_output(*, fields: dict[str, typing.Any]) -> LineWriter:
    """Send all events to standard output.

    Args:
        fields: Fields that are added to each line.
    """
    writer = LineWriter(descriptor=1, fields=fields)
    eliot.add_destinations(writer.add)
    return writer
