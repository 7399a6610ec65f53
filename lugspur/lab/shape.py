"""A scale run's shape, from one TOML file, and its layout: which member is where and calls whom.

    name = "day"              what = "one line on what it is"
    members = 300             # hollow proxies
    each_process = 100        # of them in one process; a process is a rack, all in one zone
    services = 30             depth = 8        # service s calls s + 1, every depth-th one calls stores
    regions = 4               zones = 16       # zones over all regions, dealt out rack by rack
    stores = 10               # servers outside the fleet for each service that calls no other
    rate = 2.0                # calls a second of each hollow proxy's stand-in for the data path
    period = 1.0              staleness = 3.0  # settings of membership and of the shared facts
    slow = 1.0                # real seconds of each of its own, see `dilation`; 1 where real > 0
    seeds = 3                 control = "flat" # see `hollow.CONTROLS`
    control_machines = 7      # processes of the stand-in discovery; service s asks number s % 7
    real = 0                  real_rate = 0.0  # real proxies in the same group, and the load on each
    spread = 5.0              # seconds over which all start...
    join = 60.0               # ...and within which all are to know all; goes on then, and says so
    settle = 5.0              steady = 10.0    # seconds before the steady figures, and of them

    [[faults]]
    kind = "kill"             at = 0.0         # seconds after the steady figures
    lasts = 8.0               after = 8.0      # seconds until its end, and that its end is watched

Further keys of a fault, by kind: `process` (kill, pause, cut: a rack, by number), `to_process` (cut: what
goes from the one to the other is lost, one way), `loss` (loss: of every datagram of hollow ones, 0 to 1),
`region` (split: by number), `machine` (control: by number), `count` (release: of services, from number
`service` on; verdict: of members that accuse the first store or member that they all use).
Times in seconds. Everything is bounded: `MEMBERS_MOST`, `PROCESSES_MOST`, `SECONDS_MOST`.
"""

from __future__ import annotations

import dataclasses
import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lugspur.config import ConfigError

