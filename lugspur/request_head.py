"""The head of a request as its parser brings it."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from lugspur.backend_connection import BLANKS, HEADERS_MOST, HOP_BY_HOP
from lugspur.body import BODY_MOST, Body
from lugspur.memory import REQUEST_COST, Account, Purpose
from lugspur.request import NAMED, Rejected, Request


class RequestHead:
    """What has come of a request's target and headers."""

    __slots__ = ("count", "expects", "headers", "length", "lines", "target")

    def __init__(self) -> None:
        self.target = bytearray()
        self.headers: dict[bytes, bytes] = {}  # those that the proxy reads
        self.lines = bytearray()  # those that are sent on, each with its line end
        self.count = 0
        self.length: int | None = 0  # of the body; None: it comes in chunks
        self.expects = False  # the caller waits to be told to send its body

    def fault(self, upgrades: bool) -> Rejected | None:
        """Why the request can't be served by its head; `upgrades`: it offers another protocol."""
        if self.length is not None and self.length > BODY_MOST:
            return Rejected(413, "the body is too large")
        if self.length != 0 and upgrades:
            return Rejected(400, "an upgrade takes no body")  # where it would end can't be read
        return None

    def add(self, name: bytes, value: bytes) -> None:
        """One more header; Rejected where the request can't be served for it."""
        self.count += 1
        if self.count > HEADERS_MOST:  # Guards the loop: each takes time.
            raise Rejected(413, "the request has too many headers")
        lower, value = name.lower(), value.strip(BLANKS)
        if lower in NAMED:
            self.headers[lower] = value
        elif lower == b"content-length":
            self.length = int(value)
        elif lower == b"transfer-encoding":
            self.length = None
            if value.lower() != b"chunked":
                raise Rejected(400, "an encoding that is not known")
        elif lower == b"expect":
            self.expects = value.lower() == b"100-continue"
        if lower != b"x-timeout" and lower not in HOP_BY_HOP:
            self.lines += b"%b: %b\r\n" % (name, value)


def request_of(
    head: RequestHead, target: bytes, parser: httptools.HttpRequestParser, account: Account,
    throttle: Callable[[bool], None],
) -> Request:
    """The request whose head has come whole; `throttle` is told whether its caller has to wait."""
    holding = account.holding(Purpose.REQUESTS)
    holding.set(REQUEST_COST + len(target) + 2 * len(head.lines))  # some of it stands in the headers too
    return Request(
        parser.get_method(), target, head.headers, bytes(head.lines),
        Body(head.length, throttle, account.holding(Purpose.BODIES)), parser.should_keep_alive(),
        knows_chunks=parser.get_http_version() != "1.0", holding=holding,
    )
