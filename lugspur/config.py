"""What the platform tells a proxy, as typed values."""

from __future__ import annotations

import dataclasses
import math
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import orjson

from jaspershelf.adapter import read_settings
from jaspershelf.model import Locality, Settings, Sharing

Address = tuple[str, int]
T = TypeVar("T")

SCOPE_LENGTH = 64  # characters of a scope's name at the most: it is in every datagram
SCOPES_MOST = 8  # of one process: service, zone, region and as many while it moves; each one costs its bytes


class ConfigError(Exception):
    """The environment or the configuration file makes no sense."""


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """Where this process meets the other proxies; `period` in seconds, three probes a period.

    `scopes` are the groups that it belongs to, the home first, with the seeds of each; empty: one flat group.
    """

    cluster: str  # members of another one are strangers
    bind: Address
    advertise: Address  # the address that others are to use
    seeds: tuple[Address, ...]
    period: float
    scopes: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Config:
    """One proxy's configuration."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None  # where operators call; None: nowhere
    listen_fd: int | None  # the descriptor of a socket that listens already, held by the platform
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    types: dict[str, int]
    conn_idle: float
    dial_timeout: float
    membership: MembershipConfig | None = None  # None: no socket for it, no peers
    subsetting: bool = False  # slices follow the members that live
    muted: bool = False  # no log
    affinity: str | None = None  # the header that holds a request's key; None: no affinity
    state_dir: Path | None = None  # None: nothing is kept but the orders, in $TMPDIR
    memory: int | None = None  # bytes that the process may have; None: no limit is stated


def read_address(text: str) -> Address:
    """`host:port` as a pair."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def _read_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"RELAY_LISTEN_FD: {text!r} is not a descriptor")
    return int(text)


def _read_membership(
    environ: Mapping[str, str], raw: dict[str, Any], listen: Address
) -> MembershipConfig | None:
    """The settings of membership; None where no peers are named, for the flat group or for a scope.

    Without a `gossip_addr` it is `listen`'s: UDP and TCP ports are apart, so the same number serves both.
    """
    seeds = _read_seeds(setting(environ, raw, "peers"))
    scopes = _read_scopes(setting(environ, raw, "scopes"), seeds)
    if not seeds and not any(scopes.values()):
        return None
    bind = setting(environ, raw, "gossip_addr")
    advertise = setting(environ, raw, "gossip_advertise")
    period = float(setting(environ, raw, "gossip_period") or 1.0)
    if not 0.01 <= period <= 60.0:
        raise ConfigError(f"gossip_period: {period} is not between 0.01 and 60 seconds")
    bound = read_address(bind) if bind else listen
    return MembershipConfig(
        cluster=str(setting(environ, raw, "cluster") or "sloewheel"), bind=bound,
        advertise=read_address(advertise) if advertise else bound,
        seeds=seeds, period=period, scopes=scopes,
    )


def _read_seeds(value: Any) -> tuple[Address, ...]:
    """Addresses, as a list or a text with commas between."""
    if not value:
        return ()
    rows = value.split(",") if isinstance(value, str) else value
    return tuple(read_address(row.strip()) for row in rows)


def is_scope(value: Any) -> bool:
    """Whether this is a scope's name: short, printable and without spaces or commas."""
    return (isinstance(value, str) and 0 < len(value) <= SCOPE_LENGTH and value.isprintable()
            and not set(value) & set(" ,"))


def _read_scopes(value: Any, seeds: tuple[Address, ...]) -> dict[str, tuple[Address, ...]]:
    """The scopes with their seeds: names (a list, or a text with commas between), all with these seeds; or an
    object (in the environment as JSON) with the seeds of each, these where a scope has none of its own.
    """
    if not value:
        return {}
    if isinstance(value, str):
        value = orjson.loads(value) if value.lstrip().startswith("{") else value.split(",")
    rows = value if isinstance(value, dict) else dict.fromkeys(name.strip() for name in value)
    if unfit := [name for name in rows if not is_scope(name)]:
        raise ConfigError(f"scopes: {unfit[0]!r} is no name of a scope")
    if len(rows) > SCOPES_MOST:
        raise ConfigError(f"scopes: {len(rows)} are more than {SCOPES_MOST}")
    return {name: _read_seeds(own) or seeds for name, own in rows.items()}


