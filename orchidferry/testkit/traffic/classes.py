"""Classes of recorded requests: reads classes files, and proposes one from the traffic.

A classes file is TOML:

    [[class]]
    name = "ler-feed"
    path = "/feeds/*"            # a glob: * within a segment, ** across segments; or a regex: "re:^/feeds/"
    method = "GET"               # a method or a list of them; default: all methods
    repeat = "safe"              # safe, keyed or unsafe
    worth = 1.0                  # optional, like wanted_s and gives_up_s

    [identity]                   # optional: what identifies a client; the first that a request has is used
    from = ["cookie:sid", "header:x-client", "address+agent"]

A request belongs to the first class that matches it.
"""

from __future__ import annotations

import itertools
import re
import tomllib
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.traffic.entry import METHOD, Entry

MAX_CLASSES = 256
MAX_PATTERN = 1_024  # characters of a path pattern
MAX_SHAPES = 10_000  # shapes that are counted at once; the rarest are evicted
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
REPEATS = ("safe", "keyed", "unsafe")
SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE")  # RFC 9110, section 9.2.1
IDEMPOTENT = ("PUT", "DELETE")  # RFC 9110, section 9.2.2: may be sent again as well
# Numeric keys of a class, with their minimum and maximum; keys that end in _s are in seconds.
NUMBERS = {"worth": (0.0, 1e6), "wanted_s": (0.001, 3_600.0), "gives_up_s": (0.001, 3_600.0)}
DEFAULT_IDENTITY = ("address+agent",)
# Path segments that identify an object: numbers, hex, UUIDs, and long words that contain digits
OBJECT = re.compile(r"\d+|[0-9a-fA-F]{8,}|[0-9a-fA-F-]{32,36}|(?=[^/]*\d)[\w.~%-]{16,}")


class ClassesFileError(OrchidferryError):
    """A classes file can't be used; the text names the class and field."""


@dataclass(frozen=True, slots=True)
class ClassRule:
    """One class of a classes file, and the requests that it matches."""

    name: str
    pattern: re.Pattern[str]  # pattern of the path
    methods: frozenset[str]  # in upper case; empty: all methods
    repeat: str  # safe, keyed or unsafe
    path: str = ""  # the glob or regex as written in the file
    worth: float = 1.0
    wanted_s: float = 1.0  # time within which an answer is wanted
    gives_up_s: float = 5.0  # time after which a client gives up


@dataclass(frozen=True, slots=True)
class Classes:
    """All classes of a file, and the fields that identify a client."""

    rules: tuple[ClassRule, ...]
    identity: tuple[str, ...] = DEFAULT_IDENTITY
    _cache: dict[tuple[str, str], ClassRule | None] = field(default_factory=dict, compare=False, repr=False)

    def match(self, method: str, path: str) -> ClassRule | None:
        """:returns: the first class that matches a request; None if none does."""
        key = method, path
        if key in self._cache:
            return self._cache[key]
        found = next(
            (
                rule
                for rule in self.rules
                if (not rule.methods or method in rule.methods) and rule.pattern.search(path)
            ),
            None,
        )
        if len(self._cache) >= MAX_SHAPES:
            self._cache.clear()
        self._cache[key] = found
        return found

    def wanted_fields(self) -> frozenset[str]:
        """:returns: names of the headers and cookies that identify clients, in lower case."""
        return frozenset(one.partition(":")[2] for one in self.identity if ":" in one)

    def client_of(self, entry: Entry) -> str:
        """:returns: a text that identifies the client of a request; empty if none of it was logged."""
        for one in self.identity:
            if ":" in one:
                value = (entry.fields or {}).get(one.partition(":")[2], "")
                if value and value != "-":
                    return f"{one}={value}"
            else:
                values = [entry.address if part == "address" else entry.agent for part in one.split("+")]
                if values[0]:
                    return "\0".join(values)
        return ""


def glob(text: str) -> str:
    """:returns: a path's glob as a regex: `*` and `?` match within a segment, `**` across segments."""
    found = []
    for part in re.split(r"(\*\*|\*|\?)", text):
        found.append({"**": ".*", "*": "[^/]*", "?": "[^/]"}.get(part, re.escape(part)))
    return "".join(found)


