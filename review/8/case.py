"""A proxy's process is replaced by a second one while clients fetch large answers."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from contextlib import suppress

from stage import (
    DEADLINES,
    TROUBLE,
    Exchange,
    Stage,
    fresh_id,
    main,
    platform_listener,
    read_body,
    read_head,
    request,
)

CLIENTS = 80  # that send requests: fewer than a third of the 384 descriptors
SERVERS = 8
SIZE_LEAST, SIZE_MOST = 10_000_000, 32_000_000  # bytes of an answer: "answers and bodies reach 32 MB"
READS = 2_500_000  # bytes a second that a client reads
PIECE = bytes(64_000)
READ_PIECE = 100_000
WORK = 0.03
SETTLES_FOR = 11.0  # seconds before the first client: a process that starts may itself be the second one
UPGRADE_AT = 10.0  # seconds after the first client
KILL_AFTER = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline, and 0.7 s
ENDS_EARLY = 0.7  # seconds before SIGKILL within which the rest of an answer need not be complete
PLAY_FOR = 20.0


async def play(stage: Stage) -> list[str]:
    """Clients fetch one large answer after another; the process is replaced."""
    rng = random.Random(stage.rng_seed)
    given: dict[str, str] = {}  # by id: the server that gives its answer now
    term_at = kill_at = float("inf")

    async def work(exchange: Exchange) -> None:
        size = int(exchange.request.start.split()[1].rpartition("-")[2])
        await asyncio.sleep(WORK)
        given[exchange.request.id] = exchange.backend.name
        await exchange.send(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        for start in range(0, size, len(PIECE)):
            await exchange.send(PIECE[:size - start])

    for number in range(SERVERS):
        await stage.add_backend(f"s-{number}", work)
    listener = platform_listener()
    first = await stage.add_proxy("n0", listener=listener)
    await asyncio.sleep(SETTLES_FOR)
    broken: list[str] = []
    counts = {"served": 0, "begun": 0, "refused": 0, "failed": 0, "cut": 0, "in_time": 0}
    begun_at = stage.now()
    until = begun_at + PLAY_FOR

    async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, kind = fresh_id(), "game-history"
        size, got = rng.randrange(SIZE_LEAST, SIZE_MOST), 0
        sent_at = stage.now()
        writer.write(request(kind, number, DEADLINES[kind], f"/api/size-{size}"))
        try:
            found = await read_head(reader)
            if found.status != 200:
                counts["refused" if found.status in (429, 503) else "failed"] += 1
                await read_body(reader, found)
                if found.headers.get("connection", "").lower() == "close":
                    raise ConnectionError("closed after its answer")
                await asyncio.sleep(0.2)
                return
            counts["begun"] += 1
            loop = asyncio.get_running_loop()
            reads_from = loop.time()
            while got < size and stage.now() < until:
                data = await reader.read(READ_PIECE)
                if not data:
                    raise ConnectionError("the connection has ended")
                got += len(data)
                await asyncio.sleep(max(0.0, reads_from + got / READS - loop.time()))
            counts["served"] += got == size
        except (OSError, asyncio.IncompleteReadError) as fault:
            at = stage.now()
            if not size or not got:
                raise
            counts["cut"] += 1
            left = size - got
            in_time = left / READS < kill_at - ENDS_EARLY - at
            stage.note("cut", id=number, got=got, of=size, server=given.get(number), fault=repr(fault),
                       after_term=round(at - term_at, 3), rest_in_time=in_time)
            if not TROUBLE or (sent_at < term_at <= at and in_time):
                counts["in_time"] += 1
                broken.append(f"{number}: {got} of {size} bytes had come, then {fault!r}, "
                              f"{at - term_at:.2f} s after SIGTERM; the rest takes {left / READS:.2f} s")
            raise

    async def client() -> None:
        await asyncio.sleep(rng.uniform(0.0, 6.0))
        while stage.now() < until:
            sock = socket.create_connection(first.listen)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 128 << 10)
            reader, writer = await asyncio.open_connection(sock=sock, limit=READ_PIECE)
            with suppress(OSError, asyncio.IncompleteReadError):
                while stage.now() < until:
                    await ask(reader, writer)
            writer.transport.abort()
            await asyncio.sleep(0.2)

    async def upgrade() -> None:
        nonlocal term_at, kill_at
        await asyncio.sleep(UPGRADE_AT)
        stage.note("figures before", **await first.telemetry())
        await stage.replace(first, listener)
        term_at = stage.now()
        kill_at = term_at + KILL_AFTER
        first.signal(signal.SIGTERM)
        stage.note("SIGTERM")
        await asyncio.sleep(KILL_AFTER)
        await first.end()
        stage.note("SIGKILL")

    tasks = [client() for _ in range(CLIENTS)]
    if TROUBLE:
        tasks.append(upgrade())
    await asyncio.gather(*tasks)
    stage.note("sum", **counts)
    print(counts)
    return broken


main(play, __file__)
