"""Plays attacks and prints what each showed: `PYTHONPATH=tests:. python -m hostile [NAME]`."""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
from pathlib import Path

from hostile.attacks import ATTACKS
from hostile.play import play


def main() -> int:
    """Play them, one after another."""
    parser = argparse.ArgumentParser(prog="hostile", description=__doc__)
    parser.add_argument("names", nargs="*", help="attacks; none: all")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--memory-mb", type=int, default=64)
    given = parser.parse_args()
    for name in given.names or ATTACKS:
        with tempfile.TemporaryDirectory(prefix="hostile-") as folder:
            measured = asyncio.run(play(ATTACKS[name], Path(folder), given.seconds, given.memory_mb))
        print(f"{name}: peak {measured.peak_mb:.0f} MB (rest {measured.rest_mb:.0f}), longest probe "
              f"{measured.longest_probe:.2f} s, status {measured.status}", flush=True)
        if os.environ.get("HOSTILE_SHOW"):
            print(measured.telemetry, measured.errors[-2000:].decode(errors="replace"), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
