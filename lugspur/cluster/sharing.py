"""Shared facts on their way: collects them from the module, sends them, and tells the module what came.

Without scopes each member's digest goes to every live member directly, a part of them each tick, so that
all have it once a refresh, a third of the staleness bound; a server's first failure is told to all at once.
With scopes the facts are spread in each of them (`cluster.spread`): limits, demand and the count of members
are those of the home, evidence comes from all.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from jaspershelf.decide import Balancer
from jaspershelf.model import Action, Evidence
from lugspur.cluster import facts
from lugspur.cluster.node import Node
from lugspur.cluster.spread import Spread, SpreadSettings
from lugspur.cluster.swim import State, Swim
from lugspur.discovery import server_name

TICKS = 5  # in a refresh
HURRY = 0.02  # seconds between looks for a server that has begun to fail
SOON = 0.1  # seconds between two views for the sake of news at the least
LATE = 0.1  # seconds that a digest may be on its way
HOLD = 60.0  # seconds for which the part of a dead member is kept: it may live beyond a split


class Sharing:
    """One process's part in the shared state; `tell` performs what the module answers."""

    def __init__(
        self, node: Node, balancer: Balancer, staleness: float, clock: Callable[[], float],
        tell: Callable[[list[Action]], None],
    ) -> None:
        self._node, self._balancer, self._clock, self._tell = node, balancer, clock, tell
        self.facts = facts.Facts(node.name, staleness)
        # Not the membership's incarnation: that grows while the process, and its counts, stay the same.
        self._start = int(1e6 * clock())
        self._counter = 0
        self._turn = 0
        self._failing: set[int] = set()
        self.sent_bytes = 0
        node.on_facts = self._came
        self._news = False  # somebody has begun to fail on a server
        self._tick = staleness / 3.0 / TICKS
        if node.config.scopes:
            # A record is made once a refresh: it goes its own way from there.
            self._tick = staleness / 3.0
            node.scopes.share(self._spread, clock() - asyncio.get_running_loop().time())
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Nothing more is told or heard."""
        self._node.on_facts = None
        self._task.cancel()

    def _spread(self, scope: str, swim: Swim) -> Spread:
        return Spread(
            self._node.name, self._node.config.cluster, scope, swim, self.facts, self._start / 1e6,
            SpreadSettings(refresh=self.facts.staleness / 3.0), accused=self._accused,
        )

    def _accused(self) -> None:
        self._news = True

    def figures(self) -> list[str]:
        """The figures, as lines of the operators' telemetry."""
        lines = [f"shared.{name}={count}" for name, count in self.facts.counters.items()]
        spreads = self._node.scopes.spreads
        sent = self.sent_bytes + sum(spread.counters["bytes"] for spread in spreads.values())
        lines += [f"shared.bytes_sent={sent}", f"shared.shunned={len(self._balancer.shunned)}"]
        now = self._clock()
        for scope, spread in spreads.items():
            lines += [f"shared.scope.{scope}.{name}={count}" for name, count in spread.counters.items()]
            fan_in, fan_out = spread.peers()
            lines += [f"shared.scope.{scope}.sources={fan_in}", f"shared.scope.{scope}.subscribers={fan_out}"]
            age = spread.age(now)
            lines.append(f"shared.scope.{scope}.oldest={age if age < math.inf else -1.0:.3f}")
        return lines

    def report(self) -> dict[str, object]:
        """What operators see: the servers shunned, who says what of them, and the group's admissions by
        class, then by tenant.
        """
        return {
            "shunned": sorted(server_name(server) for server in self._balancer.shunned),
            "verdicts": self.facts.verdicts(self._clock(), self._everyone()),
            "admitted": list(self.facts.admitted()), "own": list(self._balancer.counts()[1]),
            "rates": self._balancer.limit_rate, "staleness": self.facts.staleness,
        }

    async def _run(self) -> None:
        due = 0.0
        looked = 0.0
        while True:
            await asyncio.sleep(min(HURRY, self._tick))
            now = self._clock()
            evidence = self._balancer.evidence(now, self.facts.staleness)
            failing = {row.server for row in evidence if row.failed > row.served}
            hurry = bool(failing - self._failing)
            self._failing = failing
            if not hurry and now < due:
                # Each view walks all digests, so news in the meantime wait for those of the next moment.
                spread = bool(self._node.scopes.spreads)
                wait = SOON if self._news else self.facts.staleness / 3.0 / TICKS
                if (failing and not spread) or (spread and now >= looked + wait):
                    looked, self._news = now, False
                    self._update(now)
                continue
            due = now + self._tick
            looked, self._news = now, False
            self._turn += 1
            if self._node.scopes.spreads:
                self._publish(now, evidence)
            else:
                self._send(now, evidence, everyone=hurry)
            self._update(now)

    def _publish(self, now: float, evidence: list[Evidence]) -> None:
        settings = self._balancer.settings
        offered, admitted = self._balancer.counts()
        limits = settings.sharing.limits if settings.sharing is not None else ()
        used = any(limits) or settings.locality is not None  # else nobody asks for the others' demand
        for address, data in self._node.scopes.publish(
            now, evidence, offered if used else None, admitted, settings.zone
        ):
            self._node.send(address, data)

    def _send(self, now: float, evidence: list[Evidence], everyone: bool) -> None:
        self._counter += 1
        offered, admitted = self._balancer.counts()
        digest = facts.Digest(
            self._node.name, self._start, self._counter, now, tuple(evidence),
            tuple(sorted(offered.items())), admitted, self._balancer.settings.zone,
        )
        self.facts.take(now, digest)
        live = [member.address for member in self._node.swim.live()]
        if not everyone:
            live = [address for n, address in enumerate(sorted(live)) if n % TICKS == self._turn % TICKS]
        data = facts.encode(self._node.config.cluster, digest, self.facts.suspects(self._live()))
        for address in live:
            self.sent_bytes += len(data)
            self._node.send(address, data)

    def _came(self, digest: facts.Digest) -> None:
        """A digest of another member; the module hears at once of an accusation that is news.

        Not of one that goes on: in a large group those come hundreds of times a second.
        """
        now = self._clock()
        before = self.facts.accused(digest.origin)
        if self.facts.take(now, digest) and self.facts.accused(digest.origin) - before:
            self._update(now)

    def _live(self) -> set[str]:
        return {member.name for member in self._node.swim.live()}

    def _everyone(self) -> set[str]:
        """The live members of all scopes."""
        return {member.name for swim in self._node.scopes.swims.values() for member in swim.live()}

    def _update(self, now: float) -> None:
        members, live = self._node.swim.members.values(), self._live()
        since = asyncio.get_running_loop().time() - HOLD
        held = sum(m.state is State.DEAD and m.since > since for m in members)
        # The last window that has ended a refresh ago: by now everyone has told of it. A record that is
        # spread takes a refresh more, and as long again where its news was lost.
        spreads = self._node.scopes.spreads
        window = int(now - (3.0 if spreads else 1.0) * self.facts.staleness / 3.0 - LATE) - 1
        beside = self._everyone() - live if spreads else ()
        self._tell(self._balancer.shared(now, self.facts.view(now, live, held, window, beside)))
