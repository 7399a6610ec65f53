"""Stand-in backends: small HTTP/1.1 servers on loopback with settable latency, errors, room and death.

They speak what PROTOCOL says of backends: 200 with a body (here `ZONE NAME`), 500 for an error, 503 with
`X-Not-Processed: 1` when full, silence, or a connection that is refused or reset.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any

import httptools

from lugspur.config import Address

FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Backend:
    """One server: its settings may change while it runs.

    `slots` requests are in work at a time, `latency` seconds each, and `room` more wait; the next one is
    turned away. `error_rate` of those in work end as errors, after `error_latency` seconds (None: as the
    others). A cold one (`cold_for` seconds from its start on) works at a part of its speed that rises
    evenly from `cold_from`. `seen` holds when each request came (in `time.monotonic` seconds), `tripped`
    counts refusals.
    """

    name: str
    zone: str
    latency: float = 0.005
    error_rate: float = 0.0
    error_latency: float | None = None
    silent: bool = False
    slots: int = 8
    room: int = 64
    cold_for: float = 0.0
    cold_from: float = 0.2
    address: Address = ("", 0)
    started: float = 0.0  # Unix time; 0: long ago
    seen: list[float] = field(default_factory=list)
    tripped: int = 0
    _lives: int = 0
    _busy: int = 0
    _waiting: deque[_Connection] = field(default_factory=deque)
    _server: asyncio.Server | None = None
    _connections: set[_Connection] = field(default_factory=set)
    _random: Random = field(default_factory=lambda: Random(0))

    async def start(self, host: str) -> None:
        """Listen: at a free port the first time, at the same one after a death, and cold then."""
        if self.address[1]:
            self.started = time.time()
        server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, self.address[1], reuse_address=True, backlog=1024
        )
        self._server = server
        self.address = server.sockets[0].getsockname()

    def die(self) -> None:
        """As a process that is killed: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self._connections):
            connection.transport.abort()
        self._waiting.clear()
        self._lives += 1
        self._busy = 0

    @property
    def up(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    def entry(self, status: str = "in_service") -> dict[str, Any]:
        """Its entry in discovery's list."""
        address = f"{self.address[0]}:{self.address[1]}"
        return {"name": self.name, "address": address, "zone": self.zone, "type": "k", "group": 0,
                "status": status, "weight": 1.0, "since_ms": int(self.started * 1000)}

    def _speed(self) -> float:
        age = time.time() - self.started
        if not self.started or age >= self.cold_for:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * age / self.cold_for

    def _take(self, connection: _Connection) -> None:
        self.seen.append(time.monotonic())
        if self.silent:
            return
        if self._busy < self.slots:
            self._begin(connection)
        elif len(self._waiting) < self.room:
            self._waiting.append(connection)
        else:
            self.tripped += 1
            connection.transport.write(FULL)

    def _begin(self, connection: _Connection) -> None:
        self._busy += 1
        bad = self._random.random() < self.error_rate
        taken = self.error_latency if bad and self.error_latency is not None else self.latency / self._speed()
        asyncio.get_running_loop().call_later(taken, self._end, connection, self._lives, bad)

    def _end(self, connection: _Connection, life: int, bad: bool) -> None:
        if life != self._lives:
            return  # died meanwhile
        self._busy -= 1
        if not connection.transport.is_closing():
            body = f"{self.zone} {self.name}".encode()
            connection.transport.write(
                ERROR if bad else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
        while self._waiting:
            following = self._waiting.popleft()
            if not following.transport.is_closing():  # else whoever asked has gone
                self._begin(following)
                break


class _Connection(asyncio.Protocol):
    """One connection of a proxy."""

    transport: asyncio.Transport

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._backend._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._backend._connections.discard(self)

    def data_received(self, data: bytes) -> None:
        with suppress(httptools.HttpParserError):
            self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._backend._take(self)
