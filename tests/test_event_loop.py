"""A process that was stopped, or held up, reads what has come before it acts on what was due meanwhile."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from collections.abc import Coroutine
from typing import Any

import pytest
from loopback import OK, backend, entry, read, running, status, until

from lugspur import event_loop as module
from lugspur.event_loop import EventLoop
from lugspur.selector import OVERSLEPT, Events, RereadingSelector


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(coroutine)


@pytest.mark.parametrize(("timeout", "took", "looks"), [
    (1.0, 1.0, [1.0]), (1.0, 4.0, [1.0, 0.0]), (0.0, 3.0, [0.0, 0.0]), (-1.0, 3.0, [-1.0, 0.0]),
    (None, 9.0, [None]), (1.0, 1.0 + OVERSLEPT, [1.0]),
])
def test_a_look_that_took_too_long_and_brought_nothing_is_made_again(
    timeout: float | None, took: float, looks: list[float | None], monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[float | None] = []
    now = 0.0
    key = selectors.SelectorKey(0, 0, 0, None)

    def select(self: selectors.EpollSelector, timeout: float | None = None) -> Events:
        nonlocal now
        now += took if not made else 0.0
        made.append(timeout)
        return [] if len(made) == 1 else [(key, selectors.EVENT_READ)]

    monkeypatch.setattr(selectors.EpollSelector, "select", select)
    monkeypatch.setattr(time, "monotonic", lambda: now)
    selector = RereadingSelector()
    events = selector.select(timeout)
    selector.close()
    assert made == looks and len(events) == len(looks) - 1


def test_what_has_come_is_read_before_a_timer_that_is_due(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system call is interrupted by the stop and brings nothing, as its time is over."""
    order: list[str] = []

    async def play() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()

        def ready() -> None:
            loop.remove_reader(ours)
            order.append("read")

        loop.add_reader(ours, ready)
        select = selectors.EpollSelector.select

        def stopped(self: selectors.EpollSelector, timeout: float | None = None) -> Events:
            monkeypatch.setattr(selectors.EpollSelector, "select", select)
            theirs.send(b"x")
            time.sleep((timeout or 0.0) + 2.0 * OVERSLEPT)
            return []

        loop.call_later(0.01, order.append, "timer")
        monkeypatch.setattr(selectors.EpollSelector, "select", stopped)
        await until(lambda: len(order) == 2)
        ours.close()
        theirs.close()

    run(play())
    assert order == ["read", "timer"]


def test_a_process_that_was_held_up_begins_no_attempt_for_a_client_that_left_meanwhile() -> None:
    """The first attempt fails, and the client leaves, while a callback holds up the loop."""
    answers: list[bytes | None] = [OK]

    async def play() -> None:
        async with backend(lambda _: answers[-1]) as one, backend(lambda _: answers[-1]) as other:
            async with running([entry("a", one.address), entry("b", other.address)]) as up:
                client = await up.client()
                while not all(known.idle for known in up.proxy._backends.values()):
                    assert status(await client.ask(read())) == 200
                answers.append(None)
                before = one.got.qsize() + other.got.qsize()
                client.writer.write(read(2))
                await until(lambda: one.got.qsize() + other.got.qsize() == before + 1)
                [call] = up.proxy._calls.values()

                def hold_up() -> None:
                    client.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
                    time.sleep(3.0 * module.LATE)
                    call.exchanges[0].broke()  # as the end of its connection does: another attempt is due

                asyncio.get_running_loop().call_soon(hold_up)
                await until(lambda: not up.proxy._calls)
                assert len(call.exchanges) == 2, "the module asked for another attempt"
                await until(lambda: not any(exchange.open for exchange in call.exchanges))
                assert up.proxy._upstream.dispatches == before + 1, "it was begun"

    run(play())
