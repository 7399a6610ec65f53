"""The command line: `sloewheel run`, `check-config`, `state inspect`, `lab`."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from urllib.parse import unquote

import orjson

from lugspur import process as program
from lugspur.config import ConfigError, load, sources
from lugspur.discovery import Reader


def main(arguments: Sequence[str] | None = None) -> int:
    """Do what the command line says; the exit status: 0, 1 for a fault, 2 for a command that makes no
    sense.
    """
    parser = argparse.ArgumentParser(prog="sloewheel", description="An HTTP/1.1 proxy and its tools.")
    parts = parser.add_subparsers(dest="part", required=True, metavar="COMMAND")
    run = parts.add_parser("run", help="run one proxy, configured by the RELAY_ environment variables")
    run.set_defaults(call=lambda _: program.main())
    check = parts.add_parser("check-config", help="check a configuration file and print what holds")
    check.add_argument("file", type=Path, metavar="FILE")
    check.set_defaults(call=_check)
    state = parts.add_parser("state", help="look at a proxy's state on disk")
    inner = state.add_subparsers(dest="what", required=True, metavar="COMMAND")
    inspect = inner.add_parser("inspect", help="say what in a state directory is valid")
    inspect.add_argument("folder", type=Path, metavar="DIR")
    inspect.set_defaults(call=_inspect)
    lab = parts.add_parser("lab", help="play a fault experiment on loopback, or compare two results")
    lab.add_argument("scenario", metavar="SCENARIO",
                     help="its name; or `list`, `compare A.json B.json`, `scale SHAPE`")
    lab.add_argument("files", nargs="*", type=Path, metavar="FILE",
                     help="with `compare`: two results; with `scale`: a shape (TOML), or the name of ours")
    lab.add_argument("--processes", type=int, default=6, help="proxies (6)")
    lab.add_argument("--seed", type=int, help="of all chance (1; with `scale` the shape's)")
    lab.add_argument("--phase", type=float, default=10.0, help="seconds before, in and after the fault (10)")
    lab.add_argument("--members", type=int, help="with `scale`: hollow proxies (the shape's)")
    lab.add_argument("--slow", type=float, help="with `scale`: real seconds of each of its own (the shape's)")
    lab.add_argument("--control", help="with `scale`: what they run, flat or membership (the shape's)")
    lab.add_argument("--out", type=Path, default=Path("lab-out"), help="folder of the report (lab-out)")
    lab.set_defaults(call=_lab)
    chosen = parser.parse_args(arguments)
    try:
        return int(chosen.call(chosen))
    except ConfigError as fault:
        program.complain(fault)
        return 2
    except KeyboardInterrupt:
        print("sloewheel: interrupted", file=sys.stderr)
        return 130


def _check(chosen: argparse.Namespace) -> int:
    """Print each value that holds, with where it is from."""
    environ = {**os.environ, "RELAY_CONFIG": str(chosen.file)}
    config = load(environ)
    Reader(config.zones, config.types).check(config.known)
    for key, value, source in sources(environ):
        print(f"{key} = {value}  # {source}")
    return 0


def _inspect(chosen: argparse.Namespace) -> int:
    """Print what each proxy's folder holds, file by file and kind by kind."""
    from lugspur.store import frames
    from lugspur.store.files import read_state
    from lugspur.store.keeper import AGES
    from lugspur.store.times import Timeline

    if not chosen.folder.is_dir():
        raise ConfigError(f"{chosen.folder} is no folder")
    times = Timeline.here()
    now, bad = times.now(), 0
    for folder in sorted(path for path in chosen.folder.iterdir() if path.is_dir()):
        name = unquote(folder.name)
        print(f"{name}:")
        for path in sorted(folder.iterdir()):
            kind = "orders" if path.name.startswith("bans.orders-") else path.name.rpartition("-")[0]
            if kind not in ("snapshot", "log", "orders"):
                continue
            contents = frames.read(path, kind, name, now)
            bad += bool(contents.fault)
            print(f"  {path.name}: {contents.fault or 'valid'}, {len(contents.records)} records, "
                  f"{path.stat().st_size} bytes")
        found = read_state(folder, name, now, lambda *_: None, times)
        for kind, most in AGES.items():
            ages = [now - entry.at for (each, _), entry in found.items() if each == kind]
            young = sum(abs(age) <= most for age in ages)
            print(f"  {kind}: {len(ages)} entries, {young} young enough for a start (at most {most:.0f} s)")
    return 1 if bad else 0


def _lab(chosen: argparse.Namespace) -> int:
    """Play a scenario or a shape, or compare two results."""
    if chosen.scenario == "scale":
        from lugspur.lab import scale_report

        return scale_report.command(chosen)
    from lugspur.lab import report, scenarios

    chosen.seed = 1 if chosen.seed is None else chosen.seed

    if chosen.scenario == "compare":
        if len(chosen.files) != 2:
            raise ConfigError("lab compare takes two results")
        try:
            one, two = (orjson.loads(path.read_bytes()) for path in chosen.files)
            print(report.compare(one, two))
        except (OSError, ValueError, KeyError, TypeError) as fault:
            raise ConfigError(f"the results can't be compared: {fault}") from fault
        return 0
    if chosen.scenario not in scenarios.SCENARIOS:
        known = "\n".join(f"  {name}: {scenario.what}" for name, scenario in scenarios.SCENARIOS.items())
        if chosen.scenario == "list":
            print(known)
            return 0
        raise ConfigError(f"there is no scenario {chosen.scenario!r}; there are\n{known}")
    fits = 2 <= chosen.processes <= scenarios.PROCESSES_MOST
    if not (fits and 0.5 <= chosen.phase <= scenarios.PHASE_MOST):
        raise ConfigError(f"lab takes 2 to {scenarios.PROCESSES_MOST} processes, and phases of 0.5 to "
                          f"{scenarios.PHASE_MOST:.0f} s")
    from tqdm import tqdm  # type: ignore[import-untyped]

    for number in (signal.SIGINT, signal.SIGTERM):  # in the background too, where shells have SIGINT ignored
        signal.signal(number, signal.default_int_handler)

    with tqdm(total=round(3 * chosen.phase), unit="s", desc=chosen.scenario, file=sys.stderr) as bar:
        def progress(at: float) -> None:
            bar.update(max(0, min(bar.total, int(at)) - bar.n))

        result = asyncio.run(scenarios.play(
            chosen.scenario, chosen.processes, chosen.seed, chosen.phase, progress))
    chosen.out.mkdir(parents=True, exist_ok=True)
    stem = f"{chosen.scenario}-{chosen.processes}-{chosen.seed}"
    png = report.draw(result)
    (chosen.out / f"{stem}.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    (chosen.out / f"{stem}.png").write_bytes(png)
    (chosen.out / f"{stem}.html").write_text(report.page(result, png))
    print(f"{result['totals']}; {chosen.out / stem}.html")
    return 0


if __name__ == "__main__":
    sys.exit(main())
