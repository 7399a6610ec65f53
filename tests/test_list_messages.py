"""Messages of discovery that are spoilt, repeated or older than what is known: what may be taken of them."""

from __future__ import annotations

import orjson
import pytest

from jaspershelf.model import ListKind, State
from jaspershelf.overload import GONE_MOST
from lugspur.discovery import Discovery
from lugspur.endpoint_table import STATE_LOST_AFTER, EndpointTable
from lugspur.endpoints import Endpoint, Reader, server_name

ENTRY = {"name": "s", "address": "127.0.0.1:1", "status": "in_service", "zone": "a", "type": "m", "group": 1,
         "weight": 1.0, "since_ms": 0}


SPOILT = [
    ("weight", "x"), ("weight", -1.0), ("weight", None), ("weight", True), ("group", "x"), ("group", [1]),
    ("since_ms", -5), ("since_ms", "x"), ("status", "odd"), ("zone", ["a"]), ("name", 5), ("address", "x"),
    ("status", None), ("status", ["terminating"]), ("name", ""), ("name", "n" * 10_000), ("address", None),
    ("weight", 1e999), ("group", 1.5),
]


class Told:
    """A watch without a connection, and all that it has handed on, server by server."""

    def __init__(self, *known: dict[str, object]) -> None:
        reader = Reader({"a": 0}, {"m": 0})
        self.calls = 0
        self.states: dict[str, State] = {}
        self.watch = Discovery(
            ("127.0.0.1", 1), reader, 5, self._tell, known=reader.endpoints({"endpoints": known})
        )

    def _tell(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        self.calls += 1
        if kind is not ListKind.PATCH:
            self.states.clear()
        self.states |= {server_name(endpoint.row.server): endpoint.row.state for endpoint in endpoints}

    def line(self, index: object, *entries: object, snapshot: bool = False) -> None:
        text = orjson.dumps({"index": index, "snapshot": snapshot, "endpoints": entries})
        self.watch.line(text)


@pytest.mark.parametrize(("field", "value"), SPOILT)
def test_a_malformed_entry_hides_none_of_the_others(field: str, value: object) -> None:
    """The sound ones are told, the spoilt one is counted, and its server, not known before, is not used."""
    told = Told()
    told.line(6, {**ENTRY, "name": "t", field: value}, ENTRY)
    assert told.states == {"s": State.UP} and told.watch.index == 6
    assert told.watch.unreadable == 1


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize(("field", "value"), SPOILT)
def test_a_malformed_entry_of_a_server_in_use_never_hides_its_drain(
    field: str, value: object, snapshot: bool
) -> None:
    """What can't be read of the status, or says draining, withdraws it; else it stays as it is known."""
    for status in ("terminating", "terminated", "in_service"):
        told = Told(ENTRY)
        entry = {**ENTRY, "status": status, field: value}
        told.line(6, entry, {**ENTRY, "name": "u"}, snapshot=snapshot)
        assert told.states["u"] is State.UP
        if field == "name":  # nobody can tell whose it is
            assert told.states.get("s") is None
        elif status == "in_service" and field != "status":
            assert told.states["s"] is State.UP
        else:
            assert told.states["s"] in (State.DRAINING, State.GONE)


def test_a_removed_server_needs_no_more_than_its_name() -> None:
    told = Told(ENTRY)
    told.line(6, {"name": "s", "status": "terminated"})
    assert told.states == {"s": State.GONE} and told.watch.index == 6


@pytest.mark.parametrize("entry", [None, 5, "s", [], {}, {"name": None}, {"status": "terminating"}])
def test_an_entry_that_names_no_server_is_passed_over(entry: object) -> None:
    told = Told(ENTRY)
    told.line(6, entry, {**ENTRY, "name": "u"})
    assert told.states == {"u": State.UP} and told.watch.unreadable == 1


@pytest.mark.parametrize("endpoints", [None, {}, "x", 5])
def test_a_message_without_a_list_of_entries_changes_nothing(endpoints: object) -> None:
    told = Told(ENTRY)
    with pytest.raises(ValueError, match="no list"):
        told.watch.line(orjson.dumps({"index": 6, "snapshot": True, "endpoints": endpoints}))
    assert told.calls == 0 and told.watch.index == 5


@pytest.mark.parametrize("order", [1, -1])
def test_of_two_entries_for_one_server_the_later_process_counts_and_else_the_drain(order: int) -> None:
    drains = {**ENTRY, "status": "terminating", "since_ms": 1000}
    told = Told(ENTRY)
    told.line(6, *[drains, {**ENTRY, "since_ms": 1000}][::order])
    assert told.states == {"s": State.DRAINING}
    told.line(7, *[drains, {**ENTRY, "since_ms": 2000}][::order])
    assert told.states == {"s": State.UP}


def test_an_older_message_puts_no_server_back_that_a_newer_one_has_withdrawn() -> None:
    told = Told(ENTRY, {**ENTRY, "name": "t"})
    told.line(9, {**ENTRY, "status": "terminating"}, {**ENTRY, "name": "t", "status": "terminated"})
    for snapshot in (False, True):
        told.line(8, ENTRY, {**ENTRY, "name": "t"}, {**ENTRY, "name": "u"}, snapshot=snapshot)
        assert told.states == {"s": State.DRAINING, "t": State.GONE, "u": State.UP}
        assert told.watch.index == 8, "the next watch resumes at what was told last"
    told.line(8, {**ENTRY, "since_ms": 5}, {**ENTRY, "name": "u", "status": "terminating"})
    assert told.states == {"s": State.UP, "t": State.GONE, "u": State.DRAINING}, "s has started anew"
    told.line(10, {**ENTRY, "name": "t"})
    assert told.states["t"] is State.UP, "a newer message is believed"


def test_a_server_that_an_older_list_leaves_out_comes_back_with_the_changes_after_it() -> None:
    told = Told(ENTRY)
    told.line(9, {**ENTRY, "name": "t"})
    told.line(7, ENTRY, snapshot=True)
    assert told.states == {"s": State.UP}
    told.line(9, {**ENTRY, "name": "t"})
    assert told.states == {"s": State.UP, "t": State.UP}


def test_a_discovery_that_has_lost_its_state_is_believed_after_a_while() -> None:
    """Its index stays lower for longer than a replica lags; until then nothing comes back into use."""
    reader, now = Reader({"a": 0}, {"m": 0}), 100.0
    table = EndpointTable(reader.endpoints({"endpoints": [ENTRY]}), 5)

    def tell(index: int, status: str) -> State:
        text = orjson.dumps({"index": index, "snapshot": True, "endpoints": [{**ENTRY, "status": status}]})
        [endpoint] = table.apply(now, reader.message(text))
        return endpoint.row.state

    assert tell(9, "terminating") is State.DRAINING
    assert tell(2, "in_service") is State.DRAINING
    now += STATE_LOST_AFTER - 0.1
    assert not table.has_lost_state(now) and tell(3, "in_service") is State.DRAINING
    now += 0.2
    assert table.has_lost_state(now)
    table.restart(3)
    assert not table.has_lost_state(now) and tell(3, "in_service") is State.UP


def test_removed_servers_are_forgotten_beyond_a_number() -> None:
    told = Told()
    for n in range(GONE_MOST + 50):
        name = f"n{n}"
        told.line(6 + 2 * n, {**ENTRY, "name": name})
        told.line(7 + 2 * n, {"name": name, "status": "terminated"})
    assert len(told.watch._table._known) == GONE_MOST


def test_the_index_moves_on_only_with_the_list_that_was_handed_on() -> None:
    """An exception on the way must not lose the news: the next watch resumes before it."""
    seen: list[int] = []

    def tell(kind: ListKind, endpoints: list[Endpoint]) -> None:
        seen.append(len(endpoints))
        if len(seen) == 1:
            raise RuntimeError("a fault of ours")

    watch = Discovery(("127.0.0.1", 1), Reader({"a": 0}, {"m": 0}), 5, tell)
    text = orjson.dumps({"index": 6, "snapshot": False, "endpoints": [ENTRY]})
    with pytest.raises(RuntimeError):
        watch.line(text)
    assert watch.index == 5
    watch.line(text)
    assert watch.index == 6 and seen == [1, 1]


def test_what_a_message_with_a_malformed_index_withdraws_is_withdrawn() -> None:
    told = Told(ENTRY, {**ENTRY, "name": "t"})
    with pytest.raises(ValueError, match="whole number"):
        told.line("x", {**ENTRY, "status": "terminating"}, {**ENTRY, "name": "t"}, {**ENTRY, "name": "u"})
    assert told.states == {"s": State.DRAINING} and told.watch.index == 5


def test_the_figures_tell_how_old_the_list_is() -> None:
    now = 100.0
    watch = Discovery(
        ("127.0.0.1", 1), Reader({"a": 0}, {"m": 0}), 5, lambda kind, endpoints: None, clock=lambda: now
    )
    assert watch.figures()[:2] == ["discovery.index=5", "discovery.age_ms=-1"]
    watch.line(b"")
    now += 2.5
    watch.line(orjson.dumps({"index": 6, "snapshot": False, "endpoints": [{**ENTRY, "weight": "x"}]}))
    now += 1.25
    watch.failures = 3
    assert watch.figures() == [
        "discovery.index=6", "discovery.age_ms=1250", "discovery.failures=3", "discovery.unreadable=1",
        "discovery.names=0", "discovery.names_refused=0",
    ]
