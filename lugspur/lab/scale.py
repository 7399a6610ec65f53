"""A scale run: hollow proxies, control machines and real proxies, faults in their order, and their figures.

The result is plain JSON; all times are the loop's (`dilation`):

- `shape`: as read, `control`, `members`, `seed`, `slow`; `processors`: how many the run could use.
- `joined`: whether all knew all within the shape's `join`, and `joined_after` seconds (null: not).
- `phases`: in order, `join`, `steady`, then each fault's begin and end. Each has `label`, `at` (seconds since
  the run began), `figures` (see `measure`), `peak` (the most of any second, of a hollow proxy: `sent_bytes`,
  `received_bytes`, `cpu`; of a control machine: `discovery_cpu`), `news`, `false` and `void`.
- `news` of a phase, by kind: `expected` and `told` pieces (one for each member and what it is told of), and
  the time from the phase's begin until a member had it: `p50`, `p99`, `last` in seconds, `all` if none is
  missing. Kinds: dead, alive, left, suspect, version (of discovery's list), following (a watch), verdict,
  complete (a member list, at the join).
- `false`: news of members that the fault does not concern, by kind: `dead` are false deaths.
- `void`: why a phase's figures are not to be read as the product's; empty where the lab kept up.
- `fault`: why the run ended early, or "".
- `logic`: at the end, see `rack.Proxies.check`; `series`: by second, means of a hollow proxy.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lugspur.lab import dilation
from lugspur.lab.crew import ANSWER_MOST, resident
from lugspur.lab.dilation import now
from lugspur.lab.load import Load, outcomes
from lugspur.lab.measure import Snapshot, between, snapshot, void
from lugspur.lab.shape import Fault, Shape
from lugspur.lab.tap import TIMES, Lateness
from lugspur.lab.town import Town

LOOK_EVERY = 1.0  # seconds between the samples of the series
LOOK_JOINED = 0.25  # seconds between looks whether all know all
Phase = dict[str, Any]


class Run:
    """One run; `play` once."""

    def __init__(self, shape: Shape, town: Town, progress: Callable[[str, float], None]) -> None:
        self.shape, self.town, self._progress = shape, town, progress
        self.phases: list[Phase] = []
        self.series: list[dict[str, float]] = []
        self._begun = now()
        self._late = Lateness()
        self._base: dict[str, int] = {}
        self._last = Snapshot()
        self._sampling = asyncio.Lock()

    async def play(self) -> dict[str, Any]:
        """Join, hold, fault; the result."""
        shape, town = self.shape, self.town
        self._base = {rack.name: resident(rack.pid) for rack in town.racks}
        watching = [asyncio.create_task(self._late.watch()), asyncio.create_task(self._sample())]
        joined, logic, fault = None, {}, ""
        try:
            at = await town.mark(None)
            await self._forget_lateness()
            before = await snapshot(town)
            joined = await self._join()
            await self._close("join", at, before, None, False)
            await asyncio.sleep(shape.settle)
            at = await town.mark(None)
            await self._forget_lateness()
            before = await snapshot(town)
            await asyncio.sleep(shape.steady)
            await self._close("steady", at, before, None, False)
            await self._faults()
            logic = await town.check()
        except TimeoutError:
            fault = f"a process did not answer within {ANSWER_MOST:.0f} s: the run was ended"
        finally:
            for task in watching:
                task.cancel()
        return {
            "shape": dataclasses.asdict(shape), "name": shape.name, "what": shape.what,
            "control": shape.control, "slow": shape.slow, "members": shape.members,
            "real": shape.real, "seed": shape.seed,
            "processors": len(os.sched_getaffinity(0)), "racks": len(town.racks),
            "joined": joined is not None, "joined_after": joined, "phases": self.phases, "logic": logic,
            "series": self.series, "fault": fault,
        }

    async def _join(self) -> float | None:
        """Start all; how many seconds until all know all and follow discovery, None if it took too long."""
        begun = now()
        starting = asyncio.create_task(self.town.join())
        try:
            async with asyncio.timeout(self.shape.spread + self.shape.join):
                await starting
                while True:
                    rows = await self.town.each("sample")
                    if all(row["lacking"] <= 0 and row["following"] == row["up"] for row in rows):
                        return round(now() - begun, 3)
                    await asyncio.sleep(LOOK_JOINED)
        except TimeoutError:
            return None
        finally:
            starting.cancel()

    async def _faults(self) -> None:
        """Begin and end each at its time, in order; a phase lasts until the next one begins."""
        faults = self.shape.faults
        events = sorted(
            [(fault.at, n, False) for n, fault in enumerate(faults)]
            + [(fault.at + fault.lasts, n, True) for n, fault in enumerate(faults) if fault.ends])
        begun = now()
        over = max((fault.at + fault.lasts + fault.after for fault in faults), default=0.0)
        for number, (due, n, end) in enumerate(events):
            await asyncio.sleep(begun + due - now())
            fault = faults[n]
            await self._forget_lateness()
            before = await snapshot(self.town)
            at = await self.town.mark(fault)
            async with self._sampling:
                await (self.town.end(fault) if end else self.town.begin(fault))
            until = events[number + 1][0] if number + 1 < len(events) else over
            await asyncio.sleep(begun + until - now())
            await self._close(f"{fault.kind}: end" if end else fault.kind, at, before, fault, end)

    async def _forget_lateness(self) -> None:
        """What was late before a phase is none of its own."""
        self._late.take()
        await asyncio.gather(*[child.ask("lateness") for child in self.town.children
                               if child.running and not child.paused])

    async def _close(
        self, label: str, at: float, before: Snapshot, fault: Fault | None, end: bool
    ) -> None:
        """A phase is over: its figures, its news, and whether they are void."""
        after = await snapshot(self.town)
        told, false = await self._news()
        expected = self.town.expected(fault, end) if fault is not None else {}
        if label == "join":
            expected = self.town.expected_at_join()
        seconds = [row for row in self.series if at - self._begun <= row["at"] <= after.at - self._begun]
        self.phases.append({
            "label": label, "at": round(at - self._begun, 3),
            "figures": between(before, after, self._base),
            "peak": {key: max((row[key] for row in seconds if key in row), default=0.0)
                     for key in ("sent_bytes", "received_bytes", "cpu", "discovery_cpu")},
            "news": {kind: _spread(told.get(kind), expected.get(kind, 0)) for kind in {*told, *expected}},
            "false": false, "void": await void(self.town, self._late, before, after),
        })
        self._progress(label, after.at - self._begun)

    async def _news(self) -> tuple[dict[str, tuple[Any, int]], Counter[str]]:
        """What the racks have heard since the mark: histograms and the last, in ms; and what was false."""
        merged: dict[str, tuple[Any, int]] = {}
        false: Counter[str] = Counter()
        for found in await self.town.each("news"):
            false.update(found["false"])
            for kind, (encoded, last, _) in found["news"].items():
                histogram, most = merged.get(kind) or (HdrHistogram(*TIMES), 0)
                histogram.decode_and_add(encoded)
                merged[kind] = histogram, max(most, last)
        return merged, false

    async def _sample(self) -> None:
        """The series: a row a second, of differences."""
        last: Snapshot | None = None
        while True:
            async with self._sampling:  # no process is asked while a fault takes it away
                now = await snapshot(self.town)
            await asyncio.sleep(LOOK_EVERY)
            if last is None:
                last = now
                continue
            figures = between(last, now, self._base)
            row = {"at": round(now.at - self._begun, 3)}
            hollow = figures.get("hollow", {})
            row |= {key: round(hollow[key], 6) for key in ("members", "sent_bytes", "received_bytes", "cpu")
                    if key in hollow}
            if "discovery" in figures:
                row["discovery_cpu"] = round(figures["discovery"]["cpu_worst"], 6)
            self.series.append(row)
            self._progress("", now.at - self._begun)
            last = now


def _spread(told: tuple[Any, int] | None, expected: int) -> dict[str, Any]:
    """A kind of news: how much of it, and how long it took."""
    if told is None:
        return {"expected": expected, "told": 0, "all": expected == 0}
    histogram, last = told
    count = histogram.get_total_count()
    return {"expected": expected, "told": count, "all": count >= expected,
            "p50": histogram.get_value_at_percentile(50.0) / 1000.0,
            "p99": histogram.get_value_at_percentile(99.0) / 1000.0, "last": last / 1000.0}


def run(shape: Shape, progress: Callable[[str, float], None] = lambda *_: None) -> dict[str, Any]:
    """`play`, in a loop as slow as the shape says."""
    return dilation.run(play(shape, progress), shape.slow)


async def play(shape: Shape, progress: Callable[[str, float], None] = lambda *_: None) -> dict[str, Any]:
    """Play a shape; its result. `progress` hears each phase that is over (or ""), and the seconds so far."""
    with tempfile.TemporaryDirectory(prefix="sloewheel-scale-") as folder:
        async with AsyncExitStack() as stack:
            town = Town(shape, Path(folder))
            stack.push_async_callback(town.close)
            await town.open()
            load = None
            if shape.real:
                registry, address = await stack.enter_async_context(town.listed())
                fleet = await stack.enter_async_context(town.fleet(registry, address))
                await town.join_real(fleet)
                for name in fleet.nodes:
                    await fleet.ready(name)
                if shape.real_rate > 0.0:
                    load = Load([node.listen for node in fleet.nodes.values()])
                    stack.callback(load.close)
                    playing = asyncio.create_task(_keep_up(load, shape))
                    stack.callback(playing.cancel)
            result = await Run(shape, town, progress).play()
            if load is not None:
                result["load"] = dict(outcomes(load.answers))
    return result


async def _keep_up(load: Load, shape: Shape) -> None:
    """The load on the real proxies, second by second until the run's longest time is over."""
    rate = shape.real_rate * shape.real
    for _ in range(int(shape.seconds) + 60):
        await load.play(max(1, round(rate)), rate)
