"""Slows peers whose bytes come in very many small parts: each part of a message costs the loop time."""

from __future__ import annotations

import asyncio

from lugspur.memory import READ_BUFFER, Account

PART_LEAST = 12  # bytes of a header or a chunk, in the mean, under which what comes is costly...
READ_LEAST = 256  # ...where so many have come at once
PIECE = 1 << 10  # bytes that a costly peer is read at a time...
REST = 0.25  # ...once in so many seconds


class CostlyInput:
    """How one connection is read: as much as the account allows, and little of a costly peer."""

    def __init__(self, account: Account) -> None:
        self._account = account
        self._costly = False
        self._go_on_at: asyncio.TimerHandle | None = None  # it rests until then
        self.parts = 0  # of messages, since the last read

    def buffer(self) -> memoryview:
        """Where the next bytes go."""
        return READ_BUFFER[:PIECE] if self._costly else self._account.read_buffer()

    def read(self, size: int, transport: asyncio.ReadTransport) -> None:
        """So many bytes have been taken up, of a connection whose reading is not paused."""
        self._costly = size >= READ_LEAST and self.parts * PART_LEAST > size
        self.parts = 0
        if self._costly and not transport.is_closing():
            transport.pause_reading()
            self._go_on_at = asyncio.get_running_loop().call_later(REST, self._go_on, transport)

    def rests(self) -> bool:
        """Whether it is not read for a while."""
        return self._go_on_at is not None

    def _go_on(self, transport: asyncio.ReadTransport) -> None:
        self._go_on_at = None
        if not transport.is_closing():
            transport.resume_reading()