def _read_locality(
    environ: Mapping[str, str], raw: Mapping[str, Any], zones: Mapping[str, int]
) -> Locality | None:
    """Zone-aware routing: `locality` is true, or an object of `Locality`'s fields.

    `regions` names each region's zones.
    """
    fields = _read_object(environ, raw, "locality", Locality)
    if fields is None:
        return None
    regions = list((raw.get("regions") or {}).values())
    of_zone = {name: place for place, names in enumerate(regions) for name in names}
    if unknown := of_zone.keys() - zones.keys():
        raise ConfigError(f"regions: {', '.join(sorted(unknown))} is no zone of the settings")
    return Locality(**{"regions": tuple(of_zone.get(name, 0) for name in zones)} | fields)


def _read_sharing(
    environ: Mapping[str, str], raw: Mapping[str, Any], settings: Settings
) -> Sharing | None:
    """Shared state: `sharing` is true, or an object of `Sharing`'s fields, `limits` by a class's name or
    `tenant:NAME`.
    """
    fields = _read_object(environ, raw, "sharing", Sharing)
    if fields is None:
        return None
    limits = dict(fields.pop("limits", {}))
    names = [row.name for row in settings.classes] + [f"tenant:{row.name}" for row in settings.tenants]
    if unknown := limits.keys() - set(names):
        raise ConfigError(f"sharing: {', '.join(sorted(unknown))} is no class or tenant of the settings")
    return Sharing(limits=tuple(float(limits.get(name, 0.0)) for name in names), **fields)


def _read_object(
    environ: Mapping[str, str], raw: Mapping[str, Any], key: str, kind: type[Locality] | type[Sharing]
) -> dict[str, Any] | None:
    """A part that is `true` (`on`), or an object of its settings; None where it is off."""
    value = setting(environ, raw, key)
    if isinstance(value, str):
        value = True if value in ("on", "1", "true") else orjson.loads(value)
    if not value:
        return None
    fields = {} if value is True else dict(value)
    if unknown := fields.keys() - {field.name for field in dataclasses.fields(kind)}:
        raise ConfigError(f"{key}: {', '.join(sorted(unknown))} is no setting of it")
    return fields


def setting(environ: Mapping[str, str], raw: Mapping[str, Any], key: str) -> Any:
    """A setting by the file's key, or None; the environment's `RELAY_` and the key in capitals wins."""
    return environ.get(f"RELAY_{key.upper()}") or raw.get(key)


KEYS = (
    "name", "listen", "discovery", "admin_addr", "state_dir", "affinity_header", "zone", "regions",
    "locality", "sharing", "peers", "scopes", "gossip_addr", "gossip_advertise", "gossip_period", "cluster",
    "subsetting", "log", "seed", "limits",
)
FILE_ONLY = frozenset({"regions", "seed", "limits"})


def sources(environ: Mapping[str, str]) -> list[tuple[str, str, str]]:
    """Each setting that holds as its key, its value and where it is from; call it once `load` has passed."""
    raw: dict[str, Any] = orjson.loads(Path(environ["RELAY_CONFIG"]).read_bytes())
    found = []
    for key in KEYS:
        variable = f"RELAY_{key.upper()}"
        if key not in FILE_ONLY and environ.get(variable):
            found.append((key, environ[variable], variable))
        elif raw.get(key) is not None:
            found.append((key, orjson.dumps(raw[key]).decode(), "file"))
        else:
            found.append((key, "", "absent: off, or as the platform's settings say"))
    return found


