"""A deterministic simulation: the real proxies on a driven clock, against a scripted discovery and servers.

`clock` moves the time, `link` and `network` carry bytes in memory, `registry`, `servers` and `callers` are
the other side, `process` runs one real proxy, `run` puts a seed's run together, and `faults` disturbs it. A
run is a function of its seed and its faults alone. From the repository's root:
`PYTHONPATH=tests python -m simulation --help`.
"""

from __future__ import annotations

from collections.abc import Sequence

from simulation.faults import FAULTS, FLEET, FLEET_PROCESSES, IMPATIENT, LEAVES, LONG, WITHHOLDING
from simulation.run import MOST_DELAY, Plan, Verdict, simulate


def play(seed: int, names: Sequence[str]) -> Verdict:
    """Play this seed with these faults, one or two of `faults.FAULTS`, `LONG`, `FLEET` and `IMPATIENT`."""
    def adjust(plan: Plan) -> None:
        plan.agent = WITHHOLDING.isdisjoint(names) and FAULTS.keys() >= set(names)
        for name in names:
            if name in LONG:
                plan.duration, plan.rate = 120.0, 5.0
            if name in FLEET or name in IMPATIENT:
                plan.processes, plan.rate = FLEET_PROCESSES, 0.5
            if name in IMPATIENT:
                plan.pushed, plan.instances, plan.duration = False, FLEET_PROCESSES, 24.0
            if name == "impatient_cut":
                plan.grace = 1.5

    known = FAULTS | LONG | FLEET | IMPATIENT
    faults = []
    for name in names:
        left = [LEAVES.get(other, MOST_DELAY) for other in names if other != name]
        faults.append((known[name], min(left, default=MOST_DELAY)))
    return simulate(seed, names, faults, adjust)
