"""Plays seeds and prints what broke: `PYTHONPATH=tests:. python -m soak --seeds 0-49`."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from soak.play import Result, play

SHOWN = 5  # breaks of a seed


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _show(result: Result) -> None:
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
    given = parser.parse_args()
    broken = []
    with ProcessPoolExecutor(given.workers) as pool:
        for result in pool.map(play, given.seeds):
            _show(result)
            if result.broken:
                broken.append(result.seed)
    print(f"{len(given.seeds)} seeds, {len(broken)} broken: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
