"""Real processes and large requests in drawn patterns: a final answer comes in its time."""

from __future__ import annotations

from pathlib import Path

import pytest
from hostile.drawn_answers import HoldUps
from hostile.drawn_requests import Reading, draw, play

REQUESTS = 160  # `python -m hostile.drawn_requests` plays any number


@pytest.mark.parametrize(("receive_buffer", "memory_mb", "server_buffer", "hold_ups", "first"), [
    (None, 192, 64 << 10, HoldUps.NEVER, 0), (8 << 10, 96, 8 << 10, HoldUps.NEVER, REQUESTS),
    (64 << 10, 48, 256 << 10, HoldUps.NEVER, 2 * REQUESTS), (None, 96, 64 << 10, HoldUps.OFTEN, 3 * REQUESTS),
], ids=["usual buffers", "small buffers", "little memory", "held up"])
def test_a_large_request_has_its_final_answer_in_time_where_servers_read_slowly_in_lumps_or_stop(
    receive_buffer: int | None, memory_mb: int, server_buffer: int, hold_ups: HoldUps, first: int,
    tmp_path: Path,
) -> None:
    numbers = range(first, first + REQUESTS)
    played = play(tmp_path, numbers, receive_buffer, memory_mb, server_buffer, hold_ups)
    assert played.broken == {}
    assert played.refused < 0.2 * played.cells


def test_a_request_is_drawn_alike_each_time_and_each_way_of_reading_is_drawn() -> None:
    requests = [draw(number) for number in range(100)]
    assert requests == [draw(number) for number in range(100)]
    assert {request.reading for request in requests} == set(Reading)
