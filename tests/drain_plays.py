"""The plays of `drain_fleet`: a fault, and the drains around it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from drain_stage import Stage

from lugspur.lab.crowded import Interval

Action = Callable[[Stage], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Play:
    """A fault and the drains around it; it takes so many seconds."""

    what: str
    seconds: float
    act: Action
    asked: bool = False  # the list is asked for, else pushed


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


async def impatient(stage: Stage) -> None:
    """As `ended`; calls that have waited for 2 s end in 503, and their work is done all the same."""
    stage.discovery.wait_most = 2.0
    stage.discovery.turns.keeps_overdue = True
    await ended(stage)


async def restarted(stage: Stage) -> None:
    await stage.drain(6)
    names = stage.draw(0.7)
    await stage.prepare(names)
    stage.crowd(6.0)
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
    names = stage.draw(0.7)
    await stage.prepare(names)
    stage.gone()
    await asyncio.sleep(3.0)
    await stage.drain(3)
    await stage.kill(names)
    await stage.restart(names)
    await asyncio.sleep(5.0)
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


async def restart_half(stage: Stage, before: Callable[[], object] = lambda: None) -> None:
    """Kill half of the processes and start them again; the others serve on."""
    names = stage.draw(0.5)
    await stage.prepare(names)
    before()
    await stage.kill(names)
    await stage.restart(names, look=True)


async def ready_up(stage: Stage) -> None:
    await restart_half(stage)


async def ready_slow(stage: Stage) -> None:
    await restart_half(stage, lambda: stage.crowd(6.0))


async def ready_refused(stage: Stage) -> None:
    await restart_half(stage, stage.gone)
    await asyncio.sleep(10.0)
    await stage.back()


async def ready_unavailable(stage: Stage) -> None:
    def begin() -> None:
        stage.discovery.sites[0].answer_unavailable()
        stage.away.append(Interval(time.monotonic()))

    await restart_half(stage, begin)
    await asyncio.sleep(10.0)
    stage.discovery.sites[0].recover()
    stage.away[-1].end = time.monotonic()


async def ready_mute(stage: Stage) -> None:
    def begin() -> None:
        stage.discovery.sites[0].fall_mute()
        stage.away.append(Interval(time.monotonic()))

    await restart_half(stage, begin)
    await asyncio.sleep(10.0)
    stage.discovery.sites[0].recover()
    stage.away[-1].end = time.monotonic()


PLAYS = {
    "calm": Play("no fault", 12.0, calm),
    "ended": Play("watches end, discovery crowded (5 s for all)", 26.0, ended),
    "ended_whole": Play("the same, whole lists that leave out what drains", 26.0, ended_whole),
    "silent": Play("watches fall silent, discovery crowded (5 s)", 26.0, silent),
    "limited": Play("watches end, crowded (5 s), 503 after 4 s in turn", 26.0, limited),
    "impatient": Play(
        "lists asked for: watches end, crowded (5 s), 503 after 2 s in turn, work kept", 26.0, impatient,
        asked=True,
    ),
    "restarted": Play("7 in 10 killed and restarted, crowded (6 s)", 38.0, restarted),
    "down": Play("discovery refuses for 8 s, crowded at its return (5 s)", 32.0, down),
    "unavailable": Play("discovery answers 503 for 8 s, crowded then (5 s)", 32.0, unavailable),
    "half_open": Play("discovery accepts and is mute for 6 s, crowded then (4 s)", 32.0, half_open),
    "herd": Play("down 8 s, 7 in 10 restarted meanwhile, crowded (5 s)", 42.0, herd),
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
