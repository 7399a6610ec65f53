"""A few real processes under faults that `drain_fleet` plays with hundreds; the order is forced by events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import drain_rule
from drain_fleet import GRACE
from drain_stage import SERVERS, Stage

from lugspur.discovery import SILENT
from lugspur.lab.fleet import LOOK_EVERY, PATIENCE, Fleet
from lugspur.lab.load import Load, outcomes

REQUESTS = 6 * SERVERS  # enough for each process to try every server


async def until(holds: Callable[[], bool]) -> None:
    """Wait until something holds."""
    async with asyncio.timeout(PATIENCE):
        while not holds():
            await asyncio.sleep(LOOK_EVERY)


def play(folder: Path, count: int, act: Callable[[Stage], Coroutine[Any, Any, None]]) -> None:
    """Let this happen to so many processes, then hold them to the rule on drains."""
    async def run() -> None:
        async with Fleet(folder, count, seed=1, peers=False) as fleet:
            stage = Stage(fleet, seed=1)
            try:
                await stage.open()
                await act(stage)
                attempts = stage.attempts(await stage.arrivals())
            finally:
                await stage.close()
            rule = drain_rule.Rule(GRACE)
            assert attempts
            assert not drain_rule.violations(stage.changes(), stage.processes(), attempts, rule)

    asyncio.run(run())


async def ask_all(stage: Stage) -> None:
    """Requests through each process, all served."""
    load = Load([node.listen for node in stage.fleet.nodes.values()])
    count = REQUESTS * len(stage.names)
    assert outcomes(await load.play(count, 200.0 * len(stage.names))) == {"served": count}
    load.close()


def heard(stage: Stage) -> bool:
    """Whether the newest list has been written to every process."""
    written, newest = stage.discovery.record.written, stage.discovery.list.index
    return all(any(row.index == newest for row in written.get(name, [])) for name in stage.names)


def asleep(stage: Stage, name: str) -> bool:
    """Whether the process waits for events: stopped then, it wakes up to its time-outs and to no events."""
    process = stage.fleet.nodes[name].process
    assert process is not None
    return Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "S"


def test_servers_that_drain_are_left_alone_once_the_processes_have_been_told(tmp_path: Path) -> None:
    async def act(stage: Stage) -> None:
        await ask_all(stage)
        await stage.drain(4)
        await until(lambda: heard(stage))
        await asyncio.sleep(GRACE)
        await ask_all(stage)

    play(tmp_path, 2, act)


def test_a_call_that_waits_in_discovery_s_queue_keeps_its_place_while_another_is_made(tmp_path: Path) -> None:
    async def act(stage: Stage) -> None:
        record, turns = stage.discovery.record, stage.discovery.turns
        turns.hold()
        stage.discovery.sites[0].end_watches()
        await stage.drain(4)
        before = len(record.turns)
        await until(lambda: record.calls >= before + 2)  # it was not answered in time, and called again
        turns.release()
        await until(lambda: len(record.turns) > before)
        assert record.turns[before], "the call was given up, and discovery has served nobody"
        await until(lambda: heard(stage))
        await asyncio.sleep(GRACE)
        await ask_all(stage)

    play(tmp_path, 1, act)


def test_a_new_process_waits_for_the_list_that_discovery_still_owes_it(tmp_path: Path) -> None:
    async def act(stage: Stage) -> None:
        record, turns = stage.discovery.record, stage.discovery.turns
        name = stage.names[0]
        await stage.drain(4)
        await until(lambda: heard(stage))
        await stage.kill([name])
        turns.hold()
        before = record.calls
        await stage.restart([name])
        await until(lambda: record.calls >= before + 2)  # its first call was not answered in time
        status, _ = await stage.fleet.call(name, "GET", "/api/ready")
        assert status == 503, "it is ready with the list that it had before its start"
        turns.release()
        await stage.fleet.ready(name)
        await ask_all(stage)

    play(tmp_path, 1, act)


def test_a_configuration_file_that_is_half_written_at_sighup_is_read_again(tmp_path: Path) -> None:
    async def act(stage: Stage) -> None:
        for name in stage.names:
            stage.move(name, 1, broken_file=True)
        stage.discovery.sites[0].close()
        await stage.drain(4)
        await until(lambda: heard(stage))
        await asyncio.sleep(GRACE)
        await ask_all(stage)

    play(tmp_path, 2, act)


def test_what_came_while_a_process_stood_still_is_read_before_its_watch_is_given_up(tmp_path: Path) -> None:
    async def act(stage: Stage) -> None:
        name = stage.names[0]
        calls = stage.discovery.record.calls
        await until(lambda: asleep(stage, name))
        stage.fleet.pause(name)
        await stage.drain(SERVERS // 2)
        await until(lambda: heard(stage))
        load = Load([stage.fleet.nodes[name].listen], timeout=PATIENCE)
        asked = asyncio.create_task(load.play(REQUESTS, 1000.0))
        await asyncio.sleep(SILENT + GRACE)  # its watch would have to be given up by now
        stage.fleet.resume(name)
        await asked
        await ask_all(stage)
        load.close()
        assert stage.discovery.record.calls == calls, "the watch was given up with news unread in it"

    play(tmp_path, 1, act)
