"""The proxy's log: one event a line on standard error, as JSON, or in a form for people on a terminal.

An event has a name to search for (`member.state`), a level, the time, the proxy's name and its fields.
structlog renders it, and loads with the first line only: a proxy that has nothing to say pays nothing.
Repeats are bounded: of events with the same name and the same subject MOST a SPAN are written, and the next
one tells how many were not (`suppressed`). A line is written as far as standard error takes it at once: one
that is full, broken or closed must not hold up the loop, nor what reports to it.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import orjson

MOST = 20  # lines of one event and subject...
SPAN = 10.0  # ...in so many seconds
SUBJECTS = ("member", "file", "reason", "error")  # the fields that tell one repeat from another
PIECE = select.PIPE_BUF  # bytes that a pipe with any room takes without waiting
SUBJECT_LENGTH = 200  # characters of a subject that tell it from another
KEYS_MOST = 2_000  # events and subjects that are counted at a time

Render = Callable[[str, dict[str, Any]], str]


class Log:
    """Writes events; `node` is the proxy's name once it is known, `muted` writes none."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.node = ""
        self.muted = False
        self._clock = clock
        self._render: Render | None = None
        self._counts: dict[tuple[str, ...], list[float]] = {}  # begin of the span, lines, suppressed
        self.lost = 0  # lines that standard error did not take, or not whole

    def info(self, event: str, **fields: Any) -> None:
        """Something that happens in order."""
        self._emit("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Something that staff may have to look at."""
        self._emit("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Something that failed; `exc_info=True` adds the traceback of the exception at hand."""
        self._emit("error", event, fields)

    def _emit(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if self.muted:
            return
        now = self._clock()
        key = (event, *[str(fields[name])[:SUBJECT_LENGTH] for name in SUBJECTS if name in fields])
        count = self._counts.get(key)
        if count is None or now - count[0] >= SPAN:
            if len(self._counts) >= KEYS_MOST:
                self._counts.clear()
            if count is not None and count[2]:
                fields["suppressed"] = int(count[2])
            count = self._counts[key] = [now, 0, 0]
        if count[1] >= MOST:
            count[2] += 1
            return
        count[1] += 1
        if self.node:
            fields.setdefault("node", self.node)
        line = self._line(level, {"event": event, **fields}) + "\n"
        if not write_at_once(line.encode(errors="backslashreplace")):
            self.lost += 1

    def _line(self, level: str, fields: dict[str, Any]) -> str:
        """The event as its line; a plain one where structlog can't be loaded or fails."""
        at_hand = sys.exc_info()[1]
        try:
            if self._render is None:
                self._render = renderer(sys.stderr is not None and sys.stderr.isatty())
            return self._render(level, dict(fields))
        except Exception:  # Guards whoever reports: with no descriptor left nothing can be imported
            return plain_line(level, fields, at_hand)


def plain_line(level: str, fields: dict[str, Any], at_hand: BaseException | None) -> str:
    """An event as JSON, made with what is loaded already."""
    fault = fields.pop("exc_info", None)
    if fault:
        fields["exception"] = repr(at_hand if fault is True else fault)
    now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    return orjson.dumps({**fields, "level": level, "timestamp": now}, default=repr).decode()


def write_at_once(data: bytes) -> bool:
    """Write to standard error without waiting for it; False where it did not take all."""
    try:
        descriptor = sys.stderr.fileno()
    except (OSError, ValueError, AttributeError):  # there is none, or one of its own in place of it
        with suppress(Exception):
            print(data.decode(), end="", file=sys.stderr, flush=True)
            return True
        return False
    try:
        room = select.poll()
        room.register(descriptor, select.POLLOUT)
        for at in range(0, len(data), PIECE):
            piece = data[at:at + PIECE]
            ready = room.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT or os.write(descriptor, piece) != len(piece):
                return False
    except OSError:
        return False
    return True


class AtOnceHandler(logging.Handler):
    """Records of the standard library's loggers, asyncio's among them, written without waiting."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; what standard error does not take is dropped."""
        try:
            line = self.format(record) + "\n"
        except Exception:  # Guards whoever logs: a record that can't be formatted must not end its call.
            return
        write_at_once(line.encode(errors="backslashreplace"))


def renderer(terminal: bool) -> Render:
    """What makes an event a line; for a terminal, one in colours that people read."""
    import structlog

    processors: list[Any] = [
        structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.dev.ConsoleRenderer() if terminal else structlog.processors.JSONRenderer(sort_keys=True),
    ]

    def render(level: str, fields: dict[str, Any]) -> str:
        line: Any = fields
        for processor in processors:
            line = processor(None, level, line)
        return str(line)

    return render


log = Log()
