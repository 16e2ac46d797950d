"""A list of known failures passes over just the tests that it names."""

from __future__ import annotations

import pytest

from tests.known_failures import KnownFailuresError, names_to_pass_over, parse

COLLECTED = [
    "tests/a.py::test_rules[drain and add-h1]",
    "tests/a.py::test_rules[drain and add-h3, 5 % lost]",
    "tests/b.py::test_plain",
]


def test_a_name_with_commas_and_spaces_is_taken_whole() -> None:
    known = parse(
        "tests/a.py::test_rules[drain and add-h3, 5 % lost], seven were lost, at a load, issue 53\n"
    )
    assert names_to_pass_over(known, COLLECTED) == {COLLECTED[1]}


def test_a_file_that_is_not_in_the_run_has_nothing_passed_over() -> None:
    known = parse("tests/c.py::test_other, a cause, issue 1\ntests/b.py::test_plain, a cause, issue 2\n")
    assert names_to_pass_over(known, COLLECTED) == {COLLECTED[2]}


@pytest.mark.parametrize(
    "line",
    [
        "tests/a.py::test_rules[drain and add-h3, a cause, issue 1",  # it would pass over more than one
        "tests/a.py, a cause, issue 1",
        "tests/b.py::test_plain, issue 1",
        "tests/b.py::test_plain, a cause",
        "",
    ],
)
def test_a_line_without_a_whole_test_a_cause_or_an_issue_is_refused(line: str) -> None:
    with pytest.raises(KnownFailuresError, match="line 1"):
        parse(line + "\n")


def test_a_name_that_matches_no_test_is_refused() -> None:
    with pytest.raises(KnownFailuresError, match="no test is named"):
        names_to_pass_over(parse("tests/a.py::test_rules, a cause, issue 1"), COLLECTED)


def test_no_more_than_three_may_be_listed() -> None:
    with pytest.raises(KnownFailuresError, match="4 lines"):
        parse("tests/b.py::test_plain, a cause, issue 1\n" * 4)
