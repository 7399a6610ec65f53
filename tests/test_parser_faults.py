"""That a fault of the proxy itself, while it reads a request, is answered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from hostile.callers import request
from hostile.stage import ROOT
from loopback import WIDE, environment, free_port, soon, status


def test_a_parser_s_fault_is_answered(tmp_path: Path) -> None:
    """A callback of the parser that fails is a fault of the proxy: its caller is told so."""
    program = (
        "-c",
        "import sys, lugspur.caller as m, lugspur.process as p\n"
        "def fail(self, url): raise MemoryError\n"
        "m.Caller.on_url = fail\n"
        "sys.exit(p.main())",
    )

    async def script() -> bytes:
        env = environment(tmp_path / "config.json", address := f"127.0.0.1:{free_port()}", "127.0.0.1:9", [])
        process = await asyncio.create_subprocess_exec(
            sys.executable, *program, cwd=ROOT, env=env, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            async with asyncio.timeout(WIDE):
                while True:
                    try:
                        reader, writer = await asyncio.open_connection(*address.split(":"))
                        break
                    except OSError:
                        await asyncio.sleep(0.02)
            writer.write(request())
            answer = await soon(reader.read())
            writer.transport.abort()
            return answer
        finally:
            process.kill()
            await process.wait()

    assert status(asyncio.run(script())) == 503
