"""Accepting, and connections that the loop can't wait for: they go on as soon as the fault has passed."""

from __future__ import annotations

import asyncio
import errno
import selectors
import socket
import time

import pytest
from faults.calls import injected
from faults.plan import ALWAYS, Fault, Plan
from loopback import HOST, OK, backend, connect, entry, read, running, soon, status, until
from test_admin import operated, say

from lugspur.accept import PAUSE
from lugspur.event_loop import run
from lugspur.selector import LATE_LOOK, SteadySelector

RESOURCES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
NETWORK = [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EPERM]
SPAN = 0.5  # seconds of a fault


@pytest.mark.parametrize("error", [*RESOURCES, *NETWORK, errno.EIO])
def test_accepting_goes_on_soon_after_a_fault_without_a_busy_loop(
    error: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            up.tell([])
            plan.faults[:] = [Fault("accept", error, count=ALWAYS, local=up.port)]
            plan.active = True
            client = await connect(up.port)
            client.writer.write(read())
            begun = time.monotonic()
            await asyncio.sleep(SPAN)
            plan.active = False
            most = (time.monotonic() - begun) / PAUSE + 1
            assert 1 <= plan.hits[0] <= 8 * most
            assert status(await client.answer()) == 200
            written = capfd.readouterr().err
            assert written.count("accept.fault") == 1 and "loop.fault" not in written, written

    plan = Plan([Fault("accept")])
    plan.active = False
    with injected(plan):
        run(play())


def test_the_operators_address_accepts_again_too() -> None:
    async def play() -> None:
        async with operated([]) as (_, port):
            plan.faults[:] = [Fault("accept", errno.EMFILE, count=3, local=port)]
            assert status(await say(port, "/api/ready", method="GET")) == 200
            assert plan.hits == [3]

    plan = Plan([Fault("accept")])
    with injected(plan):
        run(play())


def test_a_listener_that_cannot_be_waited_for_again_is_taken_up_later() -> None:
    """Accepting pauses, and then the loop's own call fails."""
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            up.tell([])
            plan.faults[:] = [Fault("accept", errno.EMFILE, local=up.port),
                              Fault("epoll_register", errno.ENOMEM, local=up.port, count=3)]
            plan.reset(1)
            client = await connect(up.port)
            assert status(await client.ask(read())) == 200
            assert plan.hits == [1, 3]

    plan = Plan([Fault("accept")])
    with injected(plan):
        run(play())


def test_what_waits_behind_an_aborted_connection_is_taken_at_the_end() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            up.tell([])
            plan.faults[:] = [Fault("accept", error, local=up.port) for error in
                              (errno.ECONNABORTED, errno.EMFILE, errno.EPROTO)]
            plan.reset(1)
            with socket.create_connection((HOST, up.port)) as caller:  # the loop has not seen it
                caller.sendall(read())
                await up.proxy.front.stop_listening(up.sock)
                assert plan.hits == [1, 1, 1]
                caller.setblocking(False)
                answer = await soon(asyncio.get_running_loop().sock_recv(caller, 99))
                assert answer.startswith(b"HTTP/1.1 200")

    plan = Plan([Fault("accept")])
    with injected(plan):
        run(play())


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOSPC])
@pytest.mark.parametrize("place", ["caller", "server"])
@pytest.mark.parametrize("first", [1, 2])
def test_a_connection_that_cannot_be_waited_for_at_once_is_served_all_the_same(
    error: int, place: str, first: int
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            up.tell([])
            port = int(one.address.partition(":")[2])
            plan.faults[:] = [Fault("epoll_register", error, first=first, count=4,
                                    local=up.port if place == "caller" else 0,
                                    peer=port if place == "server" else 0)]
            plan.reset(1)
            for number in range(1, 4):
                client = await connect(up.port)
                assert status(await client.ask(read(number, Connection="close"))) == 200
            assert plan.hits[0] > 0 or place == "server"

    plan = Plan([Fault("accept")])
    with injected(plan):
        run(play())


def test_a_selector_keeps_what_epoll_refuses_for_a_while() -> None:
    one, two = socket.socketpair()
    with one, two, injected(Plan([Fault("epoll_register", errno.ENOSPC, count=2),
                                  Fault("epoll_modify", errno.ENOMEM, count=2)])) as plan:
        with SteadySelector() as selector:
            key = selector.register(one, selectors.EVENT_READ, "one")
            assert selector.get_key(one) == key
            two.send(b"x")
            assert selector.select(0) == []
            assert [found.data for found, _ in selector.select(2 * LATE_LOOK)] == ["one"]
            assert plan.hits == [2, 0]
            selector.modify(one, selectors.EVENT_READ | selectors.EVENT_WRITE, "both")
            assert selector.get_key(one).data == "both"
            found: list[tuple[object, int]] = []
            while not found or found[0][1] != selectors.EVENT_READ | selectors.EVENT_WRITE:
                found = [(key.data, events) for key, events in selector.select(LATE_LOOK)]
            assert found == [("both", 3)] and plan.hits[1] >= 1
            selector.unregister(one)
            with pytest.raises(KeyError):
                selector.get_key(one)


def test_what_is_late_can_be_changed_and_taken_out() -> None:
    one, two = socket.socketpair()
    with one, two, injected(Plan([Fault("epoll_register", errno.ENOSPC, count=ALWAYS)])) as plan:
        with SteadySelector() as selector:
            selector.register(one, selectors.EVENT_READ, "one")
            selector.modify(one, selectors.EVENT_WRITE, "two")
            assert selector.get_key(one.fileno()).data == "two"
            with pytest.raises(KeyError):
                selector.register(one, selectors.EVENT_READ)
            begun = time.monotonic()
            assert selector.select(None) == [] and time.monotonic() - begun >= LATE_LOOK / 2
            selector.unregister(one)
            with pytest.raises(KeyError):
                selector.unregister(one)
            plan.active = False
            selector.register(one, selectors.EVENT_WRITE, "three")
            assert [key.data for key, _ in selector.select(0)] == ["three"]


def test_a_fault_of_a_callback_is_one_bounded_line(capfd: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        def fail() -> None:
            raise OSError(errno.EIO, "found by a test")

        for _ in range(100):
            asyncio.get_running_loop().call_soon(fail)
        await asyncio.sleep(0)
        await until(lambda: True)

    run(play())
    assert 1 <= capfd.readouterr().err.count("\n") <= 20
