"""The watch on discovery through all that may go wrong: what it waits for, and that its list comes."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
import json
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
from loopback import HOST, WIDE, config, entry, held_dials, running, soon, until, watches

from jaspershelf.model import Discovery as Mode
from jaspershelf.model import ListKind
from lugspur import message_framing
from lugspur.discovery import (
    BACKOFF_FIRST,
    BACKOFF_MOST,
    CALL_MOST,
    DIAL_MOST,
    SILENT,
    Discovery,
    Endpoint,
    Reader,
    _Watch,
    worst_waits,
)
from lugspur.unread import READS_MOST

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TOLD_AFTER, TOLD_AFTER_MOVE = 6.0, 4.0  # seconds, as the operators count
EMPTY_EVERY = 2.0  # seconds between the empty lines of a watch


def message(index: int, **layout: Any) -> bytes:
    entries = [entry("a{[\\\"}", f"{HOST}:1"), entry("b", f"{HOST}:2")]
    return json.dumps({"index": index, "snapshot": True, "endpoints": entries}, **layout).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Registry:
    """A discovery of which each call is served by the next script; the last one serves all further ones."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.asked: asyncio.Queue[str] = asyncio.Queue()
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        await script(reader, writer)
        self.asked.put_nowait(request.split()[1].decode())


@asynccontextmanager
async def registry(*scripts: Script) -> AsyncIterator[Registry]:
    stub = Registry(*scripts)
    server = await asyncio.start_server(stub.serve, HOST, 0)
    stub.port = server.sockets[0].getsockname()[1]
    try:
        yield stub
    finally:
        server.close()


def says(*parts: bytes, end: str = "") -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"".join(parts))
        if end == "reset":
            writer.transport.abort()
        elif end == "close":
            writer.close()
    return script


GOOD = says(HEAD, chunk(message(9)))


def fire(watch: Discovery) -> None:
    """The timer of its state falls due now."""
    handle = watch._due
    assert handle is not None
    callback, args = handle._callback, handle._args  # type: ignore[attr-defined]
    handle.cancel()
    callback(*args)


