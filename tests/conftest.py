"""Tests that are known to fail are passed over and printed: see known_red.py."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import check, parse

from lugspur.events import Log
from lugspur.trace import trace

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN = pytest.StashKey[list[str]]()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the named ones fail; a run of all tests fails where a line names none."""
    try:
        known = parse(FILE.read_text()) if FILE.exists() else []
        if config.args == config.getini("testpaths"):
            check(known, [item.nodeid for item in items], FILE.parent)
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from fault
    config.stash[KNOWN] = [f"{row.test}: {row.cause} (issue {row.issue})" for row in known]
    for row in known:
        for item in items:
            if row.names(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"known: {row.cause}", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print them, whatever the run was."""
    for line in config.stash.get(KNOWN, []):
        terminalreporter.write_line(f"KNOWN RED {line}")


@pytest.fixture(autouse=True)
def quiet_trace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Proxies in the test's own process write no trace: its timer would run on the loops that tests drive.

    Processes that a test starts write theirs, and `test_trace.py` makes its own.
    """
    muted = Log()
    muted.muted = True
    monkeypatch.setattr(trace, "_target", muted)
