"""Epoll for the event loop: goes on where the system refuses a descriptor, and reads again after a stop."""

from __future__ import annotations

import errno
import math
import selectors
import time
from typing import Any

from lugspur.events import log

LATE_LOOK = 0.05  # seconds between tries to have epoll wait for what it has refused
REFUSALS = frozenset({errno.ENOMEM, errno.ENOSPC})  # of `epoll_ctl`: memory, or a user's limit on watches
WAITED = 0.001  # seconds of a look at the sockets, from which on nothing was ready when it began
HELD_UP = 0.07  # seconds of a turn, or beyond the time of a look, that a hold-up of the process takes
OVERSLEPT = 0.05  # seconds beyond its time that a look at the sockets takes where the process was stopped

Events = list[tuple[selectors.SelectorKey, int]]


class SteadySelector(selectors.EpollSelector):
    """Epoll that tries again to wait for what it refused for want of memory or watches.

    Guards connections: asyncio adds their readers in callbacks of its own, where a refusal leaves them open
    and unheard for good.
    """

    def __init__(self) -> None:
        super().__init__()
        self._late: dict[int, selectors.SelectorKey] = {}  # by descriptor: registered, and not with epoll

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Wait for these events, at once or a little later."""
        if self._late and self._descriptor(fileobj) in self._late:
            raise KeyError(f"{fileobj!r} is already registered")
        try:
            return super().register(fileobj, events, data)
        except OSError as fault:
            if fault.errno not in REFUSALS:
                raise
        return self._put_off(fileobj, events, data)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Wait for other events of it, at once or a little later."""
        if self._late and self._descriptor(fileobj) in self._late:
            return self._put_off(fileobj, events, data)
        try:
            return super().modify(fileobj, events, data)
        except OSError as fault:
            if fault.errno not in REFUSALS:
                raise
        # The failed call has forgotten the key, but epoll still knows the descriptor by its old events.
        self._selector.unregister(self._descriptor(fileobj))  # type: ignore[attr-defined]
        return self._put_off(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Wait for it no more."""
        if self._late:
            key = self._late.pop(self._descriptor(fileobj), None)
            if key is not None:
                return key
        return super().unregister(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """How it is registered."""
        if self._late:
            key = self._late.get(self._descriptor(fileobj))
            if key is not None:
                return key
        return super().get_key(fileobj)

    def select(self, timeout: float | None = None) -> Events:
        """Wait; while something is late, not for long."""
        if self._late:
            self._catch_up()
        if self._late:
            timeout = LATE_LOOK if timeout is None else min(timeout, LATE_LOOK)
        return super().select(timeout)

    def _put_off(self, fileobj: Any, events: int, data: Any) -> selectors.SelectorKey:
        descriptor = self._descriptor(fileobj)
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._late[descriptor] = key
        return key

    def _catch_up(self) -> None:
        for descriptor, key in tuple(self._late.items()):
            try:
                super().register(key.fileobj, key.events, key.data)
            except OSError as fault:
                if fault.errno in REFUSALS:
                    return
                log.warning("loop.fault", error=str(fault.strerror))
            del self._late[descriptor]

    @staticmethod
    def _descriptor(fileobj: Any) -> int:
        return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())


class RereadingSelector(SteadySelector):
    """Looks at the sockets once more where the first look brought nothing and took too long."""

    def __init__(self) -> None:
        super().__init__()
        self.looked_at = time.monotonic()  # when the last look was over
        self.ready_since = self.looked_at  # what it has found ready was not ready before
        self.looks = 0
        self.held_up_at = -math.inf  # when the process was last seen to have been held up
        self._longest_turn = 0.0

    def take_longest_turn(self) -> float:
        """Seconds of the longest time between two looks since the last call."""
        longest, self._longest_turn = self._longest_turn, 0.0
        return longest

    def select(self, timeout: float | None = None) -> Events:
        """As the selector's own."""
        begun = time.monotonic()
        turn = begun - self.looked_at
        self._longest_turn = max(self._longest_turn, turn)
        before, events = self.looked_at, super().select(timeout)
        self.looked_at = time.monotonic()
        self.looks += 1
        waited = self.looked_at - begun
        overslept = waited - max(timeout, 0.0) if timeout is not None else 0.0
        if max(turn, overslept) > HELD_UP:
            self.held_up_at = self.looked_at
        self.ready_since = self.looked_at if waited > WAITED else before
        if timeout is not None and waited > max(timeout, 0.0) + OVERSLEPT:
            self.ready_since = begun
            if not events:
                events = super().select(0.0)
        return events
