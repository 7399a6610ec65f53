"""The ids of requests that may have run, in memory that the two processes of an upgrade read from each other.

Each process writes a table of its own (`jaspershelf.request_ids`). Where a second process may take over, the
table lies in anonymous memory, and a file in the temporary folder says where: the other process maps it, so
that an id stands there for both from the moment it is claimed, also after the one that wrote it has ended.
"""

from __future__ import annotations

import asyncio
import mmap
import os
import struct
from collections.abc import Iterator
from concurrent.futures import Executor
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import orjson

from jaspershelf.model import Repeat, Settings
from jaspershelf.request_ids import SLACK, IdTable, SentIds, Standing, table_size
from lugspur.events import log
from lugspur.memory import Account, Purpose
from lugspur.trace import trace

LOOK_EVERY = 0.2  # seconds between looks for another process
TOLD_MOST = 1.0  # seconds that the start of a process waits until the others read its table
TOLD_LOOK_EVERY = 0.02  # seconds
OTHERS_MOST = 4  # processes whose tables are read at a time
TOKEN_SIZE = 16  # bytes that tell one table from another
READERS = struct.Struct("=6Q")  # the numbers of the processes that read a table
HEADER_SIZE = TOKEN_SIZE + READERS.size


class SharedMemory:
    """A table's memory: its token, who reads it, and the table itself."""

    def __init__(self, buffer: bytearray | mmap.mmap) -> None:
        self._buffer = buffer
        self.size = len(buffer)
        self.table = IdTable(memoryview(buffer)[HEADER_SIZE:])

    @property
    def token(self) -> bytes:
        """What tells it from others."""
        return bytes(self._buffer[:TOKEN_SIZE])

    @token.setter
    def token(self, token: bytes) -> None:
        self._buffer[:TOKEN_SIZE] = token

    def readers(self) -> tuple[int, ...]:
        """The processes that read it."""
        return READERS.unpack_from(self._buffer, TOKEN_SIZE)

    def add_reader(self, process: int) -> None:
        """This process reads it from now on, in place of one that has ended."""
        readers = list(self.readers())
        if process in readers:
            return
        place = next((n for n, reader in enumerate(readers) if not reader or not is_alive(reader)), 0)
        readers[place] = process
        READERS.pack_into(self._buffer, TOKEN_SIZE, *readers)


def is_alive(process: int) -> bool:
    """Whether a process runs."""
    return os.path.exists(f"/proc/{process}")


def _map(descriptor: int) -> SharedMemory:
    return SharedMemory(mmap.mmap(descriptor, os.fstat(descriptor).st_size))


@dataclass(slots=True)
class _Other:
    """Another process's table, as it is read here."""

    process: int
    memory: SharedMemory
    ended_at: float | None = None  # when it was first seen to have ended


class SentIdBook:
    """The ids of this process, and those that others tell."""

    def __init__(self, ids: int, keep: float, account: Account, shared: bool = False) -> None:
        """Room for so many ids, each held for `keep` seconds; `shared`: another process may read them."""
        size = HEADER_SIZE + table_size(ids)
        self.keep = keep
        self.descriptor: int | None = None
        self.memory = self._shared_memory(size) if shared else SharedMemory(bytearray(size))
        self.ids = SentIds(self.memory.table, keep)
        self.claim, self.settle = self.ids.claim, self.ids.settle
        self._holding = account.holding(Purpose.IDS)
        self.account_for(())

    def _shared_memory(self, size: int) -> SharedMemory:
        """Memory that another process can map; such as only this one has where the system refuses."""
        try:
            descriptor = os.memfd_create("lugspur-ids", os.MFD_CLOEXEC)
            try:
                os.posix_fallocate(descriptor, 0, size)  # a page that is missing later would be a signal
                memory = _map(descriptor)
                memory.token = os.urandom(TOKEN_SIZE)
            except BaseException:
                os.close(descriptor)
                raise
        except OSError as fault:
            log.error("ids.not_shared", error=str(fault.strerror))
            return SharedMemory(bytearray(size))
        self.descriptor = descriptor
        return memory

    def account_for(self, others: tuple[SharedMemory, ...]) -> None:
        """Read these tables too."""
        self.ids.others = tuple(other.table for other in others)
        self._holding.set(self.memory.size + sum(other.size for other in others))


