"""The environment that has a real process of the proxy run under faults."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from faults.plan import Plan

TESTS = Path(__file__).parent.parent


def under_faults(environ: Mapping[str, str], plan: Plan, clock: float = 0.0) -> dict[str, str]:
    """This environment with the start-up hook in it; `clock` sets the wall clock wrong by so much."""
    paths = [str(TESTS / "faults" / "startup"), str(TESTS), str(TESTS.parent)]
    if environ.get("PYTHONPATH"):
        paths.append(environ["PYTHONPATH"])
    return {**environ, "PYTHONPATH": ":".join(paths), "LUGSPUR_TEST_FAULTS": plan.encode(),
            "LUGSPUR_TEST_CLOCK": str(clock) if clock else ""}
