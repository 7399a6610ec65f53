"""Who listens where, what becomes of a dial, and what every connection's number is."""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from simulation.clock import PROCESS, World
from simulation.link import LATENCY, Link, Peer, Transport

Address = tuple[str, int]
NEVER = math.inf


@dataclass(frozen=True, slots=True)
class Dial:
    """What becomes of a dial: so many seconds later it is up, or fails with this number of an error."""

    after: float = 2 * LATENCY
    error: int = 0


REFUSED = Dial(2 * LATENCY, errno.ECONNREFUSED)


class Listener(Protocol):
    """Who listens at an address."""

    def dialled(self, process: str) -> Dial:
        """What becomes of a dial of this process."""

    def accepted(self, link: Link) -> Peer:
        """It is up: who is its other end."""


class Network:
    """All listeners and all connections of a run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.listeners: dict[Address, Listener] = {}
        self.links: dict[int, Link] = {}
        self.before_dial: Callable[[str, Address], Dial | None] = lambda process, address: None
        self.dead: set[str] = set()  # processes that were killed
        self._count = 0
        world.loop.dialler = self._dial  # type: ignore[method-assign]

    def connect(self, process: str, peer: Peer) -> Link:
        """A new connection; its transport is still to be put in place."""
        self._count += 1
        link = self.links[self._count] = Link(self._world, self._count, process, peer)
        return link

    async def _dial(self, protocol_factory: Callable[[], asyncio.BaseProtocol], address: Address) -> Any:
        process = PROCESS.get()
        listener = self.listeners.get(address)
        dial = self.before_dial(process, address)
        if dial is None:
            dial = listener.dialled(process) if listener is not None else REFUSED
        done: asyncio.Future[None] = self._world.loop.create_future()
        if dial.after < math.inf:
            self._world.after(dial.after, lambda: self._world.wake(lambda: self._up(process, done)))
        await done
        if dial.error:
            raise OSError(dial.error, errno.errorcode[dial.error])
        assert listener is not None
        link = self.connect(process, _Nobody())
        protocol = protocol_factory()
        transport = Transport(self._world.loop, protocol, link)
        link.peer = listener.accepted(link)
        made: asyncio.Future[None] = self._world.loop.create_future()
        transport.begin(made)
        try:
            await made
        except BaseException:
            transport.close()
            raise
        return transport, protocol

    def _up(self, process: str, done: asyncio.Future[None]) -> None:
        if process not in self.dead and not done.done():
            done.set_result(None)

    def kill(self, process: str) -> None:
        """The process is gone: its connections are reset."""
        self.dead.add(process)
        for link in list(self.links.values()):
            if link.process == process:
                link.hang_up()
        self.forget_ended()

    def forget_ended(self) -> None:
        """Drop what is over."""
        for number in [number for number, link in self.links.items() if link.ended]:
            del self.links[number]


class _Nobody:
    """The other end until there is one."""

    def received(self, link: Link, data: bytes, sent: float) -> None:
        """Nothing can come yet."""

    def closed(self, link: Link) -> None:
        """Nobody minds."""
