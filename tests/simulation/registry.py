"""The scripted discovery: a ledger of what it holds, and stations where processes call it.

A station serves calls in turn, and does not notice that a caller has given up. What it does wrong is set by
the faults; what it wrote, and when, is noted as facts for the checker (`drain_rule`).
"""

from __future__ import annotations

import json
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from drain_rule import Call, Change, Message, Process, Silence, Span

from simulation.clock import World
from simulation.link import Link, Peer
from simulation.network import REFUSED, Address, Dial

ALIVE_EVERY = 2.0  # seconds between the empty lines of a watch on which nothing changes
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
END = b"0\r\n\r\n"
FIRST_INDEX = 7  # of the list that all processes know at their start

Entry = dict[str, Any]


def chunk(data: bytes) -> bytes:
    """As a chunk of an answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Ledger:
    """What discovery holds, with its history: the state after each revision can be read again."""

    def __init__(self, world: World, entries: list[Entry]) -> None:
        self._world = world
        self._states = [{entry["name"]: entry for entry in entries}]
        self._rows: list[list[Entry]] = [[]]  # of each revision
        self.changes: list[Change] = []
        self.changed: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The newest one."""
        return len(self._states) - 1

    def change(self, *entries: Entry) -> None:
        """Entries that are new or have changed; a `terminated` one leaves the list."""
        state = dict(self._states[-1])
        for entry in entries:
            usable = entry["status"] == "in_service"
            self.changes.append(Change(self._world.now, len(self._states), entry["name"], usable))
            if entry["status"] == "terminated":
                state.pop(entry["name"], None)
            else:
                state[entry["name"]] = entry
        self._states.append(state)
        self._rows.append(list(entries))
        for tell in self.changed:
            tell()

    def entry(self, name: str) -> Entry:
        """As it was last listed."""
        return next(state[name] for state in reversed(self._states) if name in state)

    def whole(self, revision: int) -> list[Entry]:
        """The list as of then."""
        return list(self._states[revision].values())

    def since(self, before: int, revision: int) -> list[Entry]:
        """What changed after that revision, up to this one."""
        return [entry for rows in self._rows[before + 1:revision + 1] for entry in rows]


@dataclass(slots=True)
class Style:
    """How a call is answered; the default is in good order."""

    delay: float = 0.0  # seconds before its first byte, beyond its turn
    unavailable: bool = False  # 503
    reset: bool = False  # at once
    silent: bool = False  # never
    no_news: bool = False  # the watch ends and has told nothing
    ends: bool = False  # the watch ends once it has told its first message
    cut_at: float | None = None  # the part of the first message after which the answer is closed...
    cut_resets: bool = False  # ...or reset
    cut_counts: bool = False  # what was cut counts as written
    whole: bool = False  # the first message is the whole list
    leaves_out: bool = False  # a whole list doesn't name what drains
    indented: bool = False
    pieces: int = 1  # in which a message is written...
    takes: float = 0.0  # ...over so many seconds, if it is the whole list
    behind: int = 0  # revisions that this replica lags behind...
    behind_until: float = -math.inf  # ...up to then
    junk: tuple[Any, ...] = ()  # rows that can't be read, in each message
    junk_first: bool = True  # they come before the others


@dataclass(slots=True)
class Watch:
    """One watch, as the station sees it."""

    link: Link
    style: Style
    revision: int  # that it has been told
    span: Span  # in which it is open
    silent: bool = False
    free_at: float = 0.0  # when all that was written before is out


@dataclass(slots=True)
class _Queued:
    """A call that waits for its turn."""

    link: Link
    since: int
    came: float


