"""Large requests in drawn patterns through one process, held to the terms.

Servers read them evenly, in lumps, or stop midway. A request's id tells its server how. `python -m
hostile.drawn_requests` plays many and prints those that break a term; HOSTILE_ROOT names the tree of the
program.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from terms import End, Observation, end_fault

from hostile.answer_grid import REFUSED, TRY_AGAIN_AFTER, Played, ask_quickly, follow
from hostile.drawn_answers import CLASSES, HoldUp, HoldUps
from hostile.slow_callers import head
from hostile.slow_servers import Framing, Piece, evenly, write_answer
from hostile.spoilt_servers import request_id, whole
from hostile.stage import Setting, Stage, stage

KINDS = ("read", "book", "once")
WAITS = (0.3, 0.6, 1.0, 1.5, 3.0)  # seconds
SIZES = (  # bytes
    (30_000, 70_000), (70_000, 200_000), (140_000, 160_000), (200_000, 1_000_000), (1_000_000, 4_000_000),
)
RATES = (20e3, 64e3, 100e3, 400e3, 2e6)  # bytes a second that a server reads
PIECE = 4096  # bytes
RECEIVE_BUFFERS = (None, 8 << 10, 64 << 10)  # of the process's callers' sockets
SEND_BUFFERS = (None, None, 16 << 10, 512 << 10)  # of a client's
MEMORY_MB = (48, 96, 192)
AT_ONCE = 16
TRIES = 30  # of a request that is refused unsent
PROCESSES = 9
WATCHED = 1.5  # seconds after a request is lost for which it is watched
UPLOAD_MOST = 12.0  # seconds after which a client gives up its writing
LUMP_ANSWER = (*evenly(60_000, 0.2, 2), Piece(0.6, 60_000))
CHUNK_MOST = 50_000  # bytes
SERVER_BUFFERS = (64 << 10, 256 << 10, 8 << 10)  # of a server's sockets, bytes


class Reading(Enum):
    """How a server reads a request's body."""

    EVEN = "even"
    LUMPS = "lumps"  # all that there is, and then nothing for a while
    PAUSE = "pause"  # one, midway
    STOP = "stop"  # midway, for good


@dataclass(slots=True, frozen=True)
class Upload:
    """One request, how its client writes it and how its server reads it."""

    number: int
    kind: str
    wait: float  # seconds
    size: int
    chunked: bool
    writes_for: float  # seconds; 0: at once
    piece: int  # bytes of a write
    reading: Reading
    rate: float  # bytes a second
    pause: float  # seconds
    answers_in_lumps: bool
    send_buffer: int | None

    def name(self, again: int) -> str:
        """An id that tells a server how to read."""
        return f"u.{self.number}.{again}"


def draw(number: int) -> Upload:
    """The request of a number."""
    rng = random.Random(f"drawn request {number}")
    return Upload(
        number, rng.choice(KINDS), rng.choice(WAITS), rng.randint(*rng.choice(SIZES)), rng.random() < 0.4,
        rng.choice([0.0, 0.0, rng.uniform(0.0, 1.5)]), rng.choice([700, 16_000, 1 << 20]),
        rng.choice(list(Reading)), rng.choice(RATES), rng.uniform(0.2, 3.0), rng.random() < 0.2,
        rng.choice(SEND_BUFFERS),
    )


class Servers:
    """Servers that read as each request's id says."""

    def __init__(self) -> None:
        self.begun: Counter[str] = Counter()  # attempts by id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            name = request_id(request).decode()
            if not name.startswith("u."):
                writer.write(whole(name.encode()))
                continue
            self.begun[name] += 1
            upload = draw(int(name.split(".")[1]))
            await _read(reader, request, upload)
            if upload.answers_in_lumps:
                await write_answer(writer, Framing.LENGTH, LUMP_ANSWER)
            else:
                writer.write(whole(name.encode()))


