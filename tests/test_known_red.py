"""The list of tests that are known to fail hides nothing else."""

import pytest
from known_red import MOST, check, parse

LINE = "tests/test_a.py::test_one | the watch is late | 20\n"


def test_a_line_names_its_test_and_all_of_its_cases() -> None:
    [row] = parse(LINE + "\n")
    assert (row.cause, row.issue) == ("the watch is late", "20")
    assert row.names("tests/test_a.py::test_one") and row.names("tests/test_a.py::test_one[a-1]")
    assert not row.names("tests/test_a.py::test_one_more") and not row.names("tests/test_a.py")


@pytest.mark.parametrize(
    "text", [LINE * (MOST + 1), "tests/test_a.py::test_one", "a | b", "a | | 20", "a|b|c|d"]
)
def test_a_fourth_line_or_a_malformed_one_fails_the_run(text: str) -> None:
    assert len(parse(LINE * MOST)) == MOST
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse(text)


def test_a_line_that_names_no_test_fails_the_run() -> None:
    check(parse(LINE), ["tests/test_a.py::test_one[x]"])
    with pytest.raises(ValueError, match="there is no test"):
        check(parse(LINE), ["tests/test_a.py::test_two"])
