"""The operators' address: one call to a connection, read, answered, closed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools
import orjson

from lugspur.accept import Acceptor
from lugspur.caller import SPENT
from lugspur.events import log
from lugspur.linger import LINGER
from lugspur.listening import listening_socket
from lugspur.memory import READ_BUFFER, Account, Purpose
from lugspur.request import Rejected, path_of

ADMIN_SOCKETS = 16  # callers at a time, of the spare descriptors: the next one takes the oldest one's place
CALL_WITHIN = 2.0  # seconds for a whole call: silent callers stay for 4 if they may
CALL_MOST = 8 << 10  # bytes of a call's body: an id is far shorter
SENT_MOST = 32 << 10  # bytes that a caller may send in all, its head among them
FINISH = 0.5  # seconds at the end for calls that are being answered: a file's disk may stand still so long
WAITING = 64  # callers that may wait to be accepted


@dataclass(slots=True, frozen=True)
class Route:
    """What a path takes and who answers: given the body, the text of a yes; a no is a Rejected."""

    method: bytes
    answer: Callable[[bytes], Awaitable[bytes]]


def page(read: Callable[[], object]) -> Callable[[bytes], Awaitable[bytes]]:
    """Answers a call with what is read then, as JSON."""
    async def answer(_: bytes) -> bytes:
        return orjson.dumps(read(), option=orjson.OPT_APPEND_NEWLINE)

    return answer


class Admin:
    """All connections of operators, within a number of their own."""

    def __init__(self, routes: Mapping[bytes, Route], account: Account | None = None) -> None:
        self.routes = dict(routes)
        self.account = account or Account()
        self.calls: dict[_Call, None] = {}  # the oldest first

    async def listen(self, address: tuple[str, int]) -> socket.socket:
        """Serve on this address."""
        sock = listening_socket(address)
        sock.listen(WAITING)
        self._acceptor = Acceptor(sock, lambda: _Call(self))
        return sock

    def close(self) -> None:
        """Stop listening; calls that are being answered go on."""
        self._acceptor.close()

    async def finish(self) -> None:
        """Stop listening, and let the calls that are being answered have their answers, within FINISH."""
        self.close()
        tasks = [call.task for call in self.calls if call.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH)


class _Call(asyncio.BufferedProtocol):
    """One connection and the one call on it."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._expects = False
        self._answered = False
        self._sent = 0  # bytes by the caller
        self._held = admin.account.holding(Purpose.OPERATORS)
        self.task: asyncio.Task[None] | None = None  # answers it, once it has come whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        calls = self._admin.calls
        if len(calls) >= ADMIN_SOCKETS:  # Guards good calls: those that say nothing must not keep them out.
            next(iter(calls))._drop()
        calls[self] = None
        self._timer = self._loop.call_later(CALL_WITHIN, self._late)

    def connection_lost(self, exc: Exception | None) -> None:
        self._admin.calls.pop(self, None)
        self._timer.cancel()
        self._forget()

    def _forget(self) -> None:
        self._parser = SPENT  # the one before keeps what it has read of a head
        self._target = self._body = b""
        self._held.set(0)

    def _drop(self) -> None:
        self._admin.calls.pop(self, None)
        self._transport.abort()

    def _late(self) -> None:
        self._answer(408, b"the call took too long\n")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes go: what is read is taken up before anything else is read."""
        return self._admin.account.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes have come."""
        if self._answered:
            return
        self._sent += nbytes
        self._held.set(self._sent)
        if self._sent > SENT_MOST:  # Guards the memory limit against a call without end.
            self._answer(400, b"the call is too large\n")
            return
        try:
            self._parser.feed_data(READ_BUFFER[:nbytes])
        except httptools.HttpParserUpgrade:
            pass  # offered, not taken: the call has been answered as it is
        except httptools.HttpParserError:
            self._answer(400, b"the call is malformed\n")

    # ---- the parser's calls ----------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._bound(self._target)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._expects = self._expects or name.lower() == b"expect"

    def on_headers_complete(self) -> None:
        if self._expects:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body += body
        self._bound(self._body)

    def _bound(self, part: bytes) -> None:
        if len(part) > CALL_MOST:  # Guards the memory limit against a call without end.
            self._answer(400, b"the call is too large\n")

    def on_message_complete(self) -> None:
        if self._answered:
            return
        route = self._admin.routes.get(path_of(self._target))
        if route is None:
            self._answer(404, b"no such path\n")
        elif self._parser.get_method() != route.method:
            self._answer(405, b"another method is needed\n", b"Allow: %b\r\n" % route.method)
        else:
            self._timer.cancel()  # the rest of the time is not the caller's
            self.task = self._loop.create_task(self._serve(route))

    async def _serve(self, route: Route) -> None:
        try:
            self._answer(200, await route.answer(self._body))
        except Rejected as fault:
            self._answer(fault.status, fault.reason.encode() + b"\n")
        except Exception:  # Guards the operators: a fault of ours is an answer too.
            log.error("admin.fault", exc_info=True)
            self._answer(500, b"this call found a fault in the proxy\n")

    def _answer(self, status: int, body: bytes, head: bytes = b"") -> None:
        if self._answered:
            return
        self._answered = True
        self._forget()
        self._timer.cancel()
        self._transport.write(b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (
            status, HTTPStatus(status).phrase.encode(), head, len(body), body
        ))
        # What a rejected caller still sends is read and dropped for a while: a reset would eat the answer.
        self._timer = self._loop.call_later(LINGER, self._transport.abort)
        self._transport.write_eof()
