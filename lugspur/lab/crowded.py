"""A stand-in discovery with faults: one service for all processes that serves calls in turn.

A call waits for its turn behind all that came before it, also behind those whose callers have given up
since: the service does not notice. One that has waited for too long, or that comes while the service is
unavailable, ends in 503 or a reset. Every process calls at an address of its own, so it is known who called,
and all that a checker needs to know of a run is kept: what was written to whom, when a site could be reached,
and which watches fell silent.

All times are seconds of `time.monotonic`, which is one clock for all processes of the machine.
"""

from __future__ import annotations

import asyncio
import math
import select
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from lugspur.config import Address
from lugspur.lab.registry import Registry

UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
QUICK = (0.0005, 0.0015)  # seconds that a call takes where nothing is wrong
BACKLOG = 4096


@dataclass(slots=True)
class Interval:
    """From `start` up to `end`; infinite while it lasts."""

    start: float
    end: float = math.inf


@dataclass(slots=True, frozen=True)
class Written:
    """A message that was written to a process: all changes up to `index`.

    `in_service` are the names that it gives as in service; a whole list leaves out whatever else there is.
    """

    at: float
    index: int
    whole: bool
    in_service: frozenset[str]


@dataclass(slots=True, frozen=True)
class Changed:
    """An entry of the list as it is from `at` on."""

    at: float
    index: int
    name: str
    status: str


@dataclass(slots=True)
class Record:
    """What happened at discovery; by the process's name where it is about one."""

    changes: list[Changed] = field(default_factory=list)
    written: dict[str, list[Written]] = field(default_factory=dict)
    silences: dict[str, list[Interval]] = field(default_factory=dict)  # until the process has let go
    calls: int = 0  # that came
    overdue: int = 0  # that waited for too long
    turns: list[bool] = field(default_factory=list)  # of each in order: whether its caller was still there


