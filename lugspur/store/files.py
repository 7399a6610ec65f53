"""The state directory: numbered snapshots, an append-only log after each, one writer under a lock.

    DIR/NAME/snapshot-N   all entries as of the start of generation N, ended by a record of its own
    DIR/NAME/log-N        batches of changes since, oldest first
    DIR/NAME/lock         held by the process that writes

State is the highest snapshot that checks whole and the logs from its number on, up to the first record that
does not check: a prefix of what was written, in whole batches. Two generations are kept, so a snapshot that
fails its check falls back to the one before and both logs. A log past LOG_MOST begins a new generation; so
the directory holds at the most DISK_MOST bytes. Every method here may wait for the disk, and none raises
for bad state.
"""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from io import FileIO
from pathlib import Path
from typing import IO, Any, BinaryIO
from urllib.parse import quote

from lugspur.store import frames
from lugspur.store.times import Timeline

LOG_MOST = 1 << 20  # bytes of a log after which a new generation begins
ENTRIES_MOST = 20_000  # entries of a kind: the newest are kept
KEPT = 2  # generations
SNAPSHOT_PART = 1_000  # entries in one record of a snapshot
DISK_MOST = 24 << 20  # bytes of the directory: two snapshots and logs, one being written, one set aside
END = "end"  # a snapshot's last record
# What is wrong with files that are put out of the way; a log that is torn holds good batches up to there.
CLAIMS_STRICT = 10  # tries to become the writer in which all that lies there has to be read
SET_ASIDE = frozenset({"version", "future", "foreign", "empty", "huge"})

Key = tuple[str, str]  # kind and key
Fault = Callable[[str, str], None]  # told of each file that was not as expected: its name, the word for it


@dataclass(slots=True, frozen=True)
class Entry:
    """A value as it was at a time, in Unix seconds."""

    at: float
    value: Any


State = dict[Key, Entry]


def directory_for(state_dir: Path, name: str) -> Path:
    """Where the proxy of this name keeps its state."""
    return state_dir / quote(name, safe="")


def sync_directory(folder: Path) -> None:
    """Make renames in this folder last."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_whole(path: Path, records: Iterable[Any]) -> int:
    """Put a file in place whole, so that it outlasts a loss of power: its bytes. OSError where it can't
    be.
    """
    fresh = path.with_name(path.name + ".new")
    size = 0
    with fresh.open("wb") as file:
        for record in records:
            size += file.write(frames.pack(record))
        file.flush()
        os.fsync(file.fileno())
    os.rename(fresh, path)
    sync_directory(path.parent)
    return size


def apply(state: State, batch: Any, shift: float = 0.0) -> None:
    """Take up one batch: rows of kind, key, time and value; no value takes the entry out. ValueError if
    it is none. `shift` turns its times into the reader's.
    """
    if not isinstance(batch, list):
        raise ValueError("a batch is a list")
    rows = []
    for row in batch:
        kind, key, at, value = row
        if not (isinstance(kind, str) and isinstance(key, str) and isinstance(at, float)):
            raise ValueError("a row is of kind, key, time and value")
        rows.append((kind, key, at, value))
    for kind, key, at, value in rows:
        if value is None:
            state.pop((kind, key), None)
        else:
            state[kind, key] = Entry(at + shift, value)


class Store:
    """One process's hold on its state directory: read first, then written by whoever has the lock."""

    def __init__(
        self, folder: Path, name: str, start: float, fault: Fault, times: Timeline = frames.UNKNOWN
    ) -> None:
        """`times` is what the times of entries are counted by."""
        self._folder, self._name, self._start, self._fault = folder, name, start, fault
        self._times = times
        self._lock: BinaryIO | None = None
        self._log: FileIO | None = None  # unbuffered: what a write has refused is not tried again by a close
        self._size = 0  # of the log
        self._generation = 0
        self._claims = 0  # tries to become the writer that failed
        self.state: State = {}
        self.synced = 0  # batches that are on the disk for good

    @property
    def writing(self) -> bool:
        """Whether this process is the one that writes."""
        return self._lock is not None

    def load(self, now: float) -> State:
        """Read what there is; whatever does not check is told once and passed over."""
        self.state = read_state(self._folder, self._name, now, self._fault, self._times)
        return self.state

    def claim(self, now: float) -> bool:
        """Become the writer, unless another process is: read anew, set aside what is not ours, begin a
        generation.
        """
        if self._lock is not None:
            return True
        self._folder.mkdir(parents=True, exist_ok=True)
        lock = (self._folder / "lock").open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            return False
        self._lock = lock
        try:
            self._begin(now)
        except OSError:
            self._claims += 1
            self.close()
            raise
        return True

    def _begin(self, now: float) -> None:
        """Read, set aside what does not check, and begin a generation after all that were there.

        Guards what lies there: a writer that has not read all of it would put less in its place. What can't
        be read for long is given up.
        """
        found = list(_numbered(self._folder))
        self._generation = max((number for _, number in found), default=0)
        unreadable: list[str] = []

        def told(file: str, word: str) -> None:
            if word == "unreadable":
                unreadable.append(file)
            self._fault(file, word)

        state = read_state(self._folder, self._name, now, told, self._times)
        if unreadable and self._claims < CLAIMS_STRICT:
            raise OSError(errno.EIO, f"{unreadable[0]} can't be read")
        self.state = state
        for kind, number in found:
            path = self._folder / f"{kind}-{number}"
            word = frames.read(path, kind, self._name, now).fault
            if word in SET_ASIDE or (kind == "snapshot" and word in ("torn", "checksum")):
                with suppress(OSError):  # it is passed over all the same
                    os.replace(path, self._folder / "set-aside")  # the last one alone: the room is bounded
        self.compact()

    def append(self, batch: list[tuple[str, str, float, Any]]) -> None:
        """Add a batch of changes, all of them or none; it is on the disk for good when this returns.

        OSError where it can't be written: the next one begins a new generation.
        """
        assert self._lock is not None
        if self._log is None or self._size > LOG_MOST:
            self.compact()
        assert self._log is not None
        data = frames.pack([list(row) for row in batch])
        try:
            left = memoryview(data)
            while left:
                left = left[self._log.write(left):]
            os.fsync(self._log.fileno())
        except OSError:
            # Guards the log's order: nothing may follow what is perhaps half there, or is never on the disk.
            log, self._log = self._log, None
            _close(log)
            raise
        self._size += len(data)
        apply(self.state, batch)
        self.synced += 1

    def compact(self) -> None:
        """Begin a generation: a snapshot of the state, and an empty log; forget all but the one before."""
        self._trim()
        number = self._generation + 1
        rows = [[kind, key, entry.at, entry.value] for (kind, key), entry in self.state.items()]
        parts = [rows[at:at + SNAPSHOT_PART] for at in range(0, len(rows), SNAPSHOT_PART)]
        header = frames.Header("snapshot", self._name, self._start, number, self._times)
        write_whole(self._folder / f"snapshot-{number}", [header.payload(), *parts, END])
        _close(self._log)
        self._log = None
        header = frames.Header("log", self._name, self._start, number, self._times)
        path = self._folder / f"log-{number}"
        self._size = write_whole(path, [header.payload()])
        self._log = path.open("ab", buffering=0)
        self._generation = number
        for kind, old in list(_numbered(self._folder)):
            if old <= number - KEPT:
                (self._folder / f"{kind}-{old}").unlink(missing_ok=True)

    def _trim(self) -> None:
        """Keep the newest entries of each kind: names of servers that are gone must not pile up."""
        kinds: dict[str, list[tuple[float, str]]] = {}
        for (kind, key), entry in self.state.items():
            kinds.setdefault(kind, []).append((entry.at, key))
        for kind, entries in kinds.items():
            for _, key in sorted(entries, reverse=True)[ENTRIES_MOST:]:
                del self.state[kind, key]

    def close(self) -> None:
        """Let go of the files and of the lock."""
        _close(self._log)
        _close(self._lock)
        self._log = self._lock = None


