"""Many clients fetch large answers at a time, and read them slowly."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress
from pathlib import Path

from stage import (
    DEADLINES,
    TROUBLE,
    Exchange,
    Proxy,
    Stage,
    fresh_id,
    main,
    read_head,
    request,
)

MEMORY_MB, SOCKETS = 64, 1024  # "32 to 192 MB of memory", "256 to 1,024 descriptors"
CLIENTS = 330  # fewer than a third of the descriptors
SERVERS = 16
SIZE = 32_000_000  # bytes of an answer, at the most: "answers and bodies reach 32 MB, many at a time"
SIZE_SOUND = 1_000_000  # without the disruption
COME_IN = 3.0  # seconds in which the clients send their requests
SLOW_PIECE, SLOW_EVERY = 16_000, 0.25  # a slow client reads 64 kB a second
PLAY_FOR = 75.0
GO_ON_FOR = 5.0  # seconds after the first answer that is cut
PIECE = bytes(50_000)
GIVES = 500_000  # bytes a second that a server gives of an answer, at the most
WORK = 0.03


async def work(exchange: Exchange) -> None:
    """A sound server with a large answer."""
    size = SIZE if TROUBLE else SIZE_SOUND
    await asyncio.sleep(WORK)
    await exchange.send(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
    left, loop = size, asyncio.get_running_loop()
    begun = loop.time()
    while left:
        piece = PIECE[:left]
        await exchange.send(piece)
        left -= len(piece)
        await asyncio.sleep(max(0.0, begun + (size - left) / GIVES - loop.time()))


def resident(proxy: Proxy) -> int:
    """Bytes of the process's memory, at the most so far."""
    assert proxy.process is not None
    for line in Path(f"/proc/{proxy.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) << 10
    return 0


async def play(stage: Stage) -> list[str]:
    """All clients come within seconds, and read on until the end of the play."""
    rng = random.Random(stage.rng_seed)
    for number in range(SERVERS):
        await stage.add_backend(f"s-{number}", work)
    proxy = await stage.add_proxy("n0", memory_mb=MEMORY_MB, sockets=SOCKETS)
    broken: list[str] = []
    counts = {"served": 0, "begun": 0, "refused": 0, "failed": 0, "cut": 0}
    until = stage.now() + PLAY_FOR

    async def client(after: float) -> None:
        nonlocal until
        await asyncio.sleep(after)
        sock = socket.create_connection(proxy.listen)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        reader, writer = await asyncio.open_connection(sock=sock, limit=SLOW_PIECE)
        number, kind = fresh_id(), "game-history"
        writer.write(request(kind, number, DEADLINES[kind]))
        got = size = 0
        try:
            found = await read_head(reader)
            if found.status != 200:
                counts["refused" if found.status in (429, 503) else "failed"] += 1
                return
            counts["begun"] += 1
            size = int(found.headers["content-length"])
            while got < size and stage.now() < until:
                data = await reader.read(SLOW_PIECE)
                if not data:
                    raise ConnectionError("the connection has ended")
                got += len(data)
                if TROUBLE:
                    await asyncio.sleep(SLOW_EVERY)
            counts["served"] += got == size
        except (OSError, asyncio.IncompleteReadError) as fault:
            counts["cut"] += 1
            until = min(until, stage.now() + GO_ON_FOR)
            stage.note("cut", id=number, got=got, of=size, fault=repr(fault))
            broken.append(f"{number}: {got} of {size} bytes came, then {fault!r}")
        finally:
            writer.transport.abort()

    async def look() -> None:
        while stage.now() < until:
            await asyncio.sleep(1.0)
            figures = {}
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                figures = await proxy.telemetry()
            memory = {key: value for key, value in figures.items() if key.startswith("memory.")}
            stage.note("figures", **memory)

    await asyncio.gather(look(), *(client(rng.uniform(0.0, COME_IN)) for _ in range(CLIENTS)))
    most = resident(proxy)
    stage.note("sum", resident_most=most, **counts)
    print(f"{counts}, resident at the most {most}")
    return broken


main(play, __file__)
