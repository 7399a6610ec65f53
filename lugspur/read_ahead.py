"""Bytes that were read of a caller's connection before there was room for the requests in them.

One read may bring many requests. They are parsed a piece at a time, and no further once enough requests wait:
what is left lies here, in order, and nothing more is read until it has been parsed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from lugspur.body import Body

PIECE = 1 << 10  # bytes that are parsed at a time: some requests more than may wait come of one at the most
PIECE_OF_BODY = 16 << 10  # the same within a body of unknown length
LOOK_EVERY = 0.05  # seconds between looks for the caller's end, which lies behind what is not read


def piece_size(body: Body | None) -> int:
    """Bytes to be parsed at a time, where this body is coming in."""
    if body is None:
        return PIECE
    return max(PIECE, PIECE_OF_BODY if body.length is None else body.length - body.size)


class ReadAhead:
    """What is not parsed yet, since when it may have been there, and a look at whether its caller is."""

    def __init__(self, has_ended: Callable[[], bool], ended: Callable[[], None]) -> None:
        """`has_ended` tells whether the caller has ended its connection; `ended` is called once it has."""
        self._loop = asyncio.get_running_loop()
        self._data = bytearray()
        self._has_ended = has_ended
        self._ended = ended
        self._next_look: asyncio.TimerHandle | None = None
        self.arrived = math.inf  # the loop's time at which the first of it may have come

    def __len__(self) -> int:
        return len(self._data)

    def keep(self, data: memoryview, arrived: float) -> None:
        """Keep what came at this time of the loop, at the earliest, behind what is kept already."""
        self._data += data
        self.arrived = min(self.arrived, arrived)
        if self._next_look is None:
            self._next_look = self._loop.call_later(LOOK_EVERY, self._look)

    def take(self, size: int) -> memoryview:
        """The first bytes of it, which are kept no longer."""
        part = bytes(self._data[:size])
        del self._data[:size]
        return memoryview(part)

    def clear(self) -> None:
        """Keep nothing."""
        self._data.clear()
        self.settle()

    def close(self) -> None:
        """Keep nothing, and let go of the connection."""
        self.clear()
        self._has_ended, self._ended = _never, _nothing

    def settle(self) -> None:
        """Look for the caller's end no more where nothing is kept: its connection is read again."""
        if self._data:
            return
        self.arrived = math.inf
        if self._next_look is not None:
            self._next_look.cancel()
            self._next_look = None

    def _look(self) -> None:
        self._next_look = self._loop.call_later(LOOK_EVERY, self._look)
        if self._has_ended():
            self._ended()


def _never() -> bool:
    return False


def _nothing() -> None:
    pass
