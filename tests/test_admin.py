"""The operators' address on loopback sockets."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    Client,
    Running,
    backend,
    book,
    connect,
    entry,
    environment,
    free_port,
    running,
    soon,
    status,
    until,
)

from lugspur import admin
from lugspur.config import ConfigError, load

ROOT = Path(__file__).parent.parent


@asynccontextmanager
async def operated(entries: list[dict[str, Any]], **changed: Any) -> AsyncIterator[tuple[Running, int]]:
    """A proxy that has loaded its list, and the port where operators call it."""
    async with running(entries, **changed) as up:
        sock = await up.proxy.admin.listen((HOST, 0))
        up.tell([])
        try:
            yield up, sock.getsockname()[1]
        finally:
            up.proxy.admin.close()


def call(path: str, body: bytes = b"", method: str = "POST", **headers: str) -> bytes:
    """A call as operators make it."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    lines += f"Content-Length: {len(body)}\r\n"
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\n{lines}\r\n".encode() + body


async def say(port: int, path: str, body: bytes = b"", method: str = "POST") -> bytes:
    """One call and its whole answer, after which the connection ends."""
    client = await connect(port)
    answer = await client.ask(call(path, body, method))
    assert await soon(client.reader.read()) == b"" and b"Connection: close\r\n" in answer
    client.writer.close()
    return answer


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (call("/api/ready", method="GET"), 200),
        (call("/api/ready?why=test", method="GET"), 200),
        (call("/api/ready"), 405),
        (call("/api/evacuate", method="GET"), 405),
        (call("/api"), 404),
        (call("/healthz", method="GET"), 404),
        (call("/api/ready" + "x" * admin.CALL_MOST, method="GET"), 400),
        (call("/api/evacuate", b"x" * (admin.CALL_MOST + 1)), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api/ready HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 200),
        (b"CONNECT h:1 HTTP/1.1\r\n\r\n", 404),
    ],
)
def test_each_call_gets_its_one_answer(sent: bytes, expected: int) -> None:
    async def play() -> None:
        async with operated([]) as (_, port):
            client = await connect(port)
            answer = await client.ask(sent)
            assert status(answer) == expected and b"Connection: close\r\n" in answer
            assert (b"Allow: " in answer) == (expected == 405)
            assert await soon(client.reader.read()) == b""

    asyncio.run(play())


def test_a_call_that_waits_to_send_its_body_is_told_to_go_on() -> None:
    async def play() -> None:
        async with operated([]) as (_, port):
            client = await connect(port)
            head, body = call("/api/evacuate", b"{}", Expect="100-continue")[:-2], b"{}"
            assert status(await client.ask(head)) == 100
            assert status(await client.ask(body)) == 200

    asyncio.run(play())


