"""Takes up discovery's address from a replaced configuration, however long that can't be read."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from lugspur.config import Address, ConfigError
from lugspur.trace import trace

RETRY_FIRST, RETRY_MOST = 0.1, 1.0  # seconds between attempts to read the file, doubling
DOUBLINGS_MOST = 8  # of that wait: far beyond its most

Signature = tuple[int, int, int]


class Reloader:
    """Reads the configuration again on request, and once more whenever it may have changed.

    A request is owed until the file has been read: it may be half written when the signal comes, or the
    system may have no descriptor left. A signal that was lost, or that came before its file, is made good by
    `check`, which is called when discovery can't be reached: it reads a file that has changed since.
    """

    def __init__(
        self, path: Path | None, read: Callable[[], Address], move: Callable[[Address], None],
        report: Callable[[Exception], None],
    ) -> None:
        """`read` raises ConfigError or MemoryError; `report` is told of the first one of each request."""
        self._path = path
        self._read = read
        self._move = move
        self._report = report
        self._seen = self._signature()
        self._attempts = 0  # in vain, since the request
        self._retry: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Read the file now, and again until it can be read."""
        trace.record("process.signal", name="SIGHUP")
        self._cancel()
        self._attempts = 0
        self._attempt(self._report)

    def check(self) -> None:
        """Read the file where it has changed since it was read last."""
        signature = self._signature()
        if self._retry is None and signature is not None and signature != self._seen:
            self._attempts = 0
            self._attempt()

    def _attempt(self, report: Callable[[Exception], None] = lambda _: None) -> None:
        self._retry = None
        signature = self._signature()  # before it is read: what is written meanwhile is a change
        try:
            address = self._read()
        except (ConfigError, MemoryError) as fault:
            trace.record("config.unreadable", reason=str(fault)[:200], attempts=self._attempts)
            report(fault)
            wait = min(RETRY_MOST, RETRY_FIRST * 2.0 ** min(self._attempts, DOUBLINGS_MOST))
            self._attempts += 1
            self._retry = asyncio.get_running_loop().call_later(wait, self._attempt)
            return
        self._seen = signature
        trace.record("config.read", discovery=address)
        self._move(address)

    def _signature(self) -> Signature | None:
        """What tells one text of the file from another; None where the system doesn't say."""
        if self._path is None:
            return None
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_ino, found.st_size

    def _cancel(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
