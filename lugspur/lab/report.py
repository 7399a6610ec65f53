"""A lab run's report: one HTML page with its plots (matplotlib), and two results side by side."""

from __future__ import annotations

import base64
import html
import io
from typing import Any

COLOURS = {"served": "#2a7", "refused": "#da2", "failed": "#c33", "lost": "#333",
           "alive": "#2a7", "suspect": "#da2", "dead": "#c33", "left": "#77a"}


def draw(result: dict[str, Any]) -> bytes:
    """The plots as a PNG: requests by outcome, served by zone, member states."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (top, middle, bottom) = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True, layout="constrained")
    seconds = range(len(result["outcomes"]["served"]))
    names = list(result["outcomes"])
    top.stackplot(seconds, *result["outcomes"].values(), labels=names, colors=[COLOURS[n] for n in names])
    who = f"({result['processes']} proxies, seed {result['seed']})"
    top.set_title(f"{result['scenario']}: {result['what']} {who}")
    top.set_ylabel("requests a second, by outcome")
    for zone, counts in result["zones"].items():
        middle.plot(seconds, counts, label=f"zone {zone}")
    middle.set_ylabel("served a second, by zone")
    times = [row["at"] for row in result["members"]]
    for state in ("alive", "suspect", "dead", "left"):
        counts = [row.get(state, 0) for row in result["members"]]
        bottom.plot(times, counts, label=state, color=COLOURS[state])
    bottom.set_ylabel("member-list entries")
    bottom.set_xlabel("seconds")
    for part in (top, middle, bottom):
        for at, _ in result["marks"]:
            part.axvline(at, color="#555", linestyle="--", linewidth=1)
        part.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
        part.set_ylim(bottom=0)
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90)
    pyplot.close(figure)
    return out.getvalue()


def page(result: dict[str, Any], png: bytes) -> str:
    """The report as one HTML page."""
    title = html.escape(f"{result['scenario']}: {result['what']}")
    rows = "".join(f"<tr><td>{kind}</td><td>{count}</td><td>{count / result['requests']:.2%}</td></tr>"
                   for kind, count in sorted(result["totals"].items()))
    marks = ", ".join(f"{html.escape(label)} at {at:.1f} s" for at, label in result["marks"])
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1>"
        f"<p>{result['processes']} proxies, seed {result['seed']}, {result['requests']} requests at "
        f"{result['rate']:.0f} a second; {marks}.</p><table>{rows}</table>"
        f"<img alt='plots' src='data:image/png;base64,{base64.b64encode(png).decode()}'>\n"
    )


def compare(one: dict[str, Any], two: dict[str, Any]) -> str:
    """Two results as a table of outcomes by phase, the parts in percent. ValueError for two of no one
    kind.
    """
    if one["scenario"] != two["scenario"]:
        raise ValueError(f"they are of two scenarios, {one['scenario']} and {two['scenario']}")
    lines = [f"{one['scenario']}: {one['what']}", f"{'':24}{'first':>10}{'second':>10}"]
    for phase, label in enumerate(("before", "during", "after")):
        for kind in one["outcomes"]:
            parts = [_part(result, phase, kind) for result in (one, two)]
            if any(parts):
                lines.append(f"{label:8}{kind:16}{parts[0]:>10.2%}{parts[1]:>10.2%}")
    return "\n".join(lines)


def _part(result: dict[str, Any], phase: int, kind: str) -> float:
    """The part of a phase's requests that ended so."""
    length = result["phase"]
    cut = slice(int(phase * length), int((phase + 1) * length) if phase < 2 else None)
    total = sum(sum(counts[cut]) for counts in result["outcomes"].values())
    return sum(result["outcomes"][kind][cut]) / total if total else 0.0
