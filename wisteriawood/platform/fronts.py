"""HTTP front end of a job host, for callers and the load balancer."""

import math
import re
import typing

import msgspec

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import https
from wisteriawood.machines import intakes
from wisteriawood.machines import job_hosts
from wisteriawood.platform import bodies
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import metrics

_LOG = events.Logger(name=__name__)
READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
DEADLINE_HEADER = b"x-deadline-ms"
_JOB_ID = re.compile(r"[0-9a-f]{16}")
JSON_TYPE = (b"content-type", b"application/json")

# Status, body and seconds for the header Retry-After; 0 for no header.
Answer = tuple[int, typing.Any, float]


class Front:
    """ASGI application that passes callers' requests to the intake.

    Args:
        host: The job host.
        intake: Submits, looks up and cancels jobs.

    Attributes:
        max_body_bytes: Size above which a request's body is refused.
    """

    __slots__ = ("_host", "_intake", "max_body_bytes")

    def __init__(self, *, host: job_hosts.JobHost, intake: intakes.Intake):
        self._host = host
        self._intake = intake
        self.max_body_bytes = 262144

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request; called by the ASGI server."""
        if scope["type"] == "lifespan":
            await https.serve_lifespan(receive, send)
            return
        status, body, retry_after_s = await self._answer_safely(scope, receive)
        headers = [JSON_TYPE]
        if retry_after_s:
            retry_after = str(math.ceil(retry_after_s)).encode()
            headers.append((b"retry-after", retry_after))
        if self._host.is_draining:
            headers.append((b"connection", b"close"))
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        headers.append((b"content-length", str(len(body)).encode()))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})

    async def _answer_safely(self, scope, receive) -> Answer:
        """Answer a request; after an unexpected error, its outcome is unknown.

        The caller then tries again with the same id.
        """
        try:
            return await self._answer(scope, receive)
        except Exception as exc:
            name = f"{scope['method']} {scope['path']}"
            self._host.supervisor.record("request", name, exc)
            return 502, {"error": "unexpected error; try again"}, 0

    async def _answer(self, scope, receive) -> Answer:
        path = scope["path"]
        if path == READY_PATH:
            reason = self._host.unready_reason()
            return (503 if reason else 200, {"reason": reason}, 0)
        if path == METRICS_PATH:
            return 200, metrics.render(self._host.counters.registry), 0
        try:
            return await self._answer_caller(scope, receive, path)
        except errors.NotFoundError as exc:
            answer = (404, {"error": str(exc)}, 0)
        except errors.RequestNotRunError as exc:
            answer = (exc.http_status, {"error": str(exc)}, exc.retry_after_s)
        except errors.RequestUnknownError as exc:
            answer = (exc.http_status, {"error": str(exc)}, 0)
        except errors.UsageError as exc:
            answer = (400, {"error": str(exc)}, 0)
        except errors.MessageError as exc:
            answer = (500, {"error": str(exc)}, 0)
        _LOG.log(
            job_events.REQUEST_REFUSED,
            method=scope["method"],
            path=path,
            status=answer[0],
            cause=answer[1]["error"],
        )
        return answer

    async def _answer_caller(self, scope, receive, path: str) -> Answer:
        headers = dict(scope["headers"])
        host_name = headers.get(b"host", b"").decode("latin-1")
        queue = self._intake.find_queue(host_name.partition(":")[0], path)
        job_id = path[len(queue.prefix) :]
        method = scope["method"]
        if method == "GET" and not job_id:
            return 200, {"pending": self._intake.pending(queue)}, 0
        if not _JOB_ID.fullmatch(job_id):
            if method == "POST":
                raise errors.UsageError("a job's id has 16 hexadecimal digits")
            return 410, {}, 0
        timeout_s = _timeout_s(headers, queue)
        if method == "POST":
            data = await self._read_body(receive)
            spec = bodies.decode_job(job_id, queue, data)
            await self._intake.submit(spec, timeout_s)
            return 200, {}, 0
        try:
            if method == "GET":
                state = await self._intake.state(job_id)
                return 200, {"state": state}, 0
            if method == "DELETE":
                await self._intake.cancel(job_id, timeout_s)
                return 200, {}, 0
        except errors.NotFoundError:
            return 410, {}, 0
        return 405, {"error": "use GET, POST or DELETE"}, 0

    async def _read_body(self, receive) -> bytes:
        chunks = []
        size_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise errors.UsageError("the body ended early")
            chunk = message.get("body", b"")
            size_bytes += len(chunk)
            if size_bytes > self.max_body_bytes:
                raise errors.RequestNotRunError(
                    reason=f"the body is over {self.max_body_bytes} bytes",
                    status=413,
                    retry_after_s=0,
                )
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)


def _timeout_s(headers: dict[bytes, bytes], queue: queues.Queue) -> float:
    """Return how long the caller waits for the answer, in seconds."""
    text = headers.get(DEADLINE_HEADER, b"")
    timeout_ms = queue.timeout_ms
    if text.isdigit() and len(text) < 9:
        timeout_ms = min(timeout_ms, int(text))
    return timeout_ms / 1000
