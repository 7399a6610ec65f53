"""The periodic look at a process: what a failed allocation undid is made good, violations are counted."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from loopback import OK, backend, config, entry, read, running, soon, status, until

from lugspur import monitor
from lugspur.config import Config
from lugspur.invariants import Invariants
from lugspur.memory import Account, Purpose
from lugspur.orders import TEXT_MOST, OrderBook
from lugspur.proxy import Proxy
from lugspur.reload import Reloader
from lugspur.upstream import Upstream


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Looks every 20 ms."""
    monkeypatch.setattr(monitor, "LOOK_EVERY", 0.02)


def lose(timer: asyncio.TimerHandle | None) -> None:
    """As where the loop's heap could not grow: the handle is there, and never runs."""
    assert timer is not None
    timer.cancel()
    timer._when = 0.0  # type: ignore[attr-defined]


@pytest.mark.usefixtures("quick")
def test_lost_timers_of_the_watch_and_the_pool_are_made_good() -> None:
    async def play() -> None:
        async with running([entry("a", "127.0.0.1:9")]) as up:
            watch, pool = up.proxy._discovery, up.proxy._upstream
            lose(watch._due)
            lose(pool._sweeper)
            await until(lambda: watch._due is not None and not watch._due.cancelled())
            await until(lambda: not pool._sweeper.cancelled())

    asyncio.run(play())


@pytest.mark.usefixtures("quick")
def test_a_request_whose_timer_was_lost_is_answered_and_counted() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(read(timeout="0.2"))
            await soon(one.got.get())
            [call] = up.proxy._calls.values()
            lose(call.timer)
            for exchange in call.exchanges:
                exchange._unlimit()
            assert status(await client.answer()) in (503, 504)
            assert up.proxy._invariants.violations["request_overdue"] >= 1

    asyncio.run(play())


@pytest.mark.usefixtures("quick")
def test_a_proxy_at_work_violates_nothing() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)], memory=1 << 34) as up:
            client = await up.client()
            for number in range(50):
                assert status(await client.ask(read(number))) == 200
            await asyncio.sleep(0.1)
            assert not any(up.proxy._invariants.violations.values()), up.proxy._invariants.violations

    asyncio.run(play())


@pytest.mark.usefixtures("quick")
def test_what_can_not_be_is_counted() -> None:
    async def play() -> None:
        invariants = Invariants()
        account = Account(violated=invariants.report)
        watched = monitor.Monitor(account, invariants, 1, lambda: None)
        account.holding(Purpose.HEADS).set(-1)
        await until(lambda: invariants.violations["memory_sum"] > 0)
        assert invariants.violations["memory_limit"] > 0  # one byte is not enough
        account.violated("send_withdrawn", "there")
        assert "invariant.send_withdrawn=1" in watched.figures()
        watched.close()

    asyncio.run(play())


def test_counts_of_connections_that_can_not_be_are_a_fault() -> None:
    async def play() -> None:
        pool = Upstream(8, 60.0, 1.0)
        assert pool.fault() == ""
        pool._connected = -1
        assert "connected" in pool.fault()

    asyncio.run(play())


def test_a_look_that_comes_late_judges_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        invariants = Invariants()
        invariants.add({"always": lambda: "wrong"})
        watched = monitor.Monitor(Account(), invariants, None, lambda: None)
        assert watched._timer is not None
        monkeypatch.setattr(watched._timer, "_when", 0.0)
        watched._look()
        assert invariants.violations["always"] == 0
        watched._look()
        assert invariants.violations["always"] == 1
        watched.close()

    asyncio.run(play())


def test_a_configuration_for_which_there_was_no_memory_is_read_again(tmp_path: Path) -> None:
    async def play() -> None:
        addresses: list[tuple[str, int]] = []
        results: list[Exception | None] = [MemoryError(), None]

        def load() -> tuple[str, int]:
            fault = results.pop(0)
            if fault is not None:
                raise fault
            return "127.0.0.1", 9

        Reloader(tmp_path / "config.json", load, addresses.append, lambda fault: None).request()
        await until(lambda: addresses == [("127.0.0.1", 9)])

    asyncio.run(play())


def test_orders_of_any_size_are_not_read_whole(tmp_path: Path) -> None:
    (tmp_path / "n0.orders-1").write_bytes(b"[" * (TEXT_MOST + 1))
    book = OrderBook(tmp_path / "n0.orders")
    assert not book.refresh() and book.set_aside == 1


def test_without_a_stated_limit_nothing_is_refused() -> None:
    async def play() -> None:
        made: Config = config([])
        proxy = Proxy(made)
        assert made.memory is None and proxy._overload.budget == float("inf")
        proxy.close()

    asyncio.run(play())
