"""Takes connections from a listening socket, and goes on after whatever fault of it."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from lugspur.event_loop import ready_since
from lugspur.events import log

AT_A_TIME = 8  # connections that are taken in one go, before all else has its turn
PAUSE = 0.1  # seconds after a fault in which nothing is taken: it would only fail again, as fast as it can
DRAIN_MOST = 0.5  # seconds that taking what waits at the end may be held up by faults
# Errors of the connection that was at the head of the queue, not of the listener: the next one may be sound.
# Linux reports some of the network's on a connection that is already gone as the result of `accept`.
LOST = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN,
    errno.EHOSTUNREACH, errno.ENONET, errno.EOPNOTSUPP, errno.EPERM,
})


class Acceptor:
    """One listening socket: each connection is given a protocol by `make`."""

    def __init__(self, sock: socket.socket, make: Callable[[], asyncio.BaseProtocol]) -> None:
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._make = make
        self._tasks: set[asyncio.Task[None]] = set()
        self._pause: asyncio.TimerHandle | None = None
        self._failing = False  # since the last connection that was taken; told in one line
        self._emptied = True  # nothing waited when it was last looked at
        self.waiting_since = self._loop.time()  # what is taken now has not waited for longer
        self._resume()

    def close(self) -> None:
        """Take nothing more, and close the socket."""
        self._stop()
        self._sock.close()

    async def drain(self) -> None:
        """Take all that waits, then close: closing the listener would reset what is queued."""
        self._stop()
        latest = self._loop.time() + DRAIN_MOST
        while self._loop.time() < latest:
            try:
                accepted, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                break
            except OSError as fault:
                self._tell(fault)
                if fault.errno not in LOST:
                    await asyncio.sleep(PAUSE / 4.0)
                continue
            await self._connect(accepted)
        self.close()

    def _resume(self) -> None:
        self._pause = None
        try:
            self._loop.add_reader(self._sock.fileno(), self._ready)
        except OSError as fault:
            self._rest(fault)

    def _stop(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())

    def _ready(self) -> None:
        """Connections wait: take some of them."""
        if self._emptied:
            self.waiting_since = max(self.waiting_since, ready_since(self._loop))
        self._emptied = False
        fault: OSError | None = None
        taken = 0
        for _ in range(AT_A_TIME):
            try:
                accepted, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                self._emptied = True
                return
            except OSError as found:
                fault = found
                if found.errno not in LOST:
                    break
                continue
            taken += 1
            self._failing = False
            task = self._loop.create_task(self._connect(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if fault is not None and not taken:
            self._rest(fault)

    def _rest(self, fault: OSError) -> None:
        """Take nothing for a while."""
        self._tell(fault)
        self._loop.remove_reader(self._sock.fileno())
        self._pause = self._loop.call_later(PAUSE, self._resume)

    def _tell(self, fault: OSError) -> None:
        if not self._failing:
            log.warning("accept.fault", error=str(fault.strerror))
        self._failing = True

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            accepted.setblocking(False)
            await self._loop.connect_accepted_socket(self._make, accepted)
        except OSError as fault:
            log.warning("accept.lost", error=str(fault.strerror))
            accepted.close()
