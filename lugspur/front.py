"""All connections of callers: taking them, health, and letting them go."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from lugspur.accept import Acceptor
from lugspur.arrival import UNKNOWN
from lugspur.caller import Caller
from lugspur.config import Config
from lugspur.event_loop import held_up_at
from lugspur.listening import inherited_socket, listening_socket
from lugspur.memory import Account
from lugspur.request import Facts, Request
from lugspur.telemetry import Telemetry

LINGERERS = 8  # connections beyond the limit on callers, of the spare descriptors
IDLE_LOOK_EVERY = 0.05  # seconds between looks for those that have become idle, and are to leave
LEAVE_AFTER = 0.1  # seconds after the last answers in which callers may still take them
BACKLOG = 1024  # connections that may wait to be accepted
# Seconds after operators drain the proxy in which idle callers may still leave by themselves: at 4 s none may
# be left, nor a request of the last 2 s, and closing one early crosses more requests.
IDLE_AFTER_DRAIN = 1.6


class Front:
    """All connections of callers, within a limit on their number."""

    def __init__(
        self, config: Config, most: int, handle: Callable[[Request, Facts, Caller], None],
        telemetry: Telemetry, account: Account | None = None,
    ) -> None:
        self.config = config
        self.account = account or Account()
        self.telemetry = telemetry
        self.handle = handle
        self.most = most
        self.loaded = asyncio.Event()  # the list is
        self.serving = False  # the listener accepts, and is to go on
        self.ending = False  # the process has been told to end
        self.closing = False  # answers close their connection
        self.drained = False  # operators have sent callers elsewhere, for a time
        self.until = math.inf  # in the loop's time: all that is taken has to be answered by then
        self.end_requests: Callable[[], None] = lambda: None  # those that are still open get their end now
        self._letting_go: asyncio.TimerHandle | None = None
        self.callers: set[Caller] = set()
        self.waiting: dict[Caller, None] = {}  # those that owe no answer, the longest waiting first
        self.lingering: dict[Caller, None] = {}  # those shut down for sending, the oldest first
        self.last_accept = 0.0

    @property
    def held_up_at(self) -> float:
        """When the process was last seen to have been held up, in the loop's time."""
        return held_up_at(asyncio.get_running_loop())

    def taking(self) -> bool:
        """Whether this process takes callers and knows the list."""
        return self.loaded.is_set() and self.serving

    def healthy(self) -> bool:
        """Whether requests should be sent here."""
        return self.taking() and not self.drained

    def admit(self, caller: Caller) -> None:
        """A new connection: where there are too many, an idle one makes room, or else it is turned away.

        Guards the limit on sockets, and what others are owed: no connection ends on which anything is.
        """
        self.last_accept = asyncio.get_running_loop().time()
        self.callers.add(caller)
        idle = self._longest_idle() if self.crowded() else None
        if idle is not None:
            idle.close("idle, and there are too many")
        if len(self.callers) > self.most + LINGERERS and not self._end_delivered():
            caller.abort("there are too many, and none is idle")
        else:
            self.waiting[caller] = None

    def _longest_idle(self) -> Caller | None:
        return next((caller for caller in self.waiting if caller.is_idle()), None)

    def _end_delivered(self) -> bool:
        """End the oldest connection on which nothing is owed; False: there is none."""
        lingering = (caller for caller in self.lingering if caller.is_delivered())
        delivered = next(lingering, None) or self._longest_idle()
        if delivered is not None:
            self.waiting.pop(delivered, None)
            delivered.abort("all of its answers are out, and there are too many")
        return delivered is not None

    def crowded(self) -> bool:
        """Whether more callers are here than may be, those on their way out aside."""
        return len(self.callers) - len(self.lingering) > self.most

    def evacuate(self) -> None:
        """Let callers leave for as long as operators want it; the listener stays for those that still come.

        Not a shutdown: nothing ends but connections, and `rejoin` takes all of it back.
        """
        if self.drained:
            return
        self.drained = self.closing = True
        self._letting_go = asyncio.get_running_loop().call_later(IDLE_AFTER_DRAIN, self.close)

    def rejoin(self) -> None:
        """Back to work; a process that is told to end stays on its way out."""
        if not self.drained:
            return
        self.drained = False
        self.closing = self.ending
        if self._letting_go is not None:
            self._letting_go.cancel()

    async def listen(self) -> socket.socket:
        """Serve on the given address alone, by the platform's own socket where it holds one."""
        given = self.config.listen_fd
        sock = listening_socket(self.config.listen) if given is None else inherited_socket(given)
        sock.listen(BACKLOG)
        self._acceptor = Acceptor(sock, self._make_caller)
        self.serving = True
        return sock

    def _make_caller(self) -> Caller:
        # Connections on an inherited socket may have waited since before this process.
        inherited = self.config.listen_fd is not None
        return Caller(self, UNKNOWN if inherited else self._acceptor.waiting_since)

    async def stop_listening(self, sock: socket.socket) -> None:
        """Take what the accept queue holds, then close the listener: closing it resets what is queued."""
        await self._acceptor.drain()

    def leave_listener(self) -> None:
        """Accept nothing more; the queue is the other process's, and only the own descriptor is closed."""
        self._acceptor.close()

    def end_due(self, now: float) -> None:
        """End what is still open once the end of the process is near: first requests, then connections."""
        if now >= self.until:
            self.end_requests()
        if now >= self.until + LEAVE_AFTER:
            for caller in tuple(self.callers):
                caller.abort("the process ends")

    def close(self) -> None:
        """From here on answers close their connection; those that wait for nothing are closed now."""
        self.closing = True
        self._close_idle(tuple(self.waiting))
        for caller in tuple(self.callers):
            caller.take_up()  # what waits until its caller reads on is to be answered by the end

    def _close_idle(self, callers: tuple[Caller, ...]) -> None:
        """Close those of them that are idle, and look again for the others until none is left.

        Guards requests on their way in, whose answers close the connection, and answers on their way out.
        """
        for caller in callers:
            if caller in self.waiting and caller.is_idle():
                caller.close("idle, and the process lets its callers go")
        left = tuple(caller for caller in callers if caller in self.waiting)
        if self._letting_go is not None:
            self._letting_go.cancel()
        self._letting_go = (
            asyncio.get_running_loop().call_later(IDLE_LOOK_EVERY, self._close_idle, left) if left else None)