def _pattern(text: Any, where: str) -> re.Pattern[str]:
    if not isinstance(text, str) or not text or len(text) > MAX_PATTERN:
        raise ClassesFileError(f"{where}: path must have 1 to {MAX_PATTERN} characters")
    try:
        if text.startswith("re:"):
            return re.compile(text[3:])
        return re.compile(rf"\A{glob(text)}\Z", re.DOTALL)
    except re.error as problem:
        raise ClassesFileError(f"{where}: path {text!r:.60} is no regex: {problem}") from None


def _methods(value: Any, where: str) -> frozenset[str]:
    names = [value] if isinstance(value, str) else value
    if not isinstance(names, list) or not all(isinstance(n, str) and METHOD.fullmatch(n) for n in names):
        raise ClassesFileError(f"{where}: method must be a name or a list of names")
    return frozenset(name.upper() for name in names)


def read_classes(data: bytes) -> Classes:
    """Parse a classes file.

    :param data: the file's content.
    :raises ClassesFileError: if it can't be used.
    """
    try:
        obj = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ClassesFileError(f"not TOML: {problem!s:.100}") from None
    if unknown := sorted(obj.keys() - {"class", "identity"}):
        raise ClassesFileError(f"{unknown[0]!r} is not known")
    rows = obj.get("class")
    if not isinstance(rows, list) or not rows or len(rows) > MAX_CLASSES:
        raise ClassesFileError(f"[[class]]: 1 to {MAX_CLASSES} of them are needed")
    rules: list[ClassRule] = []
    for at, row in enumerate(rows):
        rules.append(_rule(row, f"class[{at}]"))
        if rules[-1].name in {rule.name for rule in rules[:-1]}:
            raise ClassesFileError(f"class[{at}]: name {rules[-1].name!r} is there twice")
    return Classes(tuple(rules), _identity(obj.get("identity", {})))


def _rule(row: Any, where: str) -> ClassRule:
    if not isinstance(row, dict):
        raise ClassesFileError(f"{where}: must be a table")
    if unknown := sorted(row.keys() - {"name", "path", "method", "repeat", *NUMBERS}):
        raise ClassesFileError(f"{where}: {unknown[0]!r} is not known")
    name = row.get("name")
    repeat = row.get("repeat")
    if not isinstance(name, str) or not NAME.fullmatch(name):
        raise ClassesFileError(f"{where}: name {name!r:.60} is no name of small letters, digits and hyphens")
    where = f"class {name!r}"
    if repeat not in REPEATS:
        raise ClassesFileError(f"{where}: repeat {repeat!r:.60} is none of {', '.join(REPEATS)}")
    numbers: dict[str, float] = {}
    for key, (low, high) in NUMBERS.items():
        value = row.get(key)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ClassesFileError(f"{where}: {key} {value!r:.60} is not within {low:g} to {high:g}")
        numbers[key] = float(value)
    if numbers.get("wanted_s", 1.0) > numbers.get("gives_up_s", max(5.0, numbers.get("wanted_s", 1.0))):
        raise ClassesFileError(f"{where}: wanted_s is over gives_up_s")
    if "wanted_s" in numbers and "gives_up_s" not in numbers:
        numbers["gives_up_s"] = max(5.0, numbers["wanted_s"])
    methods = _methods(row.get("method", []), where)
    return ClassRule(name, _pattern(row.get("path"), where), methods, repeat, row["path"], **numbers)


def _identity(obj: Any) -> tuple[str, ...]:
    if not isinstance(obj, dict) or obj.keys() - {"from"}:
        raise ClassesFileError("identity: only 'from' is known")
    found = obj.get("from", list(DEFAULT_IDENTITY))
    for one in found if isinstance(found, list) and found else [None]:
        kind, _, name = one.partition(":") if isinstance(one, str) else ("", "", "")
        if one not in ("address", "agent", "address+agent") and not (kind in ("cookie", "header") and name):
            raise ClassesFileError(
                f"identity.from: {one!r:.60} is none of address, agent, address+agent, cookie:X, header:X"
            )
    return tuple(one.lower() if ":" in one else one for one in found)


