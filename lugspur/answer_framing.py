"""Answers as they are written to callers: whole, or passed on bit by bit."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from http import HTTPStatus

from lugspur.exchange import Response

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time
CLOSES = b"Connection: close\r\n"


def whole_answer(status: int, head: bytes, body: bytes, keep: bool, has_body: bool) -> bytes:
    """An answer that is written at once; without `has_body` only its length is told."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status, HTTPStatus(status).phrase.encode(), head, len(body), b"" if keep else CLOSES,
        body if has_body else b"",
    )


class AnswerFraming:
    """How the end of an answer that is passed on is told to its caller."""

    def __init__(self, length: int | None = None, knows_chunks: bool = False) -> None:
        """`length` as the server declares it; `knows_chunks`: its caller reads chunks."""
        self._length = length
        self._in_chunks = length is None and knows_chunks
        self.is_told = length is not None or self._in_chunks  # otherwise only the connection's end tells

    def head(self, response: Response, keep: bool) -> bytes:
        """The answer's head."""
        framing = b"" if self._length is None else b"Content-Length: %d\r\n" % self._length
        return b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (
            response.head, b"Transfer-Encoding: chunked\r\n" if self._in_chunks else framing,
            b"" if keep else CLOSES,
        )

    def piece(self, data: bytes) -> bytes:
        """The next bytes of its body."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self._in_chunks and data else data

    def end(self) -> bytes:
        """What ends its body."""
        return b"0\r\n\r\n" if self._in_chunks else b""


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection: without framing a plain close would be an answer's end."""
    sock = transport.get_extra_info("socket")
    with suppress(OSError):  # its peer may have reset it already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def abort(transport: asyncio.WriteTransport) -> None:
    """End a connection at once, so that its peer can tell an answer that is not all out from a whole one."""
    if transport.get_write_buffer_size():
        reset(transport)
    else:
        transport.abort()
