"""By when a request ends, and by what: one lease of time for each request, without I/O.

A lease is granted when the request's time is known. It runs to a moment shortly after that time, is renewed
by one event alone (an answer is passed on that is long, by its bytes or by the length that it tells), and is
bounded by the end of the process. Whoever sends, repeats, passes on, closes or starts anything for the
request asks its lease. All times are seconds of one monotonic clock, all sizes bytes.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import Protocol

from jaspershelf.answer_forecast import (
    SILENT_MOST,
    AnswerSizes,
    becomes_long_at,
    may_become_long,
    will_be_late,
)
from jaspershelf.model import NEVER_RAN, Outcome
from jaspershelf.transfer_pace import AnswerPace

LATE_MOST = 0.5  # seconds after a request's time from which on its end is lost
HELD_UP_MOST = 0.15  # seconds for which the process may be held up between its clock and its write
REACHES_IN = 0.05  # seconds that an answer takes to reach its client, at the most
END_AFTER = LATE_MOST - HELD_UP_MOST - REACHES_IN  # seconds after its time by which a request ends...
LONG_AFTER = 0.46  # ...or by which its answer is long, where it may still become so...
PIECE_EVERY = 0.05  # seconds between the pieces of an answer that comes evenly
EVENLY_LONG_AFTER = LATE_MOST + PIECE_EVERY  # ...or is, where its pace says that it is long before it is lost
HELD_UP_AGAIN = 5.0  # seconds after a hold-up in which another one may follow
LOOK_EVERY = 0.05  # seconds between looks at an answer that comes in after its request's time


class Bound(Protocol):
    """What bounds all leases of a process."""

    until: float  # all that was taken has ended by then; infinite while the process goes on

    @property
    def held_up_at(self) -> float:
        """When the process was last seen to have been held up; minus infinity where it never was."""


class Endless:
    """A bound that never comes."""

    until = inf
    held_up_at = -inf


class Step(Enum):
    """What is to be done about a request now."""

    WAIT = "wait"  # and look again when the lease says so
    PASS_ON = "pass on"  # what has come of its answer, and the rest as it comes
    END = "end"  # failed, or cut where some of its answer was passed on


class RequestLease:
    """The lease of one request."""

    __slots__ = ("_bound", "_repeats_for", "_runs", "ended", "renewed", "time_up")

    def __init__(self, bound: Bound | None = None, repeats_for: float = inf) -> None:
        """`repeats_for`: seconds after a first attempt that may have run in which others may begin."""
        self._bound = bound or Endless()
        self._repeats_for = repeats_for
        # Attempts that may have run, or may still: the number of each, and when it began.
        self._runs: tuple[tuple[int, float], ...] = ()
        self.time_up = inf  # the request's time; it has none while the request is still coming in
        self.renewed = False  # a long answer is passed on: only its first byte is timed
        self.ended = False  # it has its final answer, or nobody waits for one

    # ---- its time --------------------------------------------------------------------------

    def grant(self, time_up: float) -> None:
        """The request's time is known."""
        self.time_up = time_up

    def deadline(self) -> float:
        """When an answer is owed: at its time, or at the end of the process."""
        return min(self.time_up, self._bound.until)

    def attempt_until(self) -> float:
        """When an attempt whose answer has begun ends, whoever still waits for it."""
        return min(self.time_up + LATE_MOST, self._bound.until)

    def end(self) -> None:
        """Nothing is owed any more."""
        self.ended = True

    # ---- attempts --------------------------------------------------------------------------

    def may_start(self, now: float) -> bool:
        """Whether anything may begin for it."""
        return not self.ended and now < self.deadline()

    def may_attempt(self, now: float) -> bool:
        """Whether an attempt may begin, a first one or another: no effect may be had twice by it."""
        first = min((began for _, began in self._runs), default=inf)
        return self.may_start(now) and (first == inf or now - first < self._repeats_for)

    def attempt_began(self, number: int, now: float) -> None:
        """The attempt of this number is out."""
        self._runs = (*self._runs, (number, now))

    def attempt_ended(self, number: int, outcome: Outcome) -> None:
        """It is over."""
        if outcome in NEVER_RAN:
            self._runs = tuple(run for run in self._runs if run[0] != number)

    def may_have_run(self) -> bool:
        """Whether any attempt has run, or may still run."""
        return bool(self._runs)

    # ---- its answer ------------------------------------------------------------------------

    def is_slow(self, now: float, answer: AnswerPace, sizes: AnswerSizes) -> bool:
        """Whether an answer that comes in will be neither whole nor long in time, at its pace."""
        return will_be_late(answer, sizes, now, self.time_up, self.time_up + LONG_AFTER)

    def passes_on(self, now: float, answer: AnswerPace, sizes: AnswerSizes) -> bool:
        """Whether an answer that is held is passed on before its request's time: nobody else will serve it.

        One that says that it is long waits only until its pace is known.
        """
        if answer.is_long():
            return True
        return answer.says_long() and answer.is_known(now) and not self.is_slow(now, answer, sizes)

    def rank(self, now: float, answer: AnswerPace) -> tuple[bool, bool, int]:
        """Which of several answers that come in is passed on: the lowest, of equals the oldest."""
        return not answer.says_long(), answer.silent_for(now) > SILENT_MOST, -answer.size

    def step(self, now: float, answer: AnswerPace | None, is_passed_on: bool) -> Step:
        """What is to be done by an answer that comes in; None: by there being none."""
        if now >= self._bound.until:
            return Step.END
        if answer is not None and (answer.is_long() or answer.says_long()):
            return self._step_of_long(now, is_passed_on)
        if self.renewed or now < self.time_up:
            return Step.WAIT
        if answer is None or answer.silent_for(now) > SILENT_MOST:
            return Step.END
        if not is_passed_on and not answer.says_short():
            return Step.PASS_ON
        return Step.WAIT if now < self.time_up + self._ends_after(now, answer) else Step.END

    def _ends_after(self, now: float, answer: AnswerPace) -> float:
        """Seconds after its time by which it ends, unless its answer is long by then.

        A longer wait is at the risk that a hold-up of the process makes its end too late.
        """
        if now - self._bound.held_up_at <= HELD_UP_AGAIN:
            return END_AFTER
        if self.is_evenly_long(now, answer):
            return EVENLY_LONG_AFTER
        return LONG_AFTER if may_become_long(answer, now) else END_AFTER

    def is_evenly_long(self, now: float, answer: AnswerPace) -> bool:
        """Whether an answer comes so evenly that its pace says that it is long before its request is lost."""
        due = self.time_up + LATE_MOST
        return now < due + PIECE_EVERY and becomes_long_at(answer, now) <= due

    def _step_of_long(self, now: float, is_passed_on: bool) -> Step:
        """Its first byte is what is timed; how it goes on from there decides nothing."""
        if is_passed_on:
            self.renewed = True
        return Step.WAIT if is_passed_on or now < self.first_byte_due() else Step.PASS_ON

    def first_byte_due(self) -> float:
        """When the first byte of a long answer has to be on its way."""
        return self.time_up - REACHES_IN

    def look_at(self, now: float) -> float:
        """When to ask for the next step; infinite where nothing but the end of the process ends it."""
        if self.renewed:
            return self._bound.until
        if now < self.first_byte_due():
            return min(self.first_byte_due(), self._bound.until)
        if now < self.time_up:
            return self.deadline()
        ends = (self.time_up + after for after in (END_AFTER, LONG_AFTER, EVENLY_LONG_AFTER))
        latest = next((end for end in ends if now < end), now)
        return min(max(now + 0.001, min(now + LOOK_EVERY, latest)), self._bound.until)
