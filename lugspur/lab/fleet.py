"""Real proxy processes (`python -m lugspur`) with faults between them; each is ended by its id, always.

    async with Fleet(folder, 5, seed=1) as fleet:
        await fleet.start_all()
        fleet.pause("n1")
        await fleet.until(lambda views: views["n0"]["n1"]["state"] == "dead")

Names are `n0`, `n1`, ... Each process has a loopback address and a folder of its own. With `peers` the
processes are members of one group and each datagram between them passes the fault relay (`fleet.relay`).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import orjson

from lugspur.config import Address
from lugspur.lab.load import call
from lugspur.lab.relay import UdpRelay, free_ports

ROOT = Path(__file__).parents[2]
PATIENCE = 30.0  # seconds that an event may take on a loaded machine before the run is given up
LOOK_EVERY = 0.03
LOOPBACK = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}."  # each test process has hosts of its own

# The list where an experiment needs no backends: a proxy is ready once it has a list that is not empty.
NOBODY = {"name": "s-0", "address": "127.0.0.1:9", "zone": "a", "type": "k", "group": 0,
          "status": "in_service", "weight": 1.0, "since_ms": 0}

View = dict[str, dict[str, Any]]  # a member list: each member's row by its name
Views = dict[str, View]  # the lists of several processes


def wire(instances: int, ordinal: int, zones: Iterable[str], zone: int) -> dict[str, Any]:
    """Settings as the platform gives them: three classes, one tier, nothing that warms up."""
    times = {"Aim": 1.0, "HardLimit": 2.0, "LateWorth": 0.5}
    return {
        "Instances": instances, "Ordinal": ordinal, "Zone": zone,
        "Services": [
            {"Name": "read", "Repeat": "retryable", **times},
            {"Name": "book", "Repeat": "fragile", **times},
            {"Name": "once", "Repeat": "dedup", "Group": "all", **times},
        ],
        "Orgs": [{"Name": "acme", "Share": 1.0}],
        "Bounds": {"Cancel": True, "MaxAttempts": 3, "ConnIdle": 15.0, "DialTimeout": 0.25,
                   "SecondCopies": True, "RetryAfter": True, "MaxRetryAfter": 1.0},
        "Rules": {"DrainGrace": 1.5, "ColdFrom": 0.2, "Cold": 0.0, "FallMultiple": 4.0, "TipAfter": 1.5},
        "Tiers": ["one"], "Zones": list(zones), "HostTypes": ["k"],
    }


class Node:
    """One proxy: its addresses, its folder and, while it runs, its process."""

    def __init__(self, fleet: Fleet, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.host = f"{LOOPBACK}{number + 1}"
        ports = free_ports(self.host, 3)
        self.listen: Address = (self.host, ports[0])
        self.admin: Address = (self.host, ports[1])
        self.gossip: Address = (self.host, ports[2])
        self.folder = fleet.folder / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log = self.folder / "log"
        self.config = self.folder / "config.json"
        self.more: dict[str, Any] = {}  # of its configuration, over what the fleet's has
        self.process: asyncio.subprocess.Process | None = None
        self.prepared: asyncio.subprocess.Process | None = None  # for its next start
        self.paused = False

    @property
    def running(self) -> bool:
        """Whether its process runs, paused or not."""
        return self.process is not None and self.process.returncode is None

    def events(self) -> list[dict[str, Any]]:
        """What it has logged as JSON so far, over all its starts; its trace aside."""
        text = self.log.read_bytes() if self.log.exists() else b""
        *lines, _ = text.split(b"\n")  # the last one may not be whole: a long write comes in pieces
        rows = [orjson.loads(line) for line in lines if line.startswith(b"{")]
        return [row for row in rows if "event" in row]


class Fleet:
    """Proxies under these names, started and faulted one by one or together."""

    def __init__(
        self, folder: Path, count: int, *, seed: int, period: float = 0.2, peers: bool = True,
        zones: Iterable[str] = ("a",), settings: Mapping[str, Any] | None = None,
        known: Mapping[str, Any] | None = None, discovery: Address | None = None,
        more: Mapping[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.period = period
        self.relay = UdpRelay(seed)
        self.nodes = {f"n{number}": Node(self, f"n{number}", number) for number in range(count)}
        self._peers = peers
        self._zones = tuple(zones)
        self._settings = settings or {}
        self.known = known or {"index": 0, "snapshot": True, "endpoints": [NOBODY]}
        self._discovery = discovery or ("127.0.0.1", 9)
        self._more = more or {}
        self._advertised: dict[str, Address] = {}
        self._starts = 0

    async def __aenter__(self) -> Self:
        if self._peers:
            for node in self.nodes.values():
                self._advertised[node.name] = await self.relay.add(node.name, node.gossip)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        started = [process for node in self.nodes.values() for process in (node.process, node.prepared)]
        processes = [process for process in started if process is not None]
        for process in processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()  # SIGKILL ends a paused process too
        for process in processes:
            await process.wait()
        self.relay.close()

    # ---- starting and ending -----------------------------------------------------------------------

    async def start(self, name: str, **environment: str) -> None:
        """Start a proxy, or start it again under its name; it is not yet ready when this returns."""
        node = self.nodes[name]
        assert not node.running, f"{name} runs already"
        self._starts += 1
        node.config.write_bytes(self.configuration(name))
        if node.prepared is not None:
            node.process, node.prepared = node.prepared, None
            assert node.process.stdin is not None
            node.process.stdin.write(b"\n")
        else:
            node.process = await self._spawn(node, "lugspur", environment)
        node.paused = False

    async def prepare(self, name: str) -> None:
        """Have the next start of this proxy ready: its process has loaded the program, and waits."""
        node = self.nodes[name]
        node.prepared = await self._spawn(node, "lugspur.lab.held_start", {})

    async def _spawn(
        self, node: Node, module: str, environment: Mapping[str, str]
    ) -> asyncio.subprocess.Process:
        kept = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        held = module != "lugspur"
        with node.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.PIPE if held else asyncio.subprocess.DEVNULL,
                env=kept | {"RELAY_CONFIG": str(node.config), "TMPDIR": str(node.folder)}
                | dict(environment),
            )

    def configuration(self, name: str) -> bytes:
        """Its configuration file as it is to be now."""
        node, zones = self.nodes[name], self._zones
        settings = {**wire(len(self.nodes), node.number, zones, node.number % len(zones)), **self._settings}
        raw: dict[str, Any] = {
            "name": name, "listen": _text(node.listen), "discovery": _text(self._discovery),
            "seed": f"{self.seed * 1000 + self._starts:x}", "admin_addr": _text(node.admin),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known, "settings": settings,
        }
        if self._peers:
            raw |= {
                "peers": [_text(address) for other, address in self._advertised.items() if other != name],
                "gossip_addr": _text(node.gossip), "gossip_advertise": _text(self._advertised[name]),
                "gossip_period": self.period, "cluster": "lab",
            }
        return orjson.dumps(raw | dict(self._more) | node.more)

    async def start_all(self) -> None:
        """Start every proxy that does not run, and wait until each is ready."""
        names = [name for name, node in self.nodes.items() if not node.running]
        for name in names:
            await self.start(name)
        for name in names:
            await self.ready(name)

    async def ready(self, name: str) -> None:
        """Wait until this proxy says that it is ready."""
        async with asyncio.timeout(PATIENCE):
            while (await self.call(name, "GET", "/api/ready"))[0] != 200:
                assert self.nodes[name].running, f"{name} ended: {self.nodes[name].log.read_text()}"
                await asyncio.sleep(LOOK_EVERY)

    async def kill(self, name: str) -> None:
        """SIGKILL, and wait for its end."""
        await self._end(name, signal.SIGKILL)

    async def terminate(self, name: str) -> None:
        """SIGTERM, and wait for its end."""
        await self._end(name, signal.SIGTERM)

    async def _end(self, name: str, number: int) -> None:
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)
        await asyncio.wait_for(process.wait(), PATIENCE)

    def pause(self, name: str) -> None:
        """SIGSTOP: it says nothing more, but its sockets stay open."""
        self._signal(name, signal.SIGSTOP)
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """SIGCONT."""
        self._signal(name, signal.SIGCONT)
        self.nodes[name].paused = False

    def reload(self, name: str) -> None:
        """SIGHUP: it reads its configuration file again."""
        self._signal(name, signal.SIGHUP)

    def _signal(self, name: str, number: int) -> None:
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)

    # ---- looking -----------------------------------------------------------------------------------

    async def call(self, name: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """An operator's call to this proxy."""
        return await call(self.nodes[name].admin, method, path, body)

    async def figures(self, name: str) -> dict[str, float]:
        """Its telemetry."""
        _, text = await self.call(name, "GET", "/api/telemetry")
        pairs = (line.partition("=") for line in text.decode().splitlines())
        return {key: float(value) for key, _, value in pairs}

    async def view(self, name: str) -> View:
        """Its member list; empty where it does not answer."""
        status, text = await self.call(name, "GET", "/api/members")
        return {row["name"]: row for row in orjson.loads(text)} if status == 200 else {}

    async def views(self, names: Iterable[str] | None = None) -> Views:
        """The member lists of these processes, or of all that run and are not paused."""
        chosen = [name for name, node in self.nodes.items() if node.running and not node.paused]
        chosen = list(names) if names is not None else chosen
        return dict(zip(chosen, await asyncio.gather(*map(self.view, chosen)), strict=True))

    async def until(
        self, holds: Callable[[Views], bool], names: Iterable[str] | None = None, patience: float = PATIENCE
    ) -> Views:
        """Wait until something holds of the member lists; the lists of which it does."""
        chosen = list(names) if names is not None else None
        views: Views = {}
        try:
            async with asyncio.timeout(patience):
                while True:
                    views = await self.views(chosen)
                    if all(views.values()) and holds(views):
                        return views
                    await asyncio.sleep(LOOK_EVERY)
        except TimeoutError:
            raise AssertionError(f"never came to hold; last seen: {views}") from None


def states(view: View) -> dict[str, str]:
    """Each member's state by its name."""
    return {name: str(row["state"]) for name, row in view.items()}


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
