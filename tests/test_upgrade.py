"""Replacing the process: a listening socket that the platform holds, and two processes on it."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    WIDE,
    backend,
    book,
    complaint,
    connect,
    entry,
    environment,
    free_port,
    read,
    running,
    soon,
    status,
    untraced,
    watches,
)

from lugspur.backend_connection import Backend, Connection
from lugspur.upstream import Upstream

ROOT = Path(__file__).parent.parent


@contextmanager
def held() -> Iterator[socket.socket]:
    """The clients' listening socket, as the platform holds it."""
    with socket.create_server((HOST, 0)) as sock:
        yield sock


@asynccontextmanager
async def process(
    env: dict[str, str], fd: int, admin: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A proxy that inherits this descriptor; it does not outlive the test."""
    env = {**env, "RELAY_LISTEN_FD": str(fd), "RELAY_ADMIN_ADDR": f"{HOST}:{admin}"}
    proxy = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lugspur", cwd=ROOT, env=env, pass_fds=[fd], stderr=subprocess.PIPE
    )
    try:
        yield proxy
    finally:
        if proxy.returncode is None:
            proxy.kill()
        await proxy.wait()


async def ask_ready(admin: int) -> int:
    """What `/api/ready` says; 0 where nobody answers."""
    try:
        client = await connect(admin)
    except OSError:
        return 0
    answer = status(await client.ask(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
    client.writer.close()
    return answer


async def says(admin: int, expected: int) -> None:
    """Wait until `/api/ready` says this."""
    async with asyncio.timeout(WIDE):
        while await ask_ready(admin) != expected:
            await asyncio.sleep(0.01)


def test_the_second_process_takes_over_and_nothing_is_lost(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda request: None if b"id1\r\n" in request else OK) as one:
            with held() as sock:
                port, fd, admins = sock.getsockname()[1], sock.fileno(), (free_port(), free_port())
                known = [entry("a", one.address)]
                env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:9", known)
                async with process(env, fd, admins[0]) as old:
                    await says(admins[0], 200)
                    idle, busy = await connect(port), await connect(port)
                    assert status(await idle.ask(book(2))) == 200
                    busy.writer.write(book(1))
                    await soon(one.got.get())
                    await soon(one.got.get())
                    async with process(env, fd, admins[1]) as new:
                        await says(admins[1], 200)
                        old.send_signal(signal.SIGTERM)
                        await says(admins[0], 503)
                        # Whoever is still connected is served, and leaves by that answer.
                        last = await idle.ask(read(3))
                        assert status(last) == 200 and b"Connection: close\r\n" in last
                        fresh = await connect(port)
                        kept = await fresh.ask(read(4))
                        assert status(kept) == 200 and b"Connection: close" not in kept
                        one.open[-1].write(OK)
                        for writer in one.open:
                            writer.write(OK)
                        assert status(await busy.answer()) == 200
                        assert await soon(old.wait()) == 0
                        assert status(await fresh.ask(read(5))) == 200 and new.returncode is None

    asyncio.run(play())


def test_signals_that_come_again_during_a_hand_over_lose_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one:
            with held() as sock:
                port, fd, admin = sock.getsockname()[1], sock.fileno(), free_port()
                path = tmp_path / "c.json"
                env = environment(path, f"{HOST}:{port}", f"{HOST}:9", [entry("a", one.address)])
                async with process(env, fd, admin) as old:
                    await says(admin, 200)
                    assert old.stderr is not None
                    busy = await connect(port)
                    busy.writer.write(book(1))
                    await soon(one.got.get())
                    old.send_signal(signal.SIGTERM)
                    await says(admin, 503)
                    path.write_text("{")
                    old.send_signal(signal.SIGHUP)
                    assert (await complaint(old.stderr)).startswith(b"lugspur: ")
                    old.send_signal(signal.SIGTERM)
                    one.open[0].write(OK)
                    assert status(await busy.answer()) == 200
                    assert await soon(old.wait()) == 0

    asyncio.run(play())


def test_a_process_takes_callers_only_with_its_list_loaded(tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as registry, backend(lambda _: OK) as one:
            with held() as sock:
                port, fd, admin = sock.getsockname()[1], sock.fileno(), free_port()
                env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{registry.port}", [])
                async with process(env, fd, admin) as proxy:
                    await says(admin, 503)
                    await soon(registry.asked.get())
                    early = await connect(port)
                    early.writer.write(read(1))
                    registry.say(8, [entry("a", one.address)], snapshot=True)
                    assert status(await early.answer()) == 200, "served before its list told it where"
                    await says(admin, 200)
                    assert proxy.returncode is None

    asyncio.run(play())


@pytest.mark.parametrize(
    ("given", "code"), [("three", 2), ("-1", 2), ("closed", 1), ("pipe", 1), ("deaf", 1)]
)
def test_a_descriptor_that_does_not_listen_ends_the_start(given: str, code: int, tmp_path: Path) -> None:
    pipe = os.pipe()
    with socket.socket() as deaf:
        value = {"closed": str(pipe[1]), "pipe": str(pipe[0]), "deaf": str(deaf.fileno())}.get(given, given)
        env = environment(tmp_path / "c.json", f"{HOST}:1", f"{HOST}:9", [entry("a", f"{HOST}:9")])
        done = subprocess.run(
            [sys.executable, "-m", "lugspur"], cwd=ROOT, env={**env, "RELAY_LISTEN_FD": value},
            pass_fds=[pipe[0], deaf.fileno()], capture_output=True, timeout=WIDE, check=False,
        )
    for end in pipe:
        os.close(end)
    assert done.returncode == code
    complaints = untraced(done.stderr)
    assert complaints.count(b"\n") == 1 and b"RELAY_LISTEN_FD" in complaints


def test_what_still_comes_is_answered_before_the_process_is_killed() -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            up.proxy.front.until = asyncio.get_running_loop().time() + 0.1  # as after SIGTERM
            assert status(await client.ask(book(1, timeout="30"))) in (503, 504)

    asyncio.run(play())


def test_two_processes_share_the_limit_on_connections() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            host, _, port = one.address.rpartition(":")
            upstream = Upstream(8, 60.0, WIDE)
            known = Backend((host, int(port)))
            known.in_service = True
            for _ in range(8):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(upstream, known), HOST, int(port)
                )
                upstream.release(connection)
            upstream.halve()
            assert len(known.idle) == 4

    asyncio.run(play())
