"""Requests that come to a new process before its first list: they wait for it, where it is on its way."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import pytest
from loopback import OK, Running, book, entry, read, running, soon, status, until
from test_crossings_upstream import Raw, raw
from test_unread_news import news

from lugspur.body import HELD_MOST

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"r" * (HELD_MOST + 1000)


class Start:
    """A new process that knows one backend; discovery has its call, and a list with another one instead."""

    def __init__(self, up: Running, old: Raw, new: Raw, call: socket.socket) -> None:
        self.up, self.old, self.new, self.call = up, old, new, call

    def answer(self) -> None:
        """Discovery answers."""
        entries = entry("a", self.old.address, "terminating"), entry("b", self.new.address)
        self.call.send(HEAD + news(8, *entries))

    async def assert_old_unasked(self) -> None:
        """The backend that drains has had no connection."""
        self.old._listener.setblocking(False)
        with suppress(BlockingIOError):
            sock, _ = self.old._listener.accept()
            sock.close()
            raise AssertionError("a server that drains was dialled")


def play(test: Callable[[Start], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with raw() as old, raw() as new, raw() as registry:
            port = int(registry.address.rpartition(":")[2])
            async with running([entry("a", old.address)], discovery=port) as up:
                await test(Start(up, old, new, await registry.accept()))

    asyncio.run(run())


@pytest.mark.parametrize("request_", [read(1), book(1), book(1, body=LONG)], ids=["read", "book", "long"])
def test_a_request_that_comes_before_the_list_goes_by_it(request_: bytes) -> None:
    async def test(start: Start) -> None:
        client = await start.up.client()
        client.writer.write(request_)
        await until(lambda: bool(start.up.proxy._calls))
        start.answer()
        sock = await start.new.accept()
        assert b"id1" in await soon(asyncio.get_running_loop().sock_recv(sock, 65536))
        sock.send(OK)
        assert status(await client.answer()) == 200
        await start.assert_old_unasked()

    play(test)


def test_a_client_that_leaves_before_the_list_comes_is_forgotten() -> None:
    async def test(start: Start) -> None:
        client = await start.up.client()
        client.writer.write(read(1))
        await until(lambda: bool(start.up.proxy._calls))
        client.writer.close()
        await until(lambda: not start.up.proxy._calls)
        start.answer()
        await until(start.up.proxy.front.loaded.is_set)
        assert not start.up.proxy._balancer.requests and not start.up.proxy._held

    play(test)


def test_a_request_whose_time_is_up_before_the_list_comes_is_answered() -> None:
    async def test(start: Start) -> None:
        client = await start.up.client()
        assert status(await client.ask(read(1, timeout="0.05"))) == 504
        await start.assert_old_unasked()

    play(test)


def test_where_discovery_is_down_the_known_list_serves_at_once() -> None:
    """The call ends, here by a reset: no other list can be on its way."""
    async def test(start: Start) -> None:
        client = await start.up.client()
        client.writer.write(read(1))
        await until(lambda: bool(start.up.proxy._calls))
        assert not start.up.proxy.front.loaded.is_set()
        start.call.close()
        assert b"id1" in await start.old.request(await start.old.accept())

    play(test)


def test_a_process_that_knows_nobody_holds_up_nobody() -> None:
    async def run() -> None:
        async with raw() as registry:
            async with running([], discovery=int(registry.address.rpartition(":")[2])) as up:
                client = await up.client()
                assert status(await client.ask(read(1))) == 503

    asyncio.run(run())
