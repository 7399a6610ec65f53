"""Whether a server answers requests a second time, late, and how long its connections rest for that.

A second answer that comes once the next request is written is taken for that request's own: nothing in
HTTP/1.1 tells them apart. One that comes while its connection rests serves nobody, and tells of its server.
So the connections of a server rest until some have done so with nothing coming, those of one that has
repeated an answer rest for longer, and those of a sound server do not have to.
"""

from __future__ import annotations

from math import inf

REST = 0.01  # seconds after an answer in which a second one may come
REST_OF_REPEATING = 0.1  # the same at a server that has given one
REPEATING_FOR = 60.0  # seconds after a second answer for which its server is held to repeat itself
RESTS_OF_SOUND = 32  # rests in which nothing came, after which a server is taken for a sound one
NEW_EVERY = 4  # times that no connection has rested, of which one has another made
SMOOTHING = 8.0  # answers over which a server's usual time is smoothed
EARLY_PART = 0.5  # of its server's usual time, under which an answer may be a second one


class RepeatedAnswers:
    """What one server has shown; all times are seconds of one clock."""

    __slots__ = ("_repeating_until", "_rests", "_short_of_rested", "_usual")

    def __init__(self) -> None:
        self._rests = 0  # in a row, in which nothing came
        self._repeating_until = -inf
        self._short_of_rested = 0  # times that no connection had rested
        self._usual = 0.0  # seconds until its answers begin

    def rest_needed(self, now: float, safe: bool) -> float:
        """Seconds that a connection has to rest before a request; `safe`: that may simply be repeated."""
        if now < self._repeating_until:
            return REST_OF_REPEATING
        return 0.0 if safe and self._rests >= RESTS_OF_SOUND else REST

    def rested(self) -> None:
        """A connection has rested, and nothing came on it."""
        self._rests = min(self._rests + 1, RESTS_OF_SOUND)

    def repeated(self, now: float) -> None:
        """A second answer has come."""
        self._rests = 0
        self._repeating_until = now + REPEATING_FOR

    def wants_new(self, missing: float) -> bool:
        """Whether to make another connection where the most rested one still has to rest for so long."""
        self._short_of_rested += 1
        return missing > REST or self._short_of_rested % NEW_EVERY == 0

    def is_early(self, since_answer: float, took: float) -> bool:
        """Whether an answer may be a second one to the request before, so that its connection is not kept.

        It came so long after the one before on its connection, and after its request.
        """
        return since_answer < REST and took < EARLY_PART * self._usual

    def answered(self, took: float) -> None:
        """An answer has begun so long after its request."""
        self._usual += (took - self._usual) / SMOOTHING if self._usual else took
