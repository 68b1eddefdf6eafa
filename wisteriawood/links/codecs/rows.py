"""JSON encoding of records, for table rows and HTTP bodies."""

import typing

import msgspec

from wisteriawood import errors

Record = typing.TypeVar("Record")


def to_value(record: typing.Any) -> typing.Any:
    """Return a record as a JSON value; bytes are encoded as base64 text."""
    return msgspec.to_builtins(record)


def from_value(value: typing.Any, cls: type[Record]) -> Record:
    """Return the record that a JSON value represents.

    Args:
        value: The JSON value.
        cls: Type of the record.

    Raises:
        MessageError: The value does not match the type.
    """
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as exc:
        raise errors.MessageError(f"bad {cls.__name__}: {exc}") from exc


def to_json(record: typing.Any) -> bytes:
    """Return a record as JSON text."""
    return msgspec.json.encode(record)


def from_json(data: bytes, cls: type[Record]) -> Record:
    """Return the record that JSON text represents.

    Args:
        data: The text.
        cls: Type of the record.

    Raises:
        MessageError: The text is not valid JSON or does not match the
            type.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"bad {cls.__name__}: {exc}") from exc
