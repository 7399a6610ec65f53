"""A registry that tells the true list, and one that is hostile in a way that it draws for each call."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any

from hostile import registry

KEEP_ALIVE_EVERY = 1.0  # seconds
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOSTILE = (
    registry.indented_without_end, registry.line_without_end, registry.empty_lines, registry.tiny_values,
    registry.new_names, registry.draining_names,
)


class StandInRegistry:
    """One listening registry; `entries` is what it tells, None for a hostile one."""

    def __init__(self, entries: Sequence[dict[str, Any]] | None, rng: random.Random) -> None:
        self._entries = entries
        self._rng = rng
        self.port = 0

    async def open(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Take no more calls."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self._entries is None:
                await self._rng.choice(HOSTILE)(reader, writer)
            else:
                await self._tell(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        message = {"index": 5, "snapshot": True, "endpoints": self._entries}
        line = json.dumps(message).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await asyncio.sleep(KEEP_ALIVE_EVERY)
            line = b"\n"
