"""Servers of the next tier that answer as none should."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

PIECE = 64 << 10  # bytes that are written in one go
ANSWER_MOST = 4 << 20  # bytes of one answer that never ends: the peers' own time is bounded too
OK_HEAD = b"HTTP/1.1 200 OK\r\n"


async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read, and answer nothing."""
    while await reader.read(PIECE):
        pass


async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Take the connection and leave what is sent on it unread."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(60.0)


async def answer_well(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request at once, in four bytes."""
    while True:
        await _request(reader)
        writer.write(OK_HEAD + b"Content-Length: 4\r\n\r\ndone")


async def answer_large(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer with as much as is held of one answer."""
    while True:
        await _request(reader)
        writer.write(OK_HEAD + b"Content-Length: 60000\r\n\r\n" + bytes(60_000))


async def endless_headers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send one header after another."""
    await _endless(reader, writer, OK_HEAD, b"X-A: b\r\n" * (PIECE // 8))


async def endless_value(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a header's value that does not end."""
    await _endless(reader, writer, OK_HEAD + b"X-A: ", b"b" * PIECE)


async def endless_trailer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a trailer's value that does not end."""
    head = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-A: "
    await _endless(reader, writer, head, b"b" * PIECE)


async def endless_interim(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send interim answers, and no other."""
    await _endless(reader, writer, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (PIECE // 27))


async def chunks_of_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a long answer in chunks of one byte."""
    head = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    await _endless(reader, writer, head, b"1\r\nb\r\n" * (PIECE // 6))


async def _request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            await reader.readexactly(int(line.partition(b":")[2]))


async def _endless(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes, piece: bytes
) -> None:
    await reader.read(PIECE)
    writer.write(head)
    for _ in _pieces(len(piece)):
        writer.write(piece)
        await writer.drain()
    await asyncio.sleep(60.0)


def _pieces(size: int) -> Iterator[None]:
    for _ in range(ANSWER_MOST // size):
        yield
