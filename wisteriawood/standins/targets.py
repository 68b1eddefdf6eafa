"""A small stand-in of a target, with failure switches."""

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
    """Failure switches of the stand-in.

    Attributes:
        slow_s: Delay of each answer in seconds.
        frozen: Whether requests are taken and never answered.
        wrong_id: Whether answers carry the id of another request.
        fails: Whether each request is answered with status 500.
    """

    slow_s: float = 0.0
    frozen: bool = False
    wrong_id: bool = False
    fails: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetCounts:
    """What the target saw.

    Attributes:
        started: Requests that reached it.
        finished: Requests that it answered.
        most_at_once: Most requests at the same time.
        breaches: Requests that found all slots taken.
        keys: Runs of each idempotency key.
        requests: Runs of each request id.
    """

    started: int = 0
    finished: int = 0
    most_at_once: int = 0
    breaches: int = 0
    keys: dict[str, int] = dataclasses.field(default_factory=dict)
    requests: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """What the target answers.

    Attributes:
        request_id: Id of the request that it answers.
        status: HTTP status.
        body: Whole body.
    """

    request_id: str
    status: int
    body: bytes


class StandinTarget:
    """Serves echoes with a given service time; guards nothing.

    Args:
        name: Name of the target.
        slots: Requests that it should get at once.
        service_s: Time that each request takes.
    """

    __slots__ = ("_at_once", "counts", "faults", "name", "service_s", "slots")

    def __init__(self, *, name: str, slots: int, service_s: float = 0.01):
        self.name = name
        self.slots = slots
        self.service_s = service_s
        self.faults = TargetFaults()
        self.counts = TargetCounts()
        self._at_once = 0

    async def serve(self, *, request_id: str, key: str, body: bytes) -> Reply:
        """Serve one request.

        Args:
            request_id: Id of the request.
            key: Idempotency key; empty for none.
            body: Body of the request.
        """
        counts = self.counts
        counts.started += 1
        if self._at_once >= self.slots:
            counts.breaches += 1
        self._at_once += 1
        counts.most_at_once = max(counts.most_at_once, self._at_once)
        if key:
            counts.keys[key] = counts.keys.get(key, 0) + 1
        counts.requests[request_id] = counts.requests.get(request_id, 0) + 1
        try:
            if self.faults.frozen:
                await anyio.sleep_forever()
            await anyio.sleep(self.service_s + self.faults.slow_s)
        finally:
            self._at_once -= 1
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
        """Return the application."""
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