class Followed:
    """A watch, the waits that it began and what it told."""

    def __init__(self, port: int) -> None:
        self.waits: list[float] = []
        self.told: asyncio.Queue[int] = asyncio.Queue()
        self.watch = Discovery((HOST, port), Reader({"here": 0}, {"k": 0}), 7, self._tell)
        self.watch.inbox.unread = lambda: False  # type: ignore[method-assign]  # what is due is over at once
        wait = self.watch._wait

        def noted(seconds: float, then: Callable[..., None], *args: object) -> None:
            self.waits.append(seconds)
            wait(100.0 * WIDE, then, *args)  # over only where a test says so

        self.watch._wait = noted  # type: ignore[method-assign]

    def _tell(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        self.told.put_nowait(len(endpoints))

    def due(self) -> None:
        """What the watch waits for now takes too long, or a back-off is over."""
        fire(self.watch)

    def close(self) -> None:
        if self.watch._due is not None:
            self.watch._due.cancel()
        self.watch._drop()


@asynccontextmanager
async def following(port: int) -> AsyncIterator[Followed]:
    made = Followed(port)
    made.watch.open()
    try:
        yield made
    finally:
        made.close()


def test_the_waits_add_up_to_less_than_what_counts_as_told() -> None:
    sums = worst_waits()
    assert max(sums.values()) < TOLD_AFTER
    assert sums["another address"] + BACKOFF_FIRST < TOLD_AFTER_MOVE
    assert SILENT > EMPTY_EVERY and DIAL_MOST < CALL_MOST


@pytest.mark.parametrize("name", [
    "refused", "503", "503 without a body", "503 that stays open", "reset", "reset after the headers",
    "cut in a line", "closed", "malformed", "an endless line",
])
def test_after_a_call_that_fails_the_next_one_comes_in_time(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(message_framing, "MESSAGE_MOST", 5000)
    bad = {
        "503": says(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"),
        "503 without a body": says(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        "503 that stays open": says(HEAD.replace(b"200 OK", b"503 Busy"), chunk(b"\n")),
        "reset": says(end="reset"),
        "reset after the headers": says(HEAD, chunk(b"{"), end="reset"),
        "cut in a line": says(HEAD, chunk(message(9)[:-20]), end="close"),
        "closed": says(end="close"),
        "malformed": says(HEAD, chunk(b'{"index": 9}\n')),
        "an endless line": says(HEAD, chunk(b'{"index": [' + b"1," * 2000), chunk(b"2," * 2000)),
    }

    async def play() -> None:
        async with registry(*([bad[name]] * 5 if name in bad else []), GOOD) as stub:
            async with following(1 if name == "refused" else stub.port) as up:
                for n in range(5):
                    await until(lambda n=n: up.watch.failures == n + 1)  # type: ignore[misc]
                    most = min(BACKOFF_MOST, BACKOFF_FIRST * 2.0 ** n)
                    assert up.watch._watch is None and 0.5 * most <= up.waits[-1] <= most
                    assert up.told.empty() and up.watch.index == 7
                    if n == 4:
                        up.watch._address = HOST, stub.port
                    up.due()
                assert await soon(up.told.get()) == 2
                assert (up.watch.failures, up.watch.index, up.waits[-1]) == (0, 9, SILENT)

    asyncio.run(play())


@pytest.mark.parametrize("name", ["the first byte", "the headers", "half a line", "an empty line"])
def test_a_watch_that_falls_silent_is_opened_anew(name: str) -> None:
    parts = {"the first byte": [], "the headers": [HEAD], "half a line": [HEAD, chunk(message(8)[:30])],
             "an empty line": [HEAD, chunk(b"\n")]}[name]

    async def play() -> None:
        async with registry(says(*parts), GOOD) as stub, following(stub.port) as up:
            await soon(stub.asked.get())
            if name == "an empty line":
                await soon(up.told.get())
            assert up.waits[0] == DIAL_MOST and up.waits[1] == CALL_MOST - DIAL_MOST
            assert up.waits[2:] == ([SILENT] if name == "an empty line" else [])
            up.due()
            assert up.watch._watch is None and up.waits[-1] <= BACKOFF_FIRST
            up.due()
            assert await soon(up.told.get()) == 2

    asyncio.run(play())


def test_bytes_that_drip_are_no_sign_of_life() -> None:
    async def play() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            writers.append(writer)

        async with registry(drips, GOOD) as stub, following(stub.port) as up:
            await soon(up.told.get())
            before, line = len(up.waits), message(8)
            for at in range(len(line) - 1):
                writers[0].write(chunk(line[at:at + 1]))
            await until(lambda: up.watch._watch is not None and up.watch._watch._framer.pending == line[:-1])
            assert len(up.waits) == before, "the wait for a whole message began again"
            writers[0].write(chunk(line[-1:]))
            assert await soon(up.told.get()) == 2 and up.waits[before:] == [SILENT]

    asyncio.run(play())


def test_a_dial_that_never_comes_up_is_given_up() -> None:
    async def play() -> None:
        async with registry(GOOD) as stub:
            up = Followed(stub.port)
            with held_dials() as (asked, _):
                up.watch.open()
                assert up.waits == [DIAL_MOST]
                await soon(asked.wait())
                assert up.watch._watch is not None
                dial = up.watch._watch._dial
                assert dial is not None
                up.due()
                await until(dial.cancelled)
            up.due()
            assert await soon(up.told.get()) == 2
            up.close()

    asyncio.run(play())


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("whole", [False, True])
def test_a_list_may_be_indented_and_be_an_answer_of_its_own(indent: int | str | None, whole: bool) -> None:
    text = message(9, indent=indent)

    async def play() -> None:
        if whole:
            text_ = text.rstrip(b"\n")
            script = says(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text_), text_)
        else:
            script = says(HEAD, chunk(b"\n"), chunk(text[:40]), chunk(text[40:] + b"\r\n"))
        async with registry(script) as stub, following(stub.port) as up:
            while await soon(up.told.get()) != 2:
                pass
            assert up.watch.index == 9

    asyncio.run(play())


def test_another_address_is_asked_while_a_call_is_out_and_the_old_answer_is_no_news() -> None:
    async def play() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def holds(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)

        async with registry(holds) as old, registry(says(HEAD, chunk(b"\n")), GOOD) as new:
            async with following(old.port) as up:
                await soon(old.asked.get())
                up.watch.failures = 6  # the old one has long been out of order
                stale = up.watch._watch
                up.watch.move((HOST, new.port))
                writers[0].write(HEAD + chunk(message(50)))
                assert await soon(new.asked.get()) == "/v1/servers?follow=1&since=7"
                assert await soon(up.told.get()) == 0
                assert stale is not None
                stale.data_received(HEAD + chunk(message(50)))
                stale.connection_lost(None)
                assert up.told.empty() and up.watch.index == 7 and up.watch._watch is not stale
                assert up.watch.failures == 0
                up.due()
                assert up.waits[-1] <= BACKOFF_FIRST
                up.due()
                assert await soon(up.told.get()) == 2

    asyncio.run(play())


@pytest.mark.parametrize("mode", [Mode.PUSHED, Mode.ON_REQUEST])
def test_the_list_comes_back_after_an_outage_whether_pushed_or_asked_for(mode: Mode) -> None:
    async def play() -> None:
        rules = dataclasses.replace(config([]).settings.rules, ask_within=0.01)
        settings = dataclasses.replace(config([]).settings, discovery=mode, rules=rules)
        async with watches() as stub, running([], discovery=stub.port, settings=settings) as up:
            watch = up.proxy._discovery
            await soon(stub.asked.get())
            stub.say(8, [entry("a", f"{HOST}:1")], snapshot=True)
            await until(lambda: watch.index == 8)
            assert stub.writer is not None
            stub.writer.transport.abort()  # it goes down, and stays down for many calls
            address = watch._address
            watch._address = HOST, 1
            for n in range(8):
                await until(lambda n=n: watch._watch is None and watch.failures > n)  # type: ignore[misc]
                assert watch._due is not None
                left = watch._due.when() - asyncio.get_running_loop().time()
                assert left <= BACKOFF_MOST
                if n == 7:
                    watch._address = address
                fire(watch)
            assert await soon(stub.asked.get()) == "/v1/servers?follow=1&since=8"
            stub.say(9, [entry("b", f"{HOST}:2")])
            await until(lambda: watch.index == 9)

    asyncio.run(play())


# ---- any calls that fail, one after another, on a clock of the test's own ------------------------

BIT = 0.001  # seconds: just before a wait is over, or just after something has happened
SAYS_503 = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
UP_AT_ONCE, UP_LATE = 0.0, DIAL_MOST - BIT
# How a call may go: when its connection comes up (None: it is refused), when the answer comes after that,
# what that is, and whether the connection then ends.
Way = tuple[float | None, float, bytes, bool]
NEVER = 1000.0
EMPTY, NEWS = HEAD + chunk(b"\n"), HEAD + chunk(message(9))
LATE = CALL_MOST - DIAL_MOST - BIT
WAYS: dict[str, Way] = {
    "refused": (None, 0.0, b"", False),
    "never up": (NEVER, 0.0, b"", False),
    "silent": (UP_AT_ONCE, NEVER, b"", False),
    "silent, up late": (UP_LATE, NEVER, b"", False),
    "503": (UP_AT_ONCE, 0.0, SAYS_503, False),
    "503 after its time in the queue": (UP_LATE, LATE, SAYS_503, False),
    "reset": (UP_AT_ONCE, 0.0, b"", True),
    "reset late": (UP_LATE, LATE, b"", True),
    "a watch that falls silent": (UP_AT_ONCE, 0.0, EMPTY, False),
    "a late watch that falls silent": (UP_LATE, LATE, EMPTY, False),
    "a watch that ends": (UP_AT_ONCE, 0.0, EMPTY, True),
    "a late watch that ends": (UP_LATE, LATE, EMPTY, True),
}


class FakeTransport(asyncio.Transport):
    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass


class Timeline:
    """Plays a watch whose calls go these ways, in order, and a good one after them; tells what it took.

    The changes are there, and discovery can be reached, from just after the last way's last event on: the
    call that is out then still goes its way, and all later ones bring the list as late as a call may.
    """

    def __init__(self, ways: list[Way], failures: int, good: Way, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ways, self.good = ways, good
        self.now, self.count = 0.0, itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.reached = self.told = -1.0
        self.wait: list[bool] = []  # whether the wait that was begun last still holds, if one was
        monkeypatch.setattr(random, "random", lambda: 1.0)
        monkeypatch.setattr(_Watch, "dial", lambda watch, _: self._dialled(watch))
        self.watch = Discovery((HOST, 1), Reader({"here": 0}, {"k": 0}), 7, self._tell)
        self.watch.failures = failures
        monkeypatch.setattr(self.watch, "_wait", self._wait)

    def play(self, move: bool = False) -> float:
        """Seconds from when discovery had the changes and could be reached until they were told."""
        self.watch.open()
        while self.told < 0.0:
            if move and 0.0 <= self.reached < self.due[0][0]:
                move, self.now = False, self.reached
                self.watch.move((HOST, 2))
            self.now, _, then = heapq.heappop(self.due)
            then()
        return self.told - self.reached

    def _at(self, seconds: float, then: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + seconds, next(self.count), then))

    def _tell(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        if endpoints and self.told < 0.0:
            self.told = self.now

    def _wait(self, seconds: float, then: Callable[..., None], *args: object) -> None:
        if self.wait:
            self.wait[0] = False
        self.wait = held = [True]
        self.watch._due = cast(asyncio.TimerHandle, held)
        self._at(seconds, lambda: then(*args) if held[0] else None)

    def _dialled(self, watch: _Watch) -> None:
        up, after, data, ends = way = self.ways.pop(0) if self.ways else self.good
        if not self.ways and way is not self.good and self.reached < 0.0:
            # Its last event: the message of a watch, else the dial itself, after which it only fails.
            self.reached = self.now + (up + after if data.startswith(HEAD) and up is not None else 0.0) + BIT

        def answer() -> None:
            if data:
                watch.data_received(data)
            if ends:
                watch.connection_lost(None)

        def connect() -> None:
            watch.connection_made(FakeTransport())
            self._at(after, answer)

        if up is None:
            self._at(0.0, lambda: self.watch._over(watch))
        else:
            self._at(up, connect)


GOOD_LATE: Way = (UP_LATE, LATE, NEWS, False)
GOOD_QUEUED: Way = (UP_AT_ONCE, LATE, NEWS, False)
FAILED = (0, 1, 9)  # calls that had failed before: no back-off, the second, and the longest


def waited(ways: list[Way], good: Way, failures: int = 0, move: bool = False) -> float:
    with pytest.MonkeyPatch.context() as patch:
        return Timeline([*ways], failures, good, patch).play(move)


def test_whatever_failed_before_what_could_be_reached_is_told_in_time() -> None:
    """Up to three calls of any kind, and the one that is out as discovery can be reached again."""
    took = {
        (names, failures): waited([WAYS[name] for name in names], GOOD_LATE, failures)
        for n in (1, 2, 3) for names in itertools.product(WAYS, repeat=n) for failures in FAILED
    }
    assert max(took.values()) < TOLD_AFTER
    assert max(took.values()) == pytest.approx(max(worst_waits().values()), abs=10 * BIT), "not the true sum"


@pytest.mark.parametrize("first", WAYS)
@pytest.mark.parametrize("more", ["refused", "503", "reset", "a watch that ends"])
def test_one_more_call_that_fails_at_once_leaves_time_for_the_next(first: str, more: str) -> None:
    """Where connections come up at once: the further call is begun when discovery can be reached already."""
    def prompt(way: Way) -> Way:
        up, *rest = way
        return (UP_AT_ONCE if up == UP_LATE else up, *rest)  # type: ignore[return-value]

    for failures in FAILED:
        took = waited([prompt(WAYS[first])], GOOD_QUEUED, failures)
        with pytest.MonkeyPatch.context() as patch:
            line = Timeline([prompt(WAYS[first])], failures, GOOD_QUEUED, patch)
            play, failed = line._dialled, [WAYS[more]]

            def dialled(watch: _Watch, line: Timeline = line, play: Any = play, failed: Any = failed) -> None:
                if line.reached >= 0.0 and failed:
                    line.ways.append(failed.pop())
                play(watch)

            patch.setattr(_Watch, "dial", lambda watch, _, dialled=dialled: dialled(watch))
            again = line.play()
        assert took <= again < TOLD_AFTER


@pytest.mark.parametrize("failures", FAILED)
@pytest.mark.parametrize("name", WAYS)
def test_another_address_is_followed_in_time_whatever_the_old_one_does(name: str, failures: int) -> None:
    assert waited([WAYS[name]], GOOD_LATE, failures, move=True) < TOLD_AFTER_MOVE


def test_a_watch_goes_on_after_any_number_of_calls_that_failed() -> None:
    """Discovery away for ten minutes, at a call every half a second or so: over a thousand in a row."""

    async def case() -> None:
        async with registry(says(HEAD, chunk(message(9)))) as stub:
            followed = Followed(stub.port)
            followed.watch.failures = 5_000
            followed.watch.open()
            assert followed.watch._watch is not None
            followed.watch._over(followed.watch._watch)
            assert followed.watch.failures == 5_001
            assert 0.5 * BACKOFF_MOST <= followed.waits[-1] <= BACKOFF_MOST
            followed.watch._call()
            assert await soon(followed.told.get()) == 2 and followed.watch.index == 9
            followed.watch.close()

    asyncio.run(case())


@pytest.mark.parametrize("state", ["following", "calling"])
def test_news_that_lies_unread_is_read_before_a_wait_is_over(state: str) -> None:
    """After a stop of the process the timer is due before the loop has looked at the sockets."""
    async def play() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD if state == "calling" else HEAD + chunk(b"\n"))
            writers.append(writer)

        async with registry(script) as stub:
            told: asyncio.Queue[int] = asyncio.Queue()
            reader = Reader({"here": 0}, {"k": 0})
            watch = Discovery((HOST, stub.port), reader, 7, lambda kind, rows: told.put_nowait(len(rows)))
            watch.open()
            await soon(stub.asked.get())
            if state == "following":
                await soon(told.get())
            followed = watch._watch
            assert followed is not None
            await until(lambda: followed.connected_at is not None and not watch.inbox.unread())
            writers[0].write(chunk(message(9)))
            while not watch.inbox.unread():  # it has come, and the loop has not read it
                time.sleep(0.001)
            fire(watch)
            assert watch._watch is followed and watch._due is not None, "the watch was given up with its news"
            assert await soon(told.get()) == 2
            assert watch._watch is followed and watch.index == 9
            watch.close()

    asyncio.run(play())


def test_a_wait_is_over_though_bytes_go_on_coming() -> None:
    async def play() -> None:
        over = asyncio.Event()
        watch = Discovery((HOST, 1), Reader({"here": 0}, {"k": 0}), 7, lambda kind, rows: None)
        looks = itertools.count(1)
        watch.inbox.unread = lambda: bool(next(looks))  # type: ignore[method-assign]
        watch._wait(0.0, over.set)
        await soon(over.wait())
        assert next(looks) == READS_MOST + 1

    asyncio.run(play())
