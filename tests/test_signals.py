"""That no signal ends a process, but for those that tell it to end."""

from __future__ import annotations

import asyncio
import signal
import sys
import tomllib
from contextlib import suppress
from pathlib import Path

import pytest
from hostile import servers
from hostile.callers import request
from hostile.stage import ROOT, Stage, stage
from loopback import environment, free_port, read_message, soon, status

from lugspur import signals

ENDING = sorted(signal.valid_signals() - signals.LEFT - signals.OBEYED)
EARLY = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3)  # seconds after the start, at which a process still loads


async def answers(target: Stage) -> bool:
    """Whether the process still serves a request."""
    reader, writer = await target.connect()
    writer.write(request())
    answer = await soon(read_message(reader))
    writer.transport.abort()
    return status(answer) == 200


async def serving_or_ended(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until it takes connections, or is told to end by the signal and has."""
    while process.returncode is None:
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.transport.abort()
            return
        await asyncio.sleep(0.05)


def test_no_signal_ends_a_process_in_service(tmp_path: Path) -> None:
    async def script() -> None:
        async with stage(tmp_path, servers.answer_well, None) as target:
            for number in ENDING:
                target.process.send_signal(number)
            target.process.send_signal(signal.SIGHUP)
            assert await answers(target)
            target.process.send_signal(signal.SIGTERM)
            assert await soon(target.process.wait()) == 0

    asyncio.run(script())


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGINT, signal.SIGTERM])
def test_a_signal_during_the_start_neither_crashes_nor_kills_a_process(
    number: signal.Signals, tmp_path: Path
) -> None:
    """From the program's first line on; what comes before it is the interpreter's."""
    async def one(at: float, folder: Path) -> int | None:
        folder.mkdir()
        env = environment(folder / "config.json", f"127.0.0.1:{free_port()}", "127.0.0.1:9", [])
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", STARTED, cwd=ROOT, env=env, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert process.stdout is not None
        await soon(process.stdout.readline())  # the program's first line has run
        await asyncio.sleep(at)
        process.send_signal(number)
        if number in (signal.SIGHUP, signal.SIGUSR1):
            await asyncio.sleep(1.0)
            assert process.returncode is None
            process.send_signal(signal.SIGTERM)
        return await soon(process.wait())

    async def script() -> list[int | None]:
        return await asyncio.gather(*(one(at, tmp_path / str(at)) for at in (0.0, *EARLY)))

    assert asyncio.run(script()) == [0] * (1 + len(EARLY))


def test_a_signal_while_the_interpreter_starts_does_not_end_what_run_names(tmp_path: Path) -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    trap, _, program = run.partition("; ")
    command = f"{trap}; echo held; {program.replace('.venv/bin/python', sys.executable)}"

    async def one(number: signal.Signals, at: float) -> int | None:
        port = free_port()
        env = environment(tmp_path / f"{number}-{at}", f"127.0.0.1:{port}", "127.0.0.1:9", [])
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert process.stdout is not None
        await soon(process.stdout.readline())
        await asyncio.sleep(at)
        process.send_signal(number)
        await soon(serving_or_ended(process, port))
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        return await soon(process.wait())

    async def script() -> list[int | None]:
        kinds = (signal.SIGHUP, signal.SIGINT, signal.SIGUSR1)
        return await asyncio.gather(*(one(kind, at) for kind in kinds for at in (0.0, 0.01, 0.03, 0.1)))

    assert set(asyncio.run(script())) == {0}


#: As `lugspur/__main__.py`, with a word once signals are held.
STARTED = (
    "import sys; from lugspur.signals import hold; hold(); print('held', flush=True); "
    "from lugspur.process import main; sys.exit(main())"
)


def test_the_program_holds_signals_before_it_loads() -> None:
    text = (ROOT / "lugspur" / "__main__.py").read_text()
    assert text.index("hold()") < text.index("from lugspur.process import main")
