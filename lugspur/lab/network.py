"""A modelled network on a driven clock: datagrams between sans-I/O members, with no sockets and no waiting.

    network = Network(seed=1, loss=0.1)
    network.add("n0", ("m", 1), scopes, at=0.2)
    network.run(until=20.0)

A member is whatever has `start`, `tick`, `receive` and `wake_at` and returns `(address, bytes)` pairs. Each
datagram takes one to two milliseconds; all chance comes from the seed. Bytes, datagrams and processor time
are counted for each member.
"""

from __future__ import annotations

import heapq
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Protocol

from jaspershelf.model import Evidence
from lugspur.cluster.facts import Facts
from lugspur.cluster.scopes import Datagrams, Scopes
from lugspur.cluster.spread import Spread, SpreadSettings
from lugspur.cluster.swim import SwimSettings
from lugspur.config import Address

DELAY = (0.001, 0.002)  # seconds that a datagram takes, drawn evenly: two hosts of one network
LOOK_EVERY = 1.0  # seconds between two ticks at the most: a longer gap counts as a stall of the member's own
LOOK_LEAST = 0.005  # seconds between two ticks at the least, as at the socket (`cluster.node.TICK_LEAST`)


class Party(Protocol):
    """A member as the network drives it."""

    def start(self, now: float) -> Datagrams:
        """It joins."""

    def tick(self, now: float) -> Datagrams:
        """Its timers."""

    def receive(self, now: float, data: bytes) -> Datagrams:
        """A datagram came."""

    def wake_at(self) -> float:
        """When `tick` has something to do."""


class Sharer:
    """A member of scopes that shares facts, with no proxy around it; its clock is Unix time.

    `evidence` and `rates` (requests a second by class) are what it tells; `tell_demand`: demand is used.
    """

    def __init__(
        self, name: str, address: Address, scopes: Mapping[str, Sequence[Address]], staleness: float = 3.0,
        period: float = 1.0, seed: int = 0, start: float = 1000.0, tell_demand: bool = True,
    ) -> None:
        self.scopes = Scopes(
            name, address, int(1e6 * start), (), scopes, "lab", SwimSettings(period=period), seed)
        self.facts = Facts(name, staleness)
        self.evidence: list[Evidence] = []
        self.rates: tuple[int, ...] = (20, 5, 1, 26)
        self.admitted: tuple[int, ...] = (0, 0, 0, 0)
        self.tell_demand = tell_demand
        self.accused = 0
        self._refresh = staleness / 3.0
        self._phase = Random(f"{seed} {name}").random()
        self._due = 0.0
        self.scopes.share(lambda scope, swim: Spread(
            name, "lab", scope, swim, self.facts, start, SpreadSettings(refresh=self._refresh), seed,
            self._heard,
        ), 0.0)

    def _heard(self) -> None:
        self.accused += 1

    def fail(self, now: float, server: int) -> Datagrams:
        """It begins to fail on a server, and tells."""
        self.evidence = [row for row in self.evidence if row.server != server]
        self.evidence.append(Evidence(server, 0.0, now, 1))
        return self._publish(now)

    def _publish(self, now: float) -> Datagrams:
        window = int(now) - 1
        offered = {window - n: self.rates for n in range(4)} if self.tell_demand else None
        fresh = [row for row in self.evidence if now - max(row.served, row.failed) <= self.facts.staleness]
        return self.scopes.publish(now, fresh, offered, self.admitted, 0)

    def start(self, now: float) -> Datagrams:
        """Join, and publish from now on once a refresh."""
        self._due = now + self._phase * self._refresh
        return self.scopes.start(now)

    def tick(self, now: float) -> Datagrams:
        """Its timers."""
        out = self.scopes.tick(now)
        if now >= self._due:
            self._due += self._refresh
            self.admitted = tuple(a + rate for a, rate in zip(self.admitted, self.rates, strict=True))
            out += self._publish(now)
        return out

    def receive(self, now: float, data: bytes) -> Datagrams:
        """A datagram came."""
        return self.scopes.receive(now, data)

    def wake_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._due, self.scopes.wake_at())


