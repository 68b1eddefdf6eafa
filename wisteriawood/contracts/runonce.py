"""Records of run-once requests."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RunOnceRecord:
    """The row that is inserted before a run-once request is sent.

    Attributes:
        key: Idempotency key of the caller.
        request_id: Request that claimed the key.
        owner: Incarnation of the entry host that claimed it.
        status: HTTP status of the stored answer; 0 while unknown.
        headers: Header fields of the stored answer.
        body: Body of the stored answer, if small.
        body_object: Object key of the stored body, if large.
        expires_unix_s: Wall time in seconds after which it may go.
    """

    key: str
    request_id: str
    owner: str
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    body_object: str = ""
    expires_unix_s: float = 0.0
