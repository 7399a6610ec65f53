"""News of the list that lies unread in the watch's socket, as after a stop of the process: it comes first."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    MAY_HAVE_RUN,
    OK,
    Client,
    Running,
    connect,
    entry,
    environment,
    free_port,
    read,
    running,
    status,
    until,
)
from test_crossings_upstream import Raw, raw

from lugspur.caller import Caller
from lugspur.request import Facts, Request
from lugspur.unread import Inbox

ROOT = Path(__file__).parent.parent
PROBE = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"


def news(index: int, *entries: dict[str, Any], whole: bool = False) -> bytes:
    """One message of a watch."""
    line = json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(line), line)


async def watch(registry: Raw, *known: dict[str, Any]) -> socket.socket:
    """The proxy's watch, which has told this list."""
    sock = await registry.accept()
    await registry.request(sock)
    sock.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + news(11, *known, whole=True))
    return sock


class Fleet:
    """Two backends and a discovery of plain sockets: what they send is there before the loop's next turn."""

    def __init__(self, one: Raw, two: Raw, registry: Raw) -> None:
        self.registry = registry
        self.stubs = {"a": one, "b": two}
        self.entries = {name: entry(name, stub.address) for name, stub in self.stubs.items()}

    @property
    def port(self) -> int:
        """Where discovery listens."""
        return int(self.registry.address.rpartition(":")[2])

    async def taker(self) -> tuple[str, socket.socket]:
        """Which backend has accepted the next connection, and that connection."""
        tasks = {asyncio.ensure_future(stub.accept()): name for name, stub in self.stubs.items()}
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        [task] = done
        return tasks[task], task.result()

    async def both_asked(self, clients: tuple[Client, Client]) -> list[tuple[str, socket.socket]]:
        """Each backend has one of two requests."""
        takers = []
        for number, client in enumerate(clients):
            client.writer.write(read(number))
            name, sock = await self.taker()
            await self.stubs[name].request(sock)
            takers.append((name, sock))
        assert {name for name, _ in takers} == {"a", "b"}
        return takers

    def drain(self, name: str) -> bytes:
        """The news that this backend drains."""
        return news(12, self.entries[name] | {"status": "terminating"})


@asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    async with raw() as one, raw() as two, raw() as registry:
        yield Fleet(one, two, registry)


@asynccontextmanager
async def served(stubs: Fleet) -> AsyncIterator[tuple[Running, socket.socket]]:
    """A proxy in this process that follows the fleet's discovery, and its watch."""
    async with running(list(stubs.entries.values()), discovery=stubs.port) as up:
        told = await watch(stubs.registry, *stubs.entries.values())
        await until(up.proxy.front.loaded.is_set)
        yield up, told


def was_sent(sock: socket.socket) -> bool:
    """Whether anything more has come on a backend's connection."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def play(test: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with fleet() as stubs:
            await test(stubs)

    asyncio.run(run())


@pytest.mark.parametrize("news_first", [False, True])
def test_a_retry_waits_for_the_news_that_came_with_the_answer(news_first: bool) -> None:
    """An answer that sends a request elsewhere and the drain of that other server come in one turn."""
    async def test(stubs: Fleet) -> None:
        async with served(stubs) as (up, told):
            clients = await up.client(), await up.client()
            (_, first), (other, second) = await stubs.both_asked(clients)
            second.send(OK)  # leaves an idle connection to the other one
            assert status(await clients[1].answer()) == 200
            both = [(first, MAY_HAVE_RUN), (told, stubs.drain(other))]
            for sock, data in reversed(both) if news_first else both:
                sock.send(data)
            assert status(await clients[0].answer()) == 503
            assert not was_sent(second), "it was sent to a server that drains"

    play(test)


def test_an_attempt_waits_for_news_that_came_while_its_process_was_held_up() -> None:
    """Between the loop's last look and the start of the attempt: on an idle connection."""
    async def test(stubs: Fleet) -> None:
        async with served(stubs) as (up, told):
            clients = await up.client(), await up.client()
            takers = await stubs.both_asked(clients)
            for (_, sock), client in zip(takers, clients, strict=True):
                sock.send(OK)
                assert status(await client.answer()) == 200
            handle = up.proxy.front.handle

            def held_up(request: Request, facts: Facts, caller: Caller) -> None:
                told.send(news(12, *(row | {"status": "terminating"} for row in stubs.entries.values())))
                handle(request, facts, caller)

            up.proxy.front.handle = held_up
            assert status(await clients[0].ask(read(7))) == 503
            assert not any(was_sent(sock) for _, sock in takers), "it was sent to a server that drains"

    play(test)


