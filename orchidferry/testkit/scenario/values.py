"""Readers that validate and convert single values of a scenario file.

Each reader takes a value from the TOML parser and returns the value that the kit uses, or raises
`ScenarioValueError`.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import MISSING, field
from typing import Any

from orchidferry.testkit.scenario.errors import ScenarioValueError

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
DURATION = re.compile(r"([0-9]{1,7}(?:\.[0-9]{1,6})?)(ms|s|m|h)")
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3_600.0}
MAX_SHOWN = 40
"""How many characters of a value an error message quotes."""

MAX_TEXT = 200
"""Length limit of a line of text, in characters."""

MAX_PATH = 4_096
"""Length limit of a path, in characters."""


def shown(value: object) -> str:
    """A value as error messages quote it, truncated to `MAX_SHOWN` characters."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def duration(value: object) -> float:
    """Read a duration with a unit; returns seconds."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ScenarioValueError(f'{shown(value)} is not a duration such as "250ms", "8s" or "2m"')
    return float(match[1]) * UNITS[match[2]]


def positive(reader: Callable[[object], float]) -> Callable[[object], float]:
    """A reader that accepts only the values of another reader that are above 0."""

    def read(value: object) -> float:
        result = reader(value)
        if result <= 0:
            raise ScenarioValueError(f"{shown(value)} must be above 0")
        return result

    return read


def number(low: float, high: float) -> Callable[[object], float]:
    """A reader of numbers within bounds, which are included."""

    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ScenarioValueError(f"{shown(value)} is not a number")
        if not low <= value <= high:
            raise ScenarioValueError(f"{shown(value)} is not within {low:g} to {high:g}")
        return float(value)

    return read


def integer(low: int, high: int) -> Callable[[object], int]:
    """A reader of integers within bounds, which are included."""

    def read(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ScenarioValueError(f"{shown(value)} is not an integer")
        if not low <= value <= high:
            raise ScenarioValueError(f"{shown(value)} is not within {low} to {high}")
        return value

    return read


def one_of(*words: str) -> Callable[[object], str]:
    """A reader that accepts only these words."""

    def read(value: object) -> str:
        if value not in words:
            raise ScenarioValueError(f"{shown(value)} is not one of {', '.join(words)}")
        return str(value)

    return read


def short_name(value: object) -> str:
    """Read a name of up to 40 lower-case letters, digits and hyphens."""
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise ScenarioValueError(f"{shown(value)} is not a name of lower-case letters, digits and hyphens")
    return value


def line_of_text(value: object) -> str:
    """Read a line of printable text."""
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT or not value.isprintable():
        raise ScenarioValueError(f"{shown(value)} is not a line of text")
    return value


def file_path(value: object) -> str:
    """Read the path of a file."""
    if not isinstance(value, str) or not value or len(value) > MAX_PATH or "\0" in value:
        raise ScenarioValueError(f"{shown(value)} is not the path of a file")
    return value


def boolean(value: object) -> bool:
    """Read true or false."""
    if not isinstance(value, bool):
        raise ScenarioValueError(f"{shown(value)} is neither true nor false")
    return value


def command_line(value: object) -> tuple[str, ...]:
    """Read a list of a program and its arguments."""
    if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
        raise ScenarioValueError(f"{shown(value)} is not a list of a program and its arguments")
    return tuple(value)


def duration_range(value: object) -> tuple[float, float]:
    """Read a list of two durations, minimum and maximum, or a single duration that stands for both."""
    if isinstance(value, list):
        if len(value) != 2:
            raise ScenarioValueError(f"{shown(value)} must be two durations, minimum and maximum")
        low = duration(value[0])
        high = duration(value[1])
        if low > high:
            raise ScenarioValueError(f"{shown(value)}: the minimum is above the maximum")
        return low, high
    return duration(value), duration(value)


def number_range(low: float, high: float) -> Callable[[object], tuple[float, float]]:
    """A reader of two numbers within bounds, minimum and maximum, or of a single number for both."""
    reader = number(low, high)

    def read(value: object) -> tuple[float, float]:
        pair = value if isinstance(value, list) else [value, value]
        if len(pair) != 2:
            raise ScenarioValueError(f"{shown(value)} must be one number, or two: minimum and maximum")
        smallest = reader(pair[0])
        largest = reader(pair[1])
        if smallest > largest:
            raise ScenarioValueError(f"{shown(value)}: the minimum is above the maximum")
        return smallest, largest

    return read


SHARE = number(0.0, 1.0)
POSITIVE_S = positive(duration)


def setting(reader: Callable[[object], Any], default: Any = MISSING, file_key: str = "") -> Any:
    """A dataclass field that is read from a scenario file.

    :param reader: validates and converts the value from the file
    :param default: the value if the file has none; without a default the file must have one
    :param file_key: the name of the field in files, if it differs from the attribute's
    """
    metadata = {"reader": reader, "file_key": file_key}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)
