"""HTTP/1.1 server whose memory and descriptors are bounded.

It runs an ASGI application, in one task for each connection. The application
reads the body in that task, from the socket: nothing is queued for it, and
nothing is read that it does not ask for. After an answer to a request whose
body has not been read to its end, the connection is closed.
"""

import contextlib
from email import utils
import errno
import functools
import socket
import time
import typing
from urllib import parse

import anyio
from anyio import abc
from anyio import lowlevel
import h11

from wisteriawood import errors
from wisteriawood.links.codecs import http_bodies
from wisteriawood.links import connections

GRACEFUL_TIMEOUT_S = 60.0
# Time for which a connection with unread bytes stays open after its answer:
# closing it makes the system reset it, and the client could lose the answer.
LINGER_S = 0.5
# What is read and discarded in that time.
LINGER_BYTES = 256 * 1024
# Delay after a connection could not be accepted, for lack of descriptors.
ACCEPT_RETRY_S = 0.1
BACKLOG = 1024
# Each header costs objects beside its text, so that a head of many tiny
# headers would occupy many times its size.
MAX_HEADERS = 100

OnRefusal = typing.Callable[[str], None]


class RequestBody:
    """The body of one request, which the application asks for in pieces.

    Args:
        connection: The connection.
        parser: Encodes the interim answer to `Expect: 100-continue`.
        decoder: Decodes the body.
        data: What has been received behind the head.
        limits: Limits on the time that the body takes.
        on_refusal: Called with the reason if the body is refused.
    """

    __slots__ = (
        "_awaited_at_s",
        "_connection",
        "_data",
        "_has_ended",
        "_limits",
        "_on_refusal",
        "_parser",
        "_size_bytes",
        "decoder",
    )

    def __init__(
        self,
        *,
        connection: connections.Connection,
        parser: h11.Connection,
        decoder: http_bodies.Decoder,
        data: bytes,
        limits: connections.ServerLimits,
        on_refusal: OnRefusal,
    ):
        self._connection = connection
        self._parser = parser
        self.decoder = decoder
        self._data = data
        self._limits = limits
        self._on_refusal = on_refusal
        self._awaited_at_s = 0.0
        self._size_bytes = 0
        self._has_ended = False
        if decoder.is_complete:
            decoder.rest = data

    async def receive(self) -> dict:
        """Return the next ASGI message.

        Raises:
            BodyRefusedError: The body is malformed, or arrives too slowly.
        """
        if self._has_ended:
            await self._connection.wait_for_end()
            return {"type": "http.disconnect"}
        piece = b""
        while not piece and not self.decoder.is_complete:
            data, self._data = self._data, b""
            if not data:
                data = await self._read()
                if not data:
                    self._has_ended = True
                    return {"type": "http.disconnect"}
            try:
                piece = self.decoder.feed(data)
            except errors.MessageError as exc:
                self._on_refusal("malformed")
                raise errors.BodyRefusedError(
                    reason=str(exc), status=400, retry_after_s=0
                ) from exc
        self._size_bytes += len(piece)
        if self.decoder.is_complete:
            self._has_ended = True
            self._connection.enter(connections.State.ANSWER)
        return {
            "type": "http.request",
            "body": piece,
            "more_body": not self.decoder.is_complete,
        }

    async def _read(self) -> bytes:
        """Wait for more of the body, for as long as its size so far allows."""
        limits = self._limits
        if not self._awaited_at_s:
            self._awaited_at_s = anyio.current_time()
            self._connection.enter(connections.State.BODY)
        due_s = (
            self._awaited_at_s
            + limits.body_stall_s
            + self._size_bytes / limits.body_min_bytes_per_s
        )
        left_s = due_s - anyio.current_time()
        with anyio.move_on_after(min(left_s, limits.body_stall_s)):
            try:
                await self._ask_for_body()
                return await self._connection.read()
            except OSError:
                return b""
        self._on_refusal("stalled")
        raise errors.BodyRefusedError(
            reason="the body arrives too slowly", status=408
        )

    async def _ask_for_body(self) -> None:
        """Send the interim answer if the client waits for it."""
        if self._parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._connection.write(self._parser.send(interim))


