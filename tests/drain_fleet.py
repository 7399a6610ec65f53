"""Many real proxy processes under faults of discovery, held to the rule on drains.

    PYTHONPATH=. python tests/drain_fleet.py --processes 200 --seed 1 --play ended --play restarted

Each play starts the processes, lets a fault happen while servers begin to drain, and prints the attempts that
break the rule, by what tells the change (`drain_rule`). The draws are the seed's; what real processes make
of them is not, so a play is repeated rather than replayed. Nothing is judged: it prints what it found.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import drain_rule

from lugspur.lab.arrivals import Arrival, Harvest, Plan, Traffic
from lugspur.lab.crowded import QUICK, CrowdedDiscovery, Interval
from lugspur.lab.fleet import Fleet, Node

GRACE = 1.5  # seconds; `DrainGrace` of the fleet's settings
SERVERS = 24
SERVER_LATENCY = 0.005
START_TOGETHER = 10  # processes, so that a start leaves the machine to others
LOAD_FIRST = 2.0  # seconds of load before the fault
READY_LOOK = 0.25  # seconds between looks whether a restarted process is ready
READY_MOST = 30.0
RUN_MOST = 180.0  # seconds that a play may take with its start
HALF_WRITTEN = 0.3  # seconds for which a configuration file stays so


@dataclass(slots=True)
class Life:
    """One process under a proxy's name."""

    name: str
    started: float
    ended: float = math.inf
    ready: float = math.inf


@dataclass(slots=True)
class Result:
    """What a play has shown."""

    play: str
    seed: int
    processes: int
    violations: list[drain_rule.Violation]
    attempts: int
    outcomes: Counter[str]
    away: Counter[str]  # the outcomes of requests sent while discovery was away
    ready: list[float]  # seconds that restarted processes took
    calls: str
    untold: int  # pairs of a process and a drain that no message brought before the end


def discovery_host(node: Node) -> str:
    """Where discovery listens for this process: not at its own host, whose free ports are spoken for."""
    first, second, *rest = node.host.split(".")
    return ".".join([first, str(int(second) + 64), *rest])


