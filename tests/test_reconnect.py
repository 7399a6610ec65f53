"""When discovery is called again: what a fleet asks of it, and what the rule on drains leaves."""

from __future__ import annotations

import pytest

from jaspershelf.model import Discovery, Rules, Settings
from jaspershelf.reconnect import (
    BACKOFF_FIRST,
    BACKOFF_MOST,
    CUTS_QUICK,
    GROWTH_MOST,
    PATIENT_FAILURES,
    PUSHED_QUICK,
    QUEUED_MOST,
    REFUSED_FAILURES,
    SILENCE_SEEN_AFTER,
    START_SPREADS,
    TOLD_AFTER,
    TOLD_AFTER_MOVE,
    UNANSWERED_AFTER,
    Loss,
    ReconnectBackoff,
)

GRACE = 1.5
BEFORE = {Loss.ENDED: 0.0, Loss.SILENT: SILENCE_SEEN_AFTER, Loss.MOVED: 0.0}
TOLD = {Loss.ENDED: TOLD_AFTER, Loss.SILENT: TOLD_AFTER, Loss.MOVED: TOLD_AFTER_MOVE}


def made(
    draw: float, balancers: int = 400, discovery: Discovery = Discovery.ON_REQUEST, grace: float = GRACE
) -> ReconnectBackoff:
    settings = Settings(balancers=balancers, discovery=discovery, rules=Rules(drain_grace=grace))
    return ReconnectBackoff(settings, lambda: draw)


@pytest.mark.parametrize("discovery", list(Discovery))
def test_a_small_fleet_calls_again_soon(discovery: Discovery) -> None:
    backoff = made(1.0, 4, discovery)
    assert backoff.after_loss(Loss.MOVED, 0) == 0.0
    waits = [backoff.after_loss(Loss.ENDED, 0)]
    waits += [backoff.after_failure(2.0, failures, refused=failures % 2 == 0) for failures in range(1, 5)]
    assert waits == [BACKOFF_FIRST, 2 * BACKOFF_FIRST, 4 * BACKOFF_FIRST, BACKOFF_MOST, BACKOFF_MOST]
    assert backoff.after_no_answer(5000) == BACKOFF_MOST


@pytest.mark.parametrize("loss", list(Loss))
@pytest.mark.parametrize("grace", [0.5, 1.0, 1.5, 2.0])
def test_a_large_fleet_is_spread_over_what_the_rule_leaves(loss: Loss, grace: float) -> None:
    last = made(1.0, grace=grace).after_loss(loss, 0)
    assert made(0.0, grace=grace).after_loss(loss, 0) == 0.0
    assert made(0.5, grace=grace).after_loss(loss, 0) == pytest.approx(0.5 * last)
    assert last > 1.9
    assert BEFORE[loss] + last < TOLD[loss] + grace - 0.5, "no time for the answer"


def test_a_call_that_failed_is_made_again_once_in_the_time_that_the_rule_leaves() -> None:
    for draw in (0.0, 1.0):
        backoff = made(draw)
        backoff.after_loss(Loss.ENDED, 0)
        for age in (0.01, QUEUED_MOST, 2.0):
            interval = age + backoff.after_failure(age, 2)
            assert 4.5 < interval < TOLD_AFTER + GRACE - QUEUED_MOST


def test_processes_that_failed_together_are_spread_first() -> None:
    for draw, least, most in ((0.0, 0.0, 0.0), (1.0, 5.0, 6.0)):
        backoff = made(draw)
        backoff.answered()
        assert least <= backoff.after_failure(2.0, 0) <= most


def test_a_process_without_a_list_is_hurried_but_not_for_ever() -> None:
    backoff = made(1.0)
    waits = [backoff.after_failure(2.0, failures) for failures in range(3)]
    assert waits[:2] == list(START_SPREADS) and waits[2] > 5.0
    assert backoff.after_no_answer(0) == BACKOFF_FIRST
    backoff.answered()
    assert backoff.after_failure(2.0, 0) > 5.0


def test_the_interval_grows_where_calls_go_on_failing_and_is_bounded() -> None:
    backoff = made(1.0)
    backoff.after_loss(Loss.ENDED, 0)
    steady = backoff.after_failure(0.0, PATIENT_FAILURES)
    grown = [backoff.after_failure(0.0, PATIENT_FAILURES + more) for more in range(1, 20)]
    assert steady < grown[0] < grown[1] < grown[2]
    assert grown[-1] == grown[-2] == pytest.approx(5.5 * GROWTH_MOST)
    backoff.answered()
    backoff.after_loss(Loss.ENDED, 0)
    assert backoff.after_failure(0.0, REFUSED_FAILURES, refused=True) == steady
    assert backoff.after_failure(0.0, REFUSED_FAILURES + 1) > steady, "the refusal is forgotten"


def test_an_answer_that_was_cut_is_asked_for_at_once_but_not_for_ever() -> None:
    backoff = made(1.0)
    assert backoff.after_cut(0.1, 0) == BACKOFF_FIRST
    assert backoff.after_cut(0.1, CUTS_QUICK - 1) == BACKOFF_MOST
    assert backoff.after_cut(0.1, CUTS_QUICK) > BACKOFF_MOST


def test_an_unanswered_call_is_backed_by_another_in_time() -> None:
    backoff = made(1.0)
    backoff.answered()
    last = backoff.after_no_answer(0)
    assert BACKOFF_MOST < last < TOLD_AFTER + GRACE - UNANSWERED_AFTER - QUEUED_MOST


def test_where_lists_are_pushed_calls_are_quick_until_one_has_waited() -> None:
    backoff = made(1.0, discovery=Discovery.PUSHED)
    assert backoff.after_loss(Loss.ENDED, 0) < GRACE - 0.5, "what discovery has counts as told at once"
    assert backoff.after_failure(0.1, 9) <= BACKOFF_MOST
    assert backoff.after_failure(0.1, PUSHED_QUICK - 1, refused=True) <= BACKOFF_MOST
    assert backoff.after_failure(0.1, PUSHED_QUICK, refused=True) > BACKOFF_MOST
    backoff.answered()
    assert backoff.after_failure(0.1, 0) == BACKOFF_FIRST
    assert backoff.after_failure(2.0, 0, queued=True) > 5.0


def test_a_small_grace_hurries_where_lists_are_pushed() -> None:
    backoff = made(1.0, 4, Discovery.PUSHED, grace=0.5)
    assert max(backoff.after_failure(0.0, failures) for failures in range(9)) < 0.5