class _Answer:
    """Sends the answer that an application gives to one request.

    Args:
        connection: The connection.
        parser: Encodes the answer.
        method: Method of the request.
        body: Its body.
        timeout_s: Time for the client to take the answer.
        is_last: Returns whether the server closes connections now.
    """

    __slots__ = (
        "_body",
        "_connection",
        "_data",
        "_is_last",
        "_method",
        "_parser",
        "_timeout_s",
        "has_begun",
    )

    def __init__(
        self,
        *,
        connection: connections.Connection,
        parser: h11.Connection,
        method: str,
        body: RequestBody,
        timeout_s: float,
        is_last: typing.Callable[[], bool],
    ):
        self._connection = connection
        self._parser = parser
        self._method = method
        self._body = body
        self._timeout_s = timeout_s
        self._is_last = is_last
        self._data = b""
        self.has_begun = False

    async def send(self, message: dict) -> None:
        """Process an ASGI message."""
        if message["type"] == "http.response.start":
            self.has_begun = True
            self._connection.enter(connections.State.ANSWER)
            headers = [*message.get("headers", []), (b"date", _date())]
            is_last = not self._body.decoder.is_complete or self._is_last()
            if is_last and (b"connection", b"close") not in headers:
                headers.append((b"connection", b"close"))
            response = h11.Response(
                status_code=message["status"], headers=headers
            )
            self._data = self._parser.send(response)
            return
        if message.get("body") and self._method != "HEAD":
            self._data += self._parser.send(h11.Data(data=message["body"]))
        if not message.get("more_body"):
            self._data += self._parser.send(h11.EndOfMessage())
        data, self._data = self._data, b""
        with anyio.move_on_after(self._timeout_s):
            await self._connection.write(data)
            return
        raise errors.LinkClosedError("the client does not take the answer")


