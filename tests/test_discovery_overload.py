"""Many proxies at a discovery that serves calls in turn: each is answered when its turn comes.

On a clock of the test's own: the real `Discovery` of each proxy, and a queue in place of the network.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import pytest
from loopback import HOST, entry
from test_watch import EMPTY_EVERY, HEAD, TOLD_AFTER, FakeTransport, chunk

from jaspershelf.decide import Balancer
from jaspershelf.model import Discovery as Mode
from jaspershelf.model import ListKind, Rules, ServerRow, Settings, Timer
from lugspur.discovery import BACKOFF_FIRST, CALL_MOST, SILENT, Discovery, Endpoint, Reader, _Watch

CHANGE = {"index": 9, "snapshot": False, "endpoints": [entry("a", f"{HOST}:1")]}
NEWS = HEAD + chunk(json.dumps(CHANGE).encode() + b"\n")
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class DrivenClock:
    """Runs what is due in order; nothing else moves the time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, seconds: float, then: Callable[[], None]) -> None:
        """Run this so many seconds from now."""
        heapq.heappush(self._due, (self.now + seconds, next(self._order), then))

    def run_until(self, end: float, done: Callable[[], bool]) -> None:
        """Run until it is done, or the time is over."""
        while self._due and self._due[0][0] <= end and not done():
            self.now, _, then = heapq.heappop(self._due)
            then()


class Queue:
    """A discovery that serves one call at a time, in turn, abandoned ones too: it can't know of them."""

    def __init__(self, clock: DrivenClock, service: float, limit: float = 1e9) -> None:
        self.clock, self.service, self.limit = clock, service, limit
        self.calls = 0
        self._waiting: deque[tuple[float, _Watch]] = deque()
        self._busy = False

    def accept(self, watch: _Watch) -> None:
        """A connection has come up, and asks."""
        self.calls += 1
        watch.connection_made(FakeTransport())
        call = self.clock.now, watch
        self._waiting.append(call)
        self.clock.at(self.limit, lambda: self._give_up(call))
        if not self._busy:
            self._busy = True
            self.clock.at(self.service, self._serve)

    def _give_up(self, call: tuple[float, _Watch]) -> None:
        if call in self._waiting:
            self._waiting.remove(call)
            call[1].data_received(BUSY)

    def _keep_alive(self, watch: _Watch) -> None:
        if not watch._closed:
            watch.data_received(chunk(b"\n"))
            self.clock.at(EMPTY_EVERY, lambda: self._keep_alive(watch))

    def _serve(self) -> None:
        if self._waiting:
            _, watch = self._waiting.popleft()
            watch.data_received(NEWS)
            self.clock.at(EMPTY_EVERY, lambda: self._keep_alive(watch))
        self._busy = bool(self._waiting)
        if self._busy:
            self.clock.at(self.service, self._serve)


class Proxies:
    """The watches of many proxies, and when each was told the news."""

    def __init__(self, clock: DrivenClock, count: int, dial: Callable[[_Watch], None], patch: Any) -> None:
        self.clock = clock
        self.told: dict[int, float] = {}
        patch.setattr(_Watch, "dial", lambda watch, _: dial(watch))
        self.watches = [self._watch(number) for number in range(count)]

    def _watch(self, number: int) -> Discovery:
        def tell(kind: ListKind, endpoints: list[Endpoint]) -> None:
            if endpoints:
                self.told.setdefault(number, self.clock.now)

        held: list[bool] = []

        def wait(seconds: float, then: Callable[..., None], *args: object) -> None:
            nonlocal held
            if held:
                held[0] = False
            held = mine = [True]
            watch._due = cast(Any, held)
            self.clock.at(seconds, lambda: then(*args) if mine[0] else None)

        watch = Discovery(
            (HOST, 1), Reader({"here": 0}, {"k": 0}), 7, tell, clock=lambda: self.clock.now
        )
        watch._wait = wait  # type: ignore[method-assign]
        return watch

    def open(self, within: float, rng: random.Random) -> None:
        """All begin to call, spread over so many seconds."""
        for watch in self.watches:
            self.clock.at(within * rng.random(), watch.open)

    def all_told(self) -> bool:
        """Whether each has the news."""
        return len(self.told) == len(self.watches)


def one_proxy(patch: pytest.MonkeyPatch) -> tuple[DrivenClock, list[_Watch], Proxies]:
    """One proxy, and the calls that it makes: each comes up at once and is not answered."""
    clock, calls = DrivenClock(), list[_Watch]()

    def dial(watch: _Watch) -> None:
        calls.append(watch)
        watch.connection_made(FakeTransport())

    return clock, calls, Proxies(clock, 1, dial, patch)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("service", [0.015, 0.03, 0.06])
