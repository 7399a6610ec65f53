"""How quickly a transfer goes on: what an answer will have brought by when, and what stands still.

Only measures; by when a request has to end, and by what, is `request_lease`'s to say.
"""

from __future__ import annotations

from math import inf

LONG = 64 << 10  # bytes beyond which an answer is timed by its first byte
PACE_SPAN = 0.2  # seconds over which the present pace is measured, at the least
PACE_PART = 0.25  # of an answer's mean pace, below which it has fallen behind
SILENT_AFTER = 0.4  # seconds without a byte after which an answer has fallen silent
STEP = 64 << 10  # bytes of a transfer, each further of which has to be moved within a time


class AnswerPace:
    """The pace of one answer's body; all times are seconds of one clock, all sizes bytes."""

    __slots__ = ("_begun", "_first", "_last", "_mark", "_since", "size", "told_size")

    def __init__(self, now: float) -> None:
        """`now`: its first line has come."""
        self.size = 0
        self.told_size: int | None = None  # as its length says; None: it does not say
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

    def says_long(self) -> bool:
        """Whether its length says that it will be."""
        return self.told_size is not None and self.told_size > LONG

    def says_short(self) -> bool:
        """Whether its length says that it won't be."""
        return self.told_size is not None and self.told_size <= LONG

    def silent_for(self, now: float) -> float:
        """Seconds since a byte of it came."""
        return now - self._last

    def is_known(self, now: float) -> bool:
        """Whether it has come for long enough to tell its pace."""
        return now - self._begun >= PACE_SPAN

    def reaches(self, size: int, now: float, by: float) -> bool:
        """Whether so much will have come by then, at the pace at which it comes now."""
        if self.size >= size:
            return True
        if self._begun == inf or self.silent_for(now) > SILENT_AFTER:
            return False
        self._move_mark(now)
        mean = self._mean_pace(now)
        goes_on = self._present_pace(now) >= PACE_PART * mean
        return goes_on and self.size + mean * max(0.0, by - now) >= size

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
