"""One attempt on the wire: from its start to its one outcome, and how long it may take."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from jaspershelf.answer_forecast import AnswerSizes
from jaspershelf.model import Outcome
from jaspershelf.request_lease import RequestLease
from jaspershelf.transfer_pace import AnswerPace, Headway
from lugspur.body import Body

if TYPE_CHECKING:
    from lugspur.backend_connection import Backend, Connection

# Seconds in which a backend has to take a step of a request, or to give anything of an answer...
STALLED = 8.0
STUCK = 30.0  # ...or its caller's system has to take a step
HEADWAY_EVERY = 1.0  # seconds between looks at a transfer
PACE_EVERY_MOST, PACE_EVERY_LEAST = 0.1, 0.01  # seconds between looks at an answer that is held...
NO_LEASE, NO_SIZES = RequestLease(), AnswerSizes()  # without an end, and of no class
PACE_EVERY_PART = 0.1  # ...this part of the time that its request had left as it began


@dataclass(slots=True)
class Response:
    """A backend's answer: whole, or the beginning of one that is passed on as it comes."""

    status: int
    head: bytes  # its end-to-end headers, each with its line end
    body: bytes
    length: int | None  # as declared; None: the backend does not say


class Client(Protocol):
    """Whose attempts these are: what each of them tells it."""

    def wanted(self) -> bool:
        """Whether an answer is still owed."""

    def answering(self, exchange: Exchange) -> None:
        """A sound answer has begun to come in."""

    def slow(self, exchange: Exchange) -> None:
        """That answer has fallen silent, or comes slowly; told again while it does."""

    def begun(self, exchange: Exchange, response: Response) -> Callable[[bytes], None] | None:
        """An answer is passed on from here; where the rest of it goes, or None if nobody wants it."""

    def undelivered(self) -> int:
        """Bytes of an answer that is passed on, that its caller's system has not taken yet."""

    def ended(self, exchange: Exchange, outcome: Outcome, response: Response | None) -> None:
        """The one outcome; an answer that has begun is not told again."""


