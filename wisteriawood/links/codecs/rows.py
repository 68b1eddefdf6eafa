"""JSON encoding of records, for table rows and HTTP bodies.

All JSON from other processes is decoded here, so that a value of any kind
that does not match its type ends in the same error.
"""

import typing

import msgspec

from wisteriawood import errors

Record = typing.TypeVar("Record")
# The decoder reports wrong values as a ValueError, and values nested too deep
# as a RecursionError.
DECODE_ERRORS = (ValueError, RecursionError)
# Longest description of such an error that is passed on.
MAX_CAUSE_LENGTH = 200


def to_value(record: typing.Any) -> typing.Any:
    """Return a record as a JSON value; bytes are encoded as base64 text."""
    return msgspec.to_builtins(record)


def from_value(value: typing.Any, cls: type[Record]) -> Record:
    """Return the record that a JSON value represents.

    Args:
        value: The JSON value.
        cls: Type of the record.

    Raises:
        MessageError: The value does not match the type, or is nested too
            deep.
    """
    try:
        return msgspec.convert(value, cls)
    except DECODE_ERRORS as exc:
        raise _message_error(cls, exc) from exc


def to_json(record: typing.Any) -> bytes:
    """Return a record as JSON text."""
    return msgspec.json.encode(record)


def from_json(data: bytes, cls: type[Record]) -> Record:
    """Return the record that JSON text represents.

    Args:
        data: The text.
        cls: Type of the record.

    Raises:
        MessageError: The text is not valid JSON, does not match the type, or
            is nested too deep.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except DECODE_ERRORS as exc:
        raise _message_error(cls, exc) from exc


def _message_error(cls: type, cause: Exception) -> errors.MessageError:
    name = getattr(cls, "__name__", "value")
    return errors.MessageError(f"bad {name}: {str(cause)[:MAX_CAUSE_LENGTH]}")
