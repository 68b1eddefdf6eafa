"""HTTP calls to one address, over the transport of httpx.

The client of httpx adds cookies, redirects and authentication, none of
which these links use; its transport alone costs about half as much.
"""

import contextlib
import ssl
import typing

import httpx

MAX_CONNECTIONS = 100


class Client:
    """Calls to one address, over connections that are kept.

    Args:
        url: Base address, as http://HOST:PORT/PREFIX or with https.
        timeout_s: Seconds after which a call is given up.
        connections: Most connections.
        transport: Carries the calls; None for one of its own.
    """

    __slots__ = ("_prefix", "_timeout", "_transport", "_url")

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        connections: int = MAX_CONNECTIONS,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        self._url = httpx.URL(url)
        self._prefix = self._url.path.rstrip("/")
        self._timeout = httpx.Timeout(timeout_s)
        # Over plain HTTP no certificates need to be loaded.
        verify: ssl.SSLContext | bool = self._url.scheme == "https"
        self._transport = transport or httpx.AsyncHTTPTransport(
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
        """Send a request and yield the response before its body.

        Args:
            method: HTTP method.
            path: Path and query, percent-encoded.
            headers: Header fields.
            content: Body.
            timeout: Limits of this call; None for those of the client.
            extensions: Extensions of httpx.

        Raises:
            HTTPError: The call failed, as httpx tells it.
        """
        raw_path = (self._prefix + path).encode("ascii")
        limits = (timeout or self._timeout).as_dict()
        request = httpx.Request(
            method,
            self._url.copy_with(raw_path=raw_path),
            headers=headers,
            content=content,
            extensions={"timeout": limits, **(extensions or {})},
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
    ) -> httpx.Response:
        """Send a request and return the response with its whole body.

        Args:
            method: HTTP method.
            path: Path, percent-encoded.
            params: Query.
            headers: Header fields.
            content: Body.
            timeout: Limits of this call; None for those of the client.

        Raises:
            HTTPError: The call failed, as httpx tells it.
        """
        if params:
            path = f"{path}?{httpx.QueryParams(params)}"
        async with self.stream(
            method, path, headers=headers, content=content, timeout=timeout
        ) as response:
            await response.aread()
            return response

    async def aclose(self) -> None:
        """Close the connections."""
        await self._transport.aclose()
