"""What operators see of zone-aware routing."""

from __future__ import annotations

from collections.abc import Mapping

from jaspershelf.decide import Balancer
from jaspershelf.model import Locality

SHOWN = ("sent", "share", "left_for", "ramp")  # of each zone, in the telemetry


def zone_rows(
    balancer: Balancer, rules: Locality | None, names: Mapping[int, str], own: int, now: float
) -> list[dict[str, object]]:
    """A row for each zone; none where zones don't count. `now` is on the balancer's clock."""
    if rules is None:
        return []
    zones = balancer.zones
    sent = sum(zone.sent for zone in zones.values())
    return [
        {"zone": names.get(place, "?"), "own": place == own, "sent": zone.sent,
         "sent_share": round(zone.sent / sent, 4) if sent else 0.0, "share": round(zone.share, 4),
         "left_for": round(max(0.0, zone.left_until - now), 3),
         "ramp": round(zone.ramp(now, rules.slow_start), 3), "panic": balancer.panic}
        for place, zone in sorted(zones.items())
    ]


def zone_lines(rows: list[dict[str, object]]) -> list[str]:
    """The rows as lines of the telemetry."""
    return [f"zone.{row['zone']}.{key}={row[key]}" for row in rows for key in SHOWN]