class Network:
    """Members by name, and a clock in seconds; what goes from one to another in `cuts` is lost."""

    def __init__(
        self, seed: int, loss: float = 0.0, duplicate: float = 0.0, delay: tuple[float, float] = DELAY
    ) -> None:
        self.random = Random(seed)
        self.loss, self.duplicate, self.delay = loss, duplicate, delay
        self.now = 0.0
        self.parties: dict[str, Party] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.paused: dict[str, list[bytes]] = {}  # what came meanwhile
        self.sent: defaultdict[str, int] = defaultdict(int)  # datagrams
        self.sent_bytes: defaultdict[str, int] = defaultdict(int)
        self.received_bytes: defaultdict[str, int] = defaultdict(int)
        self.seconds: defaultdict[str, float] = defaultdict(float)  # of the processor
        self._names: dict[Address, str] = {}
        self._lives: defaultdict[str, int] = defaultdict(int)  # a timer of an earlier life is void
        self._due: dict[str, float] = {}  # the next tick
        self._fresh: set[str] = set()  # those not yet started
        self._count = 0
        self._events: list[tuple[float, int, str, int, bytes | None]] = []

    def add(self, name: str, address: Address, party: Party, at: float = 0.0) -> None:
        """A member that starts so many seconds from now; one of the same name before it is gone."""
        self.remove(name)
        self.parties[name] = party
        self._names[address] = name
        self._fresh.add(name)
        self._due[name] = self.now + at
        self._push(self._due[name], name, None)

    def remove(self, name: str) -> None:
        """A member ends without a word."""
        self.parties.pop(name, None)
        self.paused.pop(name, None)
        self._lives[name] += 1

    def pause(self, name: str) -> None:
        """It stands still; what is sent to it waits in its socket."""
        self.paused[name] = []

    def resume(self, name: str) -> None:
        """It goes on, and reads what has come."""
        waiting = self.paused.pop(name)
        for data in waiting:
            self._push(self.now, name, data)
        self._due[name] = self.now
        self._push(self.now, name, None)

    def cut(self, one: Iterable[str], two: Iterable[str], both: bool = True) -> None:
        """Lose what goes from the first to the second, and what comes back too if `both`."""
        others = list(two)
        for source in one:
            for target in others:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def send(self, source: str, out: Datagrams) -> None:
        """Send these on behalf of a member."""
        for address, data in out:
            self.sent[source] += 1
            self.sent_bytes[source] += len(data)
            target = self._names.get(address, "")
            if target not in self.parties or (source, target) in self.cuts:
                continue
            copies = 2 if self.duplicate and self.random.random() < self.duplicate else 1
            for _ in range(copies):
                if self.loss and self.random.random() < self.loss:
                    continue
                self._push(self.now + self.random.uniform(*self.delay), target, data)

    def run(self, until: float) -> None:
        """Play to this time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, name, life, data = heapq.heappop(self._events)
            if life != self._lives[name] or (data is not None and name in self._fresh):
                continue
            if name in self.paused:
                if data is not None:
                    self.paused[name].append(data)
                continue
            self._play(name, data)
        self.now = max(self.now, until)

    def _play(self, name: str, data: bytes | None) -> None:
        party = self.parties[name]
        if data is None and self._due.get(name) != self.now:
            return  # a timer that an earlier one has taken the place of
        begun = time.process_time()
        if data is not None:
            self.received_bytes[name] += len(data)
            out = party.receive(self.now, data)
        elif name in self._fresh:
            out = party.start(self.now)
        else:
            out = party.tick(self.now)
        wake = min(max(party.wake_at(), self.now + LOOK_LEAST), self.now + LOOK_EVERY)
        self.seconds[name] += time.process_time() - begun
        if data is None:
            self._fresh.discard(name)
        if data is None or wake < self._due[name]:
            self._due[name] = wake
            self._push(wake, name, None)
        self.send(name, out)

    def _push(self, at: float, name: str, data: bytes | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, name, self._lives[name], data))

    def reset(self) -> None:
        """Begin to count anew."""
        for counts in (self.sent, self.sent_bytes, self.received_bytes, self.seconds):
            counts.clear()
