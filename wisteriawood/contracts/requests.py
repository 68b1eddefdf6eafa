"""Requests of callers and their answers."""

import dataclasses
import enum
import math

# Callers may not ask for more time than this.
LONGEST_REQUEST_S = 60.0


class RequestClass(enum.StrEnum):
    """Whether a request may be sent more than once."""

    REPEATABLE = "repeatable"
    RUN_ONCE = "run-once"


class Outcome(enum.StrEnum):
    """What is known of a request's run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A caller's request while it is in this process.

    Attributes:
        id: Unique id, echoed to the caller.
        team: Team whose service is called.
        service: Name of the service.
        caller: Team that calls, for its share; empty for the owner.
        share: Name of the share that it is counted in; set on admission.
        method: HTTP method.
        path: Path and query below the service.
        headers: Header fields that are passed on.
        body: Whole body.
        request_class: Whether it may be sent more than once.
        key: Idempotency key of a run-once request.
        urgent: Whether it goes before the others.
        deadline_s: Monotonic time by which the caller needs the answer.
        send_by_s: Monotonic time after which it must not leave for the
            target: the slot is another's by then.
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
    """A whole answer to a request.

    Attributes:
        request_id: Id of the request that it answers.
        status: HTTP status.
        headers: Header fields of the target.
        body: Whole body.
        outcome: What is known of the run.
        target: Target that answered; empty if none did.
        reason: Why there is no answer of a target, for the caller.
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
