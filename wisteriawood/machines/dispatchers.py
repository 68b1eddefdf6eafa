"""Dispatching: a request's way from the queue to a target and back."""

import math

import anyio

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import services
from wisteriawood.telemetry import spans

MIN_TIMEOUT_S = 0.001


class Dispatcher:
    """Sends requests to the targets of their services.

    Args:
        services: Services of the entry host, by team and name.
        tracer: Makes the spans.
    """

    __slots__ = ("_services", "_tracer")

    def __init__(
        self,
        *,
        services: dict[tuple[str, str], services.Service],
        tracer: spans.Tracer,
    ):
        self._services = services
        self._tracer = tracer

    async def dispatch(self, request: requests.Request) -> requests.Answer:
        """Have a target run a request.

        Args:
            request: The request.

        Returns:
            The whole answer of a target.

        Raises:
            RequestNotRunError: No target has run it.
            RequestUnknownError: A target may have run it.
        """
        service = self._services.get((request.team, request.service))
        if service is None:
            raise errors.RequestNotRunError(
                reason=f"team {request.team!r} has no service "
                f"{request.service!r} here",
                status=404,
            )
        return await self._attempt(service, request)

    async def _attempt(
        self, service: services.Service, request: requests.Request
    ) -> requests.Answer:
        target = await service.acquire(request)
        sent_s = anyio.current_time()
        latency_s = math.nan
        is_done = False
        try:
            with self._tracer.span(
                "target", traceparent=request.traceparent, target=target.id
            ) as traceparent:
                request.traceparent = traceparent
                answer = await target.link.send(
                    request,
                    timeout_s=max(MIN_TIMEOUT_S, request.deadline_s - sent_s),
                )
            latency_s = anyio.current_time() - sent_s
            is_done = True
        except errors.RequestNotRunError:
            is_done = True
            raise
        finally:
            service.release(
                target,
                latency_s=latency_s,
                is_done=is_done,
                until_s=request.deadline_s,
            )
        answer.target = target.id
        return answer
