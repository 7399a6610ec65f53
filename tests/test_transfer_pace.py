"""What an answer will have brought by when, at its pace, and what stands still."""

from __future__ import annotations

import pytest

from jaspershelf.answer_forecast import may_become_long, reaches
from jaspershelf.transfer_pace import BURST_SPAN, LONG, STEP, AnswerPace, Headway


def paced(rate: float, begins: float, until: float, every: float = 0.05) -> AnswerPace:
    """An answer that has come in at so many bytes a second, in steps."""
    pace, at, size = AnswerPace(0.0), begins, 0.0
    while at <= until:
        size += rate * every
        pace.came(at, int(size))
        at += every
    return pace


@pytest.mark.parametrize(("rate", "begins", "now", "by", "expected"), [
    (100.0, 0.0, 2.0, 2.5, False), (200.0, 0.0, 0.4, 0.9, False), (10e3, 0.0, 2.0, 2.5, False),  # trickles
    (40e3, 0.0, 1.0, 1.5, False), (50e3, 0.0, 1.0, 1.5, True), (48e3, 0.9, 1.0, 1.5, False),
    (150e3, 0.9, 1.0, 1.5, True), (100e3, 0.0, 0.4, 0.9, True), (70e3, 0.0, 1.0, 1.0, True),
])
def test_an_answer_is_long_by_a_time_at_its_pace_alone(
    rate: float, begins: float, now: float, by: float, expected: bool
) -> None:
    assert reaches(paced(rate, begins, now), LONG + 1, now, by) == expected


def test_an_answer_has_to_keep_its_pace() -> None:
    pace = paced(100e3, 0.0, 0.4)
    assert reaches(pace, LONG + 1, 0.4, 0.9)
    for step in range(1, 10):  # a trickle after it
        pace.came(0.4 + 0.05 * step, pace.size + 5)
    assert not reaches(pace, LONG + 1, 0.85, 1.2)
    silent = paced(100e3, 0.0, 0.4)
    assert not reaches(silent, LONG + 1, 0.85, 9.0)


def test_what_has_come_is_reached_and_a_length_alone_is_no_pace() -> None:
    assert paced(1e6, 0.0, 0.2).is_long() and reaches(paced(1e6, 0.0, 0.2), LONG + 1, 60.0, 1.0)
    told = AnswerPace(0.0)
    told.told_size = 1 << 20
    assert told.says_long() and not told.says_short() and not told.is_known(9.0)
    assert not reaches(told, LONG + 1, 0.3, 0.9), "nothing of it has come"
    told.came(0.1, 10)
    assert not reaches(told, LONG + 1, 0.31, 0.9) and told.is_known(0.31)
    assert told.silent_for(0.5) == pytest.approx(0.4)


def test_the_largest_burst_is_what_has_come_within_a_short_time() -> None:
    pace = AnswerPace(0.0)
    for at, size in ((0.1, 10_000), (0.12, 20_000), (0.7, 45_000), (1.2, 46_000)):
        pace.came(at, size)
    assert pace.largest_burst == 25_000
    assert paced(100e3, 0.0, 1.0, 0.02).largest_burst < 100e3 * (BURST_SPAN + 0.021)


@pytest.mark.parametrize(("lumps", "told", "now", "expected"), [
    ([(0.1, 40_000)], None, 0.9, True), ([(0.1, 40_000)], 60_000, 0.9, False), ([], None, 0.9, True),
    ([(0.1, 5_000), (0.5, 5_000), (0.9, 5_000)], None, 1.0, False),
    ([(0.1, 20_000), (0.5, 20_000)], None, 1.0, True), ([(0.1, 40_000)], None, 2.2, False),
])
def test_an_answer_may_become_long_by_a_burst_like_those_so_far(
    lumps: list[tuple[float, int]], told: int | None, now: float, expected: bool
) -> None:
    pace, size = AnswerPace(0.0), 0
    pace.told_size = told
    for at, more in lumps:
        size += more
        pace.came(at, size)
    assert may_become_long(pace, now) == expected


def test_a_byte_now_and_then_is_no_headway() -> None:
    headway = Headway(0.0)
    assert headway.due(1.0, 100, 8.0) == headway.due(7.0, STEP - 1, 8.0) == 8.0
    assert headway.due(7.5, STEP, 8.0) == 15.5
    assert headway.due(8.0, 0, 8.0) == 16.0, "another transfer has begun"
    assert STEP <= LONG
