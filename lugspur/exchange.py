"""One attempt on the wire: from its start to its one outcome, and how long it may take."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from jaspershelf.model import Outcome
from jaspershelf.transfer_pace import AnswerPace, Headway
from lugspur.body import Body

if TYPE_CHECKING:
    from lugspur.backend_connection import Backend, Connection

STALLED = 8.0  # seconds in which a backend has to carry a transfer on by a step...
STUCK = 30.0  # ...or its caller has to make room for one: a slow one may empty a full socket in 20
HEADWAY_EVERY = 1.0  # seconds between looks at a transfer
PACE_EVERY = 0.1  # seconds between looks at an answer that is not long yet
SILENT_MOST = 2.0  # seconds of its server's silence after which an answer no longer counts as coming in
WHOLE_BY = 0.3  # seconds after a request's time by which a short answer has to be whole: at 0.5 it is lost


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

    def unsent(self) -> int:
        """Bytes of an answer that is passed on, that its caller has not taken yet."""

    def ended(self, exchange: Exchange, outcome: Outcome, response: Response | None) -> None:
        """The one outcome; an answer that has begun is not told again."""


class Exchange:
    """One attempt on the wire: from its start to its one outcome."""

    __slots__ = (
        "_client", "_headway", "_loop", "_moved", "_timer", "answer_size", "backend", "body", "connection",
        "deadline", "dial", "head", "name", "number", "once", "open", "outcome", "pace", "pass_on", "paused",
        "reason", "request_size", "safe", "started", "until",
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
        self.deadline = math.inf  # its request's time, in the loop's
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

    def limit(self, until: float, deadline: float) -> None:
        """Wait until then for its answer to begin; with no end while its request is still coming in.

        `deadline` is its request's time.
        """
        self.deadline = deadline
        if not self.open or self.pace is not None:
            return
        self._unlimit()
        self.until = until
        if until == math.inf:
            self._begin_checks()
        else:
            self._timer = self._loop.call_at(until, self.expire, "nothing came in its time")

    def answer(self) -> None:
        """A sound answer has begun to come in: it may take its request's time, and more at a pace."""
        if self.pace is not None:
            return
        self.pace = AnswerPace(self._loop.time())
        self._begin_checks()
        self._client.answering(self)

    def is_coming_in(self) -> bool:
        """Whether a part of a sound answer has come, and its server has not fallen silent."""
        silent = self._loop.time() - self._moved
        return self.pace is not None and self.connection is not None and (
            self.connection.has_body() and silent <= SILENT_MOST)

    def carry_on(self) -> bool:
        """Pass on what has come, and the rest as it comes, of an answer that is long or will be."""
        if self.connection is None or self.connection.is_short() or not self.may_go_on():
            return False
        self.connection.pass_on()
        return self.pass_on is not None

    def may_go_on(self) -> bool:
        """Whether its answer may come in past its request's time."""
        return self.pace is not None and self.pace.may_be_long(self._loop.time(), self.deadline)

    def begin(self, response: Response) -> None:
        """The answer is passed on from here, at the pace that it has to keep."""
        if self.pace is None:
            self.pace = AnswerPace(self._loop.time())
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
        if self._is_over(now):
            self.expire("its answer did not come whole, or at its pace, by its request's time")
            return
        if self.pace is None and not self._unsent():
            # It waits for its caller's next bytes, or for the dial: both have their own limits.
            self._headway = Headway(now, self._moved_bytes())
        is_held = self.pace is not None and self.pass_on is None
        if is_held:  # its request's time is its limit
            due = self._moved + STALLED
        else:
            due = self._headway.due(now, self._moved_bytes(), STUCK if self.paused else STALLED)
        if now >= due:
            self.expire("its transfer came to a stand")
            return
        every = PACE_EVERY if is_held or self._is_short_so_far() else HEADWAY_EVERY
        self._timer = self._loop.call_at(min(due, now + every), self._check)
        if is_held and self.pace is not None and self.pace.is_slow(now):
            self._client.slow(self)

    def _is_short_so_far(self) -> bool:
        return self.pace is not None and not self.pace.is_long()

    def _is_over(self, now: float) -> bool:
        """Whether an answer that is not long has had its time."""
        if self.pace is None or self.paused:
            return False
        if self.pass_on is None:  # whoever waits for it ends it, or passes it on, before
            return now > self.deadline + WHOLE_BY + PACE_EVERY
        return now >= self.deadline and not self.may_go_on()

    def _moved_bytes(self) -> int:
        """Bytes that have come to where they go: an answer's to its caller, a request's out."""
        if self.pass_on is not None:
            return (self.pace.size if self.pace is not None else 0) - self._client.unsent()
        return self.connection.moved_bytes() if self.connection is not None else 0

    def _unsent(self) -> int:
        """Bytes of the request that its server does not take."""
        return self.connection.unsent() if self.connection is not None else 0

    def _unlimit(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
