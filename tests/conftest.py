"""The option `--known-red`, which deselects exactly the tests of a list."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_failures import KnownFailuresError, names_to_deselect, parse


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", metavar="FILE", help="deselect the tests that this file lists")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.getoption("--known-red")
    if path is None:
        return
    try:
        known = parse(Path(path).read_text(encoding="utf-8"))
        missing = [failure.file for failure in known if not Path(config.rootpath, failure.file).is_file()]
        if missing:
            raise KnownFailuresError(f"there is no {missing[0]}")
        names = names_to_deselect(known, [item.nodeid for item in items])
    except (OSError, KnownFailuresError) as problem:
        raise pytest.UsageError(f"{path}: {problem}") from None
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in names])
    items[:] = [item for item in items if item.nodeid not in names]
