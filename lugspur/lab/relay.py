"""Fault relays on loopback: forwarders between processes that drop, delay, duplicate, reorder and partition.

`UdpRelay` stands in front of each member's datagram socket, `TcpRelay` in front of any listener. All chance
comes from one seed. Shapes: probabilities from 0 to 1, times in seconds.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from random import Random

from lugspur.config import Address

HOLD_MOST = 0.05  # seconds that a datagram to be overtaken is held when no other one comes


@dataclass(slots=True)
class Link:
    """What happens to what one process sends to another."""

    drop: float = 0.0  # the chance that a datagram is lost
    duplicate: float = 0.0  # the chance that it comes twice
    reorder: float = 0.0  # the chance that the next one overtakes it
    delay: tuple[float, float] = (0.0, 0.0)  # the least and the most, drawn evenly
    cut: bool = False  # a partition, one way


class UdpRelay:
    """A datagram forwarder for a group: each member has an address here that the others are told.

    Who sent a datagram is known by the socket it came from, so every ordered pair has a `Link` of its own.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._chances: dict[tuple[str, str], Random] = {}  # of each link: none depends on the others' order
        self._real: dict[str, Address] = {}
        self._names: dict[Address, str] = {}
        self._ports: dict[str, asyncio.DatagramTransport] = {}
        self._links: dict[tuple[str, str], Link] = {}
        self._held: dict[tuple[str, str], bytes] = {}
        self.passed = self.lost = 0

    async def add(self, name: str, real: Address) -> Address:
        """A member that is bound to `real`; the address that it is to advertise."""
        self._real[name] = real
        self._names[real] = name
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Port(self, name), local_addr=(real[0], 0)
        )
        self._ports[name] = transport
        address: Address = transport.get_extra_info("sockname")
        return address

    def link(self, source: str, target: str) -> Link:
        """The link from one member to another, to be changed in place."""
        return self._links.setdefault((source, target), Link())

    def links(self) -> Iterable[Link]:
        """The links of all ordered pairs."""
        return [self.link(one, two) for one in self._real for two in self._real if one != two]

    def partition(self, one: Iterable[str], two: Iterable[str], both: bool = True) -> None:
        """Cut what goes from the first group to the second, and what comes back too if `both`."""
        for source in one:
            for target in two:
                self.link(source, target).cut = True
                if both:
                    self.link(target, source).cut = True

    def heal(self) -> None:
        """No faults any more."""
        self._links.clear()

    def close(self) -> None:
        """Let go of every socket."""
        for transport in self._ports.values():
            transport.close()

    def _came(self, target: str, data: bytes, address: Address) -> None:
        source = self._names.get(address)
        if source is None:
            return  # nobody of the group
        link, pair = self.link(source, target), (source, target)
        chance = self._chances.setdefault(pair, Random(f"{self._seed} {source} {target}"))
        if link.cut or chance.random() < link.drop:
            self.lost += 1
            return
        copies = 2 if chance.random() < link.duplicate else 1
        overtaken = self._held.pop(pair, None)
        if overtaken is None and chance.random() < link.reorder:
            self._held[pair] = data
            asyncio.get_running_loop().call_later(HOLD_MOST, self._release, pair, data)
            return
        for _ in range(copies):
            self._pass(pair, data, link)
        if overtaken is not None:
            self._pass(pair, overtaken, link)

    def _release(self, pair: tuple[str, str], data: bytes) -> None:
        if self._held.get(pair) is data:
            del self._held[pair]
            self._pass(pair, data, self.link(*pair))

    def _pass(self, pair: tuple[str, str], data: bytes, link: Link) -> None:
        self.passed += 1
        target = pair[1]
        delay = self._chances[pair].uniform(*link.delay)
        send = self._ports[target].sendto
        if delay > 0.0:
            asyncio.get_running_loop().call_later(delay, send, data, self._real[target])
        else:
            send(data, self._real[target])


class _Port(asyncio.DatagramProtocol):
    """What is sent to one member."""

    def __init__(self, relay: UdpRelay, name: str) -> None:
        self._relay, self._name = relay, name

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        self._relay._came(self._name, data, (str(addr[0]), addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # the member behind is down: what is sent to it is lost, as on a network


class TcpRelay:
    """A forwarder in front of one listener: `cut` makes it silent both ways, `delay` slows each piece.

    A cut swallows nothing: what was read before it goes on once it ends, as TCP would send it again.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay = 0.0
        self._clear = asyncio.Event()
        self._clear.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str) -> Address:
        """Listen on a free port of this host; its address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        address: Address = self._server.sockets[0].getsockname()
        return address

    @property
    def cut(self) -> bool:
        """Whether nothing passes now."""
        return not self._clear.is_set()

    @cut.setter
    def cut(self, cut: bool) -> None:
        if cut:
            self._clear.clear()
        else:
            self._clear.set()

    def reset(self) -> None:
        """Break every connection that is open, as a peer that dies does."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and break what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._clear.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            self._writers.add(far_writer)
            try:
                await asyncio.gather(self._pipe(reader, far_writer), self._pipe(far_reader, writer))
            finally:
                self._writers.discard(far_writer)
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1 << 16):
            if self.delay > 0.0:
                await asyncio.sleep(self.delay)
            await self._clear.wait()
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.write_eof()


def free_ports(host: str, count: int) -> list[int]:
    """Different ports of this loopback address that nobody holds, for TCP and for UDP."""
    with ExitStack() as held:
        ports: list[int] = []
        while len(ports) < count:
            one, two = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
            held.enter_context(one)
            held.enter_context(two)
            one.bind((host, 0))
            with suppress(OSError):
                two.bind((host, one.getsockname()[1]))
                ports.append(int(one.getsockname()[1]))
        return ports
