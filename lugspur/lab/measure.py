"""Figures of a scale run: snapshots of every process's counters, their differences, and what makes them void.

A window's figures, by role; all are means over its seconds:

- `hollow`: of one hollow proxy. `sent_bytes`, `received_bytes`, `sent_messages`, `received_messages` a
  second, payload of datagrams alone (28 more bytes each in IP and UDP headers); `sent`, `received`: the same
  by kind, `[messages, bytes]`; `sent_bytes_worst`, `received_bytes_worst`: of the member with the most;
  `watch_bytes`, `watch_messages`: what its watch was told; `cpu`: part of a core, the kernel's count of the
  rack's processor time divided evenly among its members (without the data path's stand-in, with the lab's
  own counting); `cpu_worst_rack`; `memory`: bytes, what the rack has grown by since before its members
  started, divided likewise; `members`.
- `discovery`: of one control machine. `told_bytes`, `told_messages`, `opened` (watches) a second; `cpu`,
  `cpu_worst`, `memory` (all of the process), `following` (watches now), `machines`.
- `real`: of one real proxy, where there are any. `sent_bytes`, ... as above, `cpu` and `memory` of the whole
  process, data path too.

All seconds are the loop's (`dilation`). Processor time of racks that were paused, killed or started in the
window is left out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from lugspur.lab.crew import Child, drops, processor_time, resident
from lugspur.lab.dilation import now
from lugspur.lab.tap import Lateness
from lugspur.lab.town import Town

LATE_P99_PART = 0.05  # of the period, at p99: beyond, a tenth of a ping's time-out is the lab's doing
LATE_PART_MOST = 0.25  # of the period, for any look: by then a ping is sent again, as if it had been lost
REAL_KEYS = ("sent_bytes", "received_bytes", "sent_messages", "received_messages")
Numbers = dict[str, float]


@dataclass(slots=True)
class Snapshot:
    """Every process's counters at one time; by its name, and its pid, since a new start counts from 0."""

    at: float = 0.0
    cpu: dict[tuple[str, int], float] = field(default_factory=dict)
    memory: dict[tuple[str, int], int] = field(default_factory=dict)
    counts: dict[tuple[str, int], dict[str, Any]] = field(default_factory=dict)
    real: dict[str, Numbers] = field(default_factory=dict)
    drops: dict[tuple[str, int], int] = field(default_factory=dict)


async def snapshot(town: Town) -> Snapshot:
    """Now. A child that is paused or down is left out."""
    children = [child for child in town.children if child.running and not child.paused]
    keys = [(child.name, child.pid) for child in children]
    counts = dict(zip(keys, await asyncio.gather(*[child.ask("sample") for child in children]), strict=True))
    taken = Snapshot(now(), counts=counts, drops=drops())
    for child, key in zip(children, keys, strict=True):
        if child.running:
            taken.cpu[key] = processor_time(child.pid)
            taken.memory[key] = resident(child.pid)
    if town.real is not None:
        for name, node in town.real.nodes.items():
            try:
                told = await town.real.figures(name)
            except ValueError:  # an answer that is none: too busy, or gone; this one is left out now
                continue
            if node.process is None or "membership.messages_sent" not in told:
                continue
            taken.real[name] = {
                "cpu": processor_time(node.process.pid), "memory": resident(node.process.pid),
                "sent_bytes": told["membership.bytes_sent"],
                "received_bytes": told["membership.bytes_received"],
                "sent_messages": told["membership.messages_sent"],
                "received_messages": told["membership.messages_received"],
            }
    return taken


def between(one: Snapshot, two: Snapshot, base: dict[str, int]) -> dict[str, Any]:
    """The figures of a window; `base` is the memory of each rack before its members started."""
    span = max(1e-9, two.at - one.at)
    both = [key for key in two.counts if key in one.counts and key in two.cpu and key in one.cpu]
    racks = [key for key in both if key[0].startswith("rack") and two.counts[key]["up"]]
    machines = [key for key in both if key[0].startswith("machine")]
    found: dict[str, Any] = {"seconds": round(span, 3)}
    if racks:
        found["hollow"] = _hollow(one, two, racks, span, base)
    if machines:
        used = [(two.cpu[key] - one.cpu[key]) / span for key in machines]
        told = [[b - a for a, b in zip(one.counts[key]["told"], two.counts[key]["told"], strict=True)]
                for key in machines]
        opened = [two.counts[key]["opened"] - one.counts[key]["opened"] for key in machines]
        found["discovery"] = {
            "machines": len(machines), "cpu": _mean(used), "cpu_worst": max(used),
            "told_bytes": _mean([row[0] / span for row in told]),
            "told_messages": _mean([row[1] / span for row in told]),
            "opened": _mean([count / span for count in opened]),
            "following": _mean([two.counts[key]["following"] for key in machines]),
            "memory": _mean([two.memory[key] for key in machines]),
        }
    names = [name for name in two.real if name in one.real]
    if names:
        found["real"] = {"proxies": len(names), "memory": _mean([two.real[n]["memory"] for n in names])} | {
            key: _mean([(two.real[n][key] - one.real[n][key]) / span for n in names])
            for key in ("cpu", *REAL_KEYS)}
    return found


