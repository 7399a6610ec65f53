"""A hollow proxy: a proxy's control without its data path, on real sockets, many to a process.

Real are the membership's state machine, its codec, socket and timers (`cluster.node`), the shared facts
(`cluster.sharing`) on a real decision module (`jaspershelf.decide`), and the watch on discovery
(`lugspur.discovery`). Left out are callers and backends: in their place the module is asked for the shape's
calls, each answered at once, so that the facts are those that a proxy has under load. The processor time of
that is measured and taken off. Also left out, as they belong to no member here: the operators' calls, the
state on disk, the log.

What a member runs for its control is one of `CONTROLS`: each is built by `(member, tap, tell)` and keeps to
`Control`. A new mechanism adds an entry; nothing else of the lab changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from jaspershelf.adapter import read_settings
from jaspershelf.decide import Balancer
from jaspershelf.model import Action, ListKind, Outcome, Send, Sharing, Subscribe, Timer
from lugspur.cluster import facts, sharing
from lugspur.cluster.swim import Address
from lugspur.config import MembershipConfig
from lugspur.discovery import Discovery, Endpoint, Reader, server_name
from lugspur.lab.fleet import wire
from lugspur.lab.shape import Place, Shape
from lugspur.lab.tap import Tap, Tapped

CLUSTER = "scale"
CALL_TOOK, CALL_MOST = 0.005, 1.0  # seconds that a call of the stand-in took, and that its caller would wait
Known = dict[str, tuple[str, int]]  # of other members: state and incarnation


class Control(Protocol):
    """A hollow member's control part, from one start to one end."""

    async def open(self) -> None:
        """Bind and join."""

    async def close(self, crash: bool) -> None:
        """Leave as the program does when it is told to end; or, after a crash, say nothing more."""

    @property
    def incarnation(self) -> int:
        """Its own, now."""

    def known(self) -> Known:
        """What it knows of the others."""

    def size(self) -> int:
        """How many others it knows."""

    def traffic(self) -> tuple[int, int, int, int]:
        """Bytes sent and received, datagrams sent and received, since its start."""


Build = Callable[["Hollow", Tap], Control]


@dataclass(slots=True, frozen=True)
class Rack:
    """What the members of a process have in common."""

    shape: Shape
    host: str
    seeds: tuple[Address, ...]  # of the whole fleet...
    service_seeds: dict[int, tuple[Address, ...]]  # ...and of each service
    watches: dict[int, Address]  # by service, where discovery tells whom it calls
    sizes: dict[int, int]  # members by service
    scopes: dict[int, int]  # members by scope, see `scope`
    epoch: float  # Unix time less the loop's, the same everywhere


class Hollow:
    """One hollow proxy; `up` from `open` to `close`, then it can be opened anew, as another start."""

    def __init__(self, place: Place, port: int, rack: Rack, tap: Tap) -> None:
        self.place, self.rack, self.tap = place, rack, tap
        self.address: Address = (rack.host, port)
        self.up = False
        self.starts = 0
        self._calls = 0
        self.failing = -1  # the server that fails at this member
        self._loop = asyncio.get_running_loop()
        self._epoch = rack.epoch

    async def open(self) -> None:
        """Start: all that it knew before is gone."""
        shape, place = self.rack.shape, self.place
        self.starts += 1
        self.failing = -1
        zones = [f"z{zone}" for zone in range(shape.zones)]
        self.settings = replace(
            read_settings(wire(self.rack.sizes[place.service], place.number // shape.services, zones,
                               place.zone)),
            sharing=Sharing(staleness=shape.staleness),
        )
        self.settings.check()
        self.seed = (shape.seed * 1_000_003 + place.number) * 1_000 + self.starts
        self.balancer = Balancer(self.settings, self.seed)
        self.watch = _Watch(self, self.rack.watches[place.service], {name: n for n, name in enumerate(zones)})
        self.control = CONTROLS[shape.control](self, self.tap)
        self.up = True
        await self.control.open()
        self.tell(self.balancer.start(self.now()))
        self.watch.open()

    @property
    def peers(self) -> int:
        """How many others it is to know."""
        return self.rack.scopes[scope(self.rack.shape.control, self.place)] - 1

    async def close(self, crash: bool) -> None:
        """End; silently after a crash."""
        if self.up:
            self.up = False
            self.watch.close()
            await self.control.close(crash)

    def now(self) -> float:
        """The module's time: Unix seconds."""
        return self._loop.time() + self._epoch

    def tell(self, actions: list[Action]) -> None:
        """Do what the module answers; without requests there are timers and the watch alone."""
        for action in actions:
            if isinstance(action, Timer):
                self._loop.call_at(action.at - self._epoch, self._timer, action.token, self.starts)
            elif isinstance(action, Subscribe):
                self.watch.open()

    def _timer(self, token: int, start: int) -> None:
        if self.up and start == self.starts:
            self.tell(self.balancer.timer(self.now(), token))

    def use(self, calls: int) -> None:
        """Stands in for the data path: so many calls, picked by the module and answered at once."""
        if not self.up:
            return
        now = self.now()
        for _ in range(calls):
            self._calls += 1
            rid = str(self._calls)
            todo = self.balancer.request(now, rid, 0, 0, now + CALL_MOST)
            tried, answered = 0, False
            while todo:
                action = todo.pop(0)
                if isinstance(action, Send):
                    failed = action.server == self.failing
                    answered = answered or not failed
                    todo += self.balancer.outcome(now, rid, tried, Outcome.ERROR if failed else Outcome.OK,
                                                  CALL_TOOK, answered)
                    tried += 1
                else:
                    self.tell([action])

    def accuse(self) -> str:
        """Fail on the first server in use from now on, as if three calls had just failed; its name."""
        number = self.failing = min(number for number, _ in self.balancer.in_use())
        server = self.balancer.servers[number]
        server.failed_at, server.streak = self.now(), 3
        self.balancer.touched[number] = server
        return server_name(number)