async def _read(reader: asyncio.StreamReader, request: bytes, upload: Upload) -> None:
    """Read a body in its pattern."""
    chunked, left = b"chunked" in request.lower(), upload.size
    tail, read, paused = b"", 0, False
    while left if not chunked else not tail.endswith(b"0\r\n\r\n"):
        lump = int(upload.rate * upload.pause) if upload.reading is Reading.LUMPS else PIECE
        data = await reader.read(min(left, max(lump, PIECE)) if not chunked else max(lump, PIECE))
        if not data:
            raise ConnectionResetError
        read, left, tail = read + len(data), left - len(data), (tail + data)[-5:]
        if upload.reading is Reading.STOP and read > upload.size // 2:
            await asyncio.sleep(60.0)
        if upload.reading is Reading.PAUSE and not paused and read > upload.size // 2:
            paused = True
            await asyncio.sleep(upload.pause)
        await asyncio.sleep(len(data) / upload.rate)


def _text(upload: Upload, name: str) -> tuple[bytes, bytes]:
    """A request's head, and its body as it is written."""
    if not upload.chunked:
        more = f"Content-Length: {upload.size}\r\n"
        return head(upload.kind, upload.wait, name, more), bytes(upload.size)
    step = min(upload.piece, CHUNK_MOST)
    parts = [min(step, upload.size - at) for at in range(0, upload.size, step)]
    body = b"".join(b"%x\r\n%b\r\n" % (part, bytes(part)) for part in parts) + b"0\r\n\r\n"
    return head(upload.kind, upload.wait, name, "Transfer-Encoding: chunked\r\n"), body


async def _write(sock: socket.socket, upload: Upload, name: str, seen: Observation) -> None:
    """Write a request; `seen.sent_at` is when its socket has taken the last byte."""
    loop = asyncio.get_running_loop()
    text, body = _text(upload, name)
    begun = time.monotonic()
    await loop.sock_sendall(sock, text)
    for at in range(0, len(body), upload.piece):
        await asyncio.sleep(max(0.0, begun + upload.writes_for * at / len(body) - time.monotonic()))
        await loop.sock_sendall(sock, body[at:at + upload.piece])
    seen.sent_at = time.monotonic()


async def _observe(target: Stage, upload: Upload, name: str) -> Observation:
    """Write a request on a new connection and note what comes, until so long after it is lost."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if upload.send_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, upload.send_buffer)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await loop.sock_connect(sock, ("127.0.0.1", target.port))
    seen = Observation(float("inf"), upload.wait)
    with socket.socket(fileno=sock.detach()) as sock:
        sock.setblocking(False)
        writing = asyncio.ensure_future(_write(sock, upload, name, seen))
        reading = asyncio.ensure_future(_follow(sock, seen))
        latest = time.monotonic() + UPLOAD_MOST + upload.wait
        while not reading.done() and time.monotonic() < min(seen.due() + WATCHED, latest):
            await asyncio.wait([reading], timeout=0.05)
        for task in (writing, reading):
            task.cancel()
        await asyncio.gather(writing, reading, return_exceptions=True)
    seen.ended_at = min(seen.ended_at, time.monotonic())
    return seen


async def _follow(sock: socket.socket, seen: Observation) -> None:
    """Read the answer to its end."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()

    async def feed() -> None:
        with suppress(OSError):
            while data := await loop.sock_recv(sock, 65_536):
                reader.feed_data(data)
        reader.feed_eof()

    feeding = asyncio.ensure_future(feed())
    try:
        await follow(reader, seen)
        seen.end = End.WHOLE
    except (OSError, ValueError, asyncio.IncompleteReadError):
        seen.end = End.CUT
    finally:
        feeding.cancel()
        if seen.end is not End.OPEN:
            seen.ended_at = time.monotonic()


