"""Backends taken out of use and put back: the module, the file of orders, and the calls on sockets."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import signal
import socket
import threading
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    WIDE,
    backend,
    config,
    connect,
    entry,
    environment,
    free_port,
    read,
    soon,
    status,
    until,
)
from test_admin import call, operated, say
from test_upgrade import process, says

from jaspershelf.decide import Balancer
from jaspershelf.model import (
    Limits,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestClass,
    Rules,
    Send,
    ServerRow,
    Settings,
    State,
)
from lugspur.discovery import server_id
from lugspur.orders import OrderBook, Orders, path_for
from lugspur.proxy import Proxy

COLD = Rules(cold_from=0.2, cold_for=20.0, fall_multiple=4.0, fall_after=1.5)


def balancer(servers: int, **changed: object) -> Balancer:
    """One that has sent each of its servers some requests."""
    settings = Settings(
        classes=(RequestClass(aim=1.0, deadline=2.0, repeat=Repeat.SAFE),), rules=COLD,
        limits=Limits(retry_after=True, max_retry_after=1.5), **changed,  # type: ignore[arg-type]
    )
    made = Balancer(settings, 3)
    made.members(100.0, ListKind.WHOLE, [ServerRow(number) for number in range(1, servers + 1)])
    made.start(100.0)
    return made


def play(made: Balancer, start: float, seconds: float, pace: float = 50.0) -> list[tuple[float, int]]:
    """Requests at a steady pace, each served at once: when and where each was sent."""
    sent = []
    for step in range(int(seconds * pace)):
        now = start + step / pace
        for action in made.request(now, f"{now}"):
            if isinstance(action, Send):
                sent.append((now, action.server))
                made.outcome(now + 0.01, f"{now}", 0, Outcome.OK, 0.01, last=True)
    return sent


def test_an_excluded_server_gets_nothing_whatever_the_list_says() -> None:
    made = balancer(3)
    assert {server for _, server in play(made, 100.0, 5.0)} == {1, 2, 3}
    made.exclude(105.0, 2)
    rows = [ServerRow(number) for number in (1, 2, 3)]
    for kind, told in (
        (ListKind.PATCH, rows[1:2]), (ListKind.WHOLE, rows), (ListKind.WHOLE, rows[:1]),
        (ListKind.WHOLE, rows), (ListKind.PATCH, [replace(rows[1], state=State.GONE)]),
        (ListKind.PATCH, [ServerRow(2, started=106.0)]),
    ):
        made.members(106.0, kind, told)
        assert 2 not in {server for _, server in play(made, 106.0, 1.0)}
        assert not made.takes(2)
    assert made.targets(107.0) == (3, 1)


def test_a_server_put_back_is_used_soon_but_not_flooded() -> None:
    made = balancer(4)
    play(made, 100.0, 5.0)
    made.exclude(105.0, 2)
    made.exclude(105.0, 2)  # a repeat changes nothing
    play(made, 105.0, 5.0)
    made.include(110.0, 2)
    assert made.targets(110.0) == (4, 0)
    times = [now for now, server in play(made, 110.0, 5.0) if server == 2]
    warm = 50.0 / 4
    assert times and times[0] < 115.0
    worst = max(sum(begin <= now < begin + COLD.fall_after for now in times) for begin in times)
    assert worst <= COLD.fall_multiple * (COLD.cold_from + 0.2) * warm * COLD.fall_after
    made.include(115.0, 2)  # a repeat changes nothing: it is no new start
    assert made.servers[2].started == 110.0


@pytest.mark.parametrize("me", range(5))
def test_each_instance_uses_a_server_again_that_it_used_before(me: int) -> None:
    """Its stretch of the ring is shorter, and all others lie elsewhere: it may be in no slice of before."""
    for out in range(1, 14):
        made = balancer(13, balancers=5, me=me)
        if out not in {server for _, server in play(made, 100.0, 10.0, pace=8.0)}:
            continue
        made.exclude(110.0, out)
        play(made, 110.0, 5.0, pace=8.0)
        made.include(115.0, out)
        assert out in {server for _, server in play(made, 115.0, 5.0, pace=8.0)}, out


def test_a_start_that_the_list_told_meanwhile_is_the_true_one() -> None:
    made = balancer(2)
    made.exclude(105.0, 2)
    made.members(107.0, ListKind.PATCH, [ServerRow(2, started=106.5)])
    made.include(110.0, 2)
    assert made.servers[2].started == 106.5


def test_with_all_servers_excluded_requests_are_refused_at_once() -> None:
    made = balancer(2)
    for server in (1, 2):
        made.exclude(100.0, server)
    assert made.request(101.0, "r") == [Refuse("r", 1.5)]


def change(path: Path, name: str, times: int) -> None:
    """What each of two processes does: add names, one at a time."""
    book = OrderBook(path)
    for added in (frozenset({f"{name}{number}"}) for number in range(times)):
        book.change(partial(_add, added))


def _add(added: frozenset[str], orders: Orders) -> Orders:
    return replace(orders, excluded=orders.excluded | added)


def test_two_processes_lose_none_of_each_other_s_orders(tmp_path: Path) -> None:
    path = tmp_path / "n0.orders"
    context = multiprocessing.get_context("spawn")
    workers = [context.Process(target=change, args=(path, name, 100)) for name in "ab"]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
        assert worker.exitcode == 0
    book = OrderBook(path)
    assert book.refresh() and len(book.current.excluded) == 200
    assert not book.refresh(), "read again though nothing changed"


def test_the_file_is_the_proxy_s_own() -> None:
    assert path_for({}, "n0") is None
    assert path_for({"TMPDIR": "/t"}, "a/b") != path_for({"TMPDIR": "/t"}, "a")
    assert path_for({"TMPDIR": "/t"}, "a/b") == Path("/t/lugspur-a%2Fb.orders")


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"excluded":"a","drained":false}',
                                  b'{"excluded":[1],"drained":false}', b'{"excluded":[],"drained":0}'])
def test_a_file_that_makes_no_sense_is_reported_once(
    text: bytes, tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n0.orders"
    (tmp_path / "n0.orders-4").write_bytes(text)
    book = OrderBook(path)
    assert not book.refresh() and not book.refresh()
    assert book.current == Orders()
    assert capfd.readouterr().err.count("\n") == 1
    book.change(lambda orders: replace(orders, drained=True))
    other = OrderBook(path)
    assert other.refresh() and other.current == Orders(drained=True)
    assert sorted(os.listdir(tmp_path)) == ["n0.lock", "n0.orders-5", "n0.set-aside"]
    assert (tmp_path / "n0.set-aside").read_bytes() == text


@pytest.mark.parametrize(
    ("body", "expected"),
    [(b"", 400), (b"{", 400), (b"[]", 400), (b'"a"', 400), (b"{}", 400), (b'{"id":7}', 400),
     (b'{"id":null}', 400), (b'{"id":"never"}', 404), (b'{"id":"a"}', 200)],
)
def test_what_a_call_names_has_to_be_listed(body: bytes, expected: int) -> None:
    async def play() -> None:
        async with operated([entry("a", f"{HOST}:9")]) as (_, port):
            assert status(await say(port, "/api/exclude", body)) == expected
            assert status(await say(port, "/api/include", body)) == expected

    asyncio.run(play())


def test_a_backend_is_out_from_the_yes_until_one_call_back() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            both = [entry("a", one.address), entry("b", two.address)]
            async with operated(both) as (up, port):
                client = await up.client()
                while not two.got.qsize():
                    assert status(await client.ask(read())) == 200
                for _ in range(2):
                    assert status(await say(port, "/api/exclude", b'{"id":"b"}')) == 200
                await soon(two.ended.get())  # its idle connections are closed
                before = two.got.qsize()
                up.tell([entry("b", two.address, "terminated")])
                up.tell(both)
                for _ in range(50):
                    assert status(await client.ask(read())) == 200
                assert two.got.qsize() == before
                assert status(await say(port, "/api/include", b'{"id":"b"}')) == 200
                while two.got.qsize() == before:
                    assert status(await client.ask(read())) == 200

    asyncio.run(play())


def test_an_order_that_cannot_be_kept_is_answered_with_no(tmp_path: Path) -> None:
    async def play() -> None:
        async with operated([entry("a", f"{HOST}:9")]) as (up, port):
            up.proxy._orders = up.proxy._follower.book = OrderBook(tmp_path / "missing" / "n0.orders")
            assert status(await say(port, "/api/exclude", b'{"id":"a"}')) == 503
            assert up.proxy._balancer.takes(server_id("a"))

    asyncio.run(play())


def test_a_file_left_from_before_holds_from_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        book = OrderBook(tmp_path / "n0.orders")
        book.change(lambda _: Orders(frozenset({"a", "unlisted"}), True))
        proxy = Proxy(config([entry("a", f"{HOST}:9")]), OrderBook(tmp_path / "n0.orders"))
        assert not proxy._balancer.takes(server_id("a")) and proxy.front.drained

    asyncio.run(play())


def test_orders_hold_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            known = [entry("a", one.address), entry("b", two.address), entry("c", f"{HOST}:9")]
            with socket.create_server((HOST, 0)) as sock:
                port, fd, admins = sock.getsockname()[1], sock.fileno(), (free_port(), free_port())
                env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:9", known)
                env["TMPDIR"] = str(tmp_path)
                async with process(env, fd, admins[0]) as old:
                    await says(admins[0], 200)
                    assert status(await say(admins[0], "/api/exclude", b'{"id":"c"}')) == 200
                    async with process(env, fd, admins[1]):
                        await says(admins[1], 200)
                        assert await disabled(admins[1]) == 1
                        assert status(await say(admins[1], "/api/exclude", b'{"id":"b"}')) == 200
                        while await disabled(admins[0]) != 2:
                            await asyncio.sleep(0.02)
                        assert status(await say(admins[0], "/api/include", b'{"id":"c"}')) == 200
                        while await disabled(admins[1]) != 1:
                            await asyncio.sleep(0.02)
                        old.send_signal(signal.SIGTERM)
                        assert await soon(old.wait()) == 0
                        client = await connect(port)
                        for _ in range(30):
                            assert status(await client.ask(read())) == 200
                        assert two.got.qsize() == 0

    asyncio.run(play())


async def disabled(admin: int) -> int:
    """How many backends this process avoids."""
    answer = (await say(admin, "/api/telemetry", method="GET")).decode()
    return int(answer.partition("proxy.targets_disabled=")[2].partition("\n")[0])


def test_a_disk_that_stands_still_does_not_stop_the_proxy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    going_on = threading.Event()
    rename = os.rename

    def slow(*args: str) -> None:
        assert going_on.wait(WIDE), "the proxy served nobody meanwhile"
        rename(*args)

    async def play() -> None:
        monkeypatch.setattr("os.rename", slow)
        async with backend(lambda _: OK) as one, operated([entry("a", one.address)]) as (up, port):
            up.proxy._orders = up.proxy._follower.book = OrderBook(tmp_path / "n0.orders")
            told = await connect(port)
            told.writer.write(call("/api/evacuate"))
            await until(lambda: bool(up.proxy.admin.calls))
            assert status(await (await up.client()).ask(read())) == 200
            assert status(await say(port, "/api/ready", method="GET")) == 200
            going_on.set()
            assert status(await told.answer()) == 200 and up.proxy.front.drained

    asyncio.run(play())
