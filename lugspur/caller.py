"""A caller's connection: HTTP/1.1 requests in, answers out, and `/healthz`."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from lugspur.answer_framing import AnswerFraming, abort, reset, whole_answer
from lugspur.arrival import UNKNOWN, UNSURE, ArrivalBound
from lugspur.body import BODY_MOST, HELD_MOST
from lugspur.costly_input import CostlyInput
from lugspur.events import log
from lugspur.exchange import STUCK, Exchange, Response
from lugspur.incoming_limit import IncomingLimit
from lugspur.linger import LingeringClose, undelivered
from lugspur.memory import OUT_OF_MEMORY, READ_BUFFER, CallerHoldings
from lugspur.read_ahead import HEAD_MOST, PIECE, ReadAhead, is_full, piece_size
from lugspur.request import Rejected, Request, classify, closing_reason, origin_form, path_of
from lugspur.request_head import RequestHead, request_of
from lugspur.telemetry import ServedRequest
from lugspur.trace import trace
from lugspur.unread_answers import UNREAD_MOST, UnreadAnswers

if TYPE_CHECKING:
    from lugspur.front import Front

SPENT = httptools.HttpRequestParser(object())  # in place of one whose connection reads no more


class Caller(asyncio.BufferedProtocol):
    """One caller's connection; its requests are answered one after another."""

    def __init__(self, front: Front, waiting_since: float = UNKNOWN) -> None:
        """`waiting_since`: the moment before which its connection can't have come, in the loop's time."""
        self._waiting_since = waiting_since
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request] = deque()  # to be taken up; the last may still be coming in
        self._incoming: Request | None = None  # its head is complete, its body is not
        self._serving: Request | None = None
        self._full = False  # the caller takes nothing now
        self._unread: UnreadAnswers | None = None  # looks after what the caller does not read
        self._source: Exchange | None = None  # whose answer is passed on as it comes...
        self._framing = AnswerFraming()  # ...and how
        self._dropping = False  # what further comes in is read and dropped
        self._due: asyncio.TimerHandle | None = None  # the next request is taken up
        self._lingering: LingeringClose | None = None
        self._continue_due = False  # the caller waits to be told to send its body
        self.begun = False  # a request has come in part
        self._served = ServedRequest(front.telemetry)
        self._handed_on = False  # the request that is being served is released by whom it was handed to
        self._head_size = 0  # bytes that have come of the head, or since the last of the body
        self.gone: Callable[[], None] | None = None  # told when the caller leaves before its answer
        self.overdue: Callable[[], None] | None = None  # told when its time is up before it has come whole
        self._account = account = front.account
        self._held = CallerHoldings(account)
        self._input = CostlyInput(account)
        self._head = RequestHead()

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._arrival = ArrivalBound(transport.get_extra_info("socket"), self._waiting_since)
        self._read_ahead = ReadAhead(self)
        self.limit = IncomingLimit(self, self._arrival)
        self._held.open(self)
        self._front.admit(self)
        self.limit.begin()

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.callers.discard(self)
        self._front.lingering.pop(self, None)
        self._release()

    def _release(self) -> None:
        """Hold nothing more of it."""
        self._leave()
        self._take_no_more()
        self.limit.close()
        if self._lingering is not None:
            self._lingering.cancel()
            self._lingering = None  # each holds the other
        self._read_ahead.close()
        self._unread = None
        self._held.close(self)

    def eof_received(self) -> None:
        """The caller has gone: nothing of it is taken up any more, whatever is still to be written."""
        self._leave()
        self.close("")

    def has_ended(self) -> bool:
        """Whether its caller has ended it, also where that lies unread."""
        return self._arrival.has_ended()

    def _leave(self) -> None:
        self._front.waiting.pop(self, None)
        self._clear_queue()
        self._served.end()
        self._tell_gone()

    def _clear_queue(self) -> None:
        for request in self._queue:
            request.release()
        self._queue.clear()

    def _tell_gone(self) -> None:
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()

    def close(self, reason: str = "told to") -> None:
        """Lingering close: end the sending, once all is out, and read on for a while before the end.

        An empty reason is that its caller ended it, which the trace needs no record of.

        Guards the last answer: to close over unread bytes resets the connection, and the answer is lost with
        it. What is read from here on is never taken up.
        """
        self._front.waiting.pop(self, None)
        if self in self._front.lingering:
            return
        if reason:
            trace.record("caller.closed", reason=reason, queued=len(self._queue), begun=self.begun,
                         undelivered=self.undelivered(), unread=self._arrival.unread())
            if self.gone is not None:
                self._account.violated("close_owing", reason)
        self._front.lingering[self] = None
        self._take_no_more()
        self._clear_queue()
        self._transport.resume_reading()
        self._lingering = LingeringClose(self._transport, self.abort)
        try:
            self._lingering.begin()
        except OSError:  # the caller has reset it, and the loop has not read that yet
            self.abort("its caller has reset it")

    def undelivered(self) -> int:
        """Bytes of answers that its caller's system has not taken yet."""
        return undelivered(self._transport, ended=self._lingering is not None)

    def is_delivered(self) -> bool:
        """Whether its caller's system has taken all that was written to it."""
        return not self.undelivered()

    def is_idle(self) -> bool:
        """Whether no byte of a request was read since the last answer, and all of that is out.

        An idle connection alone may be closed for another's sake, or because callers are to leave.
        """
        has_begun = self.begun or self._serving is not None or bool(self._queue or self._read_ahead)
        return not has_begun and self.is_delivered()

    def abort(self, reason: str = "") -> None:
        """End it at once; it counts no more from here on. No reason: it is the end of a lingering close."""
        if reason:
            trace.record("caller.aborted", reason=reason)
        self._front.callers.discard(self)
        self._front.lingering.pop(self, None)
        abort(self._transport)

    def pause_writing(self) -> None:
        self._full = True
        if self._source is not None:
            self._source.hold(True)
        else:
            self._unread = self._unread or UnreadAnswers(self._transport, self.reset, STUCK)
            self._unread.begin()

    def resume_writing(self) -> None:
        self._full = False
        self._note_unsent()
        if self._source is not None:
            self._source.hold(False)
        self.take_up()

    # ---- memory ----------------------------------------------------------------------------

    def held(self) -> int:
        """Bytes that are held for this caller."""
        self._note_unsent()
        requests = {id(row): row for row in (*self._queue, self._incoming, self._serving) if row is not None}
        return self._held.size() + sum(row.held() for row in requests.values())

    def owes(self) -> bool:
        """Whether a request was taken up, or an answer is still on its way."""
        return self._serving is not None or bool(self._queue) or self._held.unsent.size > 0

    def shed(self) -> None:
        """Refuse what is queued or still coming in, and end a connection that reads no answers."""
        for request in self._queue:
            if request is not self._incoming and request.fault is None:
                request.refuse(Rejected(503, OUT_OF_MEMORY))
                self._account.refused += 1
        if self.begun:
            self._account.refused += 1
            self._reject(500 if self._serving is self._incoming is not None else 503, OUT_OF_MEMORY)
            self.take_up()
        if self._serving is None and self._unread is not None and self._unread.is_stuck():
            self.reset()

    def reset(self) -> None:
        """End the connection, and whatever is held for it."""
        self.abort("it holds too much, or reads nothing")
        self._release()

    def unsent(self) -> int:
        """Bytes of answers that its socket has not taken yet."""
        return self._transport.get_write_buffer_size()

    def _note_unsent(self) -> None:
        self._held.unsent.set(self.unsent())

    # ---- what comes in ---------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes go: what is read is taken up before anything else is read."""
        buffer = READ_BUFFER if self._dropping else self._input.buffer()
        self._arrival.reading(len(buffer))
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come."""
        if self._dropping:
            if self._lingering is not None:
                self._lingering.drop(nbytes)
            return
        self._arrival.read()
        self._take_in(READ_BUFFER[:nbytes])
        self._arrival.taken_up(nbytes)
        if self._input.rests() or self._is_throttled() or not self._read_ahead.has_room():
            self._arrival.paused()

    def _is_throttled(self) -> bool:
        return self._incoming is not None and self._incoming.body.throttled

    def _take_in(self, data: memoryview) -> None:
        """Parse what has been read, as far as there is room for what comes of it, and keep the rest."""
        parsed = 0 if self._read_ahead else self._parse_pieces(data)
        if parsed < len(data) and not self._dropping:
            self._read_ahead.keep(data[parsed:], self._arrival.last_arrival())
        if not self._read_ahead.has_room():
            self._transport.pause_reading()
            self._read_ahead.watch()
        elif not self._is_throttled():
            self._input.read(len(data), self._transport)
        self._after_parsing(PIECE if self._read_ahead else len(data))

    def _parse_pieces(self, data: memoryview) -> int:
        """Parse a piece at a time until no more may wait; how many bytes were parsed."""
        parsed = 0
        while parsed < len(data) and (size := self._next_piece()):
            self._parse(data[parsed:parsed + size])
            parsed += size
        return parsed

    def _next_piece(self) -> int:
        """Bytes to be parsed next; 0 where no more may wait."""
        if self._dropping or is_full(self._queue, self._incoming, self._serving):
            return 0
        return piece_size(self._incoming)

    def _parse_kept(self) -> None:
        """Parse what was read before, as far as there is room by now; read on once that is all."""
        while self._read_ahead and not self._is_throttled() and (size := self._next_piece()):
            self._parse(self._read_ahead.take(size))
        self._input.parts = 0  # they belong to reads that have been judged
        self._after_parsing(0)
        if self._read_ahead.has_room():
            self._read_ahead.settle()
            if not self._is_throttled() and not self._input.rests():
                self._transport.resume_reading()

    def _parse(self, data: memoryview) -> None:
        self._head_size += len(data)
        try:
            self._feed(data)
            if self._incoming is not None:
                self._incoming.body.flush()
        except httptools.HttpParserCallbackError as fault:  # a fault of ours, not the caller's
            log.error("caller.fault", error=repr(fault.__context__)[:200])
            self._reject(503 if isinstance(fault.__context__, MemoryError) else 500, "it could not be read")
        except httptools.HttpParserError:
            self._reject(400, "the request is malformed")
        if self._head_size > HEAD_MOST:  # Guards the memory limit.
            self._reject(413, "the request is too large")

    def _after_parsing(self, read: int) -> None:
        """Account for what is held of heads, `read` bytes having just come, and take up what is whole."""
        self._held.head.set(((self._head_size or read) if self.begun else 0) + len(self._read_ahead))
        self.take_up()
        if self.begun and not self._dropping:
            self.limit.begin()

    def _feed(self, data: memoryview) -> None:
        """Parse; an offer of another protocol is not taken up, and what follows it is another request."""
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0]:]
                self._parser = httptools.HttpRequestParser(self)

    # ---- what limits its requests ask of it ------------------------------------------------------

    def incoming(self) -> Request | None:
        """The request whose head is complete and whose body is not."""
        return self._incoming

    def is_held_up(self) -> bool:
        """Whether it is for the proxy that no more comes."""
        behind = self._serving is not None and bool(self._queue)  # others come first, and nothing is read
        resting = self._incoming is not None and self._incoming.is_timed() and self._input.rests()
        return behind or self._continue_due or self._is_throttled() or resting or bool(self._read_ahead)

    def ends_by(self) -> float:
        """The loop's time by which all that has come has to be answered."""
        return self._front.until

    def give_up(self, status: int, reason: str) -> None:
        """Answer what is coming in, and read no more of it."""
        self._reject(status, reason)
        self.take_up()

    def time_is_up(self) -> None:
        """The request that is coming in has no time left."""
        if self._incoming is self._serving and self.overdue is not None:
            self.overdue()
        else:
            self.give_up(503, "its time is up")

    def _reject(self, status: int, reason: str) -> None:
        """Answer what can't be read to its end; the connection is of no further use."""
        if self._dropping:
            return
        incoming = self._incoming
        self._take_no_more()
        if incoming is None or incoming is not self._serving:
            self._queue.append(Request.rejected(Rejected(status, reason)))
            return
        self._tell_gone()
        if self._source is not None:
            self.cut()
        else:
            self.answer(status, b"", reason.encode() + b"\n")

    def _take_no_more(self) -> None:
        """What has come whole is answered; what is still coming in, and all after it, is read and dropped."""
        self._dropping = True
        self.begun = self._continue_due = False
        self.limit.end()
        self._read_ahead.clear()
        self._parser = SPENT  # the one before keeps what it has read of a head
        self._head_size = 0
        self._held.head.set(0)
        self._head = RequestHead()
        incoming, self._incoming = self._incoming, None
        if incoming is not None and incoming is not self._serving:
            incoming.release()
            if incoming in self._queue:
                self._queue.remove(incoming)

    # ---- the parser's calls ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        if not self._dropping:
            self.begun = True
            self._head = RequestHead()

    def on_url(self, url: bytes) -> None:
        self._head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._incoming is not None or self._dropping:
            return  # a trailer, or of no use
        self._input.parts += 1
        try:
            self._head.add(name, value)
        except Rejected as fault:
            self._reject(fault.status, fault.reason)

    def on_headers_complete(self) -> None:
        if self._dropping:
            return
        head = self._head
        fault = head.fault(self._parser.should_upgrade())
        if fault is not None:
            self._reject(fault.status, fault.reason)
            return
        target = origin_form(bytes(head.target))
        if self._account.overload.refusing and path_of(target) != b"/healthz":
            self._reject(503, self._account.refuse())
            return
        self._incoming = request_of(head, target, self._parser, self._account, self._throttle)
        self._head_size = 0
        if head.expects and head.length != 0:
            self._continue_due = True
            if self._serving is None and not self._queue:
                self._say_continue()

    def _say_continue(self) -> None:
        self._continue_due = False
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        request = self._incoming
        if request is None:
            return
        before = request.body.size
        self._head_size = 0
        self._input.parts += 1
        request.body.append(body)
        if request.body.size > BODY_MOST:
            self._reject(413, "the body is too large")
        elif before <= HELD_MOST < request.body.size:
            self._queue.append(request)  # the rest is passed on as it comes, once it is taken up

    def on_message_complete(self) -> None:
        request, self._incoming = self._incoming, None
        if request is None or self._dropping:
            return
        self.begun = False
        self._continue_due = False
        self._head_size = 0
        self.limit.end()
        request.arrived = min(self._read_ahead.arrived, self._arrival.last_arrival())
        unread_for = self._loop.time() - request.arrived
        if unread_for > UNSURE:
            trace.record("request.unread", id=request.headers.get(b"x-request-id", b""),
                         seconds=round(unread_for, 3))
        if request.body.size <= HELD_MOST:
            self._queue.append(request)
            request.body.finish()
            return
        if request is self._serving and self._served.kind is not None:
            self._served.come_whole()
        self._loop.call_later(0.0, request.body.finish)  # Guards against attempts for nobody, as in `take_up`

    def _throttle(self, waits: bool) -> None:
        """Have the caller wait until its body has gone on, or no longer."""
        if waits:
            self._transport.pause_reading()
            self._arrival.paused()
        elif self._read_ahead:
            self._loop.call_soon(self._parse_kept)
        elif not self._input.rests():
            self._transport.resume_reading()

    # ---- requests and answers --------------------------------------------------------------

    def take_up(self) -> None:
        """Have the next request taken up, once the loop has looked at its connection once more.

        Guards against requests whose caller has left already: that it did lies behind them, still unread. A
        timer that is due runs after what the loop has found to read.
        """
        if not self._queue or self._serving is not None or self._due is not None:
            return
        self._front.waiting.pop(self, None)
        # Guards memory against callers that read no answers.
        if self._transport.get_write_buffer_size() <= UNREAD_MOST or self._front.closing:
            self._due = self._loop.call_later(0.0, self._take)

    def _take(self) -> None:
        self._due = None
        if not self._queue:
            return
        self._serving = request = self._queue.popleft()
        self._keep_alive = request.keep_alive
        try:
            self._dispatch(request)
        except Rejected as fault:
            trace.record("request.rejected", id=request.headers.get(b"x-request-id", b""),
                         status=fault.status, reason=fault.reason)
            self.answer(fault.status, b"", fault.reason.encode() + b"\n")
        except Exception:  # Guards the request: its caller is owed an answer, whatever failed.
            log.error("caller.fault", exc_info=True)
            if self._serving is request:
                self.answer(500, b"", b"a fault in the proxy\n")
        if self._read_ahead:
            self._parse_kept()

    def _dispatch(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        path = path_of(request.target)
        if path == b"/healthz" and request.method in (b"GET", b"HEAD"):
            healthy = self._front.healthy()
            self.answer(200 if healthy else 503, b"", b"ok\n" if healthy else b"not ready\n")
        elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last part
            facts = classify(self._front.config, request)
            self._served.kind = facts.kind
            if request.body.whole:
                self._served.come_whole()
            if self._front.crowded():  # Guards the same where none is idle.
                self._keep_alive = False
                raise Rejected(503, "too many connections")
            self._handed_on = True
            self._front.handle(request, facts, self)
        else:
            raise Rejected(404, "no such path")

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Write the one final answer of the request that is being served, whole."""
        request = self._serving
        if request is None:
            self._account.violated("answer_not_owed", f"status {status}")
            return
        if not request.body.whole and request.fault is None:
            self._take_no_more()  # what still comes of it serves nobody
            self._transport.resume_reading()
        keep = self._keeps()
        self._transport.write(whole_answer(status, head, body, keep, has_body=request.method != b"HEAD"))
        self._note_unsent()
        self._end(status, keep)

    def _keeps(self) -> bool:
        """Whether the connection outlives the answer to this request; what was read behind it is answered."""
        if self._front.closing and self._incoming is not self._serving and not self._read_ahead:
            self._take_no_more()
        ends = self._dropping or self._front.closing
        return self._keep_alive and bool(self._queue or self._read_ahead or not ends)

    def begin(self, source: Exchange, response: Response) -> None:
        """Write the beginning of an answer that comes bit by bit, framed as its caller can read it."""
        assert self._serving is not None
        self._source = source
        self._framing = AnswerFraming(response.length, self._serving.knows_chunks)
        self._keep_alive = self._framing.is_told and self._keeps()
        self._transport.write(self._framing.head(response, self._keep_alive))
        self.pass_on(response.body)
        if self._full:  # since the answer before, perhaps
            source.hold(True)

    def pass_on(self, data: bytes) -> None:
        """Write the next bytes of that answer; its server is read no further than memory allows."""
        self._transport.set_write_buffer_limits(high=self._account.answer_most())
        self._transport.write(self._framing.piece(data))
        self._note_unsent()

    def finish(self) -> None:
        """That answer is complete."""
        self._transport.write(self._framing.end())
        self._end(200, self._keeps())

    def cut(self) -> None:
        """That answer can't be completed, and its caller has to see that."""
        if not self._framing.is_told:
            reset(self._transport)
        self._end(502, False)

    def _end(self, status: int, keep: bool) -> None:
        """The request that was served has had its answer."""
        self._served.answered(status)
        self._served.end()
        request, self._serving = self._serving, None
        if request is not None and not self._handed_on:
            request.release()
        self._handed_on = False
        self.gone = self.overdue = self._source = None
        if not keep:
            self.close(closing_reason(self._front.closing, status, request))
            return
        self._front.waiting[self] = None
        self._parse_kept()
        if self._continue_due and not self._queue:
            self._say_continue()