@pytest.mark.parametrize("limit", [2.0, 3.0, 1e9])
def test_200_proxies_are_told_as_fast_as_a_discovery_in_turn_can_tell_them(
    seed: int, service: float, limit: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All have lost their watch at once. `limit`: seconds after which discovery turns a waiting call away.

    Without one each is answered in the first turn of its first call; with one, nobody waits for long after
    the time that the calls themselves take, as none of the work is for a call that was given up.
    """
    rng, clock = random.Random(seed), DrivenClock()
    monkeypatch.setattr(random, "random", rng.random)
    queue = Queue(clock, service, limit)
    proxies = Proxies(clock, 200, queue.accept, monkeypatch)
    proxies.open(0.1, rng)
    clock.run_until(120.0, proxies.all_told)
    assert proxies.all_told(), f"{200 - len(proxies.told)} of 200 were never told"
    least = 200 * service
    if limit == 1e9:
        assert max(proxies.told.values()) <= least + 0.1 + service
    else:
        assert max(proxies.told.values()) <= 1.25 * least + 1.0


@pytest.mark.parametrize("seconds", [2.0, 4.0, 12.0])
def test_a_list_that_takes_long_to_arrive_is_taken_when_it_is_whole(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = DrivenClock()

    def drip(watch: _Watch) -> None:
        watch.connection_made(FakeTransport())
        parts = 50
        for n in range(parts):
            begin, end = len(NEWS) * n // parts, len(NEWS) * (n + 1) // parts
            clock.at(seconds * (n + 1) / parts, partial(watch.data_received, NEWS[begin:end]))

    proxies = Proxies(clock, 1, drip, monkeypatch)
    proxies.open(0.0, random.Random(1))
    clock.run_until(60.0, proxies.all_told)
    assert proxies.told[0] == pytest.approx(seconds)


def test_a_call_on_a_dead_connection_does_not_hold_up_the_news(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first call is never answered, the next one at once, and the first is closed then."""
    clock, calls = DrivenClock(), list[_Watch]()

    def dial(watch: _Watch) -> None:
        calls.append(watch)
        watch.connection_made(FakeTransport())
        if len(calls) > 1:
            watch.data_received(NEWS)

    proxies = Proxies(clock, 1, dial, monkeypatch)
    proxies.open(0.0, random.Random(1))
    clock.run_until(60.0, proxies.all_told)
    assert proxies.told[0] < CALL_MOST + 0.2
    assert calls[0]._closed and not calls[1]._closed
    calls[0].data_received(NEWS)  # too late: it is no news
    assert proxies.watches[0]._watch is calls[1] and proxies.watches[0]._waiting == []


def test_calls_that_wait_are_bounded_and_the_oldest_keeps_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, calls, proxies = one_proxy(monkeypatch)
    proxies.open(0.0, random.Random(1))
    most = 0

    def look() -> bool:
        nonlocal most
        open_now = [watch for watch in calls if not watch._closed]
        most = max(most, len(open_now))
        assert clock.now > 29.0 or open_now[:1] == calls[:1]
        return False

    clock.run_until(90.0, look)
    assert most == 3 and calls[0]._closed
    assert len(calls) > 90.0 / (CALL_MOST + SILENT)


@pytest.mark.parametrize("way", ["another address", "there and back"])
def test_news_of_the_former_address_counts_until_the_new_one_answers(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, calls, proxies = one_proxy(monkeypatch)
    watch = proxies.watches[0]
    watch.open()
    calls[0].data_received(HEAD + chunk(b"\n"))
    watch.move((HOST, 2))
    assert len(calls) == 2 and not calls[0]._closed and watch._watch is calls[1]
    if way == "there and back":
        watch.move((HOST, 1))
        assert len(calls) == 2 and calls[1]._closed and watch._watch is calls[0]
        return
    calls[0].data_received(NEWS[len(HEAD):])
    assert proxies.told == {0: 0.0} and watch.index == 9 and watch._watch is calls[1]
    calls[1].data_received(HEAD + chunk(b"\n"))
    assert calls[0]._closed and watch._watch is calls[1] and watch._waiting == []


def test_the_former_address_may_end_while_the_new_one_is_called(monkeypatch: pytest.MonkeyPatch) -> None:
    _, calls, proxies = one_proxy(monkeypatch)
    watch = proxies.watches[0]
    watch.open()
    calls[0].data_received(HEAD + chunk(b"\n"))
    watch.move((HOST, 2))
    due = watch._due
    calls[0].connection_lost(None)
    assert watch._watch is calls[1] and watch._due is due and watch._waiting == [] and watch.failures == 0


@pytest.mark.parametrize("ask_within", [0.5, 10.0, 60.0])
def test_where_the_list_is_asked_for_the_first_call_leaves_time_for_two_more(ask_within: float) -> None:
    """It is spread over the instances, but one that fails late, and the next, have to be in time.

    The list known at the start may be old, and the time that the settings allow for asking ends with the
    first call that fails.
    """
    settings = Settings(discovery=Mode.ON_REQUEST, rules=Rules(ask_within=ask_within))
    delays = []
    for seed in range(200):
        balancer = Balancer(settings, seed)
        balancer.members(100.0, ListKind.STALE, [ServerRow(1)])
        [timer] = balancer.start(100.0)
        assert isinstance(timer, Timer)
        delays.append(timer.at - 100.0)
    assert max(delays) <= 0.4 * ask_within
    answered = 2.0  # seconds from the next call to its answer
    assert max(delays) + CALL_MOST + BACKOFF_FIRST + answered < TOLD_AFTER
    assert max(delays) - min(delays) > 0.5 * min(0.4 * ask_within, 0.8), "they call together"


@pytest.mark.parametrize(("answer", "may_answer"), [
    (HEAD, True), (HEAD + chunk(b'{"index": 9, "endp'), True), (BUSY, False), (b"", False),
])
def test_a_discovery_that_began_to_answer_is_up_though_its_answer_is_cut(
    answer: bytes, may_answer: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new process waits for its list then, as where it is slow; where it refuses at once it is down."""
    clock, calls, proxies = one_proxy(monkeypatch)
    watch = proxies.watches[0]
    watch.open()
    assert watch.may_answer()
    if answer:
        calls[0].data_received(answer)
    calls[0].connection_lost(None)
    assert watch.may_answer() == may_answer
    clock.run_until(1.0, lambda: len(calls) == 2)
    calls[1].connection_lost(None)
    assert not watch.may_answer(), "the last call tells"
