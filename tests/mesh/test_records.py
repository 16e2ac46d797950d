"""The examples in docstrings, the change of a configuration, and shedding of requests with nested calls."""

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


def test_a_configuration_is_committed_only_on_the_current_revision() -> None:
    initial = shard_state.genesis(("a", "b", "c"))
    committed = shard_state.PutConfiguration(b"x", 5, b"X", 0)(initial)
    assert not isinstance(committed, str) and shard_state.body(committed).revision == 5
    assert shard_state.PutConfiguration(b"x", 5, b"X", 0)(committed) is committed  # repeated
    assert shard_state.PutConfiguration(b"y", 6, b"Y", 0)(committed) == shard_state.OTHER_VERSION
    assert (
        shard_state.PutConfiguration(b"y", 5, b"Y", 5)(committed)
        == shard_state.PutConfiguration(b"y", 4, b"Y", 5)(committed)
        == shard_state.OLD_VERSION
    )


# Shedding of parent requests whose nested calls are rejected


@pytest.mark.parametrize("capacity", [40.0, 100.0, 1_000.0])
def test_parents_are_shed_to_near_the_target(capacity: float) -> None:
    """200 requests per second make two nested calls each; `capacity` calls per second can be served."""
    nested = NestedCallShedder()
    now = 0.0
    admitted = 0.0
    failed = 0.0
    due = 0.0
    failures_due = 0.0
    for step in range(400):
        now += 100.0
        attempted = 20.0 * (1.0 - nested.shed_share("parents", now))
        share = 1.0 - min(1.0, capacity / 10.0 / (2.0 * attempted)) ** 2
        due += attempted
        while due >= 1.0:  # failures are spread evenly
            due -= 1.0
            failures_due += share
            nested.record_outcome("parents", failures_due >= 1.0, now)
            failures_due -= failures_due >= 1.0
            nested.record_outcome("others", False, now)
        if step >= 200:
            admitted = admitted + attempted
            failed = failed + attempted * share
    if capacity < 400.0:
        assert (
            abs(failed / admitted - TARGET_FAILURE_SHARE) < 0.03 and nested.shed_share("parents", now) > 0.3
        )
    else:
        assert nested.shed_share("parents", now) == 0.0
    assert nested.shed_share("others", now) == 0.0
    assert nested.shed_share("parents", now + 20_000.0) < 0.01
