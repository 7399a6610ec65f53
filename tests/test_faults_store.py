"""The state directory under failing calls: nothing is taken for written that is not, nothing good is lost."""

from __future__ import annotations

import asyncio
import errno
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from faults.calls import injected
from faults.plan import ALWAYS, Fault, Plan
from loopback import until

from jaspershelf.model import TierMemory
from lugspur.serial_executor import SerialExecutor
from lugspur.store import frames, keeper
from lugspur.store.files import CLAIMS_STRICT, Entry, Store, read_state
from lugspur.store.keeper import Keeper

NOW = 1_800_000_000.0
FAULTS = [("open", errno.EMFILE), ("write", errno.ENOSPC), ("write", errno.EIO), ("fsync", errno.EIO),
          ("rename", errno.EIO), ("listdir", errno.EIO), ("flock", errno.ENOLCK), ("unlink", errno.EIO),
          ("replace", errno.EIO), ("read", errno.EIO)]


def made(folder: Path) -> Store:
    """A store that nobody writes yet."""
    return Store(folder, "n0", NOW, lambda *_: None)


def row(number: int) -> list[tuple[str, str, float, Any]]:
    """A batch: what is named last tells how far it came."""
    return [("k", "last", NOW, number), ("k", f"{number}", NOW, number)]


def numbers(folder: Path) -> set[int]:
    """The batches that a reader finds."""
    return {int(key) for _, key in read_state(folder, "n0", NOW, lambda *_: None) if key != "last"}


def append(store: Store, number: int) -> bool:
    """Whether it was taken."""
    try:
        if not store.claim(NOW):
            return False
        store.append(row(number))
    except OSError:
        return False
    return True


@pytest.mark.parametrize(("call", "error"), FAULTS)
@pytest.mark.parametrize("first", range(1, 7))
@pytest.mark.parametrize("count", [1, 2, ALWAYS])
def test_what_was_taken_is_found_after_any_fault(
    call: str, error: int, first: int, count: int, tmp_path: Path
) -> None:
    """Also what was there before, by a reader that sees all of it at each moment."""
    store = made(tmp_path)
    taken = {number for number in range(1, 4) if append(store, number)}
    store.close()
    assert taken == {1, 2, 3}
    plan = Plan([Fault(call, error, first=first, count=count, path=str(tmp_path))])
    with injected(plan):
        store = made(tmp_path)
        for number in range(4, 10):
            if append(store, number):
                taken.add(number)
            if number == 6 and store.writing:
                with suppress(OSError):
                    store.compact()
            plan.active = False
            assert taken <= numbers(tmp_path)
            plan.active = number < 8
    assert append(store, 10)
    taken.add(10)
    store.close()
    assert taken <= numbers(tmp_path)


@pytest.mark.parametrize("limit", [1, 7])
def test_short_writes_and_reads_change_nothing(limit: int, tmp_path: Path) -> None:
    faults = [Fault(call, limit=limit, count=ALWAYS, path=str(tmp_path)) for call in ("write", "read")]
    with injected(Plan(faults)) as plan:
        store = made(tmp_path)
        assert all(append(store, number) for number in (1, 2))
        store.close()
        assert numbers(tmp_path) == {1, 2} and min(plan.hits) > 0


def test_a_batch_whose_sync_failed_is_not_taken_for_written(tmp_path: Path) -> None:
    store = made(tmp_path)
    assert append(store, 1)
    with injected(Plan([Fault("fsync", errno.EIO)])):
        assert not append(store, 2)
    assert store.synced == 1 and ("k", "2") not in store.state
    before = {path.name for path in tmp_path.iterdir()}
    assert append(store, 3)
    assert {path.name for path in tmp_path.iterdir()} != before, "no new generation"
    assert store.state["k", "last"] == Entry(NOW, 3)
    store.close()


@pytest.mark.parametrize(("name", "text"), [
    ("snapshot", b""), ("snapshot", b"torn"), ("log", b""), ("snapshot", b"version"), ("log", b"foreign"),
])
def test_a_file_that_does_not_check_is_set_aside(name: str, text: bytes, tmp_path: Path) -> None:
    store = made(tmp_path)
    assert append(store, 1)
    store.close()
    path = max(tmp_path.glob(f"{name}-*"))
    good = path.read_bytes()
    if text == b"torn":
        text = good[:-3]
    elif text in (b"version", b"foreign"):
        changed = {"version": 9} if text == b"version" else {"name": "n1"}
        text = frames.pack(frames.Header(name, "n0", NOW, 1).payload() | changed)
    path.write_bytes(text)
    words: list[str] = []
    store = Store(tmp_path, "n0", NOW, lambda _, word: words.append(word))
    assert store.claim(NOW) and len(words) == 1
    assert (tmp_path / "set-aside").read_bytes() == text
    assert append(store, 2)
    store.close()
    assert 2 in numbers(tmp_path)


class Learned:
    """A module that has always learned the same."""

    def learned(self, now: float, since: float) -> tuple[list[Any], TierMemory]:
        """No server, and the tier."""
        return [], TierMemory(0.5, (0.5,), 1.0, 1, (2.0,))


@pytest.mark.parametrize("fault", [
    Fault("fsync", errno.EIO, first=5, count=2), Fault("write", errno.ENOSPC, first=3, count=2),
    Fault("thread", count=2),
])
def test_what_could_not_be_written_is_written_later(
    fault: Fault, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The incarnation too, which changes once alone."""
    monkeypatch.setattr(keeper, "KEEP_EVERY", 0.01)

    async def play() -> None:
        keeping = Keeper(tmp_path, "n0")
        balancer: Any = Learned()
        with injected(Plan([fault])) as plan:
            keeping.load(1)
            keeping.open(balancer, lambda: NOW, lambda: 9, SerialExecutor())
            await until(lambda: plan.hits == [2] and keeping.counters["batches"] > 0)
        await keeping.close()
        again = Keeper(tmp_path, "n0")
        again.load(1)
        assert again.incarnation == 9
        again._store.close()

    asyncio.run(play())


def test_a_batch_that_cannot_be_put_in_words_ends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(keeper, "KEEP_EVERY", 0.01)

    async def play() -> None:
        keeping = Keeper(tmp_path, "n0")
        keeping.load(1)
        rows = iter([10 ** 40, 10 ** 40, 9])
        balancer: Any = Learned()
        with ThreadPoolExecutor(1) as executor:
            keeping.open(balancer, lambda: NOW, lambda: next(rows, 9), executor)
            await until(lambda: keeping.counters["batches"] > 0)
            assert keeping.counters["write_errors"] == 2
            await keeping.close()

    asyncio.run(play())


def test_the_end_of_a_process_is_no_failure_where_its_files_fail(tmp_path: Path) -> None:
    async def play() -> None:
        keeping = Keeper(tmp_path, "n0")
        keeping.load(1)
        balancer: Any = SimpleNamespace()
        keeping.open(balancer, lambda: NOW, lambda: 0, SerialExecutor())
        with injected(Plan([Fault("thread")])):
            await keeping.close()

    asyncio.run(play())


def test_what_can_never_be_read_is_given_up(tmp_path: Path) -> None:
    store = made(tmp_path)
    assert append(store, 1)
    store.close()
    with injected(Plan([Fault("read", errno.EIO, count=ALWAYS, path="snapshot-")])):
        store = made(tmp_path)
        tries = 0
        while not append(store, 2):
            tries += 1
            assert tries <= CLAIMS_STRICT
    store.close()
    assert 2 in numbers(tmp_path)
