"""Forms given as a map from keys to fields: JSON objects, and columns. No I/O."""

from __future__ import annotations

import csv
import json
import re
from collections.abc import Sequence
from datetime import tzinfo
from typing import Any

from orchidferry.testkit.traffic.entry import Entry, EntryError
from orchidferry.testkit.traffic.log_fields import LogFormatError, Parser, build, require_keys
from orchidferry.testkit.traffic.log_values import UNITS, number

FIELD = re.compile(r"([\w.@+-]+?)(?::(s|ms|us|ns))?")


def _map(text: str) -> dict[str, tuple[list[str], float]]:
    found: dict[str, tuple[list[str], float]] = {}
    for one in text.split(","):
        key, equals, value = one.strip().partition("=")
        match = FIELD.fullmatch(value)
        if not equals or not key or match is None:
            raise LogFormatError(f"{one!r:.60} is not KEY=FIELD")
        if match[2] and key != "took":
            raise LogFormatError(f"{one!r:.60}: only took has a unit")
        found[key.lower()] = match[1].split("+") if key == "took" else [match[1]], UNITS[match[2] or "s"]
    require_keys(set(found), text)
    return found


def _took(values: Sequence[Any], unit: float) -> float | None:
    """A duration that may be the sum of several fields; ALB writes -1 for one that never came to be."""
    numbers = [number(value) for value in values if value not in ("-", "", None)]
    return sum(max(0.0, one) for one in numbers) * unit if numbers else None


def json_format(text: str, zone: tzinfo) -> Parser:
    """The parser of a JSON object a line."""
    fields = _map(text)
    paths = {key: ([name.split(".") for name in names], unit) for key, (names, unit) in fields.items()}

    def reach(obj: Any, path: Sequence[str]) -> Any:
        for at, name in enumerate(path):
            if not isinstance(obj, dict):
                return None
            if name not in obj:
                return obj.get(".".join(path[at:]))  # a key that has dots itself
            obj = obj[name]
        return obj

    def parse(line: bytes) -> Entry:
        try:
            obj = json.loads(line)
        except (ValueError, RecursionError):
            raise EntryError("not JSON") from None
        if not isinstance(obj, dict):
            raise EntryError("JSON that is no object")
        values: dict[str, Any] = {}
        for key, (names, unit) in paths.items():
            got = [reach(obj, path) for path in names]
            value = _took(got, unit) if key == "took" else got[0]
            if value is not None:
                values[key] = value
        if isinstance(values.get("request"), str) or "request" not in values:
            return build(values, zone)
        raise EntryError("a request line that can't be read")

    return parse


def column_format(text: str, separator: str, zone: tzinfo) -> Parser:
    """The parser of columns."""
    fields = _map(text)
    columns: dict[str, tuple[list[int], float]] = {}
    for key, (names, unit) in fields.items():
        try:
            columns[key] = [int(name) - 1 for name in names], unit
        except ValueError:
            raise LogFormatError(f"{key}={'+'.join(names)}: columns are numbers from 1") from None
        if min(columns[key][0]) < 0:
            raise LogFormatError(f"{key}: columns are numbers from 1")
    last = max(max(at) for at, _ in columns.values())

    def parse(line: bytes) -> Entry:
        try:
            row = next(csv.reader([line.decode("utf-8", "replace")], delimiter=separator))
        except (csv.Error, StopIteration):
            raise EntryError("columns that can't be read") from None
        if len(row) <= last:
            raise EntryError("too few columns")
        values: dict[str, Any] = {}
        for key, (at, unit) in columns.items():
            value = _took([row[n] for n in at], unit) if key == "took" else row[at[0]]
            if value is not None and value != "-":
                values[key] = value
        return build(values, zone)

    return parse
