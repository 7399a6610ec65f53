"""Starts of servers told in wall time, where this process's wall clock was wrong as it started."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
from loopback import HOST, config, entry, running, soon, until, watches

from jaspershelf.model import Discovery as Mode
from jaspershelf.model import ServerRow
from lugspur.discovery import server_id
from lugspur.start_times import LIVE_AGE_MOST, StartTimes

NOW = 1_800_000_000.0


@pytest.mark.parametrize("step", [0.0, 3.0, -3.0, 3600.0, -3600.0])
def test_a_start_told_as_it_happens_is_at_most_so_old_whatever_the_clock_says(step: float) -> None:
    """`step`: how far this process's clock is ahead."""
    times, started = StartTimes(), NOW - 1.0
    row = times.adjust(NOW + step, ServerRow(1, started=started), live=True)
    age = NOW + step - row.started
    assert 0.0 <= age <= LIVE_AGE_MOST
    if step == 0.0:
        assert row.started == started, "exact where the clocks agree"
    later = times.adjust(NOW + step + 100.0, ServerRow(1, started=started), live=False)
    assert later.started == row.started, "told again it is the same start"


def test_a_start_in_the_future_is_one_of_now() -> None:
    row = StartTimes().adjust(NOW, ServerRow(1, started=NOW + 3600.0), live=False)
    assert row.started == NOW


@pytest.mark.parametrize("started", [0.0, NOW - 1e6, -5.0, float("nan")])
def test_what_was_long_ago_or_is_no_time_stays_as_it_is_told(started: float) -> None:
    row = ServerRow(1, started=started)
    assert StartTimes().adjust(NOW, row, live=False) is row


def test_a_server_that_starts_again_has_started_later_though_its_clock_went_back() -> None:
    times = StartTimes()
    first = times.adjust(NOW, ServerRow(1, started=NOW - 2.0), live=True)
    again = times.adjust(NOW + 60.0, ServerRow(1, started=NOW - 3540.0), live=True)
    assert again.started > first.started, "the module takes it for the same process"


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_proxy_whose_clock_is_an_hour_off_takes_a_new_server_for_a_cold_one_and_warms_it(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        rules = dataclasses.replace(config([]).settings.rules, cold_for=20.0, cold_from=0.2)
        settings = dataclasses.replace(config([]).settings, discovery=Mode.PUSHED, rules=rules)
        monkeypatch.setattr("time.time", lambda: NOW + step)
        async with watches() as stub, running([], discovery=stub.port, settings=settings) as up:
            await soon(stub.asked.get())
            stub.say(8, [entry("a", f"{HOST}:1")], snapshot=True)
            stub.say(9, [entry("b", f"{HOST}:2", since_ms=int(1000 * NOW))])
            balancer, now = up.proxy._balancer, up.proxy._now
            await until(lambda: balancer.knows(server_id("b")))
            server = balancer.servers[server_id("b")]
            assert balancer._present(now(), server) < 0.5
            assert balancer._cold_until(server) <= now() + rules.cold_for
            assert balancer._present(now() + rules.cold_for, server) == 1.0

    asyncio.run(play())
