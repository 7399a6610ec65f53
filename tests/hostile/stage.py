"""A real process with hostile peers around it: its peak memory, its end, and how long health probes take."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loopback import entry, free_port

ROOT = Path(__file__).parents[2]
PROGRAM = ("-m", "lugspur")
READY_MOST = 20.0  # seconds
PROBE_EVERY = 0.1  # seconds
PROBE_MOST = 10.0  # seconds after which a probe is given up
END_MOST = 15.0  # seconds from SIGTERM to the end of the process
DEADLINE = 3.0  # seconds of each class
SERVERS = 4
TIMES = {"Aim": DEADLINE, "HardLimit": DEADLINE, "LateWorth": 0.5}
SERVICES = (
    {"Name": "read", "Repeat": "retryable", **TIMES}, {"Name": "book", "Repeat": "fragile", **TIMES},
)
#: Classes whose time by which an answer is worth most is far shorter than the time that callers wait.
SHORT_AIMS = (
    {"Name": "read", "Repeat": "retryable", "Aim": 0.75, "HardLimit": 2.5, "LateWorth": 0.0},
    {"Name": "book", "Repeat": "fragile", "Aim": 0.68, "HardLimit": 3.0, "LateWorth": 0.0},
    {"Name": "once", "Repeat": "dedup", "Group": "all", "Window": 4.0, "Aim": 1.0, "HardLimit": 3.0,
     "LateWorth": 0.0},
)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Measured:
    """What one play has shown."""

    peak_mb: float = 0.0  # resident
    rest_mb: float = 0.0  # before the peers began
    status: int | None = None  # at its end; None: it had to be killed
    longest_probe: float = 0.0  # seconds
    telemetry: dict[str, str] = field(default_factory=dict)  # the last that was read
    errors: bytes = b""


class Prober(threading.Thread):
    """Asks for /healthz all the time, on a new connection each, and keeps the longest wait."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self._port = port
        self._stopped = threading.Event()
        self.longest = 0.0

    def run(self) -> None:
        """Go on until stopped."""
        while not self._stopped.wait(PROBE_EVERY):
            begun = time.monotonic()
            with suppress(OSError):
                self._probe()
            self.longest = max(self.longest, time.monotonic() - begun)

    def _probe(self) -> None:
        with socket.create_connection(("127.0.0.1", self._port), PROBE_MOST) as sock:
            sock.settimeout(PROBE_MOST)
            sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
            while sock.recv(4096):
                pass

    def stop(self) -> None:
        """Stop, and forget what is under way."""
        self._stopped.set()


class Stage:
    """One process and the addresses around it."""

    def __init__(self, folder: Path, process: asyncio.subprocess.Process, port: int, admin: int) -> None:
        self.folder = folder
        self.process = process
        self.port = port
        self.admin = admin
        self.rng = random.Random(1)
        self.measured = Measured()

    def memory_mb(self, row: str) -> float:
        """A figure of the process's status, `VmRSS` or `VmHWM`; 0 where it has ended."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(f"{row}:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    async def telemetry(self) -> dict[str, str]:
        """The figures that the operators' address shows."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: stage\r\n\r\n")
        answer = (await reader.read()).decode()
        writer.transport.abort()
        rows = answer.partition("\r\n\r\n")[2].splitlines()
        return dict(row.split("=", 1) for row in rows if "=" in row)

    async def connect(self, port: int | None = None) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A caller's connection; OSError where there is none."""
        return await asyncio.open_connection("127.0.0.1", port or self.port)

    async def measure(self, seconds: float, attacks: Sequence[Awaitable[None]]) -> None:
        """Let the peers go on for so long, or until the process ends; then end it."""
        prober = Prober(self.port)
        prober.start()
        tasks = [asyncio.ensure_future(attack) for attack in attacks]
        ended = asyncio.ensure_future(self.process.wait())
        await asyncio.wait([ended], timeout=seconds)
        self.measured.peak_mb = self.memory_mb("VmHWM")
        with suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(PROBE_MOST):
                self.measured.telemetry = await self.telemetry()
        self.measured.peak_mb = max(self.measured.peak_mb, self.memory_mb("VmHWM"))
        prober.stop()
        self.measured.longest_probe = prober.longest
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        await asyncio.wait([ended], timeout=END_MOST)
        self.measured.status = self.process.returncode
        if self.process.returncode is None:
            self.process.kill()
            await ended


@dataclass(slots=True, frozen=True)
class Setting:
    """What one stage has that others have not."""

    memory_mb: int = 64
    sockets: int = 1024
    data_limit: int | None = None  # bytes: the process's `RLIMIT_DATA`
    services: Sequence[dict[str, Any]] = SERVICES
    receive_buffer: int | None = None  # bytes of a server's; it also holds little more beside that
    callers_buffer: int | None = None  # bytes that a caller's socket receives at the process
    bounds: Mapping[str, Any] = field(default_factory=dict)  # in place of those of every stage


