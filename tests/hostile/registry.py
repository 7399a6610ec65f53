"""Registries whose lists do not end, or grow."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable

PIECE = 64 << 10  # bytes that are written in one go
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NAMES = itertools.count()
LIST_EVERY = 0.1  # seconds


async def indented_without_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One message over lines of two bytes."""
    await _endless(reader, writer, b'{"index": 9,\n', b" \n" * (PIECE // 2))


async def line_without_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One line."""
    await _endless(reader, writer, b'{"index": 9, "a": "', b"b" * PIECE)


async def empty_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Empty messages, as fast as they are read."""
    await _endless(reader, writer, b"\n", b"\n" * PIECE)


async def tiny_values(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Whole messages of very many empty objects."""
    body = b'{"index": 9, "endpoints": [' + b",".join([b"{}"] * 1_300_000) + b"]}\n"
    await _endless(reader, writer, b"", body, between=0.2)


async def new_names(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Whole lists, each with a thousand servers that were never named before."""
    await _lists(reader, writer, lambda: (_rows("in_service", 1000), True))


async def draining_names(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Patches with five hundred new servers in service, and as many that drain."""
    rows: Callable[[], tuple[list[object], bool]] = lambda: (  # noqa: E731
        _rows("in_service", 500) + _rows("terminating", 500), False)
    await _lists(reader, writer, rows)


def _rows(status: str, number: int) -> list[object]:
    return [
        {"name": f"h-{next(NAMES)}", "address": "127.0.0.1:9", "zone": "here", "type": "k", "group": 0,
         "status": status, "weight": 1.0, "since_ms": 0}
        for _ in range(number)
    ]


async def _lists(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rows: Callable[[], tuple[list[object], bool]]
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    for index in itertools.count(10):
        endpoints, snapshot = rows()
        message = {"index": index, "snapshot": snapshot, "endpoints": endpoints}
        _chunk(writer, json.dumps(message).encode() + b"\n")
        await writer.drain()
        await asyncio.sleep(LIST_EVERY)


async def _endless(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes, piece: bytes,
    between: float = 0.0,
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    if head:
        _chunk(writer, head)
    while True:
        _chunk(writer, piece)
        await writer.drain()
        await asyncio.sleep(between)


def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
