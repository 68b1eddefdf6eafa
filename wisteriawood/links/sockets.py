"""Links between job hosts: CBOR over WebSockets, one task for each connection.

The protocol is that of `peers`. Both ends use the library that the HTTP server
has loaded anyway, so that a host needs no memory for another one.
"""

import contextlib
import typing

import anyio
from anyio import abc
import wsproto
from wsproto import events as ws_events
from wsproto import utilities as ws_utilities

from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links.codecs import cbor
from wisteriawood.telemetry import events

MAX_MESSAGE_BYTES = 64 * 1024
OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
READ_BYTES = 4096
# Connections at a time: more than there are other hosts, each of which has one
# for each cell whose former holder it asks about.
MAX_LINKS = 256

_LOG = events.Logger(name=__name__)

Handler = typing.Callable[[channels.Channel], typing.Awaitable[None]]


class SocketChannel:
    """A channel over one WebSocket connection.

    Args:
        stream: The connection.
        role: Which end of it this is.
    """

    __slots__ = ("_data", "_protocol", "_received", "_stream")

    def __init__(
        self, *, stream: abc.ByteStream, role: wsproto.ConnectionType
    ):
        self._stream = stream
        self._protocol = wsproto.WSConnection(role)
        self._data = b""
        self._received: list[ws_events.Event] = []

    async def send(self, message: typing.Any) -> None:
        """Send a message."""
        await self._send(ws_events.BytesMessage(data=cbor.encode(message)))

    async def receive(self) -> typing.Any:
        """Wait for the next message."""
        while True:
            event = await self._next_event()
            if isinstance(event, ws_events.Ping):
                await self._send(event.response())
            if not isinstance(event, ws_events.Message):
                continue
            self._add_data(event)
            if event.message_finished:
                data, self._data = self._data, b""
                return cbor.decode(data)

    def _add_data(self, event: ws_events.Message) -> None:
        if not isinstance(event, ws_events.BytesMessage):
            raise errors.MessageError("a text message; give CBOR")
        self._data += event.data
        if len(self._data) > MAX_MESSAGE_BYTES:
            raise errors.MessageError(
                f"a message of more than {MAX_MESSAGE_BYTES} bytes"
            )

    async def open(self, address: str) -> None:
        """Ask the other end for a WebSocket connection.

        Args:
            address: Its address, as host:port.
        """
        await self._send(ws_events.Request(host=address, target="/"))
        if not isinstance(
            await self._next_event(), ws_events.AcceptConnection
        ):
            raise errors.LinkClosedError("the host speaks another protocol")

    async def accept(self) -> None:
        """Accept the WebSocket connection that the other end asks for."""
        if not isinstance(await self._next_event(), ws_events.Request):
            raise errors.LinkClosedError("the host speaks another protocol")
        await self._send(ws_events.AcceptConnection())

    async def _send(self, event: ws_events.Event) -> None:
        try:
            await self._stream.send(self._protocol.send(event))
        except ws_utilities.ProtocolError as exc:
            raise errors.LinkClosedError(f"can't send: {exc}") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise errors.LinkClosedError("the link broke") from exc

    async def _next_event(self) -> ws_events.Event:
        while not self._received:
            try:
                data = await self._stream.receive(READ_BYTES)
                self._protocol.receive_data(data)
                self._received = list(self._protocol.events())
            except (ws_utilities.ProtocolError, UnicodeError) as exc:
                raise errors.LinkClosedError(f"can't read: {exc}") from exc
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
            ) as exc:
                raise errors.LinkClosedError("the link broke") from exc
        event = self._received.pop(0)
        if isinstance(event, ws_events.CloseConnection):
            raise errors.LinkClosedError("the other host closed the link")
        return event

    async def aclose(self) -> None:
        """Close the connection."""
        try:
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                with contextlib.suppress(errors.LinkError):
                    await self._send(ws_events.CloseConnection(code=1000))
        finally:
            await anyio.aclose_forcefully(self._stream)


@contextlib.asynccontextmanager
async def connect(*, address: str) -> typing.AsyncIterator[SocketChannel]:
    """Connect to a host and yield the channel.

    Args:
        address: Address of the host, as host:port.

    Raises:
        LinkClosedError: The connection failed, whatever the reason: a
            machine that is cut off may refuse connections as well.
    """
    host, port = address.rsplit(":", 1)
    try:
        stream = await anyio.connect_tcp(host.strip("[]"), int(port))
    except OSError as exc:
        cause = exc.__cause__ or exc
        raise errors.LinkClosedError(f"can't connect: {cause}") from exc
    channel = SocketChannel(stream=stream, role=wsproto.ConnectionType.CLIENT)
    try:
        await channel.open(address)
        yield channel
    finally:
        await channel.aclose()


async def serve(
    *,
    address: str,
    handler: Handler,
    on_listening: typing.Callable[[], None],
    on_error: typing.Callable[[Exception], None],
) -> None:
    """Accept connections until cancelled, with one task for each of them.

    A connection beyond MAX_LINKS is closed at once.

    Args:
        address: Address to listen on, as host:port.
        handler: Serves one channel; it returns, or raises LinkError when the
            link breaks.
        on_listening: Called once connections are accepted.
        on_error: Records an unexpected error, which ends its link only.

    Raises:
        OSError: The address can't be listened on.
    """
    count = 0

    async def _serve_one(stream: abc.ByteStream) -> None:
        nonlocal count
        if count >= MAX_LINKS:
            await anyio.aclose_forcefully(stream)
            return
        count += 1
        try:
            await _serve_link(stream)
        finally:
            count -= 1

    async def _serve_link(stream: abc.ByteStream) -> None:
        channel = SocketChannel(
            stream=stream, role=wsproto.ConnectionType.SERVER
        )
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                await channel.accept()
            await handler(channel)
        except errors.MessageError as exc:
            _LOG.log(events.MESSAGE_REFUSED, reason=str(exc))
        except (errors.LinkError, TimeoutError):
            pass
        except Exception as exc:
            on_error(exc)
        finally:
            await channel.aclose()

    host, port = address.rsplit(":", 1)
    listener = await anyio.create_tcp_listener(
        local_host=host.strip("[]"), local_port=int(port), reuse_port=False
    )
    async with listener:
        on_listening()
        await listener.serve(_serve_one)
