"""HTTP/1.1 calls over kept-alive connections to one address.

A host that holds a cell makes hundreds of small calls a second. Through the
client of httpx they took two thirds of its CPU time, most of it for proxies,
HTTP/2, and the choice among connections to many addresses. This transport uses
anyio and h11 directly; its errors are those of httpx.
"""

import collections.abc
import select
import typing

import anyio
from anyio import abc
import h11
import httpx

# Bytes read from a connection at once.
READ_BYTES = 256 * 1024
# Errors of a socket that has failed or was closed.
_BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)

Headers = list[tuple[bytes, bytes]]
# Makes a call on one connection: target, body and timeouts.
Send = collections.abc.Callable[
    [str, bytes, httpx.Timeout], collections.abc.Awaitable["Answer"]
]


class OtherInstanceError(httpx.TransportError):
    """Another instance of the server process answers at the address."""


class Instance:
    """The instance of a server process that a call is meant for.

    A connection ends with the process that has accepted it, so what is sent on
    one that the instance has answered reaches no other instance.

    Args:
        number: Identifies the instance.
        identify: Makes a call on a new connection that any instance may
            carry out, and returns the number of the one that answers.
    """

    __slots__ = ("identify", "number")

    def __init__(
        self,
        *,
        number: int,
        identify: collections.abc.Callable[
            [Send], collections.abc.Awaitable[int]
        ],
    ):
        self.number = number
        self.identify = identify


class Answer:
    """A response with its complete body.

    Attributes:
        status_code: HTTP status.
        content: The body.
    """

    __slots__ = ("content", "status_code")

    def __init__(self, *, status_code: int, content: bytes):
        self.status_code = status_code
        self.content = content

    @property
    def text(self) -> str:
        """The body as text; bytes that are no UTF-8 are replaced."""
        return self.content.decode("utf-8", "replace")


