"""Real processes between servers whose answers never end: requests end in time, or at another server."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from hostile.slow_callers import FAILED, Answer, ask, head
from hostile.slow_servers import Framing
from hostile.spoilt_servers import Spoil, request_id, spoilt_answers
from hostile.stage import SHORT_AIMS, Setting, stage

LATE_MOST = 0.5  # seconds after a request's time in which its answer, or an end that tells, is not late
WAITS = (0.4, 1.0, 2.0)  # seconds
WATCHED = 2.0  # seconds after its time for which a request is watched
KINDS = ("read", "once", "book")
EVERY = 0.03  # seconds between requests, where they come one after another
REQUESTS = 60


def late(answers: dict[str, Answer], waits: dict[str, float]) -> dict[str, str]:
    """The answers that came too late, and how they ended."""
    return {
        name: f"{answer.status} after {answer.took:.2f} s" for name, answer in answers.items()
        if answer.took > waits[name] + LATE_MOST
    }


@pytest.mark.parametrize("framing", Framing)
def test_a_request_whose_servers_never_end_their_answers_ends_in_time(
    framing: Framing, tmp_path: Path
) -> None:
    waits = {f"{kind}.{spoil.value}.{wait}": wait for spoil in Spoil for wait in WAITS for kind in KINDS}

    seen: Counter[str] = Counter()

    def draw(request: bytes, _: int) -> tuple[Spoil, Framing]:
        name = request_id(request).decode()
        seen[name] += 1
        return Spoil(name.split(".")[1]), framing

    async def play() -> dict[str, Answer]:
        async with stage(tmp_path, spoilt_answers(draw), None, Setting(services=SHORT_AIMS)) as target:
            answers = await asyncio.gather(*(
                ask(target, head(name.split(".")[0], wait, name), wait + WATCHED)
                for name, wait in waits.items()
            ))
        return dict(zip(waits, answers, strict=True))

    answers = asyncio.run(play())
    assert late(answers, waits) == {}
    assert not [name for name, answer in answers.items() if answer.status == 200], "200 to what never ended"
    assert not [name for name, count in seen.items() if name.startswith("book") and count > 1]


@pytest.mark.parametrize("first", [0, 24])
@pytest.mark.parametrize("kind", ["read", "once"])
@pytest.mark.parametrize("spoil", [Spoil.SILENCE, Spoil.TRICKLE, Spoil.QUICK_TRICKLE, Spoil.HEAD])
def test_another_server_serves_what_may_run_twice_where_one_never_ends_its_answers(
    spoil: Spoil, kind: str, first: int, tmp_path: Path
) -> None:
    """One server in four does, from the request of this number on."""
    ports: list[int] = []
    framings = list(Framing)

    def draw(request: bytes, port: int) -> tuple[Spoil, Framing] | None:
        number = int(request_id(request).removeprefix(b"r"))
        if not ports and number >= first:
            ports.append(port)
        return (spoil, framings[number % len(framings)]) if ports == [port] else None

    async def one(target: object, number: int) -> Answer:
        await asyncio.sleep(EVERY * number)
        return await ask(target, head(kind, 2.0, f"r{number}"), 2.0 + WATCHED)  # type: ignore[arg-type]

    async def play() -> list[Answer]:
        async with stage(tmp_path, spoilt_answers(draw), None, Setting(services=SHORT_AIMS)) as target:
            return await asyncio.gather(*(one(target, number) for number in range(REQUESTS)))

    answers = asyncio.run(play())
    unserved = {
        number: f"{answer.status} after {answer.took:.2f} s" for number, answer in enumerate(answers)
        if answer.status != 200 or answer.body != b"r%d" % number or answer.took > 2.0 + LATE_MOST
    }
    assert unserved == {}
    assert FAILED not in {answer.status for answer in answers}
