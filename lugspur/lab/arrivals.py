"""Stand-in backends that know when each request came to the machine: `python -m lugspur.lab.arrivals`.

The kernel stamps what comes in (SO_TIMESTAMPNS), so a process that is late to read adds nothing. They run in
a process of their own, as the load does, that is led by lines of JSON. In: a `Plan`. Out: the addresses of
the backends. In: anything. Out, once the load is over: a `Harvest`. It ends where its standard input does.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from lugspur.config import Address
from lugspur.lab.load import Answer, Load

SO_TIMESTAMPNS = 35  # of Linux; the module `socket` has no name for it
STAMP = struct.Struct("qq")  # seconds and nanoseconds of the system's clock
READ_MOST = 1 << 16
LATE_MOST = 0.25  # seconds of requests that are made up for after a hold-up
OWED_MOST = 6  # requests that a proxy owes, beyond which it is sent no more
OFFER_EVERY = 0.01
LINE_MOST = 1 << 26  # bytes of a line of JSON
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ROOT = Path(__file__).parents[2]


@dataclass(slots=True, frozen=True)
class Plan:
    """So many backends, or a load: requests a second in all, dealt to the proxies in turn."""

    backends: int = 0
    latency: float = 0.0
    proxies: Sequence[Address] = ()
    rate: float = 0.0
    seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that came at `at` (`time.monotonic`), from the proxy of this number, to this backend."""

    at: float
    proxy: int
    backend: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a request to this proxy ended: sent at `at`, answered `took` later; status 0: not at all."""

    at: float
    took: float
    proxy: int
    status: int


@dataclass(slots=True, frozen=True)
class Harvest:
    """What a run has brought."""

    arrivals: list[Arrival]
    outcomes: list[Outcome]


class StampedBackends:
    """Backends on loopback that answer every request after the same time, and keep when it came."""

    def __init__(self, latency: float) -> None:
        self.arrivals: list[Arrival] = []
        self._latency = latency
        self._loop = asyncio.get_running_loop()
        self._sockets: set[socket.socket] = set()

    def open(self, count: int, host: str) -> list[Address]:
        """Listen; their addresses."""
        return [self._listen(number, host) for number in range(count)]

    def close(self) -> None:
        """End all connections and listeners."""
        for one in self._sockets:
            self._loop.remove_reader(one)
            one.close()
        self._sockets.clear()

    def _listen(self, number: int, host: str) -> Address:
        listener = socket.create_server((host, 0), backlog=1024)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # what it accepts has it too
        self._sockets.add(listener)
        self._loop.add_reader(listener, self._accept, listener, number)
        address: Address = listener.getsockname()
        return address

    def _accept(self, listener: socket.socket, number: int) -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.add(connection)
        self._loop.add_reader(connection, self._read, connection, number)

    def _read(self, connection: socket.socket, number: int) -> None:
        """One request: proxies write small ones at once, and no second before the answer."""
        try:
            data, stamps, _, _ = connection.recvmsg(READ_MOST, socket.CMSG_SPACE(STAMP.size))
        except BlockingIOError:
            return
        except OSError:
            data, stamps = b"", []
        if not data:
            self._end(connection)
            return
        proxy = data.partition(b"X-Request-ID: p")[2].partition(b"-")[0]
        if proxy.isdigit():
            self.arrivals.append(Arrival(_arrived(stamps), int(proxy), number))
        self._loop.call_later(self._latency, self._answer, connection)

    def _answer(self, connection: socket.socket) -> None:
        if connection in self._sockets:
            try:
                connection.send(ANSWER)
            except OSError:
                self._end(connection)

    def _end(self, connection: socket.socket) -> None:
        self._sockets.discard(connection)
        self._loop.remove_reader(connection)
        connection.close()


def _arrived(stamps: list[tuple[int, int, bytes]]) -> float:
    """The kernel's time on the monotonic clock; now, where it gave none."""
    now = time.monotonic()
    for level, kind, value in stamps:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = STAMP.unpack(value)
            return float(seconds - time.time() + nanoseconds / 1e9 + now)
    return now


async def offer(plan: Plan) -> list[Outcome]:
    """The load. What is due while this process is held up, or while its proxy owes many, is left out."""
    load = Load([(host, port) for host, port in plan.proxies])
    owed = [0] * len(plan.proxies)
    begun = time.monotonic()
    tasks: list[asyncio.Task[Answer]] = []

    async def ask(proxy: int) -> Answer:
        owed[proxy] += 1
        try:
            return await load.ask(proxy, begun)
        finally:
            owed[proxy] -= 1

    number = 0
    while (passed := time.monotonic() - begun) < plan.seconds:
        due = int(passed * plan.rate)
        number = max(number, due - int(LATE_MOST * plan.rate))
        for each in range(number, due):
            proxy = each % len(plan.proxies)
            if owed[proxy] < OWED_MOST:
                tasks.append(asyncio.create_task(ask(proxy)))
        number = due
        await asyncio.sleep(OFFER_EVERY)
    answers = await asyncio.gather(*tasks)
    load.close()
    return [Outcome(begun + row.at, row.took, row.proxy, row.status) for row in answers]


class Traffic:
    """A process of backends, or of the load, as its parent sees it."""

    def __init__(self) -> None:
        self.addresses: list[Address] = []
        self._process: asyncio.subprocess.Process | None = None

    async def open(self, plan: Plan) -> None:
        """Start it; its backends are up then."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur.lab.arrivals", cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=LINE_MOST,
        )
        self._write(orjson.dumps(plan))
        self.addresses = [(host, port) for host, port in await self._answer()]

    def begin(self) -> None:
        """Begin the load; of backends alone: have enough."""
        self._write(b"{}")

    async def harvest(self) -> Harvest:
        """Wait until the load is over."""
        raw = await self._answer()
        return Harvest(
            [Arrival(*row) for row in raw["arrivals"]], [Outcome(*row) for row in raw["outcomes"]]
        )

    async def close(self) -> None:
        """End it by its id."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def _write(self, line: bytes) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    async def _answer(self) -> Any:
        assert self._process is not None and self._process.stdout is not None
        return orjson.loads(await self._process.stdout.readline())


async def _lines() -> asyncio.StreamReader:
    """Standard input."""
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


def _say(value: Any) -> None:
    sys.stdout.buffer.write(orjson.dumps(value) + b"\n")
    sys.stdout.buffer.flush()


async def run() -> None:
    """Carry out the plan that comes on standard input."""
    lines = await _lines()
    plan = Plan(**orjson.loads(await lines.readline()))
    backends = StampedBackends(plan.latency)
    _say(backends.open(plan.backends, "127.0.0.1"))
    if await lines.readline():
        outcomes = await offer(plan) if plan.proxies else []
        _say({
            "arrivals": [(row.at, row.proxy, row.backend) for row in backends.arrivals],
            "outcomes": [(row.at, row.took, row.proxy, row.status) for row in outcomes],
        })
        await lines.readline()
    backends.close()


if __name__ == "__main__":
    asyncio.run(run())
