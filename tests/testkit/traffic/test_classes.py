"""Classes of recorded requests: classes files, matching, shapes, and proposed classes files."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import example, given, settings, strategies

from orchidferry.testkit.traffic.classes import (
    MAX_SHAPES,
    Classes,
    ClassesFileError,
    Shapes,
    propose,
    read_classes,
    shape_of,
)
from orchidferry.testkit.traffic.entry import Entry

FILE = b"""
[[class]]
name = "ler-feed"
path = "/feeds/*"
method = ["get", "HEAD"]
repeat = "safe"
worth = 0.5

[[class]]
name = "salvar"
path = "re:^/episodios/[0-9]+$"
method = "PUT"
repeat = "keyed"
wanted_s = 6.0

[[class]]
name = "rest"
path = "/**"
repeat = "unsafe"

[identity]
from = ["cookie:SID", "header:x-client", "address+agent"]
"""
CLASSES = read_classes(FILE)


@pytest.mark.parametrize(
    "method, path, name",
    [
        ("GET", "/feeds/7", "ler-feed"),
        ("HEAD", "/feeds/", "ler-feed"),
        ("POST", "/feeds/7", "rest"),
        ("GET", "/feeds/7/x", "rest"),
        ("PUT", "/episodios/12", "salvar"),
        ("PUT", "/episodios/12/", "rest"),
        ("PUT", "/v1/episodios/12", "rest"),
        ("GET", "/feeds/a\nb", "ler-feed"),
        ("OPTIONS", "*", None),
    ],
)
def test_a_request_belongs_to_the_first_matching_class(method: str, path: str, name: str | None) -> None:
    for _ in range(2):  # the second time from the cache
        found = CLASSES.match(method, path)
        assert (found.name if found else None) == name


def test_missing_keys_have_defaults_consistent_with_the_other_keys() -> None:
    feed, save, rest = CLASSES.rules
    assert (feed.worth, feed.wanted_s, feed.gives_up_s, rest.methods) == (0.5, 1.0, 5.0, frozenset())
    assert (save.wanted_s, save.gives_up_s) == (6.0, 6.0)


def entry(**fields: str) -> Entry:
    return Entry(1e9, None, "GET", "/", 200, 0, 0, "10.0.0.7", "curl", "h", fields or None)


def test_a_client_is_identified_by_the_first_identity_that_its_request_has() -> None:
    assert CLASSES.wanted_fields() == {"sid", "x-client"}
    with_cookie = entry(sid="s", **{"x-client": "c"})
    with_header = entry(sid="-", **{"x-client": "c"})
    with_neither = entry()
    assert [CLASSES.client_of(e) for e in (with_cookie, with_header, with_neither)] == [
        "cookie:sid=s",
        "header:x-client=c",
        "10.0.0.7\0curl",
    ]
    unidentified = Entry(1e9, None, "GET", "/", 200, 0, 0, agent="curl")
    assert Classes(CLASSES.rules).client_of(unidentified) == ""


BASE = 'name = "a"\npath = "/a"\nrepeat = "safe"\n'


@pytest.mark.parametrize(
    "text, message",
    [
        ("[[class]", "not TOML"),
        ("x = 1", "'x' is not known"),
        ("", r"\[\[class\]\]"),
        ("class = 3", r"\[\[class\]\]"),
        ("class = [3]", r"class\[0\]: must be a table"),
        (f"[[class]]\n{BASE}colour = 1", r"class\[0\]: 'colour' is not known"),
        (f"[[class]]\n{BASE}[[class]]\n{BASE}", "there twice"),
        ("[[class]]\n" + BASE.replace('"a"', '"A b"'), "is no name"),
        ("[[class]]\n" + BASE.replace("safe", "maybe"), "class 'a': repeat 'maybe' is none of"),
        ("[[class]]\n" + BASE.replace('"/a"', '"re:["'), "class 'a': path 're:\\['.* is no regex"),
        ("[[class]]\n" + BASE.replace('"/a"', "7"), "class 'a': path must have"),
        (f"[[class]]\n{BASE}method = 7", "class 'a': method must be"),
        (f'[[class]]\n{BASE}method = ["G T"]', "class 'a': method must be"),
        (f"[[class]]\n{BASE}worth = -1", "class 'a': worth -1 is not within"),
        (f"[[class]]\n{BASE}wanted_s = true", "class 'a': wanted_s True is not within"),
        (f"[[class]]\n{BASE}wanted_s = 9.0\ngives_up_s = 3.0", "wanted_s is over gives_up_s"),
        (f"[[class]]\n{BASE}[identity]\nby = 1", "identity: only 'from'"),
        (f'[[class]]\n{BASE}[identity]\nfrom = ["cookie:"]', "identity.from: 'cookie:' is none of"),
        (f"[[class]]\n{BASE}[identity]\nfrom = []", "identity.from: None"),
    ],
)
def test_errors_of_classes_files_name_class_and_field(text: str, message: str) -> None:
    with pytest.raises(ClassesFileError, match=message):
        read_classes(text.encode())


@pytest.mark.parametrize(
    "path, shape",
    [
        ("/feeds/17", "/feeds/*"),
        ("/e/0b9e4c1a-77aa-4f0e-9d12-aaaaaaaaaaaa", "/e/*"),
        ("/v1/feeds", "/v1/feeds"),
        ("/a/deadbeefcafe/b", "/a/*/b"),
        ("/x/episodio-2026-10-11-final.mp3", "/x/*"),
        ("/", "/"),
        ("/a" * 20, "/a" * 11 + "/**"),
    ],
)
def test_shapes_replace_segments_that_identify_an_object(path: str, shape: str) -> None:
    assert shape_of("GET", path) == f"GET {shape}"


def test_frequent_shapes_are_counted_exactly_in_bounded_memory() -> None:
    shapes = Shapes(100)
    for n in range(20_000):
        shapes.add("GET", f"/page-{'abcdefghij'[n % 10]}{chr(97 + n // 10 % 26)}{chr(97 + n // 260 % 26)}")
        shapes.add("GET", f"/feeds/{n}")
    assert len(shapes.counts) <= 100 < MAX_SHAPES and shapes.total == 40_000
    [(name, count)] = shapes.most_common(1)
    assert name == "GET /feeds/*" and count == 20_000


METHODS = strategies.sampled_from(["GET", "PUT", "POST", "M-SEARCH"])
PARTS = strategies.text(max_size=12).filter(lambda text: "/" not in text)


@settings(max_examples=200, deadline=None)
@given(strategies.lists(strategies.tuples(METHODS, strategies.lists(PARTS, max_size=4)), min_size=1))
@example([("GET", ["2:"]), ("GET", [""]), ("GET", [":"])])  # `get-2` from a path, and from a suffix
def test_a_proposal_is_a_valid_classes_file_that_covers_all_methods(
    requests: list[tuple[str, list[str]]],
) -> None:
    shapes = Shapes()
    for method, parts in requests:
        shapes.add(method, "/" + "/".join(parts))
    text = propose(shapes.most_common(100), shapes.total, 0.1)
    classes = read_classes(text.encode())
    assert len(tomllib.loads(text)["class"]) == len({rule.name for rule in classes.rules})
    for method, _ in requests:
        assert method in {m for rule in classes.rules for m in rule.methods}
    for rule in classes.rules:
        assert rule.repeat == {"GET": "safe", "PUT": "keyed"}.get(next(iter(rule.methods)), "unsafe")
