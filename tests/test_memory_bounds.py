"""Real processes under peers that would make them hold ever more: `python -m hostile` prints the figures."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hostile.attacks import ATTACKS
from hostile.play import play

MEMORY_MB = 64  # as on the smaller days of this language
SECONDS = 5.0
PROBE_MOST = 3.0  # seconds: what a client that behaves badly is owed its end within
DATA_LIMITS_MB = (28, 34, 40)  # RLIMIT_DATA, of which a process at rest uses 17


@pytest.mark.parametrize("name", ATTACKS)
def test_no_peer_takes_a_process_over_its_memory_limit(name: str, tmp_path: Path) -> None:
    measured = asyncio.run(play(ATTACKS[name], tmp_path, SECONDS, MEMORY_MB))
    assert measured.status == 0, measured.errors[-2000:]
    assert measured.peak_mb * (1 << 20) < MEMORY_MB * 1e6
    assert measured.longest_probe < PROBE_MOST
    assert measured.telemetry["invariant.violations"] == "0", measured.telemetry


@pytest.mark.parametrize("limit", DATA_LIMITS_MB)
@pytest.mark.parametrize("name", ["answers with headers without end", "heads that do not end", "all at once"])
def test_a_process_that_is_given_no_more_memory_goes_on(name: str, limit: int, tmp_path: Path) -> None:
    measured = asyncio.run(play(ATTACKS[name], tmp_path, SECONDS, 192, limit << 20))
    assert measured.status == 0, measured.errors[-2000:]
    assert measured.longest_probe < PROBE_MOST
    assert measured.telemetry["invariant.violations"] == "0", measured.telemetry
