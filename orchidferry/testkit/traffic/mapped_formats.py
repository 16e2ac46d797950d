"""Log formats that map keys to fields: JSON objects, and columns. No I/O."""

from __future__ import annotations

import csv
import json
import re
from collections.abc import Sequence
from datetime import tzinfo
from typing import Any

from orchidferry.testkit.traffic.entry import Entry, EntryError
from orchidferry.testkit.traffic.log_fields import LogFormatError, Parser, build_entry, require_keys
from orchidferry.testkit.traffic.log_values import UNITS, number

# Field of JSON or number of a column, and optionally its unit
FIELD = re.compile(r"([\w.@+-]+?)(?::(s|ms|us|ns))?")


def _parse_mapping(text: str) -> dict[str, tuple[list[str], float]]:
    """Parse `KEY=FIELD,...`.

    :returns: by key, the names of the fields and their unit in seconds; only `took` may have several fields.
    :raises LogFormatError: if the text is not a mapping, or lacks a key that an entry needs.
    """
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
    """Add up the fields of a duration; ALB writes -1 for a phase that was not reached.

    :param values: of the fields.
    :param unit: of the fields, in seconds.
    :returns: seconds; None if no field has a value.
    """
    numbers = [number(value) for value in values if value not in ("-", "", None)]
    return sum(max(0.0, one) for one in numbers) * unit if numbers else None


def json_format(text: str, zone: tzinfo) -> Parser:
    """Compile a format with one JSON object per line.

    :param text: the mapping, without `json:`.
    :param zone: time zone of times without a zone.
    :returns: the parser of a line.
    :raises LogFormatError: if the format can't be used.
    """
    fields = _parse_mapping(text)
    paths = {key: ([name.split(".") for name in names], unit) for key, (names, unit) in fields.items()}

    def look_up(obj: Any, path: Sequence[str]) -> Any:
        for at, name in enumerate(path):
            if not isinstance(obj, dict):
                return None
            if name not in obj:
                return obj.get(".".join(path[at:]))  # the key itself contains dots
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
            found = [look_up(obj, path) for path in names]
            value = _took(found, unit) if key == "took" else found[0]
            if value is not None:
                values[key] = value
        if isinstance(values.get("request"), str) or "request" not in values:
            return build_entry(values, zone)
        raise EntryError("a request line that can't be read")

    return parse


def column_format(text: str, separator: str, zone: tzinfo) -> Parser:
    """Compile a format with columns.

    :param text: the mapping, without `tab:` or `space:`.
    :param separator: of the columns.
    :param zone: time zone of times without a zone.
    :returns: the parser of a line.
    :raises LogFormatError: if the format can't be used.
    """
    fields = _parse_mapping(text)
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
        return build_entry(values, zone)

    return parse
