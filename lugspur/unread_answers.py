"""Ends connections of callers that read no answers: what is written to them serves nobody."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.linger import undelivered

LOOK_EVERY = 1.0  # seconds
UNREAD_MOST = 64 << 10  # bytes of unread answers, beyond which no further request is taken up


class UnreadAnswers:
    """Looks whether any of what is unsent goes out; `end` is called where none has for `most` seconds."""

    def __init__(self, transport: asyncio.WriteTransport, end: Callable[[], None], most: float) -> None:
        """`transport` is the caller's."""
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._end = end
        self._most = most
        self._timer: asyncio.TimerHandle | None = None
        self._seen = 0
        self._waited = 0.0  # seconds in which nothing has gone out

    def is_stuck(self) -> bool:
        """Whether nothing has gone out since the look before, at the least."""
        return self._waited > 0.0

    def begin(self) -> None:
        """Look from now on, until nothing is unsent."""
        if self._timer is None:
            self._seen, self._waited = -1, 0.0
            self._timer = self._loop.call_later(LOOK_EVERY, self._look)

    def _look(self) -> None:
        self._timer = None
        if not self._transport.get_write_buffer_size():
            self._waited = 0.0
            return
        # A full system buffer takes nothing more for a long time, though its peer goes on reading.
        left = undelivered(self._transport)
        self._waited = self._waited + LOOK_EVERY if left == self._seen else 0.0
        self._seen = left
        if self._waited >= self._most:
            self._end()
        else:
            self._timer = self._loop.call_later(LOOK_EVERY, self._look)
