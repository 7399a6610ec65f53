"""What the lab sees of a process of hollow members: traffic by kind, faults on it, news, late turns."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgpack  # type: ignore[import-untyped]
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lugspur.cluster.node import Node
from lugspur.cluster.swim import Address, Kind, Member
from lugspur.lab.dilation import now

LOOK_EVERY = 0.05  # seconds between looks at how late the loop is
LATE = 0.1  # seconds by which a look is late enough to be kept with its time...
LATE_MOST = 1_000  # ...so many of them
TIMES = (1, 3_600_000, 3)  # news in ms: from 1 ms to an hour, three digits
LATENESS = (1, 60_000_000, 2)  # looks in microseconds: up to a minute, two digits


class Lateness:
    """How late a process's event loop runs: looked at all the time, and kept where it is too late."""

    def __init__(self) -> None:
        self.late: list[tuple[float, float]] = []  # when a look was due, and by how much it was late
        self._seen = HdrHistogram(*LATENESS)

    async def watch(self) -> None:
        """Look, for ever."""
        while True:
            due = now() + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            late = max(0.0, now() - due)
            self._seen.record_value(max(1, round(1e6 * late)))
            if late > LATE and len(self.late) < LATE_MOST:
                self.late.append((due, late))

    def take(self) -> dict[str, Any]:
        """The 99th percentile in seconds since the last call, and the late looks, which are forgotten."""
        p99 = self._seen.get_value_at_percentile(99.0) / 1e6 if self._seen.get_total_count() else 0.0
        late, self.late = self.late, []
        self._seen.reset()
        return {"p99": p99, "late": late}


class Tap:
    """Counts and faults of one process's members; `hosts` are those whose members filter what they send."""

    def __init__(
        self, cluster: str, seed: int, hosts: Iterable[str], clock: Callable[[], float] = now
    ) -> None:
        self.cluster = cluster
        self.sent: Counter[str] = Counter()  # datagrams by kind...
        self.sent_bytes: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.lost = 0  # by a fault of the run's
        self.news: dict[str, Any] = {}  # kind of news: histogram of ms since the mark
        self.false: Counter[str] = Counter()  # news of members whom the fault does not concern
        self._hosts = frozenset(hosts)
        self._rules: dict[tuple[str, str], float] = {}
        self._all = 0.0
        self._random = Random(seed)
        self._clock = clock
        self._mark = 0.0
        self._subjects: frozenset[str] = frozenset()
        self._kinds: dict[tuple[int, int], str] = {}
        # Where a datagram's first own key is: `codec` and `facts` put the map's byte, c, the cluster, v and a
        # small version before it.
        self._place = 1 + 2 + len(msgpack.packb(cluster)) + 2 + 1

    # ---- traffic -----------------------------------------------------------------------------------------

    def kind(self, data: bytes) -> str:
        """What a datagram is, by two bytes alone: reading it whole would cost as much as the member's work.

        Its own key is `k`, then a kind of `swim.Kind`, or `f` for facts; a new format that begins so is
        counted under its own letter. A scope (`o`) may come before it.
        """
        place = self._place
        if data[place:place + 2] == b"\xa1o":  # a text's length is in its first byte, or in the second
            size = data[place + 2:place + 4]
            place += 2 + (2 + size[-1] if size[:1] == b"\xd9" else 1 + (size[0] & 0x1F) if size else 0)
        if len(data) < place + 3:
            return "other"
        letter, following = data[place + 1], data[place + 2]
        key = letter, following if letter == 0x6B else 0  # k
        known = self._kinds.get(key)
        if known is None:
            if letter == 0x6B:
                known = Kind(following).name.lower() if following in set(Kind) else "other"
            else:
                known = {0x66: "facts"}.get(letter, chr(letter) if 97 <= letter <= 122 else "other")
            self._kinds[key] = known
        return known

    def outgoing(self, data: bytes, source: str, target: str) -> bool:
        """A datagram is to be sent; whether it is, or a fault loses it on its way."""
        kind = self.kind(data)
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        return not self._loses(source, target)

    def incoming(self, data: bytes, source: str, target: str) -> bool:
        """A datagram has come; whether it gets through. What hollow ones sent was filtered there."""
        if source not in self._hosts and self._loses(source, target):
            return False
        kind = self.kind(data)
        self.received[kind] += 1
        self.received_bytes[kind] += len(data)
        return True

    def _loses(self, source: str, target: str) -> bool:
        if not self._rules and not self._all:
            return False
        chance = max(self._all, self._rules.get((source, target), 0.0))
        if chance > 0.0 and (chance >= 1.0 or self._random.random() < chance):
            self.lost += 1
            return True
        return False

    def filter(self, rules: Iterable[tuple[str, str, float]], everywhere: float) -> None:
        """What is lost from now on: by the hosts of sender and receiver, and of every datagram."""
        self._rules = {(source, target): chance for source, target, chance in rules}
        self._all = everywhere

    # ---- news --------------------------------------------------------------------------------------------

    def mark(self, at: float, subjects: Iterable[str]) -> None:
        """A fault begins or ends at this time (the loop's time); news is counted from it on, anew."""
        self._mark = at
        self._subjects = frozenset(subjects)
        self.news.clear()
        self.false.clear()

    def heard(self, kind: str, subject: str = "") -> None:
        """A member has news; `subject` is whom it is of, where that can be wrong."""
        if subject and subject not in self._subjects:
            self.false[kind] += 1
            return
        if kind not in self.news:
            self.news[kind] = HdrHistogram(*TIMES)
        self.news[kind].record_value(max(1, round(1000.0 * (self._clock() - self._mark))))


class Tapped(Node):
    """A member whose datagrams pass the tap; all else is the node's own."""

    tap: Tap

    def send(self, address: Address, data: bytes) -> None:
        if self.tap.outgoing(data, self.config.bind[0], address[0]):
            super().send(address, data)
        else:  # lost on its way: it was sent
            self.sent_bytes += len(data)
            self.sent_messages += 1

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        if self.tap.incoming(data, str(addr[0]), self.config.bind[0]):
            super().datagram_received(data, addr)

    def _observed(self, *told: Any, **more: Any) -> None:
        """A member's state changed; whatever else a node is told of it is its own business."""
        super()._observed(*told, **more)
        member = next(row for row in told if isinstance(row, Member))
        self.tap.heard(member.state.name.lower(), member.name)
        if self.tap_complete and len(self.swim.members) >= self.tap_complete:
            self.tap.heard("complete")
            self.tap_complete = 0

    tap_complete = 0  # members that a whole list has, until it has them once
