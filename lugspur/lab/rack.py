"""One process of hollow proxies, or of the stand-in discovery: `python -m lugspur.lab.rack`.

It is led by lines of JSON on standard input, each answered by one on standard output with the same `n`, and
ends when standard input does: so it never outlives whoever started it. The first line says what it is:
`{"role": "rack", ...}` or `{"role": "machine", ...}`, with what `Proxies` or `Machine` below take.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time
from collections import Counter
from typing import Any

import orjson

from lugspur.config import Address
from lugspur.events import log
from lugspur.lab import dilation
from lugspur.lab.hollow import CLUSTER, Hollow, Rack, scope
from lugspur.lab.registry import Registry
from lugspur.lab.shape import Fault, Place, Shape
from lugspur.lab.tap import Lateness, Tap

USE_EVERY = 0.2  # seconds between turns of the data path's stand-in


def _addresses(rows: list[list[Any]]) -> tuple[Address, ...]:
    return tuple((host, port) for host, port in rows)


class Proxies:
    """Hollow proxies, and what can be asked of them: each method is a command by its name."""

    def __init__(self, spec: dict[str, Any]) -> None:
        raw = spec["shape"]
        shape = Shape(**raw | {"faults": tuple(Fault(**row) for row in raw["faults"])})
        everyone = [Place(*row) for row in spec["places"]]
        self.places = {place.name: place for place in everyone}
        self.scopes = Counter(scope(shape.control, place) for place in everyone)
        if shape.real:  # they are in the one group of all
            self.scopes[0] += shape.real
        rack = Rack(
            shape, spec["host"], _addresses(spec["seeds"]),
            {int(service): _addresses(rows) for service, rows in spec["service_seeds"].items()},
            {int(service): (host, port) for service, (host, port) in spec["watches"].items()},
            Counter(place.service for place in everyone), self.scopes, spec["epoch"],
        )
        self.shape = shape
        self.tap = Tap(CLUSTER, shape.seed * 1_000 + spec["process"], spec["hosts"])
        mine = [place for place in everyone if place.process == spec["process"]]
        self.members = {place.name: Hollow(place, port, rack, self.tap)
                        for place, port in zip(mine, spec["ports"], strict=True)}
        self.used = 0.0  # seconds of processor time that the data path's stand-in has taken
        self._using = asyncio.get_running_loop().create_task(self._use())

    async def _use(self) -> None:
        due = 0.0
        while True:
            await asyncio.sleep(USE_EVERY)
            due += self.shape.rate * USE_EVERY
            calls, due = int(due), due % 1.0
            begun = time.thread_time()
            for member in self.members.values():
                member.use(calls)
            self.used += time.thread_time() - begun

    async def start(self, names: list[str] | None = None, spread: float = 0.0) -> None:
        """Open these, or all, evenly over so many seconds."""
        chosen = list(self.members) if names is None else names
        for name in chosen:
            await self.members[name].open()
            await asyncio.sleep(spread / len(chosen))
        gc.collect()
        gc.freeze()  # as the program does

    async def end(self, names: list[str], crash: bool = False) -> None:
        """Close these."""
        for name in names:
            await self.members[name].close(crash)

    async def filter(self, rules: list[tuple[str, str, float]], everywhere: float) -> None:
        """See `Tap.filter`."""
        self.tap.filter([(one, two, chance) for one, two, chance in rules], everywhere)

    async def mark(self, at: float, subjects: list[str]) -> None:
        """See `Tap.mark`."""
        self.tap.mark(at, subjects)

    async def accuse(self, names: list[str]) -> list[str]:
        """These fail on a server; its name by each."""
        return [self.members[name].accuse() for name in names]

    async def news(self) -> dict[str, Any]:
        """Histograms since the mark, in the library's own form, and counts of false news."""
        return {"news": {kind: [seen.encode().decode(), seen.get_max_value(), seen.get_total_count()]
                         for kind, seen in self.tap.news.items()},
                "false": self.tap.false}

    async def sample(self) -> dict[str, Any]:
        """Counts since the start: by kind `[datagrams, bytes]`, by member its traffic, of the watches bytes
        and messages; `used`: seconds of the data path's stand-in; `lacking`: the most that a member
        does not know of those that it is to.
        """
        tap = self.tap
        kinds = {way: {kind: [count, sizes[kind]] for kind, count in counts.items()}
                 for way, counts, sizes in (("sent", tap.sent, tap.sent_bytes),
                                            ("received", tap.received, tap.received_bytes))}
        up = [member for member in self.members.values() if member.up]
        return {"kinds": kinds, "lost": tap.lost, "up": len(up), "used": self.used,
                "members": {m.place.name: m.control.traffic() for m in up},
                "watch": [sum(m.watch.bytes for m in up), sum(m.watch.messages for m in up)],
                "following": sum(m.watch.following for m in up),
                "lacking": max((m.peers - m.control.size() for m in up), default=0)}

    async def own(self) -> dict[str, int]:
        """The incarnation of each that is up."""
        return {name: member.control.incarnation for name, member in self.members.items() if member.up}

    async def check(self, truth: dict[str, int], versions: dict[str, int]) -> dict[str, int]:
        """What these know, against what is so: who is up, with which incarnation, and the lists' versions.

        `missing`: not known, or not alive though up; `accused`: of those, held for suspect or dead; `undead`:
        alive though not up; `older`: a version of an earlier start or list; `newer`: one that nobody has.
        """
        found = Counter(dict.fromkeys(("pairs", "missing", "accused", "undead", "older", "newer"), 0))
        for member in self.members.values():
            if not member.up:
                continue
            known = member.control.known()
            version = versions[str(member.place.service)]
            found["older"] += member.watch.index < version
            found["newer"] += member.watch.index > version
            for place in self.places.values():
                if place.name == member.place.name or (
                        scope(self.shape.control, place) != scope(self.shape.control, member.place)):
                    continue
                state, incarnation = known.get(place.name, ("unknown", 0))
                if place.name not in truth:
                    found["undead"] += state in ("alive", "suspect")
                    continue
                found["pairs"] += 1
                found["missing"] += state != "alive"
                found["accused"] += state in ("suspect", "dead")
                found["older"] += state == "alive" and incarnation < truth[place.name]
                found["newer"] += incarnation > truth[place.name]
        return found


