"""What operators have ordered and a second process has to know: backends out of use, a drain.

One small file in the proxy's own folder, replaced whole: whoever reads it sees all of an order or nothing.
Two processes of one proxy may change it, so each change is made under a lock, on what the file holds by then.
"""

from __future__ import annotations

import fcntl
import os
import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote

import orjson


@dataclass(slots=True, frozen=True)
class Orders:
    """All that holds now."""

    excluded: frozenset[str] = frozenset()  # names of backends
    drained: bool = False


def path_for(environ: Mapping[str, str], name: str) -> Path | None:
    """Where the proxy of this name keeps its orders; None without a folder of its own."""
    folder = environ.get("TMPDIR")
    return Path(folder) / f"lugspur-{quote(name, safe='')}.orders" if folder else None


def _parse(text: bytes) -> Orders:
    value = orjson.loads(text)
    excluded, drained = value["excluded"], value["drained"]
    if not isinstance(excluded, list) or not all(isinstance(name, str) for name in excluded):
        raise ValueError("the backends are no list of names")
    if not isinstance(drained, bool):
        raise ValueError("the drain is neither true nor false")
    return Orders(frozenset(excluded), drained)


class OrderBook:
    """The orders as this process last knew them, and their file; without one they hold in memory alone."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._seen: tuple[int, int, int] | None = None  # which text of the file was read last
        self.current = Orders()

    def change(self, edit: Callable[[Orders], Orders]) -> Orders:
        """Make a change to what holds; an OSError means that it could not be kept, and nothing changed."""
        if self._path is None:
            self.current = edit(self.current)
            return self.current
        with self._locked(self._path):
            self.refresh()
            wanted = edit(self.current)
            if wanted != self.current:
                self._replace(self._path, wanted)
        self.current = wanted
        return wanted

    def refresh(self) -> bool:
        """Take up what another process has ordered; False if there is nothing new.

        No file is no news, and one that can't be read is reported once and changes nothing.
        """
        if self._path is None:
            return False
        try:
            with open(self._path, "rb") as file:
                seen = self._mark(os.fstat(file.fileno()))
                if seen == self._seen:
                    return False
                self._seen = seen
                self.current = _parse(file.read())
        except FileNotFoundError:
            return False
        except (OSError, ValueError, TypeError, KeyError) as fault:
            print(f"lugspur: {self._path}: {fault!r}".replace("\n", " "), file=sys.stderr, flush=True)
            return False
        return True

    @staticmethod
    def _mark(stat: os.stat_result) -> tuple[int, int, int]:
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _replace(self, path: Path, orders: Orders) -> None:
        fresh = path.with_suffix(".new")
        with open(fresh, "wb") as file:
            file.write(orjson.dumps({"excluded": sorted(orders.excluded), "drained": orders.drained}))
            file.flush()
            self._seen = self._mark(os.fstat(file.fileno()))
        os.replace(fresh, path)

    @staticmethod
    @contextmanager
    def _locked(path: Path) -> Iterator[None]:
        """Hold the lock; who else holds it does so for a few system calls, and a killed one lets go."""
        with open(path.with_suffix(".lock"), "wb") as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            yield
