"""Servers that were sound for a while give some answers a second time, some milliseconds late.

The proxies are those of a later tier: the only caller of each is a server of the tier above, which makes
calls one after another. An answer holds the key that was asked for, as a fixed page of that key does.
"""

from __future__ import annotations

import asyncio
import math
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

PROXIES, SERVERS = 5, 3
CHAINS = 2  # requests that the caller of each proxy works on at a time...
CALLS = 3  # ...each with so many calls, one after another
KEYS = 60
WORK, SPREAD = 0.014, 0.5  # seconds of work of a call (a share of "47 to 86 ms"), log-normal, and its cv
SOUND_FOR = 15.0  # seconds
PLAY_FOR = 45.0
REPEATED = 0.03  # part of the answers that come a second time
LATE = (0.002, 0.008)  # seconds after the first: "some milliseconds late"
PAUSE = 0.05  # seconds between two requests of the caller, in the mean


def page(target: str) -> bytes:
    """What each server answers to this target: the same at any time."""
    return f"the board of {target}".encode()


async def play(stage: Stage) -> list[str]:
    """Callers at work; servers begin to repeat some answers."""
    rng = random.Random(stage.rng_seed)
    repeated = 0
    begins = math.inf
    spread = math.sqrt(math.log(1.0 + SPREAD * SPREAD))
    mean = math.log(WORK) - spread * spread / 2.0
    tasks: set[asyncio.Task[None]] = set()

    async def again(exchange: Exchange, text: bytes) -> None:
        await asyncio.sleep(rng.uniform(*LATE))
        with suppress(OSError):
            await exchange.send(text)

    async def work(exchange: Exchange) -> None:
        nonlocal repeated
        await asyncio.sleep(rng.lognormvariate(mean, spread))
        target = exchange.request.start.split()[1]
        text = answer(200, page(target))
        await exchange.send(text)
        if stage.now() >= begins and rng.random() < REPEATED:
            repeated += 1
            stage.note("repeats", id=exchange.request.id, backend=exchange.backend.name,
                       connection=exchange.connection)
            task = asyncio.create_task(again(exchange, text))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    for number in range(SERVERS):
        await stage.add_backend(f"s-{number}", work)
    proxies = [await stage.add_proxy(f"n{n}", of_all=PROXIES, tier=1) for n in range(PROXIES)]
    broken: list[str] = []
    counts = {"sent": 0, "served": 0, "foreign": 0}

    async def chain(proxy: Proxy, until: float) -> None:
        reader, writer = await asyncio.open_connection(*proxy.listen)
        while stage.now() < until:
            await asyncio.sleep(rng.expovariate(1.0 / PAUSE))
            for _ in range(CALLS):
                number, target = fresh_id(), f"/api/user-{rng.randrange(KEYS)}"
                counts["sent"] += 1
                writer.write(request("board-view", number, DEADLINES["board-view"], target))
                found = await read_answer(reader)
                if found.status == 200:
                    counts["served"] += 1
                    if found.body != page(target):
                        counts["foreign"] += 1
                        ran = [row[1] for row in stage.runs.get(number, [])]
                        stage.note("foreign", id=number, proxy=proxy.name, asked=target,
                                   got=found.body.decode("latin-1"), ran=ran)
                        broken.append(f"{number} asked for {page(target)!r}, was served {found.body!r}")
                if found.headers.get("connection", "").lower() == "close":
                    writer.close()
                    reader, writer = await asyncio.open_connection(*proxy.listen)
        writer.close()

    begun = stage.now()
    if TROUBLE:
        begins = begun + SOUND_FOR
    until = begun + PLAY_FOR
    await asyncio.gather(*(chain(proxy, until) for proxy in proxies for _ in range(CHAINS)))
    stage.note("sum", repeated=repeated, **counts)
    print(f"{counts}, answers repeated {repeated}")
    return broken


main(play, __file__)