def _hollow(
    one: Snapshot, two: Snapshot, racks: list[tuple[str, int]], span: float, base: dict[str, int]
) -> dict[str, Any]:
    members = sum(two.counts[key]["up"] for key in racks)
    each: list[list[float]] = []
    for key in racks:
        before, after = one.counts[key]["members"], two.counts[key]["members"]
        for name, row in after.items():
            since = before.get(name, [0, 0, 0, 0])
            if row[0] < since[0]:
                since = [0, 0, 0, 0]  # started anew meanwhile
            each.append([(b - a) / span for a, b in zip(since, row, strict=True)])
    kinds: dict[str, dict[str, list[float]]] = {}
    for way in ("sent", "received"):
        kinds[way] = {}
        for key in racks:
            before = one.counts[key]["kinds"][way]
            for kind, row in two.counts[key]["kinds"][way].items():
                total = kinds[way].setdefault(kind, [0.0, 0.0])
                for n, count in enumerate(row):
                    total[n] += (count - before.get(kind, [0, 0])[n]) / span / members
    watch = [sum(two.counts[key]["watch"][n] - one.counts[key]["watch"][n] for key in racks) / span / members
             for n in (0, 1)]
    used = [(two.cpu[key] - one.cpu[key] - two.counts[key]["used"] + one.counts[key]["used"])
            / span / two.counts[key]["up"] for key in racks]
    grown = [(two.memory[key] - base.get(key[0], 0)) / two.counts[key]["up"] for key in racks]
    return {
        "members": members,
        **{name: _mean([row[n] for row in each]) for n, name in enumerate(REAL_KEYS)},
        "sent_bytes_worst": max(row[0] for row in each), "received_bytes_worst": max(row[1] for row in each),
        **kinds, "watch_bytes": watch[0], "watch_messages": watch[1],
        "cpu": sum(part * two.counts[key]["up"] for part, key in zip(used, racks, strict=True)) / members,
        "cpu_worst_rack": max(used), "memory": _mean(grown),
    }


def _mean(values: Iterable[float]) -> float:
    kept = list(values)
    return sum(kept) / len(kept) if kept else 0.0


async def void(town: Town, own: Lateness, one: Snapshot, two: Snapshot) -> list[str]:
    """Why the figures of a window are void; empty where the lab kept up.

    A rack's time in a pause is the fault's, and so are what its sockets drop then. Late looks are asked for
    and forgotten: to be called once a window.
    """
    children = [child for child in town.children if child.running and not child.paused]
    told = await asyncio.gather(*[child.ask("lateness") for child in children])
    rows: list[tuple[str, Child | None, dict[str, Any]]] = [("the conductor", None, own.take())]
    rows += [(child.name, child, row) for child, row in zip(children, told, strict=True)]
    reasons = []
    most, usual = LATE_PART_MOST * town.shape.period, LATE_P99_PART * town.shape.period
    for name, child, row in rows:
        late = [by for at, by in row["late"]
                if by > most and at >= one.at and (child is None or not child.stood(at, by))]
        stood = child is not None and any(ended > one.at for _, ended in child.paused_at)
        if late:
            reasons.append(f"{name}'s loop was {max(late):.2f} s late, {len(late)} times over {most:.2f} s")
        elif row["p99"] > usual and not stood:
            reasons.append(f"{name}'s loop was {row['p99']:.3f} s late at p99, over {usual:.3f} s")
    stood_hosts = {child.spec["host"] for child in town.racks
                   if any(ended > one.at for _, ended in child.paused_at)}
    lost = sum(count - one.drops.get(address, 0) for address, count in two.drops.items()
               if address in town.sockets and address[0] not in stood_hosts
               and count > one.drops.get(address, 0))
    if lost:
        reasons.append(f"{lost} datagrams dropped by full sockets")
    return reasons
