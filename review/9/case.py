"""Idle clients fill the descriptors while others read large answers slowly."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress

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

SOCKETS = 384
CLIENTS = 126  # that send requests: fewer than a third of the descriptors
SERVERS = 8
SIZE_LEAST, SIZE_MOST = 1_500_000, 6_200_000  # bytes of an answer
COME_IN = 2.0  # seconds in which they send their requests
SLOW_PIECE, SLOW_EVERY = 16_000, 0.25  # a client reads 64 kB a second
CROWD, CROWD_IN = 360, 2.0  # idle clients, and the seconds in which they come
CROWD_AT, CROWD_FOR = 8.0, 20.0  # seconds after the begin, and how long idle clients stay
PLAY_FOR = 35.0
PIECE = bytes(64_000)
WORK = 0.03


async def idle(proxy: Proxy, after: float, until: float, stage: Stage) -> None:
    """A client that connects, sends nothing and stays; it comes again when it is closed."""
    await asyncio.sleep(after)
    while stage.now() < until:
        try:
            reader, writer = await asyncio.open_connection(*proxy.listen)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        with suppress(OSError, TimeoutError):
            await asyncio.wait_for(reader.read(1), max(0.01, until - stage.now()))
        writer.transport.abort()
        await asyncio.sleep(0.5)


async def play(stage: Stage) -> list[str]:
    """Clients fetch large answers; a crowd of idle ones comes for some seconds."""
    rng = random.Random(stage.rng_seed)
    given: set[str] = set()

    async def work(exchange: Exchange) -> None:
        size = int(exchange.request.start.split()[1].rpartition("-")[2])
        await asyncio.sleep(WORK)
        await exchange.send(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        for start in range(0, size, len(PIECE)):
            await exchange.send(PIECE[:size - start])
        given.add(exchange.request.id)
        stage.note("given whole", id=exchange.request.id)

    for number in range(SERVERS):
        await stage.add_backend(f"s-{number}", work)
    proxy = await stage.add_proxy("n0", sockets=SOCKETS)
    broken: list[str] = []
    counts = {"served": 0, "begun": 0, "refused": 0, "failed": 0, "cut": 0}
    begun = stage.now()
    until = begun + PLAY_FOR

    async def client(place: int) -> None:
        await asyncio.sleep(rng.uniform(0.0, COME_IN))
        sock = socket.create_connection(proxy.listen)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        reader, writer = await asyncio.open_connection(sock=sock, limit=SLOW_PIECE)
        number, kind = fresh_id(), "game-history"
        size = SIZE_LEAST + (SIZE_MOST - SIZE_LEAST) * place // CLIENTS
        writer.write(request(kind, number, DEADLINES[kind], f"/api/size-{size}"))
        got = 0
        try:
            found = await read_head(reader)
            if found.status != 200:
                counts["refused" if found.status in (429, 503) else "failed"] += 1
                return
            counts["begun"] += 1
            while got < size and stage.now() < until:
                data = await reader.read(SLOW_PIECE)
                if not data:
                    raise ConnectionError("the connection has ended")
                got += len(data)
                await asyncio.sleep(SLOW_EVERY)
            counts["served"] += got == size
        except (OSError, asyncio.IncompleteReadError) as fault:
            counts["cut"] += 1
            stage.note("cut", id=number, got=got, of=size, given=number in given, fault=repr(fault))
            broken.append(f"{number}: {got} of {size} bytes came, then {fault!r}")
        finally:
            writer.transport.abort()

    tasks = [client(place) for place in range(CLIENTS)]
    if TROUBLE:
        leaves = begun + CROWD_AT + CROWD_FOR
        tasks += [idle(proxy, CROWD_AT + CROWD_IN * n / CROWD, leaves, stage) for n in range(CROWD)]
    await asyncio.gather(*tasks)
    stage.note("sum", **counts)
    print(counts)
    return broken


main(play, __file__)
