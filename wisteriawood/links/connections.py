"""Limits on the connections of a server, and the connections it has."""

import collections
import dataclasses
import enum
import resource
import socket
import typing

import anyio
from anyio import lowlevel

# Bytes read at a time: a connection holds no more of a body than this beside
# the account of bodies.
READ_BYTES = 16 * 1024
# Descriptors of which the process must not use more than these for files.
FILE_FDS = 200
# Share of the other descriptors that callers may use; the rest is kept free
# for the store, the workers and the other hosts.
CALLER_FD_SHARE = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLimits:
    """Limits on what the clients of a server may use.

    Attributes:
        max_connections: Connections at a time, at each address.
        idle_timeout_s: Time between two requests of a connection, and before
            the first.
        head_timeout_s: Time from the first byte of a request to the end of
            its head.
        max_head_bytes: Size of the head.
        body_stall_s: Time without any byte of a body that is awaited.
        body_min_bytes_per_s: Rate at which a body must arrive, once it has
            been awaited for body_stall_s.
        answer_timeout_s: Time for a client to take an answer.
    """

    max_connections: int = 1000
    idle_timeout_s: float = 60.0
    head_timeout_s: float = 10.0
    max_head_bytes: int = 32 * 1024
    body_stall_s: float = 10.0
    body_min_bytes_per_s: float = 4096.0
    answer_timeout_s: float = 60.0


def share_of_fds(max_fds: int) -> int:
    """Return the number of connections that leave descriptors for the rest.

    Args:
        max_fds: Largest number of descriptors of the process; 0 if unknown.
    """
    max_fds = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(1, int((max_fds - FILE_FDS) * CALLER_FD_SHARE))


class State(enum.StrEnum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    CLOSING = "closing"


class Connection:
    """A connection of a client.

    Args:
        sock: Its socket, which does not block.
        table: The table that lists it.

    Attributes:
        rest: Received bytes that belong to the next request.
        scope: Scope of its task; cancelled to close it.
        state: What it waits for.
    """

    __slots__ = ("_sock", "_table", "rest", "scope", "state")

    def __init__(self, *, sock: socket.socket, table: "ConnectionTable"):
        self._sock = sock
        self._table = table
        self.rest = b""
        self.scope = anyio.CancelScope()
        self.state = State.IDLE

    def enter(self, state: State) -> None:
        """Record what it waits for now, which is progress.

        Args:
            state: What it waits for.
        """
        self.state = state
        self._table.record_progress(self)

    async def read(self) -> bytes:
        """Return the next bytes; none at the end of the connection.

        Raises:
            OSError: The connection broke.
        """
        while True:
            try:
                data = self._sock.recv(READ_BYTES)
            except BlockingIOError:
                await anyio.wait_readable(self._sock)
                continue
            is_request = bool(data) and self.state is State.IDLE
            if is_request:
                self.state = State.HEAD
            self._table.record_progress(self)
            # Clients that send without pause would keep out all others.
            if is_request:
                # The idle time-out would otherwise drop what has been read.
                await lowlevel.cancel_shielded_checkpoint()
            else:
                await lowlevel.checkpoint()
            return data

    def has_input(self) -> bool:
        """Return whether received bytes wait to be read."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    async def write(self, data: bytes) -> None:
        """Send bytes.

        Args:
            data: The bytes.

        Raises:
            OSError: The connection broke.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                await anyio.wait_writable(self._sock)

    async def wait_for_end(self) -> None:
        """Wait until the client closes; later requests are left unread."""
        while True:
            await anyio.wait_readable(self._sock)
            try:
                if not self._sock.recv(1, socket.MSG_PEEK):
                    return
            except BlockingIOError:
                continue
            except OSError:
                return
            # Something waits to be read, so the end can't be told.
            await anyio.sleep_forever()

    def end_output(self) -> None:
        """Tell the client that nothing more is sent."""
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class ConnectionTable:
    """The connections at one address.

    When there are too many, it closes those that have gone longest without
    progress. A connection whose request is complete is never closed.

    Args:
        max_connections: Largest number of connections at a time.
        on_eviction: Called for each connection that it closes.
    """

    __slots__ = (
        "_all",
        "_changed",
        "_evictable",
        "_max_connections",
        "_on_eviction",
    )

    def __init__(
        self,
        *,
        max_connections: int,
        on_eviction: typing.Callable[[], None] = lambda: None,
    ):
        self._max_connections = max_connections
        self._on_eviction = on_eviction
        self._all: set[Connection] = set()
        # The one that has gone longest without progress comes first.
        self._evictable: collections.OrderedDict[Connection, None] = (
            collections.OrderedDict()
        )
        self._changed = anyio.Event()

    def add(self, sock: socket.socket) -> Connection:
        """Return a new connection.

        Args:
            sock: Its socket, which does not block.
        """
        connection = Connection(sock=sock, table=self)
        self._all.add(connection)
        self._evictable[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has been closed.

        Args:
            connection: The connection.
        """
        self._all.discard(connection)
        self._evictable.pop(connection, None)
        self._changed.set()

    def record_progress(self, connection: Connection) -> None:
        """Order a connection behind all that have made no progress since.

        Args:
            connection: The connection.
        """
        self._evictable.pop(connection, None)
        if connection.state is not State.ANSWER and connection in self._all:
            if not connection.scope.cancel_called:
                self._evictable[connection] = None

    async def make_room(self) -> None:
        """Close connections until another one fits.

        Waits if the requests of all connections are complete.
        """
        while not self.has_room():
            self.evict()
            self._changed = anyio.Event()
            await self._changed.wait()

    def has_room(self) -> bool:
        """Return whether another connection fits."""
        return len(self._all) < self._max_connections

    def evict(self) -> None:
        """Close the connection that has gone longest without progress.

        Does nothing if the requests of all connections are complete.
        """
        if self._evictable:
            connection, _ = self._evictable.popitem(last=False)
            connection.scope.cancel()
            self._on_eviction()

    def count(self, state: State) -> int:
        """Return the number of connections that wait for something.

        Args:
            state: What they wait for.
        """
        return sum(c.state is state for c in self._all)

    def close_idle(self) -> None:
        """Close the connections without a request.

        A connection whose request has not been read yet is kept for it.
        """
        for connection in list(self._all):
            if connection.state is State.IDLE and not connection.has_input():
                connection.scope.cancel()

    async def wait_until_empty(self) -> None:
        """Wait until all connections are closed."""
        while self._all:
            self._changed = anyio.Event()
            await self._changed.wait()
