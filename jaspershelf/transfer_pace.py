"""How quickly a transfer goes on: what of an answer has come, at which pace, and what stands still.

Only measures: what may still come is `answer_forecast`'s to say, by when a request ends `request_lease`'s.
"""

from __future__ import annotations

from math import inf

LONG = 64 << 10  # bytes beyond which an answer is timed by its first byte
PACE_SPAN = 0.2  # seconds over which the present pace is measured, at the least
SILENT_AFTER = 0.4  # seconds without a byte after which an answer has fallen silent
BURST_SPAN = 0.16  # seconds within which bytes count as one burst
STEP = 64 << 10  # bytes of a transfer, each further of which has to be moved within a time


class AnswerPace:
    """The pace of one answer's body; all times are seconds of one clock, all sizes bytes."""

    __slots__ = (
        "_begun", "_burst", "_burst_at", "_first", "_last", "_mark", "_since", "largest_burst", "size",
        "told_size",
    )

    def __init__(self, now: float) -> None:
        """`now`: its first line has come."""
        self.size = 0
        self.told_size: int | None = None  # as its length says; None: it does not say
        self._begun = inf  # when the first of its body came...
        self._first = 0  # ...how much that was...
        self._last = now  # ...and when the last came
        self.largest_burst = 0  # bytes that have come within a short time, at the most
        self._burst_at = -inf  # when the present burst began...
        self._burst = 0  # ...and what has come of it
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
        self._note_burst(now, size - self.size)
        self.size, self._last = size, now

    def has_begun(self) -> bool:
        """Whether any of its body has come."""
        return self._begun < inf

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

    def mean_pace(self, now: float) -> float:
        """Bytes a second: of what has come after its first piece, once there was time for more."""
        begun_for = now - self._begun
        return self.size / PACE_SPAN if begun_for < PACE_SPAN else (self.size - self._first) / begun_for

    def pace_between_pieces(self) -> float:
        """Bytes a second from its first piece to its last one; 0 before there was time for more than one."""
        span = self._last - self._begun
        return (self.size - self._first) / span if span >= PACE_SPAN else 0.0

    def present_pace(self, now: float) -> float:
        """Bytes a second that come now."""
        self._move_mark(now)
        at, size = self._since
        return (self.size - size) / max(now - at, PACE_SPAN)

    def _note_burst(self, now: float, size: int) -> None:
        if now - self._burst_at >= BURST_SPAN:
            self._burst_at, self._burst = now, 0
        self._burst += size
        self.largest_burst = max(self.largest_burst, self._burst)

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
