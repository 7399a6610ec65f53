"""Membership's sockets and clock: one UDP socket, one task, the log and the figures; it decides nothing.

`Node.open()` binds and starts; `Node.close()` leaves the group (told to every live member at once) and lets
go of the socket. The protocol itself is `swim.Swim`; datagrams are `codec`'s.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from lugspur.cluster import facts
from lugspur.cluster.scopes import Datagrams, Scopes
from lugspur.cluster.swim import Address, Member, State, Swim, SwimSettings
from lugspur.config import MembershipConfig
from lugspur.events import log

TICK_LEAST = 0.005  # seconds between two looks at the protocol's timers at the least
BIND_AGAIN = 0.1  # seconds between tries for an address that the process before an upgrade still holds


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Node(asyncio.DatagramProtocol):
    """One process's membership, of the flat group or of its scopes, on one UDP socket."""

    def __init__(self, name: str, config: MembershipConfig, seed: int, incarnation: int = 0) -> None:
        """`incarnation` is the one that this name had last, where it is known: the new one is higher."""
        self.config = config
        self.name = name
        self.scopes = Scopes(
            name, config.advertise, max(time.time_ns() // 1000, incarnation + 1), config.seeds, config.scopes,
            config.cluster, SwimSettings(period=config.period), seed=seed, observer=self._observed,
        )
        self.scopes.on_drop = self._dropped
        self.scopes.on_facts = self._facts
        self.sent_bytes = self.received_bytes = 0
        self.sent_messages = self.received_messages = 0  # datagrams, shared facts among them
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._source = ""  # of the datagram that is being read
        self._wake = asyncio.Event()
        self._drained = False
        self.on_facts: Callable[[facts.Digest], None] | None = None  # hears of shared facts
        self._loop = asyncio.get_running_loop()

    @property
    def swim(self) -> Swim:
        """The membership in the flat group, or in the home scope."""
        return self.scopes.home

    async def open(self) -> None:
        """Bind, join through the seeds, and keep the protocol running until `close`.

        An address in use is waited for: at an upgrade the process before holds it until it is told to end.
        Any other fault of the address is an OSError.
        """
        try:
            await self._bind()
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            log.warning("member.address_in_use", node=self.name, address=_text(self.config.bind))
            self._task = self._loop.create_task(self._run())
            return
        self._start()
        self._task = self._loop.create_task(self._run())

    async def _bind(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(self.config.bind)
        except OSError:
            sock.close()
            raise
        self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    def _start(self) -> None:
        self._send(self.scopes.start(self._loop.time()))
        log.info("member.start", node=self.name, incarnation=self.incarnation,
                 address=_text(self.config.advertise), **self._scoped(",".join(self.scopes.swims)))

    def drained(self, drained: bool) -> None:
        """The operators have drained this process, or taken it back: it leaves, or joins again."""
        if drained == self._drained:
            return
        self._drained = drained
        if self._transport is None:
            return
        if drained:
            self._leave()
        else:
            self._start()
            self._wake.set()

    def _leave(self) -> None:
        self._send(self.scopes.leave(self._loop.time()))
        log.info("member.leave", node=self.name, incarnation=self.incarnation)

    async def close(self) -> None:
        """Leave the group for good and let go of the socket: nothing more is sent or heard."""
        self.on_facts = None
        if self._task is not None:
            self._task.cancel()
        if self._transport is None:
            return
        if not self.scopes.leaving:
            self._leave()
        await asyncio.sleep(0)
        self._transport.close()
        self._transport = None

    @property
    def incarnation(self) -> int:
        """Its own, now."""
        return self.scopes.incarnation

    def view(self) -> list[dict[str, object]]:
        """The member list as operators see it, oneself first; `heard` in seconds ago, None for never.

        With scopes one such list after the other, the home's first, each row with its scope.
        """
        return [row | self._scoped(scope) for scope, swim in self.scopes.swims.items()
                for row in self._rows(swim)]

    def _rows(self, me: Swim) -> list[dict[str, object]]:
        now = self._loop.time()
        rows: list[dict[str, object]] = [{
            "name": me.name, "address": _text(me.address),
            "state": "left" if me.leaving else "alive", "incarnation": me.incarnation, "heard": 0.0,
            "round": me.round,
        }]
        for member in sorted(me.members.values(), key=lambda row: row.name):
            heard = now - member.heard
            rows.append({
                "name": member.name, "address": _text(member.address),
                "state": member.state.name.lower(), "incarnation": member.incarnation,
                "heard": round(heard, 3) if heard != float("inf") else None,
            })
        return rows

    def figures(self) -> list[str]:
        """The figures, as lines of the operators' telemetry; with scopes their sums, and each one's size."""
        swims = self.scopes.swims
        counters = [swim.counters for swim in swims.values()]
        lines = [f"membership.{name}={sum(row[name] for row in counters)}" for name in self.swim.counters]
        lines += [f"membership.dropped.{reason}={count}"
                  for reason, count in sorted(self.scopes.dropped.items())]
        states = [member.state for swim in swims.values() for member in swim.members.values()]
        lines += [f"membership.members.{state.name.lower()}={states.count(state)}" for state in State]
        lines += [f"membership.bytes_sent={self.sent_bytes}",
                  f"membership.bytes_received={self.received_bytes}",
                  f"membership.messages_sent={self.sent_messages}",
                  f"membership.messages_received={self.received_messages}",
                  f"membership.round={self.swim.round}",
                  f"membership.awareness={max(swim.awareness for swim in swims.values())}"]
        if self.config.scopes:
            lines += [f"membership.scope.{scope}.live={len(swim.live())}" for scope, swim in swims.items()]
        return lines

    # ---- the socket's calls ------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        self.received_bytes += len(data)
        self.received_messages += 1
        self._source = str(addr)
        self._send(self.scopes.receive(self._loop.time(), data))
        self._wake.set()

    def _dropped(self, reason: str) -> None:
        # One line a kind of fault; the counter tells the rest.
        log.warning("member.dropped", node=self.name, reason=reason, source=self._source)

    def _facts(self, raw: dict[str, Any]) -> None:
        digest = facts.decode(raw["f"])
        if self.on_facts is not None:
            self.on_facts(digest)

    def error_received(self, exc: Exception) -> None:
        pass  # an ICMP refusal from a member that is gone: its silence tells the protocol

    # ---- inside ------------------------------------------------------------------------

    async def _run(self) -> None:
        while self._transport is None:
            await asyncio.sleep(BIND_AGAIN)
            try:
                await self._bind()
            except OSError:
                continue
            if self._drained:
                self.scopes.leaving = True
            else:
                self._start()
        while True:
            wait = self._tick()
            self._wake.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), min(wait, self.config.period))

    def _tick(self) -> float:
        """Do what is due; the seconds until something is due again.

        Guards the protocol: a fault here costs a turn of it, not the rest.
        """
        try:
            self._send(self.scopes.tick(self._loop.time()))
            return max(TICK_LEAST, self.scopes.wake_at() - self._loop.time())
        except Exception:
            log.error("member.fault", exc_info=True)
            return self.config.period

    def _send(self, out: Datagrams) -> None:
        for address, data in out:
            self.send(address, data)

    def send(self, address: Address, data: bytes) -> None:
        """One datagram, while there is a socket for it."""
        if self._transport is not None:
            self.sent_bytes += len(data)
            self.sent_messages += 1
            self._transport.sendto(data, address)

    def _observed(self, scope: str, member: Member, round_: int) -> None:
        log.info("member.state", node=self.name, member=member.name, state=member.state.name.lower(),
                 incarnation=member.incarnation, round=round_, **self._scoped(scope))

    @staticmethod
    def _scoped(scope: str) -> dict[str, object]:
        return {"scope": scope} if scope else {}
