"""One seed: a process with clients and servers, signals in series, and SIGKILL as early as may be."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from hostile.callers import Call, crowd
from hostile.stage import small_send_buffers
from loopback import entry

from soak.clients import UPLOAD, Client
from soak.judge import Observed, breaks
from soak.registry import StandInRegistry
from soak.servers import Record, StandInServer, draw_conduct

ROOT = Path(__file__).parents[2]
GRACE_MOST, GRACE_MORE = 3.0, 0.7  # SIGKILL comes the longest deadline and so much after SIGTERM
READY_MOST = 30.0  # seconds
PROGRAM = ("-m", "lugspur")
QUIET = 0.3  # seconds after SIGKILL in which what was on its way still comes
CROWDED_CLIENTS, CROWDED_SOCKETS = 90, 160
LATE_LOOK = 0.02
SEND_BUFFER, RECEIVE_BUFFER = 32 << 10, 8 << 10  # bytes
MEASURE_EVERY = 0.25  # seconds
NEVER = ("invariant.", "memory.reset_owed=")  # figures that are to stay 0
PEERS, PROCESS = ".1", ".2"  # the last part of their addresses
PORT, ADMIN_PORT, SECOND_ADMIN_PORT = 8080, 8081, 8082  # of the process, and of the one that replaces it
UPGRADE_AFTER = 1.0  # seconds
SETTLE = 0.2  # seconds in which connections that were made are accepted
NOBODY = 9  # a port at which nobody listens
PEAK = re.compile(r"VmHWM:\s*(\d+)")
HOSTS = itertools.count(1)


@dataclass(slots=True, frozen=True)
class Attack:
    """A crowd of hostile callers, for a time."""

    at: float  # seconds after the process is ready
    seconds: float
    number: int
    call: Call


@dataclass(slots=True)
class Plan:
    """What a seed draws."""

    deadline: float
    clients: int
    sockets: int
    think: float
    hangs: float  # part of the requests that servers never answer, before SIGTERM...
    hangs_at_end: float  # ...and from then on
    connects_for: float  # seconds after SIGTERM in which new connections come
    before: list[tuple[float, str]] = field(default_factory=list)  # signals, in seconds after the begin
    after: list[tuple[float, str]] = field(default_factory=list)  # the same, after SIGTERM
    serves_for: float = 1.5  # seconds from the begin to SIGTERM
    floods: float = 0.0  # part of the requests that servers answer without end
    attacks: list[Attack] = field(default_factory=list)
    registries: bool = False  # there are a true and a hostile one, to which "HUP ..." moves
    memory_mb: int = 192
    slow: float = 0.0  # part of the requests whose servers are sound and slow
    uploads: float = 0.0  # part of the requests with a large body...
    upload: tuple[int, int] = UPLOAD  # ...of so many bytes
    reads_at: float = 0.0  # bytes a second at which all servers read bodies; 0: each request draws it
    leaves: float = 0.0  # part of the requests whose clients leave early
    slow_readers: float = 0.0  # part of the clients
    aim_part: float = 1.0  # of the deadline, by which an answer is worth most
    small_buffers: bool = False  # of the sockets of the process and its servers
    spoils: float = 0.0  # part of the requests with an answer that stops or trickles...
    repeats: float = 0.0  # ...and with one that comes a second time
    repeats_late: bool = False  # second answers come up to 30 ms after the first ones
    paces: float = 0.0  # part of the requests with an answer of any size at any even pace
    lumps: float = 0.0  # part of the requests that are read or answered in lumps
    upgrades: bool = False  # another process takes the first one's place

    @property
    def grace(self) -> float:
        """Seconds from SIGTERM to SIGKILL."""
        return min(self.deadline, GRACE_MOST) + GRACE_MORE


def draw_plan(seed: int) -> Plan:
    """The plan of a seed; each fourth one is crowded."""
    rng = random.Random(f"soak {seed}")
    crowded = seed % 4 == 3
    plan = Plan(
        deadline=rng.choice([0.6, 1.0, 2.0, 3.0, 4.0]),
        clients=CROWDED_CLIENTS if crowded else rng.randint(4, 16),
        sockets=CROWDED_SOCKETS if crowded else 1024,
        think=rng.choice([0.0, 0.02, 0.2]) if not crowded else rng.choice([0.05, 0.3]),
        hangs=rng.choice([0.0, 0.05]), hangs_at_end=rng.choice([0.0, 0.3, 0.8]),
        connects_for=rng.uniform(0.2, 0.4),
    )
    kinds = ["HUP", "HUP broken", "STOP"]
    plan.before = sorted((rng.uniform(0.3, 1.2), rng.choice(kinds)) for _ in range(rng.randint(0, 3)))
    plan.after = sorted((rng.uniform(0.0, plan.grace - 0.2), rng.choice([*kinds, "TERM", "INT"]))
                        for _ in range(rng.randint(0, 4)))
    slow = random.Random(f"soak slow {seed}")
    plan.slow, plan.uploads = slow.choice([0.0, 0.1, 0.3]), slow.choice([0.0, 0.1])
    plan.leaves, plan.slow_readers = slow.choice([0.0, 0.1, 0.3]), slow.choice([0.0, 0.3])
    plan.small_buffers = slow.random() < 0.5
    plan.aim_part = slow.choice([1.0, 0.4])
    spoilt = random.Random(f"soak spoilt {seed}")
    plan.spoils, plan.repeats = spoilt.choice([0.0, 0.1, 0.3]), spoilt.choice([0.0, 0.2])
    plan.upgrades = seed % 4 == 1
    plan.paces = random.Random(f"soak paced {seed}").choice([0.0, 0.1, 0.3])
    plan.lumps = random.Random(f"soak lumps {seed}").choice([0.0, 0.1, 0.3])
    return plan


@dataclass(slots=True)
class Result:
    """What a seed has shown."""

    seed: int
    requests: int
    after_term: int  # of them, sent after SIGTERM
    killed: bool
    broken: list[str]
    late: float


class Soak:
    """One process and all that is around it."""

    def __init__(self, seed: int, plan: Plan, folder: Path, program: Sequence[str] = PROGRAM) -> None:
        """`program` are the interpreter's arguments."""
        self._plan = plan
        self._program = program
        self._rng = random.Random(f"soak play {seed}")
        self._path = folder / "config.json"
        self._log = folder / "log"
        self.observed = Observed(float("inf"), float("inf"))
        self._record = Record()
        self.observed.runs, self.observed.begun = self._record.runs, self._record.begun
        if not plan.floods and not plan.attacks:  # else memory may end an answer
            self.observed.cut = self._record.cut
        self._folder = folder
        self._hangs = plan.hangs
        self._connects_until = float("inf")
        self._registries: dict[str, StandInRegistry] = {}
        self.port, self.admin = PORT, ADMIN_PORT
        self._listener: socket.socket | None = None  # the clients', where processes inherit it
        self._replaced: list[asyncio.subprocess.Process] = []
        self._environment: dict[str, str] = {}
        # An address of its own: no other process's listener, nor a connection's own port, is in its way.
        self._host = f"127.{os.getpid() % 100 + 20}.{next(HOSTS) % 250}"

    async def connect(
        self, port: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection, to the callers' port by default."""
        return await asyncio.open_connection(self._host + PROCESS, port or self.port)

    async def play(self) -> None:
        """From the start of the process to its end."""
        async with self._servers() as servers:
            self._rows = [entry(f"s{number}", server.address) for number, server in enumerate(servers)]
            await self._open_registries()
            text = self._configuration("true")
            self._path.write_text(text)
            shim = small_send_buffers(self._folder, SEND_BUFFER) if self._plan.small_buffers else {}
            with self._log.open("wb") as log:
                self._environment = {
                    **os.environ, "RELAY_CONFIG": str(self._path), "TMPDIR": str(self._folder), **shim}
                if self._plan.upgrades:
                    self._listener = socket.create_server((self._host + PROCESS, self.port), backlog=1024)
                process = await self._start(log)
            tasks = [asyncio.create_task(task) for task in (self._look_late(), self._measure(process.pid))]
            try:
                await self._says_yes(self.port, "/healthz")
                tasks += [asyncio.create_task(client.run()) for client in self._clients()]
                tasks += [asyncio.create_task(self._attack(attack)) for attack in self._plan.attacks]
                if self._plan.upgrades:
                    process = await self._upgrade(process)
                await self._signals(process)
            finally:
                await self._end(process, tasks)
                for other in self._replaced:
                    await self._end(other, [])
                if self._listener is not None:
                    self._listener.close()
                for registry in self._registries.values():
                    registry.close()

    async def _start(self, log: IO[bytes], admin: int = ADMIN_PORT) -> asyncio.subprocess.Process:
        """A process; with upgrades it inherits the clients' listening socket."""
        inherited: dict[str, str] = {}
        descriptors: tuple[int, ...] = ()
        if self._listener is not None:
            descriptors = (self._listener.fileno(),)
            inherited = {"RELAY_LISTEN_FD": str(descriptors[0]),
                         "RELAY_ADMIN_ADDR": f"{self._host}{PROCESS}:{admin}"}
        return await asyncio.create_subprocess_exec(
            sys.executable, *self._program, cwd=ROOT, stderr=log, pass_fds=descriptors,
            env={**self._environment, **inherited},
        )

    async def _upgrade(self, old: asyncio.subprocess.Process) -> asyncio.subprocess.Process:
        """Start a second process, end the first once that is ready, and kill it as early as may be."""
        await asyncio.sleep(UPGRADE_AFTER)
        with self._log.with_suffix(".second").open("wb") as log:
            new = await self._start(log, SECOND_ADMIN_PORT)
        self._replaced.append(old)
        try:
            await self._says_yes(SECOND_ADMIN_PORT, "/api/ready")
        except BaseException:
            await self._end(new, [])
            raise
        term_at = time.monotonic()
        self.admin = SECOND_ADMIN_PORT
        if old.returncode is not None:
            self.observed.ended_early = old.returncode
        with suppress(ProcessLookupError):
            old.send_signal(signal.SIGTERM)
        for at, kind in self._plan.after:
            await _until(term_at + at)
            await self._signal(old, kind)
        await _until(term_at + self._plan.grace)
        self.observed.before = ((term_at, time.monotonic()),)
        if old.returncode is None:
            old.kill()
        elif old.returncode:
            self.observed.ended_early = old.returncode
        return new

    async def _says_yes(self, port: int, path: str) -> None:
        """Ask for this path at a port of the process until the answer is 200."""
        async with asyncio.timeout(READY_MOST):
            while True:
                with suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await self.connect(port)
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: soak\r\n\r\n".encode())
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.transport.abort()
                    if head.startswith(b"HTTP/1.1 200"):
                        return
                await asyncio.sleep(0.05)

    async def _open_registries(self) -> None:
        if not self._plan.registries:
            return
        for name, rows in (("true", self._rows), ("hostile", None)):
            registry = self._registries[name] = StandInRegistry(rows, self._rng)
            await registry.open(self._host + PEERS)

    async def _attack(self, attack: Attack) -> None:
        await asyncio.sleep(attack.at)
        with suppress(TimeoutError):
            async with asyncio.timeout(attack.seconds):
                await crowd(self, attack.number, attack.call)

    async def _measure(self, process: int) -> None:
        """Note the peak of the process's memory, and what it says of its own invariants."""
        self.observed.memory_mb = self._plan.memory_mb * 1e6 / (1 << 20)
        while True:
            with suppress(OSError):
                if found := PEAK.search(Path(f"/proc/{process}/status").read_text()):
                    self.observed.peak_mb = max(self.observed.peak_mb, int(found[1]) / 1024.0)
            with suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(MEASURE_EVERY):
                    self.observed.violations = await self._violations()
            await asyncio.sleep(MEASURE_EVERY)

    async def _violations(self) -> dict[str, int]:
        reader, writer = await self.connect(self.admin)
        try:
            writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: soak\r\n\r\n")
            rows = (await reader.read()).decode().splitlines()
        finally:
            writer.transport.abort()
        pairs = [row.rpartition(".")[2].split("=") for row in rows if row.startswith(NEVER)]
        found = {name: int(count) for name, count in pairs if name != "violations"}
        return found or dict(self.observed.violations)

    async def _signals(self, process: asyncio.subprocess.Process) -> None:
        begun = time.monotonic()
        for at, kind in self._plan.before:
            await _until(begun + at)
            await self._signal(process, kind)
        await _until(begun + self._plan.serves_for)
        self._hangs = self._plan.hangs_at_end
        if self._listener is not None:  # no other process comes that takes what waits to be accepted
            self._connects_until = time.monotonic()
            await asyncio.sleep(SETTLE)
        self.observed.term_at = time.monotonic()
        self.observed.kill_at = self.observed.term_at + self._plan.grace
        if self._listener is None:
            self._connects_until = self.observed.term_at + self._plan.connects_for
        self.observed.ended_early = process.returncode
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        for at, kind in self._plan.after:
            await _until(self.observed.term_at + at)
            await self._signal(process, kind)
        await _until(self.observed.kill_at)
        self.observed.kill_at = time.monotonic()
        self.observed.exit_status = process.returncode
        if process.returncode is None:
            process.kill()
        await asyncio.sleep(QUIET)

    async def _signal(self, process: asyncio.subprocess.Process, kind: str) -> None:
        with suppress(ProcessLookupError):
            if kind == "STOP":  # held up as long as a proxy may be between its clock and its write
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.15)
                process.send_signal(signal.SIGCONT)
            elif kind.startswith("HUP"):
                text = self._configuration("hostile" if kind == "HUP hostile" else "true")
                self._path.write_text(text[:len(text) // 2] if kind == "HUP broken" else text)
                process.send_signal(signal.SIGHUP)
            else:
                process.send_signal(signal.Signals[f"SIG{kind}"])

    async def _end(
        self, process: asyncio.subprocess.Process, tasks: list[asyncio.Task[None]]
    ) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if process.returncode is None:
            with suppress(ProcessLookupError):
                process.kill()
        await process.wait()

    def _clients(self) -> list[Client]:
        return [
            Client((self._host + PROCESS, self.port), random.Random(self._rng.random()), self._timeout(),
                   self.observed.requests, lambda: time.monotonic() < self._connects_until, self._plan.think,
                   self._plan.uploads, self._plan.upload, self._plan.leaves,
                   self._rng.random() < self._plan.slow_readers)
            for _ in range(self._plan.clients)
        ]

    def _timeout(self) -> float:
        return self._plan.deadline * self._rng.choice([1.0, 1.0, 0.5])

    @asynccontextmanager
    async def _servers(self) -> AsyncIterator[list[StandInServer]]:
        conduct: Callable[[], Any] = lambda: draw_conduct(  # noqa: E731
            self._rng, self._hangs, self._plan.floods, self._plan.slow, self._plan.reads_at,
            self._plan.spoils, self._plan.repeats, self._plan.paces, self._plan.repeats_late,
            self._plan.lumps)
        receive_buffer = RECEIVE_BUFFER if self._plan.small_buffers else None
        servers = [StandInServer(conduct, self._record, receive_buffer) for _ in range(4)]
        for server in servers:
            await server.open(self._host + PEERS)
        try:
            yield servers
        finally:
            for server in servers:
                server.close()

    def _configuration(self, registry: str) -> str:
        """The text of the file, with discovery at this registry."""
        discovery = self._registries[registry].port if registry in self._registries else NOBODY
        host = self._host + PROCESS
        deadline = self._plan.deadline
        times = {"Aim": self._plan.aim_part * deadline, "HardLimit": deadline, "LateWorth": 0.5}
        return json.dumps({
            "name": "n0", "listen": f"{host}:{self.port}", "discovery": f"{self._host}{PEERS}:{discovery}",
            "admin_addr": f"{host}:{self.admin}", "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": self._plan.sockets},
            "known": {"index": 3, "snapshot": True, "endpoints": self._rows},
            "settings": {
                "Instances": 1, "RegistryMode": "pushed",
                "Services": [
                    {"Name": "read", "Repeat": "retryable", **times},
                    {"Name": "book", "Repeat": "fragile", **times},
                    {"Name": "once", "Repeat": "dedup", "Group": "all", "Window": 5.0, **times},
                ],
                "Orgs": [{"Name": "acme", "Share": 1.0}],
                "Bounds": {"Cancel": True, "MaxAttempts": 4, "ConnIdle": 5.0, "DialTimeout": 0.25,
                           "SecondCopies": True, "RetryAfter": True, "MaxRetryAfter": 1.0},
                "Rules": {"DrainGrace": 1.5, "ColdFrom": 0.2, "Cold": 0.0, "FallMultiple": 4.0,
                          "TipAfter": 1.5},
                "Tiers": ["one"], "Zones": ["here", "there"], "HostTypes": ["k"],
            },
        })

    async def _look_late(self) -> None:
        """Note the longest time for which this process was held up."""
        while True:
            due = time.monotonic() + LATE_LOOK
            await asyncio.sleep(LATE_LOOK)
            self.observed.late = max(self.observed.late, time.monotonic() - due)


async def _until(when: float) -> None:
    await asyncio.sleep(max(0.0, when - time.monotonic()))


def play(
    seed: int, change: Callable[[Plan], None] = lambda plan: None, program: Sequence[str] = PROGRAM
) -> Result:
    """Play a seed, and judge it; `change` adjusts its plan."""
    plan = draw_plan(seed)
    change(plan)
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(seed, plan, Path(folder), program)
        asyncio.run(soak.play())
        observed = soak.observed
        late = sum(sent.at > observed.term_at for sent in observed.requests)
        return Result(seed, len(observed.requests), late, observed.exit_status is None, breaks(observed),
                      observed.late)
