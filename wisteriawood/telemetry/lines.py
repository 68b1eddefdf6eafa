"""Log lines on standard output, bounded and never blocking."""

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
# Lines of one kind in a second; what is over is counted instead.
LINES_PER_KIND_S = 40
# Bytes that wait for a reader before further lines are left out.
MAX_WAITING_BYTES = 512 * 1024


class LineWriter:
    """Writes events as JSON lines to a descriptor that may be full.

    Args:
        descriptor: File descriptor to write to.
        fields: Fields that each line carries.
    """

    __slots__ = (
        "_counts",
        "_descriptor",
        "_fields",
        "_left_out",
        "_lines",
        "_second",
        "_waiting_bytes",
    )

    def __init__(self, *, descriptor: int, fields: dict[str, typing.Any]):
        self._descriptor = descriptor
        self._fields = fields
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._second = 0
        os.set_blocking(descriptor, False)

    def add(self, message: dict[str, typing.Any]) -> None:
        """Take one event; called by the library.

        Args:
            message: Its fields.
        """
        kind = str(message.get("message_type", ""))
        now_unix_s = time.time()
        if int(now_unix_s) != self._second:
            self._second = int(now_unix_s)
            self._counts.clear()
        self._counts[kind] += 1
        is_over = self._counts[kind] > LINES_PER_KIND_S
        if is_over or self._waiting_bytes > MAX_WAITING_BYTES:
            self._left_out[kind] += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        self._append({**message, **self._fields})

    def _append(self, message: dict[str, typing.Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if self._left_out and self._waiting_bytes <= MAX_WAITING_BYTES:
            self._append(
                {
                    "timestamp": time.time(),
                    "message_type": events.message_type(
                        job_events.LINES_LEFT_OUT
                    ),
                    "counts": dict(self._left_out),
                    **self._fields,
                }
            )
            self._left_out.clear()
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            self._waiting_bytes -= written
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
        fields: Fields that each line carries.
    """
    writer = LineWriter(descriptor=1, fields=fields)
    eliot.add_destinations(writer.add)
    return writer
