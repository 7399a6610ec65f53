"""What has to hold of a running process, checked off the hot path; each violation is counted and logged."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lugspur.events import log
from lugspur.trace import trace

Check = Callable[[], str]  # what is wrong, in words; empty: nothing is


class Invariants:
    """Checks by name, and how often each was violated."""

    def __init__(self, guarded: tuple[str, ...] = ()) -> None:
        """`guarded` names those that are reported where they are violated, without a check of their own."""
        self._checks: dict[str, Check] = {}
        self.violations = dict.fromkeys(guarded, 0)

    def add(self, checks: Mapping[str, Check]) -> None:
        """Check these from now on."""
        self._checks.update(checks)
        for name in checks:
            self.violations.setdefault(name, 0)

    def report(self, name: str, detail: str) -> None:
        """Count a violation."""
        self.violations[name] = self.violations.get(name, 0) + 1
        trace.record("invariant.violated", name=name, detail=detail)
        log.error("invariant.violated", reason=name, detail=detail[:200])

    def check(self) -> None:
        """Run all checks; one that fails itself is a violation too."""
        for name, check in self._checks.items():
            try:
                detail = check()
            except Exception as fault:  # Guards the other checks.
                detail = repr(fault)
            if detail:
                self.report(name, detail)

    def figures(self) -> list[str]:
        """Lines of the telemetry."""
        return [
            f"invariant.violations={sum(self.violations.values())}",
            *(f"invariant.{name}={count}" for name, count in self.violations.items()),
        ]
