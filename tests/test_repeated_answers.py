"""Real processes between servers that answer a second time, late: no request gets another's answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hostile.slow_callers import head, read_answer
from hostile.spoilt_servers import Repeating
from hostile.stage import SHORT_AIMS, Setting, Stage, stage

CLIENTS = 8
RATE = 240.0  # requests a second of all clients
SECONDS = 3.0
KINDS = ("read", "read", "once", "book")


@dataclass(slots=True)
class Seen:
    """What clients have seen."""

    served: int = 0
    wrong: list[str] = field(default_factory=list)
    unserved: int = 0
    times: list[float] = field(default_factory=list)  # seconds until each answer


async def use(target: Stage, seen: Seen, numbers: itertools.count[int], until: float) -> None:
    """One client on one connection after another, at its part of the rate."""
    loop = asyncio.get_running_loop()
    reader, writer = await target.connect()
    due = loop.time()
    while loop.time() < until:
        due += CLIENTS / RATE
        await asyncio.sleep(max(0.0, due - loop.time()))
        number = next(numbers)
        name, begun = f"r{number}", time.monotonic()
        try:
            writer.write(head(KINDS[number % len(KINDS)], 2.0, name, "Content-Length: 0\r\n"))
            status, body = await asyncio.wait_for(read_answer(reader), 5.0)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
            reader, writer = await target.connect()
            continue
        seen.times.append(time.monotonic() - begun)
        if status != 200:
            seen.unserved += 1
        elif body == name.encode():
            seen.served += 1
        else:
            seen.wrong.append(f"{name} got {body!r}")
    writer.transport.abort()


def play(folder: Path, servers: Repeating, seconds: float = SECONDS) -> Seen:
    """Clients and servers of this kind around one process."""
    seen, numbers = Seen(), itertools.count()

    async def run() -> None:
        async with stage(folder, servers.serve, None, Setting(services=SHORT_AIMS)) as target:
            until = asyncio.get_running_loop().time() + seconds
            await asyncio.gather(*(use(target, seen, numbers, until) for _ in range(CLIENTS)))

    asyncio.run(run())
    return seen


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