class Stage:
    """The processes, discovery and the load of one play, and what may be done to them."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.names = list(fleet.nodes)
        self.random = Random(seed)
        hosts = {name: discovery_host(node) for name, node in fleet.nodes.items()}
        self.discovery = CrowdedDiscovery(hosts, seed)
        self.backends, self.load = Traffic(), Traffic()
        self.lives: list[Life] = []
        self.configured: dict[str, list[tuple[float, int]]] = {name: [] for name in self.names}
        self.sighups: dict[str, list[float]] = {name: [] for name in self.names}
        self.away: list[Interval] = []
        self._servers: list[dict[str, Any]] = []
        self._in_service: list[int] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    # ---- before and after ----------------------------------------------------------------------

    async def open(self, rate: float = 0.0, seconds: float = 0.0) -> None:
        """Everything up, and all processes ready; a load of so many requests a second for each."""
        proxies = [node.listen for node in self.fleet.nodes.values()]
        if rate:
            await self.load.open(Plan(proxies=proxies, rate=rate * len(proxies), seconds=seconds))
        await self.backends.open(Plan(backends=SERVERS, latency=SERVER_LATENCY))
        for number, (host, port) in enumerate(self.backends.addresses):
            self._servers.append({
                "name": f"s-{number}", "address": f"{host}:{port}", "zone": "a", "type": "k", "group": 0,
                "status": "in_service", "weight": 1.0, "since_ms": 0})
        self._in_service = list(range(SERVERS))
        await self.discovery.open()
        await self.discovery.change(*self._servers)
        self.fleet.known = self.discovery.whole()
        for name in self.names:
            self._configure(name, 0)
        for place in range(0, len(self.names), START_TOGETHER):
            batch = self.names[place:place + START_TOGETHER]
            for name in batch:
                await self._start(name)
            await asyncio.gather(*map(self.fleet.ready, batch))

    async def close(self) -> None:
        """End what the stage itself has started; the fleet ends its processes."""
        for task in tuple(self._tasks):
            task.cancel()
        await self.load.close()
        await self.backends.close()
        await self.discovery.close()

    def _configure(self, name: str, site: int) -> None:
        host, port = self.discovery.sites[site].addresses[name]
        self.fleet.nodes[name].more["discovery"] = f"{host}:{port}"
        self.configured[name].append((time.monotonic(), site))

    async def _start(self, name: str) -> Life:
        life = Life(name, time.monotonic())
        self.lives.append(life)
        await self.fleet.start(name)
        return life

    def beside(self, work: Coroutine[Any, Any, None]) -> None:
        """Do this beside what else is done."""
        self._tasks.add(asyncio.create_task(work))

    def later(self, seconds: float, then: Callable[[], object]) -> None:
        """Do this after so many seconds, beside what else is done."""
        async def wait() -> None:
            await asyncio.sleep(seconds)
            then()

        self.beside(wait())

    # ---- discovery and servers -----------------------------------------------------------------

    def crowd(self, seconds: float) -> None:
        """From here on discovery takes so long to serve one call of every process."""
        each = seconds / len(self.names)
        self.discovery.turns.service_time = (0.8 * each, 1.2 * each)

    async def drain(self, count: int) -> None:
        """So many servers, drawn, begin to drain; they go on to answer."""
        for _ in range(count):
            number = self._in_service.pop(self.random.randrange(len(self._in_service)))
            await self.discovery.change(self._servers[number] | {"status": "terminating"})

    async def drain_over(self, count: int, seconds: float) -> None:
        """So many servers, one after the other, over so many seconds."""
        for _ in range(count):
            await self.drain(1)
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * seconds / count)

    def gone(self, site: int = 0) -> None:
        """Discovery can't be reached here from now on."""
        self.discovery.sites[site].close()
        self.away.append(Interval(time.monotonic()))

    async def back(self, site: int = 0) -> None:
        """It can be reached again."""
        await self.discovery.sites[site].open()
        self.away[-1].end = time.monotonic()

    # ---- processes -----------------------------------------------------------------------------

    def draw(self, part: float) -> list[str]:
        """This part of the processes."""
        return self.random.sample(self.names, max(1, round(part * len(self.names))))

    async def kill(self, names: Iterable[str]) -> None:
        """SIGKILL for all of them."""
        names = list(names)
        await asyncio.gather(*map(self.fleet.kill, names))
        now = time.monotonic()
        for life in self.lives:
            if life.name in names and life.ended == math.inf:
                life.ended = now

    async def restart(self, names: Iterable[str]) -> None:
        """Start them again at once, with the list that was known before any drain."""
        for life in [await self._start(name) for name in names]:
            self.beside(self._look_ready(life))

    async def _look_ready(self, life: Life) -> None:
        while time.monotonic() < life.started + READY_MOST:
            status, _ = await self.fleet.call(life.name, "GET", "/api/ready")
            if status == 200:
                life.ready = time.monotonic()
                return
            await asyncio.sleep(READY_LOOK)

    async def pause(self, names: Iterable[str], seconds: float) -> None:
        """SIGSTOP, and SIGCONT so much later."""
        names = list(names)
        for name in names:
            self.fleet.pause(name)
        await asyncio.sleep(seconds)
        for name in names:
            self.fleet.resume(name)

    def move(self, name: str, site: int, broken_file: bool = False) -> None:
        """A new address of discovery with SIGHUP; with a broken file it is whole only a moment later."""
        node = self.fleet.nodes[name]
        self._configure(name, site)
        whole = self.fleet.configuration(name)
        node.config.write_bytes(whole[:len(whole) // 2] if broken_file else whole)
        if broken_file:
            self.later(HALF_WRITTEN, lambda: node.config.write_bytes(whole))
        self.sighups[name].append(time.monotonic())
        self.fleet.reload(name)

    async def arrivals(self) -> list[Arrival]:
        """All requests that came to the backends; they answer no more."""
        self.backends.begin()
        return (await self.backends.harvest()).arrivals

    # ---- the facts -----------------------------------------------------------------------------

    def processes(self) -> list[drain_rule.Process]:
        """What happened to each process."""
        return [self._facts(number, life) for number, life in enumerate(self.lives)]

    def _facts(self, number: int, life: Life) -> drain_rule.Process:
        record = self.discovery.record
        known = self.fleet.known
        names = frozenset(row["name"] for row in known["endpoints"])
        messages = [drain_rule.Message(life.started, known["index"], False, names)]
        messages += [
            drain_rule.Message(row.at, row.index, row.whole, row.in_service)
            for row in record.written.get(life.name, []) if life.started <= row.at < life.ended
        ]
        return drain_rule.Process(
            f"{life.name}#{number}", life.started, reachable=list(self._reachable(life.name)),
            messages=messages, silences=[
                drain_rule.Silence(row.start, row.end) for row in record.silences.get(life.name, [])
                if life.started <= row.start < life.ended
            ], sighups=[at for at in self.sighups[life.name] if life.started <= at < life.ended],
        )

    def _reachable(self, name: str) -> Iterable[drain_rule.Span]:
        """When the discovery that it was configured with could be reached."""
        periods = self.configured[name]
        for place, (begun, site) in enumerate(periods):
            ended = periods[place + 1][0] if place + 1 < len(periods) else math.inf
            for interval in self.discovery.sites[site].reachable:
                start, end = max(begun, interval.start), min(ended, interval.end)
                if start < end:
                    yield drain_rule.Span(start, end)

    def changes(self) -> list[drain_rule.Change]:
        """What became of the servers."""
        return [drain_rule.Change(row.at, row.index, row.name, row.status == "in_service")
                for row in self.discovery.record.changes]

    def attempts(self, arrivals: Iterable[Arrival]) -> list[drain_rule.Attempt]:
        """Every first byte, by the process that wrote it."""
        lives: dict[str, list[tuple[int, Life]]] = {name: [] for name in self.names}
        for number, life in enumerate(self.lives):
            lives[life.name].append((number, life))
        found = []
        for row in arrivals:
            name = self.names[row.proxy]
            number = max(number for number, life in lives[name] if life.started <= row.at)
            found.append(drain_rule.Attempt(row.at, f"{name}#{number}", f"s-{row.backend}"))
        return found

    def untold(self) -> int:
        """Drains that no message brought to a process that was running at the end."""
        drains = [row.index for row in self.discovery.record.changes if row.status != "in_service"]
        heard = {life.name: 0 for life in self.lives if life.ended == math.inf}
        starts = {life.name: life.started for life in self.lives if life.ended == math.inf}
        for name, rows in self.discovery.record.written.items():
            heard[name] = max((row.index for row in rows if row.at >= starts[name]), default=0)
        return sum(index > most for most in heard.values() for index in drains)


# ---- the plays -------------------------------------------------------------------------------------

Action = Callable[[Stage], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Play:
    """A fault and the drains around it; it takes so many seconds."""

    what: str
    seconds: float
    act: Action


async def ended(stage: Stage) -> None:
    stage.crowd(5.0)
    stage.discovery.sites[0].end_watches()
    await asyncio.sleep(stage.random.uniform(0.05, 0.3))
    await stage.drain_over(8, 4.0)


async def ended_whole(stage: Stage) -> None:
    stage.discovery.omits_draining = stage.discovery.always_whole = True
    await ended(stage)


async def silent(stage: Stage) -> None:
    stage.crowd(5.0)
    stage.discovery.sites[0].silence()
    await asyncio.sleep(stage.random.uniform(0.05, 0.3))
    await stage.drain_over(8, 4.0)


async def limited(stage: Stage) -> None:
    """As `ended`; calls that have waited for 4 s end in 503."""
    stage.discovery.wait_most = 4.0
    await ended(stage)


async def restarted(stage: Stage) -> None:
    await stage.drain(6)
    await asyncio.sleep(2.0)
    stage.crowd(6.0)
    names = stage.draw(0.7)
    await stage.kill(names)
    await stage.restart(names)
    await asyncio.sleep(1.0)
    await stage.drain_over(4, 4.0)


async def down(stage: Stage) -> None:
    stage.gone()
    await asyncio.sleep(stage.random.uniform(2.0, 4.0))
    await stage.drain(4)
    await asyncio.sleep(4.0)
    stage.crowd(5.0)
    await stage.back()
    await asyncio.sleep(0.2)
    await stage.drain_over(4, 3.0)


async def herd(stage: Stage) -> None:
    """Discovery down, seven in ten killed meanwhile, and a crowd at its return."""
    await stage.drain(3)
    await asyncio.sleep(1.0)
    stage.gone()
    await asyncio.sleep(3.0)
    await stage.drain(3)
    names = stage.draw(0.7)
    await stage.kill(names)
    await stage.restart(names)
    await asyncio.sleep(4.0)
    stage.crowd(5.0)
    await stage.back()
    await asyncio.sleep(0.2)
    await stage.drain_over(3, 3.0)


async def unavailable(stage: Stage) -> None:
    """Discovery answers 503 for 8 s."""
    site = stage.discovery.sites[0]
    stage.away.append(Interval(time.monotonic()))
    site.answer_unavailable()
    await asyncio.sleep(4.0)
    await stage.drain(4)
    await asyncio.sleep(4.0)
    stage.crowd(5.0)
    site.recover()
    stage.away[-1].end = time.monotonic()
    await stage.drain_over(4, 3.0)


async def half_open(stage: Stage) -> None:
    """Discovery accepts and says nothing for 6 s."""
    site = stage.discovery.sites[0]
    stage.away.append(Interval(time.monotonic()))
    site.fall_mute()
    await asyncio.sleep(3.0)
    await stage.drain(4)
    await asyncio.sleep(3.0)
    stage.crowd(4.0)
    site.recover()
    stage.away[-1].end = time.monotonic()
    await stage.drain_over(4, 3.0)


async def moved(stage: Stage, broken_part: float = 0.0, crowd: float = 0.0) -> None:
    """Discovery moves: SIGHUP for all, and the old site is gone a moment later."""
    broken = set(stage.draw(broken_part)) if broken_part else set()
    if crowd:
        stage.crowd(crowd)
    for name in stage.names:
        stage.move(name, 1, name in broken)
    stage.later(0.1, stage.discovery.sites[0].close)
    await asyncio.sleep(stage.random.uniform(0.2, 1.0))
    await stage.drain_over(8, 4.0)


async def broken_file(stage: Stage) -> None:
    await moved(stage, broken_part=0.3)


async def moved_crowded(stage: Stage) -> None:
    await moved(stage, crowd=3.5)


async def moved_and_back(stage: Stage) -> None:
    """To an address where nobody is, and back, in quick succession, while servers drain."""
    stage.discovery.sites[1].close()
    for _ in range(3):
        for name in stage.names:
            stage.move(name, 1)
        await asyncio.sleep(stage.random.uniform(0.1, 0.4))
        for name in stage.names:
            stage.move(name, 0)
        await stage.drain(2)
        await asyncio.sleep(stage.random.uniform(0.1, 0.4))


async def paused(stage: Stage) -> None:
    """A third of the processes stands still for 3 s, and all for 0.15 s, while drains are told."""
    for _ in range(3):
        stage.beside(stage.pause(stage.draw(0.33), 3.0))
        await asyncio.sleep(stage.random.uniform(0.1, 0.5))
        await stage.drain(2)
        await asyncio.sleep(3.2)
        stage.beside(stage.pause(stage.names, 0.15))
        await asyncio.sleep(0.05)
        await stage.drain(1)
        await asyncio.sleep(0.5)


async def cut(stage: Stage) -> None:
    """Watches end again and again, and half of the first answers are cut short."""
    stage.discovery.cut_answers = 0.5
    stage.crowd(2.0)
    for _ in range(4):
        stage.discovery.sites[0].end_watches()
        await asyncio.sleep(0.1)
        await stage.drain(2)
        await asyncio.sleep(1.5)


async def calm(stage: Stage) -> None:
    """No fault: every drain is told at once."""
    await stage.drain_over(8, 4.0)


async def restart_all(stage: Stage) -> None:
    """Kill half of the processes and start them again; the others serve on."""
    names = stage.draw(0.5)
    await stage.kill(names)
    await stage.restart(names)


async def ready_up(stage: Stage) -> None:
    await restart_all(stage)


async def ready_slow(stage: Stage) -> None:
    stage.crowd(6.0)
    await restart_all(stage)


async def ready_refused(stage: Stage) -> None:
    stage.gone()
    await restart_all(stage)
    await asyncio.sleep(10.0)
    await stage.back()


async def ready_unavailable(stage: Stage) -> None:
    stage.discovery.sites[0].answer_unavailable()
    stage.away.append(Interval(time.monotonic()))
    await restart_all(stage)
    await asyncio.sleep(10.0)
    stage.discovery.sites[0].recover()
    stage.away[-1].end = time.monotonic()


async def ready_mute(stage: Stage) -> None:
    stage.discovery.sites[0].fall_mute()
    stage.away.append(Interval(time.monotonic()))
    await restart_all(stage)
    await asyncio.sleep(10.0)
    stage.discovery.sites[0].recover()
    stage.away[-1].end = time.monotonic()


PLAYS = {
    "calm": Play("no fault", 12.0, calm),
    "ended": Play("watches end, discovery crowded (5 s for all)", 26.0, ended),
    "ended_whole": Play("the same, whole lists that leave out what drains", 26.0, ended_whole),
    "silent": Play("watches fall silent, discovery crowded (5 s)", 26.0, silent),
    "limited": Play("watches end, crowded (5 s), 503 after 4 s in turn", 26.0, limited),
    "restarted": Play("7 in 10 killed and restarted, crowded (6 s)", 30.0, restarted),
    "down": Play("discovery refuses for 8 s, crowded at its return (5 s)", 32.0, down),
    "unavailable": Play("discovery answers 503 for 8 s, crowded then (5 s)", 32.0, unavailable),
    "half_open": Play("discovery accepts and is mute for 6 s, crowded then (4 s)", 32.0, half_open),
    "herd": Play("down 8 s, 7 in 10 restarted meanwhile, crowded (5 s)", 36.0, herd),
    "moved": Play("SIGHUP to another address", 22.0, moved),
    "moved_crowded": Play("SIGHUP to another address, crowded (3.5 s)", 24.0, moved_crowded),
    "broken_file": Play("SIGHUP, 3 in 10 files half written for 0.3 s", 24.0, broken_file),
    "moved_and_back": Play("SIGHUPs to a dead address and back", 20.0, moved_and_back),
    "paused": Play("SIGSTOP for 3 s and 0.15 s while drains are told", 24.0, paused),
    "cut": Play("watches end, half of the first answers cut, crowded (2 s)", 24.0, cut),
    "ready_up": Play("half restarted, discovery up", 8.0, ready_up),
    "ready_slow": Play("half restarted, discovery slow (6 s for all)", 12.0, ready_slow),
    "ready_refused": Play("half restarted, discovery refuses for 10 s", 15.0, ready_refused),
    "ready_unavailable": Play("half restarted, discovery answers 503 for 10 s", 15.0, ready_unavailable),
    "ready_mute": Play("half restarted, discovery accepts and is mute for 10 s", 15.0, ready_mute),
}


async def run(play: str, processes: int, seed: int, rate: float, folder: Path) -> Result:
    """One play from the start to the end of all its processes."""
    chosen = PLAYS[play]
    async with asyncio.timeout(RUN_MOST), AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(Fleet(folder, processes, seed=seed, peers=False))
        stage = Stage(fleet, seed)
        stack.push_async_callback(stage.close)
        await stage.open(rate, LOAD_FIRST + chosen.seconds)
        stage.load.begin()
        await asyncio.sleep(LOAD_FIRST)
        await chosen.act(stage)
        stage.discovery.turns.service_time = max(stage.discovery.turns.service_time, QUICK)
        outcomes = (await stage.load.harvest()).outcomes
        arrivals = await stage.arrivals()
        return judge(stage, play, seed, Harvest(arrivals, outcomes))


def judge(stage: Stage, play: str, seed: int, harvest: Harvest) -> Result:
    """Hold what has happened to the rule."""
    attempts = stage.attempts(harvest.arrivals)
    outcomes: Counter[str] = Counter()
    away: Counter[str] = Counter()
    for row in harvest.outcomes:
        kind = {200: "served", 503: "refused", 429: "refused", 0: "none"}.get(row.status, "failed")
        outcomes[kind] += 1
        if any(interval.start <= row.at < interval.end for interval in stage.away):
            away[kind] += 1
    record = stage.discovery.record
    return Result(
        play, seed, len(stage.names),
        drain_rule.violations(stage.changes(), stage.processes(), attempts, drain_rule.Rule(GRACE)),
        len(attempts), outcomes, away,
        [life.ready - life.started for life in stage.lives[len(stage.names):]],
        f"{record.calls} calls, {sum(record.turns)} served, {record.turns.count(False)} after their caller "
        f"had gone, {record.overdue} overdue", stage.untold(),
    )


# ---- the command -----------------------------------------------------------------------------------

def describe(result: Result) -> str:
    """A few lines on a play."""
    lines = [f"{result.play} seed {result.seed}, {result.processes} processes: "
             f"{PLAYS[result.play].what}: {len(result.violations)} breaks in {result.attempts} attempts; "
             f"{result.calls}; {result.untold} drains never told"]
    by_line: dict[str, list[drain_rule.Violation]] = {}
    for violation in result.violations:
        by_line.setdefault(violation.told.line, []).append(violation)
    for line, rows in sorted(by_line.items()):
        late = [row.attempt.at - row.told.at - GRACE for row in rows]
        who = Counter(row.attempt.process for row in rows)
        worst = ", ".join(name for name, _ in who.most_common(5))
        lines.append(f"  told by {line}: {len(rows)} breaks, {len(who)} processes ({worst}, ...), late by "
                     f"{min(late):.2f} to {max(late):.2f} s (median {statistics.median(late):.2f})")
    lines.append(f"  requests: {dict(result.outcomes)}; while discovery was away: {dict(result.away)}")
    if result.ready:
        ready = sorted(result.ready)
        lines.append(f"  ready after a restart: median {statistics.median(ready):.2f} s, nine in ten "
                     f"{ready[math.ceil(0.9 * len(ready)) - 1]:.2f} s, all {ready[-1]:.2f} s")
    return "\n".join(lines)


async def command(arguments: argparse.Namespace) -> None:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for play in arguments.play or list(PLAYS):
        for seed in arguments.seed or [1]:
            with tempfile.TemporaryDirectory(prefix="drain-fleet-") as folder:
                result = await run(play, arguments.processes, seed, arguments.rate, Path(folder))
            print(describe(result), flush=True)


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="Real proxy processes under faults of discovery.")
    parser.add_argument("--processes", type=int, default=200)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--rate", type=float, default=3.0, help="requests a second for each process")
    parser.add_argument("--play", action="append", choices=list(PLAYS))
    asyncio.run(command(parser.parse_args(words)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
