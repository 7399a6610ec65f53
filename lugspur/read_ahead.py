"""Bytes that were read of a caller's connection before there was room for the requests in them.

One read may bring many requests. They are parsed a piece at a time, and no further once enough requests wait:
what is left lies here, in order, and beyond a bound nothing more is read until it has been parsed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from typing import Protocol

from lugspur.body import HELD_MOST
from lugspur.request import Request

HEAD_MOST = 64 << 10  # bytes of a request's head, and of what stands between the parts of its body
AHEAD_MOST = HEAD_MOST + HELD_MOST  # bytes of what waits behind a request, parsed or not...
QUEUED_MOST = 32  # ...and whole requests, beyond which nothing more is parsed

PIECE = 1 << 10  # bytes that are parsed at a time: some requests more than may wait come of one at the most
PIECE_OF_BODY = 16 << 10  # the same within a body of unknown length
LOOK_EVERY = 0.05  # seconds between looks for the caller's end, which lies behind what is not read


def piece_size(incoming: Request | None) -> int:
    """Bytes to be parsed at a time, where this request is coming in."""
    if incoming is None:
        return PIECE
    body = incoming.body
    return max(PIECE, PIECE_OF_BODY if body.length is None else body.length - body.size)


def is_full(queue: Sequence[Request], incoming: Request | None, serving: Request | None) -> bool:
    """Whether as much waits behind a request as may: guards memory. `incoming` may stand in the queue."""
    behind = serving is not None and serving is not incoming
    if not queue or not (behind or queue[0] is not incoming):
        return False
    is_large = incoming is not None and incoming.body.size > HELD_MOST
    if is_large or len(queue) >= QUEUED_MOST:
        return True
    held = sum(request.held() for request in queue)
    return held + (incoming.held() if incoming is not None else 0) > AHEAD_MOST


class Connection(Protocol):
    """A caller's connection, whose end may lie behind what is not read."""

    def has_ended(self) -> bool:
        """Whether its caller has ended it, as far as the system can tell."""

    def eof_received(self) -> None:
        """Its caller has."""


class ReadAhead:
    """What is not parsed yet, and when it came; where nothing more is read, a look for the caller's end."""

    __slots__ = ("_chunks", "_connection", "_loop", "_next_look", "_size", "arrived")

    def __init__(self, connection: Connection) -> None:
        self._loop = asyncio.get_running_loop()
        self._connection: Connection | None = connection
        self._chunks: list[tuple[bytes, float]] = []
        self._size = 0
        self._next_look: asyncio.TimerHandle | None = None
        self.arrived = math.inf  # the loop's time at which what was taken last may have come

    def __len__(self) -> int:
        return self._size

    def keep(self, data: memoryview, arrived: float) -> None:
        """Keep what came at this time of the loop, at the earliest, behind what is kept already."""
        self._chunks.append((bytes(data), arrived))
        self._size += len(data)

    def has_room(self) -> bool:
        """Whether more may be read behind it."""
        return self._size < AHEAD_MOST

    def watch(self) -> None:
        """Nothing more is read now: look for the caller's end."""
        if self._next_look is None:
            self._next_look = self._loop.call_later(LOOK_EVERY, self._look)

    def take(self, size: int) -> memoryview:
        """The first bytes of it, so many at the most, which are kept no longer."""
        chunk, self.arrived = self._chunks[0]
        if size < len(chunk):
            self._chunks[0] = chunk[size:], self.arrived
        else:
            del self._chunks[0]
        part = memoryview(chunk)[:size]
        self._size -= len(part)
        return part

    def clear(self) -> None:
        """Keep nothing."""
        self._chunks = []
        self._size = 0
        self.settle()

    def close(self) -> None:
        """Keep nothing, and let go of the connection."""
        self.clear()
        self._connection = None

    def settle(self) -> None:
        """All is parsed, or there is room again: its connection is read."""
        if not self._size:
            self.arrived = math.inf
        if self._next_look is not None:
            self._next_look.cancel()
            self._next_look = None

    def _look(self) -> None:
        self._next_look = self._loop.call_later(LOOK_EVERY, self._look)
        if self._connection is not None and self._connection.has_ended():
            self._connection.eof_received()