def test_a_fault_behind_a_call_is_answered_with_no(capfd: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with operated([]) as (up, port):
            def fault(now: float) -> tuple[int, int]:
                raise RuntimeError("found by a test")

            up.proxy._balancer.targets = fault  # type: ignore[method-assign]
            assert status(await say(port, "/api/telemetry", method="GET")) == 500

    asyncio.run(play())
    assert "found by a test" in capfd.readouterr().err


def test_silent_and_half_callers_neither_pile_up_nor_keep_a_call_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with operated([]) as (up, port):
            silent = [await connect(port) for _ in range(3 * admin.ADMIN_SOCKETS)]
            silent[-1].writer.write(call("/api/rejoin", b"{}")[:-1])
            assert status(await say(port, "/api/ready", method="GET")) == 200
            assert len(up.proxy.admin.calls) <= admin.ADMIN_SOCKETS
            monkeypatch.setattr(admin, "CALL_WITHIN", 0.0)
            late = await connect(port)
            assert status(await late.answer()) == 408 and await soon(late.reader.read()) == b""

    asyncio.run(play())


def test_ready_means_listening_with_the_list_loaded() -> None:
    async def play() -> None:
        async with running([entry("a", f"{HOST}:9")]) as up:
            port = (await up.proxy.admin.listen((HOST, 0))).getsockname()[1]
            assert status(await say(port, "/api/ready", method="GET")) == 503
            up.tell([])
            assert status(await say(port, "/api/ready", method="GET")) == 200
            up.proxy.admin.close()

    asyncio.run(play())


def test_the_address_is_read_like_the_others(tmp_path: Path) -> None:
    env = environment(tmp_path / "c.json", f"{HOST}:1", f"{HOST}:2", [], admin_addr=f"{HOST}:3")
    assert load(env).admin == (HOST, 3)
    assert load({**env, "RELAY_ADMIN_ADDR": f"{HOST}:4"}).admin == (HOST, 4)
    assert load(environment(tmp_path / "c.json", f"{HOST}:1", f"{HOST}:2", [])).admin is None
    for odd in ("nowhere", 5, f"{HOST}:http"):
        with pytest.raises(ConfigError):
            load(environment(tmp_path / "c.json", f"{HOST}:1", f"{HOST}:2", [], admin_addr=odd))


def test_an_address_that_is_taken_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def play() -> None:
        async with operated([]) as (_, taken):
            env = environment(tmp_path / "c.json", f"{HOST}:{free_port()}", f"{HOST}:9", [])
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lugspur", cwd=ROOT, stderr=subprocess.PIPE,
                env={**os.environ, **env, "RELAY_ADMIN_ADDR": f"{HOST}:{taken}"},
            )
            _, errors = await soon(process.communicate())
            assert process.returncode == 1
            assert errors.count(b"\n") == 1 and f"{HOST}:{taken}".encode() in errors

    asyncio.run(play())


HEALTHZ = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"


def test_a_drained_proxy_lets_callers_go_and_comes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each call is made twice: a repeat changes nothing."""
    async def play() -> None:
        async with backend(lambda request: None if b"id1" in request else OK) as one:
            async with operated([entry("a", one.address)]) as (up, port):
                idle, busy, half = [await up.client() for _ in range(3)]
                assert status(await idle.ask(HEALTHZ)) == 200
                busy.writer.write(book(1))
                await soon(one.got.get())
                half.writer.write(book(2)[:-1])
                await until(lambda: any(caller.begun for caller in up.proxy.front.callers))
                monkeypatch.setattr("lugspur.front.IDLE_AFTER_DRAIN", 0.0)
                for _ in range(2):
                    assert status(await say(port, "/api/evacuate")) == 200
                assert status(await (await up.client()).ask(HEALTHZ)) == 503
                assert status(await say(port, "/api/ready", method="GET")) == 200
                assert await soon(idle.reader.read()) == b"", "an idle caller is held"
                half.writer.write(book(2)[-1:])
                # On a connection of its own: on the other one it could be taken for a late second answer.
                await soon(one.got.get())
                one.open[0].write(OK)
                for client in (half, busy):
                    answer = await client.answer()
                    assert status(answer) == 200 and b"Connection: close\r\n" in answer
                    assert await soon(client.reader.read()) == b""
                for _ in range(2):
                    assert status(await say(port, "/api/rejoin")) == 200
                back: Client = await up.client()
                assert status(await back.ask(HEALTHZ)) == 200
                assert b"Connection: close" not in await back.ask(book(3))
                up.proxy.front.ending = True
                assert status(await say(port, "/api/rejoin")) == 409

    asyncio.run(play())


def test_coming_back_soon_keeps_the_callers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with operated([]) as (up, port):
            monkeypatch.setattr("lugspur.front.IDLE_AFTER_DRAIN", 0.05)
            idle = await up.client()
            assert status(await idle.ask(HEALTHZ)) == 200
            await say(port, "/api/evacuate")
            await say(port, "/api/rejoin")
            await asyncio.sleep(0.1)  # past the moment at which it would have been closed
            assert status(await idle.ask(HEALTHZ)) == 200

    asyncio.run(play())
