"""A small HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import json
import urllib.parse

HOST = "127.0.0.1"


class NoAnswer(Exception):
    """The server leaves a call without an answer, or ends its connection."""


class Server:
    """Serves calls at a loopback address.

    Args:
        handle: Coroutine that gets the method, the path, the query, the
            headers and the JSON body, and returns a status and a JSON body.
            It raises NoAnswer to end the connection without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.port = 0

    async def listen(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def close(self):
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def drop(self):
        """End all connections."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _version = line.split(" ", 2)
                size = int(headers.get("content-length", "0"))
                data = await reader.readexactly(size) if size else b""
                path, _, query = target.partition("?")
                status, body = await self._handle(
                    method,
                    urllib.parse.unquote(path),
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    json.loads(data) if data else {},
                )
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (NoAnswer, OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader):
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def call(port, method, path, *, headers=None, body=None, timeout_s=3.0):
    """Make a call on a connection of its own.

    Returns:
        Status and decoded body; status 0 if there was no complete answer.
    """
    try:
        return await asyncio.wait_for(
            _call(port, method, path, headers or {}, body), timeout_s
        )
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return 0, {}


async def _call(port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"content-length: {len(data)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            return 0, {}
        line, found = head
        status = int(line.split(" ")[1])
        text = await reader.readexactly(int(found.get("content-length", "0")))
        return status, json.loads(text) if text else {}
    finally:
        writer.close()
