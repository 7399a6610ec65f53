"""Lists with odd figures, and faults while a list is applied: no drain is missed for either."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from jaspershelf.decide import Balancer
from jaspershelf.model import (
    ListKind,
    Locality,
    Repeat,
    RequestClass,
    Rules,
    Send,
    ServerMemory,
    ServerRow,
    Settings,
    State,
)

NOW = 1_000.0
SAFE = RequestClass("safe", aim=1.0, deadline=4.0, repeat=Repeat.SAFE)
BOUND = replace(SAFE, only_kinds=(0,), only_zones=(0,))
RULES = {
    "cold start": Rules(cold_from=0.3, cold_for=9.0),
    "cold from nothing": Rules(cold_from=0.0, cold_for=9.0),
    "no cold start": Rules(cold_for=0.0),
}
PLACES = {"zones count": Locality(min_servers=1), "zones don't count": None}
ODD: dict[str, list[ServerRow]] = {
    "a weight of 0": [ServerRow(3, size=0.0)],
    "the largest weights": [ServerRow(3, size=1e308), ServerRow(4, size=1e308)],
    "an endless weight": [ServerRow(3, size=math.inf)],
    "a weight that is no number": [ServerRow(3, size=math.nan)],
    "a weight below 0": [ServerRow(3, size=-1.0)],
    "the least weight": [ServerRow(3, size=5e-324)],
    "the least weights alone": [ServerRow(n, size=5e-324) for n in (2, 3)],
    "a huge group": [ServerRow(3, cell=10 ** 400)],
    "no known type or zone": [ServerRow(3, kind=-1, zone=-1)],
    "a start just ahead": [ServerRow(3, started=NOW + 0.001)],
    "all started just ahead": [ServerRow(n, started=NOW + 0.001) for n in (2, 3)],
    "a zone started just ahead": [ServerRow(3, zone=1, started=NOW + 0.001)],
    "a start in the far future": [ServerRow(3, started=1e305)],
    "an endless start": [ServerRow(3, started=math.inf)],
    "a start that is no number": [ServerRow(3, started=math.nan)],
    "one server twice": [ServerRow(3), ServerRow(3, started=5.0)],
    "nothing else": [],
}

OUTWEIGHED = {"the largest weights", "all started just ahead"}  # here the sound one may get next to nothing


def made(rules: Rules, place: Locality | None) -> Balancer:
    settings = Settings(classes=(SAFE, BOUND), rules=rules, locality=place, zones=2, balancers=200)
    balancer = Balancer(settings, 1)
    balancer.members(NOW, ListKind.STALE, [ServerRow(1), ServerRow(2), ServerRow(9, zone=1)])
    balancer.start(NOW)
    return balancer


def sent_to(balancer: Balancer, kind: int = 0, count: int = 60) -> set[int]:
    """Which servers so many requests go to, one after another."""
    servers = set()
    for number in range(count):
        actions = balancer.request(NOW + 0.01 * number, f"{kind}/{number}", kind)
        servers |= {action.server for action in actions if isinstance(action, Send)}
        balancer.gone(NOW + 0.01 * number, f"{kind}/{number}")
    return servers


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rules", RULES)
@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("odd", ODD)
def test_a_drain_beside_odd_figures_holds(odd: str, whole: bool, rules: str, place: str) -> None:
    """Whichever comes first in the message, and the servers that are left are used."""
    for order in (1, -1):
        balancer = made(RULES[rules], PLACES[place])
        rows = [ServerRow(1, State.DRAINING), *ODD[odd], ServerRow(2), ServerRow(9, State.GONE, zone=1)]
        balancer.members(NOW, ListKind.WHOLE if whole else ListKind.PATCH, rows[::order])
        for kind in (0, 1):
            servers = sent_to(balancer, kind)
            assert 2 in servers or odd in OUTWEIGHED, "a sound server is not used"
            assert not servers & {1, 9}, "a server that drains, or is gone, is used"


@pytest.mark.parametrize(
    "row", [ServerRow(1, size=math.nan), ServerRow(1, size=-1.0), ServerRow(1, started=math.nan)]
)
def test_a_server_in_use_is_not_used_on_figures_that_make_no_sense(row: ServerRow) -> None:
    balancer = made(Rules(), None)
    balancer.members(NOW, ListKind.PATCH, [row])
    assert not balancer.takes(1) and 1 not in sent_to(balancer)
    balancer.members(NOW, ListKind.PATCH, [ServerRow(1)])
    assert balancer.takes(1)


def test_a_drain_holds_though_the_slices_can_not_be_chosen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever fails after the rows were read: picks draw from nothing that drains."""
    balancer = made(Rules(), None)

    def fails(_: float) -> None:
        raise ArithmeticError

    monkeypatch.setattr(balancer, "_resize", fails)
    with pytest.raises(ArithmeticError):
        balancer.members(NOW, ListKind.PATCH, [ServerRow(1, State.DRAINING)])
    balancer.look_at = math.inf
    assert sent_to(balancer) == {2, 9}


def test_a_drain_holds_beside_a_server_whose_memory_can_not_be_restored() -> None:
    balancer = made(Rules(), None)
    balancer.restore(NOW, [ServerMemory(3, math.nan)], None)
    with pytest.raises(ValueError, match="NaN"):
        balancer.members(NOW, ListKind.PATCH, [ServerRow(3), ServerRow(1, State.DRAINING)])
    assert not balancer.takes(1) and 1 not in sent_to(balancer)
