"""Which answers are slow, which may still be long at their request's time, and what stands still."""

from __future__ import annotations

import pytest

from jaspershelf.transfer_pace import LONG, LONG_WITHIN, STEP, AnswerPace, Headway


def paced(rate: float, begins: float, until: float, every: float = 0.05) -> AnswerPace:
    """An answer that has come in at so many bytes a second, in steps."""
    pace, at, size = AnswerPace(0.0), begins, 0.0
    while at <= until:
        size += rate * every
        pace.came(at, int(size))
        at += every
    return pace


@pytest.mark.parametrize(("rate", "begins", "time_up", "expected"), [
    (100.0, 0.0, 2.0, False), (200.0, 0.0, 0.4, False), (10e3, 0.0, 2.0, False),  # trickles
    (64e3, 0.0, 0.4, True), (48e3, 0.9, 1.0, True), (20e3, 0.0, 2.0, True), (20e3, 1.8, 2.0, False),
])
def test_only_an_answer_at_a_pace_that_makes_it_long_is_carried_on(
    rate: float, begins: float, time_up: float, expected: bool
) -> None:
    assert paced(rate, begins, time_up).may_be_long(time_up, time_up) == expected


def test_an_answer_that_is_carried_on_has_to_keep_its_pace() -> None:
    pace = paced(60e3, 0.0, 0.5)
    assert pace.may_be_long(0.55, 0.5)
    for step in range(1, 9):  # a trickle after it
        pace.came(0.5 + 0.05 * step, pace.size + 5)
    assert not pace.may_be_long(0.95, 0.5)
    silent = paced(60e3, 0.0, 0.5)
    assert not silent.may_be_long(0.95, 0.5)
    assert not paced(17e3, 0.0, 2.4).may_be_long(0.4 + LONG_WITHIN, 0.4), "not long in its time"


def test_one_that_is_long_or_says_so_is_carried_on_and_may_not_fall_silent_for_good() -> None:
    assert paced(1e6, 0.0, 0.2).may_be_long(60.0, 1.0)
    told = AnswerPace(0.0)
    told.told_long = True
    assert not told.may_be_long(0.5, 0.4), "nothing of it has come"
    told.came(0.1, 10)
    assert told.may_be_long(0.5, 0.4) and not told.may_be_long(2.2, 0.4)
    for step in range(60):
        told.came(0.1 + 0.05 * step, 10 + step)
    assert not told.may_be_long(0.4 + LONG_WITHIN, 0.4)


def test_what_is_silent_or_comes_slowly_is_slow() -> None:
    assert not AnswerPace(0.0).is_slow(0.3) and AnswerPace(0.0).is_slow(0.5)
    assert not paced(48e3, 0.0, 1.0).is_slow(1.0) and paced(200.0, 0.0, 1.0).is_slow(1.0)
    assert paced(48e3, 0.0, 1.0).is_slow(1.5)


def test_a_byte_now_and_then_is_no_headway() -> None:
    headway = Headway(0.0)
    assert headway.due(1.0, 100, 8.0) == headway.due(7.0, STEP - 1, 8.0) == 8.0
    assert headway.due(7.5, STEP, 8.0) == 15.5
    assert headway.due(8.0, 0, 8.0) == 16.0, "another transfer has begun"
    assert STEP <= LONG
