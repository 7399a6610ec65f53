"""Plays seeds and prints what broke: `PYTHONPATH=tests:. python -m soak --seeds 0-49`."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from soak.fleet import FleetResult, play_fleet
from soak.play import Result, play

SHOWN = 5  # breaks of a seed


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _show(result: Result | FleetResult) -> None:
    if isinstance(result, FleetResult):
        end = f"{result.processes} processes, {result.peak_mb:.0f} MB at the most"
    else:
        end = "killed" if result.killed else "ended"
    print(f"seed {result.seed}: {result.requests} requests, {result.after_term} after SIGTERM, {end}, "
          f"{len(result.broken)} broken, stand-ins late by {result.late:.3f} s", flush=True)
    for text in result.broken[:SHOWN]:
        print(f"  {text}", flush=True)


def main() -> int:
    """Play them, some at a time."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=range(0, 8), help="one, or FIRST-LAST")
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--fleet", action="store_true", help="ten to forty processes, one seed at a time")
    given = parser.parse_args()
    broken: list[int] = []
    if given.fleet:
        for seed in given.seeds:
            _note(play_fleet(seed), broken)
        return _summary(given.seeds, broken)
    with ProcessPoolExecutor(given.workers) as pool:
        for result in pool.map(play, given.seeds):
            _note(result, broken)
    return _summary(given.seeds, broken)


def _note(result: Result | FleetResult, broken: list[int]) -> None:
    _show(result)
    if result.broken:
        broken.append(result.seed)


def _summary(seeds: range, broken: list[int]) -> int:
    print(f"{len(seeds)} seeds, {len(broken)} broken: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
