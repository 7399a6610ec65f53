"""The account of all that peers make this process hold: heads, queues, bodies, answers, lists, names.

Whoever keeps bytes of a peer has a `Holding` and tells it their number. The sum is bounded from the
process's memory limit by `jaspershelf.overload`, which decides; here its decisions are carried out:
connections are read in smaller pieces, new requests are refused, and where that is not enough, those that
hold most give up what was not taken on. What is owed ends by that only where the system gives no more memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Protocol

from jaspershelf.overload import READ_LEAST, READ_MOST, SERVER_COST, MemoryOverload, largest_first
from lugspur.events import log
from lugspur.trace import trace

READ_BUFFER = memoryview(bytearray(READ_MOST))  # of all connections: each takes up what it reads at once
TURN_LONG, TURN_TOO_LONG = 0.02, 0.1  # seconds of one turn of the loop after which a connection is read...
PIECE_SMALL, PIECE_LEAST = READ_LEAST, 512  # ...in pieces of so many bytes, so that others have their turn
CONNECTION_COST = 9 << 10  # bytes that a connection costs without anything held on it
RELIEF_EVERY = 0.1  # seconds between reliefs, where one could not give up enough
OUT_OF_MEMORY = "out of memory: try again later"
REQUEST_COST = 3 << 10  # bytes that a request costs beside its text


class Purpose(IntEnum):
    """What bytes are held for."""

    CONNECTIONS = 0
    HEADS = 1  # of requests that are coming in
    REQUESTS = 2  # that are queued or served
    BODIES = 3  # of requests
    ANSWERS = 4  # from servers, and on their way to callers
    LISTS = 5  # messages of discovery that are coming in
    OPERATORS = 6  # calls to the operators' address
    NAMES = 7  # of servers, kept for good
    IDS = 8  # of requests that may have run: a table that is kept for good


KEPT = (int(Purpose.NAMES), int(Purpose.IDS))  # for good


class Holder(Protocol):
    """Who holds bytes of a peer, and can give them up."""

    def held(self) -> int:
        """How many, now, the connection's own among them."""

    def owes(self) -> bool:
        """Whether something was taken on that is owed to somebody."""

    def shed(self) -> None:
        """Give up what was not taken on yet; whoever sent it is told."""

    def reset(self) -> None:
        """Give up all at once, and the connection with it."""


class Holding:
    """The bytes that one holder keeps for one purpose."""

    __slots__ = ("_account", "_purpose", "size")

    def __init__(self, account: Account, purpose: Purpose) -> None:
        self._account = account
        self._purpose = int(purpose)
        self.size = 0

    def set(self, size: int) -> None:
        """So many it is now."""
        change = size - self.size
        if change:
            self.size = size
            self._account.change(self._purpose, change)

    def may_grow(self) -> bool:
        """Whether the account has room to lend, beyond what each holder may always keep."""
        return self._account.overload.may_lend(self._account.held)


class CallerHoldings:
    """What one caller's connection holds beside its requests."""

    __slots__ = ("_account", "connection", "head", "unsent")

    def __init__(self, account: Account) -> None:
        self._account = account
        self.connection = Holding(account, Purpose.CONNECTIONS)
        self.head = Holding(account, Purpose.HEADS)
        self.unsent = Holding(account, Purpose.ANSWERS)

    def open(self, holder: Holder) -> None:
        """The connection has come up."""
        self._account.holders[holder] = None
        self.connection.set(CONNECTION_COST)

    def close(self, holder: Holder) -> None:
        """The connection holds nothing more."""
        self._account.holders.pop(holder, None)
        for holding in (self.connection, self.head, self.unsent):
            holding.set(0)

    def size(self) -> int:
        """Bytes in all."""
        return self.connection.size + self.head.size + self.unsent.size


