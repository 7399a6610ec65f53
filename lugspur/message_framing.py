"""Cuts discovery's stream of bytes into messages: JSON objects, on one line each or indented over several."""

from __future__ import annotations

import re

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # of JSON; it holds no line end
MESSAGE_MOST = 4 << 20  # bytes of one message: it may never end


class MessageFramer:
    """Collects bytes until a message is whole; an empty line is an empty message."""

    def __init__(self) -> None:
        self._line = bytearray()  # the one that has begun
        self._lines: list[bytes] = []  # those before it, of a message that is not whole yet...
        self._depth = self._size = 0  # ...how many brackets are open in them, and their bytes

    @property
    def pending(self) -> bytes:
        """The line that has begun and not ended."""
        return bytes(self._line)

    def begun(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self._line.strip() or self._lines)

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that these bytes complete; ValueError where one is too long."""
        if b"\n" not in data:  # Guards the time that a long line takes which comes in small pieces.
            self._line += data
            self._check_size()
            return []
        *whole, rest = (bytes(self._line) + data).split(b"\n")
        self._line = bytearray(rest)
        messages = [message for line in whole if (message := self._add(line)) is not None]
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
        self._lines.append(line)
        self._size += len(line)
        plain = STRING.sub(b"", line)
        self._depth += plain.count(b"{") + plain.count(b"[") - plain.count(b"}") - plain.count(b"]")
        if self._depth > 0:
            return None
        message = b"\n".join(self._lines)
        self._lines.clear()
        self._depth = self._size = 0
        return message

    def _check_size(self) -> None:
        if self._size + len(self._line) > MESSAGE_MOST:
            raise ValueError("a message is too long")
