"""The watch on discovery: follows changes, reconnects, resumes where it was."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Callable, Iterable

import httptools

from jaspershelf.model import ListKind, Settings
from jaspershelf.reconnect import (
    BACKOFF_FIRST,
    BACKOFF_MOST,
    SILENCE_SEEN_AFTER,
    UNANSWERED_AFTER,
    Loss,
    ReconnectBackoff,
)
from lugspur.config import Address
from lugspur.endpoint_table import EndpointTable
from lugspur.endpoints import Endpoint, ListMessage, Reader, server_id, server_name
from lugspur.events import log
from lugspur.memory import READ_BUFFER, Account, Purpose
from lugspur.message_framing import MessageFramer
from lugspur.trace import trace
from lugspur.unread import READS_MOST, Inbox

__all__ = [
    "BACKOFF_FIRST", "BACKOFF_MOST", "Discovery", "Endpoint", "Reader", "server_id", "server_name",
    "worst_waits",
]

# What discovery has to tell counts as told 6 s after it could be reached, 4 s after SIGHUP, whatever failed
# on the way. Seconds, jitter included; `worst_waits` adds them up.
SILENT = SILENCE_SEEN_AFTER  # without a whole message: an empty one comes every 2 s
DIAL_MOST = 0.6  # that the connection may take...
CALL_MOST = UNANSWERED_AFTER  # ...and all until the first whole message: then another call is made beside it
WAITING_MOST = 2  # unanswered calls that are kept beside the newest one...
WAITING_SPAN = 30.0  # ...each for so many seconds: by then a queue would have moved
STALLED_AFTER = 1.0  # seconds without a byte, after which an answer that has begun does not go on coming
SILENCE = "silent"  # why a watch is given up that says nothing more
SERVICE_UNAVAILABLE = 503  # the status of a call that discovery turns away
REPAIR_AFTER = 1.0  # seconds for which a timer may be late before it is taken for lost
READ_LEAST = 16 << 10  # bytes of a list that are read at a time, however busy the process is
QUEUED_LEAST = 0.15  # seconds from connecting to a refusal that tell of a queue, not of an outage


SPENT = httptools.HttpResponseParser(object())  # in place of one whose watch reads no more
_NUMBERS = itertools.count(1)  # of watches, in the trace


def worst_waits() -> dict[str, float]:
    """The longest waits in seconds, by what went on when discovery had the news and could be reached.

    In each the call that brings it takes as long as one may. They are those of a fleet that is too small to
    crowd discovery; a larger one spreads its calls (`jaspershelf.reconnect`).
    """
    return {
        "a watch falls silent": SILENT + BACKOFF_FIRST + CALL_MOST,
        "a call is never answered, after others that failed": CALL_MOST + BACKOFF_MOST + CALL_MOST,
        "refused, after others that failed": BACKOFF_MOST + CALL_MOST,
        "another address": CALL_MOST,
    }


class Discovery:
    """Keeps one watch open, whatever happens to it, and hands on what it tells.

    It is in one of five states: idle (never opened), dialling, calling (connected, nothing told yet),
    following, or backing off (`_watch` is None). `_due` is the one timer of the state: when the dial, the
    call, the silence or the back-off is over. Every way out of the middle three is `_over` or `_unanswered`.

    Discovery serves calls in turn. Giving up a call that waits there, and calling again, would put this proxy
    at the end of the queue behind its own abandoned call; where a whole fleet does so, the queue holds mostly
    abandoned calls and most of the fleet is never answered. So a call that is not answered in time keeps its
    place (`_waiting`), and another is made beside it in case its connection is dead. The first that is
    answered is followed, and the others are closed. So is a watch at the former address after a reload: it
    goes on telling until the new address has answered.
    """

    def __init__(
        self, address: Address, reader: Reader, index: int, told: Callable[[ListKind, list[Endpoint]], None],
        *, known: Iterable[Endpoint] = (), clock: Callable[[], float] = time.monotonic,
        failed: Callable[[], None] = lambda: None, backoff: ReconnectBackoff | None = None,
        account: Account | None = None,
    ) -> None:
        """`known` is the list that `index` belongs to; `failed` is told of each call that brought nothing.

        Without a `backoff` it is that of a process alone.
        """
        self.account = account or Account()
        self._names = self.account.holding(Purpose.NAMES)
        self._backoff = backoff or ReconnectBackoff(Settings())
        self._address = address
        self._reader = reader
        self.index = index  # of the list as it is told
        self._told = told
        self._table = EndpointTable(known, index, self.account.overload)
        self._clock = clock
        self._failed = failed
        self._watch: _Watch | None = None
        self._waiting: list[_Watch] = []  # the longest first
        self._due: asyncio.TimerHandle | None = None
        self.inbox = Inbox()  # of the connections that are up
        self.failures = 0  # calls in a row that brought nothing
        self.unreadable = 0  # entries that were not read, or only in part
        self.heard_at: float | None = None  # when the last whole message came, by the clock
        self._up_last = False  # the call that failed last had waited for its turn, or was cut short

    def open(self) -> None:
        """Start the watch; nothing happens where it runs already."""
        if self._due is None:
            self._call()

    def move(self, address: Address) -> None:
        """Follow discovery at another address, from where the list is now."""
        if address == self._address:
            return
        trace.record("discovery.moved", address=address, before=self._address)
        self._address = address
        if self._due is None:
            return
        self.failures = 0
        followed = next((watch for watch in self._open_watches() if watch.following), None)
        if followed is not None and followed.address == address:  # moved back before the other one answered
            self._follow(followed)
        else:
            self._drop("another address", but=followed)
            wait = self._backoff.after_loss(Loss.MOVED, self.failures)
            if wait > 0.0:
                self._wait(wait, self._call)
            else:
                self._call()

    def close(self) -> None:
        """End the watch: idle again, until `open`."""
        self._drop("closed")
        if self._due is not None:
            self._due.cancel()
            self._due = None

    def repair(self) -> None:
        """Call again where the timer of the present state was lost, in a failed allocation."""
        now = asyncio.get_running_loop().time()
        if self._due is not None and self._due.when() < now - REPAIR_AFTER:
            self._drop("its timer was lost")
            self._call()

    def may_answer(self) -> bool:
        """Whether discovery owes a call its answer, or was up when the last one failed."""
        return self._up_last or any(watch.unanswered() for watch in self._open_watches())

    def is_answering(self) -> bool:
        """Whether an answer has begun, goes on coming, and is not whole yet."""
        now = self._clock()
        return any(watch.accepted and not watch.following and now - watch.read_at < STALLED_AFTER
                   for watch in self._open_watches())

    def is_live(self) -> bool:
        """Whether a watch is followed that has told a message before this one: it tells news at once."""
        return self._watch is not None and self._watch.following

    def figures(self) -> list[str]:
        """Lines of the telemetry: how old the list is, and what stands in the way of a newer one."""
        age = -1 if self.heard_at is None else round(1000.0 * (self._clock() - self.heard_at))
        return [
            f"discovery.index={self.index}", f"discovery.age_ms={age}",
            f"discovery.failures={self.failures}", f"discovery.unreadable={self.unreadable}",
            f"discovery.names={len(self._table)}", f"discovery.names_refused={self._table.refused}",
        ]

    def line(self, text: bytes) -> None:
        """One message, whole; an empty one tells only that the watch lives.

        Raises where the message can't be taken up. The index moves on only once the list has been handed on:
        the next watch resumes before what was not.
        """
        kind, endpoints = ListKind.PATCH, list[Endpoint]()
        index: int | None = self.index
        if text.strip():
            message = self._reader.message(text)
            self._count_unreadable(message)
            trace.record("discovery.list", index=message.index, before=self.index, kind=message.kind.value,
                         entries=len(message.entries), unreadable=message.unreadable)
            kind, index = message.kind, message.index
            endpoints = self._table.apply(self._clock(), message)
            self.account.names(self._names, len(self._table))
            if index is None:
                if endpoints:
                    self._told(ListKind.PATCH, endpoints)
                raise ValueError("the index is not a whole number")
        self._told(kind, endpoints)
        assert index is not None
        self.index = index
        self.failures = 0
        self.heard_at = self._clock()

    def _count_unreadable(self, message: ListMessage) -> None:
        if message.unreadable:
            self.unreadable += message.unreadable
            log.warning("discovery.unreadable", entries=message.unreadable, index=message.index)

    def _wait(self, seconds: float, then: Callable[..., None], *args: object) -> None:
        if self._due is not None:
            self._due.cancel()
        self._due = asyncio.get_running_loop().call_later(seconds, self._timed_out, then, args)

    def _timed_out(
        self, then: Callable[..., None], args: tuple[object, ...], reads: int = READS_MOST
    ) -> None:
        """A wait is over, once the loop has read what lies in the watches' sockets.

        Guards news that came while the process was stopped, or the loop held up: the loop runs the timers
        that are due before it reads, and a watch that is closed then takes its news with it.
        """
        if reads and self.inbox.unread():
            loop = asyncio.get_running_loop()
            self._due = loop.call_later(0.0, self._timed_out, then, args, reads - 1)
        else:
            then(*args)

    def _call(self) -> None:
        """Dial, and ask for the watch."""
        self._prune()
        self._watch = watch = _Watch(self, self._address, self.index)
        watch.note("dial", address=self._address, since=self.index)
        self._wait(DIAL_MOST, self._over, watch, "the connection did not come up")
        watch.dial(self._address)

    def _prune(self) -> None:
        """Let go of calls that have waited in vain; the oldest is the next in discovery's queue."""
        for watch in tuple(self._waiting):
            if watch.unanswered() and self._age(watch) > WAITING_SPAN:
                self._let_go(watch, "waited in vain")
        unanswered = [watch for watch in self._waiting if watch.unanswered()]
        for watch in unanswered[1:-1][:max(0, len(unanswered) - WAITING_MOST)]:
            self._let_go(watch, "one of too many that wait")

    def _age(self, watch: _Watch) -> float:
        """Seconds since its connection came up; 0 before."""
        return 0.0 if watch.connected_at is None else self._clock() - watch.connected_at

    def _open_watches(self) -> list[_Watch]:
        return [watch for watch in (*self._waiting, self._watch) if watch is not None]

    def _connected(self, watch: _Watch) -> None:
        watch.connected_at = self._clock()
        watch.note("connected")
        if watch is self._watch:
            self._wait(CALL_MOST - DIAL_MOST, self._unanswered, watch)

    def _unanswered(self, watch: _Watch) -> None:
        """Leave a call where it waits, and make another beside it."""
        if watch is self._watch:
            watch.note("unanswered", accepted=watch.accepted)
            self._watch = None
            self._waiting.append(watch)
            self._back_off(self._backoff.after_no_answer(self.failures))

    def _message(self, watch: _Watch, text: bytes) -> None:
        """A whole message of a watch, which is followed from now on."""
        self.line(text)
        if watch.address == self._address:  # else it is the former one, until the new one answers
            self._follow(watch)
        if self._table.has_lost_state(self._clock()):
            self._start_over()

    def _follow(self, watch: _Watch) -> None:
        """Follow this watch, alone, until it falls silent or ends."""
        watch.following = True
        if watch is not self._watch or self._waiting:
            self._drop("another call was answered", but=watch)
            self._waiting.remove(watch)
            self._watch = watch
        self._up_last = False
        self._backoff.answered()
        self._wait(SILENT, self._over, watch, SILENCE)

    def _start_over(self) -> None:
        """Discovery has lost its state: ask for all that it has now, and believe that."""
        log.warning("discovery.restored", index=self.index)
        self._table.restart(self.index)
        self.index = 0
        self._drop("discovery has lost its state")
        self._call()

    def _over(self, watch: _Watch, reason: str = "told to") -> None:
        """This watch is no good any more; what an earlier one still has to say is no news."""
        if watch not in self._open_watches():
            return
        watch.note("over", reason=reason, accepted=watch.accepted, followed=watch.following)
        queued = self._age(watch) >= QUEUED_LEAST
        unavailable = watch.status == SERVICE_UNAVAILABLE
        turned_away = unavailable and self._backoff.is_large_fleet()
        self._up_last = watch.unanswered() and (queued or watch.accepted or turned_away)
        if watch is not self._watch:
            self._let_go(watch, reason)
            return
        self._watch = None
        watch.close()
        age = self._clock() - watch.dialled_at
        if watch.is_cut():
            wait = self._backoff.after_cut(age, self.failures)
        elif watch.following:
            loss = Loss.SILENT if reason == SILENCE else Loss.ENDED
            wait = self._backoff.after_loss(loss, self.failures)
        else:
            wait = self._backoff.after_failure(
                age, self.failures, refused=unavailable and not queued, queued=unavailable and queued
            )
        self._back_off(wait)

    def _back_off(self, wait: float) -> None:
        """Call again after this wait."""
        self.failures += 1
        trace.record("discovery.back_off", seconds=round(wait, 3), failures=self.failures)
        self._wait(wait, self._call)
        self._failed()

    def _let_go(self, watch: _Watch, reason: str) -> None:
        watch.note("let_go", reason=reason)
        self._waiting.remove(watch)
        watch.close()

    def _drop(self, reason: str = "told to", but: _Watch | None = None) -> None:
        """Close all connections but this one, which waits from now on."""
        watches = self._open_watches()
        self._waiting, self._watch = [watch for watch in watches if watch is but], None
        for watch in watches:
            if watch is not but:
                watch.note("let_go", reason=reason)
                watch.close()


