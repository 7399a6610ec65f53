"""Plays seeds of faults and prints a table: `PYTHONPATH=tests python -m simulation --seeds 0-99`."""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from simulation import play
from simulation.faults import FAULTS, FLEET, IMPATIENT, LONG, pair
from simulation.run import Verdict

SHOWN = 8  # failing seeds of a row


@dataclass(slots=True)
class Row:
    """What the plays of one fault, or of pairs, have shown."""

    name: str
    seeds: int = 0
    attempts: int = 0
    drains: int = 0
    others: int = 0
    lines: set[str] = field(default_factory=set)
    broke_drain: list[str] = field(default_factory=list)
    broke_other: list[str] = field(default_factory=list)

    def add(self, verdict: Verdict) -> None:
        """One more play."""
        self.seeds += 1
        self.attempts += verdict.attempts
        self.drains += len(verdict.drains)
        self.others += verdict.others()
        self.lines |= {violation.told.line for violation in verdict.drains}
        label = str(verdict.seed)
        if "pairs" in self.name:
            label += f" ({'+'.join(verdict.faults)})"
        if verdict.drains:
            self.broke_drain.append(label)
        if verdict.others():
            self.broke_other.append(label)

    def cells(self) -> list[object]:
        """The row of the table: see `COLUMNS`."""
        return [
            f"`{self.name}`", self.seeds, self.attempts, len(self.broke_drain), self.drains,
            ", ".join(sorted(self.lines)), _shown(self.broke_drain), self.others, _shown(self.broke_other),
        ]


COLUMNS = (
    "fault", "seeds", "attempts", "seeds that break the rule", "late attempts", "told by", "which seeds",
    "other breaks", "which seeds",
)


def _shown(labels: list[str]) -> str:
    more = f" and {len(labels) - SHOWN} more" if len(labels) > SHOWN else ""
    return ", ".join(labels[:SHOWN]) + more


def _line(cells: Iterable[object]) -> str:
    return f"| {' | '.join(str(cell) for cell in cells)} |"


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _jobs(names: Iterable[str], seeds: range, pairs: int) -> Iterator[tuple[str, int, tuple[str, ...]]]:
    for name in names:
        for seed in seeds:
            yield name, seed, tuple(name.split("+"))
    for seed in range(seeds.start, seeds.start + pairs):
        yield "pairs", seed, pair(random.Random(f"pair {seed}"))


def _play(job: tuple[str, int, tuple[str, ...]]) -> tuple[str, Verdict]:
    name, seed, faults = job
    return name, play(seed, faults)


def main() -> int:
    """Print the table; 1 where a rule broke."""
    parser = argparse.ArgumentParser(prog="simulation", description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=range(0, 20), help="one, or FIRST-LAST")
    parser.add_argument("--fault", action="append", help="a name, or two with a plus; all without")
    parser.add_argument("--pairs", type=int, default=0, help="as many seeds of pairs that are drawn, too")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--long", action="store_true", help="the long faults, and those of a fleet, too")
    parser.add_argument("--verbose", action="store_true", help="each break, too")
    given = parser.parse_args()
    names = given.fault or [*FAULTS, *(LONG | FLEET | IMPATIENT if given.long else {})]
    rows = {name: Row(name) for name in names}
    if given.pairs:
        rows["pairs"] = Row("pairs")
    jobs = list(_jobs(names, given.seeds, given.pairs))
    with ProcessPoolExecutor(given.workers) as pool:
        for name, verdict in pool.map(_play, jobs, chunksize=4):
            rows[name].add(verdict)
            if given.verbose and not verdict.sound():
                _explain(verdict)
    print(_line(COLUMNS))
    print(_line("---" for _ in COLUMNS))
    for row in rows.values():
        print(_line(row.cells()))
    return int(any(row.drains or row.others for row in rows.values()))


def _explain(verdict: Verdict) -> None:
    print(f"seed {verdict.seed} {'+'.join(verdict.faults)}: {verdict.lost} lost, {verdict.duplicates} twice, "
          f"starved {verdict.starved}, timers {verdict.timers}, raised {verdict.faults_raised[:3]}")
    for violation in verdict.drains[:3]:
        print(f"  {violation}")


if __name__ == "__main__":
    sys.exit(main())
