"""What counts as an idle connection where descriptors are short, and as callers are to leave."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import HOST, Client, Running, backend, book, entry, running, soon, status, until

from lugspur.front import LINGERERS

SPARE, CALLERS = 48, 4
SOCKETS = SPARE + 2 * CALLERS  # half of what is not spare is for callers
CROWD = 4 * LINGERERS
SIZE = 2 << 20  # bytes of an answer: more than the buffers of these connections hold
SLOW_BUFFER = 32 << 10  # bytes
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE + bytes(SIZE)


async def crowd(up: Running, number: int = CROWD) -> list[socket.socket]:
    """So many clients that connect and send nothing."""
    loop, many = asyncio.get_running_loop(), []
    for _ in range(number):
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, up.port))
        many.append(sock)
    await until(lambda: len(up.proxy.front.callers) <= CALLERS + LINGERERS)
    await asyncio.sleep(0.05)
    return many


async def rest_of(client: Client) -> int:
    """Bytes of the answer that is read now."""
    await soon(client.reader.readuntil(b"\r\n\r\n"))
    got = 0
    while got < SIZE and (data := await soon(client.reader.read(1 << 20))):
        got += len(data)
    return got


def leave(many: list[socket.socket]) -> None:
    for sock in many:
        sock.close()


# Guards against requests that are never answered, as idle clients fill the descriptors while they come in.
@pytest.mark.parametrize("come", [1, 40, -2], ids=["a byte", "a part of the head", "a part of the body"])
def test_a_request_that_is_coming_in_is_answered_though_idle_clients_fill_the_descriptors(come: int) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)], sockets=SOCKETS) as up:
            clients = [await up.client() for _ in range(CALLERS - 1)]
            requests = [book() for _ in clients]
            for client, request in zip(clients, requests, strict=True):
                client.writer.write(request[:come])
            await until(lambda: sum(caller.begun for caller in up.proxy.front.callers) == len(clients))
            many = await crowd(up)
            for client, request in zip(clients, requests, strict=True):
                client.writer.write(request[come:])
                assert status(await client.answer()) == 200
            leave(many)

    asyncio.run(play())


# Guards against answers cut megabytes before their end, as idle clients fill the descriptors.
@pytest.mark.parametrize("last", [False, True], ids=["kept", "Connection: close"])
def test_an_answer_that_is_read_slowly_comes_whole_though_idle_clients_fill_the_descriptors(
    last: bool
) -> None:
    async def play() -> None:
        async with backend(lambda _: LARGE) as one, running([entry("a", one.address)], sockets=SOCKETS) as up:
            up.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SLOW_BUFFER)  # of all that are accepted
            clients = [await up.slow_client(SLOW_BUFFER, SLOW_BUFFER) for _ in range(CALLERS - 1)]
            for client in clients:
                client.writer.write(book(Connection="close" if last else ""))
            await until(lambda: one.got.qsize() == len(clients))
            reads = [asyncio.ensure_future(read_until_given(up, client)) for client in clients]
            got = await asyncio.gather(*reads)
            many = await crowd(up)
            whole = [part + await rest(client, part) for part, client in zip(got, clients, strict=True)]
            assert whole == [SIZE] * len(clients)
            leave(many)

    async def read_until_given(up: Running, client: Client) -> int:
        """Read until the proxy has all of the answers; bytes that have come by then."""
        await soon(client.reader.readuntil(b"\r\n\r\n"))
        got = 0
        while up.proxy._calls and got < SIZE:
            got += len(await soon(client.reader.read(SLOW_BUFFER)))
            await asyncio.sleep(0.0)
        assert got < SIZE, "nothing is left to be read"
        return got

    async def rest(client: Client, got: int) -> int:
        came = 0
        while got + came < SIZE and (data := await soon(client.reader.read(1 << 20))):
            came += len(data)
        return came

    asyncio.run(play())


def test_a_connection_is_turned_away_unread_where_no_other_is_idle() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)], sockets=SOCKETS) as up:
            for number in range(1, CALLERS + LINGERERS + 1):
                client = await up.client()
                client.writer.write(book()[:40])
                await until(lambda: sum(row.begun for row in up.proxy.front.callers) == number)  # noqa: B023
            further = await up.client()
            assert await soon(further.reader.read()) == b""
            assert len(up.proxy.front.callers) == CALLERS + LINGERERS

    asyncio.run(play())


# Guards against answers that are ended with their connection, as callers are let go.
def test_an_answer_that_is_read_slowly_comes_whole_as_callers_are_let_go() -> None:
    async def play() -> None:
        async with backend(lambda _: LARGE) as one, running([entry("a", one.address)]) as up:
            up.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SLOW_BUFFER)
            client = await up.slow_client(SLOW_BUFFER, SLOW_BUFFER)
            client.writer.write(book())
            await soon(one.got.get())
            reading = asyncio.ensure_future(rest_of(client))
            await until(lambda: not up.proxy._calls)
            up.proxy.front.close()
            assert await reading == SIZE
            assert await soon(client.reader.read()) == b"", "an idle connection is kept"
            await until(lambda: not up.proxy.front.callers)

    asyncio.run(play())
