"""Shared facts among the members, sans-I/O: what each has seen of the servers, and its counts of requests.

A member's facts are one digest: its origin, a version that only grows (when its process started, in
microseconds, and a counter), the time it was made (Unix seconds; all machines read one clock), evidence on
servers, demand by window, and admissions since the start, both by class, then by tenant. A newer digest of
an origin takes the place of the older. Past the staleness bound a digest counts for nothing but its
admissions: those are a grow-only counter (G-counter, Shapiro et al. 2011) with an entry for each origin and
start, merged by maximum, so that copies, delays and splits count nothing twice.

Wire: `{"c": cluster, "v": VERSION, "f": [origin, start, counter, at, evidence, demand, admitted, zone]}`
with evidence `[[server, served ms ago or -1, failed ms ago or -1, failures in a row, slow], ...]`, demand
`[[window, [count by class, then by tenant]], ...]`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgpack  # type: ignore[import-untyped]

from jaspershelf.model import Evidence, SharedView
from lugspur.cluster.codec import FLAT, CodecError, envelope
from lugspur.discovery import server_id, server_name

AHEAD_MOST = 1.0  # seconds by which a digest may be from the future
EVIDENCE_MOST = 100  # servers in a digest: the newest are told
ORIGINS_MOST = 2_000  # entries of the G-counter that are kept


@dataclass(frozen=True)
class Digest:
    """All that one member shares, as of `at` (Unix seconds)."""

    origin: str
    start: int
    counter: int
    at: float
    evidence: tuple[Evidence, ...] = ()
    demand: tuple[tuple[int, tuple[int, ...]], ...] = ()  # offered, by window, and by class and tenant
    admitted: tuple[int, ...] = ()  # by class and tenant since the start
    zone: int = 0  # of the member, in the settings' order

    @cached_property
    def failing(self) -> tuple[Evidence, ...]:
        """The evidence against servers."""
        return tuple(row for row in self.evidence if row.failed > row.served)

    @property
    def version(self) -> tuple[int, int]:
        """What orders the digests of one origin."""
        return self.start, self.counter


def encode(cluster: str, digest: Digest, suspects: Collection[int] = ()) -> bytes:
    """The datagram for a digest; where there is too much evidence that on suspects, then the newest."""
    rows = sorted(digest.evidence, key=lambda row: (
        row.server not in suspects and row.failed <= row.served, -max(row.served, row.failed)
    ))[:EVIDENCE_MOST]
    data: bytes = msgpack.packb(envelope(cluster, FLAT) | {"f": [
        digest.origin, digest.start, digest.counter, digest.at,
        [[server_name(row.server), _ago(digest.at, row.served), _ago(digest.at, row.failed), row.count,
          row.slow] for row in rows],
        [[window, list(counts)] for window, counts in digest.demand], list(digest.admitted), digest.zone,
    ]})
    return data


def _ago(at: float, then: float) -> int:
    return max(0, round(1000.0 * (at - then))) if then > 0.0 else -1


def decode(fields: Any) -> Digest:
    """The digest in a datagram's `f`; CodecError for what is none."""
    try:
        origin, start, counter, at, evidence, demand, admitted, zone = fields
        if not isinstance(origin, str) or not isinstance(at, float) or len(origin) > 255:
            raise ValueError("origin and time")
        return Digest(
            origin, _whole(start), _whole(counter), at,
            tuple(Evidence(server_id(_name(name)), _then(at, served), _then(at, failed), _whole(count),
                           slow is True)
                  for name, served, failed, count, slow in evidence),
            tuple((_whole(window), tuple(map(_whole, counts))) for window, counts in demand),
            tuple(map(_whole, admitted)), _whole(zone),
        )
    except (ValueError, TypeError, AttributeError) as fault:
        raise CodecError("shape") from fault


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 255:
        raise ValueError("a name is a short text")
    return value