SHAPES = Path(__file__).with_name("shapes")
KINDS = ("kill", "pause", "cut", "loss", "split", "control", "herd", "release", "change", "verdict")
MEMBERS_MOST = 5_000
PROCESSES_MOST = 200  # of hollow proxies, discovery and real ones together
SLOW_MOST = 1_000.0
SECONDS_MOST = 3_600.0  # real ones, of a whole run at the most


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault and its end; see above."""

    kind: str
    at: float = 0.0
    lasts: float = 5.0
    after: float = 5.0
    process: int = 0
    to_process: int = 1
    loss: float = 0.1
    region: int = 0
    machine: int = 0
    service: int = 0
    count: int = 1

    @property
    def ends(self) -> bool:
        """Whether it lasts; the others are over as they begin."""
        return self.kind not in ("change", "herd", "verdict")


@dataclass(slots=True, frozen=True)
class Shape:
    """What a run is made of; see above."""

    name: str
    what: str = ""
    members: int = 100
    each_process: int = 100
    services: int = 10
    depth: int = 8
    regions: int = 4
    zones: int = 16
    stores: int = 10
    rate: float = 2.0
    period: float = 1.0
    staleness: float = 3.0
    seeds: int = 3
    control: str = "flat"
    control_machines: int = 7
    real: int = 0
    real_rate: float = 0.0
    spread: float = 5.0
    join: float = 60.0
    settle: float = 5.0
    steady: float = 10.0
    slow: float = 1.0
    seed: int = 1
    faults: tuple[Fault, ...] = ()

    @property
    def processes(self) -> int:
        """Processes of hollow proxies."""
        return math.ceil(self.members / self.each_process)

    @property
    def seconds(self) -> float:
        """How long a run takes at the most, without the start of its processes."""
        faults = max((fault.at + fault.lasts + fault.after for fault in self.faults), default=0.0)
        return self.spread + self.join + self.settle + self.steady + faults

    def check(self) -> None:
        """Raise ConfigError where it makes no sense or is out of bounds."""
        whole = ("members", "stores", "each_process", "services", "depth", "regions", "zones", "seeds",
                 "control_machines")
        if low := [name for name in whole if getattr(self, name) < 1]:
            raise ConfigError(f"shape: {', '.join(low)} must be 1 or more")
        if self.members > MEMBERS_MOST or self.slow * self.seconds > SECONDS_MOST:
            raise ConfigError(f"shape: at most {MEMBERS_MOST} members and {SECONDS_MOST:.0f} s")
        if self.processes + self.control_machines + self.real > PROCESSES_MOST or self.processes > 90:
            raise ConfigError(f"shape: at most {PROCESSES_MOST} processes, 90 of them of hollow proxies")
        if not 1.0 <= self.slow <= SLOW_MOST or (self.real and self.slow > 1.0):
            raise ConfigError(f"shape: slow is from 1 to {SLOW_MOST:.0f}, and 1 with real proxies")
        if self.services > self.members:
            raise ConfigError("shape: a service without a member")
        for fault in self.faults:
            if fault.kind not in KINDS:
                raise ConfigError(f"shape: no fault {fault.kind!r}; there are {', '.join(KINDS)}")
            places = [(fault.machine, self.control_machines), (fault.region, self.regions),
                      (fault.service, self.services), (fault.process, self.processes)]
            if fault.kind == "cut":
                places.append((fault.to_process, self.processes))
            if any(not 0 <= place < count for place, count in places) or not 0.0 <= fault.loss <= 1.0:
                raise ConfigError(f"shape: the {fault.kind} at {fault.at} is of nothing that there is")
            if min(fault.at, fault.lasts, fault.after) < 0.0:
                raise ConfigError(f"shape: the {fault.kind} has a time below 0")


def read(path: Path, **changes: Any) -> Shape:
    """The shape in a file, with these changes; ConfigError for what is none. A bare name is one of ours."""
    found = path if path.suffix else SHAPES / f"{path}.toml"
    try:
        raw = tomllib.loads(found.read_text())
        raw = {"name": found.stem} | raw | {key: value for key, value in changes.items() if value is not None}
        raw["faults"] = tuple(_fields(Fault, row) for row in raw.get("faults", ()))
        shape: Shape = _fields(Shape, raw)
        shape.check()
    except (OSError, ValueError, TypeError) as fault:
        raise ConfigError(f"{found}: {fault}") from fault
    return shape


def _fields(kind: Any, raw: Mapping[str, Any]) -> Any:
    """A dataclass from a table: each value of its default's type."""
    types = {field.name: str(field.type) for field in dataclasses.fields(kind)}
    kept: dict[str, Any] = {}
    for key, value in raw.items():
        if key not in types:
            raise ValueError(f"there is no key {key!r}")
        of = types[key]
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if (of == "float" and not number) or (of == "int" and type(value) is not int) or (
                of == "str" and not isinstance(value, str)):
            raise ValueError(f"{key}: {value!r} is no {of}")
        kept[key] = float(value) if of == "float" else value
    return kind(**kept)


@dataclass(slots=True, frozen=True)
class Place:
    """Where one member is."""

    name: str
    number: int
    process: int
    zone: int
    region: int
    service: int


def places(shape: Shape) -> list[Place]:
    """All hollow members; services are dealt out over the racks, so that each is in many zones."""
    found = []
    for number in range(shape.members):
        process = number // shape.each_process
        zone = process % shape.zones
        region = zone * shape.regions // shape.zones
        found.append(Place(f"h{number}", number, process, zone, region, number % shape.services))
    return found


def callee(shape: Shape, service: int) -> int | None:
    """The service that this one calls; None for the last of a chain, which calls stores."""
    last = service % shape.depth == shape.depth - 1 or service == shape.services - 1
    return None if last else service + 1


def listing(shape: Shape, service: int, members: list[Place], host: str) -> list[dict[str, Any]]:
    """Discovery's entries for the callers of this service: its callee's members, or stores."""
    called = callee(shape, service)
    rows = [(f"s{service}-{n}", n % shape.zones) for n in range(shape.stores)] if called is None else [
        (place.name, place.zone) for place in members if place.service == called]
    return [{"name": name, "address": f"{host}:{port}", "zone": f"z{zone}", "type": "k", "group": 0,
             "status": "in_service", "weight": 1.0, "since_ms": 0}
            for port, (name, zone) in enumerate(rows, 10_000)]
