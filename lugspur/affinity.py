"""Affinity: which servers a key belongs to, the same at every proxy that has the same list.

Rendezvous (highest random weight) hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", 1998, with weights; the hash is XXH64. A server that leaves moves its own keys alone, and one
that joins takes about 1/N of them. How much of a key's load its server bears is the module's to say.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

import xxhash

CHOICES = 4  # servers of a key that the module is given, best first
KEYS_MOST = 4_096  # keys whose servers are remembered: a hash for each server is work


class Affinity:
    """The ranking of the servers in use, for the keys that a header holds."""

    def __init__(self, header: str) -> None:
        self._header = header.lower().encode()
        self._servers: list[tuple[int, bytes, float]] = []
        self._known: dict[bytes, tuple[int, ...]] = {}

    def use(self, servers: Iterable[tuple[int, float]]) -> None:
        """The servers that there are now, by number, with their weights."""
        self._servers = [
            (number, number.to_bytes((number.bit_length() + 7) // 8, "big"), weight or 1.0)
            for number, weight in servers
        ]
        self._known.clear()

    def choices(self, lines: bytes) -> tuple[int, ...]:
        """The best servers for the key in a request's header lines; none without a key."""
        for line in lines.split(b"\r\n"):
            name, colon, value = line.partition(b":")
            if colon and name.lower() == self._header:
                return self.ranked(value.strip())
        return ()

    def ranked(self, key: bytes) -> tuple[int, ...]:
        """The best servers for a key, best first."""
        found = self._known.get(key)
        if found is None:
            if len(self._known) >= KEYS_MOST:
                self._known.clear()
            scores = heapq.nsmallest(CHOICES, (
                (-math.log((xxhash.xxh64_intdigest(key + b"\0" + name) + 1) / 2.0 ** 64) / weight, number)
                for number, name, weight in self._servers
            ))
            found = self._known[key] = tuple(number for _, number in scores)
        return found
