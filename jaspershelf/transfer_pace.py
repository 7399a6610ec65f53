"""How quickly a transfer goes on: whether an answer is slow, may still be long, or has come to a stand.

An answer of up to 64 KiB is timed by its last byte, a longer one by its first. One of unknown length that
is still coming in at its request's time is carried on only at a pace at which it is a long one. Each transfer
has to keep a least pace, so that no peer prolongs it by a byte now and then.
"""

from __future__ import annotations

from math import inf

LONG = 64 << 10  # bytes beyond which an answer is timed by its first byte
LONG_WITHIN = 2.0  # seconds after its request's time by which an answer that is carried on has to be long
PACE_SPAN = 0.2  # seconds over which the present pace is measured, at the least
PACE_PART = 0.25  # of an answer's mean pace, below which it has fallen behind
SILENT_AFTER = 0.4  # seconds without a byte after which an answer has fallen silent
TOLD_SILENT_AFTER = 2.0  # the same of an answer whose length tells that it is long
STEP = 64 << 10  # bytes of a transfer, each further of which has to be moved within a time


class AnswerPace:
    """The pace of one answer's body; all times are seconds of one clock, all sizes bytes."""

    __slots__ = ("_begun", "_first", "_last", "_mark", "_since", "size", "told_long")

    def __init__(self, now: float) -> None:
        """`now`: its first line has come."""
        self.size = 0
        self.told_long = False  # its length is told, and it is long
        self._begun = inf  # when the first of its body came...
        self._first = 0  # ...how much that was...
        self._last = now  # ...and when the last came
        self._since = now, 0  # time and size from which the present pace is measured...
        self._mark = now, 0  # ...and from which it will be

    def came(self, now: float, size: int) -> None:
        """So much of the body has come in all."""
        if size == self.size:
            return
        if self._begun == inf:
            self._begun = now
            self._first = size
            self._since = self._mark = now, 0
        self._move_mark(now)
        self.size, self._last = size, now

    def is_long(self) -> bool:
        """Whether so much has come that its first byte is what counts."""
        return self.size > LONG

    def is_slow(self, now: float) -> bool:
        """Whether it has fallen silent, or comes at less than the pace that makes it long in time."""
        self._move_mark(now)
        if now - self._last > SILENT_AFTER:
            return True
        return now - self._begun > PACE_SPAN and self._present_pace(now) < LONG / LONG_WITHIN

    def may_be_long(self, now: float, time_up: float) -> bool:
        """Whether it is long, or will be in time at its pace; `time_up` is its request's time."""
        if self.is_long():
            return True
        left = time_up + LONG_WITHIN - now
        if self._begun == inf or left <= 0.0:
            return False
        if self.told_long:
            return now - self._last <= TOLD_SILENT_AFTER
        self._move_mark(now)
        mean = self._mean_pace(now)
        goes_on = now - self._last <= SILENT_AFTER and self._present_pace(now) >= PACE_PART * mean
        return goes_on and self.size + mean * left > LONG

    def _mean_pace(self, now: float) -> float:
        """Bytes a second: of what has come after its first piece, once there was time for more."""
        begun_for = now - self._begun
        return self.size / PACE_SPAN if begun_for < PACE_SPAN else (self.size - self._first) / begun_for

    def _present_pace(self, now: float) -> float:
        at, size = self._since
        return (self.size - size) / max(now - at, PACE_SPAN)

    def _move_mark(self, now: float) -> None:
        if now - self._mark[0] >= PACE_SPAN:
            self._since = self._mark
            self._mark = now, self.size


class Headway:
    """Whether a transfer goes on: each further `STEP` bytes have to be moved within a time."""

    __slots__ = ("_at", "_moved")

    def __init__(self, now: float, moved: int = 0) -> None:
        """`moved`: bytes of it that have been moved by now."""
        self._at = now
        self._moved = moved

    def due(self, now: float, moved: int, within: float) -> float:
        """When it has come to a stand unless more is moved: so many seconds after the last step."""
        if moved >= self._moved + STEP or moved < self._moved:
            self._at, self._moved = now, moved
        return self._at + within
