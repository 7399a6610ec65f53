"""The list of what is known to fail hides nothing else."""

from pathlib import Path

import pytest
from known_red import check, parse

LINE = "tests/test_a.py::test_one | the watch is late | 20\n"
SCRIPT_LINE = "review/1/run.sh | a payment runs twice | 54\n"


def lines(number: int) -> str:
    return "".join(f"tests/test_a.py::test_{row} | the watch is late | 20\n" for row in range(number))


def test_a_line_names_its_test_and_all_of_its_cases() -> None:
    [row] = parse(LINE + "\n")
    assert (row.cause, row.issue) == ("the watch is late", "20")
    assert row.names("tests/test_a.py::test_one") and row.names("tests/test_a.py::test_one[a-1]")
    assert not row.names("tests/test_a.py::test_one_more") and not row.names("tests/test_a.py")
    assert not row.is_script()


@pytest.mark.parametrize("text", [LINE * 2, "tests/test_a.py::test_one", "a | b", "a | | 20", "a|b|c|d"])
def test_a_malformed_line_or_one_that_stands_twice_fails_the_run(text: str) -> None:
    assert len(parse(lines(20))) == 20, "there is no limit on how many stand"
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse(text)


def test_a_line_that_names_no_test_fails_the_run(tmp_path: Path) -> None:
    check(parse(LINE), ["tests/test_a.py::test_one[x]"], tmp_path)
    with pytest.raises(ValueError, match="there is no test"):
        check(parse(LINE), ["tests/test_a.py::test_two"], tmp_path)


def test_a_line_that_names_no_script_fails_the_run(tmp_path: Path) -> None:
    [row] = parse(SCRIPT_LINE)
    assert row.is_script() and not row.names("tests/test_a.py::test_one")
    with pytest.raises(ValueError, match="there is no script"):
        check([row], [], tmp_path)
    script = tmp_path / row.test
    script.parent.mkdir(parents=True)
    script.touch()
    check([row], [], tmp_path)
