"""The parts of a scale run: racks of hollow proxies, control machines, real proxies, and faults on them."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import Counter
from collections.abc import Awaitable, Iterable
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from lugspur.config import Address
from lugspur.lab.backends import Backend
from lugspur.lab.crew import Child
from lugspur.lab.dilation import now
from lugspur.lab.fleet import LOOPBACK, Fleet
from lugspur.lab.hollow import CLUSTER, scope
from lugspur.lab.registry import Registry, listed
from lugspur.lab.relay import free_ports
from lugspur.lab.shape import Fault, Place, Shape, callee, listing, places

RACK_HOSTS, MACHINE_HOSTS = 101, 201  # last parts of the loopback addresses; real proxies have 1 and up
ANSWER_MORE = 10.0  # of the loop's seconds that members may take to leave or to start
T = TypeVar("T")


class Town:
    """All that a run is made of. `async with` starts the processes; `join` the members."""

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape, self._folder = shape, folder
        self.places = places(shape)
        self.hosts = [f"{LOOPBACK}{RACK_HOSTS + n}" for n in range(shape.processes)]
        self.random = Random(shape.seed)
        by_rack: list[list[Place]] = [[] for _ in self.hosts]
        for place in self.places:
            by_rack[place.process].append(place)
        ports = [free_ports(host, len(rows)) for host, rows in zip(self.hosts, by_rack, strict=True)]
        self.addresses: dict[str, Address] = {
            place.name: (host, port) for host, numbers, rows in zip(self.hosts, ports, by_rack, strict=True)
            for place, port in zip(rows, numbers, strict=True)
        }
        # The seeds are dealt over the racks: one that is gone leaves others.
        dealt = sorted(self.places, key=lambda place: (place.number % shape.each_process, place.process))
        self.seeds = [self.addresses[place.name] for place in dealt[:shape.seeds]]
        by_service: dict[str, list[Address]] = {}
        for place in self.places:  # those of a service are in different racks as they come
            rows = by_service.setdefault(str(place.service), [])
            if len(rows) < shape.seeds:
                rows.append(self.addresses[place.name])
        self.machines, watches = self._machines()
        epoch = time.time() - now()  # all machines read one clock
        common = {"role": "rack", "slow": shape.slow, "epoch": epoch, "watches": watches,
                  "shape": dataclasses.asdict(shape),
                  "places": [dataclasses.astuple(place) for place in self.places],
                  "seeds": self.seeds, "service_seeds": by_service, "hosts": self.hosts}
        self.racks = [Child(f"rack {n}", common | {"process": n, "host": host, "ports": ports[n]})
                      for n, host in enumerate(self.hosts)]
        self.sockets = set(self.addresses.values())  # whose drops by the kernel are the lab's
        self.out: set[str] = set()  # members that are down
        self.real: Fleet | None = None
        self.backends = [Backend(f"s-{n}", "z0", latency=0.005) for n in range(shape.stores)]

    def _machines(self) -> tuple[list[Child], dict[str, Address]]:
        shape, machines, watches = self.shape, [], dict[str, Address]()
        for number in range(shape.control_machines):
            host = f"{LOOPBACK}{MACHINE_HOSTS + number}"
            served = range(number, shape.services, shape.control_machines)
            services: dict[str, dict[str, Any]] = {str(service): {
                "index": 1, "entries": listing(shape, service, self.places, host), "port": port,
            } for service, port in zip(served, free_ports(host, len(served)), strict=True)}
            watches |= {service: (host, row["port"]) for service, row in services.items()}
            machines.append(Child(f"machine {number}", {"role": "machine", "slow": shape.slow, "host": host,
                                                        "services": services}))
        return machines, watches

    @property
    def children(self) -> list[Child]:
        """All led processes."""
        return [*self.racks, *self.machines]

    async def open(self) -> None:
        """Start the processes; the control machines serve."""
        await asyncio.gather(*[child.open() for child in self.children])
        await asyncio.gather(*[machine.ask("start") for machine in self.machines])
        await asyncio.gather(*[rack.ask("sample") for rack in self.racks])  # each is up and has its members

    async def close(self) -> None:
        """End every process, by its id."""
        await asyncio.gather(*[child.kill() for child in self.children], return_exceptions=True)

    async def join(self) -> None:
        """Start all members, over the shape's spread."""
        await asyncio.gather(*[rack.ask("start", spread=self.shape.spread,
                                       patience=self.shape.spread + self.shape.join) for rack in self.racks])

    async def join_real(self, fleet: Fleet) -> None:
        """Start the real proxies, as members of the same group without a relay in front."""
        self.real = fleet
        for name, node in fleet.nodes.items():
            text = [f"{host}:{port}" for host, port in self.seeds]
            self.sockets.add(node.gossip)
            await fleet.start(name, RELAY_PEERS=",".join(text), RELAY_CLUSTER=CLUSTER,
                              RELAY_GOSSIP_ADDR=f"{node.gossip[0]}:{node.gossip[1]}",
                              RELAY_GOSSIP_PERIOD=str(self.shape.period))

    def fleet(self, registry: Registry, address: Address) -> Fleet:
        """The real proxies, not started."""
        shape = self.shape
        sharing: Any = {"staleness": shape.staleness} if shape.control != "membership" else False
        return Fleet(self._folder, shape.real, seed=shape.seed, peers=False,
                     zones=[f"z{n}" for n in range(shape.zones)], known=registry.whole(), discovery=address,
                     more={"sharing": sharing})

    def listed(self) -> Any:
        """The real proxies' backends and discovery, up while the block lasts."""
        return listed(self.backends)

    # ---- asking ------------------------------------------------------------------------------------------

    def awake(self) -> list[Child]:
        """The racks that can answer."""
        return [rack for rack in self.racks if rack.running and not rack.paused]

    async def each(self, name: str, **arguments: Any) -> list[Any]:
        """A command's value at each rack that can answer."""
        return await gather(rack.ask(name, **arguments) for rack in self.awake())

    def names(self, process: int) -> list[str]:
        """The members of a rack."""
        return [place.name for place in self.places if place.process == process]

    def callers(self, services: Iterable[int]) -> set[str]:
        """The members that watch the lists of these."""
        chosen = set(services)
        return {place.name for place in self.places if place.service in chosen}

    def up(self) -> set[str]:
        """The hollow members that are up."""
        return {place.name for place in self.places} - self.out

    # ---- faults ------------------------------------------------------------------------------------------

    def subjects(self, fault: Fault) -> list[str]:
        """The members that a fault puts out of reach."""
        if fault.kind in ("kill", "pause"):
            return self.names(fault.process)
        if fault.kind == "split":
            return [place.name for place in self.places]
        if fault.kind == "release":
            chosen = self._services(fault)
            return [place.name for place in self.places if place.service in chosen]
        if fault.kind == "verdict":
            return self._accusers(fault)
        return []

    def expected(self, fault: Fault, end: bool) -> dict[str, int]:
        """How many pieces of news of which kind a fault's begin, or its end, brings in a fleet that is whole:
        one at each hollow member that it concerns, where all hear of all.
        """
        subjects = set(self.subjects(fault))
        gone, all_ = self._by_scope(subjects), self._by_scope()
        others = sum(gone[n] * (all_[n] - gone[n]) for n in gone)  # what the others are told of them
        everyone = sum(gone[n] * (all_[n] - 1) for n in gone)  # and what they are told of each other besides
        if fault.kind in ("kill", "release"):
            kind = "dead" if fault.kind == "kill" else "left"
            found = {"alive": everyone} if end else {kind: others}
            if fault.kind == "release":
                found["version"] = len(self.callers(self._watching(fault)))
            return found
        if fault.kind == "pause":
            return {"alive": others} if end else {"dead": others}
        if fault.kind == "split":
            inside = self._by_scope({place.name for place in self.places if place.region == fault.region})
            return {"alive" if end else "dead": 2 * sum(inside[n] * (all_[n] - inside[n]) for n in inside)}
        if fault.kind == "control" and end:
            return {"following": len(self.callers(
                range(fault.machine, self.shape.services, self.shape.control_machines)))}
        if fault.kind == "herd" and not end:
            return {"following": len(self.places)}
        if fault.kind == "change" and not end:
            return {"version": len(self.callers(self._services(fault)))}
        if fault.kind == "verdict" and not end and self.shape.control != "membership":
            return {"verdict": everyone}
        return {}

    def expected_at_join(self) -> dict[str, int]:
        """The same, of a start of all."""
        sizes = self._by_scope().values()
        members = len(self.places)
        return {"alive": sum(size * (size - 1) for size in sizes), "complete": members, "following": members}

    def _by_scope(self, names: set[str] | None = None) -> Counter[int]:
        """How many of these hollow members, or of all, are in which scope."""
        return Counter(scope(self.shape.control, place) for place in self.places
                       if names is None or place.name in names)

    def _services(self, fault: Fault) -> set[int]:
        return {(fault.service + n) % self.shape.services for n in range(fault.count)}

    def _watching(self, fault: Fault) -> set[int]:
        """The services that call those of the fault."""
        chosen = self._services(fault)
        return {one for one in range(self.shape.services) if callee(self.shape, one) in chosen}

    def _accusers(self, fault: Fault) -> list[str]:
        same = [place.name for place in self.places if place.service == fault.service]
        return same[:fault.count]

    async def begin(self, fault: Fault) -> None:
        """The fault begins."""
        if fault.kind == "kill":
            await self.racks[fault.process].kill()
            self.out |= set(self.names(fault.process))
        elif fault.kind == "pause":
            self.racks[fault.process].pause()
        elif fault.kind == "cut":
            await self.each("filter", everywhere=0.0, rules=[
                (self.hosts[fault.process], self.hosts[fault.to_process], 1.0)])
        elif fault.kind == "loss":
            await self.each("filter", everywhere=fault.loss, rules=[])
        elif fault.kind == "split":
            inside = {self.hosts[place.process] for place in self.places if place.region == fault.region}
            real = {node.host for node in self.real.nodes.values()} if self.real is not None else set()
            await self.each("filter", everywhere=0.0, rules=[
                (one, two, 1.0) for one in {*self.hosts, *real} for two in {*self.hosts, *real}
                if (one in inside) != (two in inside)])
        elif fault.kind == "control":
            await self.machines[fault.machine].kill()
        elif fault.kind == "herd":
            await gather(machine.ask("reset") for machine in self.machines)
        elif fault.kind == "release":
            names = set(self.subjects(fault))
            await self._change(self._watching(fault), "terminating")
            await self._at(names, "end")
            self.out |= names
        elif fault.kind == "change":
            await self._change(self._services(fault))
        elif fault.kind == "verdict":
            await self._at(set(self._accusers(fault)), "accuse")

    async def end(self, fault: Fault) -> None:
        """The fault ends."""
        if fault.kind == "kill":
            rack = self.racks[fault.process]
            await rack.open()
            await rack.ask("start", patience=fault.after)
            self.out -= set(self.names(fault.process))
        elif fault.kind == "pause":
            self.racks[fault.process].resume()
        elif fault.kind in ("cut", "loss", "split"):
            await self.each("filter", everywhere=0.0, rules=[])
        elif fault.kind == "control":
            machine = self.machines[fault.machine]
            await machine.open()
            await machine.ask("start")
        elif fault.kind == "release":
            names = set(self.subjects(fault))
            await self._at(names, "start")
            self.out -= names
            await self._change(self._watching(fault), "in_service")

    async def _at(self, names: set[str], command: str) -> None:
        """A command to these members, at whichever racks they are."""
        asked = []
        for process, rack in enumerate(self.racks):
            mine = [name for name in self.names(process) if name in names]
            if mine and rack in self.awake():
                asked.append(rack.ask(command, names=mine, patience=ANSWER_MORE))
        await gather(asked)

    async def _change(self, services: set[int], status: str | None = None) -> None:
        for number, machine in enumerate(self.machines):
            mine = [str(service) for service in services if service % len(self.machines) == number]
            if mine and machine.running:
                told = await machine.ask("change", services=mine, status=status)
                for service, row in told.items():  # it has them after a restart too
                    machine.spec["services"][service] |= row

    async def mark(self, fault: Fault | None) -> float:
        """News counts from now on, of this fault's members; the time."""
        at = now()
        subjects = self.subjects(fault) if fault is not None else [place.name for place in self.places]
        await self.each("mark", at=at, subjects=subjects)
        return at

    async def check(self) -> dict[str, int]:
        """What the members know against what is so; see `rack.Proxies.check`."""
        truth: dict[str, int] = {}
        for found in await self.each("own"):
            truth |= found
        versions = {service: row["index"] for machine in self.machines
                    for service, row in machine.spec["services"].items()}
        total: dict[str, int] = {}
        for found in await self.each("check", truth=truth, versions=versions):
            for key, count in found.items():
                total[key] = total.get(key, 0) + count
        if self.real is not None:  # theirs, as operators are told it
            for name, view in (await self.real.views()).items():
                for other in truth.keys() - {name}:
                    row = view.get(other, {"state": "unknown", "incarnation": 0})
                    total["pairs"] += 1
                    total["missing"] += row["state"] != "alive"
                    total["accused"] += row["state"] in ("suspect", "dead")
                    total["older"] += row["state"] == "alive" and row["incarnation"] < truth[other]
                    total["newer"] += row["incarnation"] > truth[other]
        return total


async def gather(asked: Iterable[Awaitable[T]]) -> list[T]:
    """The values of all."""
    return list(await asyncio.gather(*asked))
