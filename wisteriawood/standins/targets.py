"""Stand-in for a target with fault injection."""

import dataclasses

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from wisteriawood.links.codecs import rows
from wisteriawood.links import targets


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetFaults:
    """Faults to inject.

    Attributes:
        slow_s: Additional delay of each answer in seconds.
        frozen: Whether requests are accepted but never answered.
        wrong_id: Whether answers carry the id of another request.
        fails: Whether each request is answered with status 500.
    """

    slow_s: float = 0.0
    frozen: bool = False
    wrong_id: bool = False
    fails: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetCounts:
    """Numbers of requests at the target.

    Attributes:
        started: Requests received.
        finished: Requests answered.
        most_at_once: Largest number of requests in flight.
        breaches: Requests received while all slots were in use.
        keys: Number of runs by idempotency key.
        requests: Number of runs by request id.
    """

    started: int = 0
    finished: int = 0
    most_at_once: int = 0
    breaches: int = 0
    keys: dict[str, int] = dataclasses.field(default_factory=dict)
    requests: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """Answer of the target.

    Attributes:
        request_id: Id of the request that it answers.
        status: HTTP status.
        body: Complete body.
    """

    request_id: str
    status: int
    body: bytes


class StandinTarget:
    """Echoes requests after a service time; does not enforce its slots.

    Args:
        name: Name of the target.
        slots: Largest number of requests it should have in flight.
        service_s: Service time of each request in seconds.
    """

    __slots__ = (
        "_in_flight",
        "counts",
        "faults",
        "name",
        "service_s",
        "slots",
    )

    def __init__(self, *, name: str, slots: int, service_s: float = 0.01):
        self.name = name
        self.slots = slots
        self.service_s = service_s
        self.faults = TargetFaults()
        self.counts = TargetCounts()
        self._in_flight = 0

    async def serve(self, *, request_id: str, key: str, body: bytes) -> Reply:
        """Serve one request.

        Args:
            request_id: Id of the request.
            key: Idempotency key; empty for none.
            body: Body of the request.
        """
        counts = self.counts
        counts.started += 1
        if self._in_flight >= self.slots:
            counts.breaches += 1
        self._in_flight += 1
        counts.most_at_once = max(counts.most_at_once, self._in_flight)
        if key:
            counts.keys[key] = counts.keys.get(key, 0) + 1
        counts.requests[request_id] = counts.requests.get(request_id, 0) + 1
        try:
            if self.faults.frozen:
                await anyio.sleep_forever()
            await anyio.sleep(self.service_s + self.faults.slow_s)
        finally:
            self._in_flight -= 1
        counts.finished += 1
        return Reply(
            request_id="another" if self.faults.wrong_id else request_id,
            status=500 if self.faults.fails else 200,
            body=body or self.name.encode(),
        )

    async def _serve_http(
        self, request: requests.Request
    ) -> responses.Response:
        reply = await self.serve(
            request_id=request.headers.get(targets.REQUEST_ID_HEADER, ""),
            key=request.headers.get("idempotency-key", ""),
            body=await request.body(),
        )
        return responses.Response(
            reply.body,
            status_code=reply.status,
            headers={targets.REQUEST_ID_HEADER: reply.request_id},
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        self.faults = rows.from_json(await request.body(), TargetFaults)
        return responses.PlainTextResponse("set\n")

    async def _show_counts(
        self, _request: requests.Request
    ) -> responses.Response:
        return responses.Response(
            rows.to_json(self.counts), media_type="application/json"
        )

    def make_app(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/standin/faults", self._set_faults, methods=["PUT"]
                ),
                routing.Route("/standin/counts", self._show_counts),
                routing.Route(
                    "/{path:path}",
                    self._serve_http,
                    methods=["DELETE", "GET", "PATCH", "POST", "PUT"],
                ),
            ]
        )
