"""The checkers of orders, state, clocks and the log fail on a proxy without the guard that each is about."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
import test_faults_clock as clocks
import test_faults_log as logs
import test_faults_orders as orders
import test_faults_store as stores
from faults.plan import ALWAYS

from lugspur.orders import OrderBook
from lugspur.store.files import Store
from lugspur.store.times import Timeline


def nothing(*_: object) -> None:
    """In place of a guard."""


def test_a_change_that_is_not_withdrawn(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OrderBook, "_withdraw", nothing)
    with pytest.raises(AssertionError):
        orders.test_a_no_has_no_effect_and_a_yes_holds_everywhere(
            orders.durable, "fsync", errno.EIO, "", 2, 1, tmp_path)


def test_a_lock_that_is_let_go_too_early(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lugspur.orders.os.dup", lambda _: (_ for _ in ()).throw(OSError()))
    with pytest.raises((AssertionError, OSError)):
        orders.test_a_withdrawal_that_fails_too_is_made_good(tmp_path)


def test_a_text_that_counts_as_seen_before_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = OrderBook._take_up

    def early(book: OrderBook, path: Path) -> bool:
        before = book._seen
        try:
            return real(book, path)
        except OSError:
            book._seen = before + 1
            raise

    monkeypatch.setattr(OrderBook, "_take_up", early)
    with pytest.raises(AssertionError):
        orders.test_an_order_whose_reading_fails_is_read_again(orders.plain, "read", errno.EIO, tmp_path)


def test_a_writer_that_goes_on_without_what_it_could_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lugspur.store.files.CLAIMS_STRICT", 0)
    with pytest.raises(AssertionError):
        stores.test_what_was_taken_is_found_after_any_fault("listdir", errno.EIO, 2, ALWAYS, tmp_path)


def test_a_batch_that_is_taken_though_its_sync_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = Store.append

    def careless(store: Store, batch: list[tuple[str, str, float, object]]) -> None:
        try:
            real(store, batch)
        except OSError:
            store.synced += 1

    monkeypatch.setattr(Store, "append", careless)
    with pytest.raises(AssertionError):
        stores.test_a_batch_whose_sync_failed_is_not_taken_for_written(tmp_path)


def test_ages_by_the_wall_clock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Timeline, "shift", lambda *_: 0.0)
    with pytest.raises(AssertionError):
        clocks.test_what_was_learned_is_as_old_as_it_is(3600.0, tmp_path, monkeypatch)


def test_a_log_that_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs, "WIDE", 0.3)
    monkeypatch.setattr("lugspur.events.select.poll", Ready)
    with pytest.raises(AssertionError):
        logs.test_a_pipe_that_nobody_reads_holds_nobody_up(monkeypatch)


class Ready:
    """A poll that always says that there is room."""

    def register(self, *_: int) -> None:
        """Whatever it is."""

    def poll(self, _: float) -> list[tuple[int, int]]:
        """It has room."""
        return [(2, 4)]
