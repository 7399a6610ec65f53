"""Answers at each pace, of each size, for each wait, in each framing, through one process, held to the terms.

`python -m hostile.answer_grid` plays all cells and prints those that break a term; HOSTILE_ROOT names the
tree of the program, so that an earlier version can be played beside the present one.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

from terms import LONG, End, Given, Observation, answer_fault

from hostile.slow_callers import LENGTH, ask, head
from hostile.slow_servers import FILLER, Framing, read_body
from hostile.spoilt_servers import request_id, whole
from hostile.stage import Setting, Stage, stage

PACES = (5e3, 15e3, 25e3, 30e3, 40e3, 45e3, 60e3, 100e3, 200e3, 500e3)  # bytes a second
SIZES = (1, 20_000, 40_000, 60_000, LONG, LONG + 1, 120_000, 300_000, 8 << 20)  # bytes
WAITS = (0.1, 0.3, 0.5, 1.0, 2.0, 3.0)  # seconds
KINDS = ("book", "read")
WATCHED = 1.5  # seconds after a request is lost for which it is watched
STEP = 0.02  # seconds between pieces
AT_ONCE = 40  # cells that are played at the same time at one process
PROCESSES = 6
QUICK_EVERY = 0.01  # seconds between requests that are answered at once: servers stay in use beside slow ones
REFUSED = 503
TRIES, TRY_AGAIN_AFTER = 80, 0.1  # of a cell that is refused unsent, and seconds between
READ_PIECE = 16_384  # bytes
PLAY_SEED = 5  # of the order in which cells are played: neighbours are not played together
SERVICES = (
    {"Name": "read", "Repeat": "retryable", "Aim": 3.0, "HardLimit": 3.0, "LateWorth": 0.6},
    {"Name": "book", "Repeat": "fragile", "Aim": 3.0, "HardLimit": 3.0, "LateWorth": 0.6},
)


@dataclass(slots=True, frozen=True)
class Cell:
    """One request and the answer that its server gives to it."""

    kind: str
    wait: float
    given: Given
    framing: Framing

    def name(self, number: int) -> str:
        """An id that tells a server what to answer."""
        given, wait = self.given, self.wait * 1000.0
        return f"{self.kind}.{self.framing.value}.{given.pace:.0f}.{given.size}.{wait:.0f}.{number}"

    @classmethod
    def named(cls, name: str) -> Cell:
        """The cell of such an id."""
        kind, framing, pace, size, wait, _ = name.split(".")
        return cls(kind, float(wait) / 1000.0, Given(float(pace), int(size)), Framing(framing))


def all_cells() -> list[Cell]:
    """The whole grid, in an order of its own."""
    found = [
        Cell(kind, wait, Given(pace, size), framing)
        for kind, wait, pace, size, framing in itertools.product(KINDS, WAITS, PACES, SIZES, Framing)
    ]
    random.Random(PLAY_SEED).shuffle(found)
    return found


class Servers:
    """Servers that answer as each request's id says, and those that belong to no cell at once."""

    def __init__(self) -> None:
        self.forwarded: set[str] = set()  # ids that have come

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, request, 0.0)
            name = request_id(request).decode()
            self.forwarded.add(name)
            if "." not in name:
                writer.write(whole(name.encode()))
                continue
            cell = Cell.named(name)
            await give(writer, cell.given, cell.framing)
            if cell.framing is Framing.CLOSE:
                writer.write_eof()
                await reader.read()
                return


async def give(writer: asyncio.StreamWriter, given: Given, framing: Framing) -> None:
    """An even answer, its head at once."""
    loop = asyncio.get_running_loop()
    begun, written = loop.time(), 0
    framed = {
        Framing.LENGTH: b"Content-Length: %d\r\n" % given.size,
        Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n", Framing.CLOSE: b"Connection: close\r\n",
    }
    writer.write(b"HTTP/1.1 200 OK\r\n" + framed[framing] + b"\r\n")
    while written < given.size:
        await asyncio.sleep(STEP)
        part = _filler(int(given.by(loop.time() - begun)) - written)
        written += len(part)
        if part:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if framing is Framing.CHUNKED else part)
        await writer.drain()
    if framing is Framing.CHUNKED:
        writer.write(b"0\r\n\r\n")


