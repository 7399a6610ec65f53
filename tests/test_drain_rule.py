"""The checker of the rule on drains: each of its lines, and what is a break and what is not."""

from __future__ import annotations

import dataclasses
import math

import pytest
from drain_rule import (
    Attempt,
    Call,
    Change,
    Exclusion,
    Message,
    Process,
    Rule,
    Silence,
    Span,
    Told,
    told,
    violations,
)

RULE = Rule(grace=0.5)
DRAIN = Change(10.0, 1, "s", usable=False)
BACK = Change(30.0, 2, "s", usable=True)
UP = [Span(0.0)]


def process(**facts: object) -> Process:
    """One that has run since 0 and can reach discovery all the time, but for these facts."""
    values: dict[str, object] = {"name": "p", "started": 0.0, "reachable": UP}
    return Process(**(values | facts))  # type: ignore[arg-type]


def broken(attempt_at: float, *changes: Change, rule: Rule = RULE, **facts: object) -> bool:
    """Whether an attempt to the server at that time breaks the rule."""
    return bool(violations(changes or [DRAIN], [process(**facts)], [Attempt(attempt_at, "p", "s")], rule))


@pytest.mark.parametrize(("facts", "expected"), [
    ({}, Told(16.0, "reachable")),
    ({"messages": [Message(10.2, 1)]}, Told(10.2, "written")),
    ({"messages": [Message(9.0, 0), Message(11.0, 0), Message(12.0, 3)]}, Told(12.0, "written")),
    ({"started": 12.0}, Told(12.0, "start")),
    ({"started": 12.0, "turned_away": [Span(9.0, 12.5)]}, Told(16.0, "reachable")),
    ({"started": 12.0, "turned_away": [Span(9.0, 11.9)]}, Told(12.0, "start")),
    ({"started": 12.0, "pushed": False}, Told(16.0, "reachable")),
    ({"started": 18.0, "pushed": False}, Told(18.0, "reachable")),
    ({"started": 12.0, "pushed": False, "reachable": [Span(12.0)]}, Told(18.0, "reachable")),
    ({"started": 12.0, "reachable": [Span(0.0, 11.0), Span(14.0)]}, Told(20.0, "reachable")),
    ({"reachable": [Span(0.0, 12.0), Span(20.0, 24.0), Span(25.0)]}, Told(31.0, "reachable")),
    ({"reachable": [Span(0.0, 12.0), Span(12.0, 15.0), Span(15.0)]}, Told(16.0, "reachable")),
    ({"reachable": [Span(0.0, 12.0)]}, Told(math.inf, "never")),
    ({"silences": [Silence(9.0)]}, Told(15.0, "silent")),
    ({"silences": [Silence(9.0, until=9.9)]}, Told(16.0, "reachable")),
    ({"silences": [Silence(1.0)]}, Told(10.0, "silent")),
    ({"silences": [Silence(8.0, poll_end=12.5)]}, Told(14.5, "long poll")),
    ({"silences": [Silence(9.0)], "reachable": [Span(0.0, 13.0), Span(14.0)]}, Told(20.0, "reachable")),
    ({"sighups": [11.0]}, Told(15.0, "sighup")),
    ({"sighups": [9.9]}, Told(16.0, "reachable")),
    ({"sighups": [11.0, 11.5, 12.0]}, Told(15.0, "sighup")),
    ({"sighups": [11.0, 12.0], "reachable": [Span(0.0, 11.0), Span(12.0)]}, Told(16.0, "sighup")),
    ({"sighups": [11.0], "reachable": [Span(0.0, 13.0)]}, Told(math.inf, "never")),
    ({"started": 11.0, "replaces": True, "upgrade_yes": 12.0}, Told(14.0, "upgrade")),
    ({"started": 11.0, "replaces": True}, Told(16.0, "reachable")),
])
def test_a_change_is_told_by_the_earliest_line(facts: dict[str, object], expected: Told) -> None:
    assert told(DRAIN, process(**facts), RULE) == expected


@pytest.mark.parametrize(("facts", "expected"), [
    ({}, Told(10.0, "agent")),
    ({"reachable": [Span(0.0, 8.0), Span(20.0)]}, Told(20.0, "agent")),
    ({"started": 12.0}, Told(12.0, "agent")),
    ({"started": 11.0, "replaces": True, "upgrade_yes": 12.0}, Told(14.0, "agent")),
    ({"started": 11.0, "replaces": True}, Told(16.0, "reachable")),
    ({"pushed": False}, Told(16.0, "reachable")),
    ({"sighups": [9.0]}, Told(13.0, "agent")),
    ({"sighups": [9.0, 12.0]}, Told(16.0, "agent")),
    ({"sighups": [5.0, 11.0]}, Told(10.0, "agent")),
])
def test_taken_literally_the_agent_tells_at_once(facts: dict[str, object], expected: Told) -> None:
    assert told(DRAIN, process(**facts), Rule(0.5, agent_delay=0.0)) == expected


