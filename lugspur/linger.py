"""How long a lingering close takes: what is left goes out, and what still comes is read and dropped."""

from __future__ import annotations

from jaspershelf.transfer_pace import STEP
from lugspur.exchange import STUCK

LINGER = 1.0  # seconds of a lingering close in which what still comes is read: a reset would eat the answer
LINGER_MOST = 30.0  # seconds of it where more and more comes


class LingerLimit:
    """Looked at each `LINGER` seconds; times are the loop's, sizes bytes."""

    def __init__(self, now: float, unsent: int) -> None:
        """`unsent`: of what is left to go out as the close begins."""
        self._dropped_until = now + LINGER_MOST
        self.until = now + STUCK * (1.0 + unsent / STEP)  # guards against one that takes a byte now and then
        self._unsent, self._looks = -1, 0

    def is_over(self, now: float, unsent: int, dropped: int) -> bool:
        """Whether all has been out for LINGER, or none of what is left has gone out for STUCK.

        `dropped`: what has come since the last look. Guards the answer of a caller that is still sending: a
        reset would take it away unread.
        """
        moves = unsent != self._unsent or (dropped and now < self._dropped_until)
        self._looks = 0 if moves else self._looks + 1
        self._unsent = unsent
        return self._looks * LINGER >= (STUCK if unsent else LINGER) or now >= self.until