class Machine:
    """A control machine: the stand-in discovery of some services, each at an address of its own."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self._spec = spec
        self.registries: dict[str, Registry] = {}

    async def start(self) -> None:
        """Listen; the lists are those before, with their versions."""
        for service, row in self._spec["services"].items():
            registry = self.registries[service] = Registry(row["index"], row["entries"])
            await registry.open(self._spec["host"], row["port"])

    async def change(self, services: list[str], status: str | None = None) -> dict[str, dict[str, Any]]:
        """Tell a new version of these lists, of one entry, or of all where they get a status; the lists."""
        for service in services:
            registry = self.registries[service]
            entries = list(registry.whole()["endpoints"])
            rows = entries[:1] if status is None else entries
            await registry.change(*[row | ({"status": status} if status else {"weight": row["weight"] + 1.0})
                                    for row in rows])
        return {service: {"index": self.registries[service].index,
                          "entries": self.registries[service].whole()["endpoints"]} for service in services}

    async def reset(self) -> None:
        """Break every watch."""
        for registry in self.registries.values():
            registry.reset()

    async def sample(self) -> dict[str, Any]:
        """Since the start: bytes and messages told, watches opened; and the watches open now."""
        kept = self.registries.values()
        return {"told": [sum(one.told_bytes for one in kept), sum(one.told_messages for one in kept)],
                "opened": sum(one.watches for one in kept), "following": sum(one.following for one in kept)}


async def main(spec: dict[str, Any]) -> None:
    """Read commands and do them until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    writer = asyncio.StreamWriter(transport, protocol, None, loop)
    log.muted = True
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # whoever started it hears it, and ends it
    played: Any = Proxies(spec) if spec["role"] == "rack" else Machine(spec)
    lateness = Lateness()
    watching = loop.create_task(lateness.watch())
    running: set[asyncio.Task[None]] = set()

    async def do(n: int, name: str, arguments: dict[str, Any]) -> None:
        answer: dict[str, Any] = {"n": n}
        try:
            value = lateness.take() if name == "lateness" else await getattr(played, name)(**arguments)
            answer["value"] = value
        except Exception as fault:  # reported to whoever asked, who ends the run
            answer["fault"] = repr(fault)
        writer.write(orjson.dumps(answer) + b"\n")

    while line := await reader.readline():
        n, name, arguments = orjson.loads(line)
        task = loop.create_task(do(n, name, arguments))
        running.add(task)
        task.add_done_callback(running.discard)
    watching.cancel()
    os._exit(0)  # nobody is to say goodbye, and no member's task is to hold the process up


if __name__ == "__main__":
    with open(0, "rb", buffering=0, closefd=False) as unbuffered:  # what follows is the loop's to read
        line = unbuffered.readline()
    if line:  # else whoever started it was interrupted before it said what for
        told = orjson.loads(line)
        dilation.run(main(told), told["slow"])