def _fault(seen: Observation, forwarded: int, late: float) -> str:
    """What is wrong with the end of a request; empty where nothing is."""
    if seen.end is End.CUT and seen.first_at is None and forwarded:
        return "closed: with no answer, though it was sent on"
    if seen.sent_at == float("inf"):  # its last byte could not be written
        return "" if seen.end is not End.OPEN else "stuck: neither read nor answered"
    fault = end_fault(seen, late)
    if not fault and seen.end is End.CUT and seen.is_long():
        fault = f"its long answer was cut after {seen.received} bytes"
    return f"end: {fault}" if fault else ""


def _describe(upload: Upload, name: str, seen: Observation) -> str:
    return (f"{upload} {name}: last byte written {seen.sent_at:.2f}, status {seen.status},"
            f" {seen.end.value} {seen.ended_at - seen.sent_at:+.2f} s from then")


async def _play_one(
    target: Stage, servers: Servers, names: itertools.count[int], upload: Upload, hold_up: HoldUp
) -> Played:
    for _ in range(TRIES):
        name = upload.name(next(names))
        seen = await _observe(target, upload, name)
        fault = _fault(seen, servers.begun[name], hold_up.excess)
        if fault or servers.begun[name] or seen.status != REFUSED:
            return Played(1, {_describe(upload, name, seen): fault} if fault else {})
        await asyncio.sleep(TRY_AGAIN_AFTER)
    return Played(1, refused=1)


def play(
    folder: Path, numbers: Sequence[int], receive_buffer: int | None = None, memory_mb: int = 96,
    server_buffer: int = SERVER_BUFFERS[0], hold_ups: HoldUps = HoldUps.NEVER,
) -> Played:
    """Play these requests through one process, whose callers' sockets have such a receive buffer."""
    played, names, servers = Played(), itertools.count(), Servers()
    setting = Setting(
        services=CLASSES, memory_mb=memory_mb, receive_buffer=server_buffer, callers_buffer=receive_buffer)

    async def run() -> None:
        free = asyncio.Semaphore(AT_ONCE)
        async with stage(folder, servers.serve, None, setting) as target:
            hold_up = HoldUp(target.process.pid, numbers[0])

            async def one(number: int) -> None:
                async with free:
                    played.add(await _play_one(target, servers, names, draw(number), hold_up))

            quick = [asyncio.ensure_future(ask_quickly(target, kind)) for kind in ("read", "book")]
            if hold_ups is not HoldUps.NEVER:
                hold_up.start()
            await asyncio.gather(*(one(number) for number in numbers))
            for task in quick:
                task.cancel()
            await asyncio.gather(*quick, return_exceptions=True)
            if hold_ups is not HoldUps.NEVER:
                hold_up.end()

    asyncio.run(run())
    return played


def _play_part(numbers: Sequence[int], place: int, hold_ups: HoldUps) -> Played:
    with tempfile.TemporaryDirectory(prefix="drawn-") as folder:
        receive_buffer = RECEIVE_BUFFERS[place % len(RECEIVE_BUFFERS)]
        return play(Path(folder), numbers, receive_buffer, MEMORY_MB[place % len(MEMORY_MB)],
                    SERVER_BUFFERS[place // 2 % len(SERVER_BUFFERS)], hold_ups)


def main() -> int:
    """Print the requests that break a term."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=600)
    parser.add_argument("--hold-ups", type=HoldUps, default=HoldUps.NEVER, help="stops of 0.15 s")
    given = parser.parse_args()
    numbers, played = range(given.first, given.first + given.count), Played()
    with ProcessPoolExecutor(PROCESSES) as pool:
        parts = [pool.submit(_play_part, numbers[place::PROCESSES], place, given.hold_ups)
                 for place in range(PROCESSES)]
        for part in parts:
            played.add(part.result())
    for name in sorted(played.broken):
        print(f"{name}: {played.broken[name]}")
    print(f"{played.cells} requests, {len(played.broken)} broken, {played.refused} refused")
    return int(bool(played.broken))


if __name__ == "__main__":
    sys.exit(main())
