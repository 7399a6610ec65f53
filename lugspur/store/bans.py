"""Operators' orders in the state directory: as `orders` keeps them, but framed, checked and made to last."""

from __future__ import annotations

import time
from pathlib import Path

from lugspur.orders import OrderBook, Orders, encode, parse_orders
from lugspur.store import frames
from lugspur.store.files import write_whole

AGE_MOST = 30 * 86400.0  # seconds after which an order is ignored at a start: nobody remembers giving it


class DurableOrders(OrderBook):
    """The orders' book of a proxy with a state directory.

    Each text is a framed file put in place whole, synced with its folder; the one before is kept and holds
    where the newest does not check. Orders older than AGE_MOST are passed over.
    """

    kept = 2

    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        super().__init__(folder / "bans.orders")
        self._name = name
        self._start = time.time()

    def _read(self, path: Path) -> Orders:
        now = time.time()
        contents = frames.parse(frames.read_bytes(path), "orders", self._name, now)
        if contents.fault or len(contents.records) != 1:
            raise ValueError(f"the orders do not check: {contents.fault or 'records'}")
        at, text = contents.records[0]
        if not isinstance(at, float) or not isinstance(text, bytes):
            raise ValueError("the orders are of no known form")
        if now - at > AGE_MOST:
            raise ValueError("the orders are too old")
        return parse_orders(text)

    def _put(self, path: Path, orders: Orders) -> None:
        header = frames.Header("orders", self._name, self._start, 1)
        write_whole(path, [header.payload(), [time.time(), encode(orders)]])
