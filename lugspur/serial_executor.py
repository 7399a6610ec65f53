"""The thread that waits for files, so that the loop need not."""

from __future__ import annotations

import errno
from collections.abc import Callable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


class SerialExecutor(Executor):
    """Runs calls one after another in one thread, which is started with the first of them.

    Guards operators' orders: `ThreadPoolExecutor.submit` keeps a call whose thread could not be started, and
    runs it with the next one, though its caller was told that it failed.
    """

    def __init__(self) -> None:
        self._pool: ThreadPoolExecutor | None = None

    def submit(self, call: Callable[P, T], /, *args: P.args, **named: P.kwargs) -> Future[T]:
        """Have it called in the thread; OSError where there is none, and then it never is."""
        if self._pool is None:
            pool = ThreadPoolExecutor(max_workers=1)
            try:
                pool.submit(_nothing)
            except RuntimeError as fault:
                raise OSError(errno.EAGAIN, "no thread can be started") from fault
            self._pool = pool
        return self._pool.submit(call, *args, **named)


def _nothing() -> None:
    """The first call of a thread: it is of no matter whether it is ever made."""
