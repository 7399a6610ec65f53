"""Recovery: what lies on disk after a kill, a loss of power or damage, and what a fleet does with it."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lugspur.lab.backends import Backend
from lugspur.lab.fleet import PATIENCE, Fleet
from lugspur.lab.load import Load, outcomes
from lugspur.lab.relay import free_ports
from lugspur.store import files, frames
from lugspur.store.files import Store, read_state

NOW = 1_800_000_000.0
BATCHES = 12


def batch(number: int) -> list[tuple[str, str, float, Any]]:
    """Batch number n sets `last` to n and every earlier name once more: a mix would show."""
    return [("k", "last", NOW, number), *(("k", f"s{each}", NOW, number) for each in range(number % 5))]


def prefixes() -> list[files.State]:
    """The state after each number of batches."""
    state: files.State = {}
    found = [dict(state)]
    for number in range(1, BATCHES + 1):
        files.apply(state, [list(row) for row in batch(number)])
        found.append(dict(state))
    return found


def write_all(folder: Path, step: Callable[[], None] = lambda: None) -> None:
    """Write the batches, with a new generation now and then."""
    store = Store(folder, "n0", NOW, lambda *_: None)
    store.claim(NOW)
    for number in range(1, BATCHES + 1):
        step()
        store.append(batch(number))
        if number % 4 == 0:
            store.compact()
    store.close()


def killed_at(point: int, folder: Path, part: float) -> bool:
    """Write in a child that is killed at its n-th call to the system, in the midst of a write; False if
    none.
    """
    child = os.fork()
    if child == 0:
        left = [point]
        fsync, rename = os.fsync, os.rename

        def count(*_: object) -> None:
            left[0] -= 1
            if left[0] == 0:
                os.kill(os.getpid(), signal.SIGKILL)

        class Halting:
            """A file whose n-th write leaves a part of its bytes."""

            def __init__(self, file: Any) -> None:
                self.file = file

            def write(self, data: bytes) -> int:
                if left[0] == 1:
                    self.file.write(data[:int(len(data) * part)])
                    self.file.flush()
                count()
                return int(self.file.write(data))

            def __getattr__(self, name: str) -> Any:
                return getattr(self.file, name)

            def __enter__(self) -> Any:
                return self

            def __exit__(self, *_: object) -> None:
                self.file.close()

        opened = Path.open
        Path.open = lambda self, *how, **more: Halting(opened(self, *how, **more))  # type: ignore
        os.fsync = lambda fd: (count(), fsync(fd))[1]  # type: ignore
        os.rename = lambda one, two: (count(), rename(one, two))[1]  # type: ignore
        try:
            write_all(folder)
        finally:
            os._exit(0)
    _, status = os.waitpid(child, 0)
    return os.WIFSIGNALED(status)


def test_a_kill_at_any_point_leaves_a_prefix(tmp_path: Path) -> None:
    rng = random.Random(13)
    known = prefixes()
    killed = 0
    for case in range(200):
        folder = tmp_path / str(case)
        killed += killed_at(rng.randrange(1, 70), folder, rng.random())
        state = read_state(folder, "n0", NOW, lambda *_: None)
        assert state in known
        store = Store(folder, "n0", NOW + 1.0, lambda *_: None)
        assert store.claim(NOW + 1.0), "a killed process still holds the lock"
        assert store.state == state
        store.append([("k", "after", NOW, 1)])
        store.close()
        again = read_state(folder, "n0", NOW, lambda *_: None)
        assert again == {**state, ("k", "after"): files.Entry(NOW, 1)}
    assert killed > 150


def test_a_power_loss_drops_what_was_not_synced_and_no_more(tmp_path: Path) -> None:
    """The log is cut anywhere behind what was synced when each batch was said to be kept."""
    rng = random.Random(5)
    known = prefixes()
    for case in range(40):
        folder = tmp_path / str(case)
        store = Store(folder, "n0", NOW, lambda *_: None)
        store.claim(NOW)
        log = next(folder.glob("log-*"))
        synced, kept = 0, rng.randrange(BATCHES)
        for number in range(1, BATCHES + 1):
            store.append(batch(number))
            if number <= kept:
                synced = log.stat().st_size
        store.close()
        if synced:
            os.truncate(log, rng.randrange(synced, log.stat().st_size + 1))
        state = read_state(folder, "n0", NOW, lambda *_: None)
        assert state in known[kept if synced else 0:]


def damaged(
    folder: Path, edit: Callable[[bytes], bytes], kind: str
) -> tuple[files.State, list[tuple[str, str]]]:
    """Damage the newest file of a kind, and read."""
    path = max(folder.glob(f"{kind}-*"), key=lambda one: int(one.name.rpartition("-")[2]))
    path.write_bytes(edit(path.read_bytes()))
    faults: list[tuple[str, str]] = []
    return read_state(folder, "n0", NOW, lambda name, word: faults.append((name, word))), faults


def header(**changed: Any) -> bytes:
    """The first record of a file, with some of it changed."""
    return frames.pack(frames.Header("snapshot", "n0", NOW, 1).payload() | changed)


@pytest.mark.parametrize(("edit", "word"), [
    (lambda data: b"", "empty"), (lambda data: bytes(len(data)), "foreign"),
    (lambda data: data[:20], "foreign"), (lambda data: data[:-3], "torn"),
    (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "checksum"),
    (lambda data: header(version=2), "version"), (lambda data: header(start=NOW + 1e6), "future"),
    (lambda data: header(name="n1"), "foreign"), (lambda data: header(start="x"), "foreign"),
    (lambda data: data + bytes(frames.FILE_MOST), "huge"),
])
def test_a_snapshot_that_does_not_check_falls_back_with_one_line(
    edit: Callable[[bytes], bytes], word: str, tmp_path: Path
) -> None:
    write_all(tmp_path)
    state, faults = damaged(tmp_path, edit, "snapshot")
    assert state == prefixes()[-1], "the one before, and its log, hold all of it"
    assert [found for _, found in faults] == [word]


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.data())
def test_damage_of_any_kind_leaves_a_prefix(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    folder = tmp_path_factory.mktemp("state")
    write_all(folder)
    kind = data.draw(st.sampled_from(["snapshot", "log"]))

    def edit(good: bytes) -> bytes:
        cut = data.draw(st.integers(0, len(good)))
        noise = data.draw(st.binary(max_size=40))
        return data.draw(st.sampled_from([
            good[:cut], good[:cut] + noise, noise, good[:cut] + noise + good[cut + len(noise):],
            bytes(len(good)), good + noise,
        ]))

    state, _ = damaged(folder, edit, kind)
    assert state in prefixes()


def test_two_processes_write_one_after_the_other(tmp_path: Path) -> None:
    first, second = (Store(tmp_path, "n0", NOW, lambda *_: None) for _ in range(2))
    assert first.claim(NOW) and not second.claim(NOW)
    first.append(batch(1))
    assert second.load(NOW) == prefixes()[1] and not second.writing
    first.close()
    assert second.claim(NOW)
    second.append(batch(2))
    second.close()
    assert read_state(tmp_path, "n0", NOW, lambda *_: None) == prefixes()[2]


def test_the_room_on_disk_is_bounded(tmp_path: Path) -> None:
    store = Store(tmp_path, "n0", NOW, lambda *_: None)
    store.claim(NOW)
    for turn in range(40):
        store.append([("k", f"{turn}-{each}", NOW + turn, "x" * 20) for each in range(3000)])
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= files.DISK_MOST
    assert len(read_state(tmp_path, "n0", NOW, lambda *_: None)) <= files.ENTRIES_MOST + 3000 * 20
    assert len(list(tmp_path.iterdir())) <= 2 * files.KEPT + 2
    store.close()


# ---- with processes of the program ---------------------------------------------------------------------


async def backends(count: int, slow: int = 0) -> list[Backend]:
    """Stand-in backends, the last ones too slow to serve in time."""
    made = [Backend(f"s-{n}", "a", latency=1.6 if n >= count - slow else 0.01) for n in range(count)]
    for one in made:
        await one.start("127.0.0.1")
    return made


def known(made: list[Backend]) -> dict[str, Any]:
    """The list that a proxy starts with."""
    return {"index": 1, "snapshot": True, "endpoints": [one.entry() for one in made]}


async def figure(fleet: Fleet, name: str, key: str, least: float) -> float:
    """Wait until a figure of the telemetry has come so far."""
    async with asyncio.timeout(PATIENCE):
        while (value := (await fleet.figures(name)).get(key, -1.0)) < least:
            await asyncio.sleep(0.05)
        return value


# Requests a second: a busy machine's pause must not fill the room, which is not what is tested here.
SPARSE = 25.0


def test_bans_and_what_was_learned_outlive_a_kill_and_old_state_starts_cold(tmp_path: Path) -> None:
    async def run() -> None:
        made = await backends(4)
        more = {"state_dir": str(tmp_path / "state")}
        async with Fleet(tmp_path, 2, seed=3, known=known(made), more=more) as fleet:
            await fleet.start_all()
            load = Load([fleet.nodes["n0"].listen])
            assert outcomes(await load.play(60, SPARSE)) == {"served": 60}
            assert (await fleet.call("n0", "POST", "/api/exclude", b'{"id":"s-2"}'))[0] == 200
            await figure(fleet, "n0", "state.entries", 6)  # four servers, the tier, the incarnation
            before = (await fleet.view("n0"))["n0"]["incarnation"]
            await fleet.kill("n0")
            load.close()

            await fleet.start("n0")
            await fleet.ready("n0")
            figures = await fleet.figures("n0")
            assert figures["state.restored"] == 4 and figures["state.faults"] == 0
            assert figures["proxy.targets_disabled"] == 1
            assert (await fleet.view("n0"))["n0"]["incarnation"] > before
            seen = len(made[2].seen)
            load = Load([fleet.nodes["n0"].listen])
            assert outcomes(await load.play(40, SPARSE)) == {"served": 40}
            assert len(made[2].seen) == seen
            await fleet.kill("n0")
            load.close()

            # The same state, as if of yesterday, under a clock that has gone back for the incarnation.
            store = Store(tmp_path / "state" / "n0", "n0", time.time(), lambda *_: None)
            assert store.claim(time.time())
            aged = [(*key, entry.at - 86400.0, entry.value) for key, entry in store.state.items()]
            far = time.time_ns() // 1000 + 10 ** 12
            store.append([*aged, ("incarnation", "self", time.time(), far)])
            store.close()
            await fleet.start("n0")
            await fleet.ready("n0")
            assert (await fleet.figures("n0"))["state.restored"] == 0
            assert (await fleet.view("n0"))["n0"]["incarnation"] > far
        for one in made:
            one.die()

    asyncio.run(run())


def test_a_proxy_killed_again_and_again_finds_a_checked_state_and_serves(tmp_path: Path) -> None:
    async def run() -> None:
        rng = random.Random(21)
        made = await backends(4)
        more = {"state_dir": str(tmp_path / "state")}
        async with Fleet(tmp_path, 1, seed=3, peers=False, known=known(made), more=more) as fleet:
            for turn in range(8):
                await fleet.start_all()
                figures = await fleet.figures("n0")
                assert figures["state.faults"] <= 1 and (not turn or figures["state.restored"] == 4)
                load = Load([fleet.nodes["n0"].listen])
                assert outcomes(await load.play(40, 200.0)) == {"served": 40}
                playing = asyncio.create_task(load.play(2000, 400.0))
                await figure(fleet, "n0", "state.entries", 5)  # four servers and the tier
                await asyncio.sleep(1.1 * rng.random())  # somewhere between two batches, or in one
                await fleet.kill("n0")
                playing.cancel()
                load.close()
                faults: list[str] = []
                state = read_state(tmp_path / "state" / "n0", "n0", time.time(),
                                   lambda _, word, faults=faults: faults.append(word))  # type: ignore[misc]
                assert set(faults) <= {"torn"}
                assert sum(kind == "server" for kind, _ in state) == 4
            assert b"Traceback" not in fleet.nodes["n0"].log.read_bytes()
        for one in made:
            one.die()

    asyncio.run(run())


@pytest.mark.parametrize("damage", ["zeros", "version", "file", "orders"])
def test_a_proxy_with_unreadable_state_serves_and_says_so_in_a_line(damage: str, tmp_path: Path) -> None:
    async def run() -> None:
        made = await backends(2)
        folder = tmp_path / "state" / "n0"
        folder.mkdir(parents=True)
        if damage == "file":
            folder.rmdir()
            folder.write_text("not a folder")
        elif damage == "orders":
            (folder / "bans.orders-1").write_bytes(bytes(100))
        else:
            (folder / "snapshot-1").write_bytes(header(version=9) if damage == "version" else bytes(999))
        more = {"state_dir": str(tmp_path / "state")}
        async with Fleet(tmp_path, 1, seed=3, peers=False, known=known(made), more=more) as fleet:
            await fleet.start_all()
            load = Load([fleet.nodes["n0"].listen])
            assert outcomes(await load.play(20, 200.0)) == {"served": 20}
            load.close()
            log = fleet.nodes["n0"].log.read_bytes()
            assert b"Traceback" not in log
            faults = [event for event in fleet.nodes["n0"].events() if event["event"] == "state.fault"]
            assert len(faults) == 1 or (damage == "orders" and log.count(b"do not check") == 1)
        for one in made:
            one.die()

    asyncio.run(run())


def test_an_upgrade_passes_the_writing_on(tmp_path: Path) -> None:
    async def run() -> None:
        made = await backends(2)
        more = {"state_dir": str(tmp_path / "state")}
        async with Fleet(tmp_path, 1, seed=3, peers=False, known=known(made), more=more) as fleet:
            await fleet.start_all()
            node = fleet.nodes["n0"]
            assert (await fleet.figures("n0"))["state.writing"] == 1
            old, node.process = node.process, None
            assert old is not None
            try:
                node.admin = (node.host, free_ports(node.host, 1)[0])
                await fleet.start("n0", RELAY_LISTEN=f"{node.host}:0")
                await fleet.ready("n0")
                assert (await fleet.figures("n0"))["state.writing"] == 0
                assert (await fleet.call("n0", "POST", "/api/exclude", b'{"id":"s-1"}'))[0] == 200
                old.terminate()
                assert await old.wait() == 0
                await figure(fleet, "n0", "state.writing", 1)
            finally:
                if old.returncode is None:
                    old.kill()
        for one in made:
            one.die()

    asyncio.run(run())


def test_a_fleet_killed_together_spares_the_slow_servers_when_it_comes_back(tmp_path: Path) -> None:
    """Ten proxies, twelve backends of which four are too slow: the first requests after the restart."""

    async def run(state: bool) -> tuple[int, int, int]:
        made = await backends(12, slow=4)
        folder = tmp_path / str(state)
        more = {"state_dir": str(folder / "state")} if state else {}
        async with Fleet(folder, 10, seed=7, peers=False, known=known(made), more=more) as fleet:
            await fleet.start_all()
            load = Load([node.listen for node in fleet.nodes.values()])
            await load.play(1200, 300.0)
            rest = asyncio.create_task(load.play(3000, 300.0))
            if state:
                for name in fleet.nodes:
                    done = (await fleet.figures(name))["state.batches"]
                    await figure(fleet, name, "state.batches", done + 1)
            await asyncio.gather(*map(fleet.kill, fleet.nodes))
            rest.cancel()
            load.close()
            await fleet.start_all()
            before = [len(one.seen) for one in made]
            load = Load([node.listen for node in fleet.nodes.values()])
            ended = outcomes(await load.play(400, 200.0))
            load.close()
            took = [len(one.seen) - count for one, count in zip(made, before, strict=True)]
        for one in made:
            one.die()
        return sum(took[8:]), max(took), sum(ended.values()) - ended["served"]

    slow, most, lost = asyncio.run(run(True))
    slow_cold, _, lost_cold = asyncio.run(run(False))
    print({"slow": slow, "slow_cold": slow_cold, "most": most, "lost": lost, "lost_cold": lost_cold})
    assert 2 * slow <= slow_cold
    assert most <= 3 * 400 / 12
    assert 2 * lost <= lost_cold
