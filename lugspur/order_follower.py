"""Follows operators' orders, whichever process of the proxy took them: keeps each, and has it obeyed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor

from lugspur.events import log
from lugspur.orders import OrderBook, Orders
from lugspur.request import Rejected

NOTICE_EVERY = 0.2  # seconds between looks for the other process's orders: a drain may take 1.5


class OrderFollower:
    """The orders of one proxy; `obey` makes them hold."""

    def __init__(
        self, book: OrderBook, executor: Executor, obey: Callable[[Orders], None], shared: bool
    ) -> None:
        """Files are touched in the executor's thread; `shared`: a second process may take orders too."""
        self.book = book
        self._executor = executor
        self._obey = obey
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._noticing: asyncio.Task[None] | None = None
        book.refresh()
        obey(book.current)
        self._obeyed = book.current
        self.go_on_noticing()

    def go_on_noticing(self) -> None:
        """Look for orders as long as there may be some: of a second process, or not yet read."""
        if self._noticing is None or self._noticing.done():
            self._noticing = self._loop.create_task(self._notice())

    def repair(self) -> None:
        """Go on looking where a failed allocation has ended it."""
        if self._shared or self.book.pending:
            self.go_on_noticing()

    async def _notice(self) -> None:
        while self._shared or self.book.pending:
            await asyncio.sleep(NOTICE_EVERY)
            try:
                await self._loop.run_in_executor(self._executor, self.book.refresh)
                if self.book.current != self._obeyed:
                    self._obey(self.book.current)
                    self._obeyed = self.book.current
            except Exception:  # Guards later orders: a look that fails is made again.
                log.error("orders.look", exc_info=True)

    async def order(self, edit: Callable[[Orders], Orders]) -> None:
        """Keep an order, so that a second process obeys it too, and obey it; Rejected if it can't be kept."""
        try:
            orders = await self._loop.run_in_executor(self._executor, self.book.change, edit)
        except OSError as fault:
            self.go_on_noticing()
            raise Rejected(503, f"the order can't be kept: {fault.strerror}") from fault
        self._obey(orders)
        self._obeyed = orders