@pytest.mark.parametrize(("facts", "expected"), [
    ({"calls": [Call(9.0)]}, Told(12.0, "asked")),  # so long after it was made
    ({"calls": [Call(9.9), Call(11.9)]}, Told(13.9, "asked")),  # so long after the last call
    ({"calls": [Call(9.9, failed=True)], "reachable": [Span(0.0, 11.0), Span(16.0)]}, Told(18.0, "asked")),
    ({"calls": [Call(6.0, failed=True)]}, Told(14.0, "asked")),  # four times as long
    ({"calls": [Call(1.0)], "watches": [Span(1.0, 13.0)]}, Told(13.0, "asked")),
    ({"calls": [Call(1.0)], "watches": [Span(1.0)]}, Told(16.0, "reachable")),
    ({"calls": [Call(1.0)], "watches": [Span(1.0)], "messages": [Message(10.0, 1)]}, Told(10.0, "written")),
])
def test_where_it_is_asked_for_a_change_is_held_back_by_calls(
    facts: dict[str, object], expected: Told
) -> None:
    assert told(DRAIN, process(pushed=False, **facts), Rule(0.5, ask_every=2.0)) == expected


def test_an_attempt_may_begin_within_the_grace_and_its_slack() -> None:
    heard = [Message(10.2, 1)]
    assert not broken(10.0, messages=heard)
    assert not broken(10.7499, messages=heard)
    assert broken(10.7501, messages=heard)


def test_a_server_may_be_used_before_its_drain_and_after_its_return() -> None:
    assert not broken(9.0, DRAIN, BACK)
    assert broken(29.9, DRAIN, BACK)
    assert broken(30.0, DRAIN, BACK), "nobody has told the process that it is back"
    assert broken(35.9, DRAIN, BACK)
    assert not broken(36.0, DRAIN, BACK)
    assert not broken(30.3, DRAIN, BACK, messages=[Message(30.2, 2)])
    assert broken(50.0, DRAIN, BACK, Change(40.0, 3, "s", usable=False))


def test_the_drain_of_another_server_is_no_break() -> None:
    assert not broken(50.0, dataclasses.replace(DRAIN, server="t"))


def test_an_older_snapshot_puts_nothing_back() -> None:
    late = [Message(10.0, 1), Message(12.0, 0, whole=True, in_service=frozenset({"s"}))]
    assert broken(13.0, messages=late)


def test_what_a_whole_list_leaves_out_is_gone_until_it_is_named_again() -> None:
    other = Change(0.0, 1, "s", usable=True)
    left_out = Message(10.0, 1, whole=True, in_service=frozenset())
    named = Message(20.0, 1, in_service=frozenset({"s"}))
    assert not broken(10.4, other, messages=[left_out, named])
    assert broken(19.0, other, messages=[left_out, named])
    assert not broken(20.0, other, messages=[left_out, named])


def test_a_patch_or_an_older_list_leaves_nothing_out() -> None:
    other = Change(0.0, 1, "s", usable=True)
    assert not broken(19.0, other, messages=[Message(10.0, 1)])
    assert not broken(19.0, other, messages=[Message(9.0, 1), Message(10.0, 0, whole=True)])


@pytest.mark.parametrize(("order", "first_break"), [
    (Exclusion("s", 5.0, answered=5.2), 5.75),
    (Exclusion("s", 5.0, answered=8.0), 6.55),
    (Exclusion("s", 5.0), 6.55),
])
def test_an_excluded_server_drains_whatever_the_list_says(order: Exclusion, first_break: float) -> None:
    listed = Change(0.0, 1, "s", usable=True)
    assert not broken(first_break - 0.001, listed, exclusions=[order])
    assert broken(first_break + 0.001, listed, exclusions=[order])
    assert not broken(20.0, listed, exclusions=[dataclasses.replace(order, included=20.0)])


def test_a_violation_says_what_was_told_and_when() -> None:
    found = violations([DRAIN], [process(messages=[Message(10.2, 1)])], [Attempt(14.0, "p", "s")], RULE)
    assert [str(violation) for violation in found] == [
        "p wrote to s at 14.000, 3.800 s after it was told (written) at 10.200; it changed at 10.000"
    ]


def test_each_process_is_held_to_what_it_was_told_itself() -> None:
    knows, other = process(messages=[Message(10.0, 1)]), process(name="q")
    attempts = [Attempt(12.0, "p", "s"), Attempt(12.0, "q", "s")]
    assert [found.attempt.process for found in violations([DRAIN], [knows, other], attempts, RULE)] == ["p"]
