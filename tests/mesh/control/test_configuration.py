"""The lookup of a route."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from orchidferry.mesh.control import configuration

PATHS = st.text("ab/", max_size=8).map(lambda text: "/" + text)


@given(st.sets(PATHS.map(lambda path: path if path.endswith("/") else path + "/"), max_size=6), PATHS)
def test_the_longest_prefix_is_chosen(prefixes: set[str], path: str) -> None:
    routes = [configuration.Route(p, "Host", p, "keyed", 1, 0, 1, 1, (("s", 1),)) for p in prefixes]
    found = configuration.RouteTable(routes).find("hOST:80", path)
    expected = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
    assert (found.id if found is not None else None) == expected
    assert configuration.RouteTable(routes).find("other", path) is None
