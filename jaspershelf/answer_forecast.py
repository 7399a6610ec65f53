"""What an answer may still become, where no fact says it: forecasts alone, each of which may be wrong.

What is known (bytes that have come, a length that is told) is `transfer_pace`'s, and goes before a forecast.
An error costs as follows. `becomes_long_at` decides whether an answer is waited for beyond the last moment at
which a short one could end in time: a long one is cut, or a short one ends too late. `will_be_late` decides
whether another server is asked: an attempt too many, or one too late. `may_become_long` decides how shortly
before a request is lost an answer that is not long yet is ended: a long one is cut, or a short one ends late
where the process is held up just then.
"""

from __future__ import annotations

from math import inf

from jaspershelf.transfer_pace import LONG, SILENT_AFTER, AnswerPace

PACE_PART = 0.25  # of an answer's mean pace, below which it has fallen behind
SILENT_MOST = 2.0  # seconds of its server's silence after which nothing more is waited for
BURST_MARGIN = 2.0  # times the most that has come at once, that may come at once next
EVEN_GAP = 0.1  # seconds between two pieces of an answer that comes evenly, at the most
EVEN_PART = 0.5  # of its mean pace, that comes now of such an answer, at the least
SIZES_SEEN = 8.0  # whole answers of a class over which what is usual is smoothed
USUALLY_LONG = 0.5  # part of them that are long, from which on the next one is expected to be


class AnswerSizes:
    """How large the whole answers of one class have been."""

    __slots__ = ("_largest_short", "_long_part")

    def __init__(self) -> None:
        self._long_part = 0.0
        self._largest_short = 0

    def note(self, size: int) -> None:
        """An answer was whole, with so many bytes."""
        self._long_part += ((size > LONG) - self._long_part) / SIZES_SEEN
        if size <= LONG:
            self._largest_short = max(self._largest_short, size)

    def expected(self, come: int) -> int:
        """The size of an answer that does not tell its own, of which so much has come."""
        if self._long_part >= USUALLY_LONG:
            return LONG + 1
        return self._largest_short if self._largest_short > come else LONG


def reaches(answer: AnswerPace, size: int, now: float, by: float) -> bool:
    """Whether so many bytes will have come by then, at the pace at which they come now."""
    if answer.size >= size:
        return True
    if not answer.has_begun() or answer.silent_for(now) > SILENT_AFTER:
        return False
    mean = answer.mean_pace(now)
    goes_on = answer.present_pace(now) >= PACE_PART * mean
    return goes_on and answer.size + mean * max(0.0, by - now) >= size


def will_be_late(answer: AnswerPace, sizes: AnswerSizes, now: float, whole_by: float, long_by: float) -> bool:
    """Whether an answer will be neither whole by the one time nor long by the other, at its pace."""
    if answer.is_long():
        return False
    size = answer.told_size if answer.told_size is not None else sizes.expected(answer.size)
    if size > LONG:
        return not reaches(answer, LONG + 1, now, long_by)
    return not reaches(answer, size, now, whole_by)


def becomes_long_at(answer: AnswerPace, now: float) -> float:
    """When an answer that comes evenly will be long, at its pace; infinite where it does not come evenly."""
    pace, silent_for = answer.pace_between_pieces(), answer.silent_for(now)
    if answer.says_short() or silent_for > EVEN_GAP or not pace:
        return inf
    if answer.present_pace(now) < EVEN_PART * pace:
        return inf
    return now - silent_for + max(0, LONG + 1 - answer.size) / pace


def may_become_long(answer: AnswerPace, now: float) -> bool:
    """Whether one more burst, larger than any so far, may make an answer long; its pace need not be even."""
    if answer.says_short() or answer.silent_for(now) > SILENT_MOST:
        return False
    return not answer.is_known(now) or answer.size + BURST_MARGIN * answer.largest_burst > LONG
