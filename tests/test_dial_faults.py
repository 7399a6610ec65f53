"""Dials that fail for a fault of this machine: nothing is learned of the servers."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Any

import pytest
from loopback import OK, backend, entry, read, running, status

OWN = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
THEIRS = [errno.EADDRNOTAVAIL, errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT]


@pytest.mark.parametrize(("number", "own"), [(n, n in OWN) for n in (*OWN, *THEIRS)])
def test_a_fault_of_this_machine_is_none_of_the_servers(number: int, own: bool) -> None:
    """Many requests fail by it; the servers' windows hold failures only where it was theirs."""
    async def fails(*_: Any, **__: Any) -> Any:
        raise OSError(number, os.strerror(number))

    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            async with running([entry("a", one.address), entry("b", two.address)]) as up:
                client = await up.client()
                loop = asyncio.get_running_loop()
                dial = loop.create_connection
                loop.create_connection = fails  # type: ignore[method-assign]
                for count in range(20):
                    assert status(await client.ask(read(count))) == 503
                loop.create_connection = dial  # type: ignore[method-assign]
                servers = up.proxy._balancer.servers.values()
                failed = sum(s.breaker.counts(up.proxy._now())[2] for s in servers if s.breaker is not None)
                assert (failed == 0) is own

    asyncio.run(play())
