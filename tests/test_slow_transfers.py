"""Real processes between slow, sound peers: what comes in is carried on, and answers come in their time."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import pytest
from hostile import slow_servers
from hostile.slow_callers import CLASSES, FAILED, Answer, ask, head
from hostile.slow_servers import Framing, Piece, content, evenly
from hostile.stage import SHORT_AIMS, Setting, stage

REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *(\S+)")
LATE_MOST = 0.5  # seconds after a request's time in which its answer is not lost yet
SIZE = 60_000
LARGE = 150_000
SHAPES = {
    "evenly": evenly(SIZE, 1.6), "late": (Piece(1.2, SIZE),), "large": evenly(LARGE, 1.9),
    "halves": (Piece(0.1, SIZE // 2), Piece(0.9, SIZE // 2)), "small": evenly(40, 1.6),
}
LONG_SIZE = 120_000
LONG_SHAPES = {
    "long past its time": evenly(LONG_SIZE, 3.5), "short past its time": evenly(SIZE, 3.5),
    "silent": (Piece(0.1, SIZE // 2), Piece(60.0, SIZE // 2)),
}
LONG_WAIT = 2.5  # seconds
LATEST = LONG_WAIT + LATE_MOST


def play_answers(
    folder: Path, kind: str, framing: Framing, shapes: Mapping[str, tuple[Piece, ...]]
) -> tuple[dict[str, Answer], dict[str, int]]:
    """One request for each shape, all at once: its answer, and how often servers got it."""
    seen: Counter[str] = Counter()

    def draw(request: bytes) -> tuple[Framing, tuple[Piece, ...]]:
        found = REQUEST_ID.search(request)
        assert found is not None
        shape = found[1].decode()
        seen[shape] += 1
        return framing, shapes[shape.replace("-", " ")]

    async def play() -> dict[str, Answer]:
        setting = Setting(services=SHORT_AIMS)
        async with stage(folder, slow_servers.slow_answers(draw), None, setting) as target:
            requests = [head(kind, LONG_WAIT, shape.replace(" ", "-")) for shape in shapes]
            answers = await asyncio.gather(*(ask(target, request, 2.0 * LATEST) for request in requests))
            return dict(zip(shapes, answers, strict=True))

    return asyncio.run(play()), dict(seen)


@pytest.mark.parametrize("kind", CLASSES)
@pytest.mark.parametrize("framing", Framing)
def test_a_sound_answer_that_comes_in_slowly_is_passed_on_whole(
    kind: str, framing: Framing, tmp_path: Path
) -> None:
    answers, seen = play_answers(tmp_path, kind, framing, SHAPES)
    expected = {shape: content(sum(piece.size for piece in pieces)) for shape, pieces in SHAPES.items()}
    wrong = {
        shape: (answer.status, len(answer.body), round(answer.took, 2))
        for shape, answer in answers.items()
        if answer.status != 200 or answer.body != expected[shape] or answer.took > LATEST
    }
    assert not wrong
    assert seen == dict.fromkeys(SHAPES, 1), "sent again while its answer came in"


def test_a_long_answer_that_comes_in_at_its_time_is_carried_on_and_one_of_64_kib_or_a_silent_one_is_not(
    tmp_path: Path
) -> None:
    answers, _ = play_answers(tmp_path, "read", Framing.CHUNKED, LONG_SHAPES)
    long, short, silent = (answers[shape] for shape in LONG_SHAPES)
    assert long.status == 200 and long.body == content(LONG_SIZE) and long.took > LONG_WAIT
    assert short.status in (FAILED, 503) and short.took < LATEST
    assert silent.status in (FAILED, 503) and silent.took < LATEST


def test_a_short_answer_is_waited_for_until_it_would_be_lost(tmp_path: Path) -> None:
    shapes = {"just late": evenly(SIZE, LONG_WAIT + 0.05), "too late": evenly(SIZE, LONG_WAIT + 2.0, 50)}
    answers, _ = play_answers(tmp_path, "read", Framing.LENGTH, shapes)
    just, too_late = answers["just late"], answers["too late"]
    assert just.status == 200 and just.body == content(SIZE) and just.took < LATEST
    assert too_late.status == 503 and too_late.took < LATEST
