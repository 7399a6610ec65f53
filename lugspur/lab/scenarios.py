"""Named fault experiments: a fleet with every part on, a load, one fault and its end, and what was seen.

A run is three phases of equal length (before, during, after), bounded by their length; everything that it
starts ends with it. The result is plain JSON: outcomes by second, served requests by zone, member states
over time.
"""

from __future__ import annotations

import asyncio
import math
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lugspur.lab.backends import Backend
from lugspur.lab.fleet import Fleet
from lugspur.lab.load import Load
from lugspur.lab.registry import Registry, listed

ZONES = ("a", "b", "c")
RATE = 200.0  # requests a second
EACH = 4  # backends in a zone
LOOK_EVERY = 0.5
RULES = {"DrainGrace": 1.5, "ColdFrom": 0.2, "Cold": 3.0, "FallMultiple": 4.0, "TipAfter": 1.5}
PROCESSES_MOST, PHASE_MOST = 50, 60.0


@dataclass(slots=True)
class Town:
    """What a scenario acts on."""

    fleet: Fleet
    backends: list[Backend]
    registry: Registry

    def third(self) -> list[str]:
        """A third of the proxies, one at the least."""
        return list(self.fleet.nodes)[1::3] or list(self.fleet.nodes)

    def halves(self) -> tuple[list[str], list[str]]:
        """The proxies in two halves."""
        names = list(self.fleet.nodes)
        return names[:len(names) // 2], names[len(names) // 2:]


Act = Callable[[Town], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fault and its end."""

    what: str
    begin: Act
    end: Act


async def _kill(town: Town) -> None:
    await asyncio.gather(*map(town.fleet.kill, town.third()))


async def _start(town: Town) -> None:
    down = [name for name, node in town.fleet.nodes.items() if not node.running]
    await asyncio.gather(*map(town.fleet.start, down))


async def _pause(town: Town) -> None:
    for name in town.third():
        town.fleet.pause(name)


async def _resume(town: Town) -> None:
    for name, node in town.fleet.nodes.items():
        if node.paused:
            town.fleet.resume(name)


async def _split(town: Town) -> None:
    town.fleet.relay.partition(*town.halves())


async def _heal(town: Town) -> None:
    town.fleet.relay.heal()
    for one in town.backends:
        one.latency = 0.01


async def _lose_zone(town: Town) -> None:
    for one in town.backends:
        if one.zone == ZONES[0]:
            one.die()


async def _return_zone(town: Town) -> None:
    back = [one for one in town.backends if not one.up]
    for one in back:
        one.cold_for = RULES["Cold"]
        await one.start("127.0.0.1")
    await town.registry.change(*[one.entry() for one in back])


async def _restart_all(town: Town) -> None:
    await asyncio.gather(*map(town.fleet.kill, town.fleet.nodes))
    await _start(town)


async def _nothing(town: Town) -> None:
    pass


async def _lossy(town: Town) -> None:
    for link in town.fleet.relay.links():
        link.drop, link.delay, link.reorder = 0.2, (0.0, 0.05), 0.1
    for one in town.backends:
        one.latency = 0.05


SCENARIOS = {
    "kill": Scenario("a third of the proxies is killed, and started again", _kill, _start),
    "pause": Scenario("a third of the proxies stands still (SIGSTOP), and goes on", _pause, _resume),
    "partition": Scenario("the proxies are split in two halves, and healed", _split, _heal),
    "zone-loss": Scenario("all backends of a zone die, and come back cold", _lose_zone, _return_zone),
    "fleet-restart": Scenario("all proxies are killed and started together", _restart_all, _nothing),
    "loss-delay": Scenario("a fifth of the members' datagrams is lost, the rest and the backends are slow",
                           _lossy, _heal),
}


async def play(
    name: str, processes: int, seed: int, phase: float, progress: Callable[[float], None] = lambda _: None
) -> dict[str, Any]:
    """Play a scenario with phases of so many seconds; its result. `progress` hears the seconds that
    passed.
    """
    scenario = SCENARIOS[name]
    backends = [Backend(f"s-{zone}{n}", zone, latency=0.01) for zone in ZONES for n in range(EACH)]
    samples: list[dict[str, Any]] = []
    marks: list[tuple[float, str]] = []
    with tempfile.TemporaryDirectory(prefix="sloewheel-lab-") as folder:
        async with listed(backends) as (registry, address), Fleet(
            Path(folder), processes, seed=seed, period=0.3, zones=ZONES, known=registry.whole(),
            discovery=address, settings={"Rules": RULES},
            more={"locality": {"left_for": 4.0, "slow_start": 4.0}, "sharing": True, "subsetting": True,
                  "state_dir": str(Path(folder) / "state")},
        ) as fleet:
            await fleet.start_all()
            town = Town(fleet, backends, registry)
            load = Load([node.listen for node in fleet.nodes.values()])
            begun = time.monotonic()
            watching = asyncio.create_task(_watch(fleet, begun, samples, progress))
            try:
                playing = asyncio.create_task(load.play(int(3 * phase * RATE), RATE))
                await asyncio.sleep(phase)
                marks.append((time.monotonic() - begun, "fault"))
                await scenario.begin(town)
                await asyncio.sleep(phase)
                marks.append((time.monotonic() - begun, "end of fault"))
                await scenario.end(town)
                answers = await playing
            finally:
                watching.cancel()
                load.close()
    seconds = range(math.ceil(3 * phase))
    kinds = Counter((int(answer.at), answer.outcome) for answer in answers)
    zones = Counter((int(answer.at), answer.zone) for answer in answers if answer.zone)
    return {
        "scenario": name, "what": scenario.what, "processes": processes, "seed": seed, "phase": phase,
        "marks": marks, "requests": len(answers), "rate": RATE,
        "outcomes": {kind: [kinds[second, kind] for second in seconds]
                     for kind in ("served", "refused", "failed", "lost")},
        "zones": {zone: [zones[second, zone] for second in seconds] for zone in ZONES},
        "members": samples,
        "totals": dict(Counter(answer.outcome for answer in answers)),
    }


async def _watch(
    fleet: Fleet, begun: float, samples: list[dict[str, Any]], progress: Callable[[float], None]
) -> None:
    """How many member-list entries say what, at all proxies together."""
    while True:
        views = await fleet.views()
        at = time.monotonic() - begun
        found = Counter(str(row["state"]) for view in views.values() for row in view.values())
        samples.append({"at": round(at, 2), **found})
        progress(at)
        await asyncio.sleep(LOOK_EVERY)
