"""Servers that turn some requests away give some of those answers a second time, some milliseconds late.

The proxies are those of a later tier: the only caller of each is a server of the tier above, which makes
calls for all requests that have reached it together.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from stage import (
    DEADLINES,
    TROUBLE,
    Exchange,
    Proxy,
    Stage,
    answer,
    fresh_id,
    main,
    read_answer,
    request,
)

PROXIES, SERVERS = 12, 3
CLIENTS = 10  # calls that the caller of each proxy makes at a time
EVERY = 0.5  # seconds in which it makes each of them once ("a hall of players waits on the same clock")...
SPREAD = 0.02  # ...all within so many
WORK = (0.015, 0.045)  # seconds
FULL = 0.25  # part of the requests that a server turns away unseen...
REPEATED = 0.15  # ...and of those answers that come a second time: 4 in 100 of all
LATE = (0.0105, 0.0135)  # seconds after the first: "some milliseconds late"
KIND = "entry-pay"  # "must never run twice"
PLAY_FOR = 40.0


async def play(stage: Stage) -> list[str]:
    """Callers make calls that must not run twice."""
    rng = random.Random(stage.rng_seed)
    tasks: set[asyncio.Task[None]] = set()
    executed: dict[str, list[str]] = {}  # by id: the servers that have run it
    counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0, "repeated": 0}

    async def again(exchange: Exchange, text: bytes) -> None:
        await asyncio.sleep(rng.uniform(*LATE))
        with suppress(OSError):
            await exchange.send(text)

    async def work(exchange: Exchange) -> None:
        if rng.random() < FULL:
            stage.note("turned away", id=exchange.request.id, backend=exchange.backend.name)
            text = answer(503, X_Not_Processed="1")
            await exchange.send(text)
            if TROUBLE and rng.random() < REPEATED:
                counts["repeated"] += 1
                stage.note("repeats", id=exchange.request.id, backend=exchange.backend.name,
                           connection=exchange.connection)
                task = asyncio.create_task(again(exchange, text))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            return
        executed.setdefault(exchange.request.id, []).append(exchange.backend.name)
        stage.note("executed", id=exchange.request.id, backend=exchange.backend.name,
                   connection=exchange.connection)
        await asyncio.sleep(rng.uniform(*WORK))
        await exchange.send(answer(200, exchange.request.id.encode()))

    for number in range(SERVERS):
        await stage.add_backend(f"s-{number}", work)
    proxies = [await stage.add_proxy(f"n{n}", of_all=PROXIES, tier=1) for n in range(PROXIES)]

    async def client(proxy: Proxy, until: float) -> None:
        reader, writer = await asyncio.open_connection(*proxy.listen)
        while stage.now() < until:
            tick = EVERY - stage.now() % EVERY
            await asyncio.sleep(tick + rng.uniform(0.0, SPREAD))
            number = fresh_id()
            counts["sent"] += 1
            stage.note("sent", id=number, proxy=proxy.name)
            writer.write(request(KIND, number, DEADLINES[KIND], body=b"one entry"))
            found = await read_answer(reader)
            how = "served" if found.status == 200 else "refused" if found.status in (429, 503) else "failed"
            counts[how] += 1
            stage.note("answered", id=number, status=found.status)
            if found.headers.get("connection", "").lower() == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.close()

    until = stage.now() + PLAY_FOR
    await asyncio.gather(*(client(proxy, until) for proxy in proxies for _ in range(CLIENTS)))
    stage.note("sum", **counts)
    print(counts)
    return [f"{number} has run at {' and '.join(where)}" for number, where in executed.items()
            if len(where) > 1]


main(play, __file__)
