"""The figures against what was sent over sockets."""

from __future__ import annotations

import asyncio

from loopback import (
    NEVER_RAN,
    OK,
    backend,
    book,
    entry,
    read,
    soon,
    status,
    until,
)
from test_admin import operated, say

from lugspur.memory import Purpose
from lugspur.proxy_checks import GUARDED

LIST_FIGURES = ("index", "age_ms", "failures", "unreadable", "names", "names_refused")
PROCESS_FIGURES = {
    *(f"memory.{purpose.name.lower()}" for purpose in Purpose),
    *(f"memory.{name}" for name in (
        "held", "held_most", "budget", "refusing", "refused", "shed", "reset", "reset_owed",
        "failed_allocations", "resident", "resident_most", "limit")),
    "loop.longest_turn_ms", "loop.faults",
    *(f"invariant.{name}" for name in (
        "violations", "memory_sum", "memory_bound", "memory_limit", "loop_turn", "request_overdue",
        "connections", "concurrent", *GUARDED)),
}
FAILED = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"


async def figures(port: int) -> dict[str, int]:
    """The figures of requests and servers by name; the values of the others have tests of their own."""
    answer = await say(port, "/api/telemetry", method="GET")
    assert status(answer) == 200
    lines = answer.partition(b"\r\n\r\n")[2].decode().splitlines()
    found = {name: int(value) for name, _, value in (line.partition("=") for line in lines)}
    assert len(found) == len(lines), "a name comes twice"
    of_the_list = {name for name in found if name.startswith("discovery.")}
    assert of_the_list == {f"discovery.{name}" for name in LIST_FIGURES}
    of_the_process = {name for name in found if name.startswith(("memory.", "loop.", "invariant."))}
    assert of_the_process == PROCESS_FIGURES
    assert found["invariant.violations"] == 0
    return {name: value for name, value in found.items() if name not in of_the_list | of_the_process}


def expected(**changed: int) -> dict[str, int]:
    """The figures of a proxy with one backend, but for these (`_` for a dot in the names)."""
    kinds = "read", "book", "once"
    ends = {f"{end}_{kind}": 0 for end in ("success", "overload", "error") for kind in kinds}
    values = ends | {"dispatches": 0, "concurrent": 0, "targets": 1, "targets-disabled": 0} | changed
    return {f"proxy.{name.replace('_', '.').replace('-', '_')}": value for name, value in values.items()}


def test_every_class_is_there_from_the_start() -> None:
    async def play() -> None:
        async with operated([entry("a", "127.0.0.1:9")]) as (_, port):
            assert await figures(port) == expected()

    asyncio.run(play())


def test_each_request_is_counted_once_under_its_true_end() -> None:
    def script(request: bytes) -> bytes | None:
        if b"id2\r\n" in request:
            return FAILED
        if b"id3\r\n" in request:
            return NEVER_RAN
        return None if b"id4\r\n" in request or b"id14\r\n" in request else OK

    async def play() -> None:
        async with backend(script) as one, operated([entry("a", one.address)]) as (up, port):
            client = await up.client()
            assert status(await client.ask(book(1))) == 200
            assert status(await client.ask(read(11))) == 200
            assert status(await client.ask(book(2))) == 502
            assert status(await client.ask(book(3))) == 503  # turned away unseen, and nobody else is there
            assert status(await client.ask(book(timeout="0.000"))) == 503  # never sent on
            assert status(await client.ask(book(X_Priority_Class="odd"))) == 400  # of no class
            hanging = await up.client()
            hanging.writer.write(book(4))
            await until(lambda: one.got.qsize() == 5)
            assert (await figures(port))["proxy.concurrent"] == 1
            [call] = up.proxy._calls.values()
            up.proxy._overdue(call)  # its deadline
            assert status(await hanging.answer()) == 504
            leaving = await up.client()
            leaving.writer.write(book(14))
            await until(lambda: one.got.qsize() == 6)
            leaving.writer.close()
            await until(lambda: up.proxy.front.telemetry.concurrent == 0)
            assert await figures(port) == expected(
                success_book=1, success_read=1, error_book=2, overload_book=2, dispatches=6
            )

    asyncio.run(play())


def test_a_request_with_no_room_for_its_connection_is_refused_and_counted() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            servers = [entry("a", one.address), entry("b", one.address)]  # three requests each from the start
            async with operated(servers, sockets=48 + 8) as (up, port):  # 4 callers
                busy = [await up.client() for _ in range(4)]
                for number, client in enumerate(busy, 1):
                    client.writer.write(book(number))
                    await soon(one.got.get())
                assert status(await (await up.client()).ask(book(9))) == 503
                assert await figures(port) == expected(overload_book=1, concurrent=4, dispatches=4, targets=2)

    asyncio.run(play())


def test_the_list_and_what_is_avoided_are_the_module_s_own() -> None:
    async def play() -> None:
        async with operated([entry("a", "127.0.0.1:9"), entry("b", "127.0.0.1:9")]) as (up, port):
            up.tell([entry("c", "127.0.0.1:9", "terminating"), entry("b", "127.0.0.1:9", "terminated")])
            assert await figures(port) == expected(targets=2)

    asyncio.run(play())
