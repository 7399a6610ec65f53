"""That no callback and no failed allocation ends the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest
from loopback import WIDE

from lugspur.event_loop import EventLoop, run


def looped(spoil: Callable[[EventLoop], object]) -> tuple[int, int]:
    """Run a loop that this spoils, and go on for a while: its faults, and the allocations that it told of."""
    told: list[None] = []
    faults: list[int] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, EventLoop)
        loop.allocation_failed = lambda: told.append(None)
        done = asyncio.Event()
        spoil(loop)
        loop.call_later(0.1, done.set)
        await asyncio.wait_for(done.wait(), WIDE)
        faults.append(loop.faults)

    run(main())
    return faults[0], len(told)


def fail(fault: BaseException) -> None:
    raise fault


@pytest.mark.parametrize(("fault", "failed"), [(MemoryError(), 1), (ValueError(), 0), (RecursionError(), 0)])
def test_a_callback_that_fails_does_not_end_the_loop(fault: Exception, failed: int) -> None:
    assert looped(lambda loop: loop.call_soon(fail, fault)) == (1, failed)


def test_a_failed_allocation_in_the_loop_itself_does_not_end_it() -> None:
    def spoil(loop: EventLoop) -> None:
        select, left = loop._rereading.select, [MemoryError(), MemoryError()]

        def failing(timeout: float | None = None) -> object:
            if left:
                raise left.pop()
            return select(timeout)

        loop._rereading.select = failing  # type: ignore[assignment, method-assign]

    assert looped(spoil) == (2, 2)


def test_a_fault_that_can_not_be_logged_does_not_end_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(event: str, **fields: object) -> None:
        raise MemoryError

    monkeypatch.setattr("lugspur.event_loop.log.error", broken)
    assert looped(lambda loop: loop.call_soon(fail, MemoryError())) == (1, 1)


def test_the_main_task_s_own_fault_still_ends_the_program() -> None:
    async def main() -> None:
        raise OSError("no address")

    with pytest.raises(OSError, match="no address"):
        run(main())


def test_a_long_turn_of_the_loop_is_measured() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, EventLoop)
        await asyncio.sleep(0)
        time.sleep(0.05)
        await asyncio.sleep(0.01)
        assert loop.longest_turn() >= 0.05
        assert loop.longest_turn() < 0.05

    run(main())
