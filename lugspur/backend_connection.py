"""A connection to a backend: it writes one request at a time and reads the answer."""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import httptools

from jaspershelf.model import Outcome
from jaspershelf.repeated_answers import ConnectionAnswers, RepeatedAnswers
from lugspur.body import HELD_MOST
from lugspur.config import Address
from lugspur.events import log
from lugspur.exchange import Exchange, Response
from lugspur.memory import CONNECTION_COST, READ_BUFFER, Purpose
from lugspur.trace import trace

if TYPE_CHECKING:
    from lugspur.upstream import Upstream

STRAY_WITHIN = 0.01  # seconds after an answer in which a second one may come on its connection...
STRAY_PART = 0.9  # ...told from a next request's own by coming in under this part of the quickest time...
STRAYS_MOST = 2  # ...but for so many in a row: more tell of a backend that has become quicker
ANSWER_HEAD_MOST = 64 << 10  # bytes of an answer's head, and of what stands between the parts of its body
HEADERS_MOST = 200  # of one head: each costs time
SPENT = httptools.HttpResponseParser(object())  # in place of one whose connection reads no more
BEFORE_REQUEST = "an answer before its request was written"
NUMBERS = itertools.count()  # of connections
MINUTE = 60.0  # seconds
BLANKS = b" \t"  # they may stand around a header's value and are no part of it
HOP_BY_HOP = frozenset(
    {b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect"}
)


class Backend:
    """One backend of the list and the idle connections to it, the last released last."""

    __slots__ = ("address", "doubts", "idle", "in_service", "quickest", "repeats", "started")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.started = 0.0
        self.in_service = False
        self.idle: list[Connection] = []
        self.quickest = math.inf  # seconds from a request's writing to the head of its answer, at the least
        self.doubts = 0  # answers in a row that were taken for stray ones
        self.repeats = RepeatedAnswers()

    def process(self) -> tuple[Address, float]:
        """Which process the list names now: where it listens, and when it started."""
        return self.address, self.started


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend; it carries one exchange at a time."""

    def __init__(self, upstream: Upstream, backend: Backend, to: tuple[Address, float] | None = None) -> None:
        self._upstream = upstream
        self._loop = asyncio.get_running_loop()
        self.backend = backend
        self._to = to or backend.process()  # as it was when the dial began
        self.exchange: Exchange | None = None
        self.written = False  # whether the last byte of the request is out
        self.idle_since = 0.0
        self._answered = -math.inf  # when its last answer was complete
        self._answers = ConnectionAnswers(upstream.common_answers, next(NUMBERS))
        self._doubtful: Response | None = None  # may be an earlier answer again: another is waited for...
        self._doubted_until: asyncio.TimerHandle | None = None  # ...until this time
        self._sent = 0.0  # when its request was written
        self._parser = httptools.HttpResponseParser(self)
        self._last = False  # the request's last byte has been handed to the transport
        self._handed = 0  # bytes of the request that have been handed to the transport
        self._received = 0  # bytes that have come since the request began
        self._account = account = upstream.account
        self._connection_held = account.holding(Purpose.CONNECTIONS)
        self._answer_held = account.holding(Purpose.ANSWERS)
        self._unsent_held = account.holding(Purpose.BODIES)
        self._head_size = 0  # bytes that have come since the request was written, or the last of the body
        self._begin()

    def _begin(self) -> None:
        self._head = bytearray()
        self._date = b""
        self._header_count = 0
        self._body = bytearray()  # what is held of it, or is still to be passed on
        self._size = 0
        self._length: int | None = None
        self._in_chunks = False
        self._unseen = False
        self._in_body = False  # the headers are complete, and the message is not
        self._early = False  # it may be a second answer to the request before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then tells that all is out
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._account.holders[self] = None
        self._connection_held.set(CONNECTION_COST)
        self._upstream.made()

    # ---- the request ----------------------------------------------------------------------------

    def send(self, exchange: Exchange, head: bytes) -> bool:
        """Write a request: at once where its body is there, else as it comes.

        False if the socket took none of it: the connection is closed then, and nothing was sent. Guards the
        drains: what is left in the transport's buffer would go out whenever there is room, whatever the list
        says by then. Once its first byte is out a request may take its time.
        """
        self.written = False
        self._head_size = 0
        self._sent = self._upstream.now()
        body = exchange.body.held()
        self._last = body is not None
        request = head + body if body is not None else head
        self._transport.write(request)
        self._handed, self._received = len(request), 0
        if self._transport.get_write_buffer_size() >= len(request):
            self.abandon("the socket takes nothing")
            return False
        trace.record("attempt.sent", id=exchange.name, n=exchange.number, fresh=self.is_fresh())
        self.exchange = exchange
        exchange.connection = self
        self._note_unsent()
        if body is None:
            exchange.body.attach(self)
        else:
            self._look_out()
        return True

    def is_fresh(self) -> bool:
        """Whether it has never been idle."""
        return self.idle_since == 0.0

    def write_body(self, data: bytes) -> None:
        """The next bytes of the body."""
        in_chunks = self.exchange is not None and self.exchange.body.length is None
        framed = b"%x\r\n%b\r\n" % (len(data), data) if in_chunks else data
        self._transport.write(framed)
        self._handed += len(framed)
        self._note_unsent()

    def end_body(self) -> None:
        """The body is complete."""
        self._last = True
        if self.exchange is not None and self.exchange.body.length is None:
            self._transport.write(b"0\r\n\r\n")
        self._look_out()

    def blocked(self) -> bool:
        """Whether some of what was written is still here."""
        return self.unsent() > 0 or self._transport.is_closing()

    def unsent(self) -> int:
        """Bytes of what was written that the socket has not taken yet."""
        return self._transport.get_write_buffer_size()

    def moved_bytes(self) -> int:
        """Bytes of the request that the socket has taken."""
        return self._handed - self.unsent()

    def count_bytes(self, exchange: Exchange) -> None:
        """Note how much of the request has gone out, and how much has come."""
        exchange.request_size = self.moved_bytes()
        exchange.answer_size = self._received

    def _look_out(self) -> None:
        # What the socket took at once is out, unless the write itself found the connection broken.
        if self._last and not self.written and not self.blocked():
            self.written = True
            self._upstream.dispatches += 1

    def pause_writing(self) -> None:
        """A part of the request is still unsent."""

    def resume_writing(self) -> None:
        self._note_unsent()
        if self.exchange is not None:
            self.exchange.moved()
            if not self._last:
                self.exchange.body.resume()
        self._look_out()

    def hold(self, paused: bool) -> None:
        """Read nothing for now, or read on."""
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def rest(self) -> None:
        """Nothing more is expected on it for now.

        Acknowledges what has come at once: a server whose socket collects small writes holds back a second
        answer until then, and else it would come with the acknowledgement that the next request carries.
        """
        self.idle_since = self._upstream.now()
        with suppress(OSError):
            self._transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def usable(self) -> bool:
        """Whether it can carry another exchange: it is open, to the process that the list names now."""
        return not self._transport.is_closing() and self._to == self.backend.process()

    def quiet(self) -> bool:
        """Whether nothing has come on it that the loop has not read yet: its end, or what nobody asked for.

        Guards what is written to it next: that would be lost, or answered with something else. Where the
        system can't tell, it is not taken for quiet.
        """
        try:
            return not self._poll.poll(0)
        except OSError:
            return False

    def abandon(self, reason: str) -> None:
        """Close at once, unsent bytes dropped."""
        if not self._transport.is_closing():
            trace.record("backend.closed", to=self._to[0], reason=reason)
        self.exchange = None
        self._transport.abort()
        self._release()

    def _release(self) -> None:
        """Hold nothing more of it."""
        self._account.holders.pop(self, None)
        if self._doubtful is not None and not self.backend.repeats.is_repeating(self._upstream.now()):
            self.backend.repeats.was_alike()  # it was waited for in vain
        self._forget_doubt()
        self._parser = SPENT  # the one before keeps what it has read of a head
        self._body.clear()
        for holding in (self._connection_held, self._answer_held, self._unsent_held):
            holding.set(0)

    # ---- memory ----------------------------------------------------------------------------

    def held(self) -> int:
        """Bytes that are held for the connection, of an answer, and of what the server does not read."""
        self._note_unsent()
        return self._connection_held.size + self._answer_held.size + self._unsent_held.size

    def owes(self) -> bool:
        """Whether an attempt is under way."""
        return self.exchange is not None

    def shed(self) -> None:
        """End an attempt that holds something: its request is tried again or answered as failed.

        Not one whose answer is passed on: nothing else can end its request.
        """
        exchange, held = self.exchange, self._answer_held.size + self._unsent_held.size
        if exchange is not None and exchange.pass_on is None and held:
            self._spoilt()

    def reset(self) -> None:
        """End the attempt, and the connection."""
        self._spoilt()

    def _note_unsent(self) -> None:
        self._unsent_held.set(self._transport.get_write_buffer_size())

    # ---- the answer -------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes go: what is read is taken up before anything else is read."""
        buffer = self._account.read_buffer()
        passes_on = self.exchange is not None and self.exchange.pass_on is not None
        return buffer[:self._account.answer_most()] if passes_on else buffer

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come."""
        if self.exchange is not None:
            self.exchange.moved()
        self._head_size += nbytes
        self._received += nbytes
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
            self._pass_on_rest()
        except httptools.HttpParserCallbackError as fault:  # a fault of ours, not the backend's
            log.error("backend.fault", error=repr(fault.__context__)[:200])
            self._spoilt()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._spoilt()
        if self.exchange is None:
            self._answer_held.set(0)
            return
        self._note_pace(self.exchange)
        self._answer_held.set(len(self._head) + len(self._body) + self._head_size)
        if self._head_size > ANSWER_HEAD_MOST or self._header_count > HEADERS_MOST:  # Guards memory and time.
            trace.record("backend.endless", to=self._to[0], id=self.exchange.name)
            self._spoilt()

    def _spoilt(self) -> None:
        if self.exchange is not None:
            self.exchange.broke("what came is no answer, or there is no memory for it")
        else:
            self.abandon("what came is no answer")

    def on_message_begin(self) -> None:
        self._begin()
        if self._doubtful is not None:  # Guards the request: this is its answer, and the other was not.
            self._note_repeat("an earlier answer came before the request's own")
            self._forget_doubt()
        if self.exchange is None:  # Guards against an answer that nobody asked for: it must serve no request.
            self._note_repeat("an answer that nobody asked for")
            self.abandon("an answer that nobody asked for")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # a trailer
        self._header_count += 1
        lower, value = name.lower(), value.strip(BLANKS)
        if lower == b"x-not-processed":
            self._unseen = value == b"1"
        elif lower == b"content-length":
            self._length = int(value)
        elif lower == b"transfer-encoding":
            self._in_chunks = True
            if value.lower() != b"chunked":  # nobody asked for another one
                self._spoilt()
        elif lower not in HOP_BY_HOP:
            line = b"%b: %b\r\n" % (name, value)
            self._head += line
            if lower == b"date":
                self._date = line

    def on_status(self, _: bytes) -> None:
        self._note_sound()

    def _note_repeat(self, reason: str) -> None:
        now = self._upstream.now()
        rested = now - self._answered
        trace.record("backend.repeated", to=self._to[0], reason=reason, rested=round(rested, 4))
        self.backend.repeats.repeated(now)

    def on_headers_complete(self) -> None:
        self._in_body = True
        status = self._parser.get_status_code()
        if self.exchange is not None and status >= 200:
            self._look_for_repeat(status)
        self._note_sound()  # a status line may have no text

    def _look_for_repeat(self, status: int) -> None:
        """End an attempt whose answer is the one before again; don't keep its connection where it may be."""
        now, repeats = self._upstream.now(), self.backend.repeats
        self._early = repeats.is_early(now - self._answered, now - self._sent)
        if status != 200:  # an error may come sooner than any answer
            return
        if self._is_stray() and self.exchange is not None:
            self._note_repeat("sooner than it ever answered")
            self.exchange.broke("a second answer to the request before")
            return
        repeats.answered(now - self._sent)

    def _note_sound(self) -> None:
        """Only a served answer is worth more than its time to begin, and only to a request that is out."""
        exchange = self.exchange
        if exchange is not None and self.written and self._parser.get_status_code() == 200:
            exchange.answer()
            if exchange.pace is not None:
                exchange.pace.told_size = self._length

    def _is_stray(self) -> bool:
        """Whether this is rather a second answer to the request before, some milliseconds late.

        Guards the next request, if it was written in between: it would be served with another's answer. Of a
        backend that has ever answered as quickly as that nothing can be told.
        """
        now, backend = self._upstream.now(), self.backend
        took = now - self._sent
        knows = STRAY_WITHIN <= backend.quickest < math.inf and backend.doubts < STRAYS_MOST
        if knows and now - self._answered < STRAY_WITHIN and took < STRAY_PART * backend.quickest:
            backend.doubts += 1
            return True
        backend.doubts = 0
        backend.quickest = min(backend.quickest, took)
        return False

    def on_body(self, body: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        self._head_size = 0
        self._size += len(body)
        if exchange.pass_on is not None:
            self._body += body
            return
        if self._parser.get_status_code() != 200:
            return  # an error's text serves nobody
        self._body += body
        if self._size > HELD_MOST or exchange.may_pass_on():
            self.pass_on()

    def _note_pace(self, exchange: Exchange) -> None:
        if exchange.pace is not None:
            exchange.pace.came(self._upstream.now(), self._size)

    def is_in_body(self) -> bool:
        """Whether the answer's head has come, and not all of its body."""
        return self._in_body

    def pass_on(self) -> None:
        """Pass on what is held of the answer, and from here on the rest as it comes."""
        exchange = self.exchange
        if exchange is None or exchange.pass_on is not None:
            return
        if not self.written:  # Guards what is still to be sent: this answers no request.
            exchange.broke(BEFORE_REQUEST)
            return
        self._note_pace(exchange)  # the look that follows has to know of it
        beginning = self._response()
        self._body.clear()
        exchange.begin(beginning)

    def _pass_on_rest(self) -> None:
        """Pass on in one piece what one read has brought: an answer may come in chunks of a byte."""
        exchange = self.exchange
        if exchange is not None and exchange.pass_on is not None and self._body:
            data = bytes(self._body)
            self._body.clear()
            exchange.pass_on(data)

    def _response(self) -> Response:
        status = self._parser.get_status_code()
        return Response(status, bytes(self._head), bytes(self._body), self._length)

    def on_message_complete(self) -> None:
        self._in_body = False
        if self._parser.get_status_code() >= 200:
            self._complete(self._parser.should_keep_alive())

    def _complete(self, keep_alive: bool) -> None:
        exchange, status = self.exchange, self._parser.get_status_code()
        if exchange is None:
            return
        self._look_out()  # it may cross the word that all is out
        if status == 200 and not self.written:  # its server can't have had the request
            exchange.broke(BEFORE_REQUEST)
            return
        self._pass_on_rest()
        self._answered = self._upstream.now()
        if exchange.paused:
            self.hold(False)
        response = self._response()
        if status == 200 and exchange.pass_on is None:
            digest = self._digest(response)
            if keep_alive and self._answers.is_doubtful(digest):
                if self._doubt(response, digest):
                    return
                self.backend.repeats.was_alike()
            else:
                self.backend.repeats.was_distinct()
            self._answers.note(digest, self._answered)
        self._settle(exchange, response, keep_alive)

    def _digest(self, response: Response) -> int:
        return hash((response.head.replace(self._date, b""), response.body))

    def _doubt(self, response: Response, digest: int) -> bool:
        """Wait for another answer, as this may be a second one to an earlier request; False: it is not."""
        now = self._answered
        wait = self.backend.repeats.doubt_for(now - self._sent, self._answers.age(digest, now))
        if not wait:
            return False
        trace.record("answer.doubtful", to=self._to[0], seconds=round(min(wait, MINUTE), 4))
        self._doubtful = response
        if wait < MINUTE:  # else until its attempt ends
            self._doubted_until = self._loop.call_later(wait, self._accept)
        return True

    def _accept(self) -> None:
        """No other answer has come: it is the request's own, unless its server repeats answers."""
        response, exchange = self._doubtful, self.exchange
        self._forget_doubt()
        if exchange is not None and self.backend.repeats.is_repeating(self._upstream.now()):
            exchange.broke("an answer to an earlier request, again")
        elif response is not None and exchange is not None:
            self._answers.accept(self._digest(response), self._answered)
            self.backend.repeats.was_alike()
            self._settle(exchange, response, keep_alive=True)

    def _forget_doubt(self) -> None:
        self._doubtful = None
        if self._doubted_until is not None:
            self._doubted_until.cancel()
            self._doubted_until = None

    def _settle(self, exchange: Exchange, response: Response, keep_alive: bool) -> None:
        """Its answer is complete: keep the connection, if it may be, and end the attempt."""
        status = response.status
        if self.written and keep_alive and self.usable() and not self._early:
            self.count_bytes(exchange)
            self.exchange = exchange.connection = None
            self._upstream.release(self)
        exchange.end(self._outcome(status), response)

    def _outcome(self, status: int) -> Outcome:
        if status == 200:
            return Outcome.OK
        return Outcome.FULL if status in (503, 504) and self._unseen else Outcome.ERROR

    def eof_received(self) -> None:
        """The backend has closed: the end of an answer that names no other."""
        if self._in_body and self._length is None and not self._in_chunks:
            self._in_body = False
            self._complete(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._upstream.lost(self)
        self._release()
        if not self._transport.is_closing() or exc is not None:
            trace.record("backend.lost", to=self._to[0], error=repr(exc))
        if self.exchange is not None:
            self.exchange.broke("its connection ended" if exc is None else "its connection broke")