class _Watch(asyncio.BufferedProtocol):
    """The connection of one watch: reports what it brings, and once that it is over."""

    def __init__(self, discovery: Discovery, address: Address, since: int) -> None:
        self.address = address
        self.number = next(_NUMBERS)
        self.dialled_at = discovery._clock()
        self.connected_at: float | None = None  # by the discovery's clock
        self.status: int | None = None  # of discovery's answer
        self.accepted = False  # discovery has begun to answer
        self.following = False  # it has told a message
        self._discovery = discovery
        self._request = (
            f"GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode()
        )
        self._parser = httptools.HttpResponseParser(self)
        self._framer = MessageFramer()
        self._account = discovery.account
        self._held = self._account.holding(Purpose.LISTS)
        self._transport: asyncio.Transport | None = None
        self._dial: asyncio.Task[object] | None = None
        self._closed = False
        self._heard = False  # a byte has come
        self.read_at = -math.inf  # when the last ones came

    def note(self, event: str, **fields: object) -> None:
        """Put what becomes of this watch into the trace."""
        trace.record(f"discovery.{event}", watch=self.number, **fields)

    def unanswered(self) -> bool:
        """Whether discovery has accepted it and told nothing yet."""
        return self.connected_at is not None and not self.following

    def is_cut(self) -> bool:
        """Whether a message has begun that was not read to its end, or an answer that has none yet."""
        return self.accepted and (not self.following or self._framer.begun())

    def dial(self, address: Address) -> None:
        """Connect, and ask."""
        loop = asyncio.get_running_loop()
        self._dial = loop.create_task(loop.create_connection(lambda: self, *address))
        self._dial.add_done_callback(self._dialled)

    def _dialled(self, dial: asyncio.Task[object]) -> None:
        fault = None if dial.cancelled() else dial.exception()
        if fault is not None:
            self._discovery._over(self, f"no connection: {fault!r}"[:200])

    def close(self) -> None:
        """End it; nothing more is told."""
        self._closed = True
        self._account.holders.pop(self, None)
        self._framer.clear()
        self._held.set(0)
        self._parser = SPENT  # the one before refers to this watch
        if self._dial is not None:
            self._dial.cancel()
        if self._transport is not None:
            self._discovery.inbox.discard(self._transport)
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._closed:
            transport.abort()
        else:
            self._account.holders[self] = None
            self._discovery.inbox.add(transport)
            transport.write(self._request)
            self._discovery._connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._account.holders.pop(self, None)
        self._discovery.inbox.discard(self._transport)
        self._discovery._over(self, "ended" if exc is None else f"broken: {exc!r}"[:200])

    def held(self) -> int:
        """Bytes that are held of a message."""
        return self._held.size

    def owes(self) -> bool:
        """Whether it is followed: without it no change is heard of."""
        return self.following

    def shed(self) -> None:
        """Give up the message that is coming in: another call asks for it again."""
        if self._held.size:
            self._discovery._over(self, "memory is short")

    def reset(self) -> None:
        """The same."""
        self.shed()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes go: what is read is taken up before anything else is read."""
        return self._account.read_buffer(READ_LEAST)

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come."""
        self.data_received(READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """The next bytes."""
        if self._closed:
            return
        self.read_at = self._discovery._clock()
        if not self._heard:
            self._heard = True
            self.note("first_byte")
        try:
            self._parser.feed_data(data)
        except Exception as fault:  # Guards against a malformed list: the last one stays.
            self._discovery._over(self, f"malformed: {fault.__context__ or fault!r}"[:200])
            log.warning("discovery.fault", error=repr(fault.__context__ or fault)[:200])
        self._held.set(self._framer.held())

    # ---- the parser's calls ------------------------------------------------------------------

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        if self.status == 200:
            self.accepted = True
        else:
            self._discovery._over(self, f"status {self.status}")

    def on_body(self, body: bytes) -> None:
        for text in self._framer.feed(body):
            self._told(text)

    def on_message_complete(self) -> None:
        text = self._framer.finish()  # an answer that is no watch need not end its only line
        if text is not None:
            self._told(text)
        self._discovery._over(self, "the answer is complete")

    def _told(self, text: bytes) -> None:
        if not self._closed:
            self.note("message" if text.strip() else "alive", bytes=len(text))
            self._discovery._message(self, text)