class Station(Peer):
    """Discovery at one address."""

    def __init__(
        self, world: World, ledger: Ledger, facts: dict[str, Process], address: Address
    ) -> None:
        self.address = address
        self.up = True
        self.up_since = world.now
        self.refuses_dials = False  # while it is down: else it answers 503
        self.service = 0.001  # seconds of work for a call
        self.patience = math.inf  # seconds in the queue after which a call is turned away; its work stays
        self.queue_most = math.inf  # calls that wait, beyond which one is turned away at once
        self.holds_calls = False  # while it is down: calls are accepted, and turned away after `patience`
        self.reboots = 0  # each loses its state: the indexes begin anew
        self.style: Callable[[str], Style] = lambda process: Style()
        self.dial: Callable[[str], Dial] = lambda process: Dial()
        self.gone_for: set[str] = set()  # processes that take no new connection here: they were moved
        self.tell_after = 0.0  # seconds from a change until the watches are told
        self.watches: dict[Link, Watch] = {}
        self._world = world
        self._ledger = ledger
        self._facts = facts
        self._heads: dict[Link, bytes] = {}
        self._open_calls: dict[Link, Call] = {}  # that are neither answered nor failed
        self._queue: deque[_Queued] = deque()
        self._served: set[Link] = set()  # whose turn has come
        self._busy = False
        self._index_base = FIRST_INDEX
        self.served = 0
        self.longest_queue = 0
        ledger.changed.append(self._changed)
        world.every(ALIVE_EVERY, math.inf, self._say_alive)

    # ---- faults ------------------------------------------------------------------------------

    def go_down(self, refuses_dials: bool) -> None:
        """Down: watches end, queued calls fail."""
        self.up, self.refuses_dials = False, refuses_dials
        for link in [*self.watches, *self._heads, *(call.link for call in self._queue)]:
            link.reset()
            self._note_failed(link)
        for watch in list(self.watches.values()):
            self._forget(watch)
        self._heads.clear()
        self._queue.clear()

    def come_back(self, lost_state: bool = False) -> None:
        """Up again; where it has lost its state it counts from low indexes."""
        self.up, self.up_since = True, self._world.now
        if lost_state:
            self._index_base = 1 - self._ledger.revision

    def silence(self, process: str) -> None:
        """The open watches of this process say nothing more."""
        for watch in self.watches.values():
            if watch.link.process == process and not watch.silent and not watch.link.ended:
                watch.silent = True
                self._facts[process].silences.append(Silence(self._world.now))

    def reset_watches(self) -> None:
        """All open ones."""
        for watch in list(self.watches.values()):
            watch.link.reset()
            self._forget(watch)

    def end_watches(self) -> None:
        """All open ones, in good order."""
        for watch in list(self.watches.values()):
            watch.link.send(END)
            watch.link.finish()
            self._forget(watch)

    def leave(self, process: str, close_after: float) -> None:
        """This process has been moved elsewhere: no new connections, and the open ones close soon."""
        self.gone_for.add(process)

        def close() -> None:
            if process in self.gone_for:
                for watch in [watch for watch in self.watches.values() if watch.link.process == process]:
                    watch.link.finish()
                    self._forget(watch)

        self._world.after(close_after, close)

    # ---- connections -------------------------------------------------------------------------

    def dialled(self, process: str) -> Dial:
        """What becomes of a dial."""
        if process in self.gone_for or (not self.up and self.refuses_dials):
            return REFUSED
        return self.dial(process)

    def accepted(self, link: Link) -> Peer:
        """Each call has a connection of its own."""
        self._heads[link] = b""
        return self

    def received(self, link: Link, data: bytes, sent: float) -> None:
        """A call comes."""
        if link not in self._heads:
            return
        self._heads[link] += data
        if b"\r\n\r\n" not in self._heads[link]:
            return
        target = self._heads.pop(link).split()[1].decode()
        since = int(target.partition("since=")[2] or 0)
        self._open_calls[link] = call = Call(self._world.now)
        self._facts[link.process].calls.append(call)
        if (not self.up and not self.holds_calls) or len(self._queue) >= self.queue_most:
            self._turn_away(link)
            return
        if self.patience < math.inf:
            self._world.after(self.patience, lambda: self._lose_patience(link))
        if not self.up:
            return
        self._queue.append(_Queued(link, since, self._world.now))
        self.longest_queue = max(self.longest_queue, len(self._queue))
        self._serve()

    def _turn_away(self, link: Link) -> None:
        if not link.ended:
            link.send(BUSY)
        self._note_failed(link)

    def _lose_patience(self, link: Link) -> None:
        """A call that has waited for its turn for too long fails; it is not taken out of the queue."""
        if link in self._open_calls and link not in self._served:
            self._turn_away(link)

    def closed(self, link: Link) -> None:
        """The process has let go of a connection; a call that is queued keeps its turn."""
        self._heads.pop(link, None)
        self._note_failed(link)
        watch = self.watches.get(link)
        if watch is not None:
            self._forget(watch)

    def _forget(self, watch: Watch) -> None:
        """A watch is over."""
        del self.watches[watch.link]
        facts, now = self._facts[watch.link.process], self._world.now
        facts.watches.remove(watch.span)
        facts.watches.append(Span(watch.span.start, now))
        if watch.silent:
            facts.silences = [Silence(silence.at, now) if silence.until == math.inf else silence
                              for silence in facts.silences]

    def _note_failed(self, link: Link) -> None:
        """A call has failed, or is given up, unless it has been answered."""
        call = self._open_calls.pop(link, None)
        if call is not None:
            calls = self._facts[link.process].calls
            calls[calls.index(call)] = Call(call.at, failed=True)

    # ---- calls, in turn ----------------------------------------------------------------------

    def _serve(self) -> None:
        if self._busy or not self._queue:
            return
        self._busy = True
        call = self._queue.popleft()
        self._served.add(call.link)

        def done() -> None:
            self._busy = False
            if self.up:
                self._answer(call)
            self._serve()

        self._world.after(self.service, done)

    def _answer(self, call: _Queued) -> None:
        link, style = call.link, self.style(call.link.process)
        self.served += 1
        if link.ended or link.process in self.gone_for or link not in self._open_calls:
            return
        if style.silent:
            return
        if style.unavailable or style.reset or style.no_news:
            self._note_failed(link)
        if style.reset:
            link.reset()
        elif style.unavailable:
            link.send(BUSY)
        elif style.no_news:
            link.send(HEAD + END)
            link.finish()
        elif style.delay:
            self._world.after(style.delay, lambda: self._follow(link, call.since, style))
        else:
            self._follow(link, call.since, style)

    def _follow(self, link: Link, since: int, style: Style) -> None:
        if link.ended or not self.up:
            return
        link.send(HEAD)
        before = since - self._index_base
        revision = self._seen(style)
        whole = style.whole or not 0 <= before <= revision
        if not whole and before == revision:
            link.send(chunk(b"\n"))
            self._open(link, style, revision)
            return
        message = self._message(before, revision, whole, style)
        if style.cut_at is not None:
            link.send(chunk(message)[:int(style.cut_at * len(message))])
            self._open_calls.pop(link, None)
            if style.cut_counts:  # "told when it is written", whether or not it arrives whole
                self._note_written(link, revision, whole)
            (link.reset if style.cut_resets else link.finish)()
            return
        watch = self._open(link, style, revision)
        self._write(watch, message, revision, whole)
        if style.ends:
            def end() -> None:
                if link in self.watches:
                    self._forget(watch)
                link.send(END)
                link.finish()

            self._world.at(watch.free_at + 0.001, end)

    def _open(self, link: Link, style: Style, revision: int) -> Watch:
        self._open_calls.pop(link, None)
        watch = self.watches[link] = Watch(link, style, revision, Span(self._world.now))
        self._facts[link.process].watches.append(watch.span)
        return watch

    def _seen(self, style: Style) -> int:
        """The revision that the replica which answers has."""
        behind = style.behind if self._world.now < style.behind_until else 0
        return max(0, self._ledger.revision - behind)

    def _message(self, before: int, revision: int, whole: bool, style: Style) -> bytes:
        entries = self._ledger.whole(revision) if whole else self._ledger.since(before, revision)
        if whole and style.leaves_out:
            entries = [entry for entry in entries if entry["status"] == "in_service"]
        rows = [*style.junk, *entries] if style.junk_first else [*entries, *style.junk]
        text = {"index": self._index_base + revision, "snapshot": whole, "endpoints": rows}
        return json.dumps(text, indent=1 if style.indented else None).encode() + b"\n"

    # ---- what watches are told ---------------------------------------------------------------

    def _changed(self) -> None:
        if self.tell_after:
            self._world.after(self.tell_after, self._tell)
        else:
            self._tell()

    def _tell(self) -> None:
        for watch in list(self.watches.values()):
            revision = self._seen(watch.style)
            if revision <= watch.revision or watch.link.ended:
                continue
            message = self._message(watch.revision, revision, False, watch.style)
            watch.revision = revision
            if not watch.silent:
                self._write(watch, message, revision, False)

    def _say_alive(self) -> None:
        for watch in list(self.watches.values()):
            if not watch.silent and watch.free_at <= self._world.now:
                watch.link.send(chunk(b"\n"))
        self._tell()  # what a replica has learnt meanwhile

    def _note_written(self, link: Link, revision: int, whole: bool) -> None:
        entries = self._ledger.whole(revision)
        names = frozenset(entry["name"] for entry in entries if entry["status"] == "in_service")
        self._facts[link.process].messages.append(Message(self._world.now, revision, whole, names))

    def _write(self, watch: Watch, message: bytes, revision: int, whole: bool) -> None:
        """Write a message as the watch's style has it, and note it when its last byte is written."""
        world, style, link = self._world, watch.style, watch.link
        takes = style.takes if whole else 0.0
        pieces = max(1, min(style.pieces, len(message)))
        size = math.ceil(len(message) / pieces)
        begin = max(world.now, watch.free_at)
        parts = [message[at:at + size] for at in range(0, len(message), size)]

        def write(part: bytes, last: bool) -> None:
            if watch.silent or link.ended or link.lost or self.watches.get(link) is not watch:
                return
            link.send(chunk(part))
            if last:
                self._note_written(link, revision, whole)

        for place, part in enumerate(parts):
            when = begin + takes * place / max(1, len(parts) - 1)
            last = place == len(parts) - 1
            if when <= world.now:
                write(part, last)
            else:
                world.at(when, lambda part=part, last=last: write(part, last))  # type: ignore[misc]
        watch.free_at = begin + takes
