"""Cuts discovery's stream of bytes into messages: JSON objects, on one line each or indented over several."""

from __future__ import annotations

import re

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # of JSON; it holds no line end
MESSAGE_MOST = 4 << 20  # bytes of one message: it may never end
# Objects, lists and values of one message. Read, each takes many times its bytes; an endpoint has one object
# and ten values, and the largest fleet 3,200 endpoints.
OBJECTS_MOST = 20_000
VALUES_MOST = 200_000


class MessageFramer:
    """Collects bytes until a message is whole; an empty line is an empty message."""

    def __init__(self) -> None:
        self._line = bytearray()  # the one that has begun
        self._lines = bytearray()  # those before it, of a message that is not whole yet...
        self._depth = 0  # ...how many brackets are open in them...
        self._objects = self._values = 0  # ...and how much they hold

    @property
    def pending(self) -> bytes:
        """The line that has begun and not ended."""
        return bytes(self._line)

    def begun(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self._line.strip() or self._lines)

    def held(self) -> int:
        """Bytes that are held."""
        return len(self._line) + len(self._lines)

    def clear(self) -> None:
        """Forget what has come."""
        self._line.clear()
        self._start_message()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that these bytes complete, of empty ones the first alone.

        ValueError where one is too long or holds too much.
        """
        if b"\n" not in data:  # Guards the time that a long line takes which comes in small pieces.
            self._line += data
            self._check_size()
            return []
        if not self.begun() and not data.strip():
            self._line.clear()
            return [b""]
        *whole, rest = (bytes(self._line) + data).split(b"\n")
        self._line = bytearray(rest)
        messages: list[bytes] = []
        for line in whole:
            message = self._add(line)
            if message is not None and (message.strip() or not messages):
                messages.append(message)
        self._check_size()
        return messages

    def finish(self) -> bytes | None:
        """The last message of a stream that ends without a line end; None where nothing is left."""
        if not self._line.strip():
            return None
        line, self._line = bytes(self._line), bytearray()
        return self._add(line)

    def _add(self, line: bytes) -> bytes | None:
        """Take up a whole line; the message that it completes."""
        if self._depth and not line.strip():
            return None
        if self._lines:
            self._lines += b"\n"
        self._lines += line
        plain = STRING.sub(b"", line)
        opened = plain.count(b"{") + plain.count(b"[")
        self._depth += opened - plain.count(b"}") - plain.count(b"]")
        self._objects += opened
        self._values += plain.count(b",")
        if self._objects > OBJECTS_MOST or self._values > VALUES_MOST:
            raise ValueError("a message holds too much")
        if self._depth > 0:
            return None
        message = bytes(self._lines)
        self._start_message()
        return message

    def _start_message(self) -> None:
        self._lines.clear()
        self._depth = self._objects = self._values = 0

    def _check_size(self) -> None:
        if len(self._lines) + len(self._line) > MESSAGE_MOST:
            raise ValueError("a message is too long")
