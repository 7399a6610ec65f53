"""Shared facts within a scope with bounded fan-out, as a sans-I/O state machine.

The scope's members are cut into groups by their names' hash, about as many groups as each has members. Each
tells its own record to those of its group; of every other group it hears through one source there, which it
picks by rendezvous hashing (consistent subsetting: who comes or goes moves few picks). So a member talks to
about 2 * sqrt(N) others each way, each record comes to it once, and it is two hops old at the most.

Whoever wants news asks for it: a subscription names the group and what was acked, lasts a few refreshes and
is answered with a delta, what has changed since. News that is not acked is sent again; a source that is
silent or whose news are old is passed over for the next one in rendezvous order. A page holds what fits
into a frame. Now and then, jittered, a member asks one source for everything (anti-entropy), so that no
fault stays.

A record's version is when its origin started and when the record was made, in milliseconds of the common
clock: one from the future is impossible and dropped, so a lying source can't block newer ones. One past the
staleness bound gives way to any younger, also to that of a restart with a lower clock.

Wire, in a scope's envelope: `"x": [ASK, name, group, groups, epoch, acked]` and `"x": [NEWS, name, group,
groups, epoch, since, upto, now ms, more, rows]` with rows `[slot, age ms, base or nil, items]`, base
`[origin, start ms, zone]`, items `[kind, value, ...]` by pairs: evidence as in `facts`, admissions, or a
window (its number less the sender's second) with its demand. Times are Unix seconds, on the wire
milliseconds before `now`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgpack  # type: ignore[import-untyped]
import xxhash

from jaspershelf.model import Evidence
from lugspur.cluster import facts
from lugspur.cluster.codec import CodecError, envelope
from lugspur.cluster.swim import Address, State, Swim
from lugspur.discovery import server_id, server_name

ASK, NEWS = 0, 1
OWN = -1  # the group of a subscription to the source's own record alone
BUCKETS = 64  # of names, the most groups: enough for 4,096 members at the square root
ROW_BYTES = 12  # of a row beside its items, about
PAGE_BYTES = 1_200  # of rows in a datagram: with the envelope an Ethernet frame
EVIDENCE_MOST = 100  # servers in a record, those that fail first
WINDOWS_MORE = 2  # seconds of demand that are kept beyond the staleness bound, which the view looks back
HOLD = 60.0  # seconds for which a record is kept and told on, for the admissions in it

Item = str | int  # of a record: one of these, or a window's number
BASE, SEEN, EVIDENCE, ADMITTED = "b", "s", "e", "a"
Row = tuple[int, int, int, int, bool]  # server, served and failed in ms (0: never), failures in a row, slow
Datagrams = list[tuple[Address, bytes]]


@dataclass(slots=True, frozen=True)
class SpreadSettings:
    """Named numbers; times in parts of a refresh, which is a third of the staleness bound."""

    refresh: float = 1.0  # seconds between two records of a member, and between two deltas to a subscriber
    lease: float = 3.0  # a subscription that is not renewed ends
    look: float = 0.25  # between looks at who is there and which source is silent
    retry: float = 0.25  # until news that are not acked, or a question without an answer, are sent again...
    retries: int = 2  # ...so often: 0.1 ** 3 is left of a tenth lost; the next refresh comes anyway
    silent: float = 1.5  # a source that was not heard for so long is passed over: its next news is overdue
    shunned: float = 10.0  # for so long, half as much again by chance
    old: float = 2.4  # a source most of whose records are older is passed over too: it hears nothing itself
    batch: float = 0.05  # for which a new failure is held, to be told with others
    urgent: float = 0.2  # between two deltas to a subscriber for the sake of a new failure at the least
    admitted: float = 5.0  # between admissions told: they are for the operators' sums alone
    full: float = 30.0  # between full states asked for, half more or less by chance
    subscribers: int = 64  # of one source at the most: twice what 300 members give on the mean


@dataclass(slots=True)
class Record:
    """What an origin shares, as it is kept here; times in Unix milliseconds."""

    origin: str
    start: int
    zone: int
    at: int = 0
    evidence: tuple[Row, ...] = ()
    demand: dict[int, tuple[int, ...]] = field(default_factory=dict)
    admitted: tuple[int, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """What orders the records of one origin."""
        return self.start, self.at

    def failing(self) -> set[int]:
        """The servers that it tells as failing."""
        return {row[0] for row in self.evidence if row[2] > row[1]}

    def digest(self, width: int) -> facts.Digest:
        """As the facts take it; `width` classes and tenants, of which trailing zeros are not told."""
        return facts.Digest(
            self.origin, self.start, self.at, self.at / 1000.0,
            tuple(Evidence(server, served / 1000.0, failed / 1000.0, count, slow)
                  for server, served, failed, count, slow in self.evidence),
            tuple((window, _padded(counts, width)) for window, counts in sorted(self.demand.items())),
            _padded(self.admitted, width), self.zone,
        )


@dataclass(slots=True)
class _Subscription:
    """News that we have asked for."""

    since: float  # when it was begun
    epoch: int = 0
    acked: int = 0
    slots: dict[int, tuple[str, int, int]] = field(default_factory=dict)  # origin, start, zone
    asked: float = -math.inf
    heard: float = -math.inf


@dataclass(slots=True)
class _Subscriber:
    """One who asked us for news."""

    until: float
    due: float  # the next news, once more included...
    regular: float  # ...and apart from that
    acked: int = 0
    sent: int = 0
    soon: float = math.inf  # the next for the sake of a new failure
    told: float = -math.inf
    tries: int = 0
    more: bool = False  # pages follow once this one is acked


class Spread:
    """One member's part in a scope's shared facts; `facts` holds what came, from all its scopes.

    `accused`, if given, hears that somebody has begun to fail on a server. `counters` count since the start.
    """

    def __init__(
        self, name: str, cluster: str, scope: str, swim: Swim, shared: facts.Facts, start: float,
        settings: SpreadSettings, seed: int = 0, accused: Callable[[], None] | None = None,
    ) -> None:
        self.name, self.scope, self.settings = name, scope, settings
        self.facts = shared
        self.records: dict[str, Record] = {}
        self.counters = dict.fromkeys(
            ("rows", "stale", "old", "impossible", "strangers", "full", "passed_over", "sent", "bytes"), 0)
        self._envelope = envelope(cluster, scope)
        self._swim = swim
        self._random = Random(f"{seed} {name} {scope}")
        self._accused = accused
        self._epoch = int(1000 * start)
        self._own = self.records[name] = Record(name, self._epoch, 0)
        self._width = 0
        self._seq = 0
        self._logs: list[dict[tuple[str, Item], int]] = [{} for _ in range(BUCKETS)]  # the newest last
        self._slots: dict[str, int] = {}
        self._buckets: dict[str, int] = {}
        self._ranks: dict[str, int] = {}
        self._sources: dict[tuple[str, int], _Subscription] = {}
        self._subscribers: dict[tuple[str, int, int], _Subscriber] = {}
        self._silent: dict[str, float] = {}  # until when they are passed over
        self._groups = 1
        self._window = -1  # the newest told
        self._windows = math.ceil(shared.staleness) + WINDOWS_MORE
        self._admitted_at = self._look_at = 0.0
        self._full_at = math.inf

    # ---- events ------------------------------------------------------------------------

    def publish(
        self, now: float, evidence: Iterable[Evidence], offered: Mapping[int, tuple[int, ...]] | None,
        admitted: tuple[int, ...], zone: int,
    ) -> Datagrams:
        """One's own record, once a refresh and at a new failure; `offered` by window, None where unused."""
        own, settings = self._own, self.settings
        self._width = len(admitted)
        before = own.failing()
        own.at = max(own.at + 1, int(1000 * now))
        suspects = self.facts.suspects({*self._live(), self.name})
        rows = sorted(
            (row for row in evidence if row.failed > row.served or row.server in suspects),
            key=lambda row: (row.failed <= row.served, -max(row.served, row.failed)),
        )[:EVIDENCE_MOST]
        told = tuple((row.server, int(1000 * row.served), int(1000 * row.failed), row.count, row.slow)
                     for row in rows)
        items: list[Item] = []
        if own.zone != zone or own.origin not in self._slots:
            own.zone = zone
            items.append(BASE)
        if told != own.evidence:
            own.evidence = told
            items.append(EVIDENCE)
        own.admitted = admitted
        if now >= self._admitted_at:
            self._admitted_at = now + settings.admitted * settings.refresh * (0.5 + self._random.random())
            items.append(ADMITTED)
        if offered is not None:
            last = int(now) - 1  # the last whole one
            for window in range(max(self._window + 1, last + 1 - self._windows), last + 1):
                own.demand[window] = _trimmed(offered.get(window, ()))
                items.append(window)
            self._window = last
        self._changed(own, items)
        self.facts.take(now, own.digest(self._width), again=True)
        if own.failing() - before:
            self._urgent(now, self.name)
        for (_, group, _), subscriber in self._subscribers.items():
            if group == OWN:
                # Its heartbeat comes with the next record, or soon after it is overdue.
                subscriber.due, subscriber.regular = now, now + (1.0 + settings.retry) * settings.refresh
        return self.tick(now)

    def tick(self, now: float) -> Datagrams:
        """Whatever is due by now; to be called at `wake_at`."""
        if self._swim.leaving:
            self._sources.clear()
            self._subscribers.clear()
            return []
        out: Datagrams = []
        if now >= self._look_at:
            self._look_at = now + self.settings.look * self.settings.refresh
            out += self._look(now)
        for key, subscriber in list(self._subscribers.items()):
            if now >= subscriber.until:
                del self._subscribers[key]
            elif now >= subscriber.due:
                out += self._tell(now, key, subscriber)
        return self._counted(out)

    def wake_at(self) -> float:
        """The earliest time at which `tick` has something to do."""
        if self._swim.leaving:
            return math.inf
        return min([self._look_at, *[subscriber.due for subscriber in self._subscribers.values()]])

    def receive(self, now: float, fields: Any) -> Datagrams:
        """The `x` of a datagram; CodecError for what is none."""
        try:
            if self._swim.leaving:
                return []
            if fields[0] == ASK:
                _, name, group, groups, epoch, acked = fields
                return self._counted(self._asked(now, _text(name), _group(group, groups), groups,
                                                 _whole(epoch), _whole(acked)))
            if fields[0] != NEWS:
                raise ValueError("no kind of ours")
            _, name, group, groups, epoch, since, upto, base, _, rows = fields
            _group(group, groups)
            return self._counted(self._heard(now, _text(name), group, _whole(epoch), _whole(since),
                                             _whole(upto), _whole(base), rows))
        except (ValueError, TypeError, KeyError, IndexError, AttributeError) as fault:
            if isinstance(fault, CodecError):
                raise
            raise CodecError("shape") from fault

    def age(self, now: float) -> float:
        """Seconds since the oldest of the live members' records was made; inf where one has none."""
        ats = [self.records[name].at if name in self.records else -math.inf for name in self._live()]
        return now - min(ats, default=1000.0 * now) / 1000.0

    def peers(self) -> tuple[int, int]:
        """Members that we hear from, and that hear from us: the fan-in and the fan-out."""
        return len({name for name, _ in self._sources}), len({name for name, _, _ in self._subscribers})

    # ---- whom to ask ------------------------------------------------------------------------

    def _live(self) -> list[str]:
        return [member.name for member in self._swim.live()]

    def bucket(self, name: str) -> int:
        """Where a name falls; a group is every so many buckets."""
        found = self._buckets.get(name)
        if found is None:
            found = self._buckets[name] = xxhash.xxh32_intdigest(name.encode()) % BUCKETS
        return found

    def _rank(self, name: str) -> int:
        found = self._ranks.get(name)
        if found is None:
            found = self._ranks[name] = xxhash.xxh32_intdigest(f"{self.name}\0{name}".encode())
        return found

    def _look(self, now: float) -> Datagrams:
        """Pick the sources anew, ask those that are new or late, drop what is long gone."""
        settings = self.settings
        refresh = settings.refresh
        live = {m.name: m.state for m in self._swim.live()}
        self._groups = groups_for(len(live) + 1)
        by_group: list[list[str]] = [[] for _ in range(self._groups)]
        for name in live:
            by_group[self.bucket(name) % self._groups].append(name)
        mine = self.bucket(self.name) % self._groups
        wanted = {(name, OWN) for name in by_group[mine]}
        for (source, _), subscription in self._sources.items():
            if (now - max(subscription.heard, subscription.since) > settings.silent * refresh
                    and now >= self._silent.get(source, 0.0)):
                self._pass_over(now, source)
        for group, names in enumerate(by_group):
            if not names or (group == mine and not any(now < self._silent.get(n, 0.0) for n in names)):
                continue  # of its own group it hears from each, unless one is silent
            source = min(names, key=lambda n: (now < self._silent.get(n, 0.0), live[n] is not State.ALIVE,
                                               self._rank(n)))
            mates = by_group[mine]
            if now < self._silent.get(source, 0.0) and group != mine and mates:
                # The whole group is silent, as one of a single member whose link is cut, or that feeds as
                # many as it may: then second-hand, from one of one's own group that hears it.
                source = min(mates, key=lambda n: (now < self._silent.get(n, 0.0), self._rank(n)))
            used = self._sources.get((source, group))
            if used is not None and self._is_old(now, used, source, names):
                self._pass_over(now, source)
            wanted.add((source, group))
        self._sources = {key: self._sources.get(key) or _Subscription(now) for key in sorted(wanted)}
        if now >= self._full_at and self._sources:
            key = self._random.choice(list(self._sources))
            self._sources[key].acked, self._sources[key].asked = 0, -math.inf
            self.counters["full"] += 1
        if now >= self._full_at or self._full_at == math.inf:
            self._full_at = now + settings.full * refresh * (0.5 + self._random.random())
        for name in [n for n, until in self._silent.items() if now >= until]:
            del self._silent[name]
        for origin, record in list(self.records.items()):
            if origin != self.name and 1000.0 * (now - HOLD) > record.at:
                self._forget(origin)
        out: Datagrams = []
        for (source, group), subscription in self._sources.items():
            late = max(subscription.heard, subscription.asked) + settings.retry * refresh
            if subscription.heard > now - (1.0 + settings.retry) * refresh:
                late = math.inf  # news come as they should
            if now >= late or subscription.asked == -math.inf:
                out += self._ask(now, source, group, subscription)
        return out

    def _is_old(self, now: float, subscription: _Subscription, source: str, names: list[str]) -> bool:
        """Whether most of what a source tells of its group is old, though it has had the time to tell it."""
        old = self.settings.old * self.settings.refresh
        if now - subscription.since < old:
            return False
        others = [name for name in names if name != source]
        least = 1000.0 * (now - old)
        late = sum(name not in self.records or self.records[name].at < least for name in others)
        return 2 * late > len(others)

    def _pass_over(self, now: float, source: str) -> None:
        settings = self.settings
        self._silent[source] = now + settings.shunned * settings.refresh * (1.0 + 0.5 * self._random.random())
        self.counters["passed_over"] += 1

    def _ask(self, now: float, source: str, group: int, subscription: _Subscription) -> Datagrams:
        """The question for news, which acks those that came."""
        subscription.asked = now
        fields = [ASK, self.name, group, self._groups, subscription.epoch, subscription.acked]
        return self._send(source, fields)

    def _forget(self, origin: str) -> None:
        del self.records[origin]
        log = self._logs[self.bucket(origin)]
        for key in [key for key in log if key[0] == origin]:
            del log[key]
        # The slot stays: a number must not come to mean another origin within the epoch.
        for names in (self._buckets, self._ranks):
            names.pop(origin, None)

    # ---- what we are asked ------------------------------------------------------------------------

    def _asked(self, now: float, name: str, group: int, groups: int, epoch: int, acked: int) -> Datagrams:
        if name not in self._swim.members:
            self.counters["strangers"] += 1
            return []
        settings = self.settings
        key = name, group, groups
        subscriber = self._subscribers.get(key)
        until = now + settings.lease * settings.refresh
        if subscriber is None:
            if len(self._subscribers) >= settings.subscribers:
                return []  # it hears nothing, and asks another
            subscriber = self._subscribers[key] = _Subscriber(until, now, now)
        subscriber.until = until
        known = min(acked, self._seq) if epoch == self._epoch else 0
        if known == 0 and subscriber.acked:  # it knows nothing: a restart, or a full state is asked for
            subscriber.acked = subscriber.sent = subscriber.tries = 0
            subscriber.due = now
        elif known > subscriber.acked:
            subscriber.acked = known
        if known and known >= subscriber.sent:
            subscriber.tries = 0
            subscriber.due = now if subscriber.more else min(subscriber.regular, subscriber.soon)
            subscriber.more = False
        return self._tell(now, key, subscriber) if now >= subscriber.due else []

    def _since(self, group: int, groups: int, since: int) -> list[tuple[int, str, Item]]:
        """What has changed, the oldest first."""
        found: list[tuple[int, str, Item]] = []
        own = self.bucket(self.name)
        for bucket in (own,) if group == OWN else range(group, BUCKETS, groups):
            log = self._logs[bucket]
            for key in reversed(log):
                seq = log[key]
                if seq <= since:
                    break
                if group != OWN or key[0] == self.name:
                    found.append((seq, *key))
        found.sort(key=lambda row: row[0])
        return found

    def _tell(self, now: float, key: tuple[str, int, int], subscriber: _Subscriber) -> Datagrams:
        """A page of what one has not acked yet; none of it left: a heartbeat."""
        name, group, groups = key
        settings = self.settings
        news = self._since(group, groups, subscriber.acked)
        found: dict[str, list[Item]] = {}
        size, upto = 0, self._seq
        for seq, origin, item in news:
            size += (ROW_BYTES if origin not in found else 0) + self._size(origin, item)
            if size > PAGE_BYTES and found:
                break
            found.setdefault(origin, []).append(item)
            upto = seq
        else:
            upto = self._seq
        subscriber.more = upto < self._seq
        if now >= subscriber.regular:
            subscriber.regular = now + settings.refresh * (1.0 + settings.retry if group == OWN else 1.0)
        subscriber.due = subscriber.regular
        if news:
            subscriber.tries += 1
            if subscriber.tries <= settings.retries:
                subscriber.due = min(subscriber.due, now + settings.retry * settings.refresh)
        subscriber.sent = max(subscriber.sent, upto)
        subscriber.told, subscriber.soon = now, math.inf
        base = int(1000 * now)
        rows = [self._row(base, self.records[origin], items) for origin, items in found.items()]
        return self._send(name, [NEWS, self.name, group, groups, self._epoch, subscriber.acked, upto, base,
                                 subscriber.more, rows])

    def _size(self, origin: str, item: Item) -> int:
        """About how many bytes an item takes."""
        record = self.records[origin]
        if item == BASE:
            return 16 + len(origin)
        if item == EVIDENCE:
            return sum(16 + (row[0].bit_length() + 7) // 8 for row in record.evidence)
        if isinstance(item, int):
            return 4 + 2 * len(record.demand[item])
        return 4 + 5 * len(record.admitted) if item == ADMITTED else 0

    def _row(self, base: int, record: Record, items: list[Item]) -> list[Any]:
        told: list[Any] = []
        for item in items:
            if item == EVIDENCE:
                told += [EVIDENCE, [
                    [server_name(server), base - served if served else -1, base - failed if failed else -1,
                     count, slow] for server, served, failed, count, slow in record.evidence]]
            elif item == ADMITTED:
                told += [ADMITTED, record.admitted]
            elif isinstance(item, int):
                told += [item - base // 1000, record.demand[item]]
        name = [record.origin, record.start, record.zone] if BASE in items else None
        return [self._slots[record.origin], base - record.at, name, told]

    def _changed(self, record: Record, items: list[Item]) -> None:
        """Note what is to be told on; windows that nobody looks at any more are dropped."""
        origin = record.origin
        self._slots.setdefault(origin, len(self._slots))
        log = self._logs[self.bucket(origin)]
        for item in [*items, SEEN]:
            self._seq += 1
            log.pop((origin, item), None)
            log[origin, item] = self._seq
        newest = max(record.demand, default=0)
        for window in [window for window in record.demand if window <= newest - self._windows]:
            del record.demand[window]
            log.pop((origin, window), None)

    # ---- what we hear ------------------------------------------------------------------------

    def _heard(
        self, now: float, name: str, group: int, epoch: int, since: int, upto: int, base: int, rows: Any
    ) -> Datagrams:
        if name not in self._swim.members:
            self.counters["strangers"] += 1
            return []
        subscription = self._sources.get((name, group))
        if subscription is None:
            return []  # we hear it from another by now; this one's lease runs out
        if epoch != subscription.epoch:  # its first news, or another process
            subscription.epoch, subscription.acked = epoch, 0
            subscription.slots.clear()
        if since > subscription.acked:  # we have lost what came before
            return self._ask(now, name, group, subscription)
        touched: dict[str, Record] = {}
        accused = False
        for slot, age, who, items in rows:
            if who is not None:
                origin, start, zone = who
                if len(subscription.slots) >= facts.ORIGINS_MOST and slot not in subscription.slots:
                    raise ValueError("more origins than there can be")
                subscription.slots[_whole(slot)] = _text(origin), _whole(start), _whole(zone)
            known = subscription.slots.get(slot)
            if known is not None and known[0] != self.name:
                record, news = self._take(now, known, base, base - _signed(age), items)
                if record is not None:
                    touched[record.origin] = record
                    accused |= news
        subscription.acked = max(subscription.acked, upto)
        subscription.heard = now
        for record in touched.values():
            self.facts.take(now, record.digest(self._width), again=True)
        if accused and self._accused is not None:
            self._accused()
        return self._ask(now, name, group, subscription)

    def _take(
        self, now: float, who: tuple[str, int, int], base: int, at: int, items: list[Any]
    ) -> tuple[Record | None, bool]:
        """A row of news: the record if it changed, and whether its origin has begun to fail on a server."""
        self.counters["rows"] += 1
        origin, start, zone = who
        if at > 1000 * (now + facts.AHEAD_MOST) or start > at:
            self.counters["impossible"] += 1
            return None, False
        told = _read_items(base, items)
        record = self.records.get(origin)
        oldest = 1000 * (now - self.facts.staleness)
        if at < oldest:
            self.counters["stale"] += 1
            if told.admitted is not None:  # a grow-only count holds however old it is
                self.facts.take(now, facts.Digest(origin, start, at, at / 1000.0, admitted=told.admitted))
            return None, False
        if record is not None and (start, at) < record.version and record.at >= oldest:
            self.counters["old"] += 1
            if start != record.start:
                return None, False
            told.evidence = told.admitted = None  # but windows do not change any more
            at, zone = record.at, record.zone
        changed: list[Item] = []
        if record is None or record.start != start or record.zone != zone:
            if record is None and len(self.records) >= facts.ORIGINS_MOST:
                return None, False
            if record is not None and record.start != start:
                self._forget(origin)  # another process: nothing of the one before is told on
                record = None
            if record is None:
                record = self.records[origin] = Record(origin, start, zone)
            record.zone = zone
            changed.append(BASE)
        accused = False
        if told.evidence is not None and told.evidence != record.evidence:
            before = record.failing()
            record.evidence = told.evidence
            accused = bool(record.failing() - before)
            changed.append(EVIDENCE)
        if told.admitted is not None and told.admitted != record.admitted:
            record.admitted = told.admitted
            changed.append(ADMITTED)
        newest = max(record.demand, default=0)
        for window, counts in told.demand.items():
            if window not in record.demand and newest - self._windows < window <= at // 1000:
                record.demand[window] = counts
                changed.append(window)
        if not changed and at == record.at:
            return None, False
        record.at = at
        self._changed(record, changed)
        if accused:
            self._urgent(now, origin)
        return record, accused

    def _urgent(self, now: float, origin: str) -> None:
        """A new failure is told on at once, with what else comes in the next moment."""
        settings = self.settings
        bucket = self.bucket(origin)
        for (_, group, groups), subscriber in self._subscribers.items():
            if (origin == self.name) if group == OWN else bucket % groups == group:
                soon = max(now + settings.batch * settings.refresh,
                           subscriber.told + settings.urgent * settings.refresh)
                subscriber.soon = min(subscriber.soon, soon)
                subscriber.due = min(subscriber.due, soon)

    # ---- the datagrams ------------------------------------------------------------------------

    def _send(self, name: str, fields: list[Any]) -> Datagrams:
        member = self._swim.members.get(name)
        if member is None:
            return []
        return [(member.address, msgpack.packb(self._envelope | {"x": fields}))]

    def _counted(self, out: Datagrams) -> Datagrams:
        self.counters["sent"] += len(out)
        self.counters["bytes"] += sum(len(data) for _, data in out)
        return out


@dataclass(slots=True)
class _Told:
    """The items of a row."""

    evidence: tuple[Row, ...] | None = None
    admitted: tuple[int, ...] | None = None
    demand: dict[int, tuple[int, ...]] = field(default_factory=dict)


def groups_for(members: int) -> int:
    """How many groups so many members are cut into: the power of two next to the square root.

    A power of two, so that a group is cut in two, or two are joined, when the scope grows or shrinks.
    """
    return min(BUCKETS, 1 << max(0, round(math.log2(members) / 2.0)))


def _read_items(base: int, items: list[Any]) -> _Told:
    told = _Told()
    if len(items) % 2:
        raise ValueError("items come in pairs")
    for kind, value in zip(items[::2], items[1::2], strict=True):
        if kind == EVIDENCE:
            if len(value) > EVIDENCE_MOST:
                raise ValueError("too much evidence")
            told.evidence = tuple(
                (server_id(_text(name)), _then(base, served), _then(base, failed), _whole(count),
                 slow is True)
                for name, served, failed, count, slow in value)
        elif kind == ADMITTED:
            told.admitted = tuple(map(_whole, value))
        elif isinstance(kind, int):
            told.demand[base // 1000 + _signed(kind)] = tuple(map(_whole, value))
    return told


def _padded(counts: tuple[int, ...], width: int) -> tuple[int, ...]:
    return counts + (0,) * (width - len(counts))


def _trimmed(counts: tuple[int, ...]) -> tuple[int, ...]:
    length = len(counts)
    while length and not counts[length - 1]:
        length -= 1
    return tuple(counts[:length])


def _then(base: int, ago: Any) -> int:
    return base - ago if _signed(ago) >= 0 else 0


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= 255:
        raise ValueError("a name is a short text")
    return value


def _whole(value: Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 62:
        raise ValueError("a whole number")
    return value


def _signed(value: Any) -> int:
    if type(value) is not int or not -(1 << 62) < value < 1 << 62:
        raise ValueError("a number")
    return value


def _group(group: Any, groups: Any) -> int:
    """A group of so many; ValueError for what can't be."""
    if type(groups) is not int or not 1 <= groups <= BUCKETS or groups & (groups - 1):
        raise ValueError("groups are a power of two")
    if type(group) is not int or not OWN <= group < groups:
        raise ValueError("no such group")
    return group
