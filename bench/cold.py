"""What a cold server gets from a whole fleet, by the module alone: the sum over all instances, seed by seed.

    python -m bench.cold [--seeds 20] [--instances 20 30] [--tier 0] [--rate 12] [--load 0.65] [--jobs 4]

A discrete-event run of the real module at each instance over modelled servers (one queue each). Instances are
unevenly loaded, hear of a start between 0 and 2.5 s after it, and half of them may be restarted just then. A
server falls beyond its budget N in the settings' window; N + 2 x root of N + 2 is what chance allows. Printed
for each case over all seeds and cold servers: the most that came in a window, as a part of that (median, 95th
percentile, most), from all instances and from those that had been told of the start, for how many the latter
passed it, and the calls not served in time. What comes from those not yet told nobody can hold back; the rule
is broken where two thirds come from the told. All chance comes from the seed.
"""

from __future__ import annotations

import argparse
import heapq
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from math import sqrt
from random import Random

from jaspershelf.decide import Balancer
from jaspershelf.model import (
    Action,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Rules,
    Send,
    ServerRow,
    Settings,
    Timer,
)

SERVERS = 20
BEGIN, END = 20.0, 45.0  # when the first server starts anew, and when the run ends
RULES = Rules(cold_from=0.16, cold_for=24.0, fall_multiple=4.0, fall_after=1.5)
KIND = RequestClass("a", aim=1.0, deadline=2.5, repeat=Repeat.SAFE, late_worth=0.5)
CASES = {
    "one server starts": (1, False, False),
    "one starts as half the instances do": (1, True, False),
    "one starts in a lull that ends": (1, False, True),
    "six in ten start within 7 s": (12, False, False),
    "six in ten start, half the instances too": (12, True, False),
    "all start": (20, False, False),
}


@dataclass
class Queue:
    """One server: it serves one call after another, a cold one slower."""

    rate: float  # calls a second that it can serve once warm
    started: float = 0.0
    free: float = 0.0
    got: list[tuple[float, bool]] = field(default_factory=list)  # when, and whether its sender had been told

    def present(self, now: float) -> float:
        """The part of its full rate that it is good for."""
        warmed = min(1.0, (now - self.started) / RULES.cold_for) if self.started else 1.0
        return RULES.cold_from + (1.0 - RULES.cold_from) * warmed

    def worst(self, told: bool) -> float:
        """The most that came in any window while it was cold, as a part of what chance allows.

        `told`: only what came from instances that had been told of its start.
        """
        worst, low = 0.0, 0
        got = [at for at, knew in self.got if knew or not told]
        for n, at in enumerate(got):
            while got[low] <= at - RULES.fall_after:
                low += 1
            begin = max(at - RULES.fall_after, self.started)
            budget = RULES.fall_multiple * self.present(begin) * self.rate * RULES.fall_after
            worst = max(worst, (n - low + 1) / (budget + 2.0 * sqrt(budget) + 2.0))
        return worst


