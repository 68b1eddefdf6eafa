"""HTTP calls to one address.

The links use a transport of httpx directly because it takes about half the
time of httpx.AsyncClient, which adds cookies, redirects and authentication
that the links do not need. Those of job hosts, which make hundreds of small
calls a second, use the lighter one of transports.py.
"""

import contextlib
import ssl
import typing

import httpx

from wisteriawood.links import transports

MAX_CONNECTIONS = 100
HTTP_PORT = 80
Response = httpx.Response | transports.Answer


class Client:
    """HTTP client for one address with a pool of kept-alive connections.

    Args:
        url: Base URL, such as http://HOST:PORT/PREFIX or https://...
        timeout_s: Timeout of a call, in seconds.
        connections: Maximum number of connections.
        transport: Transport to use; None to create one.
        is_light: Whether calls with `request` use transports.py, which costs
            less CPU time, but neither streams responses nor has TLS.
    """

    __slots__ = ("_light", "_prefix", "_timeout", "_transport", "_url")

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        connections: int = MAX_CONNECTIONS,
        transport: httpx.AsyncBaseTransport | None = None,
        is_light: bool = False,
    ):
        self._url = httpx.URL(url)
        self._prefix = self._url.path.rstrip("/")
        self._timeout = httpx.Timeout(timeout_s)
        self._light: transports.KeepAliveTransport | None = None
        self._transport = transport
        if transport is None and is_light:
            self._light = transports.KeepAliveTransport(
                host=self._url.host,
                port=self._url.port or HTTP_PORT,
                connections=connections,
            )
        elif transport is None:
            # Plain HTTP needs no TLS context, so no certificates are loaded.
            verify: ssl.SSLContext | bool = self._url.scheme == "https"
            self._transport = httpx.AsyncHTTPTransport(
                verify=verify,
                limits=httpx.Limits(
                    max_connections=connections,
                    max_keepalive_connections=connections,
                ),
            )

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        *,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        timeout: httpx.Timeout | None = None,
        extensions: dict[str, typing.Any] | None = None,
    ) -> typing.AsyncIterator[httpx.Response]:
        """Send a request and yield the response before its body is read.

        A light client can't do this.

        Args:
            method: HTTP method.
            path: Percent-encoded path and query.
            headers: Header fields.
            content: Body.
            timeout: Timeouts of this call; None for those of the client.
            extensions: Request extensions of httpx.

        Raises:
            httpx.HTTPError: The call failed.
        """
        raw_path = (self._prefix + path).encode("ascii")
        timeouts = (timeout or self._timeout).as_dict()
        request = httpx.Request(
            method,
            self._url.copy_with(raw_path=raw_path),
            headers=headers,
            content=content,
            extensions={"timeout": timeouts, **(extensions or {})},
        )
        response = await self._transport.handle_async_request(request)
        response.request = request
        try:
            yield response
        finally:
            await response.aclose()

    async def request(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, typing.Any] | None = None,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        timeout: httpx.Timeout | None = None,
        instance: transports.Instance | None = None,
    ) -> Response:
        """Send a request and return the response with its complete body.

        Args:
            method: HTTP method.
            path: Percent-encoded path.
            params: Query parameters.
            headers: Header fields.
            content: Body.
            timeout: Timeouts of this call; None for those of the client.
            instance: The instance of the server process that the request is
                meant for; None for any. Only a light client looks at it.

        Raises:
            httpx.HTTPError: The call failed.
        """
        if params:
            path = f"{path}?{httpx.QueryParams(params)}"
        if self._light is not None:
            return await self._light.call(
                method,
                self._prefix + path,
                headers=[
                    (name.encode("ascii"), value.encode("ascii"))
                    for name, value in headers or ()
                ],
                content=content,
                timeout=timeout or self._timeout,
                instance=instance,
            )
        async with self.stream(
            method, path, headers=headers, content=content, timeout=timeout
        ) as response:
            await response.aread()
            return response

    async def aclose(self) -> None:
        """Close the connections."""
        if self._light is not None:
            await self._light.aclose()
        if self._transport is not None:
            await self._transport.aclose()
