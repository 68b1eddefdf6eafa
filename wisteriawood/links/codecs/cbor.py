"""Messages between processes, as CBOR."""

import typing

import cbor2
import msgspec

from wisteriawood import errors
from wisteriawood.links import messages

_NAMES = {cls: name for name, cls in messages.TYPES.items()}


def encode(message: typing.Any) -> bytes:
    """Return a registered message as bytes."""
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NAMES[type(message)], body])


def decode(data: bytes) -> typing.Any:
    """Return the message that bytes hold.

    Raises:
        MessageError: The bytes are no registered message.
    """
    try:
        name, body = cbor2.loads(data)
        return msgspec.convert(body, messages.TYPES[name])
    except Exception as exc:
        raise errors.MessageError(f"can't decode a message: {exc}") from exc
