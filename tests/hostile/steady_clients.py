"""Clients at a steady rate on connections that they keep.

`python -m hostile.steady_clients` measures what sound servers pay; HOSTILE_ROOT names the program's tree.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median, quantiles

from hostile.slow_callers import head, read_answer
from hostile.spoilt_servers import Repeating
from hostile.stage import SHORT_AIMS, Setting, Stage, stage

CLIENTS = 8
RATE = 240.0  # requests a second of all clients
SECONDS = 3.0
MEASURED_SECONDS = 10.0
KINDS = ("read", "read", "once", "book")


@dataclass(slots=True)
class Seen:
    """What clients have seen."""

    served: int = 0
    wrong: list[str] = field(default_factory=list)
    unserved: int = 0
    times: list[float] = field(default_factory=list)  # seconds until each answer


async def use(target: Stage, seen: Seen, numbers: itertools.count[int], place: int, until: float) -> None:
    """One client, of this place among them, on one connection after another, at its part of the rate."""
    loop = asyncio.get_running_loop()
    reader, writer = await target.connect()
    due = loop.time() + place / RATE
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
            await asyncio.gather(*(use(target, seen, numbers, place, until) for place in range(CLIENTS)))

    asyncio.run(run())
    return seen


def describe(times: list[float]) -> str:
    """The median and the 99th percentile."""
    return f"{median(times) * 1000:.2f} and {quantiles(times, n=100)[98] * 1000:.2f} ms"


def main() -> int:
    """Print what sound servers, which never repeat an answer, pay: latency and connections made."""
    for takes in (0.001, 0.003, 0.012, 0.04):
        servers = Repeating(takes, 0.0, every=0)
        with tempfile.TemporaryDirectory(prefix="steady-") as folder:
            seen = play(Path(folder), servers, MEASURED_SECONDS)
        half = len(seen.times) // 2
        print(f"{takes * 1000:.0f} ms: {seen.served} served, {seen.unserved} not, {servers.connections} "
              f"connections; first half {describe(seen.times[:half])}, second {describe(seen.times[half:])}",
              flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
