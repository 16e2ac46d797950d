"""A list of known failures deselects exactly the tests that it names."""

from __future__ import annotations

import pytest

from tests.known_failures import KnownFailuresError, names_to_deselect, parse

FOUR_TESTS = [f"tests/b.py::test_{n}" for n in range(4)]
COLLECTED = [
    "tests/a.py::test_rules[drain and add-h1]",
    "tests/a.py::test_rules[drain and add-h3, 5 % lost]",
    "tests/b.py::test_plain",
]


def test_a_name_may_contain_commas_and_spaces() -> None:
    known = parse(
        "tests/a.py::test_rules[drain and add-h3, 5 % lost], seven were lost, at a load, issue 53\n"
    )
    assert names_to_deselect(known, COLLECTED) == {COLLECTED[1]}


def test_entries_of_files_outside_the_run_are_ignored() -> None:
    known = parse("tests/c.py::test_other, a cause, issue 1\ntests/b.py::test_plain, a cause, issue 2\n")
    assert names_to_deselect(known, COLLECTED) == {COLLECTED[2]}


@pytest.mark.parametrize(
    "line",
    [
        "tests/a.py::test_rules[drain and add-h3, a cause, issue 1",  # could match several tests
        "tests/a.py, a cause, issue 1",
        "tests/b.py::test_plain, issue 1",
        "tests/b.py::test_plain, a cause",
        "",
    ],
)
def test_a_line_without_a_full_test_name_a_cause_or_an_issue_is_refused(line: str) -> None:
    with pytest.raises(KnownFailuresError, match="line 1"):
        parse(line + "\n")


def test_a_name_that_matches_no_test_is_refused() -> None:
    with pytest.raises(KnownFailuresError, match="no test is named"):
        names_to_deselect(parse("tests/a.py::test_rules, a cause, issue 1"), COLLECTED)


def test_the_number_of_entries_is_not_limited() -> None:
    known = parse("".join(f"{name}, a cause, issue 1\n" for name in FOUR_TESTS))
    assert names_to_deselect(known, FOUR_TESTS) == set(FOUR_TESTS)


def test_a_test_that_is_listed_twice_is_refused() -> None:
    with pytest.raises(KnownFailuresError, match="test_plain is listed 2 times"):
        parse("tests/b.py::test_plain, a cause, issue 1\n" * 2)
