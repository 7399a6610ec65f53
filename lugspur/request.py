"""A caller's request as it is read, and what the decisions need of it."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from jaspershelf.model import Repeat
from lugspur.body import Body
from lugspur.config import Config
from lugspur.memory import Holding

ANSWER_EARLY = 0.005  # seconds before the client's time is up: the answer still has to reach it
TIME = re.compile(rb"\d{1,9}(\.\d+)?")
METHODS = {Repeat.SAFE: (b"GET", False), Repeat.KEYED: (b"POST", True), Repeat.UNSAFE: (b"POST", False)}
NAMED = frozenset(
    {b"x-priority-class", b"x-tenant-id", b"x-timeout", b"x-request-id", b"x-retried", b"x-cost",
     b"idempotency-key"}
)


def origin_form(target: bytes) -> bytes:
    """A target as servers take it: of an absolute one, what follows its authority."""
    scheme, separator, rest = target.partition(b"://")
    if not separator or not scheme.isalpha():
        return target
    start = next((at for at, byte in enumerate(rest) if byte in b"/?"), len(rest))
    return rest[start:] if rest[start:].startswith(b"/") else b"/" + rest[start:]


def path_of(target: bytes) -> bytes:
    """A target's path, without its query."""
    return origin_form(target).partition(b"?")[0]


class Rejected(Exception):
    """A request that is answered here: its status and one line of reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class Request:
    """A request as it comes: its head, and its body as far as that is here."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # those that the proxy reads
    lines: bytes  # the end-to-end headers, each with its line end, but for the time
    body: Body
    keep_alive: bool
    knows_chunks: bool  # the caller's version of HTTP has them
    arrived: float = math.inf  # the loop's time of its last byte
    fault: Rejected | None = None
    holding: Holding | None = None

    @classmethod
    def rejected(cls, fault: Rejected) -> Request:
        """What stands in the queue for a request that could not be read."""
        body = Body(0, lambda _: None)
        return cls(b"", b"", {}, b"", body, keep_alive=False, knows_chunks=False, fault=fault)

    def is_timed(self) -> bool:
        """Whether its caller states how long it waits."""
        return stated_time(self.headers) is not None

    def release(self) -> None:
        """Nobody needs its text any more."""
        self.lines = b""
        self.headers = {}
        self.body.release()
        if self.holding is not None:
            self.holding.set(0)

    def held(self) -> int:
        """Bytes that it holds."""
        return self.body.held_size() + (0 if self.holding is None else self.holding.size)

    def refuse(self, fault: Rejected) -> None:
        """Answer it with this, and keep nothing of it for that."""
        self.fault = fault
        self.release()


@dataclass(slots=True)
class Facts:
    """What the decisions need of a request."""

    kind: int
    tenant: int
    timeout: float
    cost: float
    retry: bool


def stated_time(headers: Mapping[bytes, bytes]) -> float | None:
    """The seconds for which a caller waits for its answer; None where it states no time."""
    text = headers.get(b"x-timeout", b"")
    return float(text) if TIME.fullmatch(text) else None


def classify(config: Config, request: Request) -> Facts:
    """Read what the decisions need; raises Rejected where it is malformed or unknown."""
    get = request.headers.get
    if not get(b"x-request-id"):
        raise Rejected(400, "no request id")
    name = get(b"x-priority-class", b"").decode("latin-1")
    kind = config.classes.get(name)
    if kind is None:
        raise Rejected(400, "unknown class")
    method, keyed = METHODS[config.settings.classes[kind].repeat]
    if request.method != method or (keyed and not get(b"idempotency-key")):
        raise Rejected(400, "the method does not fit the class")
    tenant: int | None = 0
    if config.tenants:
        tenant = config.tenants.get(get(b"x-tenant-id", b"").decode("latin-1"))
    if tenant is None:
        raise Rejected(400, "unknown tenant")
    timeout = stated_time(request.headers)
    if timeout is None:
        raise Rejected(400, "the time is malformed")
    cost = get(b"x-cost", b"")
    guess = float(cost) / 1e6 if TIME.fullmatch(cost) else 0.0
    return Facts(kind, tenant, timeout, guess, get(b"x-retried") == b"1")


def closing_reason(front_closes: bool, status: int, request: Request | None) -> str:
    """Why a connection ends with an answer of this status; empty where its caller wants that."""
    if front_closes:
        return "answered, and the process lets its callers go"
    if request is not None and not request.keep_alive and request.fault is None:
        return ""
    return f"answered {status}, and what follows is not to be read"
