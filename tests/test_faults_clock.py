"""Steps of the wall clock between two processes: no ban is forgotten, and state is as old as it is."""

from __future__ import annotations

import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from faults.clock import stepped

from jaspershelf.model import ServerMemory, TierMemory
from lugspur.discovery import server_id
from lugspur.orders import Orders
from lugspur.store import times
from lugspur.store.bans import AGE_MOST, DurableOrders
from lugspur.store.keeper import AGES, Keeper

STEPS = [-3600.0, -61.0, 0.0, 61.0, 3600.0]


def excluded(folder: Path) -> frozenset[str]:
    """What a new process finds out of use."""
    book = DurableOrders(folder, "n0")
    book.refresh()
    assert book.set_aside == 0
    return book.current.excluded


class Monotonic:
    """A monotonic clock that runs on by itself, and by what it is told."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.passed = 0.0
        real, wall = time.monotonic, time.time
        monkeypatch.setattr(time, "monotonic", lambda: real() + self.passed)
        monkeypatch.setattr(time, "time", lambda: wall() + self.passed)


@pytest.mark.parametrize("step", STEPS)
def test_a_ban_outlives_a_step_of_the_clock(step: float, tmp_path: Path) -> None:
    with stepped() as clock:
        DurableOrders(tmp_path, "n0").change(lambda _: Orders(frozenset({"a"})))
        clock.step(step)
        assert excluded(tmp_path) == {"a"}


@pytest.mark.parametrize("step", STEPS)
def test_a_ban_given_after_a_step_holds_over_the_next(step: float, tmp_path: Path) -> None:
    with stepped() as clock:
        book = DurableOrders(tmp_path, "n0")
        clock.step(step)
        book.change(lambda _: Orders(frozenset({"a"})))
        clock.step(-step)
        assert excluded(tmp_path) == {"a"}


@pytest.mark.parametrize("step", STEPS)
def test_a_ban_of_before_a_restart_of_the_machine_holds_too(
    step: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stepped() as clock:
        DurableOrders(tmp_path, "n0").change(lambda _: Orders(frozenset({"a"})))
        restart_machine(monkeypatch)
        clock.step(step)
        assert excluded(tmp_path) == {"a"}


def test_a_ban_that_is_too_old_is_passed_over_whatever_the_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monotonic = Monotonic(monkeypatch)
    with stepped() as clock:
        DurableOrders(tmp_path, "n0").change(lambda _: Orders(frozenset({"a"})))
        monotonic.passed = AGE_MOST + 1.0
        clock.step(-AGE_MOST)
        book = DurableOrders(tmp_path, "n0")
        assert not book.refresh() and book.set_aside == 1


def restart_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """The monotonic clock begins anew, under another name."""
    monkeypatch.setattr(times, "_read_boot_id", lambda: "another")
    real = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: real() / 2.0)


def kept(folder: Path, incarnation: int = 7) -> None:
    """A process has learned of one server, and has ended."""
    keeper = Keeper(folder, "n0")
    keeper.load(1)
    learned = ([ServerMemory(server_id("a"), 0.0, 1.0, 2.0, 3.0, 0.5, 4, 3, 1)],
               TierMemory(0.5, (0.5,), 1.0, 1, (2.0,)))
    balancer: Any = SimpleNamespace(learned=lambda now, since: learned)
    assert keeper._write(keeper._batch(0.0, balancer, incarnation)) == 1
    keeper._store.close()


def found(folder: Path) -> tuple[list[ServerMemory], int, float]:
    """What the next one finds, and its time."""
    keeper = Keeper(folder, "n0")
    servers, _ = keeper.load(1)
    keeper._store.close()
    assert keeper.counters["faults"] == 0
    return servers, keeper.incarnation, keeper._times.now()


@pytest.mark.parametrize("step", STEPS)
def test_what_was_learned_is_as_old_as_it_is(
    step: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monotonic = Monotonic(monkeypatch)
    with stepped() as clock:
        kept(tmp_path)
        for passed in (50.0, 100.0):  # also over what the process between has written anew
            monotonic.passed = passed
            clock.step(step)
            servers, incarnation, now = found(tmp_path)
            assert incarnation == 7 and len(servers) == 1
            assert passed <= now - servers[0].at < passed + 20.0
        monotonic.passed = AGES["server"] + 1.0
        clock.step(-100.0)  # by the wall clock it is young
        servers, incarnation, _ = found(tmp_path)
        assert incarnation == 7 and servers == []


@pytest.mark.parametrize(("step", "restored"), [(0.0, 1), (50.0, 1), (3600.0, 0), (-50.0, 1)])
def test_after_a_restart_of_the_machine_the_wall_clock_has_to_do(
    step: float, restored: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stepped() as clock:
        kept(tmp_path)
        restart_machine(monkeypatch)
        clock.step(step)
        servers, incarnation, _ = found(tmp_path)
        assert len(servers) == restored and incarnation == 7


def test_state_of_tomorrow_from_before_a_restart_is_set_aside(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stepped() as clock:
        kept(tmp_path)
        restart_machine(monkeypatch)
        clock.step(-3600.0)
        keeper = Keeper(tmp_path, "n0")
        assert keeper.load(1) == ([], None) and keeper.counters["faults"] > 0
        assert (tmp_path / "n0" / "set-aside").exists()
        keeper._store.close()


def test_a_boot_that_cannot_be_named_leaves_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(times, "_read_boot_id", lambda: Path("/missing/boot").read_text())
    assert times.boot_id() == ""
    kept(tmp_path)
    servers, incarnation, now = found(tmp_path)
    assert len(servers) == 1 and incarnation == 7 and 0.0 <= now - servers[0].at < 20.0
