"""Members, configurations and settings, beside slow plain models and tables of what is refused."""

from __future__ import annotations

import doctest
import importlib
import pkgutil

import pytest

import orchidferry.mesh
from orchidferry.balancing.nested import TARGET_FAILURE_SHARE, NestedCallShedder
from orchidferry.mesh.control import shard_state

MODULES = [
    found.name
    for found in pkgutil.walk_packages(orchidferry.mesh.__path__, "orchidferry.mesh.")
    if not found.ispkg and found.name != "orchidferry.mesh.__main__"
]


@pytest.mark.parametrize("name", [*MODULES, "orchidferry.balancing.nested"])
def test_examples_in_docstrings(name: str) -> None:
    assert doctest.testmod(importlib.import_module(name)).failed == 0


def test_a_configuration_goes_on_top_of_the_current_one_only() -> None:
    first = shard_state.genesis(("a", "b", "c"))
    taken = shard_state.PutConfiguration(b"x", 5, b"X", 0)(first)
    assert not isinstance(taken, str) and shard_state.body(taken).revision == 5
    assert shard_state.PutConfiguration(b"x", 5, b"X", 0)(taken) is taken  # asked for again
    assert shard_state.PutConfiguration(b"y", 6, b"Y", 0)(taken) == shard_state.OTHER_VERSION
    assert (
        shard_state.PutConfiguration(b"y", 5, b"Y", 5)(taken)
        == shard_state.PutConfiguration(b"y", 4, b"Y", 5)(taken)
        == shard_state.OLD_VERSION
    )


# Parents of calls that are turned away


@pytest.mark.parametrize("capacity", [40.0, 100.0, 1_000.0])
def test_parents_are_shed_to_near_the_target(capacity: float) -> None:
    """200 a second, each with two calls below, which has room for so many a second."""
    nested = NestedCallShedder()
    now = 0.0
    admitted = 0.0
    failed = 0.0
    due = 0.0
    owed = 0.0
    for step in range(400):
        now += 100.0
        first = 20.0 * (1.0 - nested.shed_share("parents", now))
        share = 1.0 - min(1.0, capacity / 10.0 / (2.0 * first)) ** 2
        due += first
        while due >= 1.0:  # evenly mixed
            due -= 1.0
            owed += share
            nested.record_outcome("parents", owed >= 1.0, now)
            owed -= owed >= 1.0
            nested.record_outcome("others", False, now)
        if step >= 200:
            admitted = admitted + first
            failed = failed + first * share
    if capacity < 400.0:
        assert (
            abs(failed / admitted - TARGET_FAILURE_SHARE) < 0.03 and nested.shed_share("parents", now) > 0.3
        )
    else:
        assert nested.shed_share("parents", now) == 0.0
    assert nested.shed_share("others", now) == 0.0
    assert nested.shed_share("parents", now + 20_000.0) < 0.01
