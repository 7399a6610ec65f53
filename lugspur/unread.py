"""Whether connections hold bytes that have come and that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select

READS_MOST = 64  # of the loop, that are waited for until all is read: they bring the longest message


class Inbox:
    """Connections whose unread bytes matter: one system call asks for all of them, without reading."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._descriptors: dict[asyncio.BaseTransport, int] = {}

    def add(self, transport: asyncio.BaseTransport) -> None:
        """Ask for this one too, until it is discarded: before its socket is closed."""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._descriptors[transport] = sock.fileno()
            self._poll.register(sock, select.POLLIN)

    def discard(self, transport: asyncio.BaseTransport | None) -> None:
        """Ask for this one no more."""
        descriptor = self._descriptors.pop(transport, None) if transport is not None else None
        if descriptor is not None:
            self._poll.unregister(descriptor)

    def unread(self) -> bool:
        """Whether anything lies unread, an end or a reset included."""
        try:
            return bool(self._poll.poll(0))
        except OSError:  # the system can't tell now: what waits for it must not wait for ever
            return False
