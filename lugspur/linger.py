"""A lingering close: what is left goes out, and what still comes is read and dropped."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jaspershelf.transfer_pace import STEP
from lugspur.arrival import unsent_size
from lugspur.exchange import STUCK
from lugspur.trace import trace

LINGER = 1.0  # seconds of a lingering close in which what still comes is read: a reset would eat the answer
LINGER_MOST = 30.0  # seconds of it where more and more comes


def undelivered(transport: asyncio.WriteTransport, ended: bool = False) -> int:
    """Bytes of what was written that the peer's system has not taken: a reset would drop them.

    `ended`: the sending has been; the system counts its end as a byte.
    """
    held_by_system = unsent_size(transport.get_extra_info("socket"))
    return transport.get_write_buffer_size() + max(0, held_by_system - ended)


class LingerLimit:
    """Looked at each `LINGER` seconds; times are the loop's, sizes bytes."""

    def __init__(self, now: float, unsent: int) -> None:
        """`unsent`: of what is left to go out as the close begins."""
        self._dropped_until = now + LINGER_MOST
        self.until = now + STUCK * (1.0 + unsent / STEP)  # guards against one that takes a byte now and then
        self._unsent, self._looks = -1, 0

    def is_over(self, now: float, unsent: int, dropped: int) -> bool:
        """Whether all has been out for LINGER, or none of what is left has gone out for STUCK.

        `dropped`: what has come since the last look. Guards the answer of a caller that is still sending: a
        reset would take it away unread.
        """
        moves = unsent != self._unsent or (dropped and now < self._dropped_until)
        self._looks = 0 if moves else self._looks + 1
        self._unsent = unsent
        return self._looks * LINGER >= (STUCK if unsent else LINGER) or now >= self.until


class LingeringClose:
    """The lingering close of one connection."""

    def __init__(self, transport: asyncio.Transport, end: Callable[[], None]) -> None:
        """`end` closes the connection, once it has lingered for long enough."""
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._end = end
        self._dropped = 0  # bytes that have come since the last look
        self._next_look: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """End the sending, once all is out; OSError where its peer has reset the connection."""
        self._transport.write_eof()
        self._limit = LingerLimit(self._loop.time(), undelivered(self._transport, ended=True))
        self._look()

    def drop(self, size: int) -> None:
        """So many bytes have come, and serve nobody."""
        self._dropped += size

    def cancel(self) -> None:
        """The connection has ended."""
        if self._next_look is not None:
            self._next_look.cancel()

    def _look(self) -> None:
        """End it once it has lingered for long enough."""
        unsent, dropped, self._dropped = undelivered(self._transport, ended=True), self._dropped, 0
        if self._limit.is_over(self._loop.time(), unsent, dropped):
            if unsent:
                trace.record("caller.stuck", unsent=unsent)
            self._end()
        else:
            self._next_look = self._loop.call_later(LINGER, self._look)
