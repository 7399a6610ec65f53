"""Real processes between servers that answer a second time, late: no request gets another's answer."""

from __future__ import annotations

from math import inf
from pathlib import Path

import pytest
from hostile.spoilt_servers import Repeating
from hostile.steady_clients import play

from jaspershelf.repeated_answers import (
    COMMON_MOST,
    DISTINCT_NEEDED,
    REMEMBERED,
    CommonAnswers,
    ConnectionAnswers,
    RepeatedAnswers,
)


@pytest.mark.parametrize(("takes", "after"), [
    (0.003, 0.002), (0.003, 0.004), (0.012, 0.004), (0.012, 0.008), (0.04, 0.006), (0.04, 0.009),
])
def test_no_request_gets_the_second_answer_to_another_one(takes: float, after: float, tmp_path: Path) -> None:
    seen = play(tmp_path, Repeating(takes, after))
    assert seen.wrong == []
    assert seen.served > 0.9 * (seen.served + seen.unserved) > 200


@pytest.mark.parametrize(("takes", "after", "every"), [
    (0.012, 0.008, 5), (0.003, 0.015, 33), (0.012, 0.02, 33), (0.012, 0.02, 200), (0.04, 0.03, 33),
])
def test_the_first_repeat_of_a_server_that_was_sound_serves_nobody(
    takes: float, after: float, every: int, tmp_path: Path
) -> None:
    seen = play(tmp_path, Repeating(takes, after, every=every, from_answer=300), 5.0)
    assert seen.wrong == []
    assert seen.served > 0.9 * (seen.served + seen.unserved) > 200


def repeat_serves(history: list[tuple[int, int]], connection: int, digest: int) -> bool:
    """Whether an answer is doubtful after these answers, each the connection's and the digest's number."""
    common = CommonAnswers()
    connections: dict[int, ConnectionAnswers] = {}
    for number, seen in [*history, (connection, -1)]:
        answers = connections.setdefault(number, ConnectionAnswers(common, number))
        if seen >= 0:
            answers.note(seen, 1.0)
    return connections[connection].is_doubtful(digest)


@pytest.mark.parametrize(("history", "doubtful"), [
    ([], False), ([(1, 7)], True), ([(1, 7), (1, 8), (1, 9)], True), ([(2, 7)], False),
    ([(1, 7), (2, 7)], False),  # a second answer comes on the same connection: this is what many get
    ([(1, 7), *((1, other) for other in range(10, 10 + REMEMBERED))], False),
])
def test_only_an_answer_of_the_same_connection_that_others_do_not_get_is_doubtful(
    history: list[tuple[int, int]], doubtful: bool
) -> None:
    assert repeat_serves(history, 1, 7) == doubtful


def test_one_that_was_waited_beside_in_vain_is_doubted_no_more_and_memory_is_bounded() -> None:
    common = CommonAnswers()
    answers = ConnectionAnswers(common, 1)
    answers.note(7, 1.0)
    assert answers.is_doubtful(7)
    answers.accept(7, 2.0)
    assert not answers.is_doubtful(7)
    for digest in range(1000, 1000 + 3 * COMMON_MOST):
        common.seen(digest, 2)
        common.accepted(digest)
    assert len(common._seen_on) <= COMMON_MOST >= len(common._common)


@pytest.mark.parametrize(("distinct", "alike", "age", "expected"), [
    (DISTINCT_NEEDED, False, 5.0, inf), (DISTINCT_NEEDED, True, 0.001, 0.0), (2, False, 5.0, 0.0),
    (2, False, 0.01, 0.04), (2, True, 0.01, 0.0),
])
def test_how_long_another_answer_is_waited_for_by_what_a_server_has_shown(
    distinct: int, alike: bool, age: float, expected: float
) -> None:
    repeats = RepeatedAnswers()
    repeats.answered(0.01)
    for _ in range(distinct):
        repeats.was_distinct()
    if alike:
        repeats.was_alike()
    assert repeats.doubt_for(0.0, age) == pytest.approx(expected)
    repeats.repeated(1.0)
    assert repeats.is_repeating(2.0) and not repeats.is_repeating(1000.0)
