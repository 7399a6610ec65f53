"""What else a wrong answer may look like: no caller is told 200 that no server gave to its request."""

from __future__ import annotations

import asyncio

import pytest
from loopback import CLOSE, OK, backend, book, entry, read, running, status
from test_crossings_upstream import raw

from lugspur.body import HELD_MOST

HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("ask", [read, book])
@pytest.mark.parametrize(("answer", "expected"), [
    (b"HTTP/1.1 204 No Content\r\n\r\n", False),
    (b"HTTP/1.1 206 Partial Content\r\nContent-Length: 4\r\n\r\ndone", False),
    (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", False),
    (b"HTTP/1.1 304 Not Modified\r\n\r\n", False),
    (HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone", False),
    (HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", False),
    (HEAD + b"Content-Length: 9\r\n\r\ndone cut", False),
    (HEAD + b"Content-Length: -4\r\n\r\ndone", False),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\ncut", False),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, True),
    (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK, True),
    (HEAD + b"Content-Length: 0\r\n\r\n", True),
    (OK + OK.replace(b"done", b"evil"), True),  # the second one serves nobody
    (OK + b"more than its length", True),
])
def test_only_a_sound_200_to_a_request_serves_it(answer: bytes, expected: bool, ask: object) -> None:
    async def play() -> None:
        async with backend(lambda request: answer if b"id1\r\n" in request else OK) as one:
            async with running([entry("a", one.address)]) as up:
                client = await up.client()
                first = await client.ask(ask(1))  # type: ignore[operator]
                assert (status(first) == 200) == expected
                assert b"evil" not in first and b"cut" not in first
                again = await up.client()
                second = await again.ask(ask(2))  # type: ignore[operator]
                assert status(second) == 200 and second.endswith(b"done")

    asyncio.run(play())


def test_an_answer_that_is_whole_before_its_request_is_serves_nobody() -> None:
    async def play() -> None:
        async with raw() as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            request = book(1, body=bytes(2 * HELD_MOST))
            client.writer.write(request[:-1000])
            sock = await one.accept()
            await asyncio.get_running_loop().sock_recv(sock, 1 << 20)
            sock.send(OK)
            await asyncio.sleep(0.1)
            client.writer.write(request[-1000:])
            assert status(await client.answer()) != 200

    asyncio.run(play())


def test_an_answer_to_an_attempt_that_was_given_up_serves_nobody() -> None:
    async def play() -> None:
        scripts = iter([None, OK])
        async with backend(lambda _: next(scripts, CLOSE)) as one, running([entry("a", one.address)]) as up:
            client = await up.client()
            assert status(await client.ask(read(1, timeout="0.1"))) in (503, 504)
            one.open[0].write(OK.replace(b"done", b"evil"))
            answer = await client.ask(read(2))
            assert answer.endswith(b"done")

    asyncio.run(play())
