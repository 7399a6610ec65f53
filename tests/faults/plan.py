"""What goes wrong and when: faults, each for a chosen call, and the plan that decides about every call."""

from __future__ import annotations

import errno
import json
import os
import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

ALWAYS = 1 << 30  # calls: until the fault is lifted


@dataclass(slots=True, frozen=True)
class Place:
    """Where a call is made: on which connection, or on which file."""

    peer: int = 0  # the other end's port, where this process connected to it
    local: int = 0  # the own port
    path: str = ""


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of one kind of call: an error, or at most so many bytes taken, or a delay.

    It meets the `first` matching call and the `count` - 1 after it, each with `chance`, and only while the
    file `while_path` exists, where one is named.
    """

    call: str  # as in `calls.CALLS`
    error: int = 0  # an errno
    limit: int = 0  # bytes that a read or a write takes at most
    delay: float = 0.0  # seconds for which the call blocks
    first: int = 1
    count: int = 1
    chance: float = 1.0
    peer: int = 0  # 0: any
    local: int = 0
    path: str = ""  # a part of the file's name
    while_path: str = ""

    def matches(self, call: str, place: Place) -> bool:
        """Whether it is about such a call."""
        return (call == self.call and self.peer in (0, place.peer) and self.local in (0, place.local)
                and self.path in place.path)

    def exception(self) -> OSError:
        """As the system call would raise it."""
        return OSError(self.error, os.strerror(self.error))

    def __str__(self) -> str:
        what = errno.errorcode.get(self.error, "") or (f"{self.limit} bytes" if self.limit else "delay")
        return f"{self.call} {what}"


class Plan:
    """Faults drawn in a fixed order from a seed, and how often each one struck."""

    def __init__(self, faults: Sequence[Fault], seed: int = 0, journal: str = "") -> None:
        self.faults = list(faults)
        self.journal = journal  # a file that is given one line for each hit
        self.active = True
        self.reset(seed)

    def reset(self, seed: int) -> None:
        """Count from the beginning, with other draws."""
        self.seed = seed
        self._random = random.Random(seed)
        self._matched = [0] * len(self.faults)
        self.hits = [0] * len(self.faults)

    def lift(self) -> None:
        """All faults have passed."""
        self.active = False

    def draw(self, call: str, place: Place) -> Fault | None:
        """The fault that meets this call, if any does."""
        if not self.active:
            return None
        for number, fault in enumerate(self.faults):
            if not fault.matches(call, place):
                continue
            if fault.while_path and not Path(fault.while_path).exists():
                continue
            self._matched[number] += 1
            if not fault.first <= self._matched[number] < fault.first + fault.count:
                continue
            if fault.chance < 1.0 and self._random.random() >= fault.chance:
                continue
            self.hits[number] += 1
            return fault
        return None

    def interested(self, *calls: str) -> bool:
        """Whether any fault is about one of these calls: else its place need not be found out."""
        return self.active and any(fault.call in calls for fault in self.faults)

    def encode(self) -> str:
        """The plan as the text that a real process is given."""
        return json.dumps({"seed": self.seed, "journal": self.journal,
                           "faults": [asdict(fault) for fault in self.faults]})


def decode(text: str) -> Plan:
    """The plan in a text of `Plan.encode`."""
    value = json.loads(text)
    return Plan([Fault(**row) for row in value["faults"]], value["seed"], value["journal"])