def _filler(size: int) -> bytes:
    return (FILLER * (size // len(FILLER) + 1))[:max(0, size)]


async def observe(target: Stage, request: bytes, timeout: float, watched: float = WATCHED) -> Observation:
    """Send a request on a new connection, and note what comes until so long after it is lost."""
    reader, writer = await target.connect()
    writer.write(request)
    seen = Observation(time.monotonic(), timeout)
    try:
        async with asyncio.timeout(timeout + watched):
            await follow(reader, seen)
            seen.end = End.WHOLE
    except TimeoutError:
        pass
    except (OSError, ValueError, asyncio.IncompleteReadError):
        seen.end = End.CUT
    finally:
        seen.ended_at = time.monotonic()
        writer.transport.abort()
    return seen


async def follow(reader: asyncio.StreamReader, seen: Observation) -> None:
    """Read an answer to its end, and note when what of it came."""
    answer_head = (await reader.readuntil(b"\r\n\r\n")).lower()
    seen.first_at = time.monotonic()
    seen.status = int(answer_head.split(None, 2)[1])
    if b"transfer-encoding: chunked" in answer_head:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await _take(reader, size, seen)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    found = LENGTH.search(answer_head)
    if found is not None:
        seen.told = int(found[1])
        await _take(reader, int(found[1]), seen)
        return
    while data := await reader.read(READ_PIECE):
        _note(data, seen, time.monotonic())


async def _take(reader: asyncio.StreamReader, size: int, seen: Observation) -> None:
    while size:
        before = time.monotonic()
        data = await reader.read(min(READ_PIECE, size))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        size -= len(data)
        _note(data, seen, before)


def _note(data: bytes, seen: Observation, before: float) -> None:
    now = time.monotonic()
    seen.received += len(data)
    if seen.long_at is not None:
        seen.longest_gap = max(seen.longest_gap, now - before)
    elif seen.received > LONG:
        seen.long_at = now


@dataclass(slots=True)
class Played:
    """What some cells have shown."""

    cells: int = 0
    broken: dict[str, str] = field(default_factory=dict)  # by id: which term
    refused: int = 0  # cells that were refused unsent each time

    def add(self, other: Played) -> None:
        """Count these too."""
        self.cells += other.cells
        self.refused += other.refused
        self.broken.update(other.broken)


async def _play_cell(target: Stage, servers: Servers, numbers: itertools.count[int], cell: Cell) -> Played:
    for _ in range(TRIES):
        name = cell.name(next(numbers))
        seen = await observe(target, head(cell.kind, cell.wait, name), cell.wait)
        if name in servers.forwarded or seen.status != REFUSED:
            given = replace(cell.given, tells=cell.framing is Framing.LENGTH)
            fault = answer_fault(seen, given)
            return Played(1, {name: fault} if fault else {})
        await asyncio.sleep(TRY_AGAIN_AFTER)
    return Played(1, refused=1)


async def ask_quickly(target: Stage, kind: str) -> None:
    """Requests of a class that are answered at once, one after another."""
    for number in itertools.count():
        request = head(kind, 1.0, f"quick-{kind}-{number}", "Content-Length: 0\r\n")
        await ask(target, request, 2.0)
        await asyncio.sleep(QUICK_EVERY)


def play(folder: Path, cells: Sequence[Cell], at_once: int = AT_ONCE) -> Played:
    """Play these cells through one process."""
    played, numbers, servers = Played(), itertools.count(), Servers()

    async def run() -> None:
        free = asyncio.Semaphore(at_once)
        async with stage(folder, servers.serve, None, Setting(services=SERVICES, memory_mb=192)) as target:
            async def one(cell: Cell) -> None:
                async with free:
                    played.add(await _play_cell(target, servers, numbers, cell))

            quick = [asyncio.ensure_future(ask_quickly(target, kind)) for kind in KINDS]
            await asyncio.gather(*(one(cell) for cell in cells))
            for task in quick:
                task.cancel()
            await asyncio.gather(*quick, return_exceptions=True)

    asyncio.run(run())
    return played


def _play_part(cells: Sequence[Cell]) -> Played:
    with tempfile.TemporaryDirectory(prefix="grid-") as folder:
        return play(Path(folder), cells)


def main() -> int:
    """Print the cells that break a term."""
    cells, played = all_cells(), Played()
    with ProcessPoolExecutor(PROCESSES) as pool:
        for part in pool.map(_play_part, [cells[place::PROCESSES] for place in range(PROCESSES)]):
            played.add(part)
    for name in sorted(played.broken):
        print(f"{name}: {played.broken[name]}")
    print(f"{played.cells} cells, {len(played.broken)} broken, {played.refused} refused unsent")
    return int(bool(played.broken))


if __name__ == "__main__":
    sys.exit(main())
