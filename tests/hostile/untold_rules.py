"""What rules for answers that tell no length would cost: long ones cut, and short ones that end too late.

Without processes: each answer is looked at once, as `RequestLease` does shortly before its request is lost.
`PYTHONPATH=tests:. python -m hostile.untold_rules` prints both errors of each rule over drawn answers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from terms import LATE_MOST, LONG, Timetable

from hostile.drawn_answers import draw
from hostile.slow_servers import Framing
from jaspershelf.answer_forecast import becomes_long_at
from jaspershelf.request_lease import LONG_AFTER
from jaspershelf.transfer_pace import AnswerPace

PATTERNS = 20_000
EVEN_ANSWERS = 30_000
WAITS = (0.3, 3.0)  # seconds
PACES = (48e3, 256e3)  # bytes a second
SIZES = (1e3, 32e6)  # bytes
HEADS = (0.02, 0.2)  # seconds
PIECE_EVERY = 0.05  # seconds


@dataclass(slots=True, frozen=True)
class Rule:
    """An answer is waited for where it will be long by a time; seconds after its request is lost."""

    forecast: float  # it will be long by then, at its pace; minus infinity: none is waited for
    wait: float  # until then


RULES = (Rule(-inf, 0.0), *(Rule(*row) for row in (
    (0.0, 0.0), (0.0, 0.05), (0.02, 0.05), (0.05, 0.05), (0.1, 0.1), (0.15, 0.15), (0.3, 0.3), (0.6, 0.6),
    (2.0, 2.0),
)))


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer that tells no length, and how long its client waits."""

    times: Timetable  # of its first bytes
    size: int  # of all of it
    wait: float

    def long_at(self) -> float:
        """When more than 64 KiB of it have been given."""
        return min((at for at, total in self.times.pieces if total > LONG), default=inf)


def drawn_answers() -> Iterator[Answer]:
    """The patterns of `hostile.drawn_answers`."""
    for number in range(PATTERNS):
        pattern = draw(number)
        if pattern.framing is not Framing.LENGTH:
            yield Answer(pattern.times, pattern.times.size(), pattern.wait)


def even_answers() -> Iterator[Answer]:
    """Answers in even pieces, of all sizes that the pages name, each order of magnitude as often."""
    rng = random.Random(1)
    for _ in range(EVEN_ANSWERS):
        wait, head = rng.uniform(*WAITS), rng.uniform(*HEADS)
        pace, size = _log_uniform(rng, PACES), int(_log_uniform(rng, SIZES))
        count = min(math.ceil(size / (pace * PIECE_EVERY)), int((wait + 4.0) / PIECE_EVERY))
        pieces = tuple((head + PIECE_EVERY * place, min(size, int(pace * PIECE_EVERY * (place + 1))))
                       for place in range(max(1, count)))
        yield Answer(Timetable(head, pieces), size, wait)


def _log_uniform(rng: random.Random, span: tuple[float, float]) -> float:
    return math.exp(rng.uniform(math.log(span[0]), math.log(span[1])))


@dataclass(slots=True)
class Cost:
    """What a rule does with some answers."""

    waits: int = 0
    long_cut: int = 0
    short_late: int = 0

    def add(self, rule: Rule, answer: Answer) -> None:
        """Look at one more."""
        looked_at, lost_at = answer.wait + LONG_AFTER, answer.wait + LATE_MOST
        whole_at = answer.times.whole_at()
        if answer.times.head_at > answer.wait or whole_at <= looked_at:
            return
        pace = AnswerPace(answer.times.head_at)
        for at, total in answer.times.pieces:
            if at <= looked_at:
                pace.came(at, total)
        if pace.is_long():
            return
        waits = becomes_long_at(pace, looked_at) <= lost_at + rule.forecast
        ends_at = lost_at + rule.wait if waits else looked_at
        self.waits += waits
        self.long_cut += answer.size > LONG and answer.long_at() > ends_at
        self.short_late += waits and answer.size <= LONG and whole_at > lost_at


def main() -> None:
    """Print each rule's cost."""
    for name, answers in (("drawn", list(drawn_answers())), ("even", list(even_answers()))):
        for rule in RULES:
            cost = Cost()
            for answer in answers:
                cost.add(rule, answer)
            print(f"{name}, long by {rule.forecast:+.2f} s, waits until {rule.wait:+.2f} s: "
                  f"{cost.waits} waited for, {cost.long_cut} long cut, {cost.short_late} short late")


if __name__ == "__main__":
    main()
