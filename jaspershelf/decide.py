"""All decisions of the balancer: which server, whether at all, again, or not any more.

Interface (settings, list rows, outcomes, actions): jaspershelf/model.py.

Pure and sans-I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with SRE-book throttling:
each server has a breaker that refuses locally with the larger of an error chance and
a latency chance; of two random ready servers the one with the lower latency x (in-flight + 1) is taken.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import replace
from itertools import chain
from math import exp, inf, log, sqrt
from random import Random

from jaspershelf.breaker import Breaker
from jaspershelf.model import (
    NEVER_RAN,
    Action,
    Cancel,
    Discovery,
    Evidence,
    Fail,
    Group,
    ListKind,
    Locality,
    Outcome,
    Reason,
    Refuse,
    Repeat,
    RequestId,
    Send,
    ServerId,
    ServerMemory,
    ServerRow,
    Settings,
    SharedView,
    State,
    Subscribe,
    TierMemory,
    Timer,
)
from jaspershelf.rates import Rate, risen
from jaspershelf.records import Attempt, Request, Server, usable_row
from jaspershelf.retry_budget import RetryBudget

AIM_PART = 0.98  # attempts end this early in the wanted time: the answer still has to reach the client
LATE_KEPT = 0.5  # classes whose late answers keep more of their worth are waited for

DRAWS = 8  # random draws for two candidates, at most
FIRST_ASK_MOST = 0.8  # seconds over which instances that start together spread their first call for the list
EXTRA_FREE = 5.0  # further attempts in any span where no retry budget is stated...
EXTRA_SHARE = 0.2  # ...and for each request taken in it: more would feed an overload...
EXTRA_SPAN = 10.0  # ...over so many seconds
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent

SMOOTH = 32.0  # answers over which the latency of the tier, and of each class, is smoothed
WORKING_SPREAD = 1.0  # servers of a slice beyond the first, for each call usually in flight
FALL_PART = 0.67  # of the rate at which a cold server falls over: proxies are unevenly loaded
WORKING_EVERY = 3.0  # seconds between looks at the size of the working set
PEERS_SETTLE = 5.0  # seconds for which the instances that live must be the same before slices follow them

ROOM_LEAST = 0.8  # a class worth nothing is taken while its expected latency is under this part of its aim...
ROOM_WORTH = 0.2  # ...the dearest so much longer; where nothing late is worth anything...
ROOM_SURE = 0.6  # ...all have this part of it: waits spread. By worth, so that the cheap still go first
ROOM_LOST = 0.57  # ...each shrinks to this part of itself, at servers that lose what they are sent...
ROOM_SLOPE = 8.0  # ...which it reaches where one request in so many fails
ROOM_BASE = 3.0  # times the unloaded latency that a wait is allowed at the most: beyond it queues only grow
BASE_SPAN = 300.0  # seconds in which that latency, the least seen, follows one that stays higher
IN_FLIGHT_LEAST = 3.0  # requests a server, of all instances, that are taken at any time: at a start, in a jam
COPY_BASE = 1.5  # times that latency up to which second copies are sent: beyond it all are late, not one
ROOM_CHANCE = 2.0  # standard deviations by which the requests owed may pass their mean: arrivals are random
ROOM_ALWAYS = 2.0  # requests that are taken whatever was served lately: a proxy with few calls
LOSS_SPAN = 10.0  # seconds over which servers that left the list are forgotten: by then the rates tell
SHARE_SPAN = 5.0  # seconds of its share that a tenant may use at once: a burst, not a surplus

POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's calls fill its window...
POOL_KEEPS = 0.85  # ...worthless requests are refused beyond 1 / this times those served...
POOL_WORTH = 0.45  # ...the dearest beyond 1 / (this less)

PACED = 16  # answers before the baseline by cost refuses anything: the first may have stood in a queue
HOPELESS = 0.6  # a request needs this part of that baseline at least: costs are hints, servers differ

LOAD_BOUND = 1.25  # times the mean of calls in flight, that a server may hold for the keys it is preferred by
GREED = 0.9  # of a limit goes by demand, the rest evenly: who had no callers yet may serve some
WINDOWS = 4  # seconds of demand that are kept, and a refresh of the shared facts, to be told

BAD_PART = 0.5  # of the lately failed calls, from which on a server adds nothing to its zone's health...
BAD_LATENCY = 0.7  # ...nor from this part of the longest wanted time on
GOLDEN = 0.6180339887498949  # steps of it spread any run of instances evenly over a ring
RAMP_LEAST = 0.05  # of its share that a zone or server comes back with

REST_AFTER = 2  # attempts in a row without a connection after which a server rests...
REST, REST_MOST = 1.0, 8.0  # ...so many seconds, doubling
OVERDUE = 3.0  # times its class's current latency that an attempt is out before a second copy is sent
SLOW_PART = 0.7  # of a request's time, after which one is sent beside a slow answer in any case

SUBSCRIBE = 1  # timer token; those above it are second copies that fall due


class Pool:
    """The servers that some of the classes may go to, and the slice of them that ordinary picks draw from.

    Guards placement: every pick, first or further, comes from a list that holds open servers alone.
    """

    def __init__(self, kinds: Sequence[int] | None, zones: Sequence[int] | None) -> None:
        self.kinds = kinds
        self.zones = zones
        self.ready: list[Server] = []
        self.working: list[Server] = []  # the part of `ready` that ordinary picks draw from...
        self.ends: list[float] = []  # ...where each one's stretch of the slice ends...
        self.begin = self.width = 0.0  # ...and the slice...
        self.size = 0.0  # ...with what its servers will be together once none is cold
        self.most = 0.0  # what all ready servers could do lately...
        self.left = 1.0  # ...and the part of it that they can do now
        self.factors: dict[int, float] = {}  # of each zone's stretches, where zones count
        self.groups: dict[tuple[Group, int], list[Server]] = {}  # which servers drop each other's repeats
        self.rate, self.sent, self.served = Rate(), Rate(), Rate()  # requests offered, attempts, served
        self.born = float("inf")  # when the first request came...
        self.before = 0.0  # ...and the requests a second that an earlier process had
        self.owed = 0  # requests that a final answer is owed for
        self.breaker = Breaker()  # of requests, whichever servers they went to...
        self.losses = Breaker()  # ...and of those refused unsent too
        self.warm_from = float("inf")  # when the next of the cold servers is warm
        self.warm_part = 1.0

    def opens(self, row: ServerRow) -> bool:
        """Whether the classes of this pool may go to this server."""
        return (self.kinds is None or row.kind in self.kinds) and (
            self.zones is None or row.zone in self.zones)

    def part_rate(self, now: float) -> float:
        """What each unit of size of the slice gets from here were none cold, in calls a second.

        By calls sent: refused clients come back and count again. Where all are cold, by calls offered.
        """
        rate = self.warm_part * self.sent.read(now) + (1.0 - self.warm_part) * self.rate.read(now)
        return rate / self.size if self.size else 0.0


class Zone:
    """What an instance holds of one zone, where zones count."""

    def __init__(self) -> None:
        self.share = 0.0  # of this instance's calls that it is to get...
        self.sent = 0  # ...and how many went there
        self.streak = 0  # calls in a row that failed there
        self.left_at = self.left_until = 0.0  # until when it gets nothing; 0: it is used
        self.left_for = 0.0
        self.back = float("-inf")  # since when it is used again

    def ramp(self, now: float, window: float) -> float:
        """The part of its share that it may have."""
        return min(1.0, max(RAMP_LEAST, (now - self.back) / window))


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        self.excluded: dict[ServerId, float] = {}  # taken out by hand, listed or not: since when
        self.returned: dict[ServerId, None] = {}  # put back by hand, and sent nothing since
        places = {(c.only_kinds, c.only_zones): Pool(c.only_kinds, c.only_zones) for c in settings.classes}
        self.pools = list(places.values())
        self.pool_of = [places[c.only_kinds, c.only_zones] for c in settings.classes]
        self.tenants = () if settings.tier else settings.tenants  # only the first tier sheds by share
        self.me, self.balancers = settings.me, settings.balancers  # among the instances that live
        self.seat, self.seat_at = (self.me, self.balancers), 0.0  # what they will be once it has stayed so
        self.shares = [t.quota / self.balancers for t in self.tenants]  # what of each is due here...
        self.due = [1.0 + SHARE_SPAN * share for share in self.shares]  # ...how many requests of it now...
        self.due_at = [0.0] * len(self.due)  # ...as of then
        self.look_at = 0.0
        self.shunned: frozenset[ServerId] = frozenset()  # on the word of other instances
        self.touched: dict[ServerId, Server] = {}  # that there is evidence on, where it is shared
        self.offered: dict[int, list[int]] = {}  # requests by second and class
        limited = len(settings.classes) + max(1, len(settings.tenants))  # limits are by class, then by tenant
        limits_of = settings.sharing.limits if settings.sharing is not None else ()
        self.limit = [*limits_of, *[0.0] * limited][:limited]
        self.admitted = [0] * limited
        # Requests a second of each limit that are this instance's; until the others are known, an even part.
        self.limit_rate = [limit / self.balancers for limit in self.limit]
        self.limit_due = [max(1.0, rate) for rate in self.limit_rate]
        self.limit_at = 0.0
        self.zone_parts: dict[int, float] = {}  # of the demand, where it is told; else taken for even
        self.zones: dict[int, Zone] = {}  # empty where zones don't count
        self.avoided: frozenset[int] = frozenset()  # the zones that are left
        self.panic = False  # too little is healthy for a choice among zones
        self.pooled = 0.0  # current latency of the tier
        self.requests: dict[RequestId, Request] = {}
        rules = settings.rules
        self.budget = (
            RetryBudget(rules.extra_free, rules.extra_share, rules.extra_span) if rules.extra_span > 0.0
            else RetryBudget(EXTRA_FREE, EXTRA_SHARE, EXTRA_SPAN)
        )
        self.memories: dict[ServerId, ServerMemory] = {}  # of an earlier process, until the list names them
        self.asking = False
        self.copies: dict[int, tuple[RequestId, int]] = {}  # timer token: which attempt it watches
        self.token = SUBSCRIBE
        self.backoff = 1.0
        rows = settings.classes
        dearest = max(c.worth for c in rows) or 1.0
        # Guards against refused clients that ask again at once and so keep up the overload that refused them.
        # Only the first tier has such clients: a server that calls asks no second time.
        obeyed = settings.limits.retry_after and not settings.tier
        self.come_back = settings.limits.max_retry_after if obeyed else 0.0
        self.class_latency = [0.0] * len(settings.classes)  # current latency of each class
        self.base = self.base_at = 0.0  # the tier's unloaded latency, once known, and when it was last moved
        late = sum(c.worth * c.late_worth for c in rows) / (sum(c.worth for c in rows) or 1.0)
        sure = min(1.0, ROOM_SURE + (1.0 - ROOM_SURE) * late / LATE_KEPT)
        self.room = [sure * c.aim for c in rows]
        self.room_part = [ROOM_LEAST + ROOM_WORTH * c.worth / dearest for c in rows]
        self.longest = max(c.aim for c in settings.classes)
        self.pace = 0.0  # baseline of latency for each unit of cost...
        self.paced = 0  # ...and the answers behind it
        self.accept_worth = [1.0 / (POOL_KEEPS - POOL_WORTH * c.worth / dearest) for c in settings.classes]
        self.lengths: list[dict[int, int]] = [{} for _ in settings.classes]  # of tries, in steps of 2%...
        self.usual = [0] * len(settings.classes)  # ...and the commonest
        self.unusual, self.unserved = Rate(), Rate()  # tries of another length, and tries not served

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
        if self.settings.discovery is not Discovery.ON_REQUEST:
            return []
        # All instances start together: spread the first calls over what the rules allow unasked. But the list
        # may be old, and a first call that fails must leave time for the next ones.
        spread = min(0.4 * self.settings.rules.ask_within, FIRST_ASK_MOST)
        return self._ask_in(now, spread * self.rng.random())

    def _ask_in(self, now: float, delay: float) -> list[Action]:
        if self.asking:
            return []
        self.asking = True
        return [Timer(now + delay, SUBSCRIBE)]

    def members(self, now: float, kind: ListKind, rows: Sequence[ServerRow]) -> list[Action]:
        """A list, a change to it, or the news that a call to discovery failed."""
        if kind is ListKind.BROKEN:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = self.backoff * (0.5 + self.rng.random())
            self.backoff = min(2.0 * self.backoff, max(1.0, self.settings.rules.ask_within))
            return self._ask_in(now, delay)
        if kind is not ListKind.STALE:
            self.backoff = 1.0
        rows = [usable_row(row) for row in rows]
        if kind is not ListKind.PATCH:
            listed = {row.server for row in rows}
            for server in self.servers.values():
                if server.row.server not in listed:
                    # Size and start time are kept: it may come back as the same process, still cold.
                    server.row = replace(server.row, state=State.GONE)
        for row in rows:
            known = self.servers.get(row.server)
            if known is None:
                self.servers[row.server] = Server(row)
                continue
            if row.started > known.row.started:
                known.restart(row.started)
            known.row = row
        self._arrange(now)
        return []

    def _recall(self) -> None:
        """Take up what an earlier process knew of servers that the list names only now."""
        for number in [number for number in self.memories if number in self.servers]:
            self.servers[number].restore(self.memories.pop(number))

    def restore(
        self, now: float, servers: Sequence[ServerMemory], tier: TierMemory | None
    ) -> list[Action]:
        """What an earlier process of this instance had learned; call it before `start`.

        Guards a start against picks that know nothing: slow and failing servers would get their share again
        until each is found out anew, and all instances of a fleet that restarts would do so together.
        """
        for memory in servers:
            known = self.servers.get(memory.server)
            if known is None:
                self.memories[memory.server] = memory
            else:
                known.restore(memory)
        if tier is not None and len(tier.class_latency) == len(self.class_latency):
            self.pooled, self.pace, self.paced = tier.pooled, tier.pace, tier.paced
            self.class_latency = list(tier.class_latency)
            for pool, rate in zip(self.pools, tier.rates, strict=False):
                pool.before = rate
            self._resize(now)
        return []

    def learned(self, now: float, since: float) -> tuple[list[ServerMemory], TierMemory]:
        """What would be worth keeping over a restart: of the servers that have answered since then."""
        rows = [
            ServerMemory(s.row.server, now, s.started, s.breaker.baseline, s.breaker.current, s.latency,
                         *s.breaker.counts(now))
            for s in self.servers.values() if s.breaker is not None and s.seen >= since
        ]
        rates = tuple(p.rate.read(now) for p in self.pools)
        return rows, TierMemory(self.pooled, tuple(self.class_latency), self.pace, self.paced, rates)

    def knows(self, server: ServerId) -> bool:
        """Whether the list has ever named this server."""
        return server in self.servers

    def forget(self, most: int) -> list[ServerId]:
        """Drop the longest known of the idle servers that are gone, beyond so many; which these are."""
        gone = [n for n, s in self.servers.items()
                if s.row.state is State.GONE and not s.out and n not in self.excluded]
        for server in (dropped := gone[:max(0, len(gone) - most)]):
            del self.servers[server]
            self.returned.pop(server, None)
            self.touched.pop(server, None)
        return dropped

    def takes(self, server: ServerId) -> bool:
        """Whether anything new may go to this server at all."""
        known = self.servers.get(server)
        return known is not None and self._takes(known)

    def in_use(self) -> list[tuple[ServerId, float]]:
        """The servers that calls may go to at all, with their sizes."""
        return [(n, s.row.size) for n, s in self.servers.items() if self._takes(s)]

    def _takes(self, server: Server) -> bool:
        return server.row.state is State.UP and server.row.server not in self.excluded

    def exclude(self, now: float, server: ServerId) -> list[Action]:
        """Send a server nothing more, whatever the list says of it, until it is included again."""
        self.excluded.setdefault(server, now)
        self.returned.pop(server, None)
        self._arrange(now)
        return []

    def include(self, now: float, server: ServerId) -> list[Action]:
        """Use an excluded server again, as one that has just started.

        Guards what was taken out to be restarted: the list need not have told of its start yet.
        """
        since = self.excluded.pop(server, None)
        known = self.servers.get(server)
        if since is not None and known is not None:
            known.restart(known.row.started if known.row.started >= since else now)
            self.returned[server] = None
        self._arrange(now)
        return []

    def targets(self, now: float) -> tuple[int, int]:
        """How many servers the list holds, and how many of those are avoided now, by hand or by choice."""
        listed = [s for s in self.servers.values() if s.row.state is not State.GONE]
        avoided = [s for s in listed if s.row.server in self.excluded or
                   (s.row.state is State.UP and s.rests_until > now)]
        return len(listed), len(avoided)

    def _arrange(self, now: float) -> None:
        """Rebuild the lists of ready servers and choose the slices anew.

        Guards the drains: they hold once the ready are listed, whatever the rest may run into.
        """
        self._list_ready()
        self._recall()
        self._resize(now)

    def _list_ready(self) -> None:
        """Rebuild the lists of ready servers; drained and gone ones leave them, and the slices, at once."""
        # A ring in scattered order, the same at every instance.
        ready = [s for s in self.servers.values() if self._takes(s)]
        ready.sort(key=lambda s: (s.row.server * 0x9E3779B1 & 0xFFFFFFFF, s.row.server))
        for pool in self.pools:
            pool.ready = [s for s in ready if pool.opens(s.row)]
            pool.groups = {}
            for server in pool.ready:
                pool.groups.setdefault((Group.ZONE, server.row.zone), []).append(server)
                pool.groups.setdefault((Group.CELL, server.row.cell), []).append(server)
            pool.working, pool.ends = [], []

    # ---- what instances share ----------------------------------------------------------------

    def peers(self, now: float, place: int, count: int) -> list[Action]:
        """This instance's place among those that live now, and how many they are.

        Guards the servers whose instance is gone: they would be left unused, and the others have its calls.
        Taken up once it has stayed so for a while: a restart must not move every slice twice. With as many as
        the settings say it is the place that those say.
        """
        seat = (self.settings.me if count == self.settings.balancers else place), count
        if seat != self.seat:
            self.seat, self.seat_at = seat, now
        elif seat != (self.me, self.balancers) and now - self.seat_at >= PEERS_SETTLE:
            self.me, self.balancers = seat
            self.shares = [t.quota / count for t in self.tenants]
            self._resize(now)
        return []

    def evidence(self, now: float, span: float) -> list[Evidence]:
        """What this instance has itself seen of the servers in this span."""
        self.touched = {n: s for n, s in self.touched.items() if max(s.served_at, s.failed_at) >= now - span}
        return [
            Evidence(n, s.served_at, s.failed_at, s.streak, s.slow) for n, s in self.touched.items()
            if s.row.state is State.UP
        ]

    def counts(self) -> tuple[dict[int, tuple[int, ...]], tuple[int, ...]]:
        """Requests offered by second, and those admitted since the start: by class, then by tenant."""
        return {window: tuple(row) for window, row in self.offered.items()}, tuple(self.admitted)

    def shared(self, now: float, view: SharedView) -> list[Action]:
        """What other instances have seen, within the staleness bound.

        Guards against finding a failing server out once at each instance. One is shunned once enough distinct
        instances have failed on it and nobody, this one included, has been served by it since the earliest of
        their failures: so one liar, or a server that fails now and then, changes nothing, and one's own newer
        evidence wins. It is shunned on one's own failures in a row too: its other users may be too few to
        agree. Of the limits each takes what its part of the demand is, and a side of a split no more than its
        part of the instances.
        """
        place = self.settings.sharing
        if place is None:
            return []
        failed: dict[ServerId, list[float]] = {}
        served: dict[ServerId, float] = {}
        own = self.evidence(now, place.staleness)
        alone = {row.server for row in own if 0 < place.consecutive <= row.count}
        for row in chain(own, *view.evidence):
            known = self.servers.get(row.server)
            if known is not None and self._takes(known) and row.failed > max(row.served, known.started):
                failed.setdefault(row.server, []).append(row.failed)
            served[row.server] = max(row.served, served.get(row.server, 0.0))
        agreed = []
        for number, times in failed.items():
            enough = sorted(times, reverse=True)[place.agree - 1:place.agree]
            if number in alone or (enough and served[number] < enough[0]):
                agreed.append((-len(times), number))
        most = int(place.max_ejected * sum(self._takes(s) for s in self.servers.values()))
        self.shunned = frozenset(number for _, number in sorted(agreed)[:most])
        if told := sum(view.zone_demand.values()):
            self.zone_parts = {number: demand / told for number, demand in view.zone_demand.items()}
        side = view.members / max(1, view.known)
        for kind, limit in enumerate(self.limit):
            mine = view.mine[kind] if kind < len(view.mine) else 0
            total = mine + (view.others[kind] if kind < len(view.others) else 0)
            even = 1.0 / view.members
            part = GREED * mine / total + (1.0 - GREED) * even if total else even
            self.limit_rate[kind] = limit * side * part
        return []

    def _within_limit(self, now: float, places: Sequence[int]) -> bool:
        """Whether a request is within this instance's part of the limits on it; counts it either way."""
        if self.settings.sharing is None:
            return True
        window = int(now)
        if window not in self.offered:
            kept = window - WINDOWS - self.settings.sharing.staleness / 3.0
            self.offered = {w: row for w, row in self.offered.items() if w > kept}
            self.offered[window] = [0] * len(self.limit)
        for n in places:
            self.offered[window][n] += 1
        passed = max(0.0, now - self.limit_at) if self.limit_at else 0.0
        self.limit_at = now
        for n, rate in enumerate(self.limit_rate):
            self.limit_due[n] = min(max(1.0, rate), self.limit_due[n] + rate * passed)
        if any(self.limit[n] and self.limit_due[n] < 1.0 for n in places):
            return False
        for n in places:
            self.limit_due[n] -= 1.0
        return True

    # ---- zones -----------------------------------------------------------------------------

    def _look_at_zones(self, now: float, place: Locality) -> None:
        """Leave zones that fail as a whole, take them back gradually, and share the calls out among the rest.

        Guards against a zone that is found out server by server, and one that flaps: it is left for a while
        that doubles. Its own zone comes first while that has capacity for an even part of the load; what it
        lacks goes to zones with more than theirs, its region's first (Envoy's zone-aware routing).
        """
        ready = [s for s in self.servers.values() if self._takes(s)]
        sizes: dict[int, float] = {}
        healthy: dict[int, float] = {}
        for server in ready:
            zone, size = server.row.zone, server.row.size or 1.0
            sizes[zone] = sizes.get(zone, 0.0) + size
            healthy[zone] = healthy.get(zone, 0.0) + size * (not self._is_bad(now, server))
        for number, size in sizes.items():
            held = self.zones.setdefault(number, Zone())
            there = [s for s in ready if s.row.zone == number]
            anew = 2 * sum(s.row.started > held.left_at for s in there) > len(there)
            if held.left_until and (now >= held.left_until or anew):
                held.left_until, held.streak, held.back = 0.0, 0, now
                for server in there:
                    server.restart(server.started)
                healthy[number] = size
            elif not held.left_until and (
                held.streak >= place.streak or healthy[number] < place.leave_below * size
            ):
                soon = now - held.back < place.slow_start + place.left_most
                held.left_for = min(place.left_most, 2.0 * held.left_for if soon else place.left_for)
                held.left_at, held.left_until = now, now + held.left_for
        for number, held in self.zones.items():
            held.share = 0.0
            healthy[number] = 0.0 if held.left_until else healthy.get(number, 0.0)
        total = sum(healthy.values())
        self.panic = total < place.panic_below * sum(sizes.values())
        self.avoided = frozenset()
        if not self.panic and total and len(ready) >= place.min_servers:
            self.avoided = frozenset(n for n, held in self.zones.items() if held.left_until)
            able = {n: healthy[n] * self.zones[n].ramp(now, place.slow_start) for n in healthy}
            self._share_out(able, sum(able.values()), place)

    def _share_out(self, able: dict[int, float], total: float, place: Locality) -> None:
        mine = self.settings.zone
        even = {n: 1.0 / self.settings.zones for n in able} if not self.zone_parts else {
            n: self.zone_parts.get(n, 0.0) for n in able
        }

        def region(number: int) -> int:
            return place.regions[number] if 0 <= number < len(place.regions) else 0

        parts = {number: part / total for number, part in able.items()}
        local = min(1.0, parts[mine] / max(even[mine], 1e-9)) if mine in parts else 0.0
        if mine in self.zones:
            self.zones[mine].share = local
        over = {n: max(0.0, part - even[n]) for n, part in parts.items() if n != mine}
        near = {n: part for n, part in over.items() if region(n) == region(mine)}
        lacks = sum(max(0.0, even[n] - part) for n, part in parts.items() if region(n) == region(mine))
        spare = sum(near.values())
        nearby = min(1.0, spare / lacks) if lacks else 1.0
        far = {n: part for n, part in over.items() if n not in near}
        for some, part in ((near, nearby), (far, 1.0 - nearby)):
            weight = sum(some.values())
            for number, surplus in some.items():
                self.zones[number].share += (1.0 - local) * part * surplus / weight if weight else 0.0

    def _is_bad(self, now: float, server: Server) -> bool:
        failed = server.breaker is not None and server.breaker.failed_part(now) >= BAD_PART
        return failed or server.rests_until > now or server.latency >= BAD_LATENCY * self.longest

    def _zone_learns(self, now: float, server: Server, good: bool) -> None:
        """Guards the first moments of a zone's loss: calls in a row tell before its servers do."""
        place, zone = self.settings.locality, self.zones.get(server.row.zone)
        if place is None or zone is None or zone.left_until:
            return
        zone.streak = 0 if good else zone.streak + 1
        if zone.streak == place.streak:
            self._resize(now)

    def _factors(self, now: float, pool: Pool, present: list[float]) -> dict[int, float]:
        """By how much each zone's servers have more or less of the calls than their size says."""
        able: dict[int, float] = {}
        for server, size in zip(pool.ready, present, strict=True):
            able[server.row.zone] = able.get(server.row.zone, 0.0) + size
        share = sum(self.zones[number].share for number in able)
        total = sum(size for n, size in able.items() if n not in self.avoided)
        if not share or not total:
            return {}
        # Guards against a zone whose own callers are too many for it, as after another one's loss: what is
        # lost here tells, and to that measure all zones are used by size.
        wide = min(1.0, ROOM_SLOPE * pool.losses.failed_part(now))
        return {
            n: ((1.0 - wide) * self.zones[n].share / share / size + wide / total * (n not in self.avoided))
            * sum(able.values()) if size else 1.0 for n, size in able.items()
        }

    def _resize(self, now: float) -> None:
        """Choose the slice of each pool's ring that ordinary calls are spread over.

        Guards against sparse windows: with few calls to many servers a breaker never leaves its protection,
        averages go stale, and the own in-flight says nothing. Acts where there are other instances. A
        server's stretch is as long as what it can do now; whole steps cover every server alike.
        """
        kept = exp((self.look_at - WORKING_EVERY - now) / LOSS_SPAN)
        self.look_at = now + WORKING_EVERY
        place = self.settings.locality
        if place is not None:
            self._look_at_zones(now, place)
        for pool in self.pools:
            present = [self._present(now, s) for s in pool.ready]
            total = sum(present)
            pool.most = max(total, total + (pool.most - total) * kept)
            pool.left = total / pool.most if pool.most else 1.0
            begins = now < pool.born + WORKING_EVERY
            rate = max(pool.rate.read(now), pool.before if begins else 0.0)
            want = total / max(1, len(pool.ready)) * (1.0 + WORKING_SPREAD * rate * self.pooled)
            step = total / self.balancers  # only whole steps cover every server alike
            pool.width = min(total, step * max(1, round(want / step))) if step else 0.0
            if begins and not pool.before:  # Guards the start: a load not yet seen is not a small one.
                pool.width = total
            pool.begin = step * self.me
            pool.factors = self._factors(now, pool, present) if place is not None else {}
            if pool.factors:
                present = [p * pool.factors[s.row.zone] for p, s in zip(present, pool.ready, strict=True)]
                pool.begin = total * (GOLDEN * self.me % 1.0)  # its zone's instances, spread evenly
            pool.size = pool.width / total * sum(s.row.size or 1.0 for s in pool.ready) if total else 0.0
            pool.working = []
            pool.ends = []
            at = 0.0
            for _ in range(2):  # the slice may reach past the ring's end
                for server, stretch in zip(pool.ready, present, strict=True):
                    at += stretch
                    if stretch and pool.begin < at and at - stretch < pool.begin + pool.width:
                        pool.working.append(server)
                        pool.ends.append(at)
            self._count_warm(now, pool)

    def _count_warm(self, now: float, pool: Pool) -> None:
        until = [self._cold_until(s) for s in pool.working]
        cold = [t for t in until if t > now]
        pool.warm_from = min(cold, default=float("inf"))
        pool.warm_part = 1.0 - len(cold) / len(until) if until else 1.0

    def _cold_until(self, server: Server) -> float:
        started, cold_for = server.started, self.settings.rules.cold_for
        return started + cold_for if started > 0.0 and cold_for > 0.0 else 0.0

    def _present(self, now: float, server: Server) -> float:
        """The size that a server has at least now: a cold one begins at a part of it."""
        rules, size = self.settings.rules, server.row.size or 1.0
        place, age = self.settings.locality, now - server.started
        if place is not None and age < place.slow_start:
            size *= max(RAMP_LEAST, age / place.slow_start)
        if self._cold_until(server) <= now:
            return size
        warmed = max(0.0, now - server.started) / rules.cold_for
        return size * (rules.cold_from + (1.0 - rules.cold_from) * min(1.0, warmed))

    def _spares_cold(self, now: float, server: Server, pool: Pool) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over, all instances together: in any short span this one gives it no more
        than its part of the load that the rule allows, for what the server can do for certain at that age.
        On average it gets far less: its stretch of the slice is that much shorter.
        """
        rules = self.settings.rules
        warm_rate = sum(
            p.part_rate(now) * p.factors.get(server.row.zone, 1.0) for p in self.pools if p.opens(server.row)
        )
        pace = FALL_PART * rules.fall_multiple * self._present(now, server) * warm_rate
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
            server.cold_seen = now
        most = max(1.0, pace * rules.fall_after)
        server.cold_credit = min(most, server.cold_credit + pace * (now - server.cold_seen))
        server.cold_seen = now
        return server.cold_credit < 1.0

    # ---- requests ------------------------------------------------------------------------

    def request(
        self, now: float, rid: RequestId, kind: int = 0, tenant: int = 0, deadline: float | None = None,
        cost: float = 0.0, retry: bool = False, whole: bool = True, prefer: Sequence[ServerId] = (),
    ) -> list[Action]:
        """A new request; exactly one final answer is owed from here on.

        One that is not whole is still coming in, and its deadline is as if its last byte came now: `arrived`
        tells when it does. Until then one attempt can be out at a time, and nothing that takes time counts.
        """
        self.settings.check_request(kind, tenant, deadline, cost)
        if rid in self.requests:
            raise ValueError(f"rid: {rid!r} is open already")
        if deadline is None:
            deadline = now + self.settings.classes[kind].deadline
        request = Request(rid, kind, deadline)
        request.until = self._worth_until(now, kind, deadline, retry)
        request.prefer = prefer
        self.requests[rid] = request
        self.budget.take(now)
        pool = self.pool_of[kind]
        pool.rate.add(now)
        if now >= self.look_at:
            self._resize(now)
        out: list[Action] = []
        if whole:
            self._owe(request)
        pool.born = min(pool.born, now)
        request.cost = cost or 1.0
        # Guards against work that cannot end in time: a heavy request, a caller with too little time left.
        hopeless = now + self._least(request) >= request.until
        if hopeless:
            self.pace *= 0.94  # a refusal teaches nothing: no unfair baseline stays for good
        over = self._over_share(now, tenant)
        places = kind, len(self.settings.classes) + tenant
        limited = not self._within_limit(now, places)
        taken = not hopeless and not limited and self._admits(now, kind, over)
        for n in places:
            self.admitted[n] += taken
        if not whole:
            request.patience = deadline - now, request.until - now
            request.deadline = request.until = inf
        # The list stands in for a dead slice, less its cold servers: others' slices share their budget.
        rest = (pool.working, True), (pool.ready, False)
        if not taken or not any(self._send(now, request, among, first, out) for among, first in rest):
            if not hopeless:  # its client will hardly try again
                self.unserved.add(now)
            reason = Reason.NO_SERVER if taken else Reason.ADMISSION
            reason = Reason.TOO_LITTLE_TIME if hopeless else Reason.SHARED_LIMIT if limited else reason
            self._answer(now, request, reason, out)
        return out

    def _owe(self, request: Request) -> None:
        request.owed = True
        self.pool_of[request.kind].owed += 1

    def arrived(self, now: float, rid: RequestId) -> list[Action]:
        """The rest of a request has come: its time runs from here on, and that of an attempt that is out."""
        request = self.requests.get(rid)
        if request is None or request.patience is None or request.done:
            return []
        deadline, until = request.patience
        request.patience = None
        request.deadline, request.until = now + deadline, now + until
        self._owe(request)
        for attempt in request.attempts:
            if attempt.open:
                attempt.sent = now
                attempt.server.out[attempt] = attempt.server.out.pop(attempt, None)
        return []

    def expire(self, now: float, rid: RequestId) -> list[Action]:
        """Its time is up: no further attempt begins, even where its last byte has not been read."""
        request = self.requests.get(rid)
        if request is not None:
            request.patience = None
            request.deadline, request.until = min(request.deadline, now), min(request.until, now)
        return []

    def bind(self, now: float, rid: RequestId) -> list[Action]:
        """The body of a request can't be sent again: it belongs to the attempt that is out."""
        request = self.requests.get(rid)
        if request is not None:
            request.bound = True
        return []

    def _least(self, request: Request) -> float:
        return HOPELESS * self.pace * request.cost if self.paced >= PACED else 0.0

    def _over_share(self, now: float, tenant: int) -> bool:
        """Whether a request is beyond its tenant's share, by a token bucket filled at this instance's part.

        Guards the others against one tenant's burst: what is over the share is worth little and goes first.
        Acts where requests fail, in the measure that they do. Could harm where one instance has most of a
        tenant's traffic: its part of the share is soon used up.
        """
        share = self.shares[tenant] if self.shares else 0.0
        if share <= 0.0:
            return False
        due = self.due[tenant] + share * (now - self.due_at[tenant])
        self.due[tenant] = due = min(due, 1.0 + SHARE_SPAN * share)
        self.due_at[tenant] = now
        if due < 1.0:
            return True
        self.due[tenant] -= 1.0
        return False

    def _admits(self, now: float, kind: int, over: bool) -> bool:
        """Whether the tiers below can be expected to serve one more request of this class in time.

        Guards against overload: what would end late is refused at once, before it costs work, and the
        cheapest class first. Acts at the first tier alone (a refusal further down wastes the work above), by
        pool, so that a jam of a bound class holds no room of the others: once the requests owed, over those
        served a second, make a wait too long for the class, or by the design's throttle over whole requests.
        That wait is the mean of all classes: a class whose own answers are quicker waits that much less.
        The unloaded latency bounds it too, as in Vegas and gradient limits: a longer queue serves no more.
        The wait shrinks with the part that fails: queues that lose requests must drain before they serve.
        The throttle guards against sparse windows: at many proxies each breaker of one server stays under its
        protection while all of them fail. Could harm: a short burst at a proxy with few calls is refused.
        """
        if self.settings.tier:
            return True
        pool = self.pool_of[kind]
        shrink = min(1.0, ROOM_SLOPE * pool.breaker.failed_part(now))
        room = self.room[kind] * (self.pooled / self.class_latency[kind] if self.class_latency[kind] else 1.0)
        room = min((1.0 - (1.0 - ROOM_LOST) * shrink) * room, ROOM_BASE * self.base)
        # Guards what is left of a fleet: it can hold as much a server as before, not what all held together.
        part = self.room_part[kind] * pool.left
        part *= 1.0 - (1.0 - self.settings.over_share_worth) * shrink * over
        served = pool.served.read(now) / risen(now - pool.born - self.pooled)
        due = part * room * served * (self.paced >= SMOOTH)
        spare = max(ROOM_ALWAYS, ROOM_CHANCE * sqrt(due))
        # Guards the start, and what has nearly stopped: from there the room grows with the answers that come.
        least = part * IN_FLIGHT_LEAST * len(pool.ready) / self.balancers
        if pool.owed > max(due + spare, least):
            return False
        # What is refused here is not counted: it would refuse the next ones and those that come back.
        return self.rng.random() >= pool.breaker.error_ratio(now, self.accept_worth[kind], POOL_PROTECTION)

    def _worth_until(self, now: float, kind: int, deadline: float, retry: bool) -> float:
        """Until when an answer earns something.

        Guards against work for answers that are worth little: servers full of it keep timely ones waiting.
        Acts where late answers lose half or more. First tries of a class all last alike and are the
        commonest; another length is a client's last try, begun a class deadline before its end. Where clients
        mark their repeats an unmarked try is the first, however short: that client has little patience.
        """
        row = self.settings.classes[kind]
        if row.late_worth > LATE_KEPT or row.streaming:
            return deadline
        begun = now
        if self.settings.tier == 0:
            seen, length = self.lengths[kind], round(50.0 * log(max(deadline - now, 1e-6)))
            seen[length] = seen.get(length, 0) + 1
            if seen[length] > seen.get(self.usual[kind], 0):
                self.usual[kind] = length
            if abs(length - self.usual[kind]) > 1 and seen[self.usual[kind]] >= 4:
                # Each last try follows one that ended unserved: more of them than of those are first tries.
                follows = self.unusual.read(now) < self.unserved.read(now)
                self.unusual.add(now)
                if retry or (follows and not self.settings.marks_retry):
                    begun = min(now, deadline - row.deadline)
        elif self.settings.passes_deadline:
            return deadline
        return min(deadline, begun + AIM_PART * row.aim)

    def _send(
        self, now: float, request: Request, among: list[Server], first: bool, out: list[Action]
    ) -> bool:
        """Send an attempt to the best candidate whose breaker does not refuse; False if there is none."""
        candidates = self._candidates(now, request, among, first)
        timeout = self.settings.classes[request.kind].aim
        pooled = self.pooled or timeout  # before any answer all are alike but for what they hold
        candidates.sort(key=lambda s: s.score(now, pooled))
        for server in candidates:
            if server.breaker is None:
                server.breaker = Breaker()
            if not server.breaker.refuses(now, timeout, self.rng):
                break
        else:
            return False
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        self.returned.pop(server.row.server, None)
        if server.row.zone in self.zones:
            self.zones[server.row.zone].sent += 1
        if request.attempts:
            self.budget.spend(now)
        attempt = Attempt(server, now if request.patience is None else inf)
        server.out[attempt] = None
        self.pool_of[request.kind].sent.add(now)
        request.attempts.append(attempt)
        request.open += 1
        within = request.until - now if now < request.until < request.deadline else 0.0
        out.append(Send(request.id, server.row.server, within))
        self._watch(now, request, out)
        return True

    def _watch(self, now: float, request: Request, out: list[Action]) -> None:
        """Have a second copy fall due, where one may be sent, once the newest attempt is out for too long.

        Guards against attempts that hang: connections that fall silent, answers that stop half-way, servers
        that stand still. Could harm in an overload, where all are late: then none are sent (see `timer`).
        """
        if not self._may_copy(request):
            return
        due = now + OVERDUE * self.class_latency[request.kind]
        if now < due < request.until:
            self.token += 1
            self.copies[self.token] = request.id, len(request.attempts)
            out.append(Timer(due, self.token))

    def _candidates(self, now: float, request: Request, among: list[Server], first: bool) -> list[Server]:
        """Two random ready servers, fewer where there are no more."""
        count = len(among)
        found: list[Server] = []
        pool = self.pool_of[request.kind]
        if now >= pool.warm_from:
            self._count_warm(now, pool)
        tried = [a.server for a in request.attempts]
        if self.returned and not tried and first:
            back = self._back(now, pool)
            if back is not None:
                return [back]
        if request.prefer and not tried and first:
            # Bounded load (Mirrokni, Thorup, Zadimoghaddam 2016): a server over its bound passes the key on.
            bound = max(1.0, LOAD_BOUND * len(self.requests) / max(1, len(pool.ready)))
            for number in request.prefer:
                server = self.servers.get(number)
                if server is not None and self._takes(server) and pool.opens(server.row) and (
                    len(server.out) < bound and self._passes(now, server, pool, first)
                ):
                    return [server]
        for _ in range(DRAWS if among else 0):
            if among is pool.working:
                at = bisect_right(pool.ends, pool.begin + pool.width * self.rng.random())
                server = among[min(at, count - 1)]
            else:
                server = among[int(self.rng.random() * count)]
            if server in found or server in tried or not self._passes(now, server, pool, first):
                continue
            found.append(server)
            if len(found) == 2:
                break
        return found

    def _passes(self, now: float, server: Server, pool: Pool, first: bool) -> bool:
        """Whether a server may be picked now, as far as its rest, its zone, its peers and its age say."""
        if server.rests_until > now or server.row.zone in self.avoided or server.row.server in self.shunned:
            return False
        return self._cold_until(server) <= now or (first and not self._spares_cold(now, server, pool))

    def _back(self, now: float, pool: Pool) -> Server | None:
        """A server that was put back by hand and has had no call yet, once it may have one.

        Guards against leaving it unused: it comes back with a shorter stretch, which may lie in the slices of
        other instances than before.
        """
        for number in self.returned:
            server = self.servers[number]
            if self._takes(server) and pool.opens(server.row) and not (
                self._cold_until(server) > now and self._spares_cold(now, server, pool)
            ):
                return server
        return None

    def _among(self, now: float, request: Request) -> list[Server]:
        """Where a further attempt may go by the rules; empty if nowhere.

        Guards the rule against doing an effect twice.
        """
        kind = self.settings.classes[request.kind]
        pool = self.pool_of[request.kind]
        first = request.first_maybe()
        if first is None or kind.repeat is Repeat.SAFE:
            return pool.ready
        if kind.repeat is Repeat.UNSAFE or now - first.sent >= WINDOW_MARGIN * kind.window:
            return []
        if kind.group is Group.ALL:
            return pool.ready
        row = first.server.row
        return pool.groups.get((kind.group, row.zone if kind.group is Group.ZONE else row.cell), [])

    def _again(self, now: float, request: Request, out: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        # Beside a slow answer it may come late: no answer at all is worse.
        until = request.deadline if request.is_slow() else request.until
        if request.done or request.bound or now >= until or not self.budget.allows(now):
            return False
        if len(request.attempts) >= self.settings.limits.max_attempts:
            return False
        return self._send(now, request, self._among(now, request), False, out)

    def _answer(self, now: float, request: Request, reason: Reason, out: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
        if request.attempts:
            self.pool_of[request.kind].breaker.failed(now)
        self.pool_of[request.kind].losses.failed(now)
        kind = self.settings.classes[request.kind]
        free = kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)
        harmless = free or request.first_maybe() is None
        out.append(Refuse(request.id, self.come_back, reason) if harmless else Fail(request.id, reason))
        self._finish(request, out)

    def _settle(self, request: Request) -> None:
        """It holds no room any more."""
        if request.owed:
            request.owed = False
            self.pool_of[request.kind].owed -= 1

    def _finish(self, request: Request, out: list[Action]) -> None:
        request.done = True
        self._settle(request)
        if not request.bound:
            out += self._cancels(request)
        if not request.open:
            self.requests.pop(request.id, None)

    def _cancels(self, request: Request, spared: int = -1) -> list[Action]:
        if not self.settings.limits.cancel:
            return []
        return [Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.open and n != spared]

    def outcome(
        self, now: float, rid: RequestId, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        """An attempt ended; unknown ones are ignored."""
        request = self.requests.get(rid)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.maybe_ran = how not in NEVER_RAN
        request.open -= 1
        if how is not Outcome.OK:
            taken = 0.0 if attempt.began else latency  # that of a transfer says nothing of the server's work
            self._learn(now, attempt, how, taken, self.settings.classes[request.kind].aim)
        elif not attempt.began:
            self._learn_served(now, request, attempt, latency)
        out: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(rid, None)
        elif last or how is Outcome.OK:
            if not attempt.began:
                self._count_served(now, request)
            self._finish(request, out)
        elif not request.open and not self._again(now, request, out):
            self.unserved.add(now)
            self._answer(now, request, Reason.NO_FURTHER_ATTEMPT, out)
        return out

    def _count_served(self, now: float, request: Request) -> None:
        pool = self.pool_of[request.kind]
        pool.served.add(now)
        pool.breaker.accepted(now)
        pool.losses.accepted(now)

    def _learn_served(self, now: float, request: Request, attempt: Attempt, latency: float) -> None:
        """What a served attempt tells of its server, its class and the baseline by cost."""
        self._learn(now, attempt, Outcome.OK, latency, self.settings.classes[request.kind].aim)
        usual = self.class_latency[request.kind]
        self.class_latency[request.kind] += (latency - usual) / SMOOTH if usual > 0.0 else latency
        gap = latency / request.cost - self.pace
        self.pace += gap / (4.0 if gap < 0.0 else 100.0) if self.paced else gap
        self.paced += 1
        # At first the mean, while few are out; then the least of it: a lasting queue is not taken in.
        risen = min(1.0, (now - self.base_at) / BASE_SPAN) if self.paced > SMOOTH else 1.0
        self.base, self.base_at = min(self.pooled, self.base + (self.pooled - self.base) * risen), now

    def _learn(self, now: float, attempt: Attempt, how: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.out.pop(attempt, None)
        breaker = server.breaker
        if breaker is None or how is Outcome.VOID or attempt.sent < server.started:
            return
        if how is Outcome.UNREACHABLE:
            self._rest(now, server)
        elif how not in (Outcome.CANCELLED, Outcome.TIMEOUT):
            server.unreached = 0
            server.rests_until = 0.0
        if self.zones and how is not Outcome.CANCELLED:
            self._zone_learns(now, server, how is Outcome.OK)
        if self.settings.sharing is not None:
            self.touched[server.row.server] = server
        if how is Outcome.OK and latency < BAD_LATENCY * self.longest:
            server.served_at, server.streak = now, 0
            self.shunned -= {server.row.server}
        elif how is not Outcome.CANCELLED:
            server.failed_at, server.streak = now, server.streak + 1
            server.slow = how in (Outcome.OK, Outcome.TIMEOUT)
        if how is Outcome.OK:
            breaker.accepted(now)
            if breaker.current <= 0.0 and self.pooled > 0.0:
                breaker.sample(min(latency, self.pooled))  # no baseline from one slow answer alone
            breaker.sample(latency)
            server.learn(now, latency)
            self.pooled += (latency - self.pooled) / SMOOTH if self.pooled > 0.0 else latency
        elif how is Outcome.CANCELLED:
            # Guards against a slow server that another's copy always beats: it took this long at the least.
            if latency > server.latency:
                server.learn(now, latency)
        else:
            breaker.failed(now)
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.learn(now, max(latency, timeout))

    def _rest(self, now: float, server: Server) -> None:
        """Pass a server over that could not be reached, for longer each time that it is tried in vain.

        Guards against machines that vanish: the breaker's window still holds what they accepted before, and
        nothing in flight makes them look free. Others of its zone that rest are evidence too: a zone is lost
        as a whole. Acts while most of the list is left: where nothing can be reached the fault is not theirs.
        """
        server.unreached += 1
        ready = [s for s in self.servers.values() if s.row.state is State.UP]
        resting = [s for s in ready if s.rests_until > now]
        alike = any(s.row.zone == server.row.zone for s in resting)
        if server.unreached + alike < REST_AFTER or 2 * (len(resting) + 1) > len(ready):
            return
        server.rests_until = now + min(REST_MOST, REST * 2.0 ** (server.unreached - 1))

    def answering(self, _: float, rid: RequestId, number: int) -> list[Action]:
        """A sound answer has begun to come in: no second copy is sent unless it is slow."""
        request = self.requests.get(rid)
        if request is not None and 0 <= number < len(request.attempts):
            request.attempts[number].answering = True
        return []

    def slow(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """The answer of an attempt has fallen silent, or comes slowly; to be told again while it does.

        A second copy may be sent beside it, which is kept: the answer that is whole first serves.
        """
        request = self.requests.get(rid)
        out: list[Action] = []
        if request is None or request.done or not 0 <= number < len(request.attempts):
            return out
        attempt = request.attempts[number]
        attempt.slow = attempt.open
        alone = request.open == 1 and attempt.open
        if alone and self._may_copy(request) and self._is_overdue(now, request, attempt):
            self._again(now, request, out)
        return out

    def _may_copy(self, request: Request) -> bool:
        """Whether its class allows a second copy, and it has come whole."""
        kind = self.settings.classes[request.kind]
        repeatable = kind.repeat is not Repeat.UNSAFE and not kind.streaming
        return self.settings.limits.second_copies and repeatable and request.patience is None

    def _is_crowded(self) -> bool:
        """Whether all answers are late, or too few are known to tell."""
        return self.paced < PACED or self.pooled > COPY_BASE * self.base

    def _is_overdue(self, now: float, request: Request, attempt: Attempt) -> bool:
        """Whether a slow answer is late by its class's latency, or by its request's time."""
        usual = self.class_latency[request.kind]
        late = usual > 0.0 and not self._is_crowded() and now >= attempt.sent + OVERDUE * usual
        return late or now >= attempt.sent + SLOW_PART * (request.deadline - attempt.sent)

    def begun(self, now: float, rid: RequestId, number: int, latency: float) -> list[Action]:
        """An answer is passed on as it comes: the request belongs to this attempt, and counts as served.

        Guards the room of others: how long the rest takes to pass says nothing of the server's work.
        """
        request = self.requests.get(rid)
        if request is None or request.done or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open or attempt.began:
            return []
        request.bound = attempt.began = True
        self._learn_served(now, request, attempt, latency)
        self._count_served(now, request)
        self._settle(request)
        return self._cancels(request, number)

    def gone(self, now: float, rid: RequestId) -> list[Action]:
        """The client left; no answer is owed any more."""
        request = self.requests.get(rid)
        out: list[Action] = []
        if request is not None and not request.done:
            self.unserved.add(now)
            self._finish(request, out)
        return out

    def timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        out: list[Action] = []
        if token == SUBSCRIBE and self.asking:
            self.asking = False
            out.append(Subscribe())
        elif token in self.copies:
            rid, number = self.copies.pop(token)
            request = self.requests.get(rid)
            if request is not None and len(request.attempts) == number and not (
                self._is_crowded() or request.is_answered()
            ):
                self._again(now, request, out)
        return out
