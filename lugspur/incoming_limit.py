"""How long a caller's request may take to come in: by its pace, and by the time that it has itself."""

from __future__ import annotations

import asyncio
from typing import Protocol

from lugspur.arrival import UNSURE, ArrivalBound
from lugspur.body import Body
from lugspur.request import ANSWER_EARLY, Request, stated_time

TICK = 1.25  # seconds between looks at a request that is coming in
HEAD_TICKS = 2  # looks after which a head has to be complete: it may take 2 s, and a bad peer 3
PACE_LEAST = 16e3  # bytes a second of a body that is coming in: a quarter of what callers are said to send
# Bytes that a caller's own socket may hold of what it has written: more than systems grant by themselves.
WRITTEN_AHEAD_MOST = 8 << 20


class Incoming(Protocol):
    """A caller's connection, as far as its requests come in."""

    begun: bool  # a request has come in part

    def incoming(self) -> Request | None:
        """The request whose head is complete and whose body is not."""

    def is_held_up(self) -> bool:
        """Whether it is for the proxy that no more comes."""

    def ends_by(self) -> float:
        """The loop's time by which all that has come has to be answered."""

    def give_up(self, status: int, reason: str) -> None:
        """Answer what is coming in, and read no more of it."""

    def time_is_up(self) -> None:
        """The request that is coming in has no time left."""

    def close(self, reason: str) -> None:
        """End the connection."""


class IncomingLimit:
    """The timers of one connection."""

    def __init__(self, connection: Incoming, arrival: ArrivalBound) -> None:
        self._loop = asyncio.get_running_loop()
        self._connection: Incoming | None = connection
        self._arrival = arrival
        self._next_look: asyncio.TimerHandle | None = None
        self._next_look_at_time: asyncio.TimerHandle | None = None
        self._looks = 0
        self._come = 0  # bytes of its body at the last look

    def begin(self) -> None:
        """Something is to come from now on."""
        if self._connection is None:
            return
        if self._next_look is None:
            self._looks = self._come = 0
            self._next_look = self._loop.call_later(TICK, self.look)
        if self._next_look_at_time is None and self._connection.incoming() is not None:
            self._look_at_time()

    def end(self) -> None:
        """It has come."""
        for timer in (self._next_look, self._next_look_at_time):
            if timer is not None:
                timer.cancel()
        self._next_look = self._next_look_at_time = None

    def close(self) -> None:
        """The connection has ended; nothing of it is kept."""
        self.end()
        self._connection = None

    def has_left(self) -> bool:
        """Whether the caller has left, also where its end lies unread."""
        return self._arrival.has_ended()

    def look(self) -> None:
        """End what does not come in at a caller's pace.

        Guards the limit on sockets against peers that say nothing, or never come to an end.
        """
        connection = self._connection
        if connection is None:
            return
        self._next_look = self._loop.call_later(TICK, self.look)
        self._looks += 1
        request = connection.incoming()
        came = request.body.size - self._come if request is not None else 0
        self._come += came
        on_its_way = request is not None and came >= PACE_LEAST * TICK
        if self._looks < HEAD_TICKS or on_its_way or connection.is_held_up():
            return
        if connection.begun:
            connection.give_up(408, "the request took too long")
        else:
            self.end()
            connection.close("it has sent nothing")

    def _look_at_time(self) -> None:
        """Answer a request that is coming in once its time may be up.

        Guards its caller while reading is paused or slow: the last byte may have been written long before.
        """
        self._next_look_at_time = None
        connection = self._connection
        request = connection.incoming() if connection is not None else None
        allowed = stated_time(request.headers) if request is not None else None
        if connection is None or request is None or allowed is None:
            return
        now, since = self._loop.time(), self._arrival.since()
        if self._is_still_written(request.body):
            since = now
        due = since + allowed - ANSWER_EARLY
        if now - since > UNSURE:
            due = min(due, connection.ends_by())
        if now < due:
            self._next_look_at_time = self._loop.call_at(due, self._look_at_time)
        else:
            connection.time_is_up()

    def _is_still_written(self, body: Body) -> bool:
        """Whether its caller can't have written the last byte yet: too much is still missing."""
        missing = (body.length or 0) - body.size
        return missing > WRITTEN_AHEAD_MOST + (self._arrival.unread() or 0)
