"""Times that outlast a process: counted by the monotonic clock where it is still the same, else by wall time.

The wall clock may be set at any moment, by seconds or by an hour, also between two processes. The monotonic
clock is never set, and all processes since the machine was started share it. So a file names the start of the
machine (`boot`) and what its writer took for Unix time then (`epoch`): a reader of the same boot counts ages
by the monotonic clock alone, whatever either took for Unix time.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import cache
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
AHEAD_MOST = 1.0  # seconds by which a time may lie ahead of the monotonic clock; else it is another one


@dataclass(slots=True, frozen=True)
class Timeline:
    """What one process takes for Unix time: its wall clock as it was once, carried on by the other one."""

    boot: str  # "" where it is not known
    epoch: float  # Unix seconds at the zero of the monotonic clock

    @classmethod
    def here(cls) -> Timeline:
        """This process's, from now on."""
        return cls(boot_id(), time.time() - time.monotonic())

    def now(self) -> float:
        """Unix seconds."""
        return time.monotonic() + self.epoch

    def shift(self, other: Timeline) -> float:
        """What turns a time of the other's into one of this; 0.0 where only wall time can tell."""
        return self.epoch - other.epoch if self.boot and self.boot == other.boot else 0.0

    def age(self, other: Timeline, at: float) -> float:
        """Seconds since a time of the other's; negative where it lies ahead."""
        age = self.now() - at - self.shift(other)
        return age if age >= -AHEAD_MOST else self.now() - at


def boot_id() -> str:
    """Names this start of the machine; "" where that can't be read."""
    try:
        return _read_boot_id()
    except OSError:
        return ""


@cache
def _read_boot_id() -> str:
    return BOOT_ID.read_text().strip()
