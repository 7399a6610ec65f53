"""The fault injector itself: each fault strikes the call it names, there and then only, alike for a seed."""

from __future__ import annotations

import asyncio
import errno
import os
import select
import selectors
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from faults.calls import injected
from faults.clock import stepped
from faults.plan import ALWAYS, Fault, Place, Plan, decode
from faults.process import under_faults


def test_a_fault_strikes_from_its_first_call_for_its_count() -> None:
    plan = Plan([Fault("recv", errno.EIO, first=2, count=2)])
    assert [plan.draw("recv", Place()) is not None for _ in range(5)] == [False, True, True, False, False]
    assert plan.hits == [2]


def test_draws_are_alike_for_a_seed_and_other_for_another() -> None:
    def drawn(seed: int) -> list[bool]:
        plan = Plan([Fault("recv", errno.EIO, count=ALWAYS, chance=0.5)], seed)
        return [plan.draw("recv", Place()) is not None for _ in range(64)]

    assert drawn(3) == drawn(3) != drawn(4)


def test_a_plan_survives_its_way_to_another_process() -> None:
    plan = Plan([Fault("open", errno.EMFILE, path="c.json", while_path="/x"), Fault("recv", limit=1)], 5)
    again = decode(plan.encode())
    assert again.faults == plan.faults and again.seed == 5


@pytest.mark.parametrize("name", ["send", "recv", "recv_into", "sendmsg"])
def test_calls_of_sockets_fail_or_are_short_at_their_place_alone(name: str) -> None:
    def call(sock: socket.socket) -> object:
        if name == "send":
            return sock.send(b"abc")
        if name == "sendmsg":
            return sock.sendmsg([b"ab", b"c"])
        return sock.recv(9) if name == "recv" else sock.recv_into(bytearray(9))

    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_connection(listener.getsockname()) as one, listener.accept()[0] as two:
            port = int(listener.getsockname()[1])
            plan = Plan([Fault(name, errno.ECONNRESET, peer=port), Fault(name, limit=1, peer=port)])
            with injected(plan):
                two.sendall(b"xyz") if name != "send" else two.sendmsg([b"xyz"])
                with pytest.raises(ConnectionResetError):
                    call(one)
                assert call(one) in (1, b"x")
                one.sendall(b"abc")
                assert plan.hits == [1, 1]


def test_calls_on_files_fail_or_are_short(tmp_path: Path) -> None:
    path = tmp_path / "named"
    faults = [Fault("write", errno.ENOSPC, path="named"), Fault("fsync", errno.EIO, path="named"),
              Fault("rename", errno.EIO, path="named"), Fault("open", errno.EMFILE, path="named", first=4),
              Fault("read", limit=1, path="named", count=ALWAYS)]
    with injected(Plan(faults)) as plan:
        with pytest.raises(OSError, match="No space"):
            path.write_bytes(b"abc")
        with path.open("wb") as file:
            file.write(b"abc")
            with pytest.raises(OSError, match="Input/output"):
                os.fsync(file.fileno())
        with pytest.raises(OSError, match="Input/output"):
            os.rename(path, tmp_path / "other")
        assert path.read_bytes() == b"abc"
        with pytest.raises(OSError, match="Too many"):
            path.read_bytes()
        (tmp_path / "other").write_bytes(b"untouched")
    assert plan.hits[:4] == [1, 1, 1, 1] and plan.hits[4] > 2


def test_epoll_poll_threads_sockets_and_standard_error_fail() -> None:
    faults = [Fault("epoll_register", errno.ENOSPC), Fault("poll", errno.ENOMEM), Fault("thread"),
              Fault("socket", errno.ENFILE), Fault("stderr", errno.EPIPE)]
    with injected(Plan(faults)) as plan:
        with pytest.raises(OSError, match="Too many"):
            socket.socket()
        with socket.socket() as sock, selectors.EpollSelector() as selector:
            with pytest.raises(OSError, match="No space"):
                selector.register(sock, selectors.EVENT_READ)
            selector.register(sock, selectors.EVENT_READ)
            poll = select.poll()
            poll.register(sock.fileno(), select.POLLIN)
            with pytest.raises(OSError, match="memory"):
                poll.poll(0)
        with pytest.raises(RuntimeError):
            threading.Thread(target=lambda: None).start()
        with pytest.raises(BrokenPipeError):
            os.write(sys.stderr.fileno(), b"x")
    assert plan.hits == [1] * 5


def test_all_is_put_back_after_the_block() -> None:
    before = (socket.socket.send, os.fsync, select.poll, open, threading.Thread.start, os.write)
    with injected(Plan([Fault("send", errno.EPIPE)])):
        assert socket.socket.send is not before[0]
    assert (socket.socket.send, os.fsync, select.poll, open, threading.Thread.start, os.write) == before


def test_a_step_of_the_wall_clock_leaves_the_other_one_alone() -> None:
    with stepped() as clock:
        wall, steady = time.time(), time.monotonic()
        clock.step(-3600.0)
        assert time.time() < wall - 3500.0 and time.monotonic() >= steady
    assert time.time() >= wall


def test_a_connection_of_the_loop_is_reset_by_the_plan() -> None:
    async def play() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        plan.faults[:] = [Fault("recv", errno.ETIMEDOUT, peer=server.sockets[0].getsockname()[1])]
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        for transport in list(server._loop._transports.values()):  # type: ignore[attr-defined]
            if transport.get_extra_info("sockname")[1] == server.sockets[0].getsockname()[1]:
                transport.write(b"x")
        with pytest.raises(OSError, match="timed out"):
            await reader.read(1)
        writer.close()
        server.close()

    plan = Plan([Fault("recv")])
    with injected(plan):
        asyncio.run(play())


def test_a_real_process_runs_under_a_plan_while_a_file_is_there(tmp_path: Path) -> None:
    switch, journal = tmp_path / "on", tmp_path / "journal"
    plan = Plan([Fault("listdir", errno.EIO, count=ALWAYS, path="/proc", while_path=str(switch))],
                journal=str(journal))
    program = ("import os, pathlib, sys, time\non = pathlib.Path(sys.argv[1])\nos.listdir('/proc')\n"
               "on.touch()\ntry:\n    os.listdir('/proc')\nexcept OSError:\n    on.unlink()\n"
               "os.listdir('/proc')\nprint(time.time() - os.stat('/proc/self').st_ctime < -3000)")
    done = subprocess.run([sys.executable, "-c", program, str(switch)], capture_output=True, text=True,
                          env=under_faults(os.environ, plan, clock=-3600.0))
    assert (done.returncode, done.stdout) == (0, "True\n"), done.stderr
    assert journal.read_text() == "listdir EIO\n" and not switch.exists()
