"""Callers that send as none should, or do not read what they are sent."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

from hostile.stage import DEADLINE

PIECE = 64 << 10  # bytes that are written in one go
NUMBERS = itertools.count()



class Target(Protocol):
    """A process that callers connect to."""

    admin: int  # the port of its operators' address

    async def connect(
        self, port: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection, to its callers' port by default."""


Call = Callable[[Target], Awaitable[None]]


def request(*, method: str = "GET", kind: str = "read", name: str = "", more: str = "") -> bytes:
    """A request's head; `more` are further headers, each with its line end."""
    return (
        f"{method} /api/k HTTP/1.1\r\nHost: h\r\nX-Request-ID: {name or next(NUMBERS)}\r\n"
        f"X-Priority-Class: {kind}\r\nX-Tenant-Id: acme\r\nX-Timeout: {DEADLINE:.3f}\r\n{more}\r\n"
    ).encode()


async def crowd(target: Target, number: int, call: Call) -> None:
    """So many callers, each beginning anew when its connection ends."""
    async def again() -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await call(target)
            await asyncio.sleep(0.05)

    await asyncio.gather(*(again() for _ in range(number)))


async def one_request(target: Target) -> None:
    """A plain request, whose answer is read."""
    reader, writer = await target.connect()
    try:
        writer.write(request())
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
    finally:
        writer.transport.abort()


async def many_at_once(target: Target) -> None:
    """Forty requests in one write, 3.5 kB of headers each."""
    await _send(target, request(more=f"X-Filler: {'f' * 3400}\r\n") * 40)


async def long_names(target: Target) -> None:
    """Requests whose ids are as long as a head may be."""
    await _send(target, request(name="n" * 60_000) * 2)


async def unfinished_head(target: Target) -> None:
    """A head of nearly the most, which does not end."""
    await _send(target, request(more=f"X-Filler: {'f' * 62_000}\r\n")[:-4])


async def tiny_headers(target: Target) -> None:
    """The same in headers of a few bytes."""
    await _send(target, request(more="a:b\r\n" * 12_000)[:-4])


async def large_body(target: Target) -> None:
    """A body of 30 MB."""
    size = 30 << 20
    head = request(method="POST", kind="book", more=f"Content-Length: {size}\r\n")
    await _send(target, head, bytes(PIECE), size // PIECE)


async def bytes_in_chunks(target: Target) -> None:
    """A body in chunks of one byte."""
    head = request(method="POST", kind="book", more="Transfer-Encoding: chunked\r\n")
    await _send(target, head, b"1\r\nb\r\n" * (PIECE // 6), 100)


async def endless_trailer(target: Target) -> None:
    """A trailer's value that does not end, behind a body."""
    head = request(method="POST", kind="book", more="Transfer-Encoding: chunked\r\n")
    await _send(target, head + b"1\r\nb\r\n0\r\nX-A: ", b"b" * PIECE, 1000)


async def read_nothing(target: Target) -> None:
    """One request after another, and no answer is ever read."""
    _, writer = await target.connect()
    try:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(200):
            writer.write(request() * 4)
            await writer.drain()
            await asyncio.sleep(0.02)
        await asyncio.sleep(2.0)
    finally:
        writer.transport.abort()


async def endless_operator_call(target: Target) -> None:
    """A call to the operators' address whose header does not end."""
    await _send(target, b"GET /api/ready HTTP/1.1\r\nX-A: ", b"b" * PIECE, 1000, port=target.admin)


async def _send(
    target: Target, head: bytes, piece: bytes = b"", count: int = 0, port: int | None = None
) -> None:
    """Write all of it, and wait for the end of the connection."""
    reader, writer = await target.connect(port)
    try:
        writer.write(head)
        for _ in range(count):
            writer.write(piece)
            await writer.drain()
        while await reader.read(PIECE):
            pass
    finally:
        writer.transport.abort()
