"""What the proxy asks of its optional parts: each is loaded only where its setting is present."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from typing import Protocol

from jaspershelf.decide import Balancer
from jaspershelf.model import ServerMemory, TierMemory


class Figures(Protocol):
    """A part that has figures to show."""

    def figures(self) -> list[str]:
        """Lines of the telemetry."""


class Shared(Figures, Protocol):
    """What the proxy asks of the shared state (`cluster.sharing.Sharing`)."""

    def report(self) -> dict[str, object]:
        """What operators see of it."""


class Memory(Protocol):
    """What the proxy asks of its state on disk (`store.keeper.Keeper`)."""

    def load(self, classes: int) -> tuple[list[ServerMemory], TierMemory | None]:
        """What an earlier process has left."""

    def open(
        self, balancer: Balancer, clock: Callable[[], float], incarnation: Callable[[], int],
        executor: Executor,
    ) -> None:
        """Keep what the module learns from now on; files are written in the executor's thread."""

    def figures(self) -> list[str]:
        """Lines of the telemetry."""


class Membership(Protocol):
    """What the proxy asks of its membership among the proxies (`cluster.node.Node`)."""

    @property
    def incarnation(self) -> int:
        """Its own, now."""

    def view(self) -> list[dict[str, object]]:
        """The members as operators see them."""

    def figures(self) -> list[str]:
        """Lines of the telemetry."""

    def drained(self, drained: bool) -> None:
        """Leave the group while drained, and come back after."""
