"""What the proxy reports of itself: plain counters and their text form."""

from __future__ import annotations

from collections.abc import Sequence

REFUSED = frozenset({429, 503})


class Telemetry:
    """Counts since the start of the process; each request once, under its true end."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = classes
        self._success = [0] * len(classes)
        self._overload = [0] * len(classes)
        self._error = [0] * len(classes)
        self.concurrent = 0  # requests that have come whole and are not ended

    def answered(self, kind: int, status: int) -> None:
        """A request of this class has had its final answer, with this status."""
        counts = self._success if status == 200 else self._overload if status in REFUSED else self._error
        counts[kind] += 1

    def text(self, dispatches: int, targets: int, disabled: int) -> bytes:
        """All figures, one a line."""
        lines = [
            f"proxy.{name}.{row}={count}"
            for name, counts in (
                ("success", self._success), ("overload", self._overload), ("error", self._error)
            )
            for row, count in zip(self._classes, counts, strict=True)
        ]
        lines += [
            f"proxy.dispatches={dispatches}", f"proxy.concurrent={self.concurrent}",
            f"proxy.targets={targets}", f"proxy.targets_disabled={disabled}",
        ]
        return "".join(f"{line}\n" for line in lines).encode()


class ServedRequest:
    """The request that one connection is served, as far as it is counted."""

    __slots__ = ("_is_whole", "_telemetry", "kind")

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._is_whole = False
        self.kind: int | None = None  # its class; None: it has none, or none is served

    def come_whole(self) -> None:
        """All of it has come."""
        self._is_whole = True
        self._telemetry.concurrent += 1

    def answered(self, status: int) -> None:
        """It has its final answer."""
        if self.kind is not None:
            self._telemetry.answered(self.kind, status)

    def end(self) -> None:
        """It is served no more."""
        self.kind = None
        if self._is_whole:
            self._is_whole = False
            self._telemetry.concurrent -= 1
