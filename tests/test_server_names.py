"""The names of servers that a process keeps are bounded, and none that drains is put back for it."""

from __future__ import annotations

import asyncio

import orjson
from loopback import config, entry

from jaspershelf.model import ListKind
from jaspershelf.overload import GONE_MOST, MemoryOverload
from lugspur.endpoint_table import EndpointTable
from lugspur.endpoints import Reader
from lugspur.proxy import Proxy


def list_of(names: range, index: int, *, whole: bool, status: str = "in_service") -> bytes:
    rows = [entry(f"h{n}", "127.0.0.1:9", status) for n in names]
    return orjson.dumps({"index": index, "snapshot": whole, "endpoints": rows})


class Few(MemoryOverload):
    """Room for so many servers."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self._most = most

    def servers_most(self) -> int:
        return self._most


READER = Reader({"here": 0}, {"k": 0})


def test_names_that_were_ever_told_are_bounded() -> None:
    async def play() -> None:
        proxy = Proxy(config([]))
        for turn in range(12):
            names = range(1000 * turn, 1000 * (turn + 1))
            proxy._discovery.line(list_of(names, 10 + turn, whole=True))
        kept = 1000 + GONE_MOST
        assert len(proxy._balancer.servers) <= kept
        assert len(proxy._backends) <= kept
        assert len(proxy._discovery._table) <= kept
        assert proxy._balancer.targets(0.0)[0] == 1000
        proxy.close()

    asyncio.run(play())


def test_draining_names_make_room_and_are_gone_for_the_balancer() -> None:
    table = EndpointTable(overload=Few(100))
    kept: set[int] = set()
    for turn in range(10):
        up, down = range(100 * turn, 100 * turn + 10), range(100 * turn + 10, 100 * turn + 20)
        for status_, names in (("in_service", up), ("terminating", down)):
            message = READER.message(list_of(names, 10 + turn, whole=False, status=status_))
            for endpoint in table.apply(0.0, message):
                if endpoint.row.state.name == "GONE":
                    kept.discard(endpoint.row.server)
                else:
                    kept.add(endpoint.row.server)
        assert len(table) <= 100 and len(kept) <= 100
    assert table.refused == 0


def test_a_new_server_that_finds_no_room_is_counted_and_the_others_stay() -> None:
    table = EndpointTable(overload=Few(10))
    first = table.apply(0.0, READER.message(list_of(range(10), 1, whole=False)))
    more = table.apply(0.0, READER.message(list_of(range(10, 15), 2, whole=False)))
    assert (len(first), len(more), len(table), table.refused) == (10, 0, 10, 5)
    whole = table.apply(0.0, READER.message(list_of(range(20, 25), 3, whole=True)))
    assert len(whole) >= 5 and len(table) <= 10
    assert READER.message(list_of(range(1), 1, whole=True)).kind is ListKind.WHOLE


def test_a_server_that_was_forgotten_is_not_put_back_by_an_older_message() -> None:
    table = EndpointTable(overload=Few(10))
    table.apply(0.0, READER.message(list_of(range(10), 5, whole=False, status="terminating")))
    table.apply(0.0, READER.message(list_of(range(10, 15), 6, whole=False)))
    older = table.apply(0.0, READER.message(list_of(range(5), 4, whole=False)))
    assert not any(endpoint.row.state.name == "UP" for endpoint in older)
