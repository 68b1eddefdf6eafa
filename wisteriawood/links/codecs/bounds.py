"""Bounds of the values that arrive from other processes.

A value outside them is treated like one of another type: the message that
contains it can't be decoded.
"""

import functools
import ipaddress
import typing

import msgspec

from wisteriawood import errors

# Largest whole number that JSON readers in other languages keep exactly.
MAX_NUMBER = 2**53
# A share of the work or of the CPU of a host has no use for larger amounts:
# a million cores, or a petabyte.
MAX_AMOUNT = 10**9
MAX_DURATION_MS = 10**10
# Wall times up to the year 5138.
MAX_UNIX_MS = 10**14
# The store limits tables, partitions and keys to this.
MAX_NAME_LENGTH = 200
MAX_PORT = 65535

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# An amount that may be owed: demand that exceeds what is free.
Balance = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Measure = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Estimate = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
DurationMs = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
UnixMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


# Workers repeat their addresses in each heartbeat.
@functools.lru_cache(maxsize=4096)
def check_address(address: str) -> str:
    """Return an address unchanged if a connection to it can be tried.

    Args:
        address: IP address and port, as host:port; IPv6 in brackets.

    Raises:
        MessageError: The host is no IP address, or the port is not 1 to
            65535.
    """
    host, colon, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise errors.MessageError(
            f"{address[:MAX_NAME_LENGTH]!r} names no IP address; give "
            "host:port"
        ) from exc
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not is_number or not 0 < int(port) <= MAX_PORT:
        raise errors.MessageError(
            f"{port[:MAX_NAME_LENGTH]!r} is no port; give 1 to {MAX_PORT}"
        )
    return address


def check_id(text: str) -> str:
    """Return an id unchanged if it can be sent in an HTTP header.

    Args:
        text: The id.

    Raises:
        MessageError: It is empty, too long, or has other characters than
            the printable ones of ASCII.
    """
    is_printable = text.isascii() and text.isprintable()
    if not text or len(text) > MAX_NAME_LENGTH or not is_printable:
        raise errors.MessageError(
            f"{text[:MAX_NAME_LENGTH]!r} is no id; give 1 to "
            f"{MAX_NAME_LENGTH} printable ASCII characters"
        )
    if " " in text:
        raise errors.MessageError(f"the id {text!r} has a space")
    return text
