"""What has to hold of a proxy's requests, attempts and connections, whatever its peers do."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from lugspur.call import Call
from lugspur.invariants import Check
from lugspur.request_audit import AUDITED, overdue_calls
from lugspur.telemetry import Telemetry
from lugspur.upstream import Upstream

GUARDED = ("send_unclaimed", "send_repeated", "send_withdrawn", "answer_not_owed", "close_owing", *AUDITED)


def proxy_checks(
    calls: Mapping[str, Call], upstream: Upstream, telemetry: Telemetry, process_until: Callable[[], float]
) -> dict[str, Check]:
    """The periodic checks by name; `process_until` tells when the process ends all that is open."""
    loop = asyncio.get_running_loop()

    def overdue() -> str:
        late = overdue_calls(calls, loop.time(), process_until())
        return f"{len(late)} requests are unanswered after their time, {late[0].name!r} first" if late else ""

    def connections() -> str:
        return upstream.fault()

    def concurrent() -> str:
        return f"{telemetry.concurrent} requests are served" if telemetry.concurrent < 0 else ""

    return {"request_overdue": overdue, "connections": connections, "concurrent": concurrent}
