"""Links between entry hosts and schedulers: CBOR over WebSockets."""

import contextlib
import typing

from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links.codecs import cbor
from wisteriawood.telemetry import events

OPEN_TIMEOUT_S = 2.0
PING_PERIOD_S = 5.0
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

_LOG = events.Logger(name=__name__)

Handler = typing.Callable[[channels.Channel], typing.Awaitable[None]]


class PeerChannel:
    """A channel over one WebSocket connection.

    Args:
        socket: Connection of the websockets library.
    """

    __slots__ = ("_socket",)

    def __init__(self, *, socket: typing.Any):
        self._socket = socket

    async def send(self, message: typing.Any) -> None:
        """Send a message."""
        try:
            await self._socket.send(cbor.encode(message))
        except ws_exceptions.ConnectionClosed as exc:
            raise errors.LinkClosedError("the link to the peer broke") from exc

    async def receive(self) -> typing.Any:
        """Wait for the next message."""
        try:
            data = await self._socket.recv(decode=False)
        except ws_exceptions.ConnectionClosed as exc:
            raise errors.LinkClosedError("the link to the peer broke") from exc
        return cbor.decode(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._socket.close()


@contextlib.asynccontextmanager
async def connect(*, address: str) -> typing.AsyncIterator[PeerChannel]:
    """Connect to a peer and yield the channel.

    Args:
        address: Address of the peer, as host:port.

    Raises:
        LinkRefusedError: The machine refused the connection: no process
            listens at the address.
        LinkClosedError: The connection failed for another reason, such as
            a timeout.
    """
    try:
        socket = await ws_client.connect(
            f"ws://{address}",
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=PING_PERIOD_S,
            ping_timeout=PING_PERIOD_S,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            proxy=None,
        )
    except ConnectionRefusedError as exc:
        raise errors.LinkRefusedError(
            "the peer refused the connection"
        ) from exc
    except (OSError, TimeoutError, ws_exceptions.WebSocketException) as exc:
        raise errors.LinkClosedError(
            f"can't connect to the peer: {exc}"
        ) from exc
    try:
        yield PeerChannel(socket=socket)
    finally:
        await socket.close()


@contextlib.asynccontextmanager
async def serve(
    *, address: str, handler: Handler
) -> typing.AsyncIterator[None]:
    """Accept connections of peers, with one task for each connection.

    Args:
        address: Address to listen on, as host:port.
        handler: Serves one channel; it returns, or raises LinkError when
            the link breaks.
    """

    async def _serve_one(socket: typing.Any) -> None:
        channel = PeerChannel(socket=socket)
        try:
            await handler(channel)
        except errors.MessageError as exc:
            _LOG.log(events.MESSAGE_REFUSED, reason=str(exc))
        except errors.LinkError:
            pass

    host, port = address.rsplit(":", 1)
    async with ws_server.serve(
        _serve_one,
        host,
        int(port),
        ping_interval=PING_PERIOD_S,
        ping_timeout=PING_PERIOD_S,
        max_size=MAX_MESSAGE_BYTES,
        compression=None,
    ):
        yield
