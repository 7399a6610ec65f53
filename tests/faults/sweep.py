"""Each fault at each place in turn, then pairs drawn from seeds: `python -m faults.sweep --help`.

Every case is one play (`play.py`) on a loop of its own. What breaks a rule is printed, with the name by which
`--only` plays it again.
"""

from __future__ import annotations

import argparse
import errno
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from faults.plan import ALWAYS, Fault
from faults.play import Moment, run

CONNECTED = ["ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "EAGAIN", "EINTR", "ENOMEM", "ENOBUFS"]
DIALLED = ["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED", "EAGAIN", "EACCES"]
ACCEPTED = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN", "EIO"]
RESOURCES = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]
REFUSED = ["ENOMEM", "ENOSPC"]
PLACES = ("watch", "caller", "server")
HUGE_STEP = 7919  # between the seeds of a case's own draws


@dataclass(frozen=True)
class Case:
    """One play, by its name."""

    name: str
    faults: tuple[tuple[str, Fault], ...]  # with the place of each
    moment: Moment
    seed: int = 1

    def at(self, discovery: int, proxy: int, servers: list[int]) -> list[Fault]:
        """The faults, at the ports of this play."""
        made = []
        for place, fault in self.faults:
            peer = {"watch": discovery, "server": servers[0]}.get(place, 0)
            local = proxy if place == "caller" else 0
            made.append(Fault(fault.call, fault.error, fault.limit, fault.delay, fault.first, fault.count,
                              fault.chance, peer, local))
        return made


def single_faults() -> Iterator[tuple[str, str, Fault]]:
    """Each fault with its place, by name."""
    for place in PLACES:
        receive = "recv" if place == "watch" else "recv_into"
        for call in (receive, "send"):
            for name in CONNECTED:
                yield f"{place} {call} {name}", place, Fault(call, getattr(errno, name), count=ALWAYS)
            yield f"{place} {call} 1 byte", place, Fault(call, limit=1, count=ALWAYS)
        for name in REFUSED:
            for first in (1, 2):
                fault = Fault("epoll_register", getattr(errno, name), first=first, count=ALWAYS)
                yield f"{place} epoll_register {name} from {first}", place, fault
            fault = Fault("epoll_modify", getattr(errno, name), count=ALWAYS)
            yield f"{place} epoll_modify {name}", place, fault
        if place != "caller":
            for call in ("connect", "so_error"):
                for name in DIALLED:
                    yield f"{place} {call} {name}", place, Fault(call, getattr(errno, name), count=ALWAYS)
    for name in ACCEPTED:
        for count, many in ((1, "once"), (ALWAYS, "always")):
            yield f"caller accept {name} {many}", "caller", Fault("accept", getattr(errno, name), count=count)
    for name in RESOURCES:
        yield f"any socket {name}", "any", Fault("socket", getattr(errno, name), count=ALWAYS)
    yield "any poll ENOMEM", "any", Fault("poll", errno.ENOMEM, count=ALWAYS)


def lossless(place: str, fault: Fault) -> bool:
    """Whether no request may be lost to it: it only holds up, or there is another server."""
    waits = fault.limit or fault.call in ("accept", "connect", "so_error", "epoll_register", "epoll_modify")
    return bool(place == "watch" or waits or fault.error in (errno.EAGAIN, errno.EINTR))


def moment_for(places: Iterable[str], whole: bool, lasts: float = 1.0, loses: bool = True) -> Moment:
    """Such that the calls at these places are made while the fault lasts."""
    places = set(places)
    return Moment(lasts, whole, lossless=not loses, watch_opens_under_it=bool(places & {"watch", "any"}),
                  callers_come_anew="caller" in places, servers_close=bool(places & {"server", "any"}))


def singles() -> Iterator[Case]:
    """Each fault at each place, the server drained by a patch and left out of a whole list."""
    for name, place, fault in single_faults():
        for whole in (False, True):
            how = "whole" if whole else "patch"
            moment = moment_for([place], whole, loses=not lossless(place, fault))
            yield Case(f"{name} {how}", ((place, fault),), moment)


def pair(seed: int) -> Case:
    """Two faults, each met with a chance, for a span."""
    draw = random.Random(seed)
    chosen = draw.sample(list(single_faults()), 2)
    faults = tuple(
        (place, Fault(fault.call, fault.error, fault.limit, count=ALWAYS, chance=draw.choice((0.3, 1.0))))
        for _, place, fault in chosen
    )
    moment = moment_for([place for place, _ in faults], draw.random() < 0.5, draw.choice((0.5, 1.0, 3.0)))
    return Case(f"seed {seed}: {chosen[0][0]} + {chosen[1][0]}", faults, moment, seed * HUGE_STEP)


def judge(case: Case) -> tuple[str, list[str], int]:
    """The rules that it broke, and how often its faults struck."""
    verdict = run(case.at, case.moment, case.seed)
    return case.name, verdict.breaks(), sum(verdict.hits)


def judge_all(cases: list[Case], processes: int, tell: Callable[[str], None]) -> list[str]:
    """The names of those that broke a rule."""
    broken, idle = [], 0
    with ProcessPoolExecutor(processes) as pool:
        for name, breaks, hits in pool.map(judge, cases):
            idle += not hits
            if breaks:
                broken.append(name)
                tell(f"BREAKS {name}: {'; '.join(breaks)}")
    tell(f"{len(cases)} plays, {len(broken)} broke a rule, in {idle} no fault struck")
    return broken


def main(arguments: list[str]) -> int:
    """Play all single faults, and pairs."""
    parser = argparse.ArgumentParser(prog="faults.sweep", description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="the first seed of the pairs")
    parser.add_argument("--seeds", type=int, default=100, help="pairs; 0: the single faults alone")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", default="", help="a part of the names of those to be played")
    parser.add_argument("--no-singles", action="store_true")
    chosen = parser.parse_args(arguments)
    cases = [] if chosen.no_singles else list(singles())
    cases += [pair(seed) for seed in range(chosen.first, chosen.first + chosen.seeds)]
    cases = [case for case in cases if chosen.only in case.name]
    return 1 if judge_all(cases, chosen.processes, lambda line: print(line, flush=True)) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
