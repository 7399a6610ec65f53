"""The event loop: after a stop of the process it reads its sockets before it runs what is due.

An event loop runs, in each turn, what its sockets have brought and then the timers that are due. After a stop
(SIGSTOP, a frozen machine) the system call that waits for the sockets returns with nothing, as it was
interrupted and its time is over: the timers would run before all that has come meanwhile.
"""

from __future__ import annotations

import asyncio
import selectors
import time

OVERSLEPT = 0.05  # seconds beyond its time that a look at the sockets takes where the process was stopped
LATE = 0.05  # seconds since the last look at the sockets, after which what they hold may be old news

Events = list[tuple[selectors.SelectorKey, int]]


class RereadingSelector(selectors.EpollSelector):
    """Looks at the sockets once more where the first look brought nothing and took too long."""

    def __init__(self) -> None:
        super().__init__()
        self.looked_at = time.monotonic()  # when the last look was over

    def select(self, timeout: float | None = None) -> Events:
        """As the selector's own."""
        begun = time.monotonic()
        events = super().select(timeout)
        self.looked_at = time.monotonic()
        if not events and timeout is not None and self.looked_at - begun > max(timeout, 0.0) + OVERSLEPT:
            events = super().select(0.0)
        return events


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop that knows when it last looked at its sockets."""

    def __init__(self) -> None:
        self._rereading = RereadingSelector()
        super().__init__(self._rereading)

    def is_late(self) -> bool:
        """Whether its sockets may hold what has come long since."""
        return self.time() - self._rereading.looked_at > LATE
