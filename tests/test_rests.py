"""How long a server's connections rest after an answer, by what they have shown."""

from __future__ import annotations

import asyncio

import pytest
from loopback import OK, Client, Running, backend, book, entry, read, running, status, until

from jaspershelf.repeated_answers import (
    NEW_EVERY,
    REPEATING_FOR,
    REST,
    REST_OF_REPEATING,
    RESTS_OF_SOUND,
    RepeatedAnswers,
)


def sound() -> RepeatedAnswers:
    repeats = RepeatedAnswers()
    for _ in range(RESTS_OF_SOUND):
        repeats.rested()
    return repeats


def test_the_connections_of_a_sound_server_need_no_rest_for_what_may_be_repeated() -> None:
    assert RepeatedAnswers().rest_needed(1.0, safe=True) == REST
    assert sound().rest_needed(1.0, safe=True) == 0.0 and sound().rest_needed(1.0, safe=False) == REST


def test_a_server_that_has_repeated_an_answer_has_to_show_that_it_is_sound_anew() -> None:
    repeats = sound()
    repeats.repeated(10.0)
    assert repeats.rest_needed(10.0 + REPEATING_FOR - 0.1, safe=True) == REST_OF_REPEATING
    assert repeats.rest_needed(10.0 + REPEATING_FOR, safe=True) == REST


def test_where_no_connection_has_rested_some_requests_wait_and_some_get_a_new_one() -> None:
    repeats = RepeatedAnswers()
    assert [repeats.wants_new(REST / 2) for _ in range(NEW_EVERY)] == [False] * (NEW_EVERY - 1) + [True]
    assert repeats.wants_new(2 * REST), "too long a wait"


def test_an_answer_right_after_another_and_sooner_than_usual_may_be_a_second_one() -> None:
    repeats = RepeatedAnswers()
    assert not repeats.is_early(0.001, 0.001), "nothing is known"
    repeats.answered(0.04)
    assert repeats.is_early(0.009, 0.01) and not repeats.is_early(0.011, 0.01)
    assert not repeats.is_early(0.009, 0.03)


async def served(client: Client, up: Running, number: int) -> None:
    """One request is served, and its connection rests."""
    assert status(await client.ask(read(number))) == 200
    await until(lambda: bool(up.proxy._upstream._idle))


@pytest.mark.parametrize("repeats", [False, True])
def test_a_second_answer_tells_of_its_server_and_its_connection_is_not_kept(repeats: bool) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            await served(client, up, 1)
            [known] = up.proxy._backends.values()
            known.repeats = sound()
            if repeats:
                one.open[0].write(OK)
                await until(lambda: not up.proxy._upstream._idle)
            loop = asyncio.get_running_loop()
            begun = loop.time()
            for number in (2, 3):
                assert status(await client.ask(read(number))) == 200
            assert len(one.open) == (3 if repeats else 1), "no connection had rested for long enough"
            assert repeats or loop.time() - begun < 20.0
            assert (known.repeats.rest_needed(loop.time(), safe=True) > 0.0) == repeats

    asyncio.run(play())


@pytest.mark.parametrize("drains", [False, True])
def test_a_request_that_waits_for_a_rest_is_sent_after_it_or_never(drains: bool) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as other:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                await served(client, up, 1)
                client.writer.write(book(2))
                await until(lambda: not up.proxy._upstream._idle)
                if drains:  # while it waits
                    assert one.got.qsize() == 1
                    up.tell([entry("a", one.address, "terminating"), entry("b", other.address)])
                assert status(await client.answer()) == 200
                assert (one.got.qsize(), other.got.qsize()) == ((1, 1) if drains else (2, 0))

    asyncio.run(play())
