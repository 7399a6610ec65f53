"""Ids of requests that may have run, in a table of fixed size: such a request is never sent on again.

An id is held while its request is open and, where it may have run, for a time after. The table is a hash
table of small buckets, two of them for each key (power of two choices: Mitzenmacher 2001), in a buffer that
its owner provides. Other processes may read it: each writes its own table alone and reads the others'.
Sans-I/O; times are seconds of the monotonic clock, which the processes of one machine have in common.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from enum import Enum
from hashlib import blake2b
from math import inf

WAYS = 8  # places of a bucket
PLACE = struct.Struct("=8sd")  # a digest, and until when it is held
BUCKET = struct.Struct("=" + WAYS * "8sd")
SLACK = 1.0  # seconds beyond the longest deadline and window for which an id is held


class Standing(Enum):
    """What is known of a request's id."""

    NEW = "new"
    KNOWN = "it may have run"
    FULL = "too many ids are held"


def table_size(ids: int) -> int:
    """Bytes of a table for so many ids: it is never filled to the last place."""
    buckets = max(1, 2 * ids // WAYS)
    return buckets * BUCKET.size


def digest_of(name: bytes) -> bytes:
    """What stands for an id."""
    return blake2b(name, digest_size=8).digest()


class IdTable:
    """The ids of one process."""

    def __init__(self, buffer: bytearray | memoryview) -> None:
        """`buffer` is empty, or another process's table."""
        self._buffer = buffer
        self._buckets = len(buffer) // BUCKET.size

    def holds(self, now: float, digest: bytes) -> bool:
        """Whether this id is held."""
        for bucket in self._places(digest):
            row = BUCKET.unpack_from(self._buffer, bucket)
            if digest in row and any(
                row[at] == digest and row[at + 1] > now for at in range(0, 2 * WAYS, 2)
            ):
                return True
        return False

    def put(self, now: float, digest: bytes, until: float) -> bool:
        """Hold an id until then, in place of what is held of it; False where there is no room."""
        free: list[list[int]] = []
        for bucket in self._places(digest):
            row = BUCKET.unpack_from(self._buffer, bucket)
            places = [bucket + at // 2 * PLACE.size for at in range(0, 2 * WAYS, 2) if row[at + 1] <= now]
            for at in range(0, 2 * WAYS, 2):
                if row[at] == digest and row[at + 1] > 0.0:
                    PLACE.pack_into(self._buffer, bucket + at // 2 * PLACE.size, digest, until)
                    return True
            free.append(places)
        emptier = max(free, key=len)
        if not emptier:
            return False
        PLACE.pack_into(self._buffer, emptier[0], digest, until)
        return True

    def drop(self, digest: bytes) -> None:
        """Hold an id no more."""
        for bucket in self._places(digest):
            row = BUCKET.unpack_from(self._buffer, bucket)
            for at in range(0, 2 * WAYS, 2):
                if row[at] == digest:
                    PLACE.pack_into(self._buffer, bucket + at // 2 * PLACE.size, digest, 0.0)

    def count(self, now: float) -> int:
        """How many ids are held."""
        rows = BUCKET.iter_unpack(memoryview(self._buffer)[:self._buckets * BUCKET.size])
        return sum(row[at] > now for row in rows for at in range(1, 2 * WAYS, 2))

    def _places(self, digest: bytes) -> tuple[int, int]:
        first, second = struct.unpack("=II", digest)
        return first % self._buckets * BUCKET.size, second % self._buckets * BUCKET.size


class SentIds:
    """The decision: whether a request may be sent on, by its id."""

    def __init__(self, own: IdTable, keep: float) -> None:
        """`keep`: seconds for which an id is held once its request, which may have run, is over."""
        self._own = own
        self._keep = keep
        self.others: Sequence[IdTable] = ()  # of processes that serve the same callers

    def claim(self, now: float, name: bytes) -> Standing:
        """A request with this id is to be sent on: NEW where it may be."""
        digest = digest_of(name)
        if self._own.holds(now, digest):
            return Standing.KNOWN
        if not self._own.put(now, digest, inf):
            return Standing.FULL
        # Written before the others are read: of two processes that claim one id at once, none misses both.
        if any(table.holds(now, digest) for table in self.others):
            self._own.drop(digest)
            return Standing.KNOWN
        return Standing.NEW

    def settle(self, now: float, name: bytes, may_have_run: bool) -> None:
        """The request that claimed this id is over."""
        digest = digest_of(name)
        if may_have_run:
            self._own.put(now, digest, now + self._keep)
        else:
            self._own.drop(digest)
