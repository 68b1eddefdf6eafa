"""Records of run-once requests."""

import dataclasses
import hashlib

from wisteriawood.contracts import requests


@dataclasses.dataclass(slots=True, kw_only=True)
class RunOnceRecord:
    """The row that is inserted before a run-once request is sent.

    Attributes:
        key: Idempotency key of the caller.
        request_id: Request that claimed the key.
        owner: Incarnation of the entry host that claimed it.
        digest: Digest of the first request with this key.
        status: HTTP status of the stored response; 0 while unknown.
        headers: Header fields of the stored response.
        body: Body of the stored response, if small.
        body_object: Object key of the stored body, if large.
        body_bytes: Length of the stored body in bytes.
        until_unix_s: Wall time in seconds of the request's deadline.
        expires_unix_s: Wall time in seconds after which the record may be
            deleted.
    """

    key: str
    request_id: str
    owner: str
    digest: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    body_object: str = ""
    body_bytes: int = 0
    until_unix_s: float = 0.0
    expires_unix_s: float = 0.0


def digest(request: requests.Request) -> str:
    """Return the digest of a request's service, method, path and body."""
    parts = (request.service, request.method, request.path)
    hasher = hashlib.blake2b(digest_size=16)
    for part in (*(text.encode() for text in parts), request.body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()
