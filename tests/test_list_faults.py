"""Faults in the program while it applies a list or carries out actions: no drain is missed for them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Any

import pytest
from loopback import OK, Running, backend, book, entry, read, running, status

from jaspershelf.decide import Balancer
from jaspershelf.model import Action, Cancel, ListKind
from lugspur.backend_connection import Connection
from lugspur.discovery import Reader
from lugspur.exchange import Exchange

READER = Reader({"here": 0, "there": 1}, {"k": 0})


class Odd(Exception):
    """What is raised here."""


def raises(*_: object) -> Any:
    raise Odd


def tell(up: Running, kind: ListKind, entries: list[dict[str, Any]]) -> None:
    up.proxy._told(kind, READER.endpoints({"endpoints": entries}))


def half_way(monkeypatch: pytest.MonkeyPatch, up: Running) -> None:
    """The module fails after it has taken up some of a message's rows."""
    members = up.proxy._balancer.members

    def fails(now: float, kind: ListKind, rows: list[Any]) -> Any:
        members(now, ListKind.PATCH, rows[:1])
        raise Odd

    monkeypatch.setattr(up.proxy._balancer, "members", fails)


def at_once(monkeypatch: pytest.MonkeyPatch, up: Running) -> None:
    """The module fails before it has taken up anything."""
    monkeypatch.setattr(up.proxy._balancer, "members", raises)


def slices(monkeypatch: pytest.MonkeyPatch, up: Running) -> None:
    """The module has the rows, and can't choose its slices."""
    monkeypatch.setattr(Balancer, "_resize", raises)


def closing(monkeypatch: pytest.MonkeyPatch, up: Running) -> None:
    """A connection can't be closed."""
    monkeypatch.setattr(Connection, "abandon", raises)


FAULTS = [half_way, at_once, slices, closing]


@pytest.mark.parametrize("kind", [ListKind.PATCH, ListKind.WHOLE])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_message_takes_all_its_drains_out_of_service_whatever_fails(
    fault: Callable[[pytest.MonkeyPatch, Running], None], kind: ListKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of three servers with idle connections two drain, or are left out; the other one takes all requests."""
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two, backend(lambda _: OK) as three:
            stubs = {"a": one, "b": two, "c": three}
            entries = {name: entry(name, stub.address) for name, stub in stubs.items()}
            async with running(list(entries.values())) as up:
                client = await up.client()
                for number in range(40):
                    assert status(await client.ask(read(number))) == 200
                assert all(backend.idle for backend in up.proxy._backends.values())
                for stub in stubs.values():
                    stub.got = asyncio.Queue()
                with monkeypatch.context() as patch:
                    fault(patch, up)
                    drains = [entries[name] | {"status": "terminating"} for name in ("a", "b")]
                    if kind is ListKind.WHOLE:
                        drains = drains[:1]
                    tell(up, kind, [*drains, entries["c"]])
                for number in range(40):
                    await client.ask(read(100 + number))
                assert one.got.empty() and two.got.empty(), "a server that drains was sent a request"
                assert not three.got.empty()

    asyncio.run(play())


class Unpolled:
    """A socket's state that the system can't tell."""

    def poll(self, _: float) -> list[Any]:
        raise OSError(errno.ENOMEM, "no memory")


def test_a_connection_that_can_not_be_polled_is_not_used_again() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(read(1))) == 200
            [connection] = up.proxy._upstream._idle
            connection._poll = Unpolled()  # type: ignore[assignment]
            assert status(await client.ask(read(2))) == 200
            [fresh] = up.proxy._upstream._idle
            assert fresh is not connection

    asyncio.run(play())


@pytest.mark.parametrize("ask", [read, book])
def test_an_attempt_that_can_not_be_started_never_ran(
    ask: Callable[..., bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module is told so, and the request goes to the other server."""
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as other:
            async with running([entry("a", one.address), entry("b", other.address)]) as up:
                client = await up.client()
                start = up.proxy._upstream.start

                def fails_once(exchange: Exchange) -> None:
                    monkeypatch.setattr(up.proxy._upstream, "start", start)
                    raise Odd

                monkeypatch.setattr(up.proxy._upstream, "start", fails_once)
                assert status(await client.ask(ask(1))) == 200
                assert not up.proxy._calls and not up.proxy._balancer.requests

    asyncio.run(play())


def test_an_action_that_fails_does_not_drop_those_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            request = up.proxy._balancer.request

            def more(now: float, rid: str, *rest: Any) -> list[Action]:
                return [Cancel(rid, 7), *request(now, rid, *rest)]

            monkeypatch.setattr(up.proxy._balancer, "request", more)
            assert status(await client.ask(read(1))) == 200

    asyncio.run(play())
