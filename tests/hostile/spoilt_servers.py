"""Servers that spoil answers: they fall silent after a part, trickle, or answer a second time, late."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from hostile.slow_servers import Framing, read_body

REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *(\S+)")
TOLD_LENGTH = 20_000  # bytes that an answer with a length promises, and never gives
PART = 1_000  # bytes of the part before a silence


class Spoil(Enum):
    """What goes wrong with an answer."""

    SILENCE = "silence"
    TRICKLE = "trickle"  # 5 bytes each 50 ms
    QUICK_TRICKLE = "quick-trickle"  # 100 bytes each 10 ms
    BURST = "burst"  # a large part at once, then a trickle
    HEAD = "head"  # a head that trickles
    TRAILERS = "trailers"  # whole chunks, then trailers that trickle


STEPS = {  # bytes, and seconds between
    Spoil.TRICKLE: (5, 0.05), Spoil.QUICK_TRICKLE: (100, 0.01), Spoil.BURST: (5, 0.05), Spoil.HEAD: (1, 0.05),
    Spoil.TRAILERS: (1, 0.05),
}
BURST = 40_000  # bytes
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def request_id(head: bytes) -> bytes:
    """The id of a request; empty where it has none."""
    found = REQUEST_ID.search(head)
    return found[1] if found is not None else b""


def whole(body: bytes) -> bytes:
    """A sound answer with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def write_spoilt(writer: asyncio.StreamWriter, spoil: Spoil, framing: Framing) -> None:
    """Write an answer that never ends; OSError once nobody takes it."""
    framed = {
        Framing.LENGTH: b"Content-Length: %d\r\n" % TOLD_LENGTH,
        Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n", Framing.CLOSE: b"Connection: close\r\n",
    }
    in_chunks = framing is Framing.CHUNKED
    writer.write(b"HTTP/1.1 200 OK\r\n")
    if spoil is Spoil.HEAD:
        await _trickle(writer, spoil, b"x", False)
    writer.write(framed[framing] + b"\r\n")
    part = b"x" * (BURST if spoil is Spoil.BURST and framing is not Framing.LENGTH else PART)
    writer.write(b"%x\r\n%b\r\n" % (len(part), part) if in_chunks else part)
    if spoil is Spoil.SILENCE:
        await asyncio.Event().wait()
    if spoil is Spoil.TRAILERS and in_chunks:
        writer.write(b"0\r\nX-Trailer: ")
        in_chunks = False
    await _trickle(writer, spoil, b"x", in_chunks)


async def _trickle(writer: asyncio.StreamWriter, spoil: Spoil, byte: bytes, in_chunks: bool) -> None:
    size, every = STEPS[spoil]
    left = TOLD_LENGTH - PART - 1
    while True:
        await asyncio.sleep(every)
        piece = byte * min(size, left)
        left = left - len(piece) if not in_chunks else left
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if in_chunks else piece)
        await writer.drain()


def spoilt_answers(draw: Callable[[bytes, int], tuple[Spoil, Framing] | None]) -> Serve:
    """A server that spoils what `draw` says, by a request's head and its own port; else it tells the id."""
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = int(writer.get_extra_info("sockname")[1])
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, head, 0.0)
            drawn = draw(head, port)
            if drawn is None:
                await asyncio.sleep(0.005)
                writer.write(whole(request_id(head)))
                continue
            spoiling = asyncio.ensure_future(write_spoilt(writer, *drawn))
            ended = asyncio.ensure_future(_read_to_the_end(reader))
            await asyncio.wait([spoiling, ended], return_when=asyncio.FIRST_COMPLETED)
            for task in (spoiling, ended):
                task.cancel()
            await asyncio.gather(spoiling, ended, return_exceptions=True)
            return

    return serve


async def _read_to_the_end(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        await reader.read()


@dataclass(slots=True)
class Repeating:
    """Servers that answer with the request's id, and each so many answers a second time."""

    takes: float  # seconds until an answer...
    repeats_after: float  # ...and from then on to the second one
    every: int = 5  # which of the answers comes twice; 0: none does
    from_answer: int = 0  # the number of answers before any is repeated
    answers: int = 0
    connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, head, 0.0)
            await asyncio.sleep(self.takes)
            answer = whole(request_id(head))
            writer.write(answer)
            self.answers += 1
            if self.every and self.answers > self.from_answer and self.answers % self.every == 0:
                loop.call_later(self.repeats_after, writer.write, answer)
