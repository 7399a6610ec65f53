"""SWIM membership with Lifeguard's refinements, as a sans-I/O state machine.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", 2017; memberlist's published documentation for push-pull anti-entropy.

Every method takes the time in seconds (any monotonic clock) and returns the datagrams to send as
`(address, Message)` pairs; nothing here opens a socket or reads a clock. Members are keyed by name; a
member's incarnation only grows, and only the member itself raises it (to refute, or to leave).
"""

from __future__ import annotations

import enum
import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

Address = tuple[str, int]


class State(enum.IntEnum):
    """A member's state as one member sees it; the order is SWIM's precedence at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """What a datagram is."""

    PING = 0  # probe the named target; answer ACK
    ACK = 1
    PING_REQ = 2  # probe `target` on the sender's behalf; answer ACK, or NACK when it does not answer
    NACK = 3
    SYNC = 4  # a full state; answer SYNC_REPLY with one's own
    SYNC_REPLY = 5
    GOSSIP = 6  # updates alone; no answer


@dataclass(slots=True, frozen=True)
class Update:
    """One fact about a member, as gossiped: `by` names who suspected it (suspicions only)."""

    name: str
    address: Address
    state: State
    incarnation: int
    by: str = ""


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram: its sender's name and address, a sequence number, a target and piggybacked updates."""

    kind: Kind
    sender: str
    address: Address
    seq: int
    target: str = ""
    target_address: Address | None = None
    updates: tuple[Update, ...] = ()


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """The protocol's named numbers; times in seconds. Defaults follow memberlist's LAN profile."""

    period: float = 1.0
    probes: int = 3  # a period: with one, the tail of detection is the wait until anybody happens to probe
    probe_timeout_part: float = 0.5  # of the period, for the direct ack...
    probe_again_part: float = 0.25  # ...and after which the ping is sent again: a lost datagram is no news
    indirect: int = 3  # k, peers asked to probe for us
    confirmations: int = 2  # further accusers after whom a suspicion has its least timeout
    retransmit_mult: int = 4  # an update is piggybacked mult * ceil(log10(N + 1)) times
    suspicion_mult: float = 4.0  # least suspicion timeout: mult * max(1, log10(N)) * period
    suspicion_max_mult: float = 6.0  # Lifeguard's beta: the first timeout is this times the least
    awareness_max: int = 8  # Lifeguard's local health multiplier tops out here
    sync_every: int = 10  # periods between full-state exchanges with a live member...
    reconnect_every: int = 5  # ...and between offers of it to a dead member or an unanswered seed...
    sync_rows: int = 10  # ...in a group of ten. In a larger one the first tells only where both differ, and
    # the second comes less often: bytes do not grow with the group
    sync_buckets: int = 16  # of members whose sums are compared: one of a scope of 300 is a datagram's rows
    updates_per_message: int = 12
    sync_updates: int = 20  # in a datagram of a full state: all of a large group's would not fit into one
    gossip_part: float = 0.2  # of the period, between rounds of gossip while there is news to tell...
    gossip_nodes: int = 3  # ...to so many random members
    stall_part: float = 0.5  # a gap of one period and this part more between ticks: this process stood still
    reap_after: int = 3600  # periods until a dead or left member is forgotten; it is told on for half of them


@dataclass(slots=True)
class Member:
    """A member as this process sees it; `heard` is when a datagram of its own last came."""

    name: str
    address: Address
    state: State
    incarnation: int
    since: float
    heard: float = -math.inf


@dataclass(slots=True)
class _Suspicion:
    started: float
    incarnation: int
    accusers: set[str] = field(default_factory=set)  # by their own probes

    @property
    def confirmations(self) -> int:
        return max(0, len(self.accusers) - 1)


@dataclass(slots=True)
class _Probe:
    target: str
    again_at: float  # inf once the ping was sent again
    indirect_at: float
    fail_at: float
    nacks: int = 0
    asked: int = 0


@dataclass(slots=True)
class _Relay:
    """A ping we send on another's behalf."""

    origin: Address
    seq: int
    nack_at: float


FULL = "full"  # the target of a full state's datagrams in a large group

Out = list[tuple[Address, Message]]
Observer = Callable[[Member, int], None]  # a member's state changed, in this probe round


