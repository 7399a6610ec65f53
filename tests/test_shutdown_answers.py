"""Real processes that are told to end while answers are passed on, held or not read."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from hostile.answer_grid import SERVICES, give, observe
from hostile.slow_callers import head
from hostile.slow_servers import Framing, read_body
from hostile.stage import Setting, Stage, stage
from terms import End, Given, Observation

GRACE = 3.7  # seconds from SIGTERM to the earliest SIGKILL: the longest deadline of 3 s, and 0.7
ENDLESS = 1 << 30  # bytes of an answer that does not end while it is watched
BEFORE = 0.5  # seconds from the requests to SIGTERM
LATER = 0.3  # seconds after SIGTERM at which some more are sent
CLIENTS = 6


async def _ask_and_read_nothing(target: Stage, request: bytes) -> Observation:
    """Read the head of an answer, and nothing more until the connection ends or long after SIGKILL."""
    reader, writer = await target.connect()
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(request)
    await asyncio.sleep(GRACE + BEFORE)
    seen = Observation(time.monotonic(), 3.0)
    writer.transport.resume_reading()  # type: ignore[attr-defined]
    try:
        async with asyncio.timeout(1.0):
            while await reader.read(1 << 20):
                pass
    except TimeoutError:
        return seen
    except OSError:
        pass
    finally:
        writer.transport.abort()
    seen.end, seen.ended_at = End.CUT, time.monotonic()
    return seen


def play(
    folder: Path, given: Given, framing: Framing, reads: bool
) -> tuple[list[Observation], float, int]:
    """Requests before and after SIGTERM; what clients saw, when SIGKILL was due, and the exit status."""
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, request, 0.0)
            await give(writer, given, framing)

    async def run() -> tuple[list[Observation], float, int]:
        async with stage(folder, serve, None, Setting(services=SERVICES)) as target:
            async def one(number: int, after: float) -> Observation:
                await asyncio.sleep(after)
                request = head("book", 3.0, f"r{number}", "Content-Length: 0\r\n")
                if not reads:
                    return await _ask_and_read_nothing(target, request)
                return await observe(target, request, 3.0, GRACE)

            after = [0.0] * CLIENTS + [BEFORE + LATER] * CLIENTS
            asked = [asyncio.ensure_future(one(number, at)) for number, at in enumerate(after)]
            await asyncio.sleep(BEFORE)
            target.process.send_signal(signal.SIGTERM)
            kill_at = time.monotonic() + GRACE
            async with asyncio.timeout(GRACE):
                status = await target.process.wait()
            return await asyncio.gather(*asked), kill_at, status

    return asyncio.run(run())


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("given", [Given(50e3, ENDLESS), Given(200e3, ENDLESS), Given(5e3, 60_000)])
def test_no_request_outlives_the_end_of_its_process(given: Given, framing: Framing, tmp_path: Path) -> None:
    found, kill_at, status = play(tmp_path, given, framing, reads=True)
    assert status == 0
    assert [seen.end for seen in found if seen.ended_at > kill_at or seen.end is End.OPEN] == []
    whole = [seen for seen in found if seen.end is End.WHOLE and seen.status == 200]
    assert whole == [], "an answer that did not end looks whole"


def test_a_client_that_does_not_read_does_not_outlive_it_either(tmp_path: Path) -> None:
    found, _, status = play(tmp_path, Given(2e6, ENDLESS), Framing.CLOSE, reads=False)
    assert status == 0
    assert [seen.end for seen in found if seen.end is End.OPEN] == []
