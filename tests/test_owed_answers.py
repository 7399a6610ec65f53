"""Long answers to slow readers where memory is short: what was taken on comes whole."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from loopback import Client, Running, backend, book, entry, running, soon, until

from jaspershelf.overload import BUDGET_PART, MIB, READ_LEAST
from lugspur.memory import Purpose

LIMIT, REST = 64 * MIB, 20 * MIB  # bytes that a process may have, and has with nothing held
CLIENTS = 12
SIZE = 1 << 20  # bytes of an answer: more than the buffers of its connections hold
BUFFER = 32 << 10  # bytes of a connection's system buffers
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE + bytes(SIZE)
PIECE = 16 << 10  # bytes that a slow client reads at a time


async def rest_of(client: Client) -> int:
    """Bytes of the answer's body that come until its end, or until it is cut."""
    got = 0
    try:
        await soon(client.reader.readuntil(b"\r\n\r\n"))
        while got < SIZE and (data := await soon(client.reader.read(PIECE))):
            got += len(data)
            await asyncio.sleep(0.001)
    except OSError:
        pass
    return got


async def play(change: Callable[[Running], None], budget: int | None = None) -> Running:
    """Let answers back up at their callers, make the change, and have the callers read all of them."""
    async with backend(lambda _: LARGE) as one, running([entry("a", one.address)], memory=LIMIT) as up:
        overload, account = up.proxy._overload, up.proxy._account
        overload.start(REST)  # in place of the size of the process that runs the tests
        up.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)  # of all that are accepted
        if budget is not None:
            overload.budget = overload.admission_budget = budget
            overload.quiet = 0.0
        clients = [await up.slow_client(BUFFER, PIECE) for _ in range(CLIENTS)]
        for client in clients:
            client.writer.write(book())
            await soon(one.got.get())
        await until(lambda: sum(caller._full for caller in up.proxy.front.callers) == CLIENTS)
        await asyncio.sleep(0.1)
        change(up)
        assert await asyncio.gather(*map(rest_of, clients)) == [SIZE] * CLIENTS
        assert account.reset == account.reset_owed == 0
        assert account.peak <= max(overload.budget, budget or 0)
        return up


# Guards against answers that are reset together, as what they hold passes the budget.
@pytest.mark.parametrize("budget", [1200 << 10, 700 << 10])
def test_long_answers_that_are_read_slowly_together_stay_under_the_budget_and_come_whole(budget: int) -> None:
    def nothing(up: Running) -> None:
        assert up.proxy._account.by_purpose[Purpose.ANSWERS] > READ_LEAST

    asyncio.run(play(nothing, budget))


# Guards against answers that are reset as the process hands over to another one, which halves its memory.
def test_answers_that_were_taken_on_come_whole_though_the_process_hands_over(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("jaspershelf.overload.BUDGET_LEAST", MIB // 16)

    def hand_over(up: Running) -> None:
        overload, held = up.proxy._overload, up.proxy._account.held
        overload._limit = overload._rest + int(1.2 * (held + overload._standing) / BUDGET_PART)
        up.proxy.make_room()
        assert overload.admission_budget < held < overload.budget

    asyncio.run(play(hand_over))


# Guards against an answer that is cut as if its caller took nothing, while a full system buffer drains.
def test_an_answer_is_not_cut_while_its_caller_reads_from_a_full_system_buffer(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lugspur.exchange.STUCK", 0.5)
    monkeypatch.setattr("lugspur.exchange.HEADWAY_EVERY", 0.05)
    monkeypatch.setattr("jaspershelf.transfer_pace.STEP", PIECE)

    async def play() -> None:
        async with backend(lambda _: LARGE) as one, running([entry("a", one.address)]) as up:
            up.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SIZE // 4)
            client = await up.slow_client(BUFFER, PIECE)
            client.writer.write(book())
            got = 0
            await soon(client.reader.readuntil(b"\r\n\r\n"))
            while got < SIZE and (data := await soon(client.reader.read(PIECE))):
                got += len(data)
                await asyncio.sleep(0.06)
            assert got == SIZE

    asyncio.run(play())
