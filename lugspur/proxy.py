"""Turns what happens on the sockets into the module's events and carries out its actions; decides nothing."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from jaspershelf.decide import Balancer
from jaspershelf.model import (
    Action,
    Cancel,
    Discovery,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Send,
    Subscribe,
    Timer,
)
from jaspershelf.overload import MemoryOverload
from jaspershelf.reconnect import ReconnectBackoff
from jaspershelf.request_ids import Standing
from jaspershelf.request_lease import Step
from lugspur import discovery, request_trace
from lugspur.admin import Admin, Route, page
from lugspur.attempts import Attempts
from lugspur.backend_list import BackendList
from lugspur.call import Call
from lugspur.caller import Caller
from lugspur.config import Address, Config
from lugspur.events import log
from lugspur.exchange import Exchange, Response
from lugspur.front import Front
from lugspur.interfaces import Figures, Membership, Memory, Shared
from lugspur.invariants import Invariants
from lugspur.memory import Account
from lugspur.monitor import Monitor
from lugspur.operator_orders import OperatorOrders
from lugspur.order_follower import OrderFollower
from lugspur.orders import OrderBook, Orders
from lugspur.proxy_checks import GUARDED, proxy_checks
from lugspur.request import ANSWER_EARLY, Facts, Rejected, Request
from lugspur.request_audit import RequestAudit, overdue_calls
from lugspur.sent_ids import book_for, refusal
from lugspur.serial_executor import SerialExecutor
from lugspur.start_times import StartTimes
from lugspur.telemetry import Telemetry
from lugspur.trace import trace
from lugspur.upstream import Upstream
from lugspur.zone_figures import ZoneFigures

if TYPE_CHECKING:
    from lugspur.affinity import Affinity

SPARE_SOCKETS = 48  # descriptors for the listeners, discovery, the loop, operators, callers beyond the limit
CALLERS_PART = 0.5  # of the other descriptors
OVERLAP = 10.0  # seconds after its start in which the process before may still run: 6 to get ready, 4 to end
KNOWN_AFTER = 1.0  # seconds without a word from discovery after which the list known at the start serves...
KNOWN_MOST = 4.8  # ...or so many where discovery has accepted the call and may still answer it
KNOWN_MORE = 3.0  # ...and so many more while its answer goes on coming: a long list, a crowded discovery
KNOWN_LOOK_EVERY = 0.1  # seconds between looks at which of these it is


class Proxy:
    """One running proxy: the decision module between callers, backends and discovery."""

    def __init__(
        self, config: Config, orders: OrderBook | None = None, memory: Memory | None = None
    ) -> None:
        self._config = config
        self._orders = orders or OrderBook(None)
        # Guards the loop: a file's disk may stand still for half a second. One thread keeps orders in order.
        self.file_executor = SerialExecutor()
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        # One epoch for good: the list's times are comparable, and steps of the system's clock do no harm.
        self._epoch = time.time() - self._loop.time()
        self._balancer = Balancer(config.settings, config.seed)
        self._start_times = StartTimes()
        self.call_failed: Callable[[], None] = lambda: None  # told of each call to discovery that failed
        self._calls: dict[str, Call] = {}
        self._held: list[Call] = []  # that came before the first list
        # Where the list is asked for, the one known at the start holds until then.
        self._holds = config.settings.discovery is Discovery.PUSHED and bool(config.known["endpoints"])
        self._count = 0
        sockets = max(8, config.sockets - SPARE_SOCKETS)
        callers = int(CALLERS_PART * sockets)
        self._overload = MemoryOverload(config.memory)
        self._invariants = Invariants(GUARDED)
        self._audit = RequestAudit(self._invariants.report)
        self._account = Account(self._overload, self._invariants.report)
        self.sent_ids = book_for(
            config.settings, self._overload.ids_most(), self._account, shared=config.listen_fd is not None)
        self._upstream = Upstream(sockets - callers, config.conn_idle, config.dial_timeout, self._account)
        if config.listen_fd is not None:
            # Guards the limits: this may be the second process, and both count together.
            self._upstream.halve()
            self._overload.share(2)
            self._loop.call_later(OVERLAP, self._have_all_room)
        self._list = BackendList(self._upstream, self._balancer)
        self._backends = self._list.backends
        self._attempts = Attempts(config.settings.classes, self._backends, self._invariants.report)
        self._telemetry = Telemetry([row.name for row in config.settings.classes])
        self.front = Front(config, callers, self._request, self._telemetry, self._account)
        self.front.end_requests = self.end_requests
        self.operators = OperatorOrders(
            config.listen_fd is not None, self._orders, self._balancer, self.front,
            lambda edit: self._follower.order(edit))
        self.admin = Admin({
            b"/api/ready": Route(b"GET", self._answer_ready),
            b"/api/telemetry": Route(b"GET", self._answer_telemetry),
            b"/api/exclude": Route(b"POST", self.operators.exclude),
            b"/api/include": Route(b"POST", self.operators.include),
            b"/api/evacuate": Route(b"POST", self.operators.evacuate),
            b"/api/rejoin": Route(b"POST", self.operators.rejoin),
        }, self._account)
        self._membership: Membership | None = None
        self._shared: Shared | None = None
        self._subset: Figures | None = None
        self._affinity: Affinity | None = None
        if config.affinity:
            from lugspur.affinity import Affinity  # loaded only where it is used

            self._affinity = Affinity(config.affinity)
        self._zones = ZoneFigures(
            self._balancer, config.settings.locality,
            {place: name for name, place in config.zones.items()}, config.settings.zone, self._now,
        )
        if config.settings.locality is not None:
            self.admin.routes[b"/api/zones"] = Route(b"GET", page(self._zones.rows))
        reader = discovery.Reader(config.zones, config.types)
        known = reader.endpoints(config.known)
        self._discovery = discovery.Discovery(
            config.discovery, reader, config.known["index"], self._told, known=known, clock=self._loop.time,
            failed=self._call_has_failed, backoff=ReconnectBackoff(config.settings), account=self._account,
        )
        self._upstream.news = self._discovery.inbox
        self._members(ListKind.STALE, known)
        self._follower = OrderFollower(
            self._orders, self.file_executor, self._obey, shared=config.listen_fd is not None)
        if self._memory is not None:
            self._perform(self._decide(
                self._balancer.restore, *self._memory.load(len(config.settings.classes))))
            self._memory.open(self._balancer, self._now, self._incarnation, self.file_executor)
        self._perform(self._decide(self._balancer.start))
        if config.settings.discovery is Discovery.PUSHED:
            self._discovery.open()
        if config.known["endpoints"]:
            self._loop.call_later(KNOWN_AFTER, self._serve_by_known, self._loop.time() + KNOWN_MOST)
        self._invariants.add(proxy_checks(
            self._calls, self._upstream, self._telemetry, lambda: self.front.until))
        self._monitor = Monitor(self._account, self._invariants, config.memory, self._repair)

    def _repair(self) -> None:
        """Make good what a failed allocation may have undone: timers and tasks that were lost."""
        self._discovery.repair()
        self._upstream.repair()
        self._follower.repair()
        for call in overdue_calls(self._calls, self._loop.time(), self.front.until):
            self._expire(call)

    def close(self) -> None:
        """Look after the process no more: it ends."""
        self._monitor.close()

    def join(self, membership: Membership) -> None:
        """Show and obey for this process's membership among the proxies."""
        self._membership = membership
        self.admin.routes[b"/api/members"] = Route(b"GET", page(membership.view))
        membership.drained(self._orders.current.drained)

    def _incarnation(self) -> int:
        return self._membership.incarnation if self._membership is not None else 0

    def share(
        self, start: Callable[[Balancer, Callable[[], float], Callable[[list[Action]], None]], Shared]
    ) -> None:
        """Take part in the shared state; `start` is given the module, its clock and who acts for it."""
        self._shared = start(self._balancer, self._now, self._perform)
        self.admin.routes[b"/api/shared"] = Route(b"GET", page(self._shared.report))

    def follow(
        self, start: Callable[[Balancer, Callable[[], float], Callable[[list[Action]], None]], Figures]
    ) -> None:
        """Have the module told which proxies live; `start` is given what `share`'s is."""
        self._subset = start(self._balancer, self._now, self._perform)

    def make_room(self) -> None:
        """Leave another process, which takes the callers from here on, its part of the limits."""
        self._upstream.halve()
        self._overload.hand_over()

    def _have_all_room(self) -> None:
        """The limits are this process's alone."""
        self._upstream.restore()
        self._overload.share(1)

    def reload(self, address: Address) -> None:
        """Carry on with discovery at this address; all else of the configuration stays as it was."""
        self._discovery.move(address)

    def _now(self) -> float:
        return self._loop.time() + self._epoch

    def _decide(
        self, method: Callable[..., list[Action]], *args: object, call: Call | None = None
    ) -> list[Action]:
        """Ask the module; an exception there fails the request that it was about, and nothing else."""
        try:
            return method(self._now(), *args)
        except Exception:
            log.error("module.fault", exc_info=True)
            if call is not None:
                self._abandon(call)
            return []

    # ---- operators' calls ----------------------------------------------------------------------

    async def _answer_ready(self, _: bytes) -> bytes:
        if not self.front.taking():
            raise Rejected(503, "not ready")
        return b"ready\n"

    async def _answer_telemetry(self, _: bytes) -> bytes:
        text = self._telemetry.text(self._upstream.dispatches, *self._balancer.targets(self._now()))
        parts = (self._discovery, self._orders, self._membership, self._memory, self._shared, self._subset,
                 self._monitor, self._zones)
        for part in parts:
            if part is not None:
                text += "".join(f"{line}\n" for line in part.figures()).encode()
        return text

    # ---- the list ----------------------------------------------------------------------------

    def _told(self, kind: ListKind, endpoints: list[discovery.Endpoint]) -> None:
        if endpoints or kind is not ListKind.PATCH:
            self._members(kind, endpoints)
        self._loaded()

    def _loaded(self) -> None:
        self.front.loaded.set()
        self._admit_held()

    def _call_has_failed(self) -> None:
        """Where discovery is down the list known at the start serves the requests that are here already."""
        if not self._discovery.may_answer():
            self._admit_held()
        self.call_failed()

    def _admit_held(self) -> None:
        self._holds = False
        held, self._held = self._held, []
        for call in held:
            self._admit(call)

    def _serve_by_known(self, latest: float) -> None:
        """Serve by the list known at the start, at the latest at this time of the loop.

        Guards against sends to servers that were drained or removed while this process did not run: where
        discovery is only slow, its list is waited for. Where it is down, an old list serves better than none.
        """
        now = self._loop.time()
        owed = now < latest and self._discovery.may_answer()
        if owed or (now < latest + KNOWN_MORE and self._discovery.is_answering()):
            self._loop.call_later(KNOWN_LOOK_EVERY, self._serve_by_known, latest)
        else:
            if not self.front.loaded.is_set():
                trace.record("list.known_serves", may_answer=self._discovery.may_answer())
            self._loaded()

    def _members(self, kind: ListKind, endpoints: list[discovery.Endpoint]) -> None:
        """Apply a message of discovery: first what takes backends out of service, then all else.

        Guards the drains: whatever fails behind the first step, no backend stays in service that is told to
        drain or is left out.
        """
        told = {endpoint.row.server: endpoint for endpoint in endpoints}
        self._list.withdraw(kind, told)
        now, live = self._now(), kind is ListKind.PATCH and self._discovery.is_live()
        rows = [self._start_times.adjust(now, endpoint.row, live) for endpoint in endpoints]
        actions = self._decide(self._balancer.members, kind, rows)
        self._list.follow(kind, told)
        self._perform(actions)
        self._rank()
        for server in self._balancer.forget(self._overload.gone_most()):
            self._list.forget(server)
            self._start_times.forget(server)

    def _rank(self) -> None:
        """Affinity ranks the servers that are in use."""
        if self._affinity is not None:
            self._affinity.use(self._balancer.in_use())

    # ---- operators' orders ---------------------------------------------------------------------

    def _obey(self, orders: Orders) -> None:
        """Make what operators have ordered, here or at the other process, hold."""
        excluded = {discovery.server_id(name) for name in orders.excluded}
        for server in excluded - self._balancer.excluded.keys():
            self._perform(self._decide(self._balancer.exclude, server))
            self._list.refresh(server)
        for server in self._balancer.excluded.keys() - excluded:
            self._perform(self._decide(self._balancer.include, server))
            self._list.refresh(server)
        self._rank()
        if self._membership is not None:
            self._membership.drained(orders.drained)
        if orders.drained:
            self.front.evacuate()
        else:
            self.front.rejoin()

    # ---- requests ------------------------------------------------------------------------------

    def _request(self, request: Request, facts: Facts, caller: Caller) -> None:
        self._count += 1
        lease = self._attempts.lease(facts.kind, self.front)
        call = Call(self, str(self._count), request, facts, caller, lease, self._loop.time())
        self._calls[call.rid] = call
        try:
            self._take(call, request, caller)
        except Exception:  # Guards the request: its caller is owed an answer, whatever failed.
            log.error("request.fault", exc_info=True)
            self._abandon(call)

    def _take(self, call: Call, request: Request, caller: Caller) -> None:
        caller.gone = lambda: self._gone(call)
        whole = request.body.whole
        if whole:
            self._date(call)
        else:
            caller.overdue = lambda: self._overdue(call)
            request.body.arrived = lambda: self._arrived(call)
            request.body.let_go = lambda: self._perform(self._decide(self._balancer.bind, call.rid))
        if self._holds:
            trace.record("request.held", id=call.name)
            # Guards against servers that were drained or removed while no process ran: the list is coming.
            self._held.append(call)
        else:
            self._admit(call)

    def _admit(self, call: Call) -> None:
        """Give a request to the module, unless its client has left or its time is up."""
        if call.caller is None:
            return
        if not call.lease.may_start(self._loop.time()):
            call.reason = "its time was up before it could be sent"
            self._answer(call, 503, b"", b"refused\n")
            return
        if not self._claim(call):
            return
        request, facts = call.request, call.facts
        whole = request.body.whole
        until = call.deadline if whole else self._loop.time() + facts.timeout
        self._perform(self._decide(
            self._balancer.request, call.rid, facts.kind, facts.tenant, until + self._epoch, facts.cost,
            facts.retry, whole, self._affinity.choices(request.lines) if self._affinity is not None else (),
            call=call,
        ))

    def _claim(self, call: Call) -> bool:
        """Whether it may be sent on, by its id; else it is answered, with no promise that may not hold."""
        standing = self.sent_ids.claim(self._loop.time(), call.name)
        call.claimed = standing is Standing.NEW
        if call.claimed:
            return True
        call.reason = standing.value
        self._answer(call, *refusal(standing, self._config.settings.classes[call.facts.kind].repeat))
        return False

    def _date(self, call: Call) -> None:
        """The caller's time runs from the request's last byte."""
        call.lease.grant(call.request.arrived + call.facts.timeout - ANSWER_EARLY)
        self._look_later(call)

    def _arrived(self, call: Call) -> None:
        """The rest of a request has come."""
        if call.caller is None:
            return
        self._date(call)
        self._perform(self._decide(self._balancer.arrived, call.rid, call=call))
        for exchange in call.exchanges:
            exchange.limit(call.deadline)

    def _gone(self, call: Call) -> None:
        trace.record("request.client_left", id=call.name, attempts=len(call.exchanges))
        self._settle(call)
        self._perform(self._decide(self._balancer.gone, call.rid, call=call))
        if call.passing or not call.request.body.whole:
            # Guards what is held for a transfer: the module does not cancel what is bound to one attempt.
            for exchange in tuple(call.exchanges):
                exchange.end(Outcome.CANCELLED, reason="its client left")

    def _overdue(self, call: Call) -> None:
        """The time of a request that is still coming in is up: its last byte may have come, unread."""
        if call.deadline == math.inf:
            call.lease.grant(self._loop.time())
        self._expire(call)

    def _look(self, call: Call) -> None:
        """Do what its lease says about a request now."""
        steps = call.steps(self._loop.time())
        passed_on = any(step is Step.PASS_ON and row is not None and row.carry_on() for step, row in steps)
        if passed_on or any(step is Step.WAIT for step, _ in steps):
            self._look_later(call)
        else:
            self._expire(call)

    def _look_later(self, call: Call) -> None:
        """Look again when its lease says so."""
        if call.timer is not None:
            call.timer.cancel()
        at = call.lease.look_at(self._loop.time())
        call.timer = self._loop.call_at(at, self._look, call) if at < math.inf else None

    def end_requests(self) -> None:
        """The process ends: whatever is open gets its end now."""
        for call in tuple(self._calls.values()):
            if call.caller is not None:
                self._look(call)

    def _expire(self, call: Call) -> None:
        """The client's time is up: an end is owed now, whatever the module says."""
        call.reason = "its time is up"
        self._decide(self._balancer.expire, call.rid)
        for exchange in tuple(call.exchanges):
            exchange.expire("its request's time is up")
        if call.caller is not None:
            self._abandon(call)

    def _abandon(self, call: Call) -> None:
        """Fail a request that the module did not answer, and tell it so."""
        status = 504 if call.request.body.whole or call.lease.may_have_run() else 503
        self._answer(call, status if self._loop.time() >= call.deadline else 500, b"", b"")
        self._perform(self._decide(self._balancer.gone, call.rid))
        for exchange in tuple(call.exchanges):
            exchange.end(Outcome.CANCELLED, reason="its request was given up")

    def _answer(self, call: Call, status: int, head: bytes, body: bytes) -> None:
        caller = call.caller
        self._settle(call)
        if caller is None:
            return
        request_trace.request_answered(call, status)
        if call.passing:
            self._audit.cut(call, self.front.until)
            caller.cut()
        else:
            caller.answer(status, head, body)

    def _settle(self, call: Call) -> None:
        """Nothing is owed any more."""
        if call.caller is not None:
            self._audit.ended(call)
        call.lease.end()
        call.caller = None
        if call.timer is not None:
            call.timer.cancel()
        self._forget(call)

    def _forget(self, call: Call) -> None:
        done = call.caller is None and not any(exchange.open for exchange in call.exchanges)
        if done and self._calls.pop(call.rid, None) is not None:
            call.request.release()
            if call.claimed:
                self.sent_ids.settle(self._loop.time(), call.name, call.lease.may_have_run())

    # ---- the module's actions ----------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # Guards the actions behind it, and the requests that they are about.
                log.error("action.fault", reason=type(action).__name__, exc_info=True)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Timer):
            self._loop.call_at(action.at - self._epoch, self._timer, action.token)
        elif isinstance(action, Subscribe):
            self._discovery.open()
        else:
            self._act(action)

    def _timer(self, token: int) -> None:
        self._perform(self._decide(self._balancer.timer, token))

    def _act(self, action: Send | Refuse | Fail | Cancel) -> None:
        call = self._calls.get(action.request)
        if call is None:
            return
        if isinstance(action, Send):
            self._send(call, action)
        elif isinstance(action, Cancel):
            call.exchanges[action.attempt].end(Outcome.CANCELLED, reason="another attempt, or nobody waits")
        elif isinstance(action, Refuse):
            call.reason = action.reason.value
            head = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
            self._answer(call, 503, head, b"refused\n")
        else:
            call.reason = action.reason.value
            self._answer(call, 504 if call.last is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def _send(self, call: Call, action: Send) -> None:
        exchange, refusal = self._attempts.make(call, action)
        if refusal:
            self._loop.call_soon(exchange.end, Outcome.VOID, None, refusal)
            return
        request_trace.attempt_chosen(call, exchange, discovery.server_name(action.server))
        try:
            self._upstream.start(exchange)
        except Exception:
            exchange.broke("a fault here")  # Guards the request: the module waits for how this attempt ends.
            raise

    def answering(self, call: Call, exchange: Exchange) -> None:
        """A sound answer has begun to come in."""
        request_trace.answer_begun(call, exchange, self._loop.time())
        self._perform(self._decide(self._balancer.answering, call.rid, exchange.number))

    def slow(self, call: Call, exchange: Exchange) -> None:
        """That answer has fallen silent, or comes slowly: another server may be asked."""
        self._perform(self._decide(self._balancer.slow, call.rid, exchange.number))

    def pass_on(
        self, call: Call, exchange: Exchange, response: Response
    ) -> Callable[[bytes], None] | None:
        """An answer is passed on: hand it to the caller as it comes; None if nobody wants it."""
        caller = call.caller
        if caller is None or call.passing:
            exchange.end(Outcome.CANCELLED, reason="another attempt, or nobody waits")
            return None
        call.passing = True
        request_trace.answer_passed_on(call, exchange, response, self._loop.time())
        caller.begin(exchange, response)
        latency = call.latency(exchange, self._loop.time())
        self._perform(self._decide(self._balancer.begun, call.rid, exchange.number, latency, call=call))
        return caller.pass_on

    def outcome(
        self, call: Call, exchange: Exchange, outcome: Outcome, response: Response | None
    ) -> None:
        """An attempt is over: answer with what it brought, and tell the module."""
        request_trace.attempt_ended(call, exchange, outcome)
        self._attempts.ended(call, exchange, outcome)
        if outcome is Outcome.OK and exchange.pass_on is not None:
            self._finish(call)
        elif outcome is Outcome.OK and response is not None:
            self._answer(call, 200, response.head, response.body)
        self._forget(call)
        latency, last = call.latency(exchange, self._loop.time()), call.caller is None
        self._perform(self._decide(
            self._balancer.outcome, call.rid, exchange.number, outcome, latency, last, call=call))

    def _finish(self, call: Call) -> None:
        caller = call.caller
        self._settle(call)
        if caller is not None:
            caller.finish()
