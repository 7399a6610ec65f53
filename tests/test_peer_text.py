"""What peers write is bounded where it is kept: discovery's messages, records of the trace."""

from __future__ import annotations

import orjson
import pytest
from loopback import entry

from lugspur.endpoints import Reader
from lugspur.events import Log
from lugspur.message_framing import OBJECTS_MOST, VALUES_MOST, MessageFramer
from lugspur.trace import TEXT_MOST, Trace

FLEET = 4_000  # servers: the largest fleet has 3,200
READER = Reader({"here": 0}, {"k": 0})


@pytest.mark.parametrize("line", [
    b'{"endpoints": [' + b"{}," * OBJECTS_MOST + b"{}]}\n",
    b'{"endpoints": [' + b"1," * (VALUES_MOST + 1) + b"1]}\n",
    b'{"endpoints": [\n' + b"{},\n" * (OBJECTS_MOST + 1) + b"{}]}\n",
])
def test_a_message_of_too_many_values_is_not_read(line: bytes) -> None:
    with pytest.raises(ValueError, match="too much"):
        MessageFramer().feed(line)


def test_the_largest_fleet_s_message_is_read() -> None:
    rows = [entry(f"h{n}", "127.0.0.1:9") for n in range(FLEET)]
    line = orjson.dumps({"index": 9, "snapshot": True, "endpoints": rows}) + b"\n"
    indented = orjson.dumps(orjson.loads(line), option=orjson.OPT_INDENT_2) + b"\n"
    for text in (line, indented):
        framer = MessageFramer()
        found = [row for at in range(0, len(text), 1 << 16) for row in framer.feed(text[at:at + (1 << 16)])]
        assert len(found) == 1 and len(READER.message(found[0]).entries) == FLEET


def test_runs_of_empty_lines_are_one_message_and_hold_nothing() -> None:
    framer = MessageFramer()
    assert framer.feed(b"\n" * 100_000) == [b""]
    assert framer.feed(b'{"a": [\n' + b" \n" * 1000) == [] and framer.held() < 100
    assert framer.feed(b"]}\n\n\n") == [b'{"a": [\n]}']
    assert framer.held() == 0


def test_text_of_peers_is_cut_in_the_trace_and_in_the_log_s_counts() -> None:
    lines = list[bytes]()

    def write(data: bytes) -> bool:
        lines.append(data)
        return True

    trace = Trace(Log(), write=write)
    trace.record("request.held", id=b"n" * 60_000, reason="r" * 60_000, n=1)
    trace.flush()
    row = orjson.loads(lines[0])
    assert len(row["id"]) == len(row["reason"]) == TEXT_MOST and row["n"] == 1
