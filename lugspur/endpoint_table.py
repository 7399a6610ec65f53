"""The list of endpoints as discovery has told it: which message may still change what of it.

Messages may arrive that are older than what is known: from a replica that lags, from another address after
a reload, from a discovery that was restored. An older message never puts a server back into use that a newer
one has withdrawn, unless that server has started anew since. What withdraws a server is taken from any.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from jaspershelf.model import ListKind, State
from jaspershelf.overload import MemoryOverload
from lugspur.endpoints import Endpoint, ListMessage, PartialEntry

RANK = {State.UP: 0, State.DRAINING: 1, State.GONE: 2}  # the higher, the less a server may be used
MADE_ROOM = 8  # the part of all servers that is forgotten in one go where there is no room for a new one
STATE_LOST_AFTER = 30.0  # seconds with older messages alone, after which discovery has lost its state


@dataclass(slots=True)
class _Known:
    endpoint: Endpoint
    version: int  # the index of the message that told its state

    @property
    def rank(self) -> int:
        return RANK[self.endpoint.row.state]


class EndpointTable:
    """The servers that were told, bounded in number, and the removed ones apart."""

    def __init__(
        self, endpoints: Iterable[Endpoint] = (), index: int = 0,
        overload: MemoryOverload | None = None,
    ) -> None:
        """`overload` tells how many servers may be kept, and how many removed ones among them."""
        self._known = {endpoint.row.server: _Known(endpoint, index) for endpoint in endpoints}
        self._overload = overload or MemoryOverload()
        self._forgot_withdrawn = False  # an older message may name a server that is not known to be withdrawn
        self._full = False  # a look in this message has found none that could make room
        self._evicted: list[Endpoint] = []  # draining servers that have just made room for others
        self.refused = 0  # new servers for which there was no room
        self._highest = index
        self._behind_since: float | None = None

    def __len__(self) -> int:
        return len(self._known)

    def apply(self, now: float, message: ListMessage) -> list[Endpoint]:
        """Take a message up; the endpoints that it leaves changed, or all that it lists where it is whole.

        A message whose index can't be read withdraws servers and changes nothing else.
        """
        if message.index is None:
            return self._withdraw(message)
        self._follow(now, message.index)
        self._full = False
        told: dict[int, Endpoint] = {}
        for entry in message.entries:
            endpoint = self._resolve(entry, message.index)
            if endpoint is not None:
                server = endpoint.row.server
                told[server] = _safer(told[server], endpoint) if server in told else endpoint
        if message.kind is ListKind.WHOLE:
            self._remove_others(told, message.index)
        for endpoint in list(told.values()):
            if not self._set(endpoint, message.index):
                del told[endpoint.row.server]
        self._forget_removed()
        evicted, self._evicted = self._evicted, []
        return [*told.values(), *evicted]

    def has_lost_state(self, now: float) -> bool:
        """Whether discovery has been behind what it told before for too long to be catching up."""
        return self._behind_since is not None and now - self._behind_since >= STATE_LOST_AFTER

    def restart(self, index: int) -> None:
        """Take what discovery tells from this index on for the truth, whatever it told before."""
        for known in self._known.values():
            known.version = 0
        self._highest, self._behind_since = index, None

    def _follow(self, now: float, index: int) -> None:
        if index >= self._highest:
            self._highest, self._behind_since = index, None
        elif self._behind_since is None:
            self._behind_since = now

    def _resolve(self, entry: Endpoint | PartialEntry, index: int) -> Endpoint | None:
        """What an entry comes to, given what is known; None where it tells nothing of use."""
        if isinstance(entry, PartialEntry):
            known = self._known.get(entry.server)
            return None if known is None else _withdrawn(known.endpoint, entry.state)
        known = self._known.get(entry.row.server)
        if known is None:
            return entry if index >= self._highest or not self._forgot_withdrawn else None
        if index >= known.version or RANK[entry.row.state] >= known.rank:
            return entry
        return entry if entry.row.started > known.endpoint.row.started else known.endpoint

    def _set(self, endpoint: Endpoint, index: int) -> bool:
        """Keep what is told of a server; False where it is new and there is no room for it."""
        known = self._known.get(endpoint.row.server)
        if known is None:
            if len(self._known) >= self._overload.servers_most() and not self._make_room_for(endpoint):
                return False
            self._known[endpoint.row.server] = _Known(endpoint, index)
        else:
            # What is not in use keeps the newest index that said so.
            known.version = index if known.endpoint.row.state is State.UP else max(known.version, index)
            known.endpoint = endpoint
        return True

    def _withdraw(self, message: ListMessage) -> list[Endpoint]:
        found = []
        for entry in message.entries:
            row = entry if isinstance(entry, PartialEntry) else entry.row
            known = self._known.get(row.server)
            if known is not None and row.state is not None and RANK[row.state] > known.rank:
                known.endpoint = _withdrawn(known.endpoint, row.state)
                found.append(known.endpoint)
        return found

    def _remove_others(self, listed: dict[int, Endpoint], index: int) -> None:
        for server, known in self._known.items():
            if server not in listed and known.endpoint.row.state is not State.GONE:
                self._set(_withdrawn(known.endpoint, State.GONE), index)

    def _make_room_for(self, endpoint: Endpoint) -> bool:
        """Forget servers that are not in use, the removed ones and then the oldest first."""
        if endpoint.row.state is not State.UP:  # nobody uses it, so nothing has to be known of it
            self._forgot_withdrawn = True
            return False
        withdrawn = [] if self._full else [n for n, known in self._known.items() if known.rank]
        self._full = not withdrawn
        withdrawn.sort(key=lambda n: self._known[n].endpoint.row.state is not State.GONE)
        for server in withdrawn[:max(1, self._overload.servers_most() // MADE_ROOM)]:
            known = self._known.pop(server)
            if known.endpoint.row.state is not State.GONE:
                self._evicted.append(_withdrawn(known.endpoint, State.GONE))
        self._forgot_withdrawn |= bool(withdrawn)
        self.refused += not withdrawn
        return bool(withdrawn)

    def _forget_removed(self) -> None:
        most = self._overload.gone_most()
        if len(self._known) <= most:
            return
        removed = [n for n, known in self._known.items() if known.endpoint.row.state is State.GONE]
        for server in removed[:max(0, len(removed) - most)]:
            del self._known[server]
            self._forgot_withdrawn = True


def _withdrawn(endpoint: Endpoint, state: State | None) -> Endpoint:
    """An endpoint that may be used no more than this state allows; never more than before."""
    if state is None or RANK[state] <= RANK[endpoint.row.state]:
        return endpoint
    return Endpoint(replace(endpoint.row, state=state), endpoint.address)


def _safer(one: Endpoint, other: Endpoint) -> Endpoint:
    """Of two entries for one server in a message: the later process, else the one that is used less."""
    if one.row.started != other.row.started:
        return max(other, one, key=lambda endpoint: endpoint.row.started)
    return max(other, one, key=lambda endpoint: RANK[endpoint.row.state])
