"""Exceptions raised by wisteriawood, with a common base class."""


class WisteriawoodError(Exception):
    """Base of all errors that this package raises.

    Attributes:
        exit_code: Exit status of a command that ends with this error.
        http_status: HTTP status of a response that reports this error.
    """

    exit_code = 1
    http_status = 500


class UsageError(WisteriawoodError):
    """The user's input is invalid; the message says how to correct it."""

    exit_code = 2
    http_status = 400


class SettingsError(UsageError):
    """A settings or answers file contains an invalid value.

    Args:
        file: Name of the file.
        path: JSON path of the value inside the file.
        found: What the file contains there.
        remedy: How to correct it.
    """

    def __init__(self, *, file: str, path: str, found: str, remedy: str):
        self.file = file
        self.path = path
        self.found = found
        self.remedy = remedy
        super().__init__(f"{file}: {path}: found {found}; {remedy}")


class ConfigurationConflictError(WisteriawoodError):
    """Another operator's change was committed first."""

    exit_code = 3
    http_status = 409


class NotFoundError(WisteriawoodError):
    """The team, task, host or version does not exist."""

    exit_code = 4
    http_status = 404


class PlatformError(WisteriawoodError):
    """Base of errors of calls to the platform's services."""

    exit_code = 5
    http_status = 503


class PlatformUnavailableError(PlatformError):
    """The platform refused or never received the call."""


class TransactionUnknownError(PlatformError):
    """A transaction was sent, but its outcome is unknown."""


class TransactionConflictError(PlatformError):
    """A condition of the transaction was not met; nothing was written."""

    http_status = 409


class LinkError(WisteriawoodError):
    """Base of errors of a link to another process."""

    http_status = 502


class LinkClosedError(LinkError):
    """The peer closed the link, or it broke."""


class LinkEndedError(LinkClosedError):
    """The peer's process ended the connection instead of answering a call."""


class LinkRefusedError(LinkError):
    """The peer's machine refused the connection, as no process listens."""


class MessageError(LinkError):
    """A message could not be decoded."""

    http_status = 400


class RequestError(WisteriawoodError):
    """Base of errors that fail one request of a caller."""


class RequestNotRunError(RequestError):
    """No target ran the request.

    Args:
        reason: Why, for the caller.
        status: HTTP status of the response.
        retry_after_s: Seconds after which a retry may succeed.
    """

    def __init__(
        self, *, reason: str, status: int = 503, retry_after_s: float = 1.0
    ):
        self.reason = reason
        self.http_status = status
        self.retry_after_s = retry_after_s
        super().__init__(reason)


class BodyRefusedError(RequestNotRunError):
    """The body of the request was refused before it was complete."""


class RequestUnknownError(RequestError):
    """The request may have run, but its response is unknown.

    Args:
        reason: Why, for the caller.
        status: HTTP status of the response.
    """

    def __init__(self, *, reason: str, status: int = 504):
        self.reason = reason
        self.http_status = status
        super().__init__(reason)


class PlacementError(WisteriawoodError):
    """A task can't be placed on any worker; the message says why."""