class Exchange:
    """One attempt on the wire: from its start to its one outcome."""

    __slots__ = (
        "_client", "_headway", "_loop", "_moved", "_pace_every", "_timer", "answer_size", "backend", "body",
        "connection", "dial", "head", "lease", "name", "number", "once", "open", "outcome", "pace", "pass_on",
        "paused", "reason", "request_size", "safe", "sizes", "started", "until",
    )

    def __init__(
        self, client: Client, number: int, backend: Backend, started: float, until: float,
        head: Callable[[float], bytes], body: Body, once: bool = False,
    ) -> None:
        self.number = number
        self.name = b""  # of its request, in the trace
        self.backend = backend
        self.started = started
        self.until = until  # the loop's time until which the first byte of its answer is waited for
        self.lease = NO_LEASE  # its request's, once that is known
        self.sizes = NO_SIZES  # of its request's class
        self.pace: AnswerPace | None = None  # of a sound answer that is coming in
        self.head = head  # the request's head, given the seconds that are left
        self.body = body
        self.once = once  # it must not run twice, or can't be sent again, so a reset is its end
        self.safe = not once  # its request may simply be repeated
        self.open = True
        self.outcome: Outcome | None = None  # None while it is open
        self.connection: Connection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.pass_on: Callable[[bytes], None] | None = None  # where an answer goes that is too large to hold
        self.paused = False  # nobody takes more of that answer now
        self.reason = ""  # why it ended, where the outcome does not say
        self.request_size = 0  # bytes of its request that its socket has taken by its end...
        self.answer_size = 0  # ...and bytes that have come on it
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._moved = 0.0  # when a transfer last made headway
        self._headway = Headway(0.0)
        self._pace_every = PACE_EVERY_MOST
        self._timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Outcome, response: Response | None = None, reason: str = "") -> None:
        """Report the outcome, once, and let go of the connection; one that is still in use is closed."""
        if not self.open:
            return
        self.open = False
        self.outcome = outcome
        self.reason = reason
        self._unlimit()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.count_bytes(self)
            self.body.detach(self.connection)
            self.connection.abandon(f"its attempt is over: {outcome.value}")
            self.connection = None
        self._client.ended(self, outcome, response)

    def wanted(self) -> bool:
        """Whether anybody still waits for its answer."""
        return self._client.wanted()

    def expire(self, reason: str = "") -> None:
        """The time that this attempt is waited for is up."""
        self.end(Outcome.TIMEOUT if self._may_have_run() else Outcome.UNREACHABLE, reason=reason)

    def broke(self, reason: str = "") -> None:
        """The connection is no good any more."""
        self.end(Outcome.BROKEN if self._may_have_run() else Outcome.UNREACHABLE, reason=reason)

    def _may_have_run(self) -> bool:
        return self.connection is not None and self.connection.written

    # ---- how long it may take -----------------------------------------------------------------

    def limit(self, until: float) -> None:
        """Wait until then for its answer to begin; with no end while its request is still coming in."""
        if not self.open or self.pace is not None:
            return
        self._unlimit()
        self.until = until
        if until == math.inf:
            self._begin_checks()
        else:
            self._timer = self._loop.call_at(until, self.expire, "nothing came in its time")

    def answer(self) -> None:
        """A sound answer has begun to come in: from here on its request's lease is its limit."""
        if self.pace is not None:
            return
        self._begin_pace()
        self._begin_checks()
        self._client.answering(self)

    def _begin_pace(self) -> None:
        now = self._loop.time()
        self.pace = AnswerPace(now)
        part = PACE_EVERY_PART * (self.lease.deadline() - now)
        self._pace_every = min(PACE_EVERY_MOST, max(PACE_EVERY_LEAST, part))

    def is_coming_in(self) -> bool:
        """Whether a sound answer's head has come, and not all of its body."""
        return self.pace is not None and self.connection is not None and self.connection.is_in_body()

    def may_pass_on(self) -> bool:
        """Whether what has come of its answer goes to its caller now."""
        if self.pace is None:
            return False
        alone = self.once and self.pace.says_long()  # no other server may serve its request
        return alone or self.lease.passes_on(self._loop.time(), self.pace, self.sizes)

    def carry_on(self) -> bool:
        """Pass on what has come, and the rest as it comes."""
        if self.connection is not None:
            self.connection.pass_on()
        return self.pass_on is not None

    def begin(self, response: Response) -> None:
        """The answer is passed on from here."""
        if self.pace is None:
            self._begin_pace()
        self.pass_on = self._client.begun(self, response)
        if self.open:
            self._begin_checks()

    def moved(self) -> None:
        """A byte has come or gone."""
        self._moved = self._loop.time()

    def hold(self, paused: bool) -> None:
        """Have the backend wait until its answer finds room again, or no longer."""
        self.paused = paused
        if self.connection is not None:
            self.connection.hold(paused)
            self.moved()
            self._headway = Headway(self._loop.time(), self._moved_bytes())

    def _begin_checks(self) -> None:
        self._unlimit()
        self.moved()
        self._headway = Headway(self._loop.time(), self._moved_bytes())
        self._check()

    def _check(self) -> None:
        """End a transfer that does not go on: its request is owed an answer, its buffers serve nobody."""
        now = self._loop.time()
        is_held = self.pace is not None and self.pass_on is None
        if is_held and now >= self.lease.attempt_until():
            self.expire("its answer did not come whole by the end of its request")
            return
        due = self._stands_still_at(now)
        if now >= due:
            self.expire("its transfer came to a stand")
            return
        every = self._pace_every if is_held else HEADWAY_EVERY
        self._timer = self._loop.call_at(min(due, now + every), self._check)
        if is_held:
            self._look_at_pace(now)

    def _stands_still_at(self, now: float) -> float:
        """When its transfer has come to a stand unless something moves."""
        if self.pace is not None and not self.paused:
            return self._moved + STALLED
        if self.pace is None and not self._unsent():
            # It waits for its caller's next bytes, or for the dial: both have their own limits.
            self._headway = Headway(now, self._moved_bytes())
        return self._headway.due(now, self._moved_bytes(), STUCK if self.paused else STALLED)

    def _look_at_pace(self, now: float) -> None:
        if self.pace is None:
            return
        if self.is_coming_in() and self.may_pass_on():
            self.carry_on()
        elif self.lease.is_slow(now, self.pace, self.sizes):
            self._client.slow(self)

    def _moved_bytes(self) -> int:
        """Bytes that have come to where they go: an answer's to its caller, a request's out."""
        if self.pass_on is not None:
            return (self.pace.size if self.pace is not None else 0) - self._client.undelivered()
        return self.connection.moved_bytes() if self.connection is not None else 0

    def _unsent(self) -> int:
        """Bytes of the request that its server does not take."""
        return self.connection.unsent() if self.connection is not None else 0

    def _unlimit(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
