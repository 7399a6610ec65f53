"""A request's body on its way from its caller to the attempt that it goes to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lugspur.memory import Holding

# Bytes of a body, a request's or an answer's, that are held: what the protocol once allowed as a whole.
# Callers hold a third of the descriptors, 341 at most: with each at this bound that is 22 MB.
HELD_MOST = 64 << 10
BODY_MOST = 32 << 20  # bytes of a request's body


class Sink(Protocol):
    """Where a body goes: the connection of one attempt."""

    def blocked(self) -> bool:
        """Whether it takes nothing now; the body is pumped again once it does."""

    def write_body(self, data: bytes) -> None:
        """The next bytes."""

    def end_body(self) -> None:
        """There are no more."""


class Body:
    """What is held of a body: all of it while it may be sent again, then only what no attempt has taken."""

    __slots__ = ("arrived", "length", "let_go", "size", "throttled", "whole", "_gone", "_held", "_holding",
                 "_sent", "_sink", "_throttle")

    def __init__(
        self, length: int | None, throttle: Callable[[bool], None], holding: Holding | None = None
    ) -> None:
        """`throttle` is told whether the caller has to wait; `holding` accounts for what is held."""
        self.length = length  # as declared; None: it comes in chunks
        self.size = 0  # bytes that have come
        self.whole = False
        self.arrived: Callable[[], None] | None = None  # told once it is whole
        self.let_go: Callable[[], None] | None = None  # told once it can't be sent again
        self._held = bytearray()
        self._gone = 0  # bytes before those held
        self._sent = 0  # bytes that the sink has been given
        self._sink: Sink | None = None
        self._throttle = throttle
        self._holding = holding
        self.throttled = False  # the caller has to wait

    def held(self) -> bytes | None:
        """The whole body, where it has come and is held."""
        return bytes(self._held) if self.whole and not self._gone else None

    def held_size(self) -> int:
        """Bytes that are held now."""
        return len(self._held)

    def feed(self, data: bytes) -> None:
        """The caller's next bytes, which go on at once."""
        self.append(data)
        self.flush()

    def append(self, data: bytes) -> None:
        """The caller's next bytes, which go on with the next `flush`."""
        self.size += len(data)
        self._held += data

    def flush(self) -> None:
        """Send on what has come."""
        if self.size != self.length:  # Guards against an attempt for nobody: its last bytes go with `finish`
            self._pump()

    def release(self) -> None:
        """Nobody needs it any more."""
        self._sink = None
        self._held.clear()
        self._account()

    def _account(self) -> None:
        if self._holding is not None:
            self._holding.set(len(self._held))

    def finish(self) -> None:
        """The caller has sent all of it."""
        self.whole = True
        self._pump()
        arrived, self.arrived = self.arrived, None
        if arrived is not None:
            arrived()

    def attach(self, sink: Sink) -> None:
        """Send it to this sink, from its first byte on."""
        self._sink = sink
        self._sent = 0
        self._pump()

    def detach(self, sink: Sink) -> None:
        """Send this sink nothing more."""
        if self._sink is sink:
            self._sink = None
            self._sent = self._gone

    def resume(self) -> None:
        """The sink takes bytes again."""
        self._pump()

    def _lent(self) -> bool:
        """Whether more may be held than always: what is read as it is written is dated exactly."""
        return self._holding is not None and self._holding.may_grow()

    def _pump(self) -> None:
        sink = self._sink
        if sink is not None and not sink.blocked():
            data = bytes(memoryview(self._held)[self._sent - self._gone:])
            self._sent += len(data)
            if self._sent > HELD_MOST:  # Guards the memory limit: no attempt after this one.
                self._held.clear()
                self._gone = self._sent
                let_go, self.let_go = self.let_go, None
                if let_go is not None:
                    let_go()
            if data:
                sink.write_body(data)
            if self.whole:
                self._sink = None
                sink.end_body()
        self._account()
        # What is whole waits for nothing more: to read no further would hide that its caller leaves.
        waits = not self.whole and self._gone + len(self._held) - self._sent > HELD_MOST and not self._lent()
        if waits != self.throttled:
            self.throttled = waits
            self._throttle(waits)
