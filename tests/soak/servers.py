"""Stand-in servers: they answer, are slow, hang, turn away, fail or reset, and note each request's id."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import dataclass

REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *(\S+)")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Conduct:
    """What becomes of one request."""

    after: float  # seconds
    answer: bytes | None  # None: nothing ever comes
    resets: bool = False
    flood: bytes = b""  # what comes after it again and again, to no end


HEAD_MOST = 256 << 10  # bytes of a request's head
FLOOD_PIECE = 64 << 10  # bytes
FLOOD_MOST = 4 << 20  # bytes of one answer
FLOODS = (  # what an answer begins with, and what then never ends
    (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * (FLOOD_PIECE // 8)),
    (b"HTTP/1.1 200 OK\r\nX-A: ", b"b" * FLOOD_PIECE),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", b"b" * FLOOD_PIECE),
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (FLOOD_PIECE // 27)),
)


def draw_conduct(rng: random.Random, hangs: float, floods: float = 0.0) -> Conduct:
    """Mostly soon and well; `hangs` is the part without an answer, `floods` that with one that never ends."""
    if floods and rng.random() < floods:
        head, flood = rng.choice(FLOODS)
        return Conduct(0.0, head, flood=flood)
    chance = rng.random()
    if chance < hangs:
        return Conduct(0.0, None)
    if chance < hangs + 0.03:
        return Conduct(rng.uniform(0.0, 0.2), b"", resets=True)
    if chance < hangs + 0.08:
        return Conduct(rng.uniform(0.0, 0.1), rng.choice([ERROR, FULL]))
    return Conduct(min(2.0, rng.expovariate(1 / 0.06)), OK)


class StandInServer:
    """One server on loopback. `runs` collects, by request id, whether each attempt may have run."""

    def __init__(self, conduct: Callable[[], Conduct], runs: dict[str, list[bool]]) -> None:
        self._conduct = conduct
        self._runs = runs
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def open(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0, limit=HEAD_MOST)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Let go of everything."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = REQUEST_ID.search(head)
                conduct = self._conduct()
                if found is not None:
                    never_runs = conduct.answer == FULL
                    self._runs.setdefault(found[1].decode(), []).append(not never_runs)
                await asyncio.sleep(conduct.after)
                if conduct.answer is None:
                    await reader.read()  # until the proxy lets go
                    break
                if conduct.resets:
                    break
                writer.write(conduct.answer)
                if conduct.flood:
                    for _ in range(FLOOD_MOST // len(conduct.flood)):
                        writer.write(conduct.flood)
                        await writer.drain()
                    await reader.read()
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
