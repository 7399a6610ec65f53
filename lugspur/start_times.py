"""When servers started, on the proxy's own clock, which no step of the system's clock moves.

Discovery tells the start of a server as wall time. This process relates wall time to its own clock once, as
it starts. Where either clock was wrong then by seconds or an hour, a server that has just started would be
taken for one that started long ago, and be given its full load while it is cold; or for one that is to start
in an hour, and be held cold until then. So the age of a start, as it is told, is kept to what is possible.
"""

from __future__ import annotations

from dataclasses import replace

from jaspershelf.model import ServerId, ServerRow

LIVE_AGE_MOST = 5.0  # seconds: a change that is told on a watch at once is no older than that


class StartTimes:
    """The start of each server, as it was reckoned when it was first told."""

    def __init__(self) -> None:
        self._starts: dict[ServerId, tuple[float, float]] = {}  # as told, and on the proxy's clock

    def forget(self, server: ServerId) -> None:
        """Nothing is kept of a server that is gone."""
        self._starts.pop(server, None)

    def adjust(self, now: float, row: ServerRow, live: bool) -> ServerRow:
        """The row with its start on the proxy's clock; `live`: it is told as it happens.

        A start that was told before stays as it was reckoned then, exactly. One that can't be reckoned with
        is left as it is told.
        """
        if not row.started > 0.0:  # long ago, or no figure
            return row
        told = self._starts.get(row.server)
        if told is None or told[0] != row.started:
            most = LIVE_AGE_MOST if live else now
            told = self._starts[row.server] = row.started, min(max(row.started, now - most), now)
        return row if told[1] == row.started else replace(row, started=told[1])
