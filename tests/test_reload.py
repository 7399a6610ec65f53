"""A new configuration is owed until it has been read, whatever is in the way of it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, complaint, entry, environment, free_port, soon, watches
from test_ends import process

from lugspur.config import Address, ConfigError, load_discovery
from lugspur.reload import RETRY_FIRST, RETRY_MOST, Reloader


class Reload:
    """A reloader of a file, its waits driven by the test."""

    def __init__(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.moves: list[Address] = []
        self.reports: list[Exception] = []
        self.waits: list[float] = []
        self._due: Callable[[], object] | None = None
        monkeypatch.setattr(asyncio, "get_running_loop", lambda: self)
        env = {"RELAY_CONFIG": str(path)}
        self.reloader = Reloader(path, lambda: load_discovery(env), self.moves.append, self.reports.append)

    def call_later(self, seconds: float, then: Callable[[], object]) -> Any:
        """In place of the loop's."""
        self.waits.append(seconds)
        self._due = then
        return self

    def cancel(self) -> None:
        """In place of a timer's."""
        self._due = None

    def due(self) -> None:
        """The wait is over."""
        then, self._due = self._due, None
        assert then is not None
        then()


def write(path: Path, port: int) -> None:
    path.write_text(json.dumps({"discovery": f"{HOST}:{port}"}))


@pytest.mark.parametrize(
    "fault", ["missing", "empty", "half", "not an object", "no address", "EIO", "EMFILE"]
)
def test_a_file_that_cannot_be_read_is_read_until_it_can(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.json"
    write(path, 1)
    reload = Reload(path, monkeypatch)
    texts = {"empty": "", "half": '{"discovery": "127.0', "not an object": "[1]", "no address": "{}"}
    text = texts.get(fault)
    if text is not None:
        path.write_text(text)
    elif fault == "missing":
        path.unlink()
    else:
        read = load_discovery
        failing = iter([OSError(5 if fault == "EIO" else 24, fault)] * 3)

        def fail(env: Any) -> Address:
            for error in failing:
                raise ConfigError(f"c.json: {error}") from error
            return read(env)

        reload.reloader._read = lambda: fail({"RELAY_CONFIG": str(path)})
        write(path, 2)
    reload.reloader.request()
    for _ in range(2):
        reload.due()
    assert reload.moves == [] and len(reload.reports) == 1
    assert reload.waits == [RETRY_FIRST, 2 * RETRY_FIRST, 4 * RETRY_FIRST]
    write(path, 2)
    reload.due()
    assert reload.moves == [(HOST, 2)] and len(reload.reports) == 1 and reload._due is None


def test_the_waits_are_bounded_and_a_new_request_begins_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.json"
    reload = Reload(path, monkeypatch)
    reload.reloader.request()
    for _ in range(2_000):
        reload.due()
    assert max(reload.waits) == RETRY_MOST and len(reload.reports) == 1
    reload.reloader.request()
    assert reload.waits[-1] == RETRY_FIRST and len(reload.reports) == 2


def test_a_changed_file_is_read_without_a_signal_where_discovery_cannot_be_reached(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "c.json"
    write(path, 1)
    reload = Reload(path, monkeypatch)
    reload.reloader.check()
    assert reload.moves == []
    write(path, 22)
    reload.reloader.check()
    assert reload.moves == [(HOST, 22)]
    reload.reloader.check()
    assert reload.moves == [(HOST, 22)], "it is read once"
    path.write_text("{")
    reload.reloader.check()
    reload.reloader.check()
    assert reload.reports == [] and len(reload.waits) == 1, "one attempt at a time"
    write(path, 333)
    reload.due()
    assert reload.moves[-1] == (HOST, 333)
    os.unlink(path)
    reload.reloader.check()
    assert len(reload.moves) == 2


@pytest.mark.parametrize("way", ["half written at the signal", "no signal"])
def test_a_process_follows_discovery_to_its_new_address(way: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with watches() as old, watches() as new:
            path, port = tmp_path / "c.json", free_port()
            env = environment(path, f"{HOST}:{port}", f"{HOST}:{old.port}", [entry("a", f"{HOST}:1")])
            started = await process(env)
            await soon(old.asked.get())
            old.say(3, [], snapshot=False)
            replaced = path.read_text().replace(f"{HOST}:{old.port}", f"{HOST}:{new.port}")
            if way == "no signal":
                path.write_text(replaced)
                assert old.writer is not None
                old.writer.transport.abort()  # the old address ends what it has
            else:
                path.write_text(replaced[: len(replaced) // 2])
                started.send_signal(signal.SIGHUP)
                assert started.stderr is not None
                assert b"lugspur" in await complaint(started.stderr)
                path.write_text(replaced)
            assert "follow=1" in await soon(new.asked.get())
            started.send_signal(signal.SIGTERM)
            assert await soon(started.wait()) == 0

    asyncio.run(play())
