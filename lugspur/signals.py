"""Signals: which the process obeys, and that no other one ends it."""

from __future__ import annotations

import signal

OBEYED = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
# What tells of a fault of the process itself, or can't be caught, keeps its effect; SIGCHLD and SIGCONT have
# none.
LEFT = frozenset({
    signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT, signal.SIGCHLD, signal.SIGSEGV, signal.SIGBUS,
    signal.SIGFPE, signal.SIGILL, signal.SIGABRT, signal.SIGTRAP, signal.SIGSYS,
})


def hold() -> None:
    """Ignore what is not obeyed, and hold back what is, until `release`: call it first of all."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OBEYED)
    for number in OBEYED:
        signal.signal(number, _nothing)  # one that is ignored, as `run` has them, would not be held back
    ignore_others()


def _nothing(number: int, frame: object) -> None:
    """The loop's own handlers take its place before anything is released."""


def ignore_others() -> None:
    """Ignore each signal that would end or stop the process and that nobody has a use for."""
    for number in signal.valid_signals() - OBEYED - LEFT:
        if signal.getsignal(number) is signal.SIG_DFL:  # else a library in the process handles it
            signal.signal(number, signal.SIG_IGN)


def release() -> None:
    """Take what was held back: the handlers are there."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OBEYED)


def hold_for_good() -> None:
    """Let no further signal change how the process ends."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OBEYED)
