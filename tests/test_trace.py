"""The trace: what it writes, that it is bounded, and that it is silent where the log is off."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest

from lugspur import trace as traces
from lugspur.events import Log
from lugspur.trace import BUFFERED_MOST, BURST, FLUSH_EVERY, FLUSH_LATE, RATE, Trace


class Clock:
    """Seconds that pass only when told."""

    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class Written:
    """Stands in for standard error."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []

    def __call__(self, data: bytes) -> bool:
        self.writes.append(data)
        return True

    def rows(self) -> list[dict[str, object]]:
        """All records that were written."""
        return [orjson.loads(line) for data in self.writes for line in data.splitlines()]


def made(muted: bool = False) -> tuple[Trace, Written, Clock]:
    log, written, clock = Log(), Written(), Clock()
    log.node, log.muted = "n1", muted
    return Trace(log, clock, written), written, clock


def test_a_record_has_its_time_its_process_and_its_fields() -> None:
    trace, written, clock = made()
    begun = time.time()
    clock.now += 2.0
    trace.record("request.answered", id=b"9b1f", status=503, reason="admission control")
    trace.flush()
    (row,) = written.rows()
    assert isinstance(row["at"], float) and 1.5 < row["at"] - begun < 2.5
    assert {name: row[name] for name in ("node", "trace", "id", "status", "reason")} == {
        "node": "n1", "trace": "request.answered", "id": "9b1f", "status": 503, "reason": "admission control",
    }


def test_nothing_is_kept_or_written_where_the_log_is_off() -> None:
    trace, written, _ = made(muted=True)
    trace.record("request.answered", id=b"9b1f")
    trace.flush()
    assert not written.writes and not trace.enabled and not trace._records


def test_each_topic_has_a_bound_and_what_is_dropped_is_counted() -> None:
    trace, written, clock = made()
    for _ in range(int(BURST) + 30):
        trace.record("request.answered")
    trace.record("discovery.dial")
    trace.flush()
    rows = written.rows()
    assert sum(row["trace"] == "request.answered" for row in rows) == BURST
    assert sum(row["trace"] == "discovery.dial" for row in rows) == 1
    (dropped,) = [row for row in rows if row["trace"] == "trace.dropped"]
    assert (dropped["topic"], dropped["n"]) == ("request", 30)
    written.writes.clear()
    clock.now += 1.0
    for _ in range(int(BURST)):
        trace.record("request.answered")
    trace.flush()
    assert sum(row["trace"] == "request.answered" for row in written.rows()) == RATE


def test_what_is_kept_between_writes_is_bounded() -> None:
    trace, written, _ = made()
    for topic in range(4):
        for _ in range(BUFFERED_MOST // 4):
            trace.record(f"topic{topic}.event")
    assert len(written.writes) == 1 and not trace._records


def test_records_are_written_together_and_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        monkeypatch.setattr(traces, "FLUSH_EVERY", 0.0)
        trace, written, _ = made()
        trace.record("discovery.dial", watch=1)
        trace.record("discovery.connected", watch=1)
        assert not written.writes
        while not written.writes:
            await asyncio.sleep(0)
        assert len(written.writes) == 1 and len(written.rows()) == 2

    assert FLUSH_EVERY <= 0.5  # seconds of the trace that SIGKILL takes at the most
    asyncio.run(play())


def test_a_flush_that_a_closed_loop_owes_is_made_good() -> None:
    trace, written, clock = made()

    async def play() -> None:
        trace.record("discovery.dial", watch=1)

    asyncio.run(play())
    clock.now += FLUSH_LATE + 1.0
    trace.record("discovery.dial", watch=2)
    assert len(written.rows()) == 2


def test_a_field_without_a_form_in_json_costs_its_record_nothing_else() -> None:
    trace, written, _ = made()
    trace.record("discovery.over", reason="\ud800")
    trace.record("discovery.over", reason=OSError("gone"))
    trace.flush()
    first, second = written.rows()
    assert "d800" in str(first["fields"]) and second["reason"] == "OSError('gone')"
