"""The account of what peers make a process hold, its decisions, and what is left of it after a play."""

from __future__ import annotations

import asyncio
import gc
import weakref
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import (
    CLOSE,
    OK,
    Client,
    Running,
    backend,
    book,
    entry,
    read,
    running,
    soon,
    status,
    until,
)

from jaspershelf.overload import (
    BUDGET_LEAST,
    BUDGET_PART,
    MIB,
    READ_LEAST,
    READ_MOST,
    SERVERS_ALWAYS,
    SERVERS_MOST,
    MemoryOverload,
    largest_first,
)
from lugspur.backend_connection import Connection
from lugspur.costly_input import PIECE, CostlyInput
from lugspur.invariants import Invariants
from lugspur.memory import KEPT, RELIEF_EVERY, Account, Purpose
from lugspur.unread_answers import UnreadAnswers


def overload(limit: int = 100 * MIB, rest: int = 20 * MIB) -> MemoryOverload:
    made = MemoryOverload(limit)
    made.start(rest)
    return made


# ---- decisions -------------------------------------------------------------------------------------


def test_the_budget_comes_from_the_limit_and_two_processes_share_it() -> None:
    made = overload()
    assert made.budget == BUDGET_PART * 80 * MIB
    made.share(2)
    assert made.budget == BUDGET_PART * 30 * MIB
    made.share(1)
    made.keep(10 * MIB)
    assert made.budget == BUDGET_PART * 80 * MIB - 10 * MIB
    made.allocation_failed(8 * MIB)
    assert made.budget == 6 * MIB
    made.recover()
    assert 6 * MIB < made.budget < 7 * MIB
    for _ in range(60):
        made.recover()
    assert made.budget == BUDGET_PART * 80 * MIB - 10 * MIB
    assert overload(20 * MIB).budget == BUDGET_LEAST


def test_without_a_limit_nothing_is_refused() -> None:
    made = MemoryOverload()
    assert not made.update(1 << 40) and not made.refusing and made.read_size(1 << 40) == READ_MOST


def test_refusing_ends_later_than_it_begins() -> None:
    made = overload()
    seen = []
    for part in (0.65, 0.71, 0.65, 0.59, 0.65):
        made.update(int(part * made.budget))
        seen.append(made.refusing)
    assert seen == [False, True, True, False, False]


def test_reads_become_smaller_as_memory_runs_out() -> None:
    made = overload()
    sizes = [made.read_size(int(part / 100 * made.budget)) for part in range(0, 120, 5)]
    assert sizes[0] == READ_MOST and sizes[-1] == READ_LEAST
    assert sizes == sorted(sizes, reverse=True)


def test_the_largest_give_up_first() -> None:
    assert largest_first([5, 50, 0, 20]) == [1, 3, 0]
    assert largest_first([0]) == []
    assert largest_first([5, 50, 7, 20], [False, True, False, True]) == [2, 0, 1, 3]


def test_a_fleet_of_the_stated_size_is_kept_whatever_the_limit() -> None:
    assert overload(21 * MIB).servers_most() == SERVERS_ALWAYS
    assert MemoryOverload().servers_most() == SERVERS_MOST


# ---- the account -----------------------------------------------------------------------------------


class Hog:
    """A holder of bytes of two kinds: some can be given up, all with the connection."""

    def __init__(self, account: Account, loose: int, fast: int) -> None:
        self.loose, self.fast = account.holding(Purpose.HEADS), account.holding(Purpose.REQUESTS)
        account.holders[self] = None
        self.fast.set(fast)
        self.loose.set(loose)

    def held(self) -> int:
        return self.loose.size + self.fast.size

    def owes(self) -> bool:
        return self.fast.size > 0

    def shed(self) -> None:
        self.loose.set(0)

    def reset(self) -> None:
        self.loose.set(0)
        self.fast.set(0)


