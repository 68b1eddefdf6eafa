"""Channels for typed messages between two processes."""

import math
import typing

import anyio
from anyio.streams import memory

from wisteriawood import errors


class Channel(typing.Protocol):
    """One end of an ordered, bidirectional link."""

    async def send(self, message: typing.Any) -> None:
        """Send a message.

        Raises:
            LinkClosedError: The link is broken.
        """

    async def receive(self) -> typing.Any:
        """Wait for the next message.

        Raises:
            LinkClosedError: The link is broken.
            MessageError: The message can't be decoded.
        """

    async def aclose(self) -> None:
        """Close the link."""


class MemoryChannel:
    """A channel between two tasks of one process.

    Args:
        outgoing: Stream of messages that this end sends.
        incoming: Stream of messages that the other end sends.
    """

    __slots__ = ("_incoming", "_outgoing")

    def __init__(
        self,
        *,
        outgoing: memory.MemoryObjectSendStream,
        incoming: memory.MemoryObjectReceiveStream,
    ):
        self._outgoing = outgoing
        self._incoming = incoming

    async def send(self, message: typing.Any) -> None:
        """Send a message."""
        try:
            await self._outgoing.send(message)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError) as exc:
            raise errors.LinkClosedError(
                "the peer closed the channel"
            ) from exc

    async def receive(self) -> typing.Any:
        """Wait for the next message."""
        try:
            return await self._incoming.receive()
        except (anyio.ClosedResourceError, anyio.EndOfStream) as exc:
            raise errors.LinkClosedError(
                "the peer closed the channel"
            ) from exc

    async def aclose(self) -> None:
        """Close both directions."""
        await self._outgoing.aclose()
        await self._incoming.aclose()


def memory_pair() -> tuple[MemoryChannel, MemoryChannel]:
    """Return the two ends of a new channel within this process."""
    forward_send, forward_receive = anyio.create_memory_object_stream(math.inf)
    back_send, back_receive = anyio.create_memory_object_stream(math.inf)
    return (
        MemoryChannel(outgoing=forward_send, incoming=back_receive),
        MemoryChannel(outgoing=back_send, incoming=forward_receive),
    )
