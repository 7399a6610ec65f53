"""Real processes whose calls fail, by the start-up hook: SIGHUP, orders of two processes, a wrong clock."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
from pathlib import Path

import pytest
from faults.plan import ALWAYS, Fault, Plan
from faults.process import under_faults
from loopback import HOST, OK, backend, entry, environment, free_port, soon, status, until, watches
from test_admin import say
from test_ends import answers, process
from test_orders import disabled
from test_upgrade import process as upgraded
from test_upgrade import says


@pytest.mark.parametrize(("call", "error"), [
    ("open", errno.EMFILE), ("open", errno.ENFILE), ("open", errno.ENOMEM), ("read", errno.EIO),
])
def test_sighup_moves_the_watch_once_the_file_can_be_read(call: str, error: int, tmp_path: Path) -> None:
    """Its reading fails as the signal comes, and for a while after."""
    async def play() -> None:
        async with watches() as old, watches() as new, backend(lambda _: OK) as one:
            port, path = free_port(), tmp_path / "c.json"
            switch, journal = tmp_path / "on", tmp_path / "journal"
            known = [entry("a", one.address)]
            env = environment(path, f"{HOST}:{port}", f"{HOST}:{old.port}", known)
            fault = Fault(call, error, count=ALWAYS, path="c.json", while_path=str(switch))
            proxy = await process(under_faults(env, Plan([fault], journal=str(journal))))
            assert proxy.stderr is not None
            await soon(old.asked.get())
            old.say(9, known, snapshot=True)
            await answers(port, 200)
            environment(path, f"{HOST}:{port}", f"{HOST}:{new.port}", known)
            switch.touch()
            proxy.send_signal(signal.SIGHUP)
            await until(lambda: journal.read_text().count("\n") >= 2)
            assert new.asked.empty()
            switch.unlink()
            assert await soon(new.asked.get()) == "/v1/servers?follow=1&since=9"
            proxy.terminate()
            assert await soon(proxy.wait()) == 0

    asyncio.run(play())


@pytest.mark.parametrize(("call", "error"), [
    ("listdir", errno.EIO), ("open", errno.EMFILE), ("read", errno.EIO), ("flock", errno.ENOLCK),
])
def test_an_exclude_is_obeyed_by_a_process_whose_files_failed_for_a_while(
    call: str, error: int, tmp_path: Path
) -> None:
    async def play() -> None:
        switch, journal = tmp_path / "on", tmp_path / "journal"
        part = "" if call == "listdir" else "lugspur-n0"
        fault = Fault(call, error, count=ALWAYS, path=part, while_path=str(switch))
        plan = Plan([fault], journal=str(journal))
        known = [entry("a", f"{HOST}:9"), entry("b", f"{HOST}:9")]
        with socket.create_server((HOST, 0)) as sock:
            admins = (free_port(), free_port())
            env = environment(tmp_path / "c.json", f"{HOST}:{sock.getsockname()[1]}", f"{HOST}:9", known)
            env["TMPDIR"] = str(tmp_path)
            async with upgraded(env, sock.fileno(), admins[0]):
                await says(admins[0], 200)
                async with upgraded(under_faults(env, plan), sock.fileno(), admins[1]):
                    await says(admins[1], 200)
                    switch.touch()
                    assert status(await say(admins[0], "/api/exclude", b'{"id":"a"}')) == 200
                    await until(lambda: journal.read_text().count("\n") >= 2)
                    assert await disabled(admins[1]) == 0
                    assert status(await say(admins[1], "/api/exclude", b'{"id":"b"}')) == 503
                    switch.unlink()
                    while await disabled(admins[1]) != 1:
                        await asyncio.sleep(0.02)
                    assert await disabled(admins[0]) == 1, "a no had an effect"

    asyncio.run(play())


@pytest.mark.parametrize("clock", [-3600.0, 3600.0])
def test_an_exclude_outlives_a_restart_under_a_wrong_clock(clock: float, tmp_path: Path) -> None:
    async def play() -> None:
        known, admin = [entry("a", f"{HOST}:9"), entry("b", f"{HOST}:9")], free_port()
        with socket.create_server((HOST, 0)) as sock:
            env = environment(tmp_path / "c.json", f"{HOST}:{sock.getsockname()[1]}", f"{HOST}:9", known)
            env["RELAY_STATE_DIR"] = str(tmp_path / "state")
            async with upgraded(env, sock.fileno(), admin) as first:
                await says(admin, 200)
                assert status(await say(admin, "/api/exclude", b'{"id":"a"}')) == 200
                first.kill()
                await first.wait()
            async with upgraded(under_faults(env, Plan([]), clock), sock.fileno(), admin):
                await says(admin, 200)
                assert await disabled(admin) == 1
            text = b"".join(path.read_bytes() for path in (tmp_path / "state").rglob("*set-aside*"))
            assert text == b"" and os.listdir(tmp_path / "state") == ["n0"]

    asyncio.run(play())
