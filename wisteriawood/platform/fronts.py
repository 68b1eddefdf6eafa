"""HTTP front end of a job host, for callers and the load balancer."""

import math
import re
import typing

import anyio
import msgspec

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import body_budgets
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
# Answers after which nothing more is read from the connection.
CLOSING_STATUSES = (408, 413)
JSON_TYPE = (b"content-type", b"application/json")

# Status, body and seconds for the header Retry-After; 0 for no header.
Answer = tuple[int, typing.Any, float]
Headers = list[tuple[bytes, bytes]]


class Front:
    """ASGI application that passes callers' requests to the intake.

    Args:
        host: The job host.
        intake: Submits, looks up and cancels jobs.
        budget: Account of the bytes of the requests' bodies.
        on_refusal: Called with the reason for each body refused here.

    Attributes:
        max_body_bytes: Size above which a request's body is refused.
    """

    __slots__ = ("_budget", "_host", "_intake", "_on_refusal")
    __slots__ += ("max_body_bytes",)

    def __init__(
        self,
        *,
        host: job_hosts.JobHost,
        intake: intakes.Intake,
        budget: body_budgets.BodyBudget,
        on_refusal: typing.Callable[[str], None] = lambda reason: None,
    ):
        self._host = host
        self._intake = intake
        self._budget = budget
        self._on_refusal = on_refusal
        self.max_body_bytes = 262144

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request; called by the ASGI server."""
        status, body, retry_after_s = await self._answer_safely(scope, receive)
        headers = [JSON_TYPE]
        if retry_after_s:
            retry_after = str(math.ceil(retry_after_s)).encode()
            headers.append((b"retry-after", retry_after))
        if self._host.is_draining or status in CLOSING_STATUSES:
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
        except errors.BodyRefusedError as exc:
            # Counted, and not logged for each client.
            return exc.http_status, {"error": str(exc)}, exc.retry_after_s
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
        headers = scope["headers"]
        host_name = _find_header(headers, b"host").decode("latin-1")
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
            with self._budget.open() as body:
                await self._read_body(body, headers, receive)
                began_at_s = anyio.current_time()
                with anyio.move_on_after(timeout_s) as waiting:
                    await body.wait_for_processing()
                if waiting.cancelled_caught:
                    raise body_budgets.exhausted_error()
                spec = bodies.decode_job(job_id, queue, body.data)
                body.clear()
                waited_s = anyio.current_time() - began_at_s
                await self._intake.submit(spec, timeout_s - waited_s)
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

    async def _read_body(
        self,
        body: body_budgets.HeldBody,
        headers: Headers,
        receive,
    ) -> None:
        """Receive a body.

        Raises:
            BodyRefusedError: It is too large, malformed, too slow, incomplete,
                or there is no memory for it.
        """
        announced = _find_header(headers, b"content-length")
        if announced.isdigit():
            self._check_size(int(announced))
        with body.scope:
            is_complete = False
            while not is_complete:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise errors.BodyRefusedError(
                        reason="the body ended early",
                        status=400,
                        retry_after_s=0,
                    )
                piece = message.get("body", b"")
                self._check_size(len(body.data) + len(piece))
                body.add(piece)
                is_complete = not message.get("more_body")
            body.complete()
        if body.is_refused:
            raise body_budgets.exhausted_error()

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self.max_body_bytes:
            self._on_refusal("oversized")
            raise errors.BodyRefusedError(
                reason=f"the body is over {self.max_body_bytes} bytes",
                status=413,
                retry_after_s=0,
            )


def _find_header(headers: Headers, name: bytes) -> bytes:
    """Return the last value of a header; empty if there is none."""
    for found, value in reversed(headers):
        if found == name:
            return value
    return b""


def _timeout_s(headers: Headers, queue: queues.Queue) -> float:
    """Return how long the caller waits for the answer, in seconds."""
    text = _find_header(headers, DEADLINE_HEADER)
    timeout_ms = queue.timeout_ms
    if text.isdigit() and len(text) < 9:
        timeout_ms = min(timeout_ms, int(text))
    return timeout_ms / 1000
