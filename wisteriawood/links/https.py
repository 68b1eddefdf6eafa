"""HTTP servers of the daemons, by hypercorn."""

import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

GRACEFUL_TIMEOUT_S = 60.0
KEEP_ALIVE_S = 60.0
MAX_HEADER_BYTES = 32 * 1024


async def serve_until(
    app: typing.Any, address: str | list[str], stopping: anyio.Event
) -> None:
    """Serve an ASGI application until it is told to stop.

    Requests in flight are finished first.

    Args:
        app: The application.
        address: Address to listen on, as host:port; or several.
        stopping: Set to stop.
    """
    config = hypercorn_config.Config()
    config.bind = [address] if isinstance(address, str) else address
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    await hypercorn_asyncio.serve(app, config, shutdown_trigger=stopping.wait)


async def serve_lifespan(receive, send) -> None:
    """Answer a server that starts and stops.

    Args:
        receive: Returns the server's next message.
        send: Sends it an answer.
    """
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
