"""A bounded part of `make faults`: a server leaves while calls fail; and a broken proxy is caught."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from faults.play import Verdict, run
from faults.sweep import Case, judge_all, pair, singles

from jaspershelf.decide import Balancer
from jaspershelf.model import ListKind
from lugspur.accept import Acceptor
from lugspur.discovery import Discovery
from lugspur.selector import SteadySelector

PARTS = ["watch recv ECONNRESET patch", "watch recv 1 byte whole", "watch connect EADDRNOTAVAIL patch",
         "watch epoll_register ENOSPC from 1 whole", "watch epoll_register ENOMEM from 2 patch",
         "server so_error ETIMEDOUT patch", "server epoll_register ENOMEM from 1 patch",
         "caller epoll_register ENOSPC from 1 patch", "caller accept EMFILE always whole",
         "caller accept EPROTO always patch", "caller send 1 byte patch", "any socket ENFILE patch"]
SEEDS = range(8)
PROCESSES = min(4, os.cpu_count() or 1)


def named(name: str) -> Case:
    """The case of this name."""
    return next(case for case in singles() if case.name == name)


def test_no_rule_is_broken_by_a_fault_nor_by_two() -> None:
    told: list[str] = []
    cases = [*map(named, PARTS), *map(pair, SEEDS)]
    assert judge_all(cases, PROCESSES, told.append) == [], told


def test_names_and_seeds_mean_the_same_each_time() -> None:
    assert [case.name for case in singles()] == [case.name for case in singles()]
    assert len({case.name for case in singles()}) == len(list(singles()))
    assert [pair(seed) for seed in range(50)] == [pair(seed) for seed in range(50)]


def never(*_: Any, **__: Any) -> None:
    """Does nothing."""


def ignore_patches(balancer: Balancer, now: float, kind: ListKind, rows: Any) -> Any:
    """A mutation: no patch is taken up."""
    return [] if kind is ListKind.PATCH else MEMBERS(balancer, now, kind, rows)


MEMBERS = Balancer.members
MUTATIONS: dict[str, tuple[str, type, str, Callable[..., Any], str]] = {
    "a patch is ignored": ("watch recv 1 byte patch", Balancer, "members", ignore_patches, "never learnt"),
    "a watch is never opened again": (
        "watch recv ECONNRESET patch", Discovery, "_call", never, "never learnt"),
    "accepting never goes on": (
        "caller accept EIO always patch", Acceptor, "_resume", never, "no new caller"),
    "what epoll refused is never asked again": (
        "caller epoll_register ENOSPC from 1 patch", SteadySelector, "_catch_up", never, "lost"),
}


def mutated(name: str) -> Verdict:
    """A play with this mutation, from just before the fault on."""
    case_name, owner, method, stand_in, _ = MUTATIONS[name]
    case = named(case_name)
    real = getattr(owner, method)

    def at(*ports: Any) -> Any:
        setattr(owner, method, stand_in)
        return case.at(*ports)

    try:
        return run(at, case.moment, case.seed)
    finally:
        setattr(owner, method, real)


def test_the_checkers_catch_a_broken_proxy() -> None:
    with ProcessPoolExecutor(len(MUTATIONS)) as pool:
        for name, verdict in zip(MUTATIONS, pool.map(mutated, MUTATIONS), strict=True):
            expected = MUTATIONS[name][-1]
            assert any(expected in broken for broken in verdict.breaks()), (name, verdict)
    assert not Verdict(learnt=0.1).breaks()


@pytest.mark.parametrize("verdict", [
    Verdict(learnt=0.1, late=1), Verdict(), Verdict(learnt=0.1, deaf=True), Verdict(learnt=0.1, lost=1),
    Verdict(learnt=0.1, notes=["x"] * 9), Verdict(learnt=0.1, failed_after=1),
])
def test_each_rule_is_told_when_broken(verdict: Verdict) -> None:
    assert len(verdict.breaks()) == 1
