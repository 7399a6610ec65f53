"""Whether a server answers requests a second time, late, and how long its connections rest for that.

A second answer that comes once the next request is written is taken for that request's own: nothing in
HTTP/1.1 tells them apart. One that comes while its connection rests serves nobody, and tells of its server.
So the connections of a server rest until some have done so with nothing coming, those of one that has
repeated an answer rest for longer, and those of a sound server do not have to.
"""

from __future__ import annotations

from collections import OrderedDict
from math import inf

REST = 0.01  # seconds after an answer in which a second one may come
REST_OF_REPEATING = 0.1  # the same at a server that has given one
REPEATING_FOR = 60.0  # seconds after a second answer for which its server is held to repeat itself
RESTS_OF_SOUND = 32  # rests in which nothing came, after which a server is taken for a sound one
NEW_EVERY = 4  # times that no connection has rested, of which one has another made
SMOOTHING = 8.0  # answers over which a server's usual time is smoothed
EARLY_PART = 0.5  # of its server's usual time, under which an answer may be a second one
REMEMBERED = 16  # answers of one connection that the next one is compared with
COMMON_MOST = 256  # answers of all servers that are remembered as what more than one request may get
DISTINCT_NEEDED = 16  # answers in a row, none like another, after which a server's answers are all distinct
REPEAT_SOON = 0.02  # seconds after an answer in which one like it is doubted before that...
DOUBT_TIMES = 4.0  # ...for so many times its server's usual time


class RepeatedAnswers:
    """What one server has shown; all times are seconds of one clock."""

    __slots__ = ("_alike", "_distinct", "_repeating_until", "_rests", "_short_of_rested", "_usual")

    def __init__(self) -> None:
        self._rests = 0  # in a row, in which nothing came
        self._repeating_until = -inf
        self._short_of_rested = 0  # times that no connection had rested
        self._usual = 0.0  # seconds until its answers begin
        self._distinct = 0  # answers in a row that were like no other
        self._alike = False  # one was like another, and its request's own

    def rest_needed(self, now: float, safe: bool) -> float:
        """Seconds that a connection has to rest before a request; `safe`: that may simply be repeated."""
        if self.is_repeating(now):
            return REST_OF_REPEATING
        return 0.0 if safe and self._rests >= RESTS_OF_SOUND else REST

    def rested(self) -> None:
        """A connection has rested, and nothing came on it."""
        self._rests = min(self._rests + 1, RESTS_OF_SOUND)

    def repeated(self, now: float) -> None:
        """A second answer has come."""
        self._rests = 0
        self._alike = False
        self._repeating_until = now + REPEATING_FOR

    def is_repeating(self, now: float) -> bool:
        """Whether its server has answered a second time lately."""
        return now < self._repeating_until

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

    def doubt_for(self, took: float, age: float) -> float:
        """Seconds for which to wait for another answer, where one came that is like an earlier one.

        `took` is the time since its request, `age` since the earlier one. As long as its request has time
        where all answers were distinct: then it is hardly the request's own.
        """
        if self._alike:
            return 0.0
        if self._distinct >= DISTINCT_NEEDED:
            return inf
        return max(0.0, DOUBT_TIMES * self._usual - took) if age < REPEAT_SOON else 0.0

    def was_distinct(self) -> None:
        """An answer was like none before it."""
        self._distinct += 1

    def was_alike(self) -> None:
        """No other answer came though it was waited for: answers may be alike."""
        self._distinct = 0
        self._alike = True


class CommonAnswers:
    """Answers that different requests have got, as a fixed page is: to get one of them tells nothing.

    An answer is known by a digest of all in it that is not the time of day.
    """

    def __init__(self) -> None:
        self._seen_on: OrderedDict[int, int] = OrderedDict()  # by digest: the first connection that had it
        self._common: OrderedDict[int, None] = OrderedDict()

    def is_common(self, digest: int) -> bool:
        """Whether it is known that more than one request gets this."""
        return digest in self._common

    def seen(self, digest: int, connection: int) -> None:
        """A connection of this number has brought this: a second one of it would come on the same one."""
        first = self._seen_on.setdefault(digest, connection)
        if first != connection:
            self.accepted(digest)
        if len(self._seen_on) > COMMON_MOST:
            self._seen_on.popitem(last=False)

    def accepted(self, digest: int) -> None:
        """Nothing else came though it was waited for: it was the answer."""
        self._common[digest] = None
        if len(self._common) > COMMON_MOST:
            self._common.popitem(last=False)


class ConnectionAnswers:
    """The last answers of one connection, of which one that comes again serves nobody."""

    __slots__ = ("_common", "_last", "_number")

    def __init__(self, common: CommonAnswers, number: int) -> None:
        """`number` is the connection's own."""
        self._common = common
        self._last: tuple[tuple[int, float], ...] = ()  # their digests, and when they came
        self._number = number

    def is_doubtful(self, digest: int) -> bool:
        """Whether an answer is one of the last on this connection again, and not one that many get."""
        return any(digest == last for last, _ in self._last) and not self._common.is_common(digest)

    def age(self, digest: int, now: float) -> float:
        """Seconds since this one came last; infinite where it is not remembered."""
        return now - max((at for last, at in self._last if last == digest), default=-inf)

    def note(self, digest: int, now: float) -> None:
        """This one has served its request."""
        self._last = (*self._last[1 - REMEMBERED:], (digest, now))
        self._common.seen(digest, self._number)

    def accept(self, digest: int, now: float) -> None:
        """A doubtful one has served its request: no other came."""
        self._common.accepted(digest)
        self.note(digest, now)