def _close(file: IO[bytes] | FileIO | None) -> None:
    """Close it; what it says then is of no matter, as all that counts was synced before."""
    if file is not None:
        with suppress(OSError):
            file.close()


def _numbered(folder: Path) -> Iterator[tuple[str, int]]:
    """The kinds and numbers of the files that lie there."""
    for name in os.listdir(folder):
        kind, _, number = name.rpartition("-")
        if kind in ("snapshot", "log") and number.isascii() and number.isdigit():
            yield kind, int(number)


def read_state(
    folder: Path, name: str, now: float, fault: Fault, times: Timeline = frames.UNKNOWN
) -> State:
    """The state that this directory holds for this process; an empty one where none checks. Writes
    nothing.
    """
    try:
        numbers = list(_numbered(folder))
    except (FileNotFoundError, NotADirectoryError):
        return {}
    except OSError:
        fault(folder.name, "unreadable")
        return {}
    state: State = {}
    begin = None
    for number in sorted((n for kind, n in numbers if kind == "snapshot"), reverse=True):
        found, word = _snapshot(folder, name, number, now, times)
        if not word:
            state, begin = found, number
            break
        fault(f"snapshot-{number}", word)
    while begin is not None and ("log", begin) in numbers:
        number, begin = begin, begin + 1
        contents = frames.read(folder / f"log-{number}", "log", name, now)
        word = contents.fault
        for batch in contents.records:
            try:
                apply(state, batch, _shift(contents, times))
            except (ValueError, TypeError):
                word = "checksum"
                break
        if word:
            fault(f"log-{number}", word)
            break
    return state


def _snapshot(
    folder: Path, name: str, number: int, now: float, times: Timeline
) -> tuple[State, str]:
    """A snapshot's state, or the word for what is wrong with it."""
    contents = frames.read(folder / f"snapshot-{number}", "snapshot", name, now)
    state: State = {}
    if contents.fault:
        return {}, contents.fault
    if not contents.records or contents.records[-1] != END:
        return {}, "torn"
    try:
        for part in contents.records[:-1]:
            apply(state, part, _shift(contents, times))
    except (ValueError, TypeError):
        return {}, "checksum"
    return state, ""


def _shift(contents: frames.Contents, times: Timeline) -> float:
    return times.shift(contents.header.times) if contents.header is not None else 0.0
