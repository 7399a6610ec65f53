"""Operators' calls that order something: a backend out or in, the proxy drained or back at work."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

import orjson

from jaspershelf.decide import Balancer
from lugspur import discovery
from lugspur.front import Front
from lugspur.orders import OrderBook, Orders
from lugspur.request import Rejected

Edit = Callable[[Orders], Orders]


class OperatorOrders:
    """Answers these calls; Rejected where the answer is no."""

    def __init__(
        self, upgrades: bool, book: OrderBook, balancer: Balancer, front: Front,
        order: Callable[[Edit], Awaitable[None]],
    ) -> None:
        """`upgrades`: another process may take over; `order` keeps an order and makes it hold."""
        self._upgrades = upgrades
        self._book = book
        self._balancer = balancer
        self._front = front
        self._order = order

    async def exclude(self, body: bytes) -> bytes:
        """Send nothing more to a backend."""
        name = self._named(body)
        await self._order(lambda orders: replace(orders, excluded=orders.excluded | {name}))
        return b"excluded\n"

    async def include(self, body: bytes) -> bytes:
        """Put a backend back."""
        name = self._named(body)
        await self._order(lambda orders: replace(orders, excluded=orders.excluded - {name}))
        return b"included\n"

    def _named(self, body: bytes) -> str:
        """The backend that a call is about; one that was never listed is none."""
        try:
            name = orjson.loads(body)["id"]
        except (ValueError, TypeError, KeyError) as fault:
            raise Rejected(400, "the body is no JSON object with an id") from fault
        if not isinstance(name, str):
            raise Rejected(400, "the id is no text")
        if name not in self._book.current.excluded and not self._balancer.knows(discovery.server_id(name)):
            raise Rejected(404, "no such backend was ever listed")
        return name

    async def evacuate(self, _: bytes) -> bytes:
        """Drain."""
        await self._order(lambda orders: replace(orders, drained=True))
        return b"draining\n"

    async def rejoin(self, _: bytes) -> bytes:
        """Back to work."""
        if self._front.ending and not self._upgrades:
            raise Rejected(409, "this process is ending")
        await self._order(lambda orders: replace(orders, drained=False))
        return b"back\n"