def _descriptors(stated: int) -> int:
    """How many descriptors there are: what is stated, or the system's own limit where that is lower."""
    if stated < 1:
        raise ConfigError(f"limits: {stated} sockets is no limit to work with")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return stated if soft == resource.RLIM_INFINITY else min(stated, soft)


def _memory(stated: Any) -> int | None:
    """The limit on memory in bytes, of one in MB; None where none is stated."""
    if stated is None:
        return None
    if not 0.0 < float(stated) < math.inf:
        raise ConfigError(f"limits: {stated} MB of memory is no limit to work with")
    return int(float(stated) * 1e6)


def _seconds(bounds: Mapping[str, Any], key: str, default: float) -> float:
    """A time of the settings' bounds, in seconds; nothing works without one above 0."""
    value = float(bounds.get(key, default))
    if not 0.0 < value < math.inf:
        raise ConfigError(f"Bounds.{key}: {value} is no time above 0")
    return value


def _indices(names: list[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


def _read(environ: Mapping[str, str], raw: dict[str, Any]) -> Config:
    wire = raw["settings"]
    bounds = wire.get("Bounds") or {}
    rows = wire["Services"]
    names = [row["Name"] for row in rows if row["Aim"] is not None and row["HardLimit"] is not None]
    if not names or len(set(names)) < len(rows):
        raise ConfigError("Services: no class, one without its times, or two of one name")
    settings = read_settings(wire)
    zones = _indices(wire.get("Zones") or [])
    own = setting(environ, raw, "zone")
    if own is not None and own not in zones:
        raise ConfigError(f"zone: {own!r} is no zone of the settings")
    settings = dataclasses.replace(
        settings, zone=settings.zone if own is None else zones[own],
        locality=_read_locality(environ, raw, zones),
        sharing=_read_sharing(environ, raw, settings),
    )
    settings.check()
    admin = setting(environ, raw, "admin_addr")
    state_dir = setting(environ, raw, "state_dir")
    listen = read_address(environ.get("RELAY_LISTEN") or raw["listen"])
    return Config(
        name=environ.get("RELAY_NAME") or raw["name"],
        listen=listen,
        discovery=read_address(environ.get("RELAY_DISCOVERY") or raw["discovery"]),
        admin=read_address(admin) if admin else None,
        listen_fd=_read_descriptor(environ.get("RELAY_LISTEN_FD")),
        seed=int(raw["seed"], 16),
        sockets=_descriptors(int(raw["limits"]["sockets"])),
        known=raw.get("known") or {"index": 0, "endpoints": []},
        settings=settings,
        classes=_indices([row.name for row in settings.classes]),
        tenants=_indices([row.name for row in settings.tenants]),
        zones=zones,
        types=_indices(wire.get("HostTypes") or []),
        conn_idle=_seconds(bounds, "ConnIdle", 15.0),
        dial_timeout=_seconds(bounds, "DialTimeout", 0.25),
        membership=_read_membership(environ, raw, listen),
        subsetting=setting(environ, raw, "subsetting") in (True, "on", "1", "true"),
        muted=setting(environ, raw, "log") == "off",
        affinity=setting(environ, raw, "affinity_header"),
        state_dir=Path(state_dir) if state_dir else None,
        memory=_memory(raw["limits"].get("memory_mb")),
    )


def load(environ: Mapping[str, str]) -> Config:
    """The configuration that the environment names; every fault is a ConfigError of one line."""
    return _parse(environ, lambda raw: _read(environ, raw))


def load_discovery(environ: Mapping[str, str]) -> Address:
    """Where the file says that discovery is now: after a reload the environment is out of date."""
    return _parse(environ, lambda raw: read_address(raw["discovery"]))


def _parse(environ: Mapping[str, str], read: Callable[[dict[str, Any]], T]) -> T:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            return read(orjson.loads(file.read()))
    except KeyError as fault:
        raise ConfigError(f"{path}: {fault} is missing") from fault
    except (OSError, ValueError, TypeError, AttributeError) as fault:
        raise ConfigError(f"{path}: {fault}".replace("\n", " ")) from fault
