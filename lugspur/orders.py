"""What operators have ordered and a second process has to know: backends out of use, a drain.

One small file in the proxy's folder, put in place whole: whoever reads it sees all of an order or nothing.
Two processes of one proxy may change it, so each change is made under a lock, on what the file holds by then.

A change that was kept holds here, at the other process and after a restart. One that could not be kept is
withdrawn before the lock is let go, so that no process ever reads it. A file that can't be read for now is
read again; one that does not check is set aside under another name.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO
from urllib.parse import quote

import orjson

from lugspur.events import log

LOCK_WITHIN = 1.0  # seconds that a change waits for the lock: who holds it does so for a few system calls
TEXT_MOST = 4 << 20  # bytes of a file: thousands of names
LOCK_LOOK = 0.01  # seconds between tries


@dataclass(slots=True, frozen=True)
class Orders:
    """All that holds now."""

    excluded: frozenset[str] = frozenset()  # names of backends
    drained: bool = False


def path_for(environ: Mapping[str, str], name: str) -> Path | None:
    """Where the proxy of this name keeps its orders; None without a folder of its own."""
    folder = environ.get("TMPDIR")
    return Path(folder) / f"lugspur-{quote(name, safe='')}.orders" if folder else None


def _numbered(path: Path, number: int) -> Path:
    return path.with_suffix(f".orders-{number}")


def _numbers(path: Path) -> Iterator[int]:
    """The numbers of the texts that lie there: the highest one holds."""
    for name in os.listdir(path.parent):
        base, _, number = name.rpartition("-")
        if base == path.name and number.isascii() and number.isdigit():
            yield int(number)


def encode(orders: Orders) -> bytes:
    """Orders as the text of a file."""
    return orjson.dumps({"excluded": sorted(orders.excluded), "drained": orders.drained})


def parse_orders(text: bytes) -> Orders:
    """The orders in a text; ValueError, TypeError or KeyError where it makes no sense."""
    value = orjson.loads(text)
    excluded, drained = value["excluded"], value["drained"]
    if not isinstance(excluded, list) or not all(isinstance(name, str) for name in excluded):
        raise ValueError("the backends are no list of names")
    if not isinstance(drained, bool):
        raise ValueError("the drain is neither true nor false")
    return Orders(frozenset(excluded), drained)


class OrderBook:
    """The orders as this process last knew them, and their file; without one they hold in memory alone."""

    kept = 1  # texts that lie there once a change is made: the newest holds, one before it is for a bad disk

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._seen = 0  # the number of the text that was read or written last
        self._unusable: set[int] = set()  # texts that do not check
        self._withdrawn: set[int] = set()  # texts of changes that could not be kept, still to be removed...
        self._held: BinaryIO | None = None  # ...and the lock, held until they are
        self.current = Orders()
        self.pending = False  # something could not be read or removed yet: `refresh` is to be called again
        self.set_aside = 0  # texts that did not check

    def change(self, edit: Callable[[Orders], Orders]) -> Orders:
        """Make a change to what holds; an OSError means that it could not be kept, and nothing changed."""
        if self._path is None:
            self.current = edit(self.current)
            return self.current
        self._finish_withdrawal(self._path)
        with self._locked(self._path) as lock:
            self._take_up(self._path)
            wanted = edit(self.current)
            if wanted != self.current:
                self._write(self._path, wanted, lock)
        self.current = wanted
        return wanted

    def refresh(self) -> bool:
        """Take up what another process has ordered; False if there is nothing new.

        No file is no news. What can't be read now is reported, and read at the next call.
        """
        if self._path is None:
            return False
        try:
            self._finish_withdrawal(self._path)
            self.pending = False
            newest = max((n for n in _numbers(self._path) if n not in self._unusable), default=0)
            if newest <= self._seen:
                return False
            with self._shared(self._path):
                return self._take_up(self._path)
        except BlockingIOError:  # a change is being made: its text may still be withdrawn
            self.pending = True
        except FileNotFoundError:  # the folder itself is missing
            pass
        except OSError as fault:
            self.pending = True
            self._report(fault)
        return False

    def figures(self) -> list[str]:
        """The figures, as lines of the operators' telemetry."""
        if self._path is None:
            return []
        return [f"orders.set_aside={self.set_aside}", f"orders.pending={int(self.pending)}"]

    def _take_up(self, path: Path) -> bool:
        """Read the newest text that checks, if it is newer than what holds; under the lock."""
        numbers = (n for n in _numbers(path) if n > self._seen and n not in self._unusable)
        for number in sorted(numbers, reverse=True):
            try:
                found = self._read(_numbered(path, number))
            except FileNotFoundError:
                continue
            except (ValueError, TypeError, KeyError) as fault:
                self._set_aside(path, number, fault)
                continue
            self._seen, self.current = number, found
            return True
        return False

    def _set_aside(self, path: Path, number: int, fault: Exception) -> None:
        """Put a text that does not check out of the way; the last one alone is kept."""
        self._unusable.add(number)
        self.set_aside += 1
        self._report(fault)
        with suppress(OSError):  # it is passed over all the same
            os.replace(_numbered(path, number), path.with_suffix(".set-aside"))

    def _report(self, fault: Exception) -> None:
        log.warning("orders.fault", file=str(self._path), error=repr(fault))

    def _read(self, path: Path) -> Orders:
        with path.open("rb") as file:
            text = file.read(TEXT_MOST + 1)
        if len(text) > TEXT_MOST:
            raise ValueError("the text is too long")
        return parse_orders(text)

    def _put(self, path: Path, orders: Orders) -> None:
        fresh = path.with_suffix(".new")
        fresh.write_bytes(encode(orders))
        os.rename(fresh, path)

    def _write(self, path: Path, orders: Orders, lock: BinaryIO) -> None:
        older = sorted(_numbers(path), reverse=True)
        number = max([self._seen, *self._unusable, *older]) + 1
        # A name of its own for each text: a rename onto one in use waits for the disk, for seconds at times.
        try:
            self._put(_numbered(path, number), orders)
        except OSError:
            self._withdraw(path, number, lock)
            raise
        self._seen = number
        for old in older[self.kept - 1:]:
            with suppress(OSError):  # it is older than what holds, and removed with the next change
                _numbered(path, old).unlink(missing_ok=True)

    def _withdraw(self, path: Path, number: int, lock: BinaryIO) -> None:
        """Remove the text of a change that could not be kept; the lock is held until it is gone."""
        self._withdrawn.add(number)
        try:
            self._remove_withdrawn(path)
        except OSError as fault:
            self._report(fault)
            self._held = os.fdopen(os.dup(lock.fileno()), "wb")
            self.pending = True

    def _finish_withdrawal(self, path: Path) -> None:
        """Remove what could not be removed before; an OSError means that it still can't."""
        if self._held is None:
            return
        self._remove_withdrawn(path)
        self._held.close()
        self._held = None

    def _remove_withdrawn(self, path: Path) -> None:
        for number in tuple(self._withdrawn):
            _numbered(path, number).unlink(missing_ok=True)
            self._withdrawn.discard(number)

    @staticmethod
    @contextmanager
    def _locked(path: Path) -> Iterator[BinaryIO]:
        """Hold the lock; a killed process lets go of it, and one that is stopped is not waited for."""
        with open(path.with_suffix(".lock"), "wb") as file:
            latest = time.monotonic() + LOCK_WITHIN
            while True:
                try:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError as fault:
                    if time.monotonic() >= latest:
                        raise OSError(errno.EAGAIN, "another process holds the lock") from fault
                time.sleep(LOCK_LOOK)
            yield file

    @staticmethod
    @contextmanager
    def _shared(path: Path) -> Iterator[None]:
        """Hold off changes while texts are read; BlockingIOError where one is being made."""
        lock = path.with_suffix(".lock")
        if not lock.exists():  # nobody has ever made a change with it
            yield
            return
        with lock.open("rb") as file:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            yield