class _Watch(Discovery):
    """The product's watch, which counts what it is told and tells when it knows it."""

    def __init__(self, member: Hollow, address: Address, zones: dict[str, int]) -> None:
        super().__init__(address, Reader(zones, {"k": 0}), 0, self._listed)
        self._member = member
        self.bytes = self.messages = 0
        self.following = False

    def line(self, text: bytes) -> None:
        self.bytes += len(text) + 1
        self.messages += 1
        before = self.index
        super().line(text)
        if not self.following:
            self.following = True
            self._member.tap.heard("following")
        if self.index != before:
            self._member.tap.heard("version")

    def _over(self, watch: Any, reason: str = "told to") -> None:
        if watch is self._watch:
            self.following = False
        super()._over(watch, reason)

    def _listed(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        if endpoints or kind is not ListKind.PATCH:
            member = self._member
            member.tell(member.balancer.members(member.now(), kind, [row.row for row in endpoints]))


class Flat:
    """Membership of the whole fleet and, with `shares`, facts from everyone to everyone."""

    def __init__(self, member: Hollow, tap: Tap, shares: bool = True) -> None:
        self._member, self._tap = member, tap
        self._node = Tapped(member.place.name, self.config(member), member.seed)
        self._node.tap = tap
        self._node.tap_complete = member.peers
        self._sharing: sharing.Sharing | None = None
        self._shares = shares

    def config(self, member: Hollow) -> MembershipConfig:
        """Its settings: one group of all."""
        rack = member.rack
        return MembershipConfig(CLUSTER, member.address, member.address, rack.seeds, rack.shape.period)

    async def open(self) -> None:
        """Bind, join, and share."""
        await self._node.open()
        if self._shares:
            member = self._member
            self._sharing = sharing.Sharing(self._node, member.balancer, member.rack.shape.staleness,
                                            member.now, member.tell)
            self._listen(self._sharing.facts)

    def _listen(self, held: facts.Facts) -> None:
        """Have it told when another member's accusation of a server is news here."""
        take = held.take

        def heard(*told: Any, **more: Any) -> bool:
            digest = next(row for row in told if isinstance(row, facts.Digest))
            before = held.accused(digest.origin)
            news = take(*told, **more)
            if digest.origin != held.name and held.accused(digest.origin) - before:
                self._tap.heard("verdict", digest.origin)
            return news

        held.take = heard  # type: ignore[method-assign]

    async def close(self, crash: bool) -> None:
        """Leave, or be gone without a word."""
        if self._sharing is not None:
            self._sharing.close()
        if crash:
            self._node.swim.leaving = True  # `close` says nothing then
        await self._node.close()

    @property
    def incarnation(self) -> int:
        """Its own, now."""
        return self._node.incarnation

    def known(self) -> Known:
        """Every other member."""
        return {name: (row.state.name.lower(), row.incarnation)
                for name, row in self._node.swim.members.items()}

    def size(self) -> int:
        """How many others it knows."""
        return len(self._node.swim.members)

    def traffic(self) -> tuple[int, int, int, int]:
        """As the node counts them."""
        node = self._node
        return node.sent_bytes, node.received_bytes, node.sent_messages, node.received_messages


class Scoped(Flat):
    """Membership and facts among the members of the own service alone: those that share servers."""

    def config(self, member: Hollow) -> MembershipConfig:
        """Its settings: one scope, the service's, with seeds of it."""
        service = member.place.service
        scopes = {f"service-{service}": member.rack.service_seeds[service]}
        return replace(super().config(member), seeds=(), scopes=scopes)


def scope(control: str, place: Place) -> int:
    """The group in which all are to know each other: everyone is in the same one, or `place.service`."""
    return place.service if control in BY_SERVICE else 0


BY_SERVICE = frozenset({"scoped"})  # controls whose members know those of their own service alone
CONTROLS: dict[str, Build] = {
    "flat": Flat,
    "scoped": Scoped,
    "membership": lambda member, tap: Flat(member, tap, shares=False),  # what it costs without the facts
}
