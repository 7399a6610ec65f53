"""Clients of one proxy: they wait for its first yes, then send at a rate and note how each request ended."""

from __future__ import annotations

import contextvars
from collections.abc import Callable
from dataclasses import dataclass

from lugspur.caller import Caller
from lugspur.front import Front
from simulation.clock import World
from simulation.link import Link, Peer, Transport
from simulation.network import Network

PROBE_EVERY = 0.1  # seconds between two looks at `/healthz`
SLOW_TIMEOUT = 1.0  # seconds for the answer to a request whose body comes slowly, from its last byte
PIECES = 20  # in which such a body comes
LATE_MOST = 0.55  # seconds after its time in which a request may still have its final answer


@dataclass(slots=True)
class Sent:
    """One request."""

    number: bytes
    unsafe: bool
    due: float  # its client's deadline
    status: int = 0  # of its final answer
    answered: float | None = None
    excused: bool = False  # nobody owes it an answer: its process was killed
    again: bool = False  # sent once more, as the connection was closed without a word


class _Connection(Peer):
    """A client's connection: one request at a time."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self.link: Link
        self.sent: Sent | None = None
        self.request = b""  # what was sent for it
        self._got = b""

    def ask(self, request: bytes, sent: Sent | None) -> None:
        """Send a request."""
        self.sent, self.request = sent, request
        self.link.send(request)

    def received(self, link: Link, data: bytes, sent: float) -> None:
        """A part of an answer."""
        self._got += data
        head, separator, rest = self._got.partition(b"\r\n\r\n")
        if not separator:
            return
        length = 0
        closes = False
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.lower().partition(b":")
            length = int(value) if name == b"content-length" else length
            closes |= name == b"connection" and b"close" in value
        if len(rest) < length:
            return
        self._got = rest[length:]
        self._callers.answered(self, int(head.split()[1]), closes)

    def closed(self, link: Link) -> None:
        """The proxy has closed it."""
        self._callers.gone(self)


class Callers:
    """All clients of one process."""

    def __init__(
        self, world: World, network: Network, process: str, front: Front, prefix: str
    ) -> None:
        self._world, self._network, self._process, self._front = world, network, process, front
        self._prefix = prefix
        self._context: contextvars.Context
        self._idle: list[_Connection] = []
        self._probe: _Connection | None = None
        self.all: list[Sent] = []
        self.ready_at: float | None = None
        self.on_ready: Callable[[], None] = lambda: None
        self.stopped = False

    def start(self) -> None:
        """Look for the first yes; call it in the process's context."""
        self._context = contextvars.copy_context()
        self._ask_health()

    def excuse(self, begin: float, end: float) -> None:
        """Requests that were out while their process stood still, from `begin` to `end`, are owed nothing."""
        for sent in self.all:
            sent.excused |= begin - LATE_MOST < sent.due < end + LATE_MOST and sent.answered is None

    def stop(self, excused: bool) -> None:
        """Send nothing more; a killed process owes nothing."""
        self.stopped = True
        if excused:
            for sent in self.all:
                sent.excused |= sent.answered is None

    def _open(self) -> _Connection:
        connection = _Connection(self)
        connection.link = self._network.connect(self._process, connection)
        loop, link = self._world.loop, connection.link
        transport = self._context.run(lambda: Transport(loop, Caller(self._front), link))
        self._world.wake(transport.begin)
        return connection

    def _ask_health(self) -> None:
        if self.stopped or self.ready_at is not None:
            return
        if self._probe is None:
            self._probe = self._open()
        self._probe.ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", None)
        self._world.after(PROBE_EVERY, self._ask_health)

    def send(self, unsafe: bool, timeout: float, body: bytes = b"") -> Sent | None:
        """One request on a connection that is free."""
        if self.stopped or self.ready_at is None:
            return None
        number = f"{self._prefix}-{len(self.all)}".encode()
        sent = Sent(number, unsafe, self._world.now + timeout)
        self.all.append(sent)
        connection = self._idle.pop() if self._idle else self._open()
        method, kind = (b"POST", b"book") if unsafe else (b"GET", b"read")
        connection.ask(
            b"%b /api/k HTTP/1.1\r\nHost: h\r\nX-Request-ID: %b\r\nX-Priority-Class: %b\r\n"
            b"X-Tenant-Id: acme\r\nX-Timeout: %.3f\r\nContent-Length: %d\r\n\r\n%b" % (
                method, number, kind, timeout, len(body), body), sent)
        return sent

    def send_slowly(self, size: int, seconds: float) -> Sent | None:
        """One unsafe request whose body comes in pieces over so many seconds."""
        if self.stopped or self.ready_at is None:
            return None
        number = f"{self._prefix}-{len(self.all)}".encode()
        sent = Sent(number, True, self._world.now + seconds + SLOW_TIMEOUT)
        self.all.append(sent)
        connection = self._open()
        connection.ask(
            b"POST /api/k HTTP/1.1\r\nHost: h\r\nX-Request-ID: %b\r\nX-Priority-Class: book\r\n"
            b"X-Tenant-Id: acme\r\nX-Timeout: %.3f\r\nContent-Length: %d\r\n\r\n" % (
                number, SLOW_TIMEOUT, size), sent)
        sent.again = True  # it can't be sent once more as a whole
        for piece in range(PIECES):
            self._world.after(seconds * piece / PIECES,
                              lambda: connection.link.send(b"x" * (size // PIECES)))
        return sent

    def answered(self, connection: _Connection, status: int, closes: bool) -> None:
        """An answer has come whole."""
        if connection is self._probe:
            if status == 200 and self.ready_at is None:
                self.ready_at = self._world.now
                self.on_ready()
            return
        sent, connection.sent = connection.sent, None
        if sent is not None:
            sent.status, sent.answered = status, self._world.now
        if not closes:
            self._idle.append(connection)

    def gone(self, connection: _Connection) -> None:
        """The proxy has closed a connection: a request that crossed the close is sent once more."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection is self._probe:
            self._probe = None
        sent = connection.sent
        if sent is not None and not sent.again and not self.stopped:
            sent.again = True
            self._open().ask(connection.request, sent)

    def lost(self) -> list[Sent]:
        """Requests with no final answer in time."""
        return [sent for sent in self.all if not sent.excused
                and (sent.answered is None or sent.answered > sent.due + LATE_MOST)]
