"""A scale run's report: lines to read, JSON, plots and one page; and its figures against the budget."""

from __future__ import annotations

import argparse
import base64
import html
import io
import signal
import sys
from pathlib import Path
from typing import Any

import orjson

from lugspur.config import ConfigError
from lugspur.lab import scale, shape
from lugspur.lab.hollow import CONTROLS

# What a proxy may spend on control: bytes sent a second, part of a core, bytes of memory. The operators'.
BUDGET = {"sent_bytes": 13_000.0, "cpu": 0.034, "memory": 32e6}


def command(chosen: argparse.Namespace) -> int:
    """`sloewheel lab scale SHAPE`: play it, leave its report, print its lines. The exit status is 0 for a run
    that was played, void or not: it measures and says so.
    """
    files = chosen.files or [Path("day")]
    if len(files) != 1:
        raise ConfigError("lab scale takes one shape")
    read = shape.read(files[0], members=chosen.members, control=chosen.control, seed=chosen.seed,
                      slow=chosen.slow)
    if read.control not in CONTROLS:
        raise ConfigError(f"shape: no control {read.control!r}; there are {', '.join(CONTROLS)}")

    for number in (signal.SIGINT, signal.SIGTERM):  # in the background too, where shells have SIGINT ignored
        signal.signal(number, signal.default_int_handler)
    result = scale.run(read, progress)
    stem = chosen.out / f"scale-{read.name}-{read.control}-{read.members}-{read.seed}"
    print(lines(result))
    print(f"{save(result, stem)}")
    return 0


def progress(label: str, at: float) -> None:
    """Say on standard error that a phase is over."""
    if label:
        print(f"{at:7.1f} s: {label} is over", file=sys.stderr, flush=True)


def save(result: dict[str, Any], stem: Path) -> Path:
    """JSON, PNG and page beside each other; the page's path."""
    stem.parent.mkdir(parents=True, exist_ok=True)
    Path(f"{stem}.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    png = draw(result)
    Path(f"{stem}.png").write_bytes(png)
    found = Path(f"{stem}.html")
    found.write_text(page(result, png))
    return found


def lines(result: dict[str, Any]) -> str:
    """The result, a line a phase and a line a kind of news."""
    out = [
        f"{result['name']}, control {result['control']}: {result['members']} hollow in {result['racks']} "
        f"processes, {result['real']} real, seed {result['seed']}, {result['processors']} processors, a "
        f"second lasts {result['slow']:g}",
        f"joined after {result['joined_after']} s" if result["joined"] else "NOT joined in time",
    ]
    if result["fault"]:
        out.append(f"VOID: {result['fault']}")
    for phase in result["phases"]:
        hollow = phase["figures"].get("hollow")
        mark = "VOID " if phase["void"] else ""
        if hollow is not None:
            out.append(
                f"{mark}{phase['label']} at {phase['at']:.0f} s: a hollow proxy sent "
                f"{hollow['sent_bytes'] / 1000:.2f} kB/s in {hollow['sent_messages']:.1f} datagrams/s, got "
                f"{hollow['received_bytes'] / 1000:.2f} kB/s, watch {hollow['watch_bytes'] / 1000:.2f} kB/s, "
                f"{hollow['cpu']:.2%} of a core, {hollow['memory'] / 1e6:.2f} MB; peak "
                f"{phase['peak']['sent_bytes'] / 1000:.2f} kB/s, {phase['peak']['cpu']:.2%}")
        if real := phase["figures"].get("real"):
            out.append(f"  a real proxy: {real['sent_bytes'] / 1000:.2f} kB/s in {real['sent_messages']:.1f} "
                       f"datagrams/s, {real['cpu']:.2%} of a core (all of it), {real['memory'] / 1e6:.1f} MB")
        if discovery := phase["figures"].get("discovery"):
            out.append(f"  a control machine: {discovery['told_bytes'] / 1000:.2f} kB/s, "
                       f"{discovery['cpu']:.2%} of a core, {discovery['opened']:.1f} watches/s opened")
        for kind, row in sorted(phase["news"].items()):
            times = f"p50 {row['p50']:.3f}, p99 {row['p99']:.3f}, last {row['last']:.3f} s" if row["told"] \
                else "never"
            out.append(f"  {kind}: told {row['told']} of {row['expected']}: {times}")
        if phase["false"]:
            out.append(f"  of members not concerned: {phase['false']}")
        out += [f"  VOID: {reason}" for reason in phase["void"]]
    if steady := next((phase for phase in result["phases"] if phase["label"] == "steady"), None):
        out.append(budget(steady))
    out.append(f"at the end: {result['logic']}")
    return "\n".join(out)


def budget(phase: dict[str, Any]) -> str:
    """A phase's hollow proxy against the budget: its part of each, and whether that may be read at all."""
    hollow = phase["figures"].get("hollow", {})
    parts = [f"{name} {hollow[name] / most:.2f} of it" for name, most in BUDGET.items() if name in hollow]
    return f"{'VOID ' if phase['void'] else ''}budget, {phase['label']}: {', '.join(parts)}"


def draw(result: dict[str, Any]) -> bytes:
    """The plots as a PNG: bytes, processor time, members, and the time until all had each kind of news."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (top, middle, bottom) = pyplot.subplots(3, 1, figsize=(9, 9), layout="constrained")
    rows = [row for row in result["series"] if "cpu" in row]
    times = [row["at"] for row in rows]
    top.set_title(f"{result['name']}: {result['members']} hollow proxies, control {result['control']}")
    for key in ("sent_bytes", "received_bytes"):
        top.plot(times, [row[key] / 1000 for row in rows], label=key.replace("_bytes", ""))
    top.set_ylabel("kB a second, of a hollow proxy")
    middle.plot(times, [100 * row["cpu"] for row in rows], label="a hollow proxy")
    middle.plot(times, [100 * row.get("discovery_cpu", 0.0) for row in rows], label="the busiest machine")
    middle.set_ylabel("% of a core")
    for part, line in ((top, BUDGET["sent_bytes"] / 1000), (middle, 100 * BUDGET["cpu"])):
        part.axhline(line, color="#c33", linestyle=":", label="budget")
        for phase in result["phases"]:
            part.axvline(phase["at"], color="#555", linestyle="--", linewidth=1)
            if phase["void"]:
                part.axvspan(phase["at"], phase["at"] + phase["figures"]["seconds"], color="#c33", alpha=0.15)
        part.set_ylim(bottom=0)
        part.set_xlabel("seconds (red: void)")
        part.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    bars = [(f"{phase['label']}: {kind}", row) for phase in result["phases"]
            for kind, row in sorted(phase["news"].items()) if row["told"]]
    for shade, key in (("#bcd", "last"), ("#79b", "p99"), ("#357", "p50")):
        bottom.barh([label for label, _ in bars], [row[key] for _, row in bars], color=shade, label=key)
    bottom.set_xlabel("seconds until a member had it")
    bottom.legend()
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90)
    pyplot.close(figure)
    return out.getvalue()


def page(result: dict[str, Any], png: bytes) -> str:
    """The report as one HTML page."""
    title = html.escape(f"{result['name']}: {result['what']}")
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1>"
        f"<pre>{html.escape(lines(result))}</pre>"
        f"<img alt='plots' src='data:image/png;base64,{base64.b64encode(png).decode()}'>\n"
    )
