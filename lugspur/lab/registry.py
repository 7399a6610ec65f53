"""A stand-in discovery on the platform's protocol: the whole list, and watches that follow its changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager, suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from lugspur.config import Address
from lugspur.lab.backends import Backend

ALIVE_EVERY = 2.0  # seconds between the empty lines of a watch on which nothing changes


class Registry:
    """Keeps the list, numbers its changes, and tells them to every watch."""

    def __init__(self, index: int = 1, entries: Iterable[dict[str, Any]] = ()) -> None:
        """After a restart: the list, and its version, that it had before."""
        self.index = index
        self._oldest = index  # of the changes that it can still tell one by one
        self.watches = 0  # opened since the start
        self.told_bytes = self.told_messages = 0  # on all watches, empty lines too
        self._entries: dict[str, dict[str, Any]] = {entry["name"]: entry for entry in entries}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int = 0) -> Address:
        """Listen on this port, or a free one, of this host; its address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        address: Address = self._server.sockets[0].getsockname()
        return address

    async def change(self, *entries: dict[str, Any]) -> None:
        """Entries that are new or have changed; a `terminated` one leaves the list."""
        async with self._changed:
            self.index += 1
            for entry in entries:
                self._changes.append((self.index, entry))
                if entry["status"] == "terminated":
                    self._entries.pop(entry["name"], None)
                else:
                    self._entries[entry["name"]] = entry
            self._changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """The list as a message."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self._entries.values())}

    def since(self, told: int) -> dict[str, Any]:
        """What changed after this version as a message; the whole list where that is not known any more."""
        if told < self._oldest:
            return self.whole()
        rows = [entry for index, entry in self._changes if index > told]
        return {"index": self.index, "snapshot": False, "endpoints": rows}

    async def wait_for_change(self, told: int) -> None:
        """Until the list is newer than this version, or an empty line of a watch is due."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ALIVE_EVERY), self._changed:
                while told >= self.index:
                    await self._changed.wait()

    @property
    def following(self) -> int:
        """Watches that are open now."""
        return len(self._tasks)

    def reset(self) -> None:
        """Break every watch that is open; whoever had one calls again."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Stop listening and end every watch."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            asked = parse_qs(urlsplit(head.split()[1].decode()).query)
            if "follow" in asked:
                await self._follow(writer, int(asked.get("since", ["0"])[0]))
            else:
                body = orjson.dumps(self.whole())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (
                    len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _follow(self, writer: asyncio.StreamWriter, since: int) -> None:
        self.watches += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = since
        while True:
            line = orjson.dumps(self.since(told)) + b"\n" if told < self.index else b"\n"
            told = max(told, self.index)
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            self.told_bytes += len(line)
            self.told_messages += 1
            await writer.drain()
            await self.wait_for_change(told)


@asynccontextmanager
async def listed(backends: Sequence[Backend]) -> AsyncIterator[tuple[Registry, Address]]:
    """The backends up, and a discovery that lists them, with its address; all are ended after."""
    registry = Registry()
    try:
        address = await registry.open("127.0.0.1")
        for one in backends:
            await one.start("127.0.0.1")
        await registry.change(*[one.entry() for one in backends])
        yield registry, address
    finally:
        for one in backends:
            one.die()
        await registry.close()
