"""Decoding of request bodies in HTTP/1.1, by how the head frames them.

A decoder is fed with what a connection receives, and holds none of it beyond
the current line between two chunks.
"""

import re

from wisteriawood import errors

# Longest line that gives the size of a chunk, with its extensions.
MAX_CHUNK_LINE_BYTES = 256
# Total length of the trailers, which are ignored.
MAX_TRAILER_BYTES = 8192
# A size of 16 digits exceeds any limit; more digits are malformed.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\r\n]*)?")
_LENGTH = re.compile(rb"[0-9]{1,18}")


class LengthDecoder:
    """A body whose size its head gives.

    Args:
        size_bytes: The size.

    Attributes:
        is_complete: Whether the end of the body has been received.
        rest: What followed the end of the body.
    """

    __slots__ = ("_left_bytes", "is_complete", "rest")

    def __init__(self, *, size_bytes: int):
        self._left_bytes = size_bytes
        self.is_complete = not size_bytes
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the body that received data contain.

        Args:
            data: The next received bytes.
        """
        piece = data[: self._left_bytes]
        self.rest = data[self._left_bytes :]
        self._left_bytes -= len(piece)
        self.is_complete = not self._left_bytes
        return piece


class ChunkedDecoder:
    """A body in chunks.

    Attributes:
        is_complete: Whether the end of the body has been received.
        rest: What followed the end of the body.
    """

    __slots__ = (
        "_is_in_trailers",
        "_left_bytes",
        "_line",
        "_trailer_bytes",
        "is_complete",
        "rest",
    )

    def __init__(self):
        # Bytes of the current chunk that are left, with the line end.
        self._left_bytes = 0
        self._line = b""
        self._is_in_trailers = False
        self._trailer_bytes = 0
        self.is_complete = False
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the body that received data contain.

        Args:
            data: The next received bytes.

        Raises:
            MessageError: The chunks are malformed.
        """
        data = self._line + data
        self._line = b""
        pieces = bytearray()
        at = 0
        while at < len(data) and not self.is_complete:
            if self._left_bytes:
                at = self._take_chunk(data, at, pieces)
                continue
            end = data.find(b"\n", at)
            if end < 0:
                self._line = data[at:]
                self._check_line(self._line)
                break
            line = data[at:end]
            self._check_line(line)
            if not line.endswith(b"\r"):
                raise errors.MessageError("a line ends without CR LF")
            self._process_line(line[:-1])
            at = end + 1
        if self.is_complete:
            self.rest = data[at:]
        return bytes(pieces)

    def _take_chunk(self, data: bytes, at: int, pieces: bytearray) -> int:
        """Take over the rest of a chunk; return where it ends in the data."""
        size_bytes = min(self._left_bytes - 2, len(data) - at)
        if size_bytes > 0:
            pieces += data[at : at + size_bytes]
            self._left_bytes -= size_bytes
            at += size_bytes
        while self._left_bytes <= 2 and self._left_bytes and at < len(data):
            if data[at] != b"\n\r"[self._left_bytes - 1]:
                raise errors.MessageError("a chunk is longer than its size")
            self._left_bytes -= 1
            at += 1
        return at

    def _check_line(self, line: bytes) -> None:
        if self._is_in_trailers:
            if self._trailer_bytes + len(line) > MAX_TRAILER_BYTES:
                raise errors.MessageError(
                    f"trailers of more than {MAX_TRAILER_BYTES} bytes"
                )
        elif len(line) > MAX_CHUNK_LINE_BYTES:
            raise errors.MessageError(
                f"a chunk's line is over {MAX_CHUNK_LINE_BYTES} bytes"
            )

    def _process_line(self, line: bytes) -> None:
        if self._is_in_trailers:
            self._trailer_bytes += len(line) + 2
            self.is_complete = not line
            return
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise errors.MessageError("a chunk's size is malformed")
        size_bytes = int(match[1], 16)
        if size_bytes:
            self._left_bytes = size_bytes + 2
        else:
            self._is_in_trailers = True


Decoder = LengthDecoder | ChunkedDecoder


def make_decoder(
    headers: list[tuple[bytes, bytes]], http_version: bytes
) -> Decoder:
    """Return the decoder of a body.

    Args:
        headers: Names, in lower case, and values of the request's headers.
        http_version: Version of the protocol, as in b"1.1".

    Raises:
        MessageError: The headers contradict each other.
    """
    lengths = {value for name, value in headers if name == b"content-length"}
    is_chunked = any(name == b"transfer-encoding" for name, _value in headers)
    if is_chunked and (lengths or http_version != b"1.1"):
        raise errors.MessageError(
            "give either Content-Length or, in HTTP/1.1, chunks"
        )
    if is_chunked:
        return ChunkedDecoder()
    if not lengths:
        return LengthDecoder(size_bytes=0)
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise errors.MessageError("Content-Length is malformed")
    return LengthDecoder(size_bytes=int(length))