def test_what_was_not_taken_on_is_given_up_before_what_was() -> None:
    async def play() -> None:
        account = Account(overload())
        budget = int(account.overload.budget)
        small = Hog(account, 0, budget // 10)
        taken = Hog(account, 0, budget // 2)
        loose = Hog(account, budget // 2, 0)
        await asyncio.sleep(0)
        assert (small.held(), taken.held(), loose.held()) == (budget // 10, budget // 2, 0)
        assert (account.shed, account.reset) == (1, 0)

    asyncio.run(play())


# Guards against answers that are reset though their servers give and their callers read.
def test_relief_never_ends_what_is_owed_but_where_the_system_gives_no_more_memory() -> None:
    async def play() -> None:
        account = Account(overload())
        budget = int(account.overload.budget)
        small = Hog(account, 0, budget // 10)
        owing = [Hog(account, 0, budget // 2) for _ in range(3)]
        loose = Hog(account, budget // 2, 0)
        await asyncio.sleep(2.5 * RELIEF_EVERY)
        assert small.held() and all(hog.held() for hog in owing) and not loose.held()
        assert (account.reset, account.reset_owed) == (0, 0) and account.overload.refusing
        account.allocation_failed()
        assert account.held <= account.overload.budget and small.held()
        assert sum(bool(hog.held()) for hog in owing) < 3
        assert account.reset == account.reset_owed > 0

    asyncio.run(play())


@given(st.lists(st.tuples(st.sampled_from(Purpose), st.integers(0, 1 << 20)), max_size=50))
def test_the_sum_is_that_of_the_holdings(changes: list[tuple[Purpose, int]]) -> None:
    account = Account()
    holdings = {purpose: account.holding(purpose) for purpose in Purpose}
    for purpose, size in changes:
        holdings[purpose].set(size)
    assert account.by_purpose == [holdings[purpose].size for purpose in Purpose]
    assert account.held == sum(account.by_purpose) - sum(holdings[Purpose(kept)].size for kept in KEPT)


def test_a_violation_is_counted_and_a_check_that_fails_is_one() -> None:
    found = Invariants(("guarded",))
    found.add({"sound": lambda: "", "broken": lambda: "so", "failing": lambda: str(1 / 0)})
    found.check()
    found.report("guarded", "there")
    assert found.violations == {"guarded": 1, "sound": 0, "broken": 1, "failing": 1}
    assert found.figures()[0] == "invariant.violations=3"


# ---- a proxy ---------------------------------------------------------------------------------------


def press(up: Running, part: float) -> None:
    """Have so large a part of the budget held by somebody."""
    account = up.proxy._account
    account.holding(Purpose.LISTS).set(int(part * account.overload.budget))


def test_a_request_beyond_the_limit_is_refused_with_a_word_and_counted() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)], memory=200 << 20) as up:
            assert status(await (await up.client()).ask(read())) == 200
            up.proxy.front.loaded.set()
            press(up, 0.8)
            answer = await (await up.client()).ask(read())
            assert status(answer) == 503 and answer.endswith(b"out of memory: try again later\n")
            probe = await (await up.client()).ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            assert status(probe) == 200 and up.proxy._account.refused == 1 and one.got.qsize() == 1

    asyncio.run(play())


def test_queued_requests_are_refused_in_order_and_the_one_taken_on_is_served() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)], memory=200 << 20) as up:
            client = await up.client()
            client.writer.write(read(1) + read(2) + read(3))
            await soon(one.got.get())
            [caller] = up.proxy.front.callers
            caller.shed()
            one.open[0].write(OK)
            assert [status(await client.answer()) for _ in range(3)] == [200, 503, 503]
            assert one.got.empty()

    asyncio.run(play())


def test_a_request_that_is_coming_in_is_refused() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)], memory=200 << 20) as up:
            client = await up.client()
            client.writer.write(book(1, body=b"x" * 100)[:-50])
            await until(lambda: any(caller.begun for caller in up.proxy.front.callers))
            [caller] = up.proxy.front.callers
            caller.shed()
            assert status(await client.answer()) == 503 and one.got.empty()

    asyncio.run(play())


def test_an_answer_that_is_given_up_is_tried_again() -> None:
    async def play() -> None:
        began = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
        async with backend(lambda _: began) as one, backend(lambda _: OK) as two:
            async with running([entry("a", one.address)], memory=200 << 20) as up:
                client = await up.client()
                client.writer.write(read())
                await soon(one.got.get())
                up.tell([entry("b", two.address)])
                holders = up.proxy._account.holders
                await until(lambda: any(isinstance(row, Connection) and row.held() for row in holders))
                for row in tuple(holders):
                    if isinstance(row, Connection):
                        row.shed()
                assert status(await client.answer()) == 200

    asyncio.run(play())


