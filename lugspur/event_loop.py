"""The event loop: after a stop of the process it reads its sockets before it runs what is due.

An event loop runs, in each turn, what its sockets have brought and then the timers that are due. After a stop
(SIGSTOP, a frozen machine) the system call that waits for the sockets returns with nothing, as it was
interrupted and its time is over: the timers would run before all that has come meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from lugspur.events import log
from lugspur.selector import RereadingSelector

LATE = 0.05  # seconds since the last look at the sockets, after which what they hold may be old news


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop that knows when it last looked at its sockets, and logs its own complaints."""

    def __init__(self) -> None:
        self._rereading = RereadingSelector()
        super().__init__(self._rereading)
        self.set_exception_handler(_complain)

    def is_late(self) -> bool:
        """Whether its sockets may hold what has come long since."""
        return self.time() - self._rereading.looked_at > LATE


def run(main: Coroutine[Any, Any, None]) -> None:
    """As `asyncio.run`, on such a loop."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(main)


def _complain(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A callback or a task has failed: one line of the log, whose repeats are bounded."""
    fault = context.get("exception")
    log.error("loop.fault", reason=str(context["message"])[:200], error=repr(fault)[:200], exc_info=fault)
