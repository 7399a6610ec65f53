"""The simulation can fail: each of these mistakes in the program is caught by the rule on drains.

A mutation takes out one guard; some seed of the fault that the guard is for then has to show late attempts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import simulation

from jaspershelf.model import ListKind
from lugspur import discovery, proxy
from lugspur.backend_connection import Connection
from lugspur.discovery import Discovery
from lugspur.exchange import Exchange
from lugspur.proxy import Proxy
from lugspur.upstream import Upstream

SEEDS = range(30)  # played until one shows it
Mutate = Callable[[pytest.MonkeyPatch], None]


def no_look_before_the_write(patch: pytest.MonkeyPatch) -> None:
    transmit = Upstream._transmit

    def mutated(self: Upstream, exchange: Exchange, connection: Connection) -> None:
        backend = exchange.backend
        in_service, backend.in_service = backend.in_service, True
        transmit(self, exchange, connection)
        backend.in_service = in_service

    patch.setattr(Upstream, "_transmit", mutated)


def patches_ignored(patch: pytest.MonkeyPatch) -> None:
    told = Proxy._told

    def mutated(self: Proxy, kind: ListKind, endpoints: list[discovery.Endpoint]) -> None:
        told(self, kind, [] if kind is ListKind.PATCH else endpoints)

    patch.setattr(Proxy, "_told", mutated)


def one_patch_ignored(patch: pytest.MonkeyPatch) -> None:
    """The first one of each process."""
    told, ignored = Proxy._told, set[Proxy]()

    def mutated(self: Proxy, kind: ListKind, endpoints: list[discovery.Endpoint]) -> None:
        if endpoints and kind is ListKind.PATCH and self not in ignored:
            ignored.add(self)
            endpoints = []
        told(self, kind, endpoints)

    patch.setattr(Proxy, "_told", mutated)


def watch_never_reopened(patch: pytest.MonkeyPatch) -> None:
    call, called = Discovery._call, set[Discovery]()

    def mutated(self: Discovery) -> None:
        if self not in called:
            called.add(self)
            call(self)

    patch.setattr(Discovery, "_call", mutated)


def silence_never_noticed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(discovery, "SILENT", 1000.0)


def calls_given_up(patch: pytest.MonkeyPatch) -> None:
    """A call that waits for its turn is closed, and made anew at the end of the queue."""
    patch.setattr(Discovery, "_unanswered", Discovery._over)


def old_list_at_the_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxy, "KNOWN_MOST", 0.0)


def left_out_is_kept(patch: pytest.MonkeyPatch) -> None:
    """A whole list only adds to the one that is held."""
    told = Proxy._told

    def mutated(self: Proxy, kind: ListKind, endpoints: list[discovery.Endpoint]) -> None:
        told(self, ListKind.PATCH, endpoints)

    patch.setattr(Proxy, "_told", mutated)


def another_address_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Discovery, "move", lambda self, address: None)


def exclude_only_answered(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proxy, "_obey", lambda self, orders: None)


MUTATIONS: dict[str, tuple[Mutate, list[str]]] = {
    "no look at the server before the write": (no_look_before_the_write, ["late_dials"]),
    "patches are ignored": (patches_ignored, ["none"]),
    "one patch is ignored": (one_patch_ignored, ["none"]),
    "the watch is never reopened": (watch_never_reopened, ["broken_watches"]),
    "silence is never noticed": (silence_never_noticed, ["silent"]),
    "queued calls are given up": (calls_given_up, ["slow"]),
    "a new process serves by its old list": (old_list_at_the_start, ["restart", "slow"]),
    "what a whole list leaves out is kept": (left_out_is_kept, ["leaves_out"]),
    "another address is ignored": (another_address_ignored, ["sighup"]),
    "an exclude is only answered": (exclude_only_answered, ["exclude"]),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mistake_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    mutate, faults = MUTATIONS[name]
    mutate(monkeypatch)
    assert any(simulation.play(seed, faults).drains for seed in SEEDS)


def test_a_watch_without_a_timer_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def without_timer(self: Discovery, *_: Any) -> None:
        if self._due is not None:
            self._due.cancel()

    monkeypatch.setattr(Discovery, "_back_off", without_timer)
    assert any(simulation.play(seed, ["broken_watches"]).timers for seed in SEEDS)
