"""What has to hold of a proxy's requests, attempts and connections, whatever its peers do."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from jaspershelf.model import NEVER_RAN
from lugspur.call import Call
from lugspur.exchange import Exchange
from lugspur.invariants import Check
from lugspur.telemetry import Telemetry
from lugspur.upstream import Upstream

LATE_MOST = 0.5  # seconds after a request's time until which its answer is only late
GUARDED = ("send_unclaimed", "send_repeated", "send_withdrawn", "answer_not_owed", "close_owing")


def may_repeat(call: Call, unsafe: bool) -> bool:
    """Whether another attempt may begin: of a request that must not run twice, none before may have run."""
    return not unsafe or all(
        not exchange.open and exchange.outcome in NEVER_RAN for exchange in call.exchanges
    )


def proxy_checks(
    calls: Mapping[str, Call], upstream: Upstream, telemetry: Telemetry
) -> dict[str, Check]:
    """The periodic checks by name."""
    loop = asyncio.get_running_loop()

    def overdue() -> str:
        late = overdue_calls(calls, loop.time())
        return f"{len(late)} requests are unanswered after their time, {late[0].name!r} first" if late else ""

    def connections() -> str:
        return upstream.fault()

    def concurrent() -> str:
        return f"{telemetry.concurrent} requests are served" if telemetry.concurrent < 0 else ""

    return {"request_overdue": overdue, "connections": connections, "concurrent": concurrent}


def overdue_calls(calls: Mapping[str, Call], now: float) -> list[Call]:
    """The requests whose time is up and whose answer is owed, passed on or not, unless it is a long one."""
    return [
        call for call in calls.values()
        if call.wanted() and now > call.deadline + LATE_MOST and not (call.passing and call.may_go_on())
    ]


def describe(exchange: Exchange) -> str:
    """An attempt, in words for the log."""
    return f"attempt {exchange.number} of {exchange.name!r}"
