"""HTTP front end for operators: health, metrics and status."""

import dataclasses
import typing

import httpx
import prometheus_client
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.telemetry import metrics

CALL_TIMEOUT_S = 2.0

Explain = typing.Callable[[str], str]
Status = typing.Callable[[], typing.Any]


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiting:
    """Answer of a scheduler to the question why a task waits.

    Attributes:
        reason: Reason why the task waits; empty if it does not wait at
            this scheduler.
    """

    reason: str


async def ask_waiting_reason(*, address: str, task: str) -> str:
    """Ask a scheduler why a task waits.

    Args:
        address: Operator address of the scheduler, as host:port.
        task: Id of the task.

    Returns:
        The reason; empty if the task does not wait at this scheduler.

    Raises:
        LinkClosedError: The scheduler does not answer.
    """
    async with httpx.AsyncClient(
        timeout=CALL_TIMEOUT_S, trust_env=False, verify=False
    ) as client:
        try:
            response = await client.get(f"http://{address}/waiting/{task}")
        except httpx.HTTPError as exc:
            raise errors.LinkClosedError(
                f"the scheduler at {address} does not answer"
            ) from exc
    return rows.from_json(response.content, Waiting).reason


def _waiting_handler(explain: Explain | None) -> typing.Callable:
    async def _show_waiting(request: requests.Request) -> responses.Response:
        reason = explain(request.path_params["task"]) if explain else ""
        return responses.Response(
            rows.to_json(Waiting(reason=reason)),
            media_type="application/json",
        )

    return _show_waiting


def make_app(
    *,
    registry: prometheus_client.CollectorRegistry,
    unready_reason: typing.Callable[[], str],
    status: Status,
    explain: Explain | None = None,
) -> applications.Starlette:
    """Return the application that serves operators.

    Args:
        registry: Metrics of the daemon.
        unready_reason: Returns the reason why the daemon is not ready;
            empty if it is ready.
        status: Returns a record with the state of the daemon.
        explain: Returns the reason why a task waits; empty if it does not
            wait. None if the daemon has no tasks.
    """

    async def _healthz(_request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _readyz(_request: requests.Request) -> responses.Response:
        reason = unready_reason()
        if reason:
            return responses.PlainTextResponse(reason + "\n", 503)
        return responses.PlainTextResponse("ready\n")

    async def _show_metrics(_request: requests.Request) -> responses.Response:
        return responses.Response(
            metrics.render(registry),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def _show_status(_request: requests.Request) -> responses.Response:
        return responses.Response(
            rows.to_json(status()), media_type="application/json"
        )

    return applications.Starlette(
        routes=[
            routing.Route("/healthz", _healthz),
            routing.Route("/readyz", _readyz),
            routing.Route("/metrics", _show_metrics),
            routing.Route("/status", _show_status),
            routing.Route("/waiting/{task}", _waiting_handler(explain)),
        ]
    )
