"""What an instance keeps of one server, one request and one attempt."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from math import inf

from jaspershelf.breaker import Breaker
from jaspershelf.model import RequestId, ServerId, ServerMemory, ServerRow, State

STALE = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half
SIZE_LEAST, SIZE_MOST = 1e-6, 1e6  # what stated sizes are held to: sums and quotients of them stay finite


class Server:
    """What an instance knows of one server of the next tier."""

    __slots__ = (
        "breaker", "cold_credit", "cold_seen", "failed_at", "latency", "out", "rests_until", "row", "seen",
        "served_at", "slow", "started", "streak", "unreached",
    )

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.started = row.started  # from when on it counts as cold
        self.breaker: Breaker | None = None  # made at the first call: most rows of a big list see none
        self.out: dict[Attempt, None] = {}  # attempts in flight, oldest first
        self.served_at = self.failed_at = 0.0  # the last call that was served in good time, and not...
        self.streak = 0  # ...how many were not in a row...
        self.slow = False  # ...and whether the last of those came too late or not at all
        self.latency = 0.0  # the breaker's current latency, failures counted as the time-out
        self.seen = 0.0
        self.unreached = 0  # attempts in a row that found no connection...
        self.rests_until = 0.0  # ...and until when it is passed over for them
        self.cold_credit = self.cold_seen = 0.0

    def restart(self, started: float) -> None:
        """A new process, or one that may be: nothing learned of the old one holds."""
        self.started = started
        self.breaker = None
        self.latency = self.served_at = self.failed_at = 0.0
        self.streak = 0
        self.unreached = 0
        self.rests_until = 0.0
        # The phase is drawn anew too: a credit counted from before the restart would be full at
        # every instance at once, and the first call of each would push the cold server over.
        self.cold_credit = self.cold_seen = 0.0

    def restore(self, memory: ServerMemory) -> None:
        """What an earlier process had learned of it, unless it has started since."""
        if self.row.started > memory.at or self.breaker is not None:
            return
        self.started = max(self.started, memory.started)
        self.latency, self.seen = memory.latency, memory.at
        self.breaker = Breaker()
        self.breaker.restore(memory)

    def learn(self, now: float, latency: float) -> None:
        """Move the latency that picks follow."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency
        self.seen = now

    def score(self, now: float, pooled: float) -> float:
        """Current latency x (in-flight + 1); lower is better.

        Guards against stale averages (a silent server drifts to the tier's latency: a recovered one is tried
        again) and against hung servers (an attempt out for longer than the current latency is a sample).
        """
        latency = pooled
        if self.latency > 0.0:
            fresh = STALE / (STALE + now - self.seen)
            latency += (self.latency - pooled) * fresh
        out = self.out
        if not out:
            return latency
        age = now - next(iter(out)).sent
        return max(latency, age) * (len(out) + 1.0)


def _is_figure(value: float) -> bool:
    return isinstance(value, (int, float)) and 0.0 <= value < inf


def usable_row(row: ServerRow) -> ServerRow:
    """The row as it can be reckoned with: sizes are bounded, and a server without sound figures is not used.

    Guards the list: one row that no sum can be made of must neither hide the others nor keep its server used.
    """
    if _is_figure(row.size) and _is_figure(row.started):
        size = min(max(row.size, SIZE_LEAST), SIZE_MOST) if row.size else row.size
        return row if size == row.size else replace(row, size=size)
    state = State.DRAINING if row.state is State.UP else row.state
    return replace(row, state=state, size=1.0, started=0.0)


class Attempt:
    """One send of a request."""

    __slots__ = ("answering", "began", "maybe_ran", "open", "sent", "server", "slow")

    def __init__(self, server: Server, sent: float) -> None:
        self.server = server
        self.answering = False  # a sound answer to it has begun to come in...
        self.slow = False  # ...and has fallen silent, or comes slowly
        self.began = False  # its answer is passed on as it comes: how it was served is known already
        self.sent = sent
        self.open = True
        self.maybe_ran = True  # until its outcome proves otherwise


class Request:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "attempts", "bound", "cost", "deadline", "done", "id", "kind", "open", "owed", "patience", "prefer",
        "until",
    )

    def __init__(self, rid: RequestId, kind: int, deadline: float) -> None:
        self.id = rid
        self.kind = kind
        self.deadline = deadline
        self.until = deadline  # no attempt is waited for longer than this
        self.attempts: list[Attempt] = []
        self.open = 0
        self.done = False
        self.cost = 1.0  # the work that is expected of it
        self.bound = False  # it belongs to one attempt: a stream has begun, or its body can't be sent again
        # While it is still coming in: how long after its end its deadline and `until` are.
        self.patience: tuple[float, float] | None = None
        self.prefer: Sequence[ServerId] = ()  # the servers of its key, best first
        self.owed = False  # it counts among those whose answers hold room

    def first_maybe(self) -> Attempt | None:
        """The first attempt that may have run, or may be running."""
        return next((a for a in self.attempts if a.maybe_ran), None)

    def is_slow(self) -> bool:
        """Whether the answers of all attempts that are out have begun, and are silent or slow."""
        return self.open > 0 and all(attempt.slow for attempt in self.attempts if attempt.open)

    def is_answered(self) -> bool:
        """Whether a sound answer to it is coming in."""
        return any(attempt.open and attempt.answering for attempt in self.attempts)
