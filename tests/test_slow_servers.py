"""One server of four is silent, or slow where no second copy may be sent: others serve in its place."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from hostile import stage as stages
from hostile.answer_grid import give
from hostile.slow_callers import Answer, ask, head
from hostile.slow_servers import Framing, read_body
from hostile.spoilt_servers import request_id, whole
from hostile.stage import Setting, Stage, stage
from terms import LATE_MOST, Given

REQUESTS, EVERY, WAIT = 60, 0.03, 1.0  # and seconds between them, and for each
ENDLESS = Given(40e3, 1 << 30)
TIMES = {"Aim": 3.0, "HardLimit": 3.0, "LateWorth": 0.6}
SERVICES = (
    {"Name": "read", "Repeat": "retryable", **TIMES}, {"Name": "book", "Repeat": "fragile", **TIMES},
    {"Name": "once", "Repeat": "dedup", "Group": "all", "Window": 4.0, **TIMES},
)


def play(folder: Path, kind: str, is_silent: bool, bounds: dict[str, Any]) -> list[Answer]:
    """Requests one after another; `bounds` replace some of the settings' own."""
    first: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = int(writer.get_extra_info("sockname")[1])
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            await read_body(reader, request, 0.0)
            first.append(port)
            if first[0] != port:
                await asyncio.sleep(0.005)
                writer.write(whole(request_id(request)))
            elif is_silent:
                await reader.read()
                return
            else:
                await give(writer, ENDLESS, Framing.CHUNKED)

    async def one(target: Stage, number: int) -> Answer:
        await asyncio.sleep(EVERY * number)
        return await ask(target, head(kind, WAIT, f"r{number}", "Content-Length: 0\r\n"), WAIT + 2.0)

    def configuration(*given: Any) -> str:
        found = json.loads(plain(*given))
        found["settings"]["Bounds"].update(bounds)
        return json.dumps(found)

    async def run() -> list[Answer]:
        async with stage(folder, serve, None, Setting(services=SERVICES)) as target:
            return await asyncio.gather(*(one(target, number) for number in range(REQUESTS)))

    plain = stages.configuration
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stages, "configuration", configuration)
        return asyncio.run(run())


CASES = [(True, {}), (True, {"SecondCopies": False}), (False, {"SecondCopies": False})]


@pytest.mark.parametrize("kind", ["read", "once"])
@pytest.mark.parametrize(("is_silent", "bounds"), CASES)
def test_each_request_is_served_though_its_first_server_is_silent_or_no_copy_may_be_sent(
    kind: str, is_silent: bool, bounds: dict[str, Any], tmp_path: Path
) -> None:
    answers = play(tmp_path, kind, is_silent, bounds)
    assert [number for number, answer in enumerate(answers) if answer.status != 200] == []


@pytest.mark.parametrize(("is_silent", "bounds"), [*CASES, (False, {"SecondCopies": False, "Cancel": False})])
def test_none_ends_late_there(is_silent: bool, bounds: dict[str, Any], tmp_path: Path) -> None:
    answers = play(tmp_path, "book", is_silent, bounds)
    assert [number for number, answer in enumerate(answers) if answer.took > WAIT + LATE_MOST] == []
