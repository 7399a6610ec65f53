"""Looks after the process once in a while: its resident size, its invariants, timers that were lost."""

from __future__ import annotations

import asyncio
import gc
import math
import time
from collections.abc import Callable

from lugspur.event_loop import EventLoop
from lugspur.events import log
from lugspur.invariants import Invariants
from lugspur.memory import Account
from lugspur.resident import ResidentSize

LOOK_EVERY = 1.0  # seconds
TURN_MOST = 3.0  # seconds of one turn of the loop: a client that behaves badly is owed its end within as many
WORKED_PART = 0.5  # of a long turn that is processor time, unless the process was stopped in it
LATE_MOST = 0.25  # seconds for which a look may be late: after a longer stop all timers are
HELD_PART = 1.25  # of the budget that may be held for a moment: what is read in one turn is judged after it


class Monitor:
    """The one periodic look at a process; `repair` makes good what a failed allocation may have undone."""

    def __init__(
        self, account: Account, invariants: Invariants, limit: int | None, repair: Callable[[], None]
    ) -> None:
        """`limit` is the memory that the process may have, in bytes."""
        self._loop = asyncio.get_running_loop()
        self._account = account
        self._invariants = invariants
        self._limit = limit
        self._repair = repair
        self._resident = ResidentSize()
        self._timer: asyncio.TimerHandle | None = None
        self._collected_at = -math.inf  # when garbage was collected for a failed allocation
        self._longest = 0.0  # seconds of the longest turn since the last look
        self._worked = time.process_time()  # seconds of processor time up to the last look...
        self._busy = 0.0  # ...and since the one before
        self.longest_turn = 0.0  # ...and ever
        account.overload.start(self._resident.read()[0], self._resident.allowance())
        invariants.add({
            "memory_sum": self._check_sum, "memory_bound": self._check_bound,
            "memory_limit": self._check_limit, "loop_turn": self._check_turn,
        })
        if isinstance(self._loop, EventLoop):
            account.pace_by(self._loop.turn_age)
            self._loop.allocation_failed = self.allocation_failed
        self._arm()

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
        self._resident.close()

    def allocation_failed(self) -> None:
        """The system gave no more memory: less is held from now on, and timers may be lost, this one too."""
        self._account.allocation_failed()
        now = self._loop.time()
        if now - self._collected_at > LOOK_EVERY:
            self._collected_at = now
            gc.collect()
        if self._timer is None or self._timer.when() < now - LOOK_EVERY:
            self._arm()

    def _arm(self) -> None:
        self._timer = self._loop.call_later(LOOK_EVERY, self._look)

    def _look(self) -> None:
        late = self._timer is not None and self._loop.time() - self._timer.when() > LATE_MOST
        self._timer = None
        try:
            self._account.overload.recover()
            self._look_at_memory()
            if isinstance(self._loop, EventLoop):
                self._loop.restore_reserve()
                self._longest = self._loop.longest_turn()
                self.longest_turn = max(self.longest_turn, self._longest)
            self._worked, worked = time.process_time(), self._worked
            self._busy = self._worked - worked
            if not late:  # else what is overdue may be so as the process stood still
                self._invariants.check()
                self._repair()
        finally:
            self._arm()

    def _look_at_memory(self) -> None:
        resident, _ = self._resident.read()
        if resident and self._account.overload.is_resident_too_large(resident, self._account.held):
            log.warning("memory.near_limit", resident=resident, held=self._account.held)
            self._account.press()
            gc.collect()

    # ---- invariants ------------------------------------------------------------------------

    def _check_sum(self) -> str:
        account = self._account
        wrong = min(account.by_purpose) < 0 or account.held < 0
        return f"by purpose {account.by_purpose}, in all {account.held}" if wrong else ""

    def _check_bound(self) -> str:
        held, budget = self._account.held, self._account.overload.budget
        return f"{held} bytes are held, {budget:.0f} may be" if held > HELD_PART * budget else ""

    def _check_limit(self) -> str:
        _, most = self._resident.read()
        over = self._limit is not None and most > self._limit
        return f"{most} bytes were resident, {self._limit} may be" if over else ""

    def _check_turn(self) -> str:
        long = self._longest > TURN_MOST and self._busy > WORKED_PART * self._longest
        return f"a turn of the loop took {self._longest:.3f} s" if long else ""

    # ---- figures ---------------------------------------------------------------------------

    def figures(self) -> list[str]:
        """Lines of the telemetry."""
        faults = self._loop.faults if isinstance(self._loop, EventLoop) else 0
        resident, most = self._resident.read()
        return [
            *self._account.figures(), f"memory.resident={resident}", f"memory.resident_most={most}",
            f"memory.limit={-1 if self._limit is None else self._limit}",
            f"loop.longest_turn_ms={math.ceil(1000.0 * self.longest_turn)}", f"loop.faults={faults}",
            *self._invariants.figures(),
        ]
