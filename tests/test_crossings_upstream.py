"""Two events that cross on the backends' side: docs/crossings.md has a row for each."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    WIDE,
    Client,
    Running,
    backend,
    book,
    entry,
    held_dials,
    read,
    running,
    soon,
    status,
    until,
)

from jaspershelf.model import Outcome
from lugspur import backend_connection
from lugspur.backend_connection import Backend as Known
from lugspur.backend_connection import Connection
from lugspur.call import Call
from lugspur.caller import Caller
from lugspur.exchange import Exchange
from lugspur.memory import READ_BUFFER
from lugspur.proxy import Proxy
from lugspur.request import Facts, Request
from lugspur.upstream import Upstream

PARTIAL = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"  # no length: only an end without a reset ends it
WRONG = OK.replace(b"done", b"evil")


class Raw:
    """A backend of plain sockets, whose calls take effect at once, between two turns of the loop."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.socks: list[socket.socket] = []

    async def accept(self) -> socket.socket:
        """The next connection."""
        sock, _ = await soon(asyncio.get_running_loop().sock_accept(self._listener))
        self.socks.append(sock)
        return sock

    async def request(self, sock: socket.socket) -> bytes:
        """The next request on it; empty at its end."""
        got = b""
        while b"\r\n\r\n" not in got or (got.startswith(b"POST") and not got.endswith(b"room")):
            more = await soon(asyncio.get_running_loop().sock_recv(sock, 65536))
            if not more:
                break
            got += more
        return got

    def close(self) -> None:
        for sock in [self._listener, *self.socks]:
            sock.close()


@asynccontextmanager
async def raw() -> AsyncIterator[Raw]:
    made = Raw()
    try:
        yield made
    finally:
        made.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


HAPPENS: dict[str, Callable[[socket.socket], object]] = {
    "its end": lambda sock: sock.shutdown(socket.SHUT_WR),
    "a reset": reset,
    "half a status line": lambda sock: sock.send(b"HTTP/1.1 2"),
    "a whole answer": lambda sock: sock.send(WRONG),
}


async def once_served(one: Raw, up: Running) -> tuple[Client, socket.socket]:
    """A client whose first request has left an idle connection to the backend."""
    client = await up.client()
    client.writer.write(read(1))
    sock = await one.accept()
    await one.request(sock)
    sock.send(OK)
    assert status(await client.answer()) == 200
    return client, sock


@pytest.mark.parametrize("ask", [read, book])
@pytest.mark.parametrize("what", HAPPENS)
def test_what_came_on_an_idle_connection_in_the_same_turn_spoils_no_request(
    what: str, ask: Callable[..., bytes]
) -> None:
    """It lies unread as the next request is given its connection: any class is served, by a new one."""
    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client, sock = await once_served(one, up)
            handle = up.proxy.front.handle

            def crossed(request: Request, facts: Facts, caller: Caller) -> None:
                HAPPENS[what](sock)
                handle(request, facts, caller)

            up.proxy.front.handle = crossed
            client.writer.write(ask(2))
            fresh = await one.accept()
            assert b"id2" in await one.request(fresh)
            fresh.send(OK)
            answer = await client.answer()
            assert status(answer) == 200 and answer.endswith(b"done")
            await until(lambda: up.proxy._upstream._connected == 1)

    asyncio.run(play())


@pytest.mark.parametrize("ask", [read, book])
@pytest.mark.parametrize("what", [*HAPPENS, "a reset under an answer without a length"])
def test_what_happens_just_after_a_request_is_written(what: str, ask: Callable[..., bytes]) -> None:
    """It may have run: one that is safe goes to the other backend, the unsafe one is not sent again."""
    async def play() -> None:
        async with raw() as one, backend(lambda _: OK) as other:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                client.writer.write(ask(1))
                sock = await one.accept()
                await one.request(sock)
                up.tell([entry("b", other.address)])
                if what.endswith("length"):
                    sock.send(PARTIAL)
                    await asyncio.sleep(0)
                    reset(sock)
                elif what == "half a status line":
                    sock.send(b"HTTP/1.1 2")
                    sock.shutdown(socket.SHUT_WR)
                else:
                    HAPPENS[what](sock)
                answer = await client.answer()
                if what == "a whole answer":
                    assert answer.endswith(b"evil")  # it is this request's own
                else:
                    assert status(answer) == (200 if ask is read else 502)
                    assert other.got.qsize() == (ask is read)

    asyncio.run(play())


