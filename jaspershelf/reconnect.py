"""When to call discovery again: back-off that keeps a whole fleet below what discovery can serve.

Discovery is one service for all proxies. It serves calls in turn, and fails those that have waited for too
long, often after it has spent the work on them. Where all proxies lose their watches at one moment and each
calls again at once, the queue grows past that limit, every call fails in it, and each failure brings the next
call: a retry storm that keeps itself alive after its cause is gone (a metastable failure). So in a large
fleet the calls are spread over the longest time that the rule on drains leaves, from the first one on, and a
proxy that fails keeps to one call in such a time. If that does not help, the interval grows.

A small fleet can't crowd discovery: there the back-off is short. Times are seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

from jaspershelf.model import Discovery, Settings

TOLD_AFTER = 6.0  # a change counts as told so long after discovery had it, or after a watch fell silent...
TOLD_AFTER_MOVE = 4.0  # ...and so long after a new address was configured
SILENCE_SEEN_AFTER = 2.4  # without a message, after which a watch is dead
QUEUED_MOST = 1.8  # that an answer may wait in discovery's queue, and still come in time
ANSWER_MOST = 0.6  # the same where little time is left: after a silence
UNANSWERED_AFTER = 2.6  # after which a call that got no answer is backed by another
MARGIN = 0.2  # for dials, late timers and the loop

BACKOFF_FIRST, BACKOFF_MOST = 0.15, 0.7  # the short back-off, doubling; at least half of it is waited
DOUBLINGS_MOST = 10  # of it: far beyond its most, and far below what a float holds
CALL_WORK = 0.025  # of discovery for one call, assumed: it serves 40 a second
JITTER = 0.1  # of the interval, by which it may be shorter: a process keeps about the place that it drew
CUTS_QUICK = 8  # calls in a row that fail before an answer that was cut short is no longer asked for at once
# Spreads of the next calls of a process that has no list yet: what it missed counts as told long since, and
# it is not ready before. After that many calls discovery is too crowded to be hurried.
START_SPREADS = (1.0, 2.0)
PUSHED_QUICK = 3  # refused calls in a row before the long interval, where lists are pushed
PATIENT_FAILURES = 6  # in a row, after which the interval grows...
REFUSED_FAILURES = 3  # ...or so many, where calls were refused at once: the queue is full
GROWTH, GROWTH_MOST = 1.5, 4.0  # of the interval, a call and in all


class Loss(Enum):
    """Why there is no watch."""

    ENDED = "ended"  # its connection ended or broke
    SILENT = "silent"
    MOVED = "moved"  # another address is configured


class ReconnectBackoff:
    """Waits of one process between its calls to discovery.

    `failures` is how many waits in a row there were before this one; `answered` ends the row.
    """

    def __init__(self, settings: Settings, draw: Callable[[], float] | None = None) -> None:
        """`draw` gives random numbers from 0 to 1."""
        self._draw = draw or (lambda: random.random())
        self._pushed = settings.discovery is Discovery.PUSHED
        self._grace = settings.rules.drain_grace
        fleet_work = CALL_WORK * settings.balancers * settings.tiers
        self._interval = min(fleet_work, TOLD_AFTER + self._grace - QUEUED_MOST - MARGIN)
        # Where lists are pushed, what discovery gets at its return counts as told at once.
        self._short_most = BACKOFF_MOST
        if self._pushed and self._grace > 0.0:
            self._short_most = min(BACKOFF_MOST, max(BACKOFF_FIRST, self._grace - MARGIN))
        self._listed = False  # this process has had a list
        self._spread = False  # this process has drawn its place among the others since the last answer
        self._refused = False  # a call was refused at once since the last answer
        self._queued = False  # a call was turned away after it had waited, since the last answer

    def answered(self) -> None:
        """A call was answered with a list."""
        self._listed = True
        self._spread = self._refused = self._queued = False

    def after_loss(self, loss: Loss, failures: int) -> float:
        """The wait before the first call once the watch is lost, or another address is to be called."""
        if not self.is_large_fleet():
            return 0.0 if loss is Loss.MOVED else self._short(failures)
        if self._pushed and loss is Loss.ENDED:  # what discovery has counts as told at once
            return min(self._interval, max(BACKOFF_FIRST, self._grace - ANSWER_MOST)) * self._draw()
        left = {
            Loss.ENDED: self._interval,
            Loss.SILENT: TOLD_AFTER + self._grace - SILENCE_SEEN_AFTER - ANSWER_MOST,
            Loss.MOVED: TOLD_AFTER_MOVE + self._grace - QUEUED_MOST - MARGIN,
        }[loss]
        return self._place(left)

    def after_failure(
        self, age: float, failures: int, *, refused: bool = False, queued: bool = False
    ) -> float:
        """The wait after a call that failed `age` after it was begun.

        `refused`: discovery turned it away at once; `queued`: after it had waited.
        """
        self._refused |= refused
        self._queued |= queued
        if not self._crowds(failures):
            return self._short(failures)
        if not self._listed and failures < len(START_SPREADS):
            return min(self._interval, START_SPREADS[failures]) * self._draw()
        if not self._spread:
            return self._place(self._interval)
        growth = self._growth(failures)
        if growth > 1.0:
            return max(BACKOFF_FIRST, growth * self._interval * (0.5 + 0.5 * self._draw()) - age)
        return max(BACKOFF_FIRST, self._interval * (1.0 - JITTER * self._draw()) - age)

    def after_cut(self, age: float, failures: int) -> float:
        """The wait after an answer, or a message, that was cut short: written, it counts as told.

        Discovery had the time to write it, so it is not crowded; but if that goes on, it is left its time.
        """
        if failures < CUTS_QUICK:
            return self._short(failures)
        return self.after_failure(age, failures)

    def after_no_answer(self, failures: int) -> float:
        """The wait before another call is made beside one that has got no answer."""
        short = self._short(failures)
        if not self._listed or not self._crowds(failures):
            return short
        left = TOLD_AFTER + self._grace - UNANSWERED_AFTER - QUEUED_MOST - MARGIN
        return max(short, min(self._interval, left) * (0.5 + 0.5 * self._draw()))

    def is_large_fleet(self) -> bool:
        """Whether the fleet is large enough to crowd discovery: it is up then where it turns calls away."""
        return self._interval > BACKOFF_MOST

    def _crowds(self, failures: int) -> bool:
        """Whether to spare discovery.

        Where lists are pushed a change counts as told at once: there calls are quick until one has waited in
        a queue, or several were refused.
        """
        if not self.is_large_fleet():
            return False
        return not self._pushed or self._queued or (self._refused and failures >= PUSHED_QUICK)

    def _place(self, left: float) -> float:
        """Draw a place within the time that is left for it."""
        self._spread = True
        return max(0.0, min(self._interval, left)) * self._draw()

    def _growth(self, failures: int) -> float:
        free = REFUSED_FAILURES if self._refused else PATIENT_FAILURES
        beyond = max(0, min(failures - free, DOUBLINGS_MOST))
        return min(GROWTH_MOST, GROWTH ** beyond)

    def _short(self, failures: int) -> float:
        most = min(self._short_most, BACKOFF_FIRST * 2.0 ** min(failures, DOUBLINGS_MOST))
        return most * (0.5 + 0.5 * self._draw())
