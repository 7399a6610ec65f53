"""The scripted servers: they note the first byte of each attempt, and how often each request has run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from drain_rule import Attempt

from simulation.clock import World
from simulation.link import ROOM_ALL, Link, Peer
from simulation.network import Dial

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Conduct:
    """How a server treats one request; by default it serves it."""

    after: float = 0.01  # seconds
    answer: bytes | None = OK  # None: never
    resets: bool = False  # in place of an answer


class _Reading:
    """What has come of the request that a connection carries now."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.head_end = -1
        self.length = 0
        self.chunked = False
        self.number = b""

    def take_whole(self) -> bool:
        """Whether it has come whole; what is left belongs to the next one."""
        if self.head_end < 0:
            self._look_for_head()
        if self.head_end < 0:
            return False
        if self.chunked:
            end = self.data.find(b"0\r\n\r\n", self.head_end)
            if end < 0:
                return False
            del self.data[:end + 5]
        else:
            if len(self.data) < self.head_end + self.length:
                return False
            del self.data[:self.head_end + self.length]
        self.head_end, self.length, self.chunked = -1, 0, False
        return True

    def _look_for_head(self) -> None:
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return
        self.head_end = end + 4
        for line in bytes(self.data[:end]).split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                self.length = int(value)
            elif name.lower() == b"transfer-encoding":
                self.chunked = True
            elif name.lower() == b"x-request-id":
                self.number = value.strip()


class Server(Peer):
    """One server of the list."""

    def __init__(self, world: World, name: str, attempts: list[Attempt]) -> None:
        self.name = name
        self.dial: Callable[[], Dial] = Dial
        self.conduct: Callable[[], Conduct] = Conduct
        self.room = ROOM_ALL  # bytes of a request that a proxy's socket takes at once
        self.runs: Counter[bytes] = Counter()  # times that a request may have run
        self._world = world
        self._attempts = attempts
        self._open: dict[Link, _Reading] = {}

    def restart(self) -> None:
        """Another process: connections are reset."""
        for link in self._open:
            link.reset()
        self._open.clear()

    def dialled(self, process: str) -> Dial:
        """What becomes of a dial."""
        return self.dial()

    def accepted(self, link: Link) -> Peer:
        """It carries one request after another."""
        link.room = self.room
        self._open[link] = _Reading()
        return self

    def received(self, link: Link, data: bytes, sent: float) -> None:
        """A part of a request."""
        reading = self._open.get(link)
        if reading is None:
            return
        if not reading.data:
            self._attempts.append(Attempt(sent, link.process, self.name))
        reading.data += data
        if self.room < ROOM_ALL:
            self._world.after(0.02, lambda: link.make_room(self.room))
        if reading.take_whole():
            self._run(link, reading.number)

    def closed(self, link: Link) -> None:
        """The proxy has let go."""
        self._open.pop(link, None)

    def _run(self, link: Link, number: bytes) -> None:
        conduct = self.conduct()
        if conduct.answer != FULL:
            self.runs[number] += 1

        def answer() -> None:
            if link not in self._open:
                return
            if conduct.resets:
                del self._open[link]
                link.reset()
            elif conduct.answer is not None:
                link.send(conduct.answer)

        self._world.after(conduct.after, answer)
