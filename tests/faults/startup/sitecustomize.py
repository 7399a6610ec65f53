"""Start-up hook of real processes under test: their calls fail by the plan in LUGSPUR_TEST_FAULTS."""

from __future__ import annotations

import os

from faults import calls, plan

PLAN = os.environ.get("LUGSPUR_TEST_FAULTS")
OFFSET = os.environ.get("LUGSPUR_TEST_CLOCK")  # seconds by which the wall clock is wrong

if OFFSET:
    import time

    real, offset = time.time, float(OFFSET)
    time.time = lambda: real() + offset
if PLAN:
    calls.install(plan.decode(PLAN))