class _Connection:
    """One connection, used by one call at a time.

    Args:
        stream: The connected socket.

    Attributes:
        answered_at_s: Monotonic time of the last answer.
        instance: Number of the server's instance; 0 if it is not known.
    """

    __slots__ = ("_http", "_poll", "_stream", "answered_at_s", "instance")

    def __init__(self, *, stream: abc.SocketStream):
        self._stream = stream
        self._http = h11.Connection(our_role=h11.CLIENT)
        self.answered_at_s = 0.0
        self.instance = 0
        self._poll = select.poll()
        raw_socket = stream.extra(abc.SocketAttribute.raw_socket)
        self._poll.register(raw_socket.fileno(), select.POLLIN)

    def is_reusable(self) -> bool:
        """Return whether another call may use the connection.

        A readable socket has been closed by the peer, or has bytes that
        belong to no call.
        """
        return self.is_between_calls() and not self._poll.poll(0)

    def is_between_calls(self) -> bool:
        """Return whether the last call has left the connection usable."""
        return (
            self._http.our_state is h11.IDLE
            and self._http.their_state is h11.IDLE
        )

    async def call(
        self, head: h11.Request, content: bytes, timeout_s: float | None
    ) -> Answer:
        """Send a request and return the response.

        Args:
            head: The request without its body.
            content: The body.
            timeout_s: Longest time until the response begins, and between
                two parts of it.

        Raises:
            httpx.TransportError: The connection failed or timed out.
            h11.ProtocolError: The request or the response is not valid HTTP.
        """
        parts = [self._http.send(head)]
        if content:
            parts.append(self._http.send(h11.Data(data=content)))
        parts.append(self._http.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(data)
                received = await self._receive()
        except TimeoutError as exc:
            raise httpx.ReadTimeout("no answer") from exc
        except _BROKEN as exc:
            raise httpx.ReadError(repr(exc)) from exc
        return await self._read_answer(received, timeout_s)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _read_answer(
        self, received: bytes, timeout_s: float | None
    ) -> Answer:
        status_code = 0
        chunks: list[bytes] = []
        self._http.receive_data(received)
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._read_more(timeout_s))
            elif isinstance(event, h11.Response):
                status_code = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.PAUSED or isinstance(
                event, h11.ConnectionClosed
            ):
                raise httpx.RemoteProtocolError(
                    "the server ended the connection without an answer"
                )
        if (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        ):
            self._http.start_next_cycle()
        return Answer(status_code=status_code, content=b"".join(chunks))

    async def _read_more(self, timeout_s: float | None) -> bytes:
        try:
            with anyio.fail_after(timeout_s):
                return await self._receive()
        except TimeoutError as exc:
            raise httpx.ReadTimeout("no end of the answer") from exc
        except _BROKEN as exc:
            raise httpx.ReadError(repr(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


class KeepAliveTransport:
    """Makes calls to one address without TLS.

    Args:
        host: IP address or name of the server.
        port: Its port.
        connections: Maximum number of connections; further calls wait.
    """

    __slots__ = ("_host", "_host_header", "_idle", "_port", "_slots")

    def __init__(self, *, host: str, port: int, connections: int):
        self._host = host
        self._port = port
        name = f"[{host}]" if ":" in host else host
        self._host_header = f"{name}:{port}".encode("ascii")
        self._slots = anyio.Semaphore(connections)
        # The connection that was used last is reused first.
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Headers,
        content: bytes,
        timeout: httpx.Timeout,
        instance: Instance | None = None,
    ) -> Answer:
        """Send a request and return the response.

        Args:
            method: HTTP method.
            target: Percent-encoded path and query.
            headers: Header fields without Host and Content-Length.
            content: Body.
            timeout: Timeouts; that for reads also limits the write.
            instance: The instance that the request is meant for; None for
                any.

        Raises:
            httpx.TransportError: The call failed; a ConnectError or a
                ConnectTimeout if nothing was sent.
            OtherInstanceError: Another instance answers; the request was not
                sent.
        """
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            await self._wait_for_slot(timeout.pool)
        try:
            head = self._make_head(method, target, headers, content)
            connection = await self._take_idle(instance)
            if connection is None:
                connection = await self._connect(timeout.connect)
            if instance is not None and not connection.instance:
                await self._identify(connection, instance, method, headers)
            return await self._call_on(connection, head, content, timeout)
        except h11.LocalProtocolError as exc:
            raise httpx.LocalProtocolError(str(exc)) from exc
        except h11.RemoteProtocolError as exc:
            raise httpx.RemoteProtocolError(str(exc)) from exc
        finally:
            self._slots.release()

    def _make_head(
        self, method: str, target: str, headers: Headers, content: bytes
    ) -> h11.Request:
        return h11.Request(
            method=method,
            target=target,
            headers=[
                (b"host", self._host_header),
                *headers,
                (b"content-length", str(len(content)).encode("ascii")),
            ],
        )

    async def _identify(
        self,
        connection: _Connection,
        instance: Instance,
        method: str,
        headers: Headers,
    ) -> None:
        """Find out which instance a connection leads to.

        Raises:
            OtherInstanceError: It is another one than the given.
        """

        async def _send(
            target: str, content: bytes, timeout: httpx.Timeout
        ) -> Answer:
            head = self._make_head(method, target, headers, content)
            return await connection.call(head, content, timeout.read)

        is_kept = False
        try:
            connection.instance = await instance.identify(_send)
            connection.answered_at_s = anyio.current_time()
            if connection.instance == instance.number:
                is_kept = connection.is_between_calls()
            if not is_kept:
                raise OtherInstanceError("another instance answers")
        finally:
            if not is_kept:
                await connection.aclose()

    async def _wait_for_slot(self, timeout_s: float | None) -> None:
        try:
            with anyio.fail_after(timeout_s):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise httpx.PoolTimeout("all connections are in use") from exc

    async def _call_on(
        self,
        connection: _Connection,
        head: h11.Request,
        content: bytes,
        timeout: httpx.Timeout,
    ) -> Answer:
        is_kept = False
        sent_at_s = anyio.current_time()
        try:
            answer = await connection.call(head, content, timeout.read)
            connection.answered_at_s = anyio.current_time()
            is_kept = connection.is_between_calls()
            return answer
        except httpx.ReadTimeout:
            await self._close_idle_since(sent_at_s)
            raise
        finally:
            if is_kept:
                self._idle.append(connection)
            else:
                await connection.aclose()

    async def _close_idle_since(self, at_s: float) -> None:
        """Close the idle connections without an answer since a time.

        They may have gone silent together with one that has timed out, and
        each would cost a call its timeout.
        """
        outdated = [c for c in self._idle if c.answered_at_s < at_s]
        self._idle = [c for c in self._idle if c.answered_at_s >= at_s]
        for connection in outdated:
            await connection.aclose()

    async def _take_idle(
        self, instance: Instance | None
    ) -> _Connection | None:
        """Return an idle connection; None if there is none.

        Args:
            instance: The instance that it must lead to, if that is known.
        """
        while self._idle:
            connection = self._idle.pop()
            is_suitable = (
                instance is None
                or not connection.instance
                or connection.instance == instance.number
            )
            if is_suitable and connection.is_reusable():
                return connection
            await connection.aclose()
        return None

    async def _connect(self, timeout_s: float | None) -> _Connection:
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(self._host, self._port)
        except TimeoutError as exc:
            raise httpx.ConnectTimeout("no connection in time") from exc
        except (OSError, ValueError, OverflowError) as exc:
            raise httpx.ConnectError(repr(exc)) from exc
        return _Connection(stream=typing.cast(abc.SocketStream, stream))

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()
