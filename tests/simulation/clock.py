"""The clock of a run, and an event loop that is driven by it: time passes only while the loop waits."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
import selectors
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from typing import Any

START = 1000.0  # of the clock, in seconds

#: The name of the process that a callback of the loop belongs to.
PROCESS: ContextVar[str] = ContextVar("PROCESS", default="")


class Event:
    """Something that happens outside of the proxies at its time, unless it is cancelled."""

    __slots__ = ("action", "cancelled")

    def __init__(self, action: Callable[[], object]) -> None:
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """It does not happen."""
        self.cancelled = True


class World:
    """All that happens outside of the proxies, in order of time, and what it has made ready for them.

    Its events run while the loop looks for what is ready, as a kernel's do: what is ready then goes before
    the timers that are due.
    """

    def __init__(self, seed: int) -> None:
        self.now = START
        self.random = random.Random(seed)
        self.loop: DrivenLoop
        self._events: list[tuple[float, int, Event]] = []
        self._order = itertools.count()
        self._ready: list[Callable[[], object]] = []

    def at(self, when: float, action: Callable[[], object]) -> Event:
        """Have this happen at that time, after what is due then already."""
        event = Event(action)
        heapq.heappush(self._events, (max(when, self.now), next(self._order), event))
        return event

    def after(self, seconds: float, action: Callable[[], object]) -> Event:
        """Have this happen so much later."""
        return self.at(self.now + seconds, action)

    def every(self, seconds: float, until: float, action: Callable[[], object]) -> None:
        """Have this happen again and again, up to that time."""
        def again() -> None:
            action()
            if self.now + seconds < until:
                self.after(seconds, again)

        self.after(seconds, again)

    def wake(self, handler: Callable[[], object]) -> None:
        """The loop's next look finds something ready: it then calls this."""
        self._ready.append(handler)

    def wait(self, until: float) -> None:
        """Let time pass until then, or until something is ready."""
        self._run_due(self.now)
        while not self._ready and self._events and self._events[0][0] <= until:
            self._run_due(self._events[0][0])
        if not self._ready:
            if until == math.inf:
                raise RuntimeError("nothing will ever happen")
            self.now = until

    def hold_up(self, seconds: float) -> None:
        """The loop's thread does not run for so long: a stopped process, or a slow callback."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self._run_due(self._events[0][0])
        self.now = until

    def take_ready(self) -> list[Callable[[], object]]:
        """What is ready, in no particular order: each is called once."""
        ready, self._ready = self._ready, []
        if len(ready) > 1:
            self.random.shuffle(ready)
        return ready

    def _run_due(self, when: float) -> None:
        while self._events and self._events[0][0] <= when:
            self.now, _, event = heapq.heappop(self._events)
            if not event.cancelled:
                event.action()


class _Selector(selectors.BaseSelector):
    """Stands in for the kernel's: it lets the world's time pass, and wakes what the world made ready."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Only the loop's own pipe is registered; nothing comes on it, as there are no other threads."""
        key = self._keys[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """As above."""
        return self._keys.pop(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """As above."""
        return self._keys

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait; the handlers that are ready are the loop's next callbacks, before the timers due."""
        world = self._world
        world.wait(math.inf if timeout is None else world.now + max(0.0, timeout))
        for handler in world.take_ready():
            handler()
        return []


class DrivenLoop(asyncio.SelectorEventLoop):
    """An event loop on a world's clock; its connections are made in memory."""

    def __init__(self, world: World) -> None:
        super().__init__(_Selector(world))
        self._world = world
        world.loop = self

    def time(self) -> float:
        """The world's."""
        return self._world.now

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """At once, in this thread: the order of a run is its seed's alone."""
        future: asyncio.Future[Any] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as fault:
            future.set_exception(fault)
        return future

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Dial in the world's network, which is told where it runs for whom."""
        return await self.dialler(protocol_factory, (host, port))

    async def dialler(self, protocol_factory: Any, address: tuple[str, int]) -> Any:
        """Put in place by the network."""
        raise NotImplementedError

    def timers(self) -> list[asyncio.TimerHandle]:
        """Those that have still to fall due."""
        return [timer for timer in self._scheduled if not timer.cancelled()]  # type: ignore[attr-defined]

    def cancel_all(self, process: str) -> None:
        """Nothing of this process runs any more, as after SIGKILL."""
        pending = [*self._scheduled, *self._ready]  # type: ignore[attr-defined]
        for handle in pending:
            if handle._context.get(PROCESS, "") == process:
                handle.cancel()
