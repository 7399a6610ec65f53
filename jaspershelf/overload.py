"""Overload control by memory: how much may be read, whether new work is refused, and who gives up what.

All that peers can make a process hold is added up by whoever holds it (`lugspur.memory`). From that sum and
the process's limit this module decides, in four steps, the earlier the milder: large bodies are no longer
read ahead of their servers, connections are read in smaller pieces, new requests are refused, and whoever
holds most gives up what was not taken on yet. What was taken on is bounded by backpressure instead: a server
is read only as far as its caller leaves room, and that room shrinks with what all answers hold.
Sans-I/O; sizes are in bytes.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

KIB, MIB = 1 << 10, 1 << 20
BUDGET_PART = 0.4  # of the memory above the process's own: objects and fragments cost about as much again
BUDGET_LEAST = 4 * MIB  # whatever the limit: connections alone cost as much
ALLOWANCE_PART = 0.1  # of what the system's own limits leave: beyond those an allocation fails at once
RECOVERY = 1.1  # times the budget before, a second, after a failed allocation
FAILED_LEAST = MIB  # the least budget where the system gives no more
REFUSE_FROM, REFUSE_UNTIL = 0.7, 0.6  # parts of the budget between which refusing begins and ends
LEND_UNTIL = 0.5  # part of the budget up to which requests' bodies may be held beyond what each may always
ANSWERS_PART = 0.25  # of the budget that answers on their way to callers may take...
ANSWER_PART = 0.25  # ...and of what is free of that, what one of them may
ANSWER_MOST = 64 * KIB  # of one answer on its way
RELIEVED = 0.8  # part of the budget down to which holders give up what they hold
READ_MOST, READ_LEAST = 64 * KIB, 2 * KIB  # of one connection at a time
READ_PART = 1 / 16  # of what is free: many connections read in one turn of the loop
FAILED_PART = 0.75  # of what was held when an allocation failed: the budget from then on
RESIDENT_PART = 0.85  # of the memory above the process's own, from which the resident size counts as too much
TELLING_PART = 0.1  # of the budget that has to be held for giving it up to lessen the resident size
SERVERS_ALWAYS = 4_000  # names of servers that are kept whatever the limit: a fleet has 3,200...
SERVERS_MOST = 6_400  # ...and at the most
GONE_MOST, GONE_PART = 2_000, 3  # of them, those that are gone: so many, and one in so many
IDS_MOST = 32_768  # ids of requests that may have run, whatever the limit...
IDS_PART, ID_COST = 1 / 128, 32  # ...and the part of it that they may take, at so many bytes each
SERVER_COST = 1_500  # bytes that the process keeps for one name of a server
SERVERS_PART = 0.25  # of the memory above the process's own that names may take


class MemoryOverload:
    """The state of overload of one process; without a limit there is none."""

    def __init__(self, limit: int | None = None) -> None:
        """`limit` is the memory that the process may have."""
        self._limit = limit
        self._shared_by = 1  # processes
        self._hands_over = False  # another process takes what is new
        self._rest = 0  # resident size of the process with nothing held
        self._allowance = inf  # what the system's limits on the process leave it
        self._system = inf  # the most that the system's limits on the process allow as a budget
        self._ceiling = inf  # of the budget, for a while after an allocation has failed
        self._standing = 0
        self.budget = inf
        self.admission_budget = inf  # of what is held, as far as more is taken on
        self.quiet = inf  # as long as no more is held, and nothing is refused, there is nothing to decide
        self.refusing = False

    @property
    def _headroom(self) -> float:
        return self._headroom_of(self._shared_by)

    def _headroom_of(self, processes: int) -> float:
        stated = inf if self._limit is None else max(0.0, self._limit / processes - self._rest)
        return min(stated, self._allowance)

    def start(self, resident: int, allowance: float = inf) -> None:
        """Serve from here on, with this resident size before anything is held.

        `allowance` is what the system's limits on the process leave it.
        """
        self._rest = resident
        self._allowance = allowance
        self._system = max(FAILED_LEAST, ALLOWANCE_PART * allowance)
        self._set_budget()

    def share(self, processes: int) -> None:
        """So many processes have the limit together."""
        self._shared_by = processes
        self._set_budget()

    def hand_over(self) -> None:
        """Another process takes the callers from here on, and more of the limit as what is owed here ends.

        What was taken on stays owed: only what more is taken on has less room.
        """
        self._hands_over = True
        self._set_budget()

    def answer_most(self, answers: int) -> int:
        """How much of one answer may wait for its caller, while all answers hold so much.

        As each may have only a part of what is free, the sum stays under its part of the budget, but for the
        smallest reads.
        """
        free = (ANSWERS_PART * self.budget - answers) * ANSWER_PART
        return ANSWER_MOST if free >= ANSWER_MOST else max(READ_LEAST, int(free))

    def keep(self, standing: int) -> None:
        """So much is kept for good, and leaves less for what comes and goes."""
        self._standing = standing
        self._set_budget()

    def allocation_failed(self, held: int) -> None:
        """The system gave no more memory while so much was held: less may be, until it has recovered."""
        self._ceiling = min(self._ceiling, max(FAILED_LEAST, FAILED_PART * held))
        self._set_budget()

    def recover(self) -> None:
        """A second has passed: a budget that a failed allocation has lowered rises again."""
        if self._ceiling < inf:
            self._ceiling *= RECOVERY
            self._set_budget()

    def _set_budget(self) -> None:
        self.budget = self._budget_of(self._shared_by)
        self.admission_budget = self._budget_of(max(2, self._shared_by)) if self._hands_over else self.budget
        self.quiet = min(REFUSE_UNTIL * self.admission_budget, self.budget - READ_MOST / READ_PART)

    def _budget_of(self, processes: int) -> float:
        stated = max(BUDGET_LEAST, BUDGET_PART * self._headroom_of(processes) - self._standing)
        return float(min(stated, self._system, self._ceiling))

    def ids_most(self) -> int:
        """Ids of requests that may have run, for which there is room."""
        limit = inf if self._limit is None else self._limit
        return int(min(IDS_MOST, IDS_PART * limit / ID_COST))

    def servers_most(self) -> int:
        """Names of servers that may be kept, with those that are gone."""
        return int(min(SERVERS_MOST, max(SERVERS_ALWAYS, SERVERS_PART * self._headroom / SERVER_COST)))

    def gone_most(self) -> int:
        """Of them, names of servers that are gone."""
        return min(GONE_MOST, self.servers_most() // GONE_PART)

    def read_size(self, held: int) -> int:
        """How much may be read of one connection now: less and less, as what is free runs out."""
        free = (self.budget - held) * READ_PART
        return READ_MOST if free >= READ_MOST else max(READ_LEAST, int(free))

    def update(self, held: int) -> bool:
        """Take note of what is held now; whether holders have to give some of it up."""
        if held > REFUSE_FROM * self.admission_budget:
            self.refusing = True
        elif held < REFUSE_UNTIL * self.admission_budget:
            self.refusing = False
        return held > self.budget

    def may_lend(self, held: int) -> bool:
        """Whether a request's body may be held beyond what each may always; never without a stated limit."""
        return self._limit is not None and held < LEND_UNTIL * self.admission_budget

    def is_resident_too_large(self, resident: int, held: int) -> bool:
        """Whether the process is near its limit, and giving up what is held would help."""
        near = resident > self._rest + RESIDENT_PART * self._headroom
        return near and held > TELLING_PART * self.budget

    def relieved(self) -> float:
        """How much may be held once holders have given up enough."""
        return RELIEVED * self.budget


def largest_first(sizes: Sequence[int], owing: Sequence[bool] = ()) -> list[int]:
    """In which order holders give up what they hold, by their place; those that hold nothing are left out.

    `owing` tells which of them have taken something on that is owed: those come last.
    """
    holding = [place for place, size in enumerate(sizes) if size]
    holding.sort(key=sizes.__getitem__, reverse=True)
    return sorted(holding, key=owing.__getitem__) if owing else holding
