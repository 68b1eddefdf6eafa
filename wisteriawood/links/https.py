"""HTTP servers of the daemons, run by Hypercorn."""

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
    """Serve an ASGI application until an event is set.

    Requests in flight then have GRACEFUL_TIMEOUT_S to complete.

    Args:
        app: The application.
        address: One or more addresses to listen on, as host:port.
        stopping: Event that stops the server.
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
    """Handle the lifespan events of an ASGI server.

    Args:
        receive: Returns the next message of the server.
        send: Sends a message to the server.
    """
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
