"""Finds out how the transport of a failed call broke."""

import dataclasses
import errno

# Most causes of one error that are followed.
MAX_DEPTH = 16


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TransportFault:
    """The first cause of an error of a link.

    Attributes:
        kind: Name of its class.
        errno_name: Symbolic number of the system's error; empty if there is
            none, as after a timeout.
    """

    kind: str
    errno_name: str


def find_fault(exc: BaseException) -> TransportFault:
    """Return the first cause of an error, down to that of the system.

    Args:
        exc: The error, raised from its cause.
    """
    for _depth in range(MAX_DEPTH):
        cause = exc.__cause__
        if isinstance(exc, BaseExceptionGroup):
            cause = exc.exceptions[0]
        if cause is None:
            break
        exc = cause
    number = exc.errno if isinstance(exc, OSError) else None
    return TransportFault(
        kind=type(exc).__name__,
        errno_name=errno.errorcode.get(number or 0, ""),
    )