class Fleet:
    """All instances and servers, one clock."""

    def __init__(
        self, instances: int, tier: int, rate: float, load: float, anew: int, restarts: bool, lull: bool,
        seed: int,
    ) -> None:
        self.rate, self.load = rate, load
        self.random = Random(f"{seed} {instances} {anew} {restarts} {lull}")
        self.lull, self.seed = lull, seed
        self.now = 0.0
        self._count = 0
        self._events: list[tuple[float, int, str, tuple[int, ...]]] = []
        self.servers = [Queue(rate) for _ in range(SERVERS)]
        self.rows = [ServerRow(n + 1) for n in range(SERVERS)]
        self.settings = [
            Settings(classes=(KIND,), balancers=instances, me=n, tier=tier, tiers=2, zones=3, zone=n % 3,
                     rules=RULES)
            for n in range(instances)
        ]
        self.known = [[*self.rows] for _ in range(instances)]
        self.balancers = [self._instance(n, 0) for n in range(instances)]
        parts = [self.random.lognormvariate(0.0, 0.7) for _ in range(instances)]
        self.parts = [part / sum(parts) for part in parts]
        self.calls = self.served = 0
        self.waits: dict[tuple[int, str], float] = {}
        for n in range(instances):
            self._push(self.random.random(), "call", n)
        for number in self.random.sample(range(SERVERS), anew):
            self._push(BEGIN + (7.0 * self.random.random() if anew > 1 else 0.0), "start", number)
        for n in range(instances if restarts else 0):
            if self.random.random() < 0.5:
                first = BEGIN + 7.0 * self.random.random() * (anew > 1)
                self._push(first + 3.0 * self.random.random(), "new", n)

    def _instance(self, me: int, life: int) -> Balancer:
        made = Balancer(self.settings[me], hash((self.seed, me, life)))
        made.members(self.now, ListKind.STALE, self.known[me])
        made.start(self.now)
        return made

    def _push(self, at: float, what: str, *about: int) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, what, about))

    def _rate(self, me: int) -> float:
        quiet = self.lull and BEGIN - 5.0 < self.now < BEGIN + 5.0
        burst = self.lull and BEGIN + 5.0 <= self.now < BEGIN + 12.0
        return self.parts[me] * SERVERS * self.rate * self.load * (0.05 if quiet else 1.4 if burst else 1.0)

    def run(self) -> None:
        """Play it to its end."""
        while self._events and self._events[0][0] < END:
            self.now, _, what, about = heapq.heappop(self._events)
            getattr(self, f"_{what}")(*about)

    def _call(self, me: int) -> None:
        self._push(self.now + self.random.expovariate(self._rate(me)), "call", me)
        self.calls += 1
        self._perform(me, self.balancers[me].request(
            self.now, f"{self.calls}", 0, 0, self.now + KIND.deadline))

    def _perform(self, me: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                server = self.servers[action.server - 1]
                server.got.append((self.now, self.known[me][action.server - 1].started == server.started))
                server.free = max(server.free, self.now) + self.random.expovariate(
                    self.rate * server.present(self.now))
                number = len(self.balancers[me].requests[action.request].attempts) - 1
                wait = action.timeout or KIND.deadline
                late = server.free - self.now > wait
                key = (id(self.balancers[me]), int(action.request), number, int(late))
                self._push(min(server.free, self.now + wait), "end", me, *key)
                self.waits[me, f"{action.request} {number}"] = self.now
            elif isinstance(action, Timer):
                self._push(action.at, "timer", me, id(self.balancers[me]), action.token)

    def _end(self, me: int, life: int, rid: int, number: int, late: int) -> None:
        sent = self.waits.pop((me, f"{rid} {number}"), self.now)
        balancer = self.balancers[me]
        if id(balancer) != life:
            return
        self.served += not late
        self._perform(me, balancer.outcome(
            self.now, f"{rid}", number, Outcome.TIMEOUT if late else Outcome.OK, self.now - sent, not late))

    def _timer(self, me: int, life: int, token: int) -> None:
        if id(self.balancers[me]) == life:
            self._perform(me, self.balancers[me].timer(self.now, token))

    def _start(self, number: int) -> None:
        self.servers[number] = Queue(self.rate, self.now, self.now)
        self.rows[number] = ServerRow(number + 1, started=self.now)
        for me in range(len(self.balancers)):
            self._push(self.now + 2.5 * self.random.random(), "told", me, number)

    def _told(self, me: int, number: int) -> None:
        self.known[me][number] = self.rows[number]
        self._perform(me, self.balancers[me].members(self.now, ListKind.PATCH, [self.rows[number]]))

    def _new(self, me: int) -> None:
        self.balancers[me] = self._instance(me, 1)


Row = tuple[list[tuple[float, float]], float]


def play(case: str, instances: int, tier: int, rate: float, load: float, seed: int) -> Row:
    """One run: each cold server's worst window, of all and of told instances, and the part not served."""
    fleet = Fleet(instances, tier, rate, load, *CASES[case], seed)
    fleet.run()
    cold = [(server.worst(False), server.worst(True)) for server in fleet.servers if server.started]
    return cold, 1.0 - fleet.served / fleet.calls


def plays(
    case: str, instances: int, tier: int, rate: float, load: float, seeds: int, jobs: int
) -> Iterator[Row]:
    """Those of all seeds, side by side."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(partial(play, case, instances, tier, rate, load), range(seeds))


def main() -> None:
    """Print the cases."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--instances", type=int, nargs="+", default=[20, 30])
    parser.add_argument("--tier", type=int, default=0, help="of the instances; those after 0 refuse nothing")
    parser.add_argument("--rate", type=float, default=12.0, help="calls a second of a warm server")
    parser.add_argument("--load", type=float, default=0.65, help="the part offered of what all can serve")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    print(f"{'':44}{'':10}{'all instances':>27}{'those told':>27}")
    figures = "".join(f"{name:>9}" for name in ("median", "p95", "most"))
    print(f"{'case':44}{'instances':>10}{figures}{figures}{'passed':>14}{'not served':>12}")
    for case in CASES:
        for instances in args.instances:
            rows = list(plays(case, instances, args.tier, args.rate, args.load, args.seeds, args.jobs))
            text = ""
            for which in (0, 1):
                worst = sorted(parts[which] for row, _ in rows for parts in row)
                text += "".join(f"{worst[int(at * (len(worst) - 1))]:9.2f}" for at in (0.5, 0.95, 1.0))
            lost = sum(part for _, part in rows) / len(rows)
            over = sum(part > 1.0 for part in worst)
            print(f"{case:44}{instances:10}{text}{over:6} of {len(worst):4}{lost:12.4f}", flush=True)


if __name__ == "__main__":
    main()