class Turns:
    """Calls are served one after the other, in the order in which they came."""

    def __init__(self, seed: int) -> None:
        self.service_time = QUICK
        self.keeps_overdue = False
        self._random = Random(seed)
        self._queue: asyncio.Queue[tuple[float, asyncio.Future[None]]] = asyncio.Queue()
        self._free_at = 0.0
        self._free = asyncio.Event()
        self._free.set()

    def hold(self) -> None:
        """Serve nobody for now."""
        self._free.clear()

    def release(self) -> None:
        """Serve on."""
        self._free_at = time.monotonic()
        self._free.set()

    async def wait(self) -> None:
        """Until this call's turn is over."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((time.monotonic(), turn))
        await turn

    async def serve(self) -> None:
        """Serve for ever. A call that is overdue before its turn takes no time, unless `keeps_overdue`."""
        while True:
            came, turn = await self._queue.get()
            await self._free.wait()
            if turn.cancelled() and not self.keeps_overdue:
                continue
            # A clock of its own: the stand-in's loop may be late, which does not make the service slower.
            self._free_at = max(came, self._free_at) + self._random.uniform(*self.service_time)
            await asyncio.sleep(self._free_at - time.monotonic())
            if not turn.done():
                turn.set_result(None)


class Site:
    """One place where discovery is reached: a listener for every process."""

    def __init__(self, service: CrowdedDiscovery, hosts: Mapping[str, str]) -> None:
        self.addresses: dict[str, Address] = {}
        self.reachable: list[Interval] = []
        self.unavailable = False  # accepts, and answers 503 at once
        self.mute = False  # accepts, and says nothing: half-open
        self.watches: set[Watch] = set()
        self._service = service
        self._hosts = hosts
        self._listeners: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen: at free ports the first time, at the same ones from then on."""
        for process, host in self._hosts.items():
            port = self.addresses[process][1] if process in self.addresses else 0
            listener = await asyncio.start_server(self._accept(process), host, port, backlog=BACKLOG)
            self.addresses[process] = listener.sockets[0].getsockname()
            self._listeners.append(listener)
        self.unavailable = self.mute = False
        self._note_reachable()

    def close(self) -> None:
        """Refuse calls, and end all that are here."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for task in tuple(self._tasks):
            task.cancel()
        self._note_unreachable()

    def answer_unavailable(self) -> None:
        """From here on calls end in 503, and all that are here end."""
        self.unavailable = True
        for task in tuple(self._tasks):
            task.cancel()
        self._note_unreachable()

    def fall_mute(self) -> None:
        """From here on calls are accepted and never answered, and the watches are silent."""
        self.mute = True
        self.silence()
        self._note_unreachable()

    def recover(self) -> None:
        """Answer again, in turn; what was accepted while mute stays silent."""
        self.unavailable = self.mute = False
        self._note_reachable()

    def end_watches(self) -> None:
        """Close all open watches."""
        for watch in tuple(self.watches):
            watch.task.cancel()

    def silence(self) -> None:
        """All open watches stay open and tell nothing more."""
        for watch in self.watches:
            if not watch.silent:
                self._service.record.silences.setdefault(watch.process, []).append(watch.fall_silent())

    def _note_reachable(self) -> None:
        if not self.reachable or self.reachable[-1].end < math.inf:
            self.reachable.append(Interval(time.monotonic()))

    def _note_unreachable(self) -> None:
        if self.reachable and self.reachable[-1].end == math.inf:
            self.reachable[-1].end = time.monotonic()

    def _accept(self, process: str) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._service.serve(self, process, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.transport.abort()

        return serve


class Watch:
    """A call and, from its turn on, the open answer to it."""

    def __init__(
        self, process: str, since: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.process = process
        self.told = since
        self.task: asyncio.Task[Any] = task
        self._reader, self._writer = reader, writer
        self._silent_until: asyncio.Task[None] | None = None
        self._poll = select.poll()
        self._poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)

    @property
    def silent(self) -> bool:
        """Whether it tells nothing more."""
        return self._silent_until is not None

    def abandoned(self) -> bool:
        """Whether the process has let go of it, also where the loop has not read so yet."""
        return self._reader.at_eof() or self._writer.transport.is_closing() or bool(self._poll.poll(0))

    async def write(self, data: bytes) -> None:
        """Write this, whole."""
        self._writer.write(data)
        await self._writer.drain()

    async def until_abandoned(self) -> None:
        """Wait until the process lets go of it."""
        with suppress(OSError):
            await self._reader.read()

    def fall_silent(self) -> Interval:
        """Tell nothing more; the time for which the process holds on to it."""
        silence = Interval(time.monotonic())

        async def end() -> None:
            await self.until_abandoned()
            silence.end = time.monotonic()

        self._silent_until = asyncio.get_running_loop().create_task(end())
        return silence

    async def stay_silent(self) -> None:
        """Until the process lets go of it."""
        if self._silent_until is not None:
            await self._silent_until


class CrowdedDiscovery:
    """The service, its list and its sites; every field may change while it runs."""

    def __init__(self, hosts: Mapping[str, str], seed: int, sites: int = 2) -> None:
        self.list = Registry()
        self.record = Record()
        self.turns = Turns(seed)
        self.wait_most = math.inf  # seconds that a call waits for its turn before it ends in 503
        self.omits_draining = False  # whether whole lists leave out servers that drain
        self.always_whole = False  # whether the first answer to a call is the whole list
        self.cut_answers = 0.0  # the chance that the first answer to a call ends in the middle
        self.sites = [Site(self, hosts) for _ in range(sites)]
        self._random = Random(seed)
        self._serving: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Serve, at all sites."""
        self._serving = asyncio.get_running_loop().create_task(self.turns.serve())
        for site in self.sites:
            await site.open()

    async def close(self) -> None:
        """End all of it."""
        for site in self.sites:
            site.close()
        if self._serving is not None:
            self._serving.cancel()
            await asyncio.gather(self._serving, return_exceptions=True)

    async def change(self, *entries: dict[str, Any]) -> None:
        """Entries that are new or have changed."""
        now, index = time.monotonic(), self.list.index + 1
        self.record.changes += [Changed(now, index, row["name"], row["status"]) for row in entries]
        await self.list.change(*entries)

    def whole(self) -> dict[str, Any]:
        """The whole list as a message."""
        message = self.list.whole()
        if self.omits_draining:
            message["endpoints"] = [row for row in message["endpoints"] if row["status"] == "in_service"]
        return message

    async def serve(
        self, site: Site, process: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One call, from its first byte on."""
        head = await reader.readuntil(b"\r\n\r\n")
        asked = parse_qs(urlsplit(head.split()[1].decode()).query)
        watch = Watch(process, int(asked.get("since", ["0"])[0]), reader, writer)
        self.record.calls += 1
        if site.mute:
            await watch.until_abandoned()
            return
        if site.unavailable or not await self._turn(watch):
            await watch.write(UNAVAILABLE)
            return
        site.watches.add(watch)
        try:
            await self._follow(watch)
        finally:
            site.watches.discard(watch)

    async def _turn(self, watch: Watch) -> bool:
        """Whether this call's turn has come in time."""
        try:
            async with asyncio.timeout(None if self.wait_most == math.inf else self.wait_most):
                await self.turns.wait()
        except TimeoutError:
            self.record.overdue += 1
            return False
        self.record.turns.append(not watch.abandoned())
        return True

    async def _follow(self, watch: Watch) -> None:
        await watch.write(WATCH_HEAD)
        first = True
        while not watch.abandoned():
            if watch.silent:
                await watch.stay_silent()
                return
            await self._tell(watch, first)
            first = False
            await self.list.wait_for_change(watch.told)

    async def _tell(self, watch: Watch, first: bool) -> None:
        """Write what has changed, or an empty line."""
        message = self._message(watch, first)
        line = (orjson.dumps(message) if message else b"") + b"\n"
        chunk = b"%x\r\n%b\r\n" % (len(line), line)
        if first and self._random.random() < self.cut_answers:
            await watch.write(chunk[:len(chunk) // 2])
            raise ConnectionResetError
        watch.told = max(watch.told, self.list.index)
        await watch.write(chunk)
        if message is not None and not watch.abandoned():
            names = {row["name"] for row in message["endpoints"] if row["status"] == "in_service"}
            self.record.written.setdefault(watch.process, []).append(
                Written(time.monotonic(), message["index"], message["snapshot"], frozenset(names))
            )

    def _message(self, watch: Watch, first: bool) -> dict[str, Any] | None:
        """What this watch has not been told yet."""
        if first and (self.always_whole or watch.told > self.list.index):
            return self.whole()
        if watch.told >= self.list.index:
            return None
        message = self.list.since(watch.told)
        return self.whole() if message["snapshot"] else message
