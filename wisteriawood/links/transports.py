"""HTTP/1.1 transport with kept-alive connections to one address.

It implements the transport interface of httpx on anyio and h11. The one that
httpx brings took six tenths of the CPU time of a host that holds a cell, most
of it for proxies, HTTP/2 and the choice among connections to many addresses.
"""

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


class _Connection:
    """One connection, used by one call at a time.

    Args:
        stream: The connected socket.
    """

    __slots__ = ("_http", "_poll", "_stream")

    def __init__(self, *, stream: abc.SocketStream):
        self._stream = stream
        self._http = h11.Connection(our_role=h11.CLIENT)
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
        self, request: httpx.Request, timeouts_s: dict[str, float | None]
    ) -> httpx.Response:
        """Send a request and return the response with its body."""
        head = h11.Request(
            method=request.method.encode("ascii"),
            target=request.url.raw_path,
            headers=request.headers.raw,
        )
        data = self._http.send(head) or b""
        if request.content:
            data += self._http.send(h11.Data(data=request.content)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._send(data, timeouts_s.get("write"))
        return await self._receive(timeouts_s.get("read"))

    async def _send(self, data: bytes, timeout_s: float | None) -> None:
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(data)
        except TimeoutError as exc:
            raise httpx.WriteTimeout("the request was not sent") from exc
        except _BROKEN as exc:
            raise httpx.WriteError(repr(exc)) from exc

    async def _receive(self, timeout_s: float | None) -> httpx.Response:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._read(timeout_s))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
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
        return httpx.Response(
            head.status_code,
            headers=list(head.headers),
            content=b"".join(chunks),
        )

    async def _read(self, timeout_s: float | None) -> bytes:
        try:
            with anyio.fail_after(timeout_s):
                return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as exc:
            raise httpx.ReadTimeout("no answer") from exc
        except _BROKEN as exc:
            raise httpx.ReadError(repr(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


class KeepAliveTransport(httpx.AsyncBaseTransport):
    """Transport for calls to one address without TLS.

    Responses are returned with their complete bodies.

    Args:
        connections: Maximum number of connections; further calls wait.
    """

    __slots__ = ("_idle", "_slots")

    def __init__(self, *, connections: int):
        self._slots = anyio.Semaphore(connections)
        # The connection that was used last is reused first.
        self._idle: list[_Connection] = []

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return the response.

        Raises:
            httpx.TransportError: The call failed; a ConnectError or a
                ConnectTimeout if nothing was sent.
        """
        timeouts_s = request.extensions.get("timeout", {})
        try:
            with anyio.fail_after(timeouts_s.get("pool")):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise httpx.PoolTimeout("all connections are in use") from exc
        try:
            return await self._call(request, timeouts_s)
        finally:
            self._slots.release()

    async def _call(
        self, request: httpx.Request, timeouts_s: dict[str, float | None]
    ) -> httpx.Response:
        connection = await self._take_idle()
        if connection is None:
            connection = await _connect(request.url, timeouts_s.get("connect"))
        try:
            response = await connection.call(request, timeouts_s)
        except h11.ProtocolError as exc:
            await connection.aclose()
            error = (
                httpx.LocalProtocolError
                if isinstance(exc, h11.LocalProtocolError)
                else httpx.RemoteProtocolError
            )
            raise error(str(exc)) from exc
        except BaseException:
            await connection.aclose()
            raise
        if connection.is_between_calls():
            self._idle.append(connection)
        else:
            await connection.aclose()
        return response

    async def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
            await connection.aclose()
        return None

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()


async def _connect(url: httpx.URL, timeout_s: float | None) -> _Connection:
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(url.host, url.port or 80)
    except TimeoutError as exc:
        raise httpx.ConnectTimeout("the connection was not opened") from exc
    except (OSError, ValueError, OverflowError) as exc:
        raise httpx.ConnectError(repr(exc)) from exc
    return _Connection(stream=typing.cast(abc.SocketStream, stream))
