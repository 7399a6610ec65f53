"""The calls that can fail: stand-ins for those of sockets, epoll, poll, files, threads and standard error."""

from __future__ import annotations

import _socket
import builtins
import fcntl
import io
import os
import select
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from faults.plan import Fault, Place, Plan

SOCKET_CALLS = ("accept", "connect", "send", "sendmsg", "recv", "recv_into", "setsockopt")
FILE_CALLS = ("open", "fsync", "rename", "replace", "listdir", "unlink", "mkdir", "flock", "read", "write")
CALLS = (*SOCKET_CALLS, *FILE_CALLS, "socket", "so_error", "epoll_register", "epoll_modify", "poll", "stderr",
         "thread")

_write_raw, _open_raw, _sleep = os.write, os.open, time.sleep


class Injector:
    """Puts the stand-ins in place, and takes them out again."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._saved: list[tuple[Any, str, bool, Any]] = []
        self._dialled: dict[int, int] = {}  # descriptor: the port it is being connected to
        self._journal = -1
        if plan.journal:
            self._journal = _open_raw(plan.journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def put(self, owner: Any, name: str, stand_in: Any) -> None:
        """Replace one attribute."""
        own = name in vars(owner)
        self._saved.append((owner, name, own, getattr(owner, name)))
        setattr(owner, name, stand_in)

    def remove(self) -> None:
        """Put all back as it was."""
        for owner, name, own, value in reversed(self._saved):
            if own:
                setattr(owner, name, value)
            else:
                delattr(owner, name)
        self._saved.clear()

    def strike(self, call: str, place: Place) -> Fault | None:
        """Wait or raise as the plan has it; the fault where the call is to be cut short."""
        fault = self.plan.draw(call, place)
        if fault is None:
            return None
        if self._journal >= 0:
            _write_raw(self._journal, f"{fault}\n".encode())
        if fault.delay:
            _sleep(fault.delay)
        if fault.error:
            raise fault.exception()
        return fault if fault.limit else None

    def place(self, descriptor: int) -> Place:
        """Where the connection with this descriptor goes."""
        if descriptor < 0:
            return Place()
        try:
            sock = _socket.socket(fileno=descriptor)
        except OSError:
            return Place()
        try:
            local = port(sock.getsockname)
            peer = port(sock.getpeername) or self._dialled.get(descriptor, 0)
            return Place(peer, local)
        finally:
            sock.detach()

    # ---- sockets ------------------------------------------------------------------------------

    def install_sockets(self) -> None:
        """Stand in for the methods of sockets."""
        for name in SOCKET_CALLS:
            self.put(socket.socket, name, self._socket_call(name, getattr(socket.socket, name)))
        self.put(socket.socket, "__init__", self._socket_init(socket.socket.__init__))
        self.put(socket.socket, "getsockopt", self._getsockopt(socket.socket.getsockopt))

    def _socket_call(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def stand_in(sock: socket.socket, *args: Any) -> Any:
            if not self.plan.active:
                return call(sock, *args)
            if name == "connect" and isinstance(args[0], tuple):
                self._dialled[sock.fileno()] = int(args[0][1])
            fault = self.strike(name, self.place(sock.fileno())) if self.plan.interested(name) else None
            return call(sock, *(shorten(name, args, fault.limit) if fault is not None else args))

        return stand_in

    def _socket_init(self, init: Callable[..., None]) -> Callable[..., None]:
        def stand_in(sock: socket.socket, *args: Any, **named: Any) -> None:
            if named.get("fileno") is None and len(args) < 4:
                self.strike("socket", Place())
            init(sock, *args, **named)
            self._dialled.pop(sock.fileno(), None)

        return stand_in

    def _getsockopt(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def stand_in(sock: socket.socket, *args: Any) -> Any:
            value = call(sock, *args)
            if args[:2] != (socket.SOL_SOCKET, socket.SO_ERROR) or not self.plan.interested("so_error"):
                return value
            fault = self.plan.draw("so_error", self.place(sock.fileno()))
            return value if fault is None else fault.error

        return stand_in

    # ---- waiting ------------------------------------------------------------------------------

    def install_polls(self) -> None:
        """Stand in for epoll, of loops that are made from here on, and for poll."""
        injector = self
        real_epoll, real_poll = select.epoll, select.poll

        class Epoll:
            """An epoll whose changes may fail."""

            def __init__(self) -> None:
                self._epoll = real_epoll()

            def register(self, descriptor: int, events: int) -> None:
                injector.strike("epoll_register", injector.place(descriptor))
                self._epoll.register(descriptor, events)

            def modify(self, descriptor: int, events: int) -> None:
                injector.strike("epoll_modify", injector.place(descriptor))
                self._epoll.modify(descriptor, events)

            def __getattr__(self, name: str) -> Any:
                return getattr(self._epoll, name)

        class Poll:
            """A poll that may fail."""

            def __init__(self) -> None:
                self._poll = real_poll()
                self._descriptor = -1

            def register(self, file: Any, events: int) -> None:
                self._descriptor = file if isinstance(file, int) else file.fileno()
                self._poll.register(file, events)

            def unregister(self, file: Any) -> None:
                self._poll.unregister(file)

            def poll(self, timeout: float | None = None) -> Any:
                injector.strike("poll", injector.place(self._descriptor))
                return self._poll.poll(timeout)

        self.put(selectors.EpollSelector, "_selector_cls", Epoll)
        self.put(select, "poll", Poll)

    # ---- files --------------------------------------------------------------------------------

    def install_files(self) -> None:
        """Stand in for the calls on files, and for what `open` returns."""
        for name in ("rename", "replace", "listdir", "unlink", "mkdir"):
            self.put(os, name, self._path_call(name, getattr(os, name)))
        self.put(os, "open", self._path_call("open", os.open))
        self.put(os, "fsync", self._descriptor_call("fsync", os.fsync))
        self.put(fcntl, "flock", self._descriptor_call("flock", fcntl.flock))
        opener = self._opener(builtins.open)
        self.put(builtins, "open", opener)
        self.put(io, "open", opener)

    def _path_call(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def stand_in(*args: Any, **named: Any) -> Any:
            if self.plan.interested(name):
                self.strike(name, Place(path=" ".join(str(arg) for arg in args[:2])))
            return call(*args, **named)

        return stand_in

    def _descriptor_call(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def stand_in(file: Any, *args: Any) -> Any:
            if self.plan.interested(name):
                descriptor = file if isinstance(file, int) else file.fileno()
                self.strike(name, Place(path=os.readlink(f"/proc/self/fd/{descriptor}")))
            return call(file, *args)

        return stand_in

    def _opener(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def stand_in(file: Any, mode: str = "r", buffering: int = -1, *args: Any, **named: Any) -> Any:
            if not isinstance(file, (str, os.PathLike)) or not self.plan.interested("open", "read", "write"):
                return call(file, mode, buffering, *args, **named)
            place = Place(path=str(file))
            if not any(fault.path in place.path for fault in self.plan.faults):
                return call(file, mode, buffering, *args, **named)
            self.strike("open", place)
            if "b" not in mode:
                return call(file, mode, buffering, *args, **named)
            raw = File(self, place, os.fspath(file), mode.replace("b", ""))
            if buffering == 0:
                return raw
            return io.BufferedReader(raw) if mode == "rb" else io.BufferedWriter(raw)

        return stand_in

    # ---- the rest -----------------------------------------------------------------------------

    def install_rest(self) -> None:
        """Stand in for the start of threads and for standard error."""
        start = threading.Thread.start

        def stand_in(thread: threading.Thread) -> None:
            if self.plan.draw("thread", Place()) is not None:
                raise RuntimeError("can't start new thread")
            start(thread)

        self.put(threading.Thread, "start", stand_in)
        write = os.write

        def write_stderr(descriptor: int, data: Any) -> int:
            if descriptor == standard_error() and self.plan.interested("stderr"):
                self.strike("stderr", Place())
            return write(descriptor, data)

        self.put(os, "write", write_stderr)


class File(io.FileIO):
    """A file whose reads and writes may fail or be short."""

    def __init__(self, injector: Injector, place: Place, path: str, mode: str) -> None:
        super().__init__(path, mode)
        self._injector, self._place = injector, place

    def readinto(self, buffer: Any) -> int | None:
        fault = self._injector.strike("read", self._place)
        return super().readinto(memoryview(buffer)[:fault.limit] if fault is not None else buffer)

    def readall(self) -> bytes:
        parts = []
        while part := self.read(1 << 16):
            parts.append(part)
        return b"".join(parts)

    def read(self, size: int | None = -1, /) -> Any:
        fault = self._injector.strike("read", self._place)
        return super().read(fault.limit if fault is not None else size)

    def write(self, data: Any) -> Any:
        fault = self._injector.strike("write", self._place)
        return super().write(memoryview(data)[:fault.limit] if fault is not None else data)


def standard_error() -> int:
    """Its descriptor, also where the test's runner has put another in its place."""
    return sys.stderr.fileno()


def port(name: Callable[[], Any]) -> int:
    """The port of an end; 0 where there is none."""
    try:
        address = name()
    except OSError:
        return 0
    return int(address[1]) if isinstance(address, tuple) else 0


def shorten(name: str, args: tuple[Any, ...], limit: int) -> tuple[Any, ...]:
    """The arguments of a call that takes so many bytes at most."""
    if name == "recv":
        return (limit, *args[1:])
    if name in ("recv_into", "send"):
        return (memoryview(args[0])[:limit], *args[1:])
    if name == "sendmsg":
        return ([memoryview(b"".join(args[0]))[:limit]], *args[1:])
    return args


def install(plan: Plan) -> Injector:
    """Have the calls of this process fail by the plan."""
    injector = Injector(plan)
    injector.install_sockets()
    injector.install_polls()
    injector.install_files()
    injector.install_rest()
    return injector


@contextmanager
def injected(plan: Plan) -> Iterator[Plan]:
    """Have the calls of this process fail by the plan, within the block."""
    injector = install(plan)
    try:
        yield plan
    finally:
        injector.remove()
