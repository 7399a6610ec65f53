"""The event loop: after a stop of the process it reads first, and no callback or failed allocation ends it.

An event loop runs, in each turn, what its sockets have brought and then the timers that are due. After a stop
(SIGSTOP, a frozen machine) the system call that waits for the sockets returns with nothing, as it was
interrupted and its time is over: the timers would run before all that has come meanwhile.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from lugspur.events import log
from lugspur.selector import RereadingSelector

LATE = 0.05  # seconds since the last look at the sockets, after which what they hold may be old news
LOOKS_PER_SECOND = 1000  # that a loop of another kind is taken to make
NOTHING = b""
RESERVE = 256 << 10  # bytes that are set free when an allocation fails: to tell of it takes some
FAULT_PAUSE = 0.001  # seconds between a fault of the loop itself and its next turn


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop that knows when it last looked at its sockets, and logs its own complaints."""

    def __init__(self) -> None:
        self._rereading = RereadingSelector()
        super().__init__(self._rereading)
        self.set_exception_handler(_complain)
        self._reserve = bytes(RESERVE)
        self.faults = 0  # exceptions that no callback or task has handled
        self.allocation_failed: Callable[[], None] = lambda: None  # told of each one that reached the loop

    def is_late(self) -> bool:
        """Whether its sockets may hold what has come long since."""
        return self.time() - self._rereading.looked_at > LATE

    def turn_age(self) -> float:
        """Seconds since its present turn began."""
        return time.monotonic() - self._rereading.looked_at

    def ready_since(self) -> float:
        """What its last look has found ready to be read was not ready before this time."""
        return self._rereading.ready_since

    def looks(self) -> int:
        """How often it has looked at its sockets."""
        return self._rereading.looks

    def held_up_at(self) -> float:
        """When the process was last seen to have been held up; minus infinity where it never was."""
        return self._rereading.held_up_at

    def longest_turn(self) -> float:
        """Seconds of the longest turn since the last call."""
        return self._rereading.take_longest_turn()

    def note(self, fault: BaseException | None) -> None:
        """Take note of an exception that nobody has handled."""
        self.faults += 1
        if isinstance(fault, MemoryError):
            self.free_reserve()
            self.allocation_failed()

    def free_reserve(self) -> None:
        """Set free what was put aside for this."""
        self._reserve = NOTHING

    def restore_reserve(self) -> None:
        """Set memory aside again for the next allocation that fails."""
        if not self._reserve:
            with suppress(MemoryError):
                self._reserve = bytes(RESERVE)


def ready_since(loop: asyncio.AbstractEventLoop) -> float:
    """The same of any loop: the present where it does not tell."""
    return loop.ready_since() if isinstance(loop, EventLoop) else loop.time()


def looks(loop: asyncio.AbstractEventLoop) -> int:
    """How often a loop has looked at its sockets; one that does not tell is taken to look all the time."""
    return loop.looks() if isinstance(loop, EventLoop) else int(loop.time() * LOOKS_PER_SECOND)


def held_up_at(loop: asyncio.AbstractEventLoop) -> float:
    """The same of any loop: one that does not tell is taken never to be held up."""
    return loop.held_up_at() if isinstance(loop, EventLoop) else -math.inf


def run(main: Coroutine[Any, Any, None]) -> None:
    """As `asyncio.run`, on such a loop, which goes on after a fault of its own until `main` is done."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, EventLoop)
        task = loop.create_task(main)
        while not task.done():
            try:
                _run_until_fault(loop, task)
            except MemoryError:  # to tell of the fault failed as well
                if task.done():
                    raise
                loop.free_reserve()


def _run_until_fault(loop: EventLoop, task: asyncio.Task[None]) -> None:
    """Run until the task is done, or the loop itself has failed, which is told of."""
    try:
        loop.run_until_complete(task)
    except Exception as fault:
        if task.done():
            raise
        _complain(loop, {"message": "a fault of the loop", "exception": fault})
        time.sleep(FAULT_PAUSE)


def _complain(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A callback or a task has failed: one line of the log, whose repeats are bounded.

    Guards the loop: what fails in here as well is dropped.
    """
    fault = context.get("exception")
    try:
        if isinstance(loop, EventLoop):
            loop.note(fault)
        log.error("loop.fault", reason=str(context["message"])[:200], error=repr(fault)[:200], exc_info=fault)
    except Exception:
        return
