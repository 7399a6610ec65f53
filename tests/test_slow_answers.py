"""A second copy beside an answer that has begun and is slow: when it is sent, and when never."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from math import inf

import pytest
from loopback import backend, entry, read, running, soon, status
from test_crossings_upstream import raw

from jaspershelf import Balancer, ListKind, Outcome, RequestClass, Send, ServerRow, Settings
from jaspershelf.model import Group, Limits, Repeat
from lugspur.body import HELD_MOST
from lugspur.call import Call
from lugspur.exchange import Exchange
from lugspur.proxy import Proxy
from lugspur.request_audit import LATE_MOST, overdue_calls

SAFE = RequestClass(name="r", aim=0.5, deadline=2.0, repeat=Repeat.SAFE)
KEYED = replace(SAFE, repeat=Repeat.KEYED, group=Group.ALL, window=1.5)
LIMITS = Limits(cancel=True, second_copies=True, max_attempts=3)


def sent(kind: RequestClass, limits: Limits = LIMITS) -> Balancer:
    """A balancer with one request, `r`, out since 10.0 at a server that has begun to answer."""
    balancer = Balancer(Settings(classes=(kind,), limits=limits), seed=1)
    balancer.members(0.0, ListKind.WHOLE, [ServerRow(server=n) for n in range(4)])
    balancer.start(0.0)
    [send] = balancer.request(10.0, "r", deadline=12.0)
    assert isinstance(send, Send)
    assert balancer.answering(10.1, "r", 0) == []
    return balancer


@pytest.mark.parametrize(("kind", "at", "copies"), [
    (SAFE, 11.0, 0), (SAFE, 11.5, 1), (KEYED, 11.4, 0), (replace(KEYED, window=2.0), 11.5, 1),
    (replace(SAFE, repeat=Repeat.UNSAFE), 11.9, 0), (replace(SAFE, streaming=True), 11.9, 0), (SAFE, 12.1, 0),
])
def test_a_copy_is_sent_beside_a_slow_answer_where_the_request_may_run_twice(
    kind: RequestClass, at: float, copies: int
) -> None:
    actions = sent(kind).slow(at, "r", 0)
    assert len(actions) == copies and all(isinstance(action, Send) for action in actions)


def test_the_limits_hold_for_it() -> None:
    assert sent(SAFE, replace(LIMITS, second_copies=False)).slow(11.5, "r", 0) == []
    assert sent(SAFE, replace(LIMITS, max_attempts=1)).slow(11.5, "r", 0) == []


def test_one_copy_is_out_at_a_time_and_another_follows_where_it_fails() -> None:
    balancer = sent(SAFE)
    assert len(balancer.slow(11.5, "r", 0)) == 1 and balancer.slow(11.6, "r", 0) == []
    assert balancer.outcome(11.7, "r", 1, Outcome.ERROR, 0.2) == [], "the slow one is kept"
    assert len(balancer.slow(11.8, "r", 0)) == 1
    assert balancer.slow(11.8, "unknown", 0) == balancer.slow(11.8, "r", 7) == []


def test_an_answer_that_is_passed_on_and_not_long_is_overdue_too(monkeypatch: pytest.MonkeyPatch) -> None:
    look_later = Proxy._look_later

    def lose_timer(self: Proxy, call: Call) -> None:
        look_later(self, call)
        if call.passing and call.timer is not None:
            call.timer.cancel()  # the timer that ends it is lost

    monkeypatch.setattr(Proxy, "_look_later", lose_timer)

    async def play() -> None:
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9c40\r\n" + bytes(40_000) + b"\r\n"
        async with backend(lambda _: answer) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(read(timeout="0.1"))
            await soon(client.reader.readuntil(b"\r\n\r\n"))
            [call] = up.proxy._calls.values()
            assert call.passing
            await asyncio.sleep(0.5)
            now = call.deadline + LATE_MOST
            assert overdue_calls(up.proxy._calls, now + 0.1, inf) == [call]
            assert overdue_calls(up.proxy._calls, now - 0.1, inf) == []
            assert overdue_calls(up.proxy._calls, now - 0.1, now - 0.3) == [call], "the process ends"
            await asyncio.sleep(max(0.0, now + 0.1 - asyncio.get_running_loop().time()))
            up.proxy._repair()
            assert not up.proxy._calls, "and is ended"

    asyncio.run(play())


def test_a_long_answer_that_begins_just_after_its_time_beside_another_is_carried_on(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Exchange, "is_coming_in", lambda self: self.open)  # as another attempt's answer is
    body = bytes(2 * HELD_MOST)

    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            client.writer.write(read(timeout="0.3"))
            sock = await one.accept()
            await one.request(sock)
            sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            await asyncio.sleep(0.35)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, body[:1000])
            await asyncio.sleep(0.1)
            await loop.sock_sendall(sock, body[1000:])
            answer = await client.answer()
            assert status(answer) == 200 and answer.endswith(body)

    asyncio.run(play())
