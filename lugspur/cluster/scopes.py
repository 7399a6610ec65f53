"""The scopes of one process: a SWIM member in each, behind one address, as a sans-I/O state machine.

A scope is a group of proxies that share servers: those of a service, of a zone or of a region. Membership and
shared facts run among the members of the same scope alone, so what they cost depends on the scope's size and
not on the fleet's. A process may be in several scopes: the first is its home, which limits, demand and slices
are counted in. Without scopes there is one group, FLAT, whose datagrams name none: byte for byte those of a
program that knows no scopes.

Times are in seconds of any monotonic clock; what is to be sent is returned as `(address, bytes)`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from jaspershelf.model import Evidence
from lugspur.cluster import codec
from lugspur.cluster.codec import FLAT, CodecError
from lugspur.cluster.spread import Spread
from lugspur.cluster.swim import Address, Member, Message, Swim, SwimSettings
from lugspur.config import SCOPES_MOST

Datagrams = list[tuple[Address, bytes]]
Observer = Callable[[str, Member, int], None]  # in this scope a member's state changed, in this probe round
Facts = Callable[[dict[str, Any]], None]  # a datagram of the flat group's shared facts came


class Scopes:
    """One process's membership in its scopes.

    `scopes` are their names with the seeds of each, the home first; empty: the flat group, with `seeds`.
    `dropped` counts datagrams that are not ours to read, by reason; `on_drop` hears the first of each reason.
    `sent` and `received` count bytes by scope; what is dropped is in `dropped` alone.
    """

    def __init__(
        self, name: str, address: Address, incarnation: int, seeds: Sequence[Address],
        scopes: Mapping[str, Sequence[Address]], cluster: str, settings: SwimSettings, seed: int = 0,
        observer: Observer | None = None,
    ) -> None:
        self.name, self.address, self.cluster, self.settings = name, address, cluster, settings
        self._incarnation, self._seed, self._observer = incarnation, seed, observer
        self.swims: dict[str, Swim] = {}
        self.dropped: dict[str, int] = {}
        self.on_drop: Callable[[str], None] | None = None
        self.on_facts: Facts | None = None
        self.spreads: dict[str, Spread] = {}
        self._make: Callable[[str, Swim], Spread] | None = None
        self._epoch = 0.0
        for scope, own in (scopes or {FLAT: seeds}).items():
            self._add(scope, own)

    def _add(self, scope: str, seeds: Sequence[Address]) -> Swim:
        if scope and len(self.swims) >= SCOPES_MOST:
            raise ValueError(f"no more than {SCOPES_MOST} scopes")

        def observed(member: Member, round_: int) -> None:
            if self._observer is not None:
                self._observer(scope, member, round_)

        # The highest so far: in a scope that it was in before, its word on leaving must not outrank the new.
        self.swims[scope] = swim = Swim(
            self.name, self.address, self.incarnation,
            list(seeds), self.settings, seed=self._seed, observer=observed,
        )
        return swim

    # ---- what is known ------------------------------------------------------------------------

    @property
    def home(self) -> Swim:
        """The membership in the first scope, or in the flat group."""
        return next(iter(self.swims.values()))

    @property
    def incarnation(self) -> int:
        """The highest of one's own, over all scopes."""
        return max([self._incarnation, *(swim.incarnation for swim in self.swims.values())])

    @property
    def leaving(self) -> bool:
        """Whether this process has left its scopes."""
        return self.home.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        for swim in self.swims.values():
            swim.leaving = leaving

    def wake_at(self) -> float:
        """The earliest time at which `tick` has something to do."""
        return min([swim.wake_at() for swim in self.swims.values()]
                   + [spread.wake_at() - self._epoch for spread in self.spreads.values()])

    # ---- shared facts ------------------------------------------------------------------------

    def share(self, make: Callable[[str, Swim], Spread], epoch: float) -> None:
        """Spread shared facts in each scope, by what `make` gives for it.

        `epoch` is what makes this clock's times Unix seconds when it is added.
        """
        self._make, self._epoch = make, epoch
        self.spreads = {scope: make(scope, swim) for scope, swim in self.swims.items()}

    def publish(
        self, now: float, evidence: Collection[Evidence], offered: Mapping[int, tuple[int, ...]] | None,
        admitted: tuple[int, ...], zone: int,
    ) -> Datagrams:
        """One's own facts, as of this time in Unix seconds, in every scope."""
        return [one for spread in self.spreads.values()
                for one in spread.publish(now, evidence, offered, admitted, zone)]

    # ---- events ------------------------------------------------------------------------

    def start(self, now: float) -> Datagrams:
        """Join every scope; after `leave`, come back anew."""
        return self._each(lambda swim: swim.start(now))

    def tick(self, now: float) -> Datagrams:
        """Whatever is due by now, in every scope; call it at `wake_at`, and once a period at the least."""
        out = self._each(lambda swim: swim.tick(now))
        unix = now + self._epoch
        return out + [one for spread in self.spreads.values() if unix >= spread.wake_at()
                      for one in spread.tick(unix)]

    def leave(self, now: float) -> Datagrams:
        """Leave every scope, for good or until `start`."""
        return self._each(lambda swim: swim.leave(now))

    def move(self, now: float, scopes: Mapping[str, Sequence[Address]]) -> Datagrams:
        """Be in these scopes from now on: those no longer named are left, new ones joined, the rest kept."""
        if not scopes or FLAT in scopes or len(scopes) > SCOPES_MOST:
            raise ValueError("between one and the most scopes, each with a name")
        before, out = self.swims, []
        self._incarnation = self.incarnation + 1
        for scope, swim in before.items():
            if scope not in scopes:
                out += self._encoded(scope, swim.leave(now))
        self.swims = {}
        spreads, self.spreads = self.spreads, {}
        for scope, seeds in scopes.items():
            if scope in before:
                self.swims[scope] = before[scope]
            else:
                out += self._encoded(scope, self._add(scope, seeds).start(now))
            if self._make is not None:
                self.spreads[scope] = spreads.get(scope) or self._make(scope, self.swims[scope])
        return out

    def receive(self, now: float, data: bytes) -> Datagrams:
        """A datagram came. What is not of this cluster, or of a scope not known here, is dropped."""
        try:
            raw = codec.open_datagram(self.cluster, data)
            scope = codec.scope_of(raw)
            swim = self.swims.get(scope)
            if swim is None:
                raise CodecError("scope")
            if "f" in raw and scope == FLAT:
                if self.on_facts is not None:
                    self.on_facts(raw)
                return []
            if "x" in raw:
                spread = self.spreads.get(scope)
                return spread.receive(now + self._epoch, raw["x"]) if spread is not None else []
            message = codec.read_message(raw)
        except CodecError as fault:
            count = self.dropped.get(fault.reason, 0)
            self.dropped[fault.reason] = count + 1
            if count == 0 and self.on_drop is not None:
                self.on_drop(fault.reason)
            return []
        return self._encoded(scope, swim.receive(now, message))

    # ---- inside ------------------------------------------------------------------------

    def _each(self, does: Callable[[Swim], list[tuple[Address, Message]]]) -> Datagrams:
        return [one for scope, swim in self.swims.items() for one in self._encoded(scope, does(swim))]

    def _encoded(self, scope: str, out: list[tuple[Address, Message]]) -> Datagrams:
        return [(address, codec.encode(self.cluster, message, scope)) for address, message in out]
