"""Standard error that is full, broken, closed or blocked: the log loses lines, and nothing else waits."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from faults.calls import injected
from faults.plan import ALWAYS, Fault, Plan
from loopback import (
    HOST,
    OK,
    WIDE,
    backend,
    connect,
    entry,
    environment,
    free_port,
    read,
    soon,
    status,
    watches,
)
from test_ends import ROOT, answers

from lugspur.events import PIECE, AtOnceHandler, Log


@pytest.mark.parametrize("error", [errno.EPIPE, errno.ENOSPC, errno.EIO, errno.EAGAIN, errno.EBADF])
def test_a_line_that_cannot_be_written_is_counted_and_nothing_is_raised(error: int) -> None:
    log = Log()
    with injected(Plan([Fault("stderr", error, count=ALWAYS)])):
        try:
            raise ValueError("found by a test")
        except ValueError:
            log.error("module.fault", exc_info=True)
    assert log.lost == 1


def test_a_pipe_that_nobody_reads_holds_nobody_up(monkeypatch: pytest.MonkeyPatch) -> None:
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as full:
        monkeypatch.setattr(sys, "stderr", full)
        log, done, over = Log(), threading.Event(), threading.Event()

        def fill() -> None:
            for number in range(200):
                if over.is_set():
                    return
                log.info("event", error=f"{number}", text="x" * 3 * PIECE)
            done.set()

        threading.Thread(target=fill, daemon=True).start()
        ended = done.wait(WIDE)
        over.set()
        os.close(reading)
    assert ended and log.lost > 0


@pytest.mark.parametrize("kind", ["full", "unread", "broken", "closed"])
def test_a_process_without_a_log_learns_of_drains_serves_and_ends(kind: str, tmp_path: Path) -> None:
    """Its discovery sends what can't be read, which is logged each time."""
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two, watches() as registry:
            port, known = free_port(), [entry("a", one.address), entry("b", two.address)]
            env = environment(tmp_path / "c.json", f"{HOST}:{port}", f"{HOST}:{registry.port}", known)
            reading, writing = os.pipe()
            if kind == "broken":
                os.close(reading)
            with open("/dev/full", "wb") as disk:
                target = disk.fileno() if kind == "full" else writing
                command = [sys.executable, "-m", "lugspur"]
                if kind == "closed":
                    command = ["sh", "-c", 'exec "$@" 2>&-', "sh", *command]
                proxy = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=target)
            if kind == "unread":
                os.set_blocking(writing, False)
                try:
                    while True:
                        os.write(writing, b"x" * PIECE)
                except BlockingIOError:
                    os.set_blocking(writing, True)
            await answers(port, 200)
            for _ in range(2):
                await soon(registry.asked.get())
                assert registry.writer is not None
                registry.writer.write(b"7\r\n{\"a\":1\n\r\n6\r\nno}}}\n\r\n")
            await soon(registry.asked.get())
            registry.say(9, [entry("a", one.address, "terminating")])
            client = await connect(port)
            for number in range(3):
                assert status(await client.ask(read(number))) == 200
            while one.got.qsize():
                one.got.get_nowait()
            proxy.terminate()
            assert await soon(proxy.wait()) == 0
            os.close(writing)
            if kind != "broken":
                os.close(reading)

    asyncio.run(play())


def test_an_event_is_written_though_nothing_can_be_imported(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """With no descriptor left, say."""
    monkeypatch.setitem(sys.modules, "structlog", None)
    log = Log()
    try:
        raise ValueError("found by a test")
    except ValueError:
        log.error("module.fault", exc_info=True, member="n1", other=Path("/p"))
    written = capfd.readouterr().err
    assert written.count("\n") == 1 and "found by a test" in written and '"event":"module.fault"' in written


def test_standard_error_that_works_takes_long_lines_whole() -> None:
    program = ("from lugspur.events import log\nlog.info('event', text='x' * 20000)\n"
               "assert log.lost == 0")
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0 and len(done.stderr) > 20000 and done.stderr.count("\n") == 1


def test_records_of_other_loggers_wait_for_nobody_either(monkeypatch: pytest.MonkeyPatch) -> None:
    """asyncio's among them; a record that can't be formatted is dropped."""
    written: list[bytes] = []
    monkeypatch.setattr("lugspur.events.write_at_once", written.append)
    logger, handler = logging.getLogger("test of AtOnceHandler"), AtOnceHandler()
    logger.addHandler(handler)
    logger.propagate = False
    try:
        logger.error("a fault of %s", "ours")
        logger.error("%d", "no number")
    finally:
        logger.removeHandler(handler)
    assert written == [b"a fault of ours\n"]


def test_the_process_logs_through_it_alone() -> None:
    program = (
        "import logging, lugspur.process as m; m.main(); "
        "print([type(h).__name__ for h in logging.getLogger().handlers])"
    )
    env = {**os.environ, "RELAY_CONFIG": "/nonexistent"}
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, env=env, capture_output=True, text=True
    )
    assert done.stdout == "['AtOnceHandler']\n" and done.stderr.startswith("lugspur: ")
