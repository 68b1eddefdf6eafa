"""A TCP proxy on loopback that injects faults into a link."""

import enum
import errno
import socket
import struct

import anyio
from anyio import abc

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
HOLD_TICK_S = 0.02
# Errors of a connection that has ended, before and after its socket is closed.
_ENDED_ERRNOS = (errno.ENOTCONN, errno.EBADF)


class Direction(enum.StrEnum):
    """Directions of a link, as seen by the client."""

    OUT = "out"
    BACK = "back"


class Proxy:
    """Forwards the connections of one link.

    Bytes in a held direction are delayed until it is released; bytes are
    lost only when the connection is reset, as with TCP.

    Args:
        target_port: Port on loopback that connections are forwarded to.

    Attributes:
        port: Port that the proxy listens on.
        delay_s: Delay of each chunk in seconds.
        held: Directions in which no bytes are forwarded.
        is_refusing: Whether new connections are closed immediately.
    """

    __slots__ = (
        "_listener",
        "_streams",
        "_target_port",
        "delay_s",
        "held",
        "is_refusing",
        "port",
    )

    def __init__(self, *, target_port: int):
        self._target_port = target_port
        self._listener: abc.Listener | None = None
        self._streams: set[abc.SocketStream] = set()
        self.port = 0
        self.delay_s = 0.0
        self.held: set[Direction] = set()
        self.is_refusing = False

    async def listen(self) -> None:
        """Listen on a free port."""
        self._listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=0
        )
        self.port = self._listener.extra(abc.SocketAttribute.local_port)

    async def run(self) -> None:
        """Forward connections until cancelled."""
        await self._listener.serve(self._relay)

    def reset(self) -> None:
        """Reset all connections."""
        for stream in list(self._streams):
            raw = stream.extra(abc.SocketAttribute.raw_socket)
            # With a linger time of 0, closing the socket sends a reset.
            linger = struct.pack("ii", 1, 0)
            try:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                raw.shutdown(socket.SHUT_RDWR)
            except OSError as exc:
                if exc.errno not in _ENDED_ERRNOS:
                    raise

    async def _relay(self, near: abc.SocketStream) -> None:
        async with near:
            if self.is_refusing:
                return
            try:
                far = await anyio.connect_tcp(HOST, self._target_port)
            except OSError:
                # No server is listening; the client sees a closed connection.
                return
            async with far:
                self._streams |= {near, far}
                try:
                    async with anyio.create_task_group() as group:
                        for direction, source, sink in (
                            (Direction.OUT, near, far),
                            (Direction.BACK, far, near),
                        ):
                            group.start_soon(
                                self._pump, group, direction, source, sink
                            )
                finally:
                    self._streams -= {near, far}

    async def _pump(
        self,
        group: abc.TaskGroup,
        direction: Direction,
        source: abc.SocketStream,
        sink: abc.SocketStream,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                while direction in self.held:
                    await anyio.sleep(HOLD_TICK_S)
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            # One end is closed, so the other direction ends as well.
            group.cancel_scope.cancel()
