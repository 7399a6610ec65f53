"""Operators' orders under failing files: a yes holds everywhere and after a restart, a no has no effect."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import socket
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from faults.calls import injected
from faults.plan import ALWAYS, Fault, Plan
from loopback import HOST, config, entry, status, until
from test_admin import operated, say

from lugspur.orders import OrderBook, Orders
from lugspur.proxy import Proxy
from lugspur.store import frames
from lugspur.store.bans import DurableOrders

NAMED = b'{"id":"a"}'
Make = Callable[[Path], OrderBook]


def exclude(*names: str) -> Callable[[Orders], Orders]:
    """An order that takes these out of use."""
    return lambda orders: replace(orders, excluded=orders.excluded | set(names))


def plain(folder: Path) -> OrderBook:
    """The orders of a proxy without a state directory."""
    return OrderBook(folder / "bans.orders")


def durable(folder: Path) -> OrderBook:
    """Those of one with it."""
    return DurableOrders(folder, "n0")


@pytest.mark.parametrize("make", [plain, durable])
@pytest.mark.parametrize(("call", "error"), [
    ("listdir", errno.EIO), ("listdir", errno.EMFILE), ("open", errno.EMFILE), ("open", errno.ENFILE),
    ("open", errno.EIO), ("read", errno.EIO),
])
def test_an_order_whose_reading_fails_is_read_again(
    make: Make, call: str, error: int, tmp_path: Path
) -> None:
    writer, reader = make(tmp_path), make(tmp_path)
    writer.change(exclude("a"))
    with injected(Plan([Fault(call, error, count=3, path=str(tmp_path))])) as plan:
        tries = 0
        while not reader.refresh():
            tries += 1
            assert tries < 10, "never read again"
    assert plan.hits[0] and reader.current.excluded == {"a"}


@pytest.mark.parametrize("make", [plain, durable])
@pytest.mark.parametrize("call", ["listdir", "open", "read"])
def test_a_change_upon_orders_that_cannot_be_read_is_no_and_loses_none(
    make: Make, call: str, tmp_path: Path
) -> None:
    one, two = make(tmp_path), make(tmp_path)
    one.change(exclude("a"))
    with injected(Plan([Fault(call, errno.EIO, count=ALWAYS, path="orders-" if call != "listdir" else "")])):
        with pytest.raises(OSError, match=r"."):
            two.change(exclude("b"))
    assert two.current == Orders() or two.current.excluded == {"a"}
    two.change(exclude("b"))
    assert one.refresh() and one.current.excluded == {"a", "b"}


WRITES = [("open", errno.ENOSPC, "orders-"), ("open", errno.EMFILE, ".new"), ("write", errno.ENOSPC, ""),
          ("write", errno.EIO, ""), ("rename", errno.EIO, ""), ("rename", errno.ENOSPC, ""),
          ("fsync", errno.EIO, ""), ("flock", errno.ENOLCK, ""), ("open", errno.EMFILE, ".lock"),
          ("listdir", errno.EIO, "")]


@pytest.mark.parametrize("make", [plain, durable])
@pytest.mark.parametrize(("call", "error", "part"), WRITES)
@pytest.mark.parametrize("first", [1, 2, 3])
@pytest.mark.parametrize("count", [1, ALWAYS])
def test_a_no_has_no_effect_and_a_yes_holds_everywhere(
    make: Make, call: str, error: int, part: str, first: int, count: int, tmp_path: Path
) -> None:
    here, second = make(tmp_path), make(tmp_path)
    here.change(exclude("old"))
    second.refresh()
    expected = {"old"}
    plan = Plan([Fault(call, error, path=part or str(tmp_path), first=first, count=count)])
    with injected(plan):
        try:
            here.change(exclude("new"))
            expected = {"old", "new"}
        except OSError:
            pass
        second.refresh()
        assert here.current.excluded == expected
        assert second.current.excluded <= expected
    here.refresh()
    second.refresh()
    restarted = make(tmp_path)
    restarted.refresh()
    for book in (here, second, restarted):
        assert book.current.excluded == expected
    here.change(exclude("last"))
    second.refresh()
    assert second.current.excluded == expected | {"last"}


def test_a_withdrawal_that_fails_too_is_made_good(tmp_path: Path) -> None:
    """The folder's sync fails after the rename, and so does the removal of what must not hold."""
    here, second = durable(tmp_path), durable(tmp_path)
    here.change(exclude("old"))
    second.refresh()
    faults = [Fault("fsync", errno.EIO, first=2, count=1), Fault("unlink", errno.EIO, count=3)]
    with injected(Plan(faults)) as plan:
        with pytest.raises(OSError, match="Input/output"):
            here.change(exclude("new"))
        assert plan.hits[0] == 1 and plan.hits[1] > 0
        second.refresh()
        assert here.current.excluded == {"old"} == second.current.excluded
        for _ in range(4):
            here.refresh()
    second.refresh()
    restarted = durable(tmp_path)
    restarted.refresh()
    assert here.current.excluded == second.current.excluded == restarted.current.excluded == {"old"}


