"""The trace: what happened in one process, step by step, for whoever has to explain a failure.

It holds each state change of the watch on discovery, each change of the endpoint list, each request with its
id and attempts, and the reason for each close, retry and refusal. A record costs little when it is made: it
is kept as it is, and rendered and written a few times a second. Its size is bounded: each topic (the part of
an event's name before the dot) has a rate beyond which records are dropped and only counted. Records hold the
time by the process's monotonic clock, put on the system's time once at the start, so that no step of the
system's clock disturbs their order.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import orjson

from lugspur.events import Log, log, write_at_once

FLUSH_EVERY = 0.25  # seconds between writes
FLUSH_LATE = 5.0  # seconds after which one that was due is not waited for any longer
BUFFERED_MOST = 500  # records that are kept between two writes
RATE = 40.0  # records a second of one topic, in the long run...
BURST = 200.0  # ...and at once
NAMES_MOST = 20  # of servers, in one record
TEXT_MOST = 200  # bytes or characters of one field


class _Budget:
    """A token bucket of one topic."""

    __slots__ = ("dropped", "left", "seen")

    def __init__(self, now: float) -> None:
        self.left = BURST
        self.seen = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Whether one more record fits; else it is counted as dropped."""
        self.left = min(BURST, self.left + RATE * (now - self.seen))
        self.seen = now
        if self.left < 1.0:
            self.dropped += 1
            return False
        self.left -= 1.0
        return True


class Trace:
    """Collects records and writes them to standard error; nothing where the log is off."""

    def __init__(
        self, target: Log = log, clock: Callable[[], float] = time.monotonic,
        write: Callable[[bytes], bool] = write_at_once,
    ) -> None:
        self._target = target
        self._clock = clock
        self._write = write
        self._epoch = time.time() - clock()
        self._records: list[tuple[float, str, dict[str, Any]]] = []
        self._budgets: dict[str, _Budget] = {}
        self._flush_due: asyncio.TimerHandle | None = None
        self._flush_by = 0.0  # a flush that has not come by then belongs to a loop that is closed
        self.lost = 0  # lines that standard error did not take, or not whole

    @property
    def enabled(self) -> bool:
        """Whether records are kept at all: callers need not put one together otherwise."""
        return not self._target.muted

    def record(self, event: str, **fields: Any) -> None:
        """Keep one record; `event` is `topic.what`. Long text of peers is cut."""
        if self._target.muted:
            return
        now = self._clock()
        topic = event.partition(".")[0]
        budget = self._budgets.get(topic)
        if budget is None:
            budget = self._budgets[topic] = _Budget(now)
        if not budget.take(now):
            return
        for name, value in fields.items():
            if isinstance(value, (bytes, str)) and len(value) > TEXT_MOST:
                fields[name] = value[:TEXT_MOST]
        self._records.append((now, event, fields))
        if len(self._records) >= BUFFERED_MOST or (self._flush_due is not None and now > self._flush_by):
            self.flush()
        elif self._flush_due is None:
            self._schedule()

    def flush(self) -> None:
        """Write all that is kept."""
        if self._flush_due is not None:
            self._flush_due.cancel()
            self._flush_due = None
        records, self._records = self._records, []
        lines = [self._line(at, event, fields) for at, event, fields in records]
        for topic, budget in self._budgets.items():
            if budget.dropped:
                fields = {"topic": topic, "n": budget.dropped}
                lines.append(self._line(self._clock(), "trace.dropped", fields))
                budget.dropped = 0
        if lines and not self._write(b"".join(lines)):
            self.lost += len(lines)

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # nothing runs: it is written at the end
            return
        self._flush_due = loop.call_later(FLUSH_EVERY, self.flush)
        self._flush_by = self._clock() + FLUSH_LATE

    def _line(self, at: float, event: str, fields: dict[str, Any]) -> bytes:
        row = {"at": round(at + self._epoch, 4), "node": self._target.node, "trace": event, **fields}
        try:
            return orjson.dumps(row, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:  # a field that JSON has no form for, such as text that is no Unicode
            return orjson.dumps(
                {"at": row["at"], "trace": event, "fields": ascii(fields)}, option=orjson.OPT_APPEND_NEWLINE
            )


trace = Trace()


def _plain(value: Any) -> Any:
    """What JSON does not know: bytes of the wire as text, all else by its representation."""
    return value.decode("latin-1") if isinstance(value, bytes) else repr(value)
