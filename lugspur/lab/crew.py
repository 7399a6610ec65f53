"""Child processes of a scale run, led by lines of JSON; each is ended by its id, always."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from lugspur.config import Address
from lugspur.lab.dilation import now

ANSWER_MOST = 60.0  # real seconds that a command may take before the run is given up
LINE_MOST = 1 << 26  # bytes of an answer
ROOT = Path(__file__).parents[2]


def processor_time(pid: int) -> float:
    """Seconds of processor time that the kernel has counted for a process, all its threads: its own clock
    (`clock_getcpuclockid`), so no ticks. OSError once it has ended.
    """
    return time.clock_gettime((~pid << 3) | 2)


def resident(pid: int) -> int:
    """Bytes of anonymous memory that a process holds: not its program's text, which all share."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def drops() -> dict[Address, int]:
    """Datagrams that the kernel dropped for want of room, by the local address of each UDP socket."""
    found: dict[Address, int] = {}
    for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
        row = line.split()
        host, _, port = row[1].partition(":")
        number = bytes.fromhex(host)[::-1]
        found[".".join(map(str, number)), int(port, 16)] = int(row[12])
    return found


class Child:
    """One process (`python -m lugspur.lab.rack`): what it is, told as its first line, and its commands."""

    def __init__(self, name: str, spec: dict[str, Any]) -> None:
        self.name, self.spec = name, spec
        self.slow = float(spec["slow"])
        self.paused = False
        self.paused_at: list[list[float]] = []  # from, to: it is no fault that its loop was late then
        self._process: asyncio.subprocess.Process | None = None
        self._asked: dict[int, asyncio.Future[Any]] = {}
        self._numbers = itertools.count(1)
        self._reading: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether its process runs, paused or not."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Its process's."""
        assert self._process is not None
        return self._process.pid

    async def open(self) -> None:
        """Start the process; it does nothing yet."""
        kept = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur.lab.rack", cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, env=kept, limit=LINE_MOST,
        )
        assert self._process.stdin is not None
        self._process.stdin.write(orjson.dumps(self.spec, option=orjson.OPT_NON_STR_KEYS) + b"\n")
        self._reading = asyncio.get_running_loop().create_task(self._read(self._process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            answer = orjson.loads(line)
            asked = self._asked.pop(answer["n"], None)
            if asked is not None and not asked.done():
                if "fault" in answer:
                    asked.set_exception(RuntimeError(f"{self.name}: {answer['fault']}"))
                else:
                    asked.set_result(answer.get("value"))
        for asked in self._asked.values():
            if not asked.done():
                asked.set_exception(RuntimeError(f"{self.name} has ended"))
        self._asked.clear()

    async def ask(self, name: str, patience: float = 0.0, **arguments: Any) -> Any:
        """A command's value, which may take so many of the loop's seconds besides what any may. RuntimeError
        for one that failed, or a process that ended; TimeoutError.
        """
        assert self._process is not None and self._process.stdin is not None
        if not self.running:
            raise RuntimeError(f"{self.name} has ended")
        number = next(self._numbers)
        asked = self._asked[number] = asyncio.get_running_loop().create_future()
        self._process.stdin.write(orjson.dumps([number, name, arguments]) + b"\n")
        return await asyncio.wait_for(asked, patience + ANSWER_MOST / self.slow)

    async def kill(self) -> None:
        """SIGKILL, and wait for its end; it can be opened again."""
        process = self._process
        if process is not None:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()  # ends a paused process too
            await process.wait()
            if self._reading is not None:
                await self._reading
        if self.paused:
            self.resume()

    def pause(self) -> None:
        """SIGSTOP: it says nothing more, but its sockets stay open."""
        os.kill(self.pid, signal.SIGSTOP)
        self.paused = True
        self.paused_at.append([now(), float("inf")])

    def resume(self) -> None:
        """SIGCONT."""
        if self.running:
            os.kill(self.pid, signal.SIGCONT)
        self.paused = False
        self.paused_at[-1][1] = now()

    def stood(self, at: float, late: float) -> bool:
        """Whether it was paused at some time of a look that was due then and so late."""
        return any(begun <= at + late and at <= ended for begun, ended in self.paused_at)