class HttpServer:
    """Serves an ASGI application at some addresses.

    Args:
        app: The application.
        limits: What clients may use.
        on_refusal: Called with the reason for each client that the server
            refuses or closes by itself.
    """

    __slots__ = ("_app", "_is_stopping", "_limits", "_on_refusal", "_tables")

    def __init__(
        self,
        *,
        app: typing.Any,
        limits: connections.ServerLimits,
        on_refusal: OnRefusal = lambda reason: None,
    ):
        self._app = app
        self._limits = limits
        self._on_refusal = on_refusal
        self._is_stopping = False
        self._tables: list[connections.ConnectionTable] = []

    def count(self, state: connections.State) -> int:
        """Return the number of connections that wait for something.

        Args:
            state: What they wait for.
        """
        return sum(table.count(state) for table in self._tables)

    async def serve_until(
        self, addresses: dict[str, int], stopping: anyio.Event
    ) -> None:
        """Serve until an event is set.

        Requests in flight then have GRACEFUL_TIMEOUT_S to complete.

        Args:
            addresses: Largest number of connections at a time by address to
                listen on, as host:port.
            stopping: Event that stops the server.

        Raises:
            OSError: An address can't be listened on.
        """
        listeners = [_listen(address) for address in addresses]
        try:
            async with anyio.create_task_group() as group:
                async with anyio.create_task_group() as accepting:
                    for listener, most in zip(listeners, addresses.values()):
                        table = connections.ConnectionTable(
                            max_connections=most,
                            on_eviction=functools.partial(
                                self._on_refusal, "connections"
                            ),
                        )
                        self._tables.append(table)
                        accepting.start_soon(
                            self._accept, listener, table, group
                        )
                    await stopping.wait()
                    accepting.cancel_scope.cancel()
                for listener, table in zip(listeners, self._tables):
                    self._accept_backlog(listener, table, group)
                    listener.close()
                self._is_stopping = True
                with anyio.move_on_after(GRACEFUL_TIMEOUT_S):
                    for table in self._tables:
                        table.close_idle()
                        await table.wait_until_empty()
                group.cancel_scope.cancel()
        finally:
            for listener in listeners:
                listener.close()

    async def _accept(
        self,
        listener: socket.socket,
        table: connections.ConnectionTable,
        group: abc.TaskGroup,
    ) -> None:
        while True:
            await anyio.wait_readable(listener)
            await table.make_room()
            try:
                self._accept_one(listener, table, group)
            except (BlockingIOError, ConnectionAbortedError):
                # The client has closed it already.
                continue
            except OSError as exc:
                self._on_refusal("descriptors")
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    table.evict()
                await anyio.sleep(ACCEPT_RETRY_S)

    def _accept_backlog(
        self,
        listener: socket.socket,
        table: connections.ConnectionTable,
        group: abc.TaskGroup,
    ) -> None:
        """Accept the connections that wait: closing would reset them."""
        while table.has_room():
            try:
                self._accept_one(listener, table, group)
            except ConnectionAbortedError:
                continue
            except OSError:
                return

    def _accept_one(
        self,
        listener: socket.socket,
        table: connections.ConnectionTable,
        group: abc.TaskGroup,
    ) -> None:
        """Accept a connection and serve it.

        Nothing suspends in between, so that no accepted connection is lost.

        Raises:
            OSError: No connection can be accepted.
        """
        sock, _address = listener.accept()
        sock.setblocking(False)
        # A client that has closed already shows when it is served.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        group.start_soon(self._serve, table.add(sock), table)

    async def _serve(
        self,
        connection: connections.Connection,
        table: connections.ConnectionTable,
    ) -> None:
        """Serve the requests of one connection."""
        try:
            with connection.scope:
                while await self._serve_request(connection):
                    connection.enter(connections.State.IDLE)
                    has_more = connection.rest or connection.has_input()
                    if self._is_stopping and not has_more:
                        break
        except (OSError, errors.LinkError):
            pass
        except Exception:
            # Other connections are served on.
            self._on_refusal("failed")
        finally:
            connection.close()
            table.remove(connection)

    async def _serve_request(self, connection: connections.Connection) -> bool:
        """Serve the next request; return whether another one may follow."""
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_head_bytes
        )
        status = 0
        try:
            scope = await self._read_head(connection, parser)
            if scope is None:
                return False
            decoder = http_bodies.make_decoder(
                scope["headers"], scope["http_version"].encode()
            )
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
        except errors.MessageError:
            status = 400
        if status:
            if status != 408:
                self._on_refusal("malformed")
            # Not in the handlers: the exception refers to the head.
            await self._refuse(connection, parser, status)
            return False
        body = RequestBody(
            connection=connection,
            parser=parser,
            decoder=decoder,
            data=parser.trailing_data[0],
            limits=self._limits,
            on_refusal=self._on_refusal,
        )
        answer = _Answer(
            connection=connection,
            parser=parser,
            method=scope["method"],
            body=body,
            timeout_s=self._limits.answer_timeout_s,
            is_last=lambda: self._is_stopping,
        )
        await self._run_app(scope, body, answer)
        connection.rest = decoder.rest
        if parser.our_state is h11.DONE and decoder.is_complete:
            # Pipelined requests would keep out all others.
            await lowlevel.checkpoint()
            return True
        has_unread = decoder.rest or connection.has_input()
        if has_unread or not decoder.is_complete:
            await _linger(connection)
        return False

    async def _run_app(
        self, scope: dict, body: RequestBody, answer: _Answer
    ) -> None:
        """Let the application answer, even if it fails."""
        try:
            await self._app(scope, body.receive, answer.send)
        except (OSError, errors.LinkError):
            raise
        except Exception:
            self._on_refusal("failed")
            if answer.has_begun:
                raise errors.LinkClosedError("the answer is incomplete")
            await answer.send({"type": "http.response.start", "status": 500})
            await answer.send({"type": "http.response.body"})

    async def _read_head(
        self, connection: connections.Connection, parser: h11.Connection
    ) -> dict | None:
        """Return the scope of the next request; None if there is none.

        Raises:
            RemoteProtocolError: The head is malformed, too long, or has not
                arrived in time.
        """
        data, connection.rest = connection.rest, b""
        if not data:
            with anyio.move_on_after(self._limits.idle_timeout_s):
                data = await connection.read()
        if not data:
            return None
        connection.enter(connections.State.HEAD)
        with anyio.move_on_after(self._limits.head_timeout_s):
            while data:
                parser.receive_data(data)
                event = parser.next_event()
                if isinstance(event, h11.Request):
                    if len(event.headers) > MAX_HEADERS:
                        raise h11.RemoteProtocolError(
                            "too many headers", error_status_hint=431
                        )
                    connection.enter(connections.State.ANSWER)
                    # The only reference to the headers from here on.
                    return _make_scope(event)
                data = await connection.read()
            return None
        self._on_refusal("head")
        raise h11.RemoteProtocolError(
            "the head arrives too slowly", error_status_hint=408
        )

    async def _refuse(
        self,
        connection: connections.Connection,
        parser: h11.Connection,
        status: int,
    ) -> None:
        """Answer a request that the application does not see."""
        headers = [
            (b"content-length", b"0"),
            (b"connection", b"close"),
            (b"date", _date()),
        ]
        data = parser.send(h11.Response(status_code=status, headers=headers))
        data += parser.send(h11.EndOfMessage())
        with anyio.move_on_after(self._limits.answer_timeout_s):
            await connection.write(data)
            await _linger(connection)


def _make_scope(request: h11.Request) -> dict:
    """Return the ASGI scope of a request."""
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"spec_version": "2.1", "version": "3.0"},
        "http_version": request.http_version.decode(),
        "method": request.method.decode().upper(),
        "scheme": "http",
        "path": parse.unquote(path.decode()),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(request.headers),
    }


async def _linger(connection: connections.Connection) -> None:
    """Let the client read its answer before the connection is closed."""
    connection.enter(connections.State.CLOSING)
    connection.end_output()
    left_bytes = LINGER_BYTES
    with anyio.move_on_after(LINGER_S):
        while left_bytes > 0:
            data = await connection.read()
            if not data:
                return
            left_bytes -= len(data)
        await anyio.sleep(LINGER_S)


def _date() -> bytes:
    return _format_date(int(time.time()))


@functools.lru_cache(maxsize=1)
def _format_date(unix_s: int) -> bytes:
    return utils.formatdate(unix_s, usegmt=True).encode()


def _listen(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    host = host.strip("[]")
    listener = socket.create_server(
        (host, int(port)),
        family=socket.AF_INET6 if ":" in host else socket.AF_INET,
        backlog=BACKLOG,
    )
    listener.setblocking(False)
    return listener
