"""Tells the module which proxies live, so that the servers are dealt out among those.

Deterministic subsetting (Google, "Site Reliability Engineering", ch. 20; Finagle's deterministic aperture):
each proxy uses a slice of the servers, by its place among all. The platform tells place and number once, at
the start; here they follow the members: the names of the live ones in order, the same at all that agree.
What is made of it, and when, is the module's to say.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jaspershelf.decide import Balancer
from jaspershelf.model import Action
from lugspur.cluster.node import Node

LOOK_EVERY = 0.5  # seconds


class Subsetting:
    """One process's place among the members; `tell` performs what the module answers."""

    def __init__(
        self, node: Node, balancer: Balancer, clock: Callable[[], float],
        tell: Callable[[list[Action]], None],
    ) -> None:
        self._node, self._balancer, self._clock, self._tell = node, balancer, clock, tell
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            if not self._node.swim.leaving:
                names = self._names()
                self._tell(self._balancer.peers(self._clock(), names.index(self._node.name), len(names)))

    def _names(self) -> list[str]:
        return sorted({self._node.name, *(member.name for member in self._node.swim.live())})

    def figures(self) -> list[str]:
        """The place that holds, counted from 0, and of how many; lines of the telemetry."""
        return [f"subsetting.place={self._balancer.me}", f"subsetting.count={self._balancer.balancers}"]