def test_a_lock_that_is_never_let_go_is_a_no(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Who holds it may have been stopped."""
    monkeypatch.setattr("lugspur.orders.LOCK_WITHIN", 0.05)
    book = plain(tmp_path)
    book.change(exclude("old"))
    with open(tmp_path / "bans.lock", "wb") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        with pytest.raises(OSError, match="holds the lock"):
            book.change(exclude("a"))
    assert book.current.excluded == {"old"}


KINDS = ["empty", "torn", "later version", "of another proxy", "no text"]


@pytest.mark.parametrize("make", [plain, durable])
@pytest.mark.parametrize("kind", KINDS)
def test_a_file_that_does_not_check_is_set_aside_counted_and_logged_once(
    make: Make, kind: str, tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    if make is plain and kind in ("later version", "of another proxy"):
        return  # its files have neither
    first = make(tmp_path)
    first.change(exclude("a"))
    first.change(exclude("b"))
    newest = tmp_path / "bans.orders-2"
    text = newest.read_bytes()
    if kind == "of another proxy":
        other = DurableOrders(tmp_path / "other", "n1")
        other.change(exclude("x"))
        text = (tmp_path / "other" / "bans.orders-1").read_bytes()
    elif kind == "later version":
        text = frames.pack({"format": frames.FORMAT, "version": frames.VERSION + 1, "kind": "orders",
                            "name": "n0", "start": 0.0, "generation": 1})
    else:
        text = {"torn": text[:-3], "empty": b"", "no text": b"\xff" * 40}[kind]
    newest.write_bytes(text)
    book = make(tmp_path)
    held = {"a"} if make is durable else set()
    for _ in range(3):
        book.refresh()
    assert book.current.excluded == held
    assert book.set_aside == 1 and not newest.exists()
    assert any("set-aside" in name for name in os.listdir(tmp_path))
    assert capfd.readouterr().err.count("\n") == 1
    book.change(exclude("c"))
    assert make(tmp_path).refresh()


@pytest.mark.parametrize("faults", [
    [Fault("thread", count=2)], [Fault("listdir", errno.EIO, count=2)],
    [Fault("listdir", errno.EIO, count=2), Fault("stderr", errno.EPIPE, count=2)],
])
def test_the_second_process_s_orders_are_obeyed_after_a_fault(faults: list[Fault], tmp_path: Path) -> None:
    async def play() -> None:
        with socket.create_server((HOST, 0)) as sock:
            proxy = Proxy(config([entry("a", f"{HOST}:9")], listen_fd=sock.fileno()), plain(tmp_path))
            await until(lambda: plan.hits == [2] * len(faults))
            plain(tmp_path).change(exclude("a"))
            await until(lambda: bool(proxy._balancer.excluded))

    plan = Plan([replace(fault, path="" if fault.call in ("thread", "stderr") else str(tmp_path))
                 for fault in faults])
    with injected(plan):
        asyncio.run(play())


def test_orders_that_cannot_be_read_at_the_start_are_obeyed_as_soon_as_they_can(tmp_path: Path) -> None:
    """Also where there is no second process to look for."""
    plain(tmp_path).change(exclude("a"))

    async def play() -> None:
        with injected(Plan([Fault("open", errno.EIO, path="orders-", count=3)])):
            proxy = Proxy(config([entry("a", f"{HOST}:9")]), plain(tmp_path))
            assert not proxy._balancer.excluded
            await until(lambda: bool(proxy._balancer.excluded))

    asyncio.run(play())


def test_an_order_that_finds_no_thread_is_a_no_that_never_takes_effect(tmp_path: Path) -> None:
    async def play() -> None:
        async with operated([entry("a", f"{HOST}:9"), entry("b", f"{HOST}:9")]) as (up, port):
            up.proxy._orders = up.proxy._follower.book = plain(tmp_path)
            with injected(Plan([Fault("thread", count=1)])) as plan:
                assert status(await say(port, "/api/exclude", NAMED)) == 503
                assert plan.hits == [1]
                assert status(await say(port, "/api/exclude", b'{"id":"b"}')) == 200
            assert up.proxy._orders.current.excluded == {"b"}

    before = threading.active_count()
    asyncio.run(play())
    assert threading.active_count() <= before + 1
