"""Real processes between servers that answer a second time, late: no request gets another's answer."""

from __future__ import annotations

from pathlib import Path

import pytest
from hostile.spoilt_servers import Repeating
from hostile.steady_clients import play


@pytest.mark.parametrize(("takes", "after"), [
    (0.003, 0.002), (0.003, 0.004), (0.012, 0.004), (0.012, 0.008), (0.04, 0.006), (0.04, 0.009),
])
def test_no_request_gets_the_second_answer_to_another_one(takes: float, after: float, tmp_path: Path) -> None:
    seen = play(tmp_path, Repeating(takes, after))
    assert seen.wrong == []
    assert seen.served > 0.9 * (seen.served + seen.unserved) > 200


def test_servers_that_begin_to_repeat_answers_later_make_no_run_of_wrong_ones(tmp_path: Path) -> None:
    seen = play(tmp_path, Repeating(0.012, 0.008, from_answer=300))
    assert len(seen.wrong) <= 1
