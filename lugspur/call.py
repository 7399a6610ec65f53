"""One request of a caller while it is with the proxy: its deadline, its attempts and its caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from jaspershelf.model import Outcome
from jaspershelf.request_lease import RequestLease, Step
from lugspur.caller import Caller
from lugspur.exchange import Exchange, Response
from lugspur.request import Facts, Request


class CallOwner(Protocol):
    """Who is told what becomes of a call's attempts."""

    def answering(self, call: Call, exchange: Exchange) -> None:
        """A sound answer has begun to come in."""

    def slow(self, call: Call, exchange: Exchange) -> None:
        """That answer has fallen silent, or comes slowly."""

    def pass_on(
        self, call: Call, exchange: Exchange, response: Response
    ) -> Callable[[bytes], None] | None:
        """An answer is passed on as it comes; where it goes, None if nobody wants it."""

    def outcome(
        self, call: Call, exchange: Exchange, outcome: Outcome, response: Response | None
    ) -> None:
        """An attempt is over."""


class Call:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "_owner", "caller", "claimed", "exchanges", "facts", "last", "lease", "name", "passing", "reason",
        "request", "rid", "taken_at", "timer",
    )

    def __init__(
        self, owner: CallOwner, rid: str, request: Request, facts: Facts, caller: Caller,
        lease: RequestLease, taken_at: float,
    ) -> None:
        self._owner = owner
        self.rid = rid
        self.request = request
        self.name = request.headers.get(b"x-request-id", b"")  # the id that its client gave it
        self.facts = facts
        self.caller: Caller | None = caller  # None once nothing is owed
        self.lease = lease
        self.taken_at = taken_at  # the loop's time at which its turn came, behind others on its connection
        self.exchanges: list[Exchange] = []
        self.claimed = False  # its id is held as one that may run
        self.last = Outcome.VOID  # how its latest attempt ended
        self.passing = False  # its answer is passed on as it comes
        self.timer: asyncio.TimerHandle | None = None
        self.reason = ""  # why its answer is none of a server's; for the trace

    def head_for(self, left: float) -> bytes:
        """The request's head as it goes to a backend that is waited for so many seconds."""
        request, body = self.request, self.request.body
        framing = b""
        if not body.whole and body.length is None:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif body.size or body.length or request.method != b"GET":
            framing = b"Content-Length: %d\r\n" % (body.size if body.whole else body.length or 0)
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n" % (
            request.method, request.target, request.lines, max(min(left, self.facts.timeout), 0.001), framing
        )

    @property
    def deadline(self) -> float:
        """When an answer is owed, in the loop's time; infinite while the request is still coming in."""
        return self.lease.deadline()

    def passed_on(self) -> Exchange | None:
        """The attempt whose answer is passed on, or was."""
        return next((row for row in self.exchanges if row.pass_on is not None), None)

    def wanted(self) -> bool:
        """Whether an answer is still owed."""
        return self.caller is not None and not self.caller.limit.has_left()

    def answering(self, exchange: Exchange) -> None:
        """A sound answer has begun to come in."""
        self._owner.answering(self, exchange)

    def slow(self, exchange: Exchange) -> None:
        """That answer has fallen silent, or comes slowly."""
        self._owner.slow(self, exchange)

    def steps(self, now: float) -> list[tuple[Step, Exchange | None]]:
        """What its lease says now: for each attempt whose answer may be its own, in order; and by itself."""
        coming = [
            (self.lease.rank(now, row.pace), row.number, row, row.pace) for row in self.exchanges
            if row.pace is not None and row.is_coming_in() and (row.pass_on or not self.passing)
        ]
        steps = [(self.lease.step(now, pace, self.passing), row) for _, _, row, pace in sorted(coming)]
        return [*steps, (self.lease.step(now, None, self.passing), None)]

    def latency(self, exchange: Exchange, now: float) -> float:
        """How long an attempt has been out, of the time that counts: from the request's last byte on."""
        return max(0.0, now - max(exchange.started, self.request.arrived))

    def undelivered(self) -> int:
        """Bytes of its answer that its caller's system has not taken yet."""
        return self.caller.undelivered() if self.caller is not None else 0

    def begun(
        self, exchange: Exchange, response: Response
    ) -> Callable[[bytes], None] | None:
        """An answer is passed on from here."""
        return self._owner.pass_on(self, exchange, response)

    def ended(
        self, exchange: Exchange, outcome: Outcome, response: Response | None
    ) -> None:
        """An attempt is over."""
        self._owner.outcome(self, exchange, outcome, response)
