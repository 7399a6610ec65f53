"""The memory of this process as the system counts it: its resident size, and what it may still ask for."""

from __future__ import annotations

import math
import os
import re
import resource
from contextlib import suppress

STATUS = "/proc/self/status"  # proc(5): sizes in kB
STATUS_SIZE = 8 << 10  # bytes that hold all of it
NOW, MOST = re.compile(rb"VmRSS:\s*(\d+)"), re.compile(rb"VmHWM:\s*(\d+)")
DATA, SPACE = re.compile(rb"VmData:\s*(\d+)"), re.compile(rb"VmSize:\s*(\d+)")


class ResidentSize:
    """Reads it by one descriptor that is kept, as there may be no other when it matters."""

    def __init__(self) -> None:
        try:
            self._descriptor: int | None = os.open(STATUS, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = None

    def read(self) -> tuple[int, int]:
        """Bytes now and at the most so far; 0 where the system does not say."""
        text = self._text()
        return _bytes(NOW, text), _bytes(MOST, text)

    def allowance(self) -> float:
        """Bytes that the process's own limits, `RLIMIT_DATA` and `RLIMIT_AS`, still leave it."""
        text = self._text()
        data, _ = resource.getrlimit(resource.RLIMIT_DATA)
        space, _ = resource.getrlimit(resource.RLIMIT_AS)
        left = [limit - used for limit, used in ((data, _bytes(DATA, text)), (space, _bytes(SPACE, text)))
                if limit != resource.RLIM_INFINITY]
        return max(0, min(left)) if left else math.inf

    def _text(self) -> bytes:
        if self._descriptor is None:
            return b""
        try:
            return os.pread(self._descriptor, STATUS_SIZE, 0)
        except OSError:
            return b""

    def close(self) -> None:
        """Let go of the descriptor."""
        if self._descriptor is not None:
            with suppress(OSError):
                os.close(self._descriptor)
            self._descriptor = None


def _bytes(row: re.Pattern[bytes], text: bytes) -> int:
    found = row.search(text)
    return int(found[1]) << 10 if found is not None else 0
