"""Faults drawn from seeds, on a driven clock: no attempt is late after a drain was told, and nothing is lost.

A seed that fails is played again with
`PYTHONPATH=tests python -m simulation --seeds SEED --fault NAME --verbose`.
"""

from __future__ import annotations

import random

import pytest
import simulation
from simulation.faults import FAULTS, FLEET, IMPATIENT, pair
from simulation.run import Verdict

SEEDS = range(6)  # of each fault
PAIRS = range(1000, 1060)
FLEET_SEEDS = range(1)
IMPATIENT_SEEDS = range(2)


def complaint(verdict: Verdict) -> str:
    """What broke in a run and how to play it again; empty if nothing did."""
    if verdict.sound():
        return ""
    return "\n".join([
        f"--seeds {verdict.seed} --fault {'+'.join(verdict.faults)}: {len(verdict.drains)} attempts late, "
        f"{verdict.lost} requests lost, {verdict.duplicates} twice, never told: {verdict.starved[:5]}, "
        f"timers: {verdict.timers[:2]}, raised: {verdict.faults_raised[:2]}",
        *[f"  {violation}" for violation in verdict.drains[:3]],
    ])


def assert_sound(verdicts: list[Verdict]) -> None:
    broken = [text for text in map(complaint, verdicts) if text]
    assert not broken, "\n".join(["", *broken])


@pytest.mark.parametrize("name", FAULTS)
def test_no_attempt_is_late_under_one_fault(name: str) -> None:
    assert_sound([simulation.play(seed, [name]) for seed in SEEDS])


@pytest.mark.parametrize("part", range(6))
def test_no_attempt_is_late_under_two_faults(part: int) -> None:
    seeds = PAIRS[part::6]
    assert_sound([simulation.play(seed, pair(random.Random(f"pair {seed}"))) for seed in seeds])


@pytest.mark.parametrize("name", FLEET)
def test_no_attempt_is_late_in_a_fleet_that_crowds_discovery(name: str) -> None:
    assert_sound([simulation.play(seed, [name]) for seed in FLEET_SEEDS])


@pytest.mark.parametrize("name", IMPATIENT)
def test_no_attempt_is_late_in_a_fleet_whose_calls_fail_in_the_queue(name: str) -> None:
    assert_sound([simulation.play(seed, [name]) for seed in IMPATIENT_SEEDS])


@pytest.mark.parametrize(("names", "seed"), [
    ("no_room", 29), ("clock_step", 7), ("clock_step", 32), ("half_file", 45), ("slow+restart", 1),
    ("slow+restart", 28), ("long_list+restart", 1), ("restart+cut", 30), ("restart+no_news", 13),
    ("slow+sighup", 7),
])
def test_no_attempt_is_late_in_runs_that_showed_a_fault_once(names: str, seed: int) -> None:
    assert_sound([simulation.play(seed, names.split("+"))])


@pytest.mark.parametrize("names", [["slow"], ["restart", "upgrade"], ["bad_servers", "late_dials"]])
def test_a_seed_gives_the_same_run_every_time(names: list[str]) -> None:
    first, second = simulation.play(1, names), simulation.play(1, names)
    assert first == second and first.attempts > 100


def test_runs_without_a_fault_show_drains_and_serve_all() -> None:
    verdicts = [simulation.play(seed, ["none"]) for seed in SEEDS]
    assert all(verdict.served == verdict.requests > 250 for verdict in verdicts)