async def play_all_kinds(up: Running, client: Client) -> None:
    """Requests of all kinds: answered, failed, refused, cut, left, pipelined, with and without a body."""
    assert status(await client.ask(book(1, body=b"x" * 3000))) == 200
    assert status(await client.ask(book(2))) == 502
    assert status(await client.ask(read(3, X_Priority_Class="none"))) == 400
    client.writer.write(read(4) + read(5) + read(6))
    for _ in range(3):
        await client.answer()
    leaving = await up.client()
    leaving.writer.write(book(7, body=b"y" * 5000) + read(8))
    half = await up.client()
    half.writer.write(book(9, body=b"z" * 5000)[:-100])
    await until(lambda: len(up.proxy.front.callers) == 3)
    await asyncio.sleep(0.05)
    for gone in (leaving, half):
        gone.writer.transport.abort()
    malformed = await up.client()
    malformed.writer.write(b"GET / HTTP/1.1\r\nno header\r\n\r\n")
    await malformed.reader.read()
    malformed.writer.transport.abort()


def test_nothing_is_held_once_all_have_left() -> None:
    def script(request: bytes) -> bytes | None:
        if b"id2\r\n" in request:
            return b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
        if b"id5\r\n" in request:
            return CLOSE
        return None if b"id7\r\n" in request else OK

    async def play() -> None:
        async with backend(script) as one, running([entry("a", one.address)], conn_idle=1.0) as up:
            client = await up.client()
            await play_all_kinds(up, client)
            client.writer.transport.abort()
            account = up.proxy._account
            kept = [account.by_purpose[Purpose.NAMES], account.by_purpose[Purpose.IDS]]
            with suppress(TimeoutError):
                await until(lambda: not account.held)
            assert account.by_purpose == [0] * (len(Purpose) - 2) + kept, account.figures()
            assert not up.proxy._calls and not account.holders

    asyncio.run(play())


def test_requests_behind_unread_answers_wait() -> None:
    async def play() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000)
        async with backend(lambda _: large) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            asked = 0
            account = up.proxy._account
            for _ in range(400):
                client.writer.write(read(asked))
                asked += 1
                await asyncio.sleep(0.002)
            assert one.got.qsize() < asked
            assert account.by_purpose[Purpose.ANSWERS] < 4 * (64 << 10)
            assert account.by_purpose[Purpose.ANSWERS] > 0

    asyncio.run(play())


def test_a_caller_that_reads_no_answers_is_ended() -> None:
    async def play() -> list[int]:
        unsent, ended = [100, 50, 50, 50], list[int]()
        loop = asyncio.get_running_loop()

        class Stuck(asyncio.WriteTransport):
            def get_write_buffer_size(self) -> int:
                return unsent.pop(0) if unsent else 50

        watch = UnreadAnswers(Stuck(), lambda: ended.append(1), 2.0)
        loop.call_later = lambda delay, call, *args: loop.call_soon(call, *args)  # type: ignore
        watch.begin()
        for _ in range(20):
            await asyncio.sleep(0)
        assert watch.is_stuck()
        return ended

    assert asyncio.run(play()) == [1]


# ---- costly input ------------------------------------------------------------------------------------


class Paused(asyncio.ReadTransport):
    """A transport that notes whether it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


@pytest.mark.parametrize(("size", "parts", "costly"), [
    (6000, 1000, True),  # chunks of one byte
    (400, 15, False),  # a usual head
    (65536, 5, False),
    (60, 10, False),  # few of them: a stream that is slow by nature
])
def test_input_in_very_many_small_parts_is_read_slowly(
    size: int, parts: int, costly: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lugspur.costly_input.REST", 0.01)

    async def play() -> None:
        account, transport = Account(), Paused()
        found = CostlyInput(account)
        found.parts = parts
        found.read(size, transport)
        assert transport.reading is not costly
        assert found.rests() is costly
        assert len(found.buffer()) == (PIECE if costly else READ_MOST)
        await until(lambda: transport.reading)
        assert not found.rests()

    asyncio.run(play())


def test_a_closed_connection_leaves_no_cycle_to_collect() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(book(1, body=b"x" * 3000))) == 200
            [caller] = up.proxy.front.callers
            gone = weakref.ref(caller)
            del caller
            gc.collect()
            gc.disable()
            try:
                client.writer.transport.abort()
                await until(lambda: not up.proxy.front.callers)
                await until(lambda: gone() is None)
            finally:
                gc.enable()

    asyncio.run(play())
