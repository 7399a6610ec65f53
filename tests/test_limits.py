"""Modules stay small enough to read."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]


WIRING = {"__init__.py", "adapter.py", "model.py"}  # they decide nothing
# Lines that are not blank. Those named here are to be taken apart, and may only shrink; all others have 500.
LINES_MOST = {
    "decide.py": 1100, "slopes.py": 585, "overload_model.py": 598, "spread.py": 590, "swim.py": 553,
}
LINES_MOST_ELSE = 500


def faults(name: str, text: str) -> list[str]:
    """What is over the limits: lines that are not blank, and 110 characters a line."""
    lines = text.splitlines()
    found = [f"line {n} has {len(line)} characters" for n, line in enumerate(lines, 1) if len(line) > 110]
    count = sum(1 for line in lines if line.strip())
    if count > LINES_MOST.get(name, LINES_MOST_ELSE):
        found.append(f"{count} lines are not blank")
    return found


def test_policy_files_keep_the_limits() -> None:
    found = {name: faults(Path(name).name, (ROOT / name).read_text()) for name in POLICY}
    assert not any(found.values()), found


def test_all_modules_keep_the_limits() -> None:
    modules = [path for part in ("jaspershelf", "lugspur", "bench") for path in (ROOT / part).rglob("*.py")]
    found = {path.name: faults(path.name, path.read_text()) for path in modules}
    assert not any(found.values()), {name: rows for name, rows in found.items() if rows}
    assert found.keys() >= LINES_MOST.keys(), "a limit for a module that is no more"


def test_all_modules_that_decide_are_listed() -> None:
    modules = {path.name for path in (ROOT / "jaspershelf").glob("*.py")} - WIRING
    assert POLICY[0] == "jaspershelf/decide.py"
    assert sorted(POLICY) == sorted(f"jaspershelf/{name}" for name in modules)


@pytest.mark.parametrize(("name", "text", "count"), [
    ("decide.py", "x\n\n" * 1100, 0), ("decide.py", "x\n" * 1101, 1), ("rates.py", "x\n" * 500, 0),
    ("rates.py", "x\n" * 501, 1), ("rates.py", "x" * 111, 1),
])
def test_the_check_itself_can_fail(name: str, text: str, count: int) -> None:
    assert len(faults(name, text)) == count


def test_the_module_names_its_interface_at_the_top() -> None:
    head = (ROOT / POLICY[0]).read_text().splitlines()[:5]
    assert re.search(r"jaspershelf/model\.py", "\n".join(head))
