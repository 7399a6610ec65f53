"""Time dilation: an event loop whose clock runs slower, so that a small machine can play a large fleet.

All that a scale run measures by is the loop's time: the protocol's timers, the watch, the faults, the
figures' seconds. With `slow` at 10 each of its seconds lasts ten, in which every process has ten times the
processor time; what is counted by the second (bytes, datagrams, processor time) is then by the loop's second,
as it would be on ten times the machine. Loopback is ten times as fast by that clock. Source: D. Gupta et al.,
"To Infinity and Beyond: Time-Warped Network Emulation", NSDI 2006. Real proxies read the real clock, and have
no part in a slow run.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _Selector(selectors.DefaultSelector):
    """Waits as long as the loop's seconds last."""

    def __init__(self, slow: float) -> None:
        super().__init__()
        self._slow = slow

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        return super().select(timeout * self._slow if timeout is not None and timeout > 0.0 else timeout)


class Loop(asyncio.SelectorEventLoop):
    """A loop of which a second lasts `slow` seconds."""

    def __init__(self, slow: float) -> None:
        self.slow = slow
        super().__init__(_Selector(slow))

    def time(self) -> float:
        """The machine's monotonic clock, slowed: the same at every process."""
        return time.monotonic() / self.slow


def run(work: Coroutine[Any, Any, T], slow: float) -> T:
    """As `asyncio.run`, in a slow loop."""
    with asyncio.Runner(loop_factory=lambda: Loop(slow)) as runner:
        return runner.run(work)


def now() -> float:
    """The running loop's time."""
    return asyncio.get_running_loop().time()
