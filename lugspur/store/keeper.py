"""Keeps what the module has learned on disk, and gives it back at a start; it decides nothing.

Kinds of entries, why each is kept, and the age after which a start ignores it:

- `server`, by the backend's name: latencies, breaker counts and slow start, else all are cold, or all are
  tried alike; 120 s.
- `tier`: the classes' latencies and the load, admission else starts from nothing; 120 s.
- `incarnation`: a restarted member must outrank its old self, even if the clock went back; 30 days.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor
from pathlib import Path
from typing import Any

from jaspershelf.decide import Balancer
from jaspershelf.model import ServerMemory, TierMemory
from lugspur.discovery import server_id, server_name
from lugspur.events import log
from lugspur.store.files import State, Store, directory_for
from lugspur.store.times import Timeline

Row = tuple[str, str, float, Any]  # kind, key, time and value

KEEP_EVERY = 1.0  # seconds between batches: what a crash may lose
NEVER_TOLD = -1  # no incarnation
AGES = {"server": 120.0, "tier": 120.0, "incarnation": 30 * 86400.0}


class Keeper:
    """One process's state on disk: loaded at the start, written in batches by whoever has the lock."""

    def __init__(self, state_dir: Path, name: str) -> None:
        self._name = name
        self._file_executor: Executor | None = None
        self._times = Timeline.here()
        self._store = Store(
            directory_for(state_dir, name), name, self._times.now(), self._fault, self._times
        )
        self._since = 0.0
        self._tier: TierMemory | None = None
        self._incarnation = 0
        self._told_incarnation = 0
        self._failing = False
        self._task: asyncio.Task[None] | None = None
        self.counters = {"batches": 0, "entries": 0, "restored": 0, "faults": 0, "write_errors": 0}

    def load(self, classes: int) -> tuple[list[ServerMemory], TierMemory | None]:
        """What an earlier process has left and is not too old; nothing where it can't be read."""
        now = self._times.now()
        try:
            self._store.claim(now)
            if not self._store.writing:
                self._store.load(now)
        except OSError as fault:
            self._fault(str(self._name), f"unwritable: {fault.strerror}")
            self._store.load(now)
        return self._fresh(self._store.state, classes, now)

    def _fresh(self, state: State, classes: int, now: float) -> tuple[list[ServerMemory], TierMemory | None]:
        servers: list[ServerMemory] = []
        tier = None
        for (kind, key), entry in state.items():
            if abs(now - entry.at) > AGES.get(kind, 0.0):  # from the future is no better than too old
                continue
            try:
                if kind == "server":
                    servers.append(_server(key, entry.at, entry.value))
                elif kind == "tier":
                    tier = _tier(entry.value, classes)
                elif kind == "incarnation":
                    self._incarnation = self._told_incarnation = int(entry.value)
            except (ValueError, TypeError):
                self._fault(kind, "shape")
        self.counters["restored"] = len(servers)
        log.info("state.restored", node=self._name, servers=len(servers), tier=tier is not None,
                 incarnation=self._incarnation, writing=self._store.writing)
        return servers, tier

    @property
    def incarnation(self) -> int:
        """The membership incarnation that this name had last."""
        return self._incarnation

    def open(
        self, balancer: Balancer, clock: Callable[[], float], incarnation: Callable[[], int],
        executor: Executor,
    ) -> None:
        """Keep what this module learns from now on; `clock` is the one that it is driven by."""
        self._file_executor = executor
        self._task = asyncio.get_running_loop().create_task(self._run(balancer, clock, incarnation))

    async def _run(
        self, balancer: Balancer, clock: Callable[[], float], incarnation: Callable[[], int]
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(KEEP_EVERY)
            now = clock()
            batch: list[Row] = []
            if self._store.writing:
                batch = self._batch(now, balancer, incarnation())
            try:
                wrote = await loop.run_in_executor(self._file_executor, self._write, batch)
            except Exception as fault:  # Guards later batches: whatever it is, the next one is tried
                self.counters["write_errors"] += 1
                if not self._failing:  # one line a spell
                    log.error("state.write_error", node=self._name, error=str(fault))
                self._failing = True
                self._forget_told()
                continue
            if batch:
                self._failing = False
                self.counters["batches"] += wrote
                self.counters["entries"] += len(batch)

    def _forget_told(self) -> None:
        """Nothing of the last batch is on the disk: all of it again, once it can be written."""
        self._since = 0.0
        self._tier = None
        self._told_incarnation = NEVER_TOLD

    def _batch(self, now: float, balancer: Balancer, incarnation: int) -> list[Row]:
        """What has changed since the last batch."""
        servers, tier = balancer.learned(now, self._since)
        self._since = now
        at = self._times.now()
        batch: list[Row] = [
            ("server", server_name(row.server), at, [
                row.started, row.baseline, row.current, row.latency, row.requests, row.accepts, row.failures
            ]) for row in servers
        ]
        if tier != self._tier:
            self._tier = tier
            figures = [tier.pooled, list(tier.class_latency), tier.pace, tier.paced, list(tier.rates)]
            batch.append(("tier", "tier", at, figures))
        if incarnation != self._told_incarnation:
            self._told_incarnation = incarnation
            batch.append(("incarnation", "self", at, incarnation))
        return batch

    def _write(self, batch: list[Row]) -> int:
        """In the executor's thread: add a batch, or try to become the writer."""
        if not self._store.writing:
            self._store.claim(self._times.now())
        elif batch:
            self._store.append(batch)
            return 1
        return 0

    def figures(self) -> list[str]:
        """The figures, as lines of the operators' telemetry."""
        lines = [f"state.{name}={count}" for name, count in self.counters.items()]
        return [*lines, f"state.writing={int(self._store.writing)}"]

    async def close(self) -> None:
        """Let go of the lock, once what is being written is on the disk: the next process writes."""
        if self._task is not None:
            self._task.cancel()
        if self._file_executor is None:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(self._file_executor, self._store.close)
        except OSError as fault:  # Guards the end: the lock goes with the process
            log.error("state.write_error", node=self._name, error=str(fault))

    def _fault(self, file: str, word: str) -> None:
        self.counters["faults"] += 1
        log.warning("state.fault", node=self._name, file=file, reason=word)


def _server(name: str, at: float, value: Any) -> ServerMemory:
    started, baseline, current, latency, *counts = value
    times = [float(figure) for figure in (started, baseline, current, latency)]
    requests, accepts, failures = (int(count) for count in counts)
    if min(*times, requests, accepts, failures) < 0 or max(times[1:]) > 3600.0:
        raise ValueError("a figure is out of bounds")
    return ServerMemory(
        server_id(name), at, times[0], times[1], times[2], times[3], requests, accepts, failures
    )


def _tier(value: Any, classes: int) -> TierMemory:
    pooled, latencies, pace, paced, rates = value
    found = TierMemory(float(pooled), tuple(map(float, latencies)), float(pace), int(paced),
                       tuple(map(float, rates)))
    least = min(found.pooled, found.pace, *found.class_latency, *found.rates)
    if len(found.class_latency) != classes or not least >= 0.0:
        raise ValueError("the classes are others")
    return found
