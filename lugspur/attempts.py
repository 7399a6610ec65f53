"""Makes the attempts of requests: whether one may begin at all is its request's lease's to say."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence

from jaspershelf.answer_forecast import AnswerSizes
from jaspershelf.model import Outcome, Repeat, RequestClass, Send, ServerId
from jaspershelf.request_lease import Bound, RequestLease
from lugspur.backend_connection import Backend
from lugspur.call import Call
from lugspur.exchange import Exchange


def repeats_for(kind: RequestClass) -> float:
    """Seconds after a first attempt that may have run in which others may begin."""
    if kind.repeat is Repeat.SAFE:
        return math.inf
    return kind.window if kind.repeat is Repeat.KEYED else 0.0


class Attempts:
    """Makes them for requests of these classes, to these backends."""

    def __init__(
        self, classes: Sequence[RequestClass], backends: Mapping[ServerId, Backend],
        report: Callable[[str, str], None],
    ) -> None:
        """`report` is told of each violation of an invariant, by name, and how."""
        self._loop = asyncio.get_running_loop()
        self._classes = classes
        self._repeats_for = [repeats_for(row) for row in classes]
        self._sizes = [AnswerSizes() for _ in classes]
        self._backends = backends
        self._report = report

    def lease(self, kind: int, bound: Bound) -> RequestLease:
        """A request of this class has come."""
        return RequestLease(bound, self._repeats_for[kind])

    def make(self, call: Call, action: Send) -> tuple[Exchange, str]:
        """The next attempt of a request, and why it may not begin; empty where it may."""
        now = self._loop.time()
        exchange, refusal = self._exchange(call, action, now), self._refusal(call, now)
        if not refusal:
            call.lease.attempt_began(exchange.number, now)
        call.exchanges.append(exchange)
        return exchange, refusal

    def _exchange(self, call: Call, action: Send, now: float) -> Exchange:
        until = min(call.deadline, now + action.timeout) if action.timeout > 0.0 else call.deadline
        kind = self._classes[call.facts.kind]
        exchange = Exchange(
            call, len(call.exchanges), self._backends[action.server], now, until, call.head_for,
            call.request.body, kind.repeat is Repeat.UNSAFE or not call.request.body.whole,
        )
        exchange.name = call.name
        exchange.lease = call.lease
        exchange.sizes = self._sizes[call.facts.kind]
        exchange.safe = kind.repeat is Repeat.SAFE
        return exchange

    def _refusal(self, call: Call, now: float) -> str:
        if not call.claimed:
            self._report("send_unclaimed", repr(call.name))
        if call.lease.may_attempt(now):
            return ""
        if call.lease.ended:
            self._report("send_after_end", repr(call.name))
        elif call.lease.may_start(now):
            self._report("send_repeated", f"attempt {len(call.exchanges)} of {call.name!r}")
        return "its request may not be sent now"

    def ended(self, call: Call, exchange: Exchange, outcome: Outcome) -> None:
        """One is over."""
        call.last = outcome
        call.lease.attempt_ended(exchange.number, outcome)
        if outcome is Outcome.OK and exchange.pace is not None:
            exchange.sizes.note(exchange.pace.size)
