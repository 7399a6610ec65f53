"""Servers that are sound and slow: they write answers, or read requests, a little at a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

READ_PIECE = 4096  # bytes
FILLER = b"0123456789abcdef"


class Framing(Enum):
    """How the end of an answer is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(slots=True, frozen=True)
class Piece:
    """A part of an answer's body, and when it comes."""

    after: float  # seconds since the one before, or since the head
    size: int  # bytes


def evenly(size: int, seconds: float, steps: int = 20) -> tuple[Piece, ...]:
    """A body that comes in so many equal steps."""
    return (Piece(seconds / steps, size // steps),) * steps


def in_lumps(rng: random.Random) -> tuple[Piece, ...]:
    """A body of some size around 64 KiB in a few lumps, with gaps of up to a second."""
    size, count = rng.randrange(30_000, 260_000), rng.randint(2, 6)
    return tuple(Piece(rng.uniform(0.0, 1.0), size // count) for _ in range(count))


def content(size: int) -> bytes:
    """What a body of so many bytes holds."""
    return (FILLER * (size // len(FILLER) + 1))[:size]


async def write_answer(
    writer: asyncio.StreamWriter, framing: Framing, pieces: tuple[Piece, ...]
) -> None:
    """Write a 200 answer: its head at once, its body as the pieces say."""
    size = sum(piece.size for piece in pieces)
    framed = {
        Framing.LENGTH: b"Content-Length: %d\r\n" % size, Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n",
        Framing.CLOSE: b"Connection: close\r\n",
    }
    writer.write(b"HTTP/1.1 200 OK\r\n" + framed[framing] + b"\r\n")
    whole, written = content(size), 0
    for piece in pieces:
        await asyncio.sleep(piece.after)
        part = whole[written:written + piece.size]
        written += piece.size
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if framing is Framing.CHUNKED else part)
        await writer.drain()
    if framing is Framing.CHUNKED:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    if framing is Framing.CLOSE:
        writer.write_eof()


async def read_body(
    reader: asyncio.StreamReader, head: bytes, rate: float, piece: int = READ_PIECE
) -> None:
    """Read a request's body at so many bytes a second, 0: as fast as it comes; `piece`: bytes of one read."""
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        tail = b""
        while not tail.endswith(b"0\r\n\r\n"):
            tail = (tail + await _read_piece(reader, piece, rate))[-5:]
        return
    left = int(lower.partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
    while left:
        left -= len(await _read_piece(reader, min(left, piece), rate))


async def _read_piece(reader: asyncio.StreamReader, most: int, rate: float) -> bytes:
    data = await reader.read(most)
    if not data:
        raise asyncio.IncompleteReadError(b"", most)
    if rate:
        await asyncio.sleep(len(data) / rate)
    return data


def slow_answers(
    draw: Callable[[bytes], tuple[Framing, tuple[Piece, ...]]]
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    """A server whose answer to a request, told by its head, comes like this."""
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, head, 0.0)
            framing, pieces = draw(head)
            await write_answer(writer, framing, pieces)

    return serve


def slow_reads(
    rate: float, stops_after: int | None = None
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    """A server that reads so many bytes a second, up to a number of bytes if that is given."""
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if stops_after is not None:
            await reader.readexactly(stops_after)
            await asyncio.sleep(60.0)
        await read_body(reader, head, rate)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        await reader.read()

    return serve




async def answer_at_length(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read slowly, and answer with as much as is held of an answer and a little more."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        await read_body(reader, head, 100e3)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 150000\r\n\r\n" + content(150_000))
        await writer.drain()
