"""Readers of single values of a scenario file.

Each reader takes what TOML gave and returns the value that the kit uses, or raises `ScenarioValueError`.
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
"""Characters of a value that an error quotes."""

MAX_TEXT = 200
MAX_PATH = 4_096


def shown(value: object) -> str:
    """A value as an error quotes it."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def duration(value: object) -> float:
    """A duration with its unit."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ScenarioValueError(f'{shown(value)} is no duration such as "250ms", "8s" or "2m"')
    return float(match[1]) * UNITS[match[2]]


def positive(reader: Callable[[object], float]) -> Callable[[object], float]:
    """What `reader` reads, above 0."""

    def read(value: object) -> float:
        result = reader(value)
        if result <= 0:
            raise ScenarioValueError(f"{shown(value)} must be above 0")
        return result

    return read


def number(low: float, high: float) -> Callable[[object], float]:
    """A number within these bounds."""

    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ScenarioValueError(f"{shown(value)} is no number")
        if not low <= value <= high:
            raise ScenarioValueError(f"{shown(value)} is not within {low:g} to {high:g}")
        return float(value)

    return read


def integer(low: int, high: int) -> Callable[[object], int]:
    """A whole number within these bounds."""

    def read(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ScenarioValueError(f"{shown(value)} is no whole number")
        if not low <= value <= high:
            raise ScenarioValueError(f"{shown(value)} is not within {low} to {high}")
        return value

    return read


def one_of(*words: str) -> Callable[[object], str]:
    """One of these words."""

    def read(value: object) -> str:
        if value not in words:
            raise ScenarioValueError(f"{shown(value)} is none of {', '.join(words)}")
        return str(value)

    return read


def short_name(value: object) -> str:
    """A name of small letters, digits and hyphens."""
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise ScenarioValueError(f"{shown(value)} is no name of small letters, digits and hyphens")
    return value


def line_of_text(value: object) -> str:
    """A line of printable text."""
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT or not value.isprintable():
        raise ScenarioValueError(f"{shown(value)} is no line of text")
    return value


def file_path(value: object) -> str:
    """The path of a file."""
    if not isinstance(value, str) or not value or len(value) > MAX_PATH or "\0" in value:
        raise ScenarioValueError(f"{shown(value)} is no path of a file")
    return value


def boolean(value: object) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise ScenarioValueError(f"{shown(value)} is neither true nor false")
    return value


def command_line(value: object) -> tuple[str, ...]:
    """A program and its arguments."""
    if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
        raise ScenarioValueError(f"{shown(value)} is no list of a program and its arguments")
    return tuple(value)


def duration_range(value: object) -> tuple[float, float]:
    """Two durations, from and to; one stands for both."""
    if isinstance(value, list):
        if len(value) != 2:
            raise ScenarioValueError(f"{shown(value)} must be two durations, from and to")
        low = duration(value[0])
        high = duration(value[1])
        if low > high:
            raise ScenarioValueError(f"{shown(value)} must rise")
        return low, high
    return duration(value), duration(value)


def number_range(low: float, high: float) -> Callable[[object], tuple[float, float]]:
    """Two numbers within these bounds, from and to; one stands for both."""
    reader = number(low, high)

    def read(value: object) -> tuple[float, float]:
        pair = value if isinstance(value, list) else [value, value]
        if len(pair) != 2:
            raise ScenarioValueError(f"{shown(value)} must be one number, or two from and to")
        start = reader(pair[0])
        end = reader(pair[1])
        if start > end:
            raise ScenarioValueError(f"{shown(value)} must rise")
        return start, end

    return read


SHARE = number(0.0, 1.0)
POSITIVE_S = positive(duration)


def setting(reader: Callable[[object], Any], default: Any = MISSING, file_key: str = "") -> Any:
    """A dataclass field that is read from a file.

    :param reader: reads its value
    :param file_key: its name in files, where that differs from the attribute's
    """
    metadata = {"reader": reader, "file_key": file_key}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)
