"""Idle clients fill the descriptors while others write requests at the pace that the pages allow."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress

from stage import (
    DEADLINES,
    HOST,
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

CLIENTS = 40  # that send requests: fewer than a third of the descriptors
SOCKETS = 384
BODY = 60_000  # bytes of a request
PACE = 64_000  # bytes a second at which a client writes it: "a body at 64 kB a second"
PIECE = 4_000
THINK = 1.5  # seconds between requests, at the most
CROWD, CROWD_IN = 360, 2.0  # idle clients, and the seconds in which they come
CROWD_AT, CROWD_FOR = 6.0, 12.0  # seconds after the begin, and how long idle clients stay
PLAY_FOR = 22.0
READ_AFTER = 0.25  # seconds after which what was written on an open connection counts as read by the proxy
ANSWER_MOST = 0.5  # seconds after its time within which a request has to get its final answer
WORK = 0.05


async def work(exchange: Exchange) -> None:
    """A sound server."""
    await asyncio.sleep(WORK)
    await exchange.send(answer(200, exchange.request.id.encode()))


class Client:
    """One client with a connection that it keeps; a request is written to its last byte, then read."""

    def __init__(self, stage: Stage, proxy: Proxy, rng: random.Random, broken: list[str]) -> None:
        self._stage, self._proxy, self._rng, self._broken = stage, proxy, rng, broken
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.sent = self.answered = self.crossed = 0

    async def play(self, until: float) -> None:
        """Send one request after another."""
        while self._stage.now() < until:
            await asyncio.sleep(self._rng.uniform(0.0, THINK))
            if self._reader is None or self._reader.at_eof():
                self._drop()
                try:
                    self._reader, self._writer = await asyncio.open_connection(*self._proxy.listen)
                except OSError:
                    continue
            await self._ask()
        self._drop()

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _ask(self) -> None:
        assert self._reader is not None and self._writer is not None
        number, kind = fresh_id(), "move-submit"
        timeout = DEADLINES[kind]
        text = request(kind, number, timeout, body=bytes(BODY))
        begun, ended_at = time.monotonic(), None
        self.sent += 1
        whole = True
        for start in range(0, len(text), PIECE):
            try:
                self._writer.write(text[start:start + PIECE])
                await self._writer.drain()
            except OSError:  # the connection was reset under it: it is not written to its end
                whole = False
                break
            if ended_at is None and self._reader.at_eof():
                ended_at = time.monotonic()
            await asyncio.sleep(PIECE / PACE)
        status = 0
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            found = await asyncio.wait_for(read_answer(self._reader), timeout + ANSWER_MOST)
            status = found.status
        if status:
            self.answered += 1
            self._stage.note("answered", id=number, status=status)
            return
        read_for = None if ended_at is None else round(ended_at - begun, 3)
        ran = len(self._stage.runs.get(number, ()))
        self._stage.note("unanswered", id=number, written_whole=whole, ended_after=read_for, ran=ran)
        if whole and read_for is not None and read_for >= READ_AFTER:
            self._broken.append(f"{number}: closed without an answer {read_for} s after its first byte")
        else:
            self.crossed += 1
        self._drop()


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
    """Clients at work; a crowd of idle ones comes for some seconds."""
    rng = random.Random(stage.rng_seed)
    for number in range(3):
        await stage.add_backend(f"s-{number}", work)
    proxy = await stage.add_proxy("n0", sockets=SOCKETS)
    broken: list[str] = []
    clients = [Client(stage, proxy, rng, broken) for _ in range(CLIENTS)]
    begun = stage.now()
    tasks = [client.play(begun + PLAY_FOR) for client in clients]
    if TROUBLE:
        until = begun + CROWD_AT + CROWD_FOR
        tasks += [idle(proxy, CROWD_AT + CROWD_IN * n / CROWD, until, stage) for n in range(CROWD)]
    await asyncio.gather(*tasks)
    stage.note("sum", sent=sum(c.sent for c in clients), answered=sum(c.answered for c in clients),
               crossed=sum(c.crossed for c in clients), host=HOST)
    print(f"sent {sum(c.sent for c in clients)}, answered {sum(c.answered for c in clients)}, "
          f"crossed {sum(c.crossed for c in clients)}")
    return broken


main(play, __file__)
