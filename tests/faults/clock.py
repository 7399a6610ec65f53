"""Steps of the wall clock; the monotonic clock runs on."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager


class WallClock:
    """A wall clock that is wrong by `offset` seconds."""

    def __init__(self, real: float = 0.0) -> None:
        self.offset = real

    def step(self, seconds: float) -> None:
        """Set it forward, or back."""
        self.offset += seconds


@contextmanager
def stepped() -> Iterator[WallClock]:
    """Have `time.time` be that clock's, within the block."""
    clock, real = WallClock(), time.time
    time.time = lambda: real() + clock.offset
    try:
        yield clock
    finally:
        time.time = real
