"""Ten to forty real processes at a time, under faults and hostile peers that overlap in time.

Each process has servers, registries and clients of its own, as in `soak.play`; what is drawn more is hostile
callers, answers that never end, registries that never end, and signals in series. `breaks` is the oracle.
"""

from __future__ import annotations

import asyncio
import random
import resource
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from hostile import callers

from soak.judge import breaks
from soak.play import PROGRAM, Attack, Plan, Soak, draw_plan

PROCESSES = (10, 40)  # of a seed, at the least and at the most
MEMORY_MB = 64
SERVES_FOR = (3.0, 6.0)  # seconds
STAGGER = 1.5  # seconds over which the processes start
DESCRIPTORS = 16_000
SIGNALS = ("HUP", "HUP broken", "HUP hostile", "STOP", "USR1", "USR2", "ALRM", "QUIT")
AT_END = (*SIGNALS, "TERM", "INT")
CALLS = (
    (30, callers.many_at_once), (30, callers.unfinished_head), (10, callers.tiny_headers),
    (20, callers.large_body), (10, callers.bytes_in_chunks), (2, callers.endless_trailer),
    (10, callers.read_nothing), (20, callers.long_names), (2, callers.endless_operator_call),
)


@dataclass(slots=True)
class FleetResult:
    """What a seed has shown."""

    seed: int
    processes: int
    requests: int
    after_term: int  # of them, sent after SIGTERM
    peak_mb: float  # of the largest
    broken: list[str]
    late: float  # seconds for which the stand-ins were held up, at the most


def draw_member(seed: int, place: int) -> Plan:
    """The plan of one process of a fleet."""
    rng = random.Random(f"fleet {seed} {place}")
    plan = draw_plan(rng.randrange(1 << 30))
    plan.clients = min(plan.clients, 40)
    plan.think = max(plan.think, 0.1)
    plan.serves_for = rng.uniform(*SERVES_FOR)
    plan.floods = rng.choice([0.0, 0.05, 0.3])
    plan.registries = rng.random() < 0.7
    plan.upgrades = False  # two processes a member would be too many
    plan.lumps = 0.0  # beside stops they have a test of their own
    plan.memory_mb = MEMORY_MB
    end = plan.serves_for + plan.grace
    for number, call in rng.sample(CALLS, rng.randint(0, 4)):
        at = rng.uniform(0.0, plan.serves_for)
        plan.attacks.append(Attack(at, rng.uniform(1.0, end - at), number, call))
    plan.before = sorted((rng.uniform(0.1, plan.serves_for), rng.choice(SIGNALS))
                         for _ in range(rng.randint(0, 6)))
    plan.after = sorted((rng.uniform(0.0, plan.grace - 0.2), rng.choice(AT_END))
                        for _ in range(rng.randint(0, 5)))
    return plan


async def _play_member(soak: Soak, after: float) -> None:
    await asyncio.sleep(after)
    await soak.play()


async def _play_all(soaks: list[Soak], rng: random.Random) -> list[BaseException | None]:
    plays = [_play_member(soak, rng.uniform(0.0, STAGGER)) for soak in soaks]
    return await asyncio.gather(*plays, return_exceptions=True)


def play_fleet(
    seed: int, processes: int | None = None, program: Sequence[str] = PROGRAM
) -> FleetResult:
    """Play a seed, with so many processes or as many as it draws, and judge it.

    `program` are the interpreter's arguments.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, most), most))
    rng = random.Random(f"fleet {seed}")
    drawn = rng.randint(*PROCESSES)
    number = processes or drawn
    with tempfile.TemporaryDirectory(prefix="fleet-") as name:
        soaks = []
        for place in range(number):
            folder = Path(name) / str(place)
            folder.mkdir()
            soaks.append(Soak(seed * 100 + place, draw_member(seed, place), folder, program))
        faults = asyncio.run(_play_all(soaks, rng))
    broken = [f"process {place}: not played: {fault!r}" for place, fault in enumerate(faults) if fault]
    late = max(soak.observed.late for soak in soaks)
    for place, soak in enumerate(soaks):
        soak.observed.late = late
        broken += [f"process {place}: {text}" for text in breaks(soak.observed)]
    sent = [(request, soak.observed.term_at) for soak in soaks for request in soak.observed.requests]
    return FleetResult(
        seed, number, len(sent), sum(request.at > term_at for request, term_at in sent),
        max(soak.observed.peak_mb for soak in soaks), broken, late,
    )