class Account:
    """The sum of all holdings, and who holds them."""

    def __init__(
        self, overload: MemoryOverload | None = None,
        violated: Callable[[str, str], None] = lambda name, detail: None,
    ) -> None:
        """`violated` is told of each invariant that a guard finds broken, by name, and how."""
        self.violated = violated
        self.overload = overload or MemoryOverload()
        self.holders: dict[Holder, None] = {}
        self.by_purpose = [0] * len(Purpose)
        self.held = 0  # without what is kept for good
        self.peak = 0
        self.refused = 0  # requests
        self.shed = 0  # times that a holder gave up what was not taken on...
        self.reset = 0  # ...and all...
        self.reset_owed = 0  # ...though something was owed
        self.failed_allocations = 0
        self._relief_due = False
        self._turn_age: Callable[[], float] = lambda: 0.0

    def pace_by(self, turn_age: Callable[[], float]) -> None:
        """`turn_age` tells for how many seconds the loop's present turn has lasted."""
        self._turn_age = turn_age

    def holding(self, purpose: Purpose) -> Holding:
        """A new holding of nothing."""
        return Holding(self, purpose)

    def change(self, purpose: int, change: int) -> None:
        """A holding has changed by so many bytes."""
        self.by_purpose[purpose] += change
        if purpose in KEPT:
            self.overload.keep(sum(self.by_purpose[kept] for kept in KEPT))
            return
        self.held = held = self.held + change
        if held > self.peak:
            self.peak = held
        noticed = held > self.overload.quiet or self.overload.refusing
        if noticed and self.overload.update(held) and not self._relief_due:
            self._ask_for_relief()

    def names(self, holding: Holding, number: int) -> None:
        """So many names of servers are kept."""
        holding.set(number * SERVER_COST)

    def read_buffer(self, least: int = PIECE_LEAST) -> memoryview:
        """Where a connection's next bytes go: less room where memory or the turn's time runs out.

        There is room for `least` bytes at any time.
        """
        age = self._turn_age()
        if age <= TURN_LONG and self.held <= self.overload.quiet:
            return READ_BUFFER
        size = self.overload.read_size(self.held)
        if age > TURN_LONG:
            size = min(size, PIECE_LEAST if age > TURN_TOO_LONG else PIECE_SMALL)
        size = max(least, size)
        return READ_BUFFER if size >= READ_MOST else READ_BUFFER[:size]

    def answer_most(self) -> int:
        """How many bytes of one answer may wait for its caller now."""
        return self.overload.answer_most(self.by_purpose[Purpose.ANSWERS])

    def refuse(self) -> str:
        """A new request is refused, with this reason."""
        if not self.refused:
            log.warning("memory.refusing", held=self.held, budget=int(self.overload.budget))
        self.refused += 1
        return OUT_OF_MEMORY

    def allocation_failed(self) -> None:
        """The system has given no more memory."""
        self.failed_allocations += 1
        self.overload.allocation_failed(self.held)
        self.relieve()
        self._reset(owed=True)  # the process ends otherwise, and with it all that is owed

    def _ask_for_relief(self, after: float = 0.0) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # no loop runs: nothing more comes in
            return
        if after:
            loop.call_later(after, self.relieve)
        else:
            loop.call_soon(self.relieve)
        self._relief_due = True

    def relieve(self) -> None:
        """Have those that hold most give up what was not taken on, and all where nothing is owed."""
        self._relief_due = False
        if self.overload.update(self.held):
            holders = list(self.holders)
            order = largest_first([holder.held() for holder in holders])
            self.shed += self._give_up(
                [holders[place].shed for place in order], self.overload.relieved())
        self._reset(owed=False)
        if not self._relief_due and self.overload.update(self.held):
            self._ask_for_relief(RELIEF_EVERY)

    def _reset(self, owed: bool) -> None:
        """Have those that hold most give up all, where more is held than may be; `owed`: what is owed too."""
        if not self.overload.update(self.held):
            return
        holders = [holder for holder in self.holders if holder.owes() == owed]
        order = largest_first([holder.held() for holder in holders])
        count = self._give_up([holders[place].reset for place in order], self.overload.relieved())
        self.reset += count
        if owed and count:
            self.reset_owed += count
            log.error("memory.reset_owed", number=count, held=self.held)

    def press(self) -> None:
        """Have those that hold most give up what was not taken on: the process is near its limit."""
        holders = list(self.holders)
        order = largest_first([holder.held() for holder in holders])
        self.shed += self._give_up([holders[place].shed for place in order], self.held / 2.0)

    def _give_up(self, ways: Sequence[Callable[[], None]], down_to: float) -> int:
        """Go on until no more than this is held; how many of them gave something up."""
        trace.record("memory.relief", held=self.held, budget=self.overload.budget, down_to=int(down_to))
        gave = 0
        for give_up in ways:
            before = self.held
            if before <= down_to:
                break
            try:
                give_up()
            except Exception:  # Guards the others: each has to give up its own.
                log.error("memory.fault", exc_info=True)
            gave += self.held < before
        return gave

    def figures(self) -> list[str]:
        """Lines of the telemetry."""
        budget = self.overload.budget
        lines = [f"memory.{purpose.name.lower()}={self.by_purpose[purpose]}" for purpose in Purpose]
        return [
            *lines, f"memory.held={self.held}", f"memory.held_most={self.peak}",
            f"memory.budget={-1 if budget == float('inf') else int(budget)}",
            f"memory.refusing={int(self.overload.refusing)}", f"memory.refused={self.refused}",
            f"memory.shed={self.shed}", f"memory.reset={self.reset}", f"memory.reset_owed={self.reset_owed}",
            f"memory.failed_allocations={self.failed_allocations}",
        ]
