"""What operators see of zone-aware routing."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from jaspershelf.decide import Balancer
from jaspershelf.model import Locality

SHOWN = ("sent", "share", "left_for", "ramp")  # of each zone, in the telemetry


class ZoneFigures:
    """A row for each zone; none where zones don't count."""

    def __init__(
        self, balancer: Balancer, rules: Locality | None, names: Mapping[int, str], own: int,
        clock: Callable[[], float],
    ) -> None:
        """`names` of the zones by their place, `own` this proxy's; `clock` is the balancer's."""
        self._balancer = balancer
        self._rules = rules
        self._names = names
        self._own = own
        self._clock = clock

    def rows(self) -> list[dict[str, object]]:
        """What is known of each zone now."""
        if self._rules is None:
            return []
        now, zones = self._clock(), self._balancer.zones
        sent = sum(zone.sent for zone in zones.values())
        return [
            {"zone": self._names.get(place, "?"), "own": place == self._own, "sent": zone.sent,
             "sent_share": round(zone.sent / sent, 4) if sent else 0.0, "share": round(zone.share, 4),
             "left_for": round(max(0.0, zone.left_until - now), 3),
             "ramp": round(zone.ramp(now, self._rules.slow_start), 3), "panic": self._balancer.panic}
            for place, zone in sorted(zones.items())
        ]

    def figures(self) -> list[str]:
        """The rows as lines of the telemetry."""
        return [f"zone.{row['zone']}.{key}={row[key]}" for row in self.rows() for key in SHOWN]