def test_an_attempt_waits_for_news_that_came_while_its_dial_came_up() -> None:
    """Just before its first byte would be written."""
    async def test(stubs: Fleet) -> None:
        async with served(stubs) as (up, told):
            client = await up.client()
            loop = asyncio.get_running_loop()
            dial = loop.create_connection

            async def held_up(*args: Any, **named: Any) -> Any:
                made = await dial(*args, **named)
                told.send(news(12, *(row | {"status": "terminating"} for row in stubs.entries.values())))
                return made

            loop.create_connection = held_up  # type: ignore[method-assign]
            assert status(await client.ask(read(7))) == 503
            name, sock = await stubs.taker()
            assert await stubs.stubs[name].request(sock) == b"", "it was sent to a server that drains"

    play(test)


def test_news_that_never_ends_holds_up_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(stubs: Fleet) -> None:
        async with served(stubs) as (up, _):
            monkeypatch.setattr(up.proxy._upstream.news, "unread", lambda: True)
            client = await up.client()
            client.writer.write(read(1))
            name, sock = await stubs.taker()
            assert b"id1" in await stubs.stubs[name].request(sock)

    play(test)


def test_a_stopped_process_reads_its_news_before_it_sends_again(tmp_path: Path) -> None:
    """With a real stop, during which first the answer comes and then the drain."""
    async def test(stubs: Fleet) -> None:
        port = free_port()
        known = list(stubs.entries.values())
        env = environment(tmp_path / "c", f"{HOST}:{port}", stubs.registry.address, known)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur", cwd=ROOT, env=env
        )
        try:
            told = await watch(stubs.registry, *known)
            clients = await ready(port), await ready(port)
            (_, first), (other, second) = await stubs.both_asked(clients)
            second.send(OK)
            assert status(await clients[1].answer()) == 200
            process.send_signal(signal.SIGSTOP)
            await until(lambda: state_of(process.pid) == "T")
            first.send(MAY_HAVE_RUN)
            told.send(stubs.drain(other))
            process.send_signal(signal.SIGCONT)
            assert status(await clients[0].answer()) == 503
            assert not was_sent(second), "it was sent to a server that drains"
        finally:
            process.kill()
            await process.wait()

    play(test)


async def ready(port: int) -> Client:
    """A connection to a process, once it serves."""
    async with asyncio.timeout(20.0):
        while True:
            try:
                client = await connect(port)
                if status(await client.ask(PROBE)) == 200:
                    return client
            except OSError:
                await asyncio.sleep(0.02)


def state_of(pid: int) -> str:
    """The state of a process, as the system counts it."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


def test_the_inbox_tells_of_bytes_and_ends_and_of_nothing_else() -> None:
    async def run() -> None:
        inbox, here, there = Inbox(), *socket.socketpair()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, sock=here)
        inbox.add(transport)
        assert not inbox.unread()
        there.send(b"x")
        assert inbox.unread()
        await until(lambda: not inbox.unread())
        os.close(there.detach())
        assert inbox.unread()
        inbox.discard(transport)
        inbox.discard(transport)
        assert not inbox.unread()
        transport.abort()

    asyncio.run(run())
