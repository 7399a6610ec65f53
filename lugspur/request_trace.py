"""What the trace tells of a request: its attempts, why each began and ended, and whose answer it got."""

from __future__ import annotations

from jaspershelf.model import Outcome
from lugspur.call import Call
from lugspur.exchange import Exchange, Response
from lugspur.trace import trace

TIME_DIGITS = 3  # of a second


def attempt_chosen(call: Call, exchange: Exchange, server: str) -> None:
    """An attempt begins, the last of its call's."""
    reason = "first"
    if len(call.exchanges) > 1:
        hedged = any(earlier.open for earlier in call.exchanges[:-1])
        reason = "hedged" if hedged else f"retry after {call.last.value}"
    trace.record("attempt.chosen", id=call.name, n=exchange.number, reason=reason, server=server)


def attempt_ended(call: Call, exchange: Exchange, outcome: Outcome) -> None:
    """An attempt is over."""
    trace.record(
        "attempt.ended", id=call.name, n=exchange.number, outcome=outcome.value, reason=exchange.reason,
        request_bytes=exchange.request_size, answer_bytes=exchange.answer_size,
    )


def answer_begun(call: Call, exchange: Exchange, now: float) -> None:
    """A sound answer has begun to come in; `now` in the loop's time."""
    left = round(call.deadline - now, TIME_DIGITS)
    trace.record("answer.begun", id=call.name, n=exchange.number, left=left)


def answer_passed_on(call: Call, exchange: Exchange, response: Response, now: float) -> None:
    """An answer is passed on from here; `now` in the loop's time."""
    trace.record("answer.passed_on", id=call.name, n=exchange.number, bytes=len(response.body),
                 length=response.length, left=round(call.deadline - now, TIME_DIGITS))


def request_answered(call: Call, status: int) -> None:
    """Its final answer is given, whole or cut."""
    trace.record("request.answered", id=call.name, status=status, reason=call.reason,
                 attempts=len(call.exchanges), cut=call.passing)