class Swim:
    """One member's view of the group and the protocol that keeps it.

    `counters` holds probes, indirect probes, acks, suspicions, refutations, deaths, leaves and joins since
    the start. `observer`, if given, hears every change of a member's state or incarnation, with the round.
    """

    def __init__(
        self, name: str, address: Address, incarnation: int, seeds: list[Address], settings: SwimSettings,
        seed: int = 0, observer: Observer | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.round = 0
        self.awareness = 0
        self.leaving = False
        self.counters = dict.fromkeys(
            ("probes", "indirect_probes", "acks", "nacks", "suspicions", "refutations", "deaths", "leaves",
             "joins", "syncs", "stalls", "reaped"), 0
        )
        self._seeds = [seed_address for seed_address in seeds if seed_address != address]
        self._random = random.Random(seed)
        self._observer = observer
        self._next_question = 0.0  # to a stranger
        self._quiet = False  # strangers are not told on now
        self._now = 0.0  # as of the last round
        self._ticked = self._next_gossip = 0.0
        self._seq = 0
        self._order: list[str] = []
        self._probes: dict[int, _Probe] = {}  # those still out, by sequence number
        self._next_probe = 0.0
        self._probed = 0
        self._relays: dict[int, _Relay] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._queue: dict[str, tuple[Update, int]] = {}  # name: (update, times sent)

    # ---- events ------------------------------------------------------------------------

    def start(self, now: float) -> Out:
        """Announce oneself and ask every seed for its full state; after `leave`, come back anew."""
        if self.leaving:
            self.leaving = False
            self.incarnation += 1
        self._next_probe = self._ticked = now
        self._gossip(self._own(State.ALIVE))
        return [datagram for seed_address in self._seeds for datagram in self._sync(Kind.SYNC, seed_address)]

    def tick(self, now: float) -> Out:
        """Whatever is due by now: timeouts, suspicions that expire, the next probe round.

        To be called at `wake_at`, and once a period at the least: a longer gap counts as a stall of its own.
        """
        out: Out = []
        gap = now - self._ticked
        if gap > (1.0 + self.settings.stall_part) * self.settings.period:
            self._stalled(now, gap)
        self._ticked = now
        for seq, relay in list(self._relays.items()):
            if now >= relay.nack_at:
                del self._relays[seq]
                out.append((relay.origin, self._message(Kind.NACK, seq)))
        for seq, probe in list(self._probes.items()):
            if now >= probe.again_at:
                probe.again_at = math.inf
                out += self._ping(seq, probe.target)
            if probe.asked == 0 and now >= probe.indirect_at:
                out += self._ask_others(seq, probe)
            if now >= probe.fail_at:
                del self._probes[seq]
                self._failed(now, probe)
        size = self._size() if self._suspicions else 0
        for name, suspicion in list(self._suspicions.items()):
            if now >= suspicion.started + self._suspicion_timeout(suspicion.confirmations, size):
                member = self.members[name]
                del self._suspicions[name]
                self._apply(now, Update(name, member.address, State.DEAD, suspicion.incarnation), self.name)
                size = self._size()
        if self.leaving:
            return out
        if now >= self._next_gossip and self._queue:
            self._next_gossip = now + self.settings.gossip_part * self.settings.period
            known = self._live(suspects=True)
            for member in self._random.sample(known, min(self.settings.gossip_nodes, len(known))):
                if self._queue:
                    out.append((member.address, self._message(Kind.GOSSIP, 0)))
        if now >= self._next_probe:
            self._next_probe = now + self.settings.period / self.settings.probes
            out += self._ping_next(now)
            self._probed += 1
            if self._probed % self.settings.probes == 0:
                out += self._round(now)
        return out

    def receive(self, now: float, message: Message) -> Out:
        """A datagram came: its updates are applied, then it is answered as its kind asks."""
        sender = self.members.get(message.sender)
        if sender is not None:
            sender.heard = now
        # Whom a joiner learns of from a full state the others know: told on, it would cost them N rows.
        self._quiet = (message.target == FULL and message.kind in (Kind.SYNC_REPLY, Kind.GOSSIP)
                       and self.round < self.settings.sync_every)
        for update in message.updates:
            self._apply(now, update, message.sender)
        self._quiet = False
        if self.leaving and message.kind is not Kind.SYNC:
            return []
        newer = self._newer(message.updates)
        answer = self._answer(now, message)
        if newer:
            answer.append((message.address, self._message(Kind.GOSSIP, 0, updates=newer)))
        return answer + self._ask_stranger(now, message)

    def _ask_stranger(self, now: float, message: Message) -> Out:
        """Who probes us knows us; if we don't know it, news of it has passed us by, and it is asked."""
        stranger = message.kind is Kind.PING and message.seq and message.sender not in self.members
        if not stranger or self.leaving or message.sender == self.name or now < self._next_question:
            return []
        self._next_question = now + self.settings.period
        if len(self.members) > self.settings.sync_rows:
            return [self._compare(Kind.SYNC, message.address)]
        return self._sync(Kind.SYNC, message.address)

    # ---- full states, and where two differ ---------------------------------------------------------

    def _sums(self) -> list[int]:
        """A sum for each bucket of the members held for alive or suspected, oneself too, by name."""
        sums = [0] * self.settings.sync_buckets
        rows = [(member.name, member.incarnation) for member in self._live(suspects=True)]
        for name, incarnation in [*rows, *([] if self.leaving else [(self.name, self.incarnation)])]:
            sums[self._bucket(name)] ^= xxhash.xxh32_intdigest(f"{name}\0{incarnation}".encode())
        return sums

    def _bucket(self, name: str) -> int:
        return xxhash.xxh32_intdigest(name.encode()) % self.settings.sync_buckets

    def _compare(self, kind: Kind, address: Address) -> tuple[Address, Message]:
        """One's sums, which the other answers with the rows of the buckets that differ."""
        text = "".join(f"{one:08x}" for one in self._sums())
        own = self._own(State.LEFT if self.leaving else State.ALIVE)
        return address, self._message(kind, 0, target=text, updates=(own,))

    def _differing(self, text: str) -> set[int] | None:
        """The buckets in which these sums are not one's own; None if they are no sums of as many buckets."""
        try:
            data = bytes.fromhex(text)
        except ValueError:
            return None
        if len(data) != 4 * self.settings.sync_buckets:
            return None
        theirs = [int.from_bytes(data[at:at + 4], "big") for at in range(0, len(data), 4)]
        return {n for n, (one, two) in enumerate(zip(theirs, self._sums(), strict=True)) if one != two}

    def _answer_sync(self, message: Message) -> Out:
        """The full state to whoever sends its own, or what differs to whoever sends its sums."""
        differing = self._differing(message.target)
        if message.kind is Kind.SYNC_REPLY:
            # What we took from it is in our sums by now: what still differs it does not know.
            return self._sync(Kind.GOSSIP, message.address, differing) if differing else []
        self.counters["syncs"] += 1
        if differing is None:
            return self._sync(Kind.SYNC_REPLY, message.address)
        rows = self._sync(Kind.GOSSIP, message.address, differing) if differing else []
        return [*rows, self._compare(Kind.SYNC_REPLY, message.address)]

    def _newer(self, updates: tuple[Update, ...]) -> tuple[Update, ...]:
        """What the sender of these should know better: members that have refuted what it still suspects.

        Guards a member that missed a refutation: nobody else would tell it before its own timeout is over.
        """
        return tuple(
            Update(member.name, member.address, member.state, member.incarnation)
            for update in updates if update.state is State.SUSPECT
            if (member := self.members.get(update.name)) is not None
            and member.state is State.ALIVE and member.incarnation > update.incarnation
        )

    def _answer(self, now: float, message: Message) -> Out:
        kind = message.kind
        if kind is Kind.PING:
            if message.target and message.target != self.name:
                return []  # meant for a member that had this address before
            return [(message.address, self._message(Kind.ACK, message.seq))]
        if kind is Kind.ACK:
            return self._acked(now, message)
        if kind is Kind.NACK:
            if message.seq in self._probes:
                self._probes[message.seq].nacks += 1
            return []
        if kind is Kind.PING_REQ and message.target_address is not None:
            self._seq += 1
            self._relays[self._seq] = _Relay(
                message.address, message.seq, now + self.settings.period * self.settings.probe_timeout_part
            )
            return [(message.target_address, self._message(Kind.PING, self._seq, target=message.target))]
        if kind is Kind.SYNC or (kind is Kind.SYNC_REPLY and message.target):
            return self._answer_sync(message)
        return []

    def leave(self, now: float) -> Out:
        """Leave, for good or until `start`: a raised incarnation marked left, told to every member."""
        self.leaving = True
        self._probes.clear()
        self._relays.clear()
        self._suspicions.clear()
        self.incarnation += 1
        update = self._own(State.LEFT)
        self.counters["leaves"] += 1
        return [
            (member.address, self._message(Kind.PING, 0, updates=(update,)))
            for member in self._live(suspects=True)
        ]

    def wake_at(self) -> float:
        """The earliest time at which `tick` has something to do."""
        times = [relay.nack_at for relay in self._relays.values()]
        times += [min(probe.again_at, probe.fail_at if probe.asked else probe.indirect_at)
                  for probe in self._probes.values()]
        if not self.leaving:
            times.append(self._next_probe)
        if self._queue and self.members and not self.leaving:
            times.append(self._next_gossip)
        if self._suspicions:
            size = self._size()  # once: many may be suspected at a time, as when a rack is lost
            times += [
                suspicion.started + self._suspicion_timeout(suspicion.confirmations, size)
                for suspicion in self._suspicions.values()
            ]
        return min(times, default=math.inf)

    def _stalled(self, now: float, gap: float) -> None:
        """This process stood still (a pause, a starved machine): its own silence is no fault of the others.

        Answers that came meanwhile are still unread, so nothing is concluded from what fell due in between.
        """
        self.counters["stalls"] += 1
        self.awareness = min(self.settings.awareness_max, self.awareness + 1)
        self._probes.clear()
        self._relays.clear()
        self._next_probe = now
        for suspicion in self._suspicions.values():
            suspicion.started += gap

    # ---- the probe round ------------------------------------------------------------------------

    def _ping_next(self, now: float) -> Out:
        target = self._next_target()
        if target is None:
            return []
        self._seq += 1
        settings = self.settings
        scaled = settings.period * (1 + self.awareness)
        self._probes[self._seq] = _Probe(
            target.name, now + settings.probe_again_part * scaled, now + settings.probe_timeout_part * scaled,
            now + scaled,
        )
        self.counters["probes"] += 1
        return self._ping(self._seq, target.name)

    def _ping(self, seq: int, name: str) -> Out:
        target = self.members.get(name)
        return [(target.address, self._message(Kind.PING, seq, target=name))] if target is not None else []

    def _round(self, now: float) -> Out:
        """What is done once a period."""
        self.round += 1
        out: Out = []
        self._reap(now)
        rarer = max(1.0, len(self.members) / self.settings.sync_rows)
        for name, suspicion in self._suspicions.items():
            # Who accuses it asks it each round: its answer is the surest way to hear it refute.
            if self.name in suspicion.accusers:
                out.append((self.members[name].address, self._message(Kind.PING, 0, target=name)))
        every = self.settings.sync_every
        large = rarer > 1.0
        # Spread over the periods: those who start together must not all exchange in one.
        if (self.round + (xxhash.xxh32_intdigest(self.name.encode()) if large else 0)) % every == 0:
            live = self._live()
            if live:
                address = self._random.choice(live).address
                out += [self._compare(Kind.SYNC, address)] if large else self._sync(Kind.SYNC, address)
        every = self.settings.reconnect_every
        dead = [member.address for member in self.members.values() if member.state is State.DEAD]
        known = {member.address for member in self.members.values()}
        unknown = [address for address in self._seeds if address not in known]
        # A joiner whose first question was lost knows nobody, and nobody knows it: it asks again at once.
        joining = not self.members and self.round < self.settings.sync_every
        for lost, rounds in ((dead, int(every * rarer)), (unknown, 1 if joining else every)):
            if lost and self.round % rounds == 0:
                out += self._sync(Kind.SYNC, self._random.choice(lost))
        return out

    def _next_target(self) -> Member | None:
        """Round-robin over a list shuffled anew each pass: every member is probed within one pass."""
        out = {probe.target for probe in self._probes.values()}
        while self._order:
            member = self.members.get(self._order.pop())
            if member is not None and member.state in (State.ALIVE, State.SUSPECT) and member.name not in out:
                return member
        self._order = [member.name for member in self._live(suspects=True) if member.name not in out]
        self._random.shuffle(self._order)
        return self.members[self._order.pop()] if self._order else None

    def _ask_others(self, seq: int, probe: _Probe) -> Out:
        target = self.members.get(probe.target)
        if target is None:
            return []
        helpers = [member for member in self._live() if member.name != probe.target]
        chosen = self._random.sample(helpers, min(self.settings.indirect, len(helpers)))
        probe.asked = len(chosen) or -1
        self.counters["indirect_probes"] += len(chosen)
        return [
            (helper.address, self._message(Kind.PING_REQ, seq, target=target.name,
                                           target_address=target.address))
            for helper in chosen
        ]

    def _acked(self, now: float, message: Message) -> Out:
        relay = self._relays.pop(message.seq, None)
        if relay is not None:
            return [(relay.origin, self._message(Kind.ACK, relay.seq))]
        if self._probes.pop(message.seq, None) is not None:
            self.counters["acks"] += 1
            self.awareness = max(0, self.awareness - 1)
        return []

    def _failed(self, now: float, probe: _Probe) -> None:
        # Lifeguard: missing nacks say that the fault may be ours, so our own timeouts stretch.
        if probe.asked > 0 and probe.nacks < probe.asked:
            self.awareness = min(self.settings.awareness_max, self.awareness + 1)
        member = self.members.get(probe.target)
        if member is not None and member.state in (State.ALIVE, State.SUSPECT):
            self.counters["suspicions"] += member.state is State.ALIVE
            self._apply(now, Update(member.name, member.address, State.SUSPECT, member.incarnation,
                                    self.name), self.name)

    def _size(self) -> int:
        return 1 + len(self._live(suspects=True))

    def _suspicion_timeout(self, confirmations: int, size: int) -> float:
        """Lifeguard's, in a group of this size: from beta times the least down to the least, as independent
        confirmations come.
        """
        settings = self.settings
        least = settings.suspicion_mult * max(1.0, math.log10(size)) * settings.period
        most = settings.suspicion_max_mult * least
        expected = max(1, min(settings.confirmations, size - 2))  # not the first, nor its subject
        fall = math.log(confirmations + 1) / math.log(expected + 1)
        return max(least, most - (most - least) * fall)

    # ---- what is known ------------------------------------------------------------------------

    def _apply(self, now: float, update: Update, origin: str) -> None:
        """SWIM's rules of precedence; a rumour of one's own suspicion or death is refuted."""
        if update.name == self.name:
            outranked = update.incarnation > self.incarnation  # by an earlier self, after a step of the clock
            accused = update.incarnation == self.incarnation and update.state is not State.ALIVE
            if not self.leaving and not (outranked or accused) and update.state is not State.ALIVE:
                self._gossip(self._own(State.ALIVE))  # refuted before, but somebody has missed it
            if not self.leaving and (outranked or accused):
                self.incarnation = update.incarnation + 1
                self.counters["refutations"] += 1
                self.awareness = min(self.settings.awareness_max, self.awareness + 1)
                self._gossip(self._own(State.ALIVE))
            return
        member = self.members.get(update.name)
        if member is None:
            if update.state in (State.DEAD, State.LEFT):
                return  # nothing to learn of a stranger that is gone
            member = Member(update.name, update.address, update.state, update.incarnation, now)
            self.members[update.name] = member
            self.counters["joins"] += 1
            self._changed(now, member, update, origin, told_on=not self._quiet)
            return
        newer = update.incarnation > member.incarnation
        same = update.incarnation == member.incarnation
        state = update.state
        if state is State.ALIVE:
            taken = newer
        elif state is State.SUSPECT:
            if same and member.state is State.SUSPECT and update.by:
                suspicion = self._suspicions.get(member.name)
                if suspicion is not None and update.by not in suspicion.accusers:
                    suspicion.accusers.add(update.by)
                    self._gossip(update)
                return
            taken = (newer or same) and member.state in (State.ALIVE, State.SUSPECT) and (
                newer or member.state is State.ALIVE
            )
        elif state is State.DEAD:
            taken = (newer or same) and member.state in (State.ALIVE, State.SUSPECT)
        else:
            taken = (newer or same) and member.state is not State.LEFT
        if taken:
            member.address = update.address
            self._changed(now, member, update, origin)

    def _changed(
        self, now: float, member: Member, update: Update, origin: str, told_on: bool = True
    ) -> None:
        member.state = update.state
        member.incarnation = update.incarnation
        member.since = now
        if update.state is State.SUSPECT:
            accusers = {update.by} if update.by else set()
            self._suspicions[member.name] = _Suspicion(now, update.incarnation, accusers)
        else:
            self._suspicions.pop(member.name, None)
        if update.state is State.DEAD:
            self.counters["deaths"] += 1
        if told_on:
            self._gossip(update)
        if self._observer is not None:
            self._observer(member, self.round)

    def live(self) -> list[Member]:
        """The members that are not held for gone, suspects too; oneself is none of them."""
        return self._live(suspects=True)

    def _live(self, suspects: bool = False) -> list[Member]:
        states = (State.ALIVE, State.SUSPECT) if suspects else (State.ALIVE,)
        return [member for member in self.members.values() if member.state in states]

    def _own(self, state: State) -> Update:
        return Update(self.name, self.address, state, self.incarnation)

    def _old(self, member: Member, part: float) -> bool:
        return self._now - member.since > part * self.settings.reap_after * self.settings.period

    def _reap(self, now: float) -> None:
        """Forget members long gone: names of machines that never come back must not pile up."""
        self._now = now
        for member in list(self.members.values()):
            if member.state in (State.DEAD, State.LEFT) and self._old(member, 1.0):
                del self.members[member.name]
                self.counters["reaped"] += 1

    # ---- dissemination ------------------------------------------------------------------------

    def _gossip(self, update: Update) -> None:
        self._queue[update.name] = (update, 0)

    def _piggyback(self) -> tuple[Update, ...]:
        limit = self.settings.retransmit_mult * math.ceil(math.log10(len(self.members) + 2))
        # As sorted, without sorting all: while many join at once the queue holds them all.
        chosen = heapq.nsmallest(
            self.settings.updates_per_message, self._queue.items(), key=lambda item: item[1][1])
        for name, (update, sent) in chosen:
            if sent + 1 >= limit:
                del self._queue[name]
            else:
                self._queue[name] = (update, sent + 1)
        return tuple(update for _, (update, _) in chosen)

    def _message(
        self, kind: Kind, seq: int, target: str = "", target_address: Address | None = None,
        updates: tuple[Update, ...] | None = None,
    ) -> Message:
        if updates is None:
            updates = self._piggyback()
            suspect = self.members.get(target)
            if kind is Kind.PING and suspect is not None and suspect.state is State.SUSPECT:
                # Lifeguard's buddy system: who is probed hears of the suspicion first, and can refute it.
                updates = (Update(target, suspect.address, State.SUSPECT, suspect.incarnation), *updates)
        return Message(kind, self.name, self.address, seq, target, target_address, updates)

    def _sync(self, kind: Kind, address: Address, buckets: set[int] | None = None) -> Out:
        """The full state, or that of some buckets; dead members go as suspicions, so that a member told of
        its death can refute it.

        What goes beyond one datagram follows as gossip: each update stands for itself, in whatever order.
        """
        updates = [self._own(State.LEFT if self.leaving else State.ALIVE)]
        for member in self.members.values():
            if buckets is not None and self._bucket(member.name) not in buckets:
                continue
            if (member.state in (State.DEAD, State.LEFT) and self._old(member, 0.5)
                    and member.address != address):
                # Guards against passing round for ever what each forgets at its own time; but whoever is held
                # for gone must hear it, or the sides of a long cut never find each other.
                continue
            state = State.SUSPECT if member.state is State.DEAD else member.state
            updates.append(Update(member.name, member.address, state, member.incarnation))
        most = self.settings.sync_updates
        target = FULL if kind is not Kind.SYNC and len(self.members) > self.settings.sync_rows else ""
        pages = [tuple(updates[at:at + most]) for at in range(0, len(updates), most)]
        return [(address, self._message(Kind.GOSSIP if at else kind, 0, target, updates=page))
                for at, page in enumerate(pages)]
