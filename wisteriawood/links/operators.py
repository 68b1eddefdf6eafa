"""HTTP front end for operators: health, metrics and status."""

import typing

import prometheus_client
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from wisteriawood.links.codecs import rows
from wisteriawood.telemetry import metrics

Status = typing.Callable[[], typing.Any]


def make_app(
    *,
    registry: prometheus_client.CollectorRegistry,
    ready: typing.Callable[[], str],
    status: Status,
) -> applications.Starlette:
    """Return the application that serves operators.

    Args:
        registry: Metrics of the daemon.
        ready: Returns why the daemon is not ready; empty if it is.
        status: Returns a record with the daemon's state.
    """

    async def _healthz(_request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _readyz(_request: requests.Request) -> responses.Response:
        reason = ready()
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
        ]
    )
