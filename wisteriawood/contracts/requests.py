"""Requests of callers and their responses."""

import dataclasses
import enum
import math

# Upper bound of the deadlines that callers may set.
MAX_REQUEST_S = 60.0


class RequestClass(enum.StrEnum):
    """Whether a request may be sent more than once."""

    REPEATABLE = "repeatable"
    RUN_ONCE = "run-once"


class Outcome(enum.StrEnum):
    """Whether a target ran a request, as far as known."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A caller's request while this process handles it.

    Attributes:
        id: Unique id, returned to the caller.
        team: Team whose service is called.
        service: Name of the service.
        caller: Calling team, which determines the share; empty for the owner.
        share: Name of the share that the request is charged to; set on
            admission.
        method: HTTP method.
        path: Path and query below the service.
        headers: Header fields to forward.
        body: Complete body.
        request_class: Whether it may be sent more than once.
        key: Idempotency key of a run-once request.
        urgent: Whether it takes precedence over requests that are not.
        deadline_s: Monotonic time in seconds by which the caller needs the
            response.
        send_by_s: Monotonic time in seconds after which it must not be sent
            to the target, as the slot may belong to another entry host.
        traceparent: W3C trace context of the newest hop.
    """

    id: str
    team: str
    service: str
    caller: str = ""
    share: str = ""
    method: str = "POST"
    path: str = "/"
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    request_class: RequestClass = RequestClass.REPEATABLE
    key: str = ""
    urgent: bool = False
    deadline_s: float = 0.0
    send_by_s: float = math.inf
    traceparent: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """A complete response to a request.

    Attributes:
        request_id: Id of the request that it answers.
        status: HTTP status.
        headers: Header fields from the target.
        body: Complete body.
        outcome: Whether a target ran the request, as far as known.
        target: Target that responded; empty if none did.
        reason: Why no target responded, for the caller.
        retry_after_s: Seconds after which a retry may succeed.
    """

    request_id: str
    status: int = 200
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    outcome: Outcome = Outcome.RAN
    target: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