@pytest.mark.parametrize("ask", [read, book])
def test_a_second_answer_that_crosses_the_next_request_serves_nobody(
    ask: Callable[..., bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It comes too soon after the first, and sooner than this backend has ever answered."""
    monkeypatch.setattr(backend_connection, "STRAY_WITHIN", WIDE)

    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client, sock = await once_served(one, up)
            [backend] = up.proxy._backends.values()
            backend.quickest = 3.0 * WIDE  # none of its answers ever came sooner
            client.writer.write(ask(2))
            assert b"id2" in await one.request(sock)
            sock.send(WRONG)
            answer = await client.answer()
            assert b"evil" not in answer and status(answer) in (502, 503)
            assert await one.request(sock) == b"", "the connection is of no further use"
            assert backend.quickest == 3.0 * WIDE, "a stray answer taught something"

    asyncio.run(play())


def test_a_backend_that_has_become_quicker_is_believed() -> None:
    async def play() -> None:
        pool, known, clock = Upstream(1, 60.0, WIDE), Known((HOST, 1)), [100.0]
        connection = Connection(pool, known)
        pool.now = lambda: clock[0]  # type: ignore[method-assign]

        def stray(took: float, gap: float = 0.001) -> bool:
            connection._answered = clock[0]
            connection._sent = clock[0] + gap
            clock[0] += gap + took
            return connection._is_stray()

        assert not stray(0.001), "nothing is known of this backend yet"
        known.quickest = 0.05
        assert stray(0.001) and not stray(0.06, 1.0), "an ordinary answer in between"
        assert [stray(0.001) for _ in range(backend_connection.STRAYS_MOST + 1)] == [True, True, False]
        assert known.quickest == pytest.approx(0.001) and known.doubts == 0
        assert not stray(0.0001), "of a backend as quick as that nothing can be told"

    asyncio.run(play())


@pytest.mark.parametrize("within", [0.0, WIDE])
def test_answers_that_are_as_quick_as_ever_are_the_requests_own(
    within: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backend_connection, "STRAY_WITHIN", within)

    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client, sock = await once_served(one, up)
            [backend] = up.proxy._backends.values()
            backend.quickest = 0.0 if within else 3.0 * WIDE
            for number in (2, 3):
                client.writer.write(book(number))
                assert b"id%d" % number in await one.request(sock)
                sock.send(OK)
                assert status(await client.answer()) == 200
            assert len(one.socks) == 1

    asyncio.run(play())


@pytest.mark.parametrize("what", ["started anew", "draining", "left"])
def test_nothing_goes_out_after_the_world_has_moved_on_under_a_dial(what: str) -> None:
    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            await until(lambda: bool(up.proxy.front.callers))
            with held_dials() as (asked, let):
                client.writer.write(read(2))
                await soon(asked.wait())
                [call] = up.proxy._calls.values()
                if what == "left":
                    client.writer.close()
                    await until(lambda: call.caller is None)
                else:
                    changed = {"since_ms": 5} if what == "started anew" else {"status": "terminating"}
                    up.tell([entry("a", one.address) | changed])
                let.set()
                await until(lambda: not call.exchanges[0].open)
            if what != "left":
                assert await one.request(await one.accept()) == b"", "it was written to"
                assert status(await client.answer()) == 503

    asyncio.run(play())


# ---- several in one turn of the loop, in any order ------------------------------------------------

EVENTS = ("answer", "time", "draining", "leaves", "cancel")


def happens(what: str, up: Running, exchange: Exchange, address: str) -> None:
    """One event, carried out at once."""
    connection = exchange.connection
    if what == "answer" and connection is not None:
        READ_BUFFER[:len(OK)] = OK
        connection.buffer_updated(len(OK))
    elif what == "time":
        exchange.expire()
    elif what == "draining":
        up.tell([entry("a", address, "terminating")])
    elif what == "leaves":
        [caller] = up.proxy.front.callers
        caller._transport.abort()
        caller.eof_received()
    elif what == "cancel":
        exchange.end(Outcome.CANCELLED)


def given_back(up: Running) -> None:
    """Nothing is held for a request any more, and every figure is back at rest."""
    balancer, pool = up.proxy._balancer, up.proxy._upstream
    assert not up.proxy._calls and not balancer.requests
    assert not any(server.out for server in balancer.servers.values())
    assert [p.owed for p in balancer.pools] == [0] * len(balancer.pools)
    assert pool._dialling == 0 and pool._connected == len(pool._idle)
    assert up.proxy._telemetry.concurrent == 0


def settles(order: tuple[str, ...], dial: bool) -> bool:
    """Whether these events leave nothing to wait for."""
    return bool({"time", "leaves", "cancel", "draining" if dial else "answer"} & {*order})


ORDERS = [order for n in (1, 2, 3) for order in itertools.permutations(EVENTS, n)]


@pytest.mark.parametrize(
    ("order", "dial"), [(o, dial) for o in ORDERS for dial in (False, True) if settles(o, dial)]
)
def test_events_of_one_turn_leave_one_answer_and_give_all_back_once(
    order: tuple[str, ...], dial: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    ended: list[Exchange] = []
    outcome = Proxy.outcome

    def counted(self: Proxy, call: Call, exchange: Exchange, *args: Any) -> None:
        ended.append(exchange)
        outcome(self, call, exchange, *args)

    monkeypatch.setattr(Proxy, "outcome", counted)

    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            await until(lambda: bool(up.proxy.front.callers))
            with held_dials() as (asked, let):
                client.writer.write(book(1))
                await soon(asked.wait())
                if not dial:
                    let.set()
                    await one.request(await one.accept())
                [call] = up.proxy._calls.values()
                for what in order:
                    happens(what, up, call.exchanges[0], one.address)
                let.set()
            await until(lambda: not up.proxy._calls and up.proxy._upstream._dialling == 0)
            if "draining" in order or "leaves" in order or not dial:
                assert len(call.exchanges) == 1, "sent again"
            answers = b"" if "leaves" in order else await client.answer()
            up.proxy.front.close()
            answers += await soon(client.reader.read())
            assert answers.count(b"HTTP/1.1 ") == 1 or ("leaves" in order and not answers)
            client.writer.close()
            await until(lambda: not up.proxy.front.callers)
            await until(lambda: up.proxy._upstream._connected == len(up.proxy._upstream._idle))
            given_back(up)
            assert len(ended) == len({*map(id, ended)}) == len(call.exchanges), "an attempt ended twice"
            if dial and one.socks == [] and up.proxy._upstream._connected:
                sock = await one.accept()
                sock.setblocking(False)
                with pytest.raises(BlockingIOError):
                    sock.recv(1)

    asyncio.run(play())