def book_for(settings: Settings, ids: int, account: Account, shared: bool) -> SentIdBook:
    """A book for so many ids, each held for as long as its request may come again or run again."""
    deadline = max(row.deadline for row in settings.classes)
    window = max(row.window for row in settings.classes)
    return SentIdBook(ids, deadline + window + SLACK, account, shared)


def refusal(standing: Standing, repeat: Repeat) -> tuple[int, bytes, bytes]:
    """The answer to a request that is not sent on: a promise of no effect only where it holds."""
    harmless = standing is Standing.FULL or repeat is Repeat.SAFE
    return 503 if harmless else 409, b"", standing.value.encode() + b"\n"


class IdExchange:
    """Tells another process of this one's table, and reads the other's."""

    def __init__(self, book: SentIdBook, path: Path, executor: Executor) -> None:
        """`path` without its suffix names the files of all processes; the executor touches them."""
        self._book = book
        self._path = path
        self._executor = executor
        self._loop = asyncio.get_running_loop()
        self._process = os.getpid()
        self._own = path.with_suffix(f".ids-{self._process}")
        self._published = False
        self._failing = False
        self._others: dict[int, _Other] = {}
        self._task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Return once those that run have been told, or have not taken note in time."""
        if self._book.descriptor is None:
            return
        latest = self._loop.time() + TOLD_MOST
        await self._look_once()
        while not self._is_told() and self._loop.time() < latest:
            await asyncio.sleep(TOLD_LOOK_EVERY)
        trace.record("ids.shared", others=len(self._others), told=self._is_told())
        self._task = self._loop.create_task(self._go_on())

    async def _go_on(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            await self._look_once()

    async def _look_once(self) -> None:
        try:
            await self._loop.run_in_executor(self._executor, self._look)
            self._failing = False
        except Exception as fault:  # Guards later looks: one that fails is made again.
            if not self._failing:
                log.warning("ids.fault", error=repr(fault)[:200])
            self._failing = True
        self._book.account_for(tuple(other.memory for other in self._others.values()))

    def _is_told(self) -> bool:
        readers = self._book.memory.readers()
        return all(process in readers for process in self._others if is_alive(process))

    # ---- in the executor's thread --------------------------------------------------------------------

    def _look(self) -> None:
        fault = None
        for step in (self._publish, self._forget_ended, self._attach_all):
            try:
                step()
            except Exception as found:  # Guards the other steps.
                fault = found
        if fault is not None:
            raise fault

    def _files(self) -> Iterator[tuple[Path, int]]:
        """The files of all processes, and the number of each."""
        prefix = f"{self._path.with_suffix('').name}.ids-"
        for name in os.listdir(self._path.parent):
            number = name.removeprefix(prefix)
            if name.startswith(prefix) and number.isascii() and number.isdigit():
                yield self._path.with_name(name), int(number)

    def _attach_all(self) -> None:
        for path, process in self._files():
            if process != self._process and process not in self._others:
                self._attach(path, process)

    def _publish(self) -> None:
        if self._published:
            return
        text = orjson.dumps({"fd": self._book.descriptor, "token": self._book.memory.token.hex()})
        fresh = self._own.with_suffix(f".new-ids-{self._process}")
        try:
            fresh.write_bytes(text)
            os.rename(fresh, self._own)
        except OSError:
            with suppress(OSError):
                fresh.unlink(missing_ok=True)
            raise
        self._published = True

    def _attach(self, path: Path, process: int) -> None:
        if not is_alive(process):
            path.unlink(missing_ok=True)
            return
        if len(self._others) >= OTHERS_MOST:
            return
        row = orjson.loads(path.read_bytes())
        descriptor = os.open(f"/proc/{process}/fd/{int(row['fd'])}", os.O_RDWR | os.O_CLOEXEC)
        try:
            memory = _map(descriptor)
        finally:
            os.close(descriptor)
        if memory.token.hex() != row["token"]:
            raise ValueError(f"process {process} has another table there")
        self._others[process] = _Other(process, memory)
        memory.add_reader(self._process)

    def _forget_ended(self) -> None:
        """Read a table on for as long as what it holds counts."""
        now = self._loop.time()
        for other in tuple(self._others.values()):
            if is_alive(other.process):
                continue
            if other.ended_at is None:
                other.ended_at = now
            elif now - other.ended_at > self._book.keep:
                del self._others[other.process]
                self._path.with_suffix(f".ids-{other.process}").unlink(missing_ok=True)
