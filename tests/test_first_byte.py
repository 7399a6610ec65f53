"""The first byte of a request goes out as its server is looked up in the list, or never."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from loopback import OK, Running, book, entry, read, running, soon, status, until
from test_crossings_upstream import Raw, once_served, raw

from lugspur.backend_connection import Connection
from lugspur.body import HELD_MOST


def fill(connection: Connection) -> int:
    """Leave no room in a connection's socket: how many bytes lie there now."""
    own: socket.socket = connection._transport._sock  # type: ignore[attr-defined]
    count = 0
    with pytest.raises(BlockingIOError):
        while True:
            count += own.send(b"x" * 65536)
    return count


async def drain_of(one: Raw, up: Running, sock: socket.socket, count: int) -> bytes:
    """The server drains; then it takes all that lay in the socket: what comes behind that."""
    up.tell([entry("a", one.address, "terminating")])
    loop = asyncio.get_running_loop()
    while count:
        count -= len(await soon(loop.sock_recv(sock, min(count, 1 << 20))))
    return await soon(loop.sock_recv(sock, 65536))


def play(test: Callable[[Raw, Running], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            await test(one, up)

    asyncio.run(run())


@pytest.mark.parametrize("ask", [read, book])
def test_a_socket_without_room_sends_nothing_after_its_server_drains(ask: Callable[..., bytes]) -> None:
    """A request that an idle connection takes none of goes out on a new one, at once."""
    async def test(one: Raw, up: Running) -> None:
        client, sock = await once_served(one, up)
        [connection] = up.proxy._upstream._idle
        count = fill(connection)
        client.writer.write(ask(2))
        fresh = asyncio.ensure_future(one.accept())
        await until(lambda: connection._transport.get_write_buffer_size() > 0 or fresh.done())
        assert b"id2" not in await drain_of(one, up, sock, count), "its first byte came after the drain"
        assert b"id2" in await one.request(await soon(fresh))
        fresh.result().send(OK)
        assert status(await client.answer()) == 200

    play(test)


@pytest.mark.parametrize("whole", [True, False])
def test_a_new_connection_that_takes_nothing_has_sent_nothing(
    whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the body there or still coming in: the attempt never ran, and nothing goes out later."""
    made = Connection.connection_made
    full: list[Connection] = []

    def without_room(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        fill(self)
        full.append(self)

    async def test(one: Raw, up: Running) -> None:
        monkeypatch.setattr(Connection, "connection_made", without_room)
        client = await up.client()
        request = book(2, body=b"r" * (HELD_MOST + 1000))
        client.writer.write(book(2) if whole else request[:-100])
        await until(lambda: bool(full) and full[0].blocked())
        sock = await one.accept()
        got = b""
        while more := await soon(asyncio.get_running_loop().sock_recv(sock, 1 << 20)):
            got = got[-100:] + more
            assert b"id2" not in got
        if not whole:
            client.writer.write(request[-100:])
        assert status(await client.answer()) == 503
        assert up.proxy._upstream.dispatches == 0

    play(test)


def test_a_request_whose_first_bytes_are_out_may_take_its_time() -> None:
    """Its server drains while the rest waits for room: it is answered."""
    async def test(one: Raw, up: Running) -> None:
        client, sock = await once_served(one, up)
        [connection] = up.proxy._upstream._idle
        write = connection._transport.write

        def short(data: bytes) -> None:
            own: socket.socket = connection._transport._sock  # type: ignore[attr-defined]
            assert own.send(data[:1]) == 1
            connection._transport._buffer.extend(data[1:])  # type: ignore[attr-defined]
            loop = asyncio.get_running_loop()
            loop._add_writer(  # type: ignore[attr-defined]
                own.fileno(), connection._transport._write_ready  # type: ignore[attr-defined]
            )

        connection._transport.write = short  # type: ignore[assignment, method-assign]
        client.writer.write(read(2))
        await until(lambda: connection.exchange is not None)
        connection._transport.write = write  # type: ignore[method-assign]
        up.tell([entry("a", one.address, "terminating")])
        assert b"id2" in await one.request(sock)
        sock.send(OK)
        assert status(await client.answer()) == 200

    play(test)
