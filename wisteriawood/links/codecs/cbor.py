"""CBOR encoding of messages between processes."""

import typing

import cbor2
import msgspec

from wisteriawood import errors
from wisteriawood.links import messages

_NAMES = {cls: name for name, cls in messages.TYPES.items()}


def encode(message: typing.Any) -> bytes:
    """Return the encoding of a message of a registered type."""
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NAMES[type(message)], body])


def decode(data: bytes) -> typing.Any:
    """Return the message that the bytes encode.

    Raises:
        MessageError: The bytes do not encode a message of a registered
            type.
    """
    try:
        name, body = cbor2.loads(data)
        return msgspec.convert(body, messages.TYPES[name])
    except Exception as exc:
        raise errors.MessageError(f"can't decode a message: {exc}") from exc