def shape_of(method: str, path: str) -> str:
    """:returns: a request's shape: its method and path, with `*` for segments that identify an object."""
    parts = path.split("/")
    if len(parts) > 12:
        parts = [*parts[:12], "**"]
    return f"{method} " + "/".join("*" if OBJECT.fullmatch(part) else part[:64] for part in parts)


class Shapes:
    """Counts the most frequent shapes in bounded memory.

    A variant of the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005).

    :param capacity: maximum number of shapes that are counted at once.
    """

    def __init__(self, capacity: int = MAX_SHAPES) -> None:
        self._capacity = capacity
        self.counts: Counter[str] = Counter()
        self.total = 0

    def add(self, method: str, path: str, count: int = 1) -> None:
        """Count a request.

        At the capacity, the rarest tenth of the shapes is evicted, and the new shape starts with the highest
        count among the evicted ones. So a count is never too low, and too high by at most that count.

        :param count: number of such requests.
        """
        self.total += count
        shape = shape_of(method, path)
        if shape not in self.counts and len(self.counts) >= self._capacity:
            rare = self.counts.most_common()[: -self._capacity // 10 - 1 : -1]  # rarest first
            for name, _ in rare:
                del self.counts[name]
            count += rare[-1][1]
        self.counts[shape] += count

    def most_common(self, count: int) -> list[tuple[str, int]]:
        """:returns: the `count` most frequent shapes, each with an upper bound of its count."""
        return self.counts.most_common(count)


def propose(shapes: Iterable[tuple[str, int]], total: int, min_share: float = 0.002) -> str:
    """Write a classes file for this traffic, to be reviewed by somebody who knows the service.

    Methods that are safe in HTTP are proposed as safe, PUT and DELETE as keyed, and all others as unsafe.

    :param shapes: frequent shapes with their counts.
    :param total: number of all requests.
    :param min_share: rarer shapes get one class for each method.
    :returns: the content of the file.
    """
    lines = [
        "# Proposed from recorded traffic. Look through `repeat`: only you know what may be sent twice.",
        "",
    ]
    names: set[str] = set()
    rest: dict[str, int] = {}
    for shape, count in sorted(shapes, key=lambda one: (-one[1], one[0])):
        method, _, path = shape.partition(" ")
        if count < min_share * total or len(names) >= MAX_CLASSES - 8:
            rest[method] = rest.get(method, 0) + count
            continue
        lines += _proposal(method, path, count / max(1, total), names)
    for method, count in sorted(rest.items()):
        lines += _proposal(method, "/**", count / max(1, total), names)
    return "\n".join(lines)


def _proposal(method: str, path: str, share: float, names: set[str]) -> list[str]:
    words = [w for w in re.sub(r"[^a-z0-9/]+", "-", path.lower()).split("/") if w.strip("-")]
    base = "-".join([method.lower(), *(w.strip("-") for w in words)])[:34].strip("-") or "request"
    base = re.sub("-{2,}", "-", re.sub("[^a-z0-9-]", "", base)).strip("-") or "request"
    name = next(name for name in _numbered(base) if name not in names)
    names.add(name)
    repeat = "safe" if method in SAFE_METHODS else "keyed" if method in IDEMPOTENT else "unsafe"
    shown = path.replace("\\", "\\\\").replace('"', '\\"')
    shown = "".join(c if c.isprintable() else "?" for c in shown)
    return [
        "[[class]]",
        f'name = "{name}"',
        f'path = "{shown}"',
        f'method = "{method}"',
        f'repeat = "{repeat}"',
        f"# {share:.1%} of the requests",
        "",
    ]


def _numbered(base: str) -> Iterator[str]:
    """Iterate over a name, and the same name with the suffixes -2, -3 and so on."""
    yield base
    yield from (f"{base}-{number}" for number in itertools.count(2))


def mix(counts: Mapping[str, int]) -> dict[str, float]:
    """:returns: the fraction of the requests by class, sorted by name; empty if there are no requests."""
    total = sum(counts.values())
    return {name: count / total for name, count in sorted(counts.items())} if total else {}
