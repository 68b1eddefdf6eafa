"""Link to a target, a back end of a service."""

import typing

import anyio
import httpx

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.links import clients

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
CONNECT_TIMEOUT_S = 2.0
SEND_TOO_LATE = "the slot was taken back before the request could leave"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
MAX_ANSWER_BYTES = 8 * 1024 * 1024


def _is_delimited(request: requests.Request, response: httpx.Response) -> bool:
    """Return whether a truncated body can be detected."""
    return (
        "content-length" in response.headers
        or "transfer-encoding" in response.headers
        or request.method == "HEAD"
        or response.status_code in (204, 304)
    )


async def _read_body(response: httpx.Response) -> bytes:
    chunks = []
    size_bytes = 0
    async for chunk in response.aiter_raw():
        size_bytes += len(chunk)
        if size_bytes > MAX_ANSWER_BYTES:
            raise errors.RequestUnknownError(
                reason=f"the target's answer is over {MAX_ANSWER_BYTES} "
                "bytes; have the service answer in parts",
                status=502,
            )
        chunks.append(chunk)
    return b"".join(chunks)


class TargetLink(typing.Protocol):
    """Calls to a target; a test bench may provide its own implementation."""

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Send a request and return the complete answer.

        The request must not be sent after its `send_by_s`.

        Args:
            request: The request.
            timeout_s: Seconds to wait for the answer; may extend long
                after the deadline of the request.

        Raises:
            RequestNotRunError: No byte can have reached the target.
            RequestUnknownError: The target may have run the request.
        """

    async def aclose(self) -> None:
        """Close the link."""


class HttpTarget:
    """A target that is called over HTTP.

    Args:
        address: Address of the target, as host:port.
        connections: Maximum number of connections to the target.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str, connections: int):
        self._client = clients.Client(
            url=f"http://{address}",
            timeout_s=CONNECT_TIMEOUT_S,
            connections=connections,
        )

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Send a request and return the complete answer."""
        remaining_s = max(0.001, request.deadline_s - anyio.current_time())
        headers = [
            *request.headers,
            (REQUEST_ID_HEADER, request.id),
            (DEADLINE_HEADER, str(int(1000 * remaining_s))),
            ("traceparent", request.traceparent),
        ]

        async def _check_send_deadline(step: str, _info: typing.Any) -> None:
            is_sending = step == "http11.send_request_headers.started"
            if is_sending and anyio.current_time() >= request.send_by_s:
                raise errors.RequestNotRunError(reason=SEND_TOO_LATE)

        try:
            async with self._client.stream(
                request.method,
                request.path,
                headers=headers,
                content=request.body,
                timeout=httpx.Timeout(
                    timeout_s,
                    connect=min(remaining_s, CONNECT_TIMEOUT_S),
                    pool=remaining_s,
                ),
                extensions={"trace": _check_send_deadline},
            ) as response:
                body = await _read_body(response)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            raise errors.RequestNotRunError(
                reason="the target refuses connections"
            ) from exc
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as exc:
            raise errors.RequestNotRunError(
                reason="the path is not valid", status=400
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.RequestUnknownError(
                reason=f"the target did not answer: {type(exc).__name__}"
            ) from exc
        return self._to_answer(request, response, body)

    def _to_answer(
        self,
        request: requests.Request,
        response: httpx.Response,
        body: bytes,
    ) -> requests.Answer:
        answered_id = response.headers.get(REQUEST_ID_HEADER, request.id)
        if answered_id != request.id:
            raise errors.RequestUnknownError(
                reason="the target answered another request", status=502
            )
        if not _is_delimited(request, response):
            raise errors.RequestUnknownError(
                reason="the target's answer has no length; it may be cut off",
                status=502,
            )
        headers = [
            (name, value)
            for name, value in response.headers.multi_items()
            if name not in HOP_BY_HOP_HEADERS and name != REQUEST_ID_HEADER
        ]
        return requests.Answer(
            request_id=request.id,
            status=response.status_code,
            headers=headers,
            body=body,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
