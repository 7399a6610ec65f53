"""A bounded open-loop load: so many requests at a rate, dealt to the proxies in turn, each outcome kept."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from lugspur.config import Address


@dataclass(slots=True, frozen=True)
class Answer:
    """How one request ended: `at` seconds after the load began it was sent, `took` seconds later answered.

    `status` is the HTTP status, 0 for a connection that was refused, broke or stayed silent; `zone` and
    `backend` name who served it.
    """

    at: float
    took: float
    status: int
    proxy: int
    zone: str = ""
    backend: str = ""

    @property
    def outcome(self) -> str:
        """`served`, `refused`, `failed` or `lost`."""
        if self.status == 200:
            return "served"
        if self.status in (429, 503):
            return "refused"
        return "failed" if self.status else "lost"


def outcomes(answers: Iterable[Answer]) -> Counter[str]:
    """How many ended in which way."""
    return Counter(answer.outcome for answer in answers)


class Load:
    """Requests of one class to these proxies. Connections are kept and used again, one request at a time."""

    def __init__(
        self, proxies: Sequence[Address], kind: str = "read", timeout: float = 2.0, keys: int = 0
    ) -> None:
        """With `keys`, request n has the affinity key n // proxies modulo that, in `X-Affinity`."""
        self._proxies = proxies
        self._idle: list[list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = [[] for _ in proxies]
        self._kind, self._timeout, self._keys = kind, timeout, keys
        self._count = 0
        self.answers: list[Answer] = []

    async def play(self, count: int, rate: float) -> list[Answer]:
        """Send `count` requests at `rate` a second, whatever becomes of them; all answers, in order sent."""
        begun = time.monotonic()
        tasks: list[asyncio.Task[Answer]] = []
        for number in range(count):
            wait = begun + number / rate - time.monotonic()
            if wait > 0.0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.create_task(self.ask(number % len(self._proxies), begun)))
        answers = list(await asyncio.gather(*tasks))
        self.answers += answers
        return answers

    async def ask(self, proxy: int, begun: float) -> Answer:
        """One request to this proxy, by an id that begins with `pNUMBER-`: a backend can tell the proxy."""
        self._count += 1
        sent = time.monotonic()
        method = "GET" if self._kind == "read" else "POST"
        key = f"Idempotency-Key: k{self._count}\r\n" if self._kind == "once" else ""
        asked = (self._count - 1) // len(self._proxies)
        affinity = f"X-Affinity: key{asked % self._keys}\r\n" if self._keys else ""
        request = (
            f"{method} /api/k HTTP/1.1\r\nHost: lab\r\nX-Request-ID: p{proxy}-{id(self)}-{self._count}\r\n"
            f"{affinity}"
            f"X-Priority-Class: {self._kind}\r\nX-Tenant-Id: acme\r\nX-Timeout: {self._timeout:.3f}\r\n{key}"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        status, body = 0, b""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(self._timeout + 1.0):
                status, body = await self._exchange(proxy, request)
        zone, _, backend = body.decode(errors="replace").partition(" ") if status == 200 else ("", "", "")
        return Answer(sent - begun, time.monotonic() - sent, status, proxy, zone, backend)

    async def _exchange(self, proxy: int, request: bytes) -> tuple[int, bytes]:
        idle = self._idle[proxy]
        while idle and idle[-1][0].at_eof():  # closed by the proxy, or by its end
            idle.pop()[1].transport.abort()
        reader, writer = idle.pop() if idle else await asyncio.open_connection(*self._proxies[proxy])
        kept = False
        try:
            writer.write(request)
            status, headers, body = await read_answer(reader)
            kept = b"connection: close" not in headers.lower()
            return status, body
        finally:
            if kept:
                idle.append((reader, writer))
            else:
                writer.transport.abort()

    def close(self) -> None:
        """Let go of the kept connections."""
        for idle in self._idle:
            for _, writer in idle:
                writer.transport.abort()
            idle.clear()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """One answer with a Content-Length: its status, its head, its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return int(head.split(None, 2)[1]), head, await reader.readexactly(length)


async def call(address: Address, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """One call of an operator; status 0 where nobody answers."""
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                status, _, text = await read_answer(reader)
                return status, text
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
