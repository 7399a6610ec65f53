"""Signals, operators' calls and timers that cross as a proxy starts, drains, comes back and ends."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    WIDE,
    backend,
    book,
    complaint,
    config,
    connect,
    entry,
    environment,
    free_port,
    running,
    soon,
    status,
    until,
    untraced,
    watches,
)

from jaspershelf.model import Discovery as Mode
from lugspur.discovery import CALL_MOST
from lugspur.front import Front
from lugspur.orders import OrderBook, Orders
from lugspur.process import end
from lugspur.proxy import KNOWN_MORE, KNOWN_MOST, Proxy

ROOT = Path(__file__).parent.parent
EVACUATE = b"POST /api/evacuate HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
PROBE = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"


async def process(env: dict[str, str]) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lugspur", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
    )


async def answers(port: int, expected: int) -> None:
    """Wait until the process answers a probe like this."""
    got = 0
    async with asyncio.timeout(WIDE):
        while got != expected:
            try:
                got = status(await (await connect(port)).ask(PROBE))
            except OSError:
                await asyncio.sleep(0.01)


READY_WITHIN = 6.0  # seconds that a restarted process may take to get ready, as the operators count
READY_IN_LONG_DAYS = 9.0  # seconds: nine in ten within 10 s where the day is longer


def test_the_list_of_the_start_serves_long_before_a_process_has_to_be_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whatever discovery does: a whole call, and a share of a core for the start itself, still fit."""
    async def play() -> None:
        loop, waits = asyncio.get_running_loop(), dict[str, float]()
        later = loop.call_later

        def noted(delay: float, callback: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
            waits[getattr(callback, "__name__", "")] = delay
            return later(delay, callback, *args)

        monkeypatch.setattr(loop, "call_later", noted)
        front = Proxy(config([entry("a", f"{HOST}:1")])).front
        assert max(waits["_serve_by_known"] + CALL_MOST, KNOWN_MOST) < READY_WITHIN
        assert KNOWN_MOST + KNOWN_MORE < READY_IN_LONG_DAYS
        assert not front.loaded.is_set()

    asyncio.run(play())


@pytest.mark.parametrize(("accepts", "stalls"), [(True, False), (True, True), (False, False)])
def test_the_list_of_the_start_serves_at_once_only_where_discovery_is_down(
    accepts: bool, stalls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call that discovery has accepted is waited for: it may withdraw servers of the known list."""
    async def play() -> None:
        monkeypatch.setattr("lugspur.proxy.KNOWN_LOOK_EVERY", 0.001)
        async with watches() as stub:
            settings = dataclasses.replace(config([]).settings, discovery=Mode.PUSHED)
            port = stub.port if accepts else free_port()
            async with running([entry("a", f"{HOST}:1")], discovery=port, settings=settings) as up:
                proxy, loaded, now = up.proxy, up.proxy.front.loaded, asyncio.get_running_loop().time()
                if accepts:
                    await soon(stub.asked.get())
                    await until(proxy._discovery.may_answer)
                else:
                    await until(lambda: proxy._discovery.failures > 0)
                    assert not proxy._discovery.may_answer()
                proxy._serve_by_known(now + 1000.0)
                assert loaded.is_set() == (not accepts)
                if accepts:
                    assert proxy._discovery.is_answering()
                    proxy._serve_by_known(now)
                    assert not loaded.is_set(), "an answer that goes on coming is waited for"
                    if stalls:
                        monkeypatch.setattr("lugspur.discovery.STALLED_AFTER", 0.0)
                    proxy._serve_by_known(now if stalls else now - KNOWN_MORE)
                    assert loaded.is_set(), "it never serves"

    asyncio.run(play())


@pytest.mark.parametrize("says", [b"", b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"])
def test_a_restarted_process_is_ready_while_discovery_answers_nobody(says: bytes, tmp_path: Path) -> None:
    """It serves by the list that it was started with."""
    async def play() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(says)

        registry = await asyncio.start_server(serve, HOST, 0)
        async with backend(lambda _: OK) as one:
            port, address = free_port(), f"{HOST}:{registry.sockets[0].getsockname()[1]}"
            env = environment(tmp_path / "c.json", f"{HOST}:{port}", address, [entry("a", one.address)])
            proxy = await process(env)
            await answers(port, 200)
            assert status(await (await connect(port)).ask(book(1))) == 200
            proxy.send_signal(signal.SIGTERM)
            assert await soon(proxy.wait()) == 0
        registry.close()

    asyncio.run(play())


def test_the_end_comes_before_the_list(tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as registry:
            port = free_port()
            env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{registry.port}", [])
            proxy = await process(env)
            await answers(port, 503)
            proxy.send_signal(signal.SIGTERM)
            assert await soon(proxy.wait()) == 0

    asyncio.run(play())


@pytest.mark.parametrize("text", [None, "", '{"discovery": "127.0.0', '{"discovery": 5}', "[]"])
def test_a_reload_that_fails_while_the_process_ends_twice_loses_nothing(
    text: str | None, tmp_path: Path
) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            port, path = free_port(), tmp_path / "c.json"
            env = environment(path, f"{HOST}:{port}", f"{HOST}:9", [entry("a", one.address)])
            proxy = await process(env)
            assert proxy.stderr is not None
            await answers(port, 200)
            client = await connect(port)
            client.writer.write(book(1, timeout="15"))
            await soon(one.got.get())
            proxy.send_signal(signal.SIGTERM)
            if text is None:
                path.unlink()
            else:
                path.write_text(text)
            proxy.send_signal(signal.SIGHUP)
            assert (await complaint(proxy.stderr)).startswith(b"lugspur: ")
            proxy.send_signal(signal.SIGTERM)
            one.open[0].write(OK)
            assert status(await client.answer()) == 200
            assert await soon(proxy.wait()) == 0
            assert untraced(await soon(proxy.stderr.read())) == b"", "more than one line"

    asyncio.run(play())


def test_an_operators_call_that_waits_for_its_file_is_answered_as_the_process_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    let = threading.Event()
    change = OrderBook.change

    def slow(self: OrderBook, *args: object) -> Orders:
        let.wait()
        return change(self, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(OrderBook, "change", slow)
    monkeypatch.setattr("lugspur.admin.FINISH", 1000.0)

    async def play() -> None:
        async with running([]) as up:
            sock = await up.proxy.admin.listen((HOST, 0))
            operator = await connect(sock.getsockname()[1])
            silent = await connect(sock.getsockname()[1])
            operator.writer.write(EVACUATE)
            await until(lambda: any(call.task is not None for call in up.proxy.admin.calls))
            ending = asyncio.create_task(up.proxy.admin.finish())
            await asyncio.sleep(0)
            assert not ending.done()
            let.set()
            await soon(ending)  # the silent one is not waited for
            assert status(await operator.answer()) == 200
            silent.writer.close()

    asyncio.run(play())


STEPS = ("evacuate", "rejoin", "timer", "end")


def step(front: Front, what: str) -> None:
    if what == "evacuate":
        front.evacuate()
    elif what == "rejoin":
        front.rejoin()
    elif what == "end":
        end(front)
        front.close()
    elif front._letting_go is not None and not front._letting_go.cancelled():
        front._letting_go._run()


@pytest.mark.parametrize("order", [order for n in range(1, 5) for order in itertools.permutations(STEPS, n)])
def test_drain_return_timer_and_end_in_any_order(order: tuple[str, ...]) -> None:
    async def play() -> None:
        front = Proxy(config([])).front
        front.loaded.set()
        front.serving = True
        drained = False
        for what in order:
            step(front, what)
            drained = what == "evacuate" or (drained and what != "rejoin")
            ended = front.ending
            assert front.drained is drained
            assert front.closing is (drained or ended), "answers keep their connections, or do not"
            assert front.healthy() is not (drained or ended)
            timer = front._letting_go
            assert drained or timer is None or timer.cancelled() or ended or "timer" in order
        assert front.taking() is ("end" not in order)

    asyncio.run(play())


def test_a_drain_that_was_taken_back_lets_nobody_go_later() -> None:
    async def play() -> None:
        front = Proxy(config([])).front
        front.evacuate()
        first = front._letting_go
        front.rejoin()
        front.evacuate()
        assert first is not None and first.cancelled() and front._letting_go is not first
        front.rejoin()
        assert front._letting_go is not None and front._letting_go.cancelled() and not front.closing

    asyncio.run(play())


SIGNALS_AFTER_THE_LOOP = """
import os, signal, sys
import lugspur.process as program
run = program.run
def run_and_signal(main):
    run(main)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)
program.run = run_and_signal
sys.exit(program.main())
"""


def test_signals_after_the_loop_has_closed_do_not_kill_a_process_that_ends(tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as registry:
            port = free_port()
            env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{registry.port}", [])
            proxy = await asyncio.create_subprocess_exec(
                sys.executable, "-c", SIGNALS_AFTER_THE_LOOP, cwd=ROOT, env=env
            )
            await answers(port, 503)
            proxy.send_signal(signal.SIGTERM)
            assert await soon(proxy.wait()) == 0

    asyncio.run(play())
