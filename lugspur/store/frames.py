"""Framed records in a file: each one's length and checksum, a header first, and a reader that never raises.

File: records one after another. Record: length of the payload (4 bytes), XXH64 of the payload with the
length as its seed (8 bytes), both little-endian (xxhash.com's specification), payload (MessagePack). The
first record is the header: `{"format": NAME, "version": VERSION, "kind": kind, "name": process's name,
"start": Unix seconds, "generation": number}`. As in the logs of LevelDB and RocksDB, whatever does not
check ends the file there: what comes out is a prefix of what was written.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack  # type: ignore[import-untyped]
import xxhash

FORMAT = "sloewheel-state"
VERSION = 1
HEAD = struct.Struct("<IQ")
RECORD_MOST = 8 << 20  # bytes of one payload
FILE_MOST = 16 << 20  # bytes of one file: nothing we write is larger
AHEAD_MOST = 60.0  # seconds by which a file's start may lie in the future: clocks are set now and then


@dataclass(slots=True, frozen=True)
class Header:
    """Who wrote a file, and which one it is of theirs."""

    kind: str  # "snapshot", "log" or "orders"
    name: str
    start: float  # of the process that wrote it, Unix seconds
    generation: int

    def payload(self) -> dict[str, Any]:
        """The header as the first record."""
        return {"format": FORMAT, "version": VERSION, "kind": self.kind, "name": self.name,
                "start": self.start, "generation": self.generation}


@dataclass(slots=True)
class Contents:
    """What a file holds: its good records after the header, and what ended the reading.

    `fault` is "" for a whole file, else one word: `missing`, `empty`, `huge`, `unreadable`, `foreign` (no
    header of ours, or of another process or kind), `version`, `future`, `torn` (it ends within a record) or
    `checksum`. `good` counts the bytes up to the last good record. Only `torn` and `checksum` leave
    records.
    """

    header: Header | None = None
    records: list[Any] = field(default_factory=list)
    fault: str = ""
    good: int = 0


def pack(value: Any) -> bytes:
    """One record as its bytes; ValueError for one that is too large."""
    payload: bytes = msgpack.packb(value)
    if len(payload) > RECORD_MOST:
        raise ValueError("a record is too large")
    return HEAD.pack(len(payload), xxhash.xxh64_intdigest(payload, len(payload))) + payload


def read(path: Path, kind: str, name: str, now: float) -> Contents:
    """What is in this file, if it is of this kind and process; see `Contents` for what else there may be."""
    try:
        data = read_bytes(path)
    except FileNotFoundError:
        return Contents(fault="missing")
    except OSError:
        return Contents(fault="unreadable")
    return parse(data, kind, name, now)


def read_bytes(path: Path) -> bytes:
    """The file's bytes, not many more than may be in one; OSError where they can't be read."""
    with path.open("rb") as file:
        return file.read(FILE_MOST + 1)


def parse(data: bytes, kind: str, name: str, now: float) -> Contents:
    """`read`, of the file's bytes."""
    if not data:
        return Contents(fault="empty")
    if len(data) > FILE_MOST:
        return Contents(fault="huge")
    values, good, fault = _records(data)
    if not values:
        return Contents(fault="foreign")
    head = values[0]
    if not isinstance(head, dict) or head.get("format") != FORMAT:
        return Contents(fault="foreign")
    if head.get("version") != VERSION:
        return Contents(fault="version")
    start, generation = head.get("start"), head.get("generation")
    if (head.get("kind"), head.get("name")) != (kind, name) or not isinstance(start, float) or type(
            generation) is not int:
        return Contents(fault="foreign")
    if not start <= now + AHEAD_MOST:  # Guards against a file of tomorrow, and a start that is no number.
        return Contents(fault="future")
    return Contents(Header(kind, name, start, generation), values[1:], fault, good)


def _records(data: bytes) -> tuple[list[Any], int, str]:
    """The good records from the start on, where they end, and the fault behind them."""
    values: list[Any] = []
    at = 0
    while at < len(data):
        if at + HEAD.size > len(data):
            return values, at, "torn"
        length, check = HEAD.unpack_from(data, at)
        end = at + HEAD.size + length
        if length > RECORD_MOST:
            return values, at, "checksum"
        if end > len(data):
            return values, at, "torn"
        payload = data[at + HEAD.size:end]
        if xxhash.xxh64_intdigest(payload, length) != check:
            return values, at, "checksum"
        try:
            values.append(msgpack.unpackb(payload, raw=False, strict_map_key=True))
        except (ValueError, OverflowError, msgpack.UnpackException):
            return values, at, "checksum"
        at = end
    return values, at, ""
