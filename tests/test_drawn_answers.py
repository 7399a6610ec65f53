"""Real processes and answers in drawn patterns: what is long is never cut while it is given."""

from __future__ import annotations

from pathlib import Path

import pytest
from hostile.drawn_answers import HoldUps, Shape, draw, play
from terms import LONG, Attempt, End, Observation, Timetable, attempts_fault

PATTERNS = 240  # `python -m hostile.drawn_answers` plays any number


@pytest.mark.parametrize(("copies", "hold_ups", "first"), [
    (True, HoldUps.NEVER, 0), (False, HoldUps.NEVER, PATTERNS), (True, HoldUps.OFTEN, 2 * PATTERNS),
    (True, HoldUps.BEFORE_TOO, 3 * PATTERNS),
], ids=["copies", "no copies", "held up", "held up before"])
def test_a_sound_answer_in_lumps_or_with_a_stop_is_not_cut_off_and_ends_in_its_time(
    copies: bool, hold_ups: HoldUps, first: int, tmp_path: Path
) -> None:
    played = play(tmp_path, range(first, first + PATTERNS), copies, hold_ups)
    assert played.broken == {}
    assert played.refused < 0.1 * played.requests


def test_a_pattern_is_drawn_alike_each_time_and_each_shape_is_drawn() -> None:
    patterns = [draw(number) for number in range(100)]
    assert patterns == [draw(number) for number in range(100)]
    assert {pattern.shape for pattern in patterns} == set(Shape)
    assert any(pattern.times.size() in (LONG, LONG + 1) for pattern in patterns)


SENT, WAIT = 10.0, 1.0
LUMPS = Timetable(0.1, ((0.2, 40_000), (1.3, 80_000), (2.0, 120_000)))
SLOW_LUMPS = Timetable(0.1, ((0.2, 40_000), (1.7, 80_000), (3.0, 120_000)))
SHORT = Timetable(0.1, ((0.2, 30_000), (0.8, 60_000)))
LATE_HEAD = Timetable(1.2, ((1.3, 120_000),))


def seen(end: End, at: float, received: int, first: float = 0.2, status: int = 200) -> Observation:
    """An answer whose client saw it end so many seconds after its request."""
    return Observation(
        SENT, WAIT, first_at=SENT + first, end=end, ended_at=SENT + at, status=status, received=received)


@pytest.mark.parametrize(("times", "tells", "observed", "broken"), [
    (LUMPS, False, seen(End.CUT, 1.3, 40_000), True), (LUMPS, True, seen(End.CUT, 1.3, 40_000), True),
    (LUMPS, False, seen(End.WHOLE, 1.0, 0, first=1.0, status=503), True),
    (SLOW_LUMPS, False, seen(End.CUT, 1.3, 40_000), False),  # nothing says that it is long
    (SLOW_LUMPS, False, seen(End.CUT, 1.6, 40_000), True),  # and so it has to end
    (SLOW_LUMPS, True, seen(End.CUT, 1.3, 40_000), True),
    (SLOW_LUMPS, True, seen(End.CUT, 2.9, 80_000), True),
    (SLOW_LUMPS, True, seen(End.WHOLE, 3.0, 120_000), False),
    (SLOW_LUMPS, True, seen(End.WHOLE, 3.0, 120_000, first=1.3), True),  # its first byte came too late
    (SHORT, True, seen(End.WHOLE, 0.8, 60_000), False), (SHORT, True, seen(End.CUT, 0.8, 30_000), True),
    (LATE_HEAD, True, seen(End.WHOLE, 1.0, 0, first=1.0, status=504), False),
    (LATE_HEAD, True, seen(End.CUT, 1.45, 100_000, first=1.2), True),
])
def test_what_a_drawn_answer_is_owed(
    times: Timetable, tells: bool, observed: Observation, broken: bool
) -> None:
    told = times.size() if tells else None
    observed.told = told if observed.status == 200 else None
    attempt = Attempt(SENT, times, told, head_given=True)
    assert bool(attempts_fault(observed, [attempt])) == broken
