"""Since when bytes that were just read, or are still unread, may have lain in a connection's socket.

A request's time runs from the moment at which its caller wrote its last byte. That moment is not known here;
what is known is when the socket was last seen empty, as what came later can't have been written before.
Reading may be paused, a turn of the event loop may be long, and a connection may wait to be accepted: each of
them leaves bytes unread, and none of them may lengthen a request's time.
"""

from __future__ import annotations

import asyncio
import fcntl
import math
import select
import socket
import struct
import termios
from typing import Any, Protocol

from lugspur.event_loop import looks, ready_since

UNKNOWN = -math.inf  # in place of the moment before which nothing can have come
UNSURE = 0.05  # seconds of doubt beyond which the kernel is asked
LAST_DATA_RECEIVED = struct.Struct("I")  # milliseconds...
LAST_DATA_OFFSET = 52  # ...at this place of the kernel's `struct tcp_info` (include/uapi/linux/tcp.h)


INT = struct.Struct("i")


class Socket(Protocol):
    """What is asked of a socket: asyncio hands out a view of its own."""

    def fileno(self) -> int:
        """Its descriptor."""

    def getsockopt(self, level: int, name: int, size: int) -> Any:
        """An option's bytes."""


def unread_size(sock: Socket) -> int | None:
    """Bytes that lie unread in a socket; None where the system does not say."""
    try:
        size: int = INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT.size)))[0]
    except OSError:
        return None
    return size


def unsent_size(sock: Socket | None) -> int:
    """Bytes of what was written that the peer's system has not taken; 0 where the system does not say."""
    if sock is None:
        return 0
    try:
        size: int = INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT.size)))[0]
    except OSError:
        return 0
    return size


def has_ended(sock: Socket) -> bool:
    """Whether the peer has ended a TCP connection, even behind bytes that lie unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    try:
        found = poll.poll(0)
    except OSError:  # the system can't tell now
        return False
    return any(events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR) for _, events in found)


def last_received(sock: Socket) -> float | None:
    """Seconds since the kernel last received bytes on a TCP socket; None where it does not say."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + LAST_DATA_RECEIVED.size)
        milliseconds: int = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_OFFSET)[0]
    except (OSError, struct.error):
        return None
    return milliseconds / 1000.0


class ArrivalBound:
    """The earliest moment at which the latest bytes of one connection may have come, in the loop's time."""

    def __init__(self, sock: Socket | None, since: float) -> None:
        """`since`: nothing can have come before that time of the loop."""
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._unread_until = looks(self._loop) + 1  # the first look that may find something
        self._since = since  # the socket was empty then...
        self._watched = False  # ...and the loop has looked at it in each turn from then on
        self._flowing = True  # no read has been paused or filled its buffer since the socket was empty
        self._emptied_at_look = 0  # it seemed empty after this one; 0: nothing is to be confirmed
        self._room = 0  # bytes that the present read may bring

    def reading(self, room: int) -> None:
        """The next read brings so many bytes at the most."""
        self._room = room

    def read(self) -> None:
        """Bytes have been read, which are taken up next."""
        self._confirm(1)
        first, self._unread_until = self._unread_until, 0
        if self._watched or (first and looks(self._loop) > first):
            self._since = max(self._since, ready_since(self._loop))
        elif self._since == UNKNOWN:
            self._since = self._loop.time() - (self._silent_for() or 0.0)

    def _silent_for(self) -> float | None:
        return last_received(self._sock) if self._sock is not None else None

    def taken_up(self, size: int) -> None:
        """So many bytes were read, and have been taken up."""
        emptied = size < self._room or (self._sock is not None and unread_size(self._sock) == 0)
        self._emptied_at_look = 0
        if emptied and self._flowing:
            self._since = self._loop.time()
            self._watched = True
        elif emptied:
            self._emptied_at_look = looks(self._loop)
        else:
            self._watched = self._flowing = False

    def _confirm(self, looks_since: int) -> None:
        """Take a socket for empty only once looks have found nothing more.

        A receive buffer that was full has kept its sender from sending: what was written long before comes
        as soon as there is room.
        """
        if self._emptied_at_look and looks(self._loop) > self._emptied_at_look + looks_since:
            self._emptied_at_look = 0
            self._watched = self._flowing = True

    def paused(self) -> None:
        """The connection is not read for a while."""
        if self._watched:
            self._since = max(self._since, ready_since(self._loop))
        self._watched = self._flowing = False
        self._emptied_at_look = 0

    def unread(self) -> int | None:
        """Bytes that lie unread in the socket; None where the system does not say."""
        return unread_size(self._sock) if self._sock is not None else None

    def has_ended(self) -> bool:
        """Whether the peer has ended the connection."""
        return self._sock is not None and has_ended(self._sock)

    def since(self) -> float:
        """The moment since which unread bytes may lie in the socket."""
        self._confirm(0)
        return max(self._since, ready_since(self._loop)) if self._watched else self._since

    def last_arrival(self) -> float:
        """The moment at which the bytes that are taken up now came, at the earliest."""
        now = self._loop.time()
        if now - self._since <= UNSURE:
            return self._since
        # A full receive buffer hides when its sender wrote: the kernel's word counts where there was room.
        silent = self._silent_for() if self._flowing else None
        if silent is None:
            return self._since
        return min(now, max(self._since, now - silent))
