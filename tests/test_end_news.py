"""A process on its way out follows the list for as long as an attempt may begin."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from loopback import OK, book, config, connect, entry, read, soon, status, until
from test_crossings_upstream import Raw, raw
from test_unread_news import news, watch

from lugspur.front import Front
from lugspur.process import drain, hand_over
from lugspur.proxy import Proxy

End = Callable[[Proxy, socket.socket], Awaitable[None]]


async def drained(proxy: Proxy, listener: socket.socket) -> None:
    """As after SIGTERM."""
    await drain(proxy.front, listener)


async def handed_over(proxy: Proxy, listener: socket.socket) -> None:
    """As after SIGTERM, where another process listens on the same socket."""
    proxy.make_room()
    await hand_over(proxy.front)


async def evacuated(proxy: Proxy, listener: socket.socket) -> None:
    """As after an operator's call, and then SIGTERM."""
    proxy.front.evacuate()
    await drain(proxy.front, listener)


def begun(front: Front) -> bool:
    """Whether a request has come in part."""
    return any(caller.begun for caller in front.callers)


async def reopened(registry: Raw, told: socket.socket) -> socket.socket:
    """The watch ends with no news, and is opened anew."""
    told.close()
    sock = await registry.accept()
    assert b"since=11" in await registry.request(sock)
    sock.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return sock


@pytest.mark.parametrize("again", [False, True], ids=["open watch", "watch opened anew"])
@pytest.mark.parametrize("request_", [read(1), book(1)], ids=["read", "book"])
@pytest.mark.parametrize("end", [drained, handed_over, evacuated])
def test_a_request_that_is_half_read_at_the_end_goes_by_news_that_come_after(
    end: End, request_: bytes, again: bool
) -> None:
    """Its backend drains once the process has been told to end: it goes to the other one."""
    async def play() -> None:
        async with raw() as one, raw() as other, raw() as registry:
            here = entry("a", one.address)
            port = int(registry.address.rpartition(":")[2])
            proxy = Proxy(config([here], discovery=port))
            listener = await proxy.front.listen()
            told = await watch(registry, here)
            await until(proxy.front.loaded.is_set)
            client = await connect(listener.getsockname()[1])
            client.writer.write(request_[:-1])
            await until(lambda: begun(proxy.front))
            ending = asyncio.ensure_future(end(proxy, listener))
            await until(lambda: proxy.front.ending)
            if again:
                told = await reopened(registry, told)
            told.send(news(12, here | {"status": "terminating"}, entry("b", other.address)))
            await until(lambda: proxy._discovery.index == 12)
            client.writer.write(request_[-1:])
            sock = await other.accept()
            assert b"id1" in await other.request(sock)
            sock.send(OK)
            assert status(await client.answer()) == 200
            client.writer.close()
            await soon(ending)
            assert not one.socks

    asyncio.run(play())