DEFAULT = Setting()


def configuration(
    port: int, admin: int, servers: Sequence[str], registry: int, setting: Setting
) -> str:
    """The text of the process's configuration file."""
    rows = [entry(f"s{number}", address) for number, address in enumerate(servers)]
    return json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "admin_addr": f"127.0.0.1:{admin}",
        "discovery": f"127.0.0.1:{registry}", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": setting.memory_mb, "sockets": setting.sockets},
        "known": {"index": 3, "snapshot": True, "endpoints": rows},
        "settings": {
            "Instances": 1, "RegistryMode": "pushed",
            "Services": list(setting.services),
            "Orgs": [{"Name": "acme", "Share": 1.0}],
            "Bounds": {"Cancel": True, "MaxAttempts": 4, "ConnIdle": 5.0, "DialTimeout": 0.25,
                       "SecondCopies": True, "RetryAfter": True, "MaxRetryAfter": 1.0,
                       **setting.bounds},
            "Rules": {"DrainGrace": 1.5, "ColdFrom": 0.2, "Cold": 0.0, "FallMultiple": 4.0, "TipAfter": 1.5},
            "Tiers": ["one"], "Zones": ["here", "there"], "HostTypes": ["k"],
        },
    })


async def _listen(serve: Serve, receive_buffer: int | None) -> asyncio.Server:
    """A server that behaves like this; its receive buffer is set before it accepts."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    if receive_buffer is None:
        return await asyncio.start_server(_steady(serve), sock=sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    return await asyncio.start_server(_steady(serve), sock=sock, limit=receive_buffer)


def small_send_buffers(folder: Path, size: int) -> dict[str, str]:
    """The environment in which each new socket of a process sends from a buffer of so many bytes."""
    shim = folder / "shim"
    shim.mkdir()
    (shim / "sitecustomize.py").write_text(
        "import socket\n"
        "plain = socket.socket.__init__\n"
        "def limited(self, *given, **named):\n"
        "    plain(self, *given, **named)\n"
        f"    self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, {size})\n"
        "socket.socket.__init__ = limited\n"
    )
    return {"PYTHONPATH": str(shim)}


@asynccontextmanager
async def stage(
    folder: Path, serve: Serve, register: Serve | None, setting: Setting = DEFAULT, **environment: Any,
) -> AsyncIterator[Stage]:
    """A ready process between servers and a registry that behave like this; without one nobody is there."""
    listeners = [await _listen(serve, setting.receive_buffer) for _ in range(SERVERS)]
    registry = 9
    if register is not None:
        listeners.append(await asyncio.start_server(_steady(register), "127.0.0.1", 0))
        registry = int(listeners[-1].sockets[0].getsockname()[1])
    servers = [f"127.0.0.1:{row.sockets[0].getsockname()[1]}" for row in listeners[:SERVERS]]
    port, admin = free_port(), free_port()
    path = folder / "config.json"
    path.write_text(configuration(port, admin, servers, registry, setting))

    def limit() -> None:
        if setting.data_limit is not None:
            resource.setrlimit(resource.RLIMIT_DATA, (setting.data_limit, setting.data_limit))

    shared, inherited = _shared_listener(port, setting.callers_buffer)
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *PROGRAM, cwd=os.environ.get("HOSTILE_ROOT", ROOT), stderr=log, preexec_fn=limit,
            env={**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(folder), **inherited, **environment},
            pass_fds=[row.fileno() for row in shared],
        )
    made = Stage(folder, process, port, admin)
    try:
        await _ready(made)
        made.measured.rest_mb = made.memory_mb("VmRSS")
        yield made
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        made.measured.errors = (folder / "log").read_bytes()
        for listener in listeners:
            listener.close()
        for sock in shared:
            sock.close()


def _shared_listener(port: int, receive_buffer: int | None) -> tuple[list[socket.socket], dict[str, str]]:
    """A listening socket that the process inherits, where its connections are to have such a buffer."""
    if receive_buffer is None:
        return [], {}
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    listener.bind(("127.0.0.1", port))
    listener.listen(1024)
    return [listener], {"RELAY_LISTEN_FD": str(listener.fileno())}


def _steady(serve: Serve) -> Serve:
    """The same, ending quietly with its connection."""
    async def wrapped(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    return wrapped


async def _ready(made: Stage) -> None:
    async with asyncio.timeout(READY_MOST):
        while made.process.returncode is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await made.connect()
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: stage\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.transport.abort()
                if head.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.05)