def _whole(value: Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 63:
        raise ValueError("a count is a whole number")
    return value


def _then(at: float, ago: Any) -> float:
    if type(ago) is not int or ago < -1:
        raise ValueError("milliseconds or -1")
    return at - ago / 1000.0 if ago >= 0 else 0.0


class Facts:
    """The digests of a group as one member has them; times in Unix seconds."""

    def __init__(self, name: str, staleness: float) -> None:
        self.name = name
        self.staleness = staleness
        self.counters = dict.fromkeys(("received", "stale", "old", "other"), 0)
        self._digests: dict[str, Digest] = {}
        self._admitted: dict[tuple[str, int], tuple[int, ...]] = {}  # the G-counter

    def take(self, now: float, digest: Digest, again: bool = False) -> bool:
        """A digest came, one's own too; False if it tells nothing new, or comes past the staleness bound.

        With `again` it is as new as its version says, also if that is known: its parts come one by one.
        """
        self.counters["received"] += 1
        key = digest.origin, digest.start
        before = self._admitted.get(key, ())
        if len(before) in (0, len(digest.admitted)):
            self._admitted[key] = tuple(map(max, digest.admitted, before)) if before else digest.admitted
            while len(self._admitted) > ORIGINS_MOST:
                del self._admitted[next(iter(self._admitted))]
        if not -AHEAD_MOST <= now - digest.at <= self.staleness:
            self.counters["stale"] += 1
            return False
        known = self._digests.get(digest.origin)
        if again:
            self._digests[digest.origin] = digest
            return True
        if known is not None and known.version >= digest.version:
            self.counters["old"] += 1
            return False
        self._digests[digest.origin] = digest
        return True

    def admitted(self) -> tuple[int, ...]:
        """Requests admitted by the whole group so far, by class, then by tenant."""
        most = max(map(len, self._admitted.values()), default=0)
        return tuple(sum(row[n] for row in self._admitted.values() if len(row) == most) for n in range(most))

    def view(
        self, now: float, live: set[str], held: int, window: int, beside: Collection[str] = ()
    ) -> SharedView:
        """What the module is told: of live members with a digest within the bound; `held` are the dead ones.

        Those `beside`, live members of one's other scopes, give evidence alone.

        Demand is that of this window, one's own apart; a live member that has not told its own counts as one
        with the mean of those that have, so that what is late is never taken for room.
        """
        for origin in [o for o, digest in self._digests.items() if now - digest.at > self.staleness]:
            del self._digests[origin]
        peers = [d for o, d in sorted(self._digests.items()) if o in live and o != self.name]
        mine = self._digests.get(self.name)
        suspects = self.suspects({*live, *beside})
        witnesses = [d for o, d in sorted(self._digests.items())
                     if (o in live or o in beside) and o != self.name] if beside else peers
        rows = [dict(digest.demand).get(window, ()) for digest in peers]
        known = dict(mine.demand).get(window, ()) if mine is not None else ()
        rows = [row for row in rows if len(row) == len(known)]
        missing = len(live | {self.name}) - 1 - len(rows)
        zones: dict[int, float] = {}
        for digest in [*peers, *([mine] if mine is not None else [])]:
            offered = float(sum(dict(digest.demand).get(window, ())))
            zones[digest.zone] = zones.get(digest.zone, 0.0) + offered
        sums = [sum(column) for column in zip(*rows, strict=True)] or [0] * len(known)
        others = tuple(
            told + missing * (told + own) / (len(rows) + 1) for told, own in zip(sums, known, strict=True)
        )
        return SharedView(
            members=len(live | {self.name}), known=len(live | {self.name}) + held,
            evidence=tuple(
                tuple(row for row in digest.evidence
                      if row.server in suspects and now - max(row.served, row.failed) <= self.staleness)
                for digest in witnesses
            ) if suspects else (),
            mine=known, others=others, zone_demand=zones,
        )

    def accused(self, origin: str) -> set[int]:
        """The servers that this member has lately failed on."""
        digest = self._digests.get(origin)
        return {row.server for row in digest.failing} if digest is not None else set()

    def suspects(self, live: set[str]) -> set[int]:
        """The servers that a live member, oneself included, has lately failed on."""
        return {
            row.server for origin, digest in self._digests.items() if origin in live or origin == self.name
            for row in digest.failing
        }

    def verdicts(self, now: float, live: set[str]) -> list[dict[str, object]]:
        """What live members hold of each suspect, for operators: members by verdict, and all failures in a
        row.
        """
        rows: dict[int, dict[str, Any]] = {
            server: {"server": server_name(server), "healthy": 0, "failing": 0, "slow": 0, "count": 0}
            for server in sorted(self.suspects(live))
        }
        for origin, digest in self._digests.items():
            if origin in live or origin == self.name:
                for row in digest.evidence:
                    if row.server in rows and now - max(row.served, row.failed) <= self.staleness:
                        rows[row.server][row.verdict] += 1
                        rows[row.server]["count"] += row.count
        return list(rows.values())
