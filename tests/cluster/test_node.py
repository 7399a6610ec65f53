"""The task that runs the membership protocol goes on after a fault of it."""

from __future__ import annotations

import asyncio
from typing import Any

from lugspur.cluster.node import Node
from lugspur.config import MembershipConfig

PATIENCE = 20.0


def test_a_fault_costs_one_turn_of_the_protocol() -> None:
    async def play() -> None:
        config = MembershipConfig("c", ("127.0.0.1", 0), ("127.0.0.1", 9), (), 0.01)
        node = Node("n0", config, seed=1)
        ticks: list[float] = []
        enough = asyncio.Event()
        tick = node.scopes.tick

        def failing(now: float) -> Any:
            ticks.append(now)
            if len(ticks) <= 2:
                raise RuntimeError("a fault of ours")
            if len(ticks) == 5:
                enough.set()
            return tick(now)

        node.scopes.tick = failing  # type: ignore[method-assign]
        await node.open()
        await asyncio.wait_for(enough.wait(), PATIENCE)
        await node.close()

    asyncio.run(play())
