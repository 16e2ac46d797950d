"""Parses values of access logs: times, numbers, addresses, request lines. No I/O."""

from __future__ import annotations

import calendar
import functools
import re
from datetime import datetime, tzinfo
from typing import Any

from orchidferry.testkit.traffic.entry import MAX_TEXT, EntryError, check_time, method_of, target_of

UNITS = {"s": 1.0, "ms": 1e-3, "us": 1e-6, "ns": 1e-9}
MONTHS = {name: at for at, name in enumerate(calendar.month_abbr) if name}
CLF_TIME = r"\d{2}/[A-Za-z]{3}/\d{4}:\d{2}:\d{2}:\d{2} [+-]\d{4}"
CLF = re.compile(CLF_TIME, re.ASCII)


@functools.lru_cache(maxsize=4_096)  # a busy log has hundreds of lines with the same second
def clf_time(text: str) -> float:
    """Parse a time of the Common Log Format, such as `10/Oct/2026:13:55:36 -0300`.

    :returns: seconds since 1970.
    :raises EntryError: if the text is not such a time.
    """
    try:
        if not CLF.fullmatch(text):
            raise ValueError
        day = int(text[:2])
        month = MONTHS[text[3:6]]
        year = int(text[7:11])
        hour = int(text[12:14])
        minute = int(text[15:17])
        second = int(text[18:20])
        zone = int(text[22:24]) * 3600 + int(text[24:26]) * 60
        if second > 60 or minute > 59 or hour > 23:
            raise ValueError
        datetime(year, month, day)
        at = calendar.timegm((year, month, day, hour, minute, second)) - (-zone if text[21] == "-" else zone)
    except (ValueError, KeyError, IndexError):
        raise EntryError("a time that can't be read") from None
    return check_time(float(at))


def any_time(value: Any, zone: tzinfo) -> tuple[float, float]:
    """Parse a time: Unix time in s, ms, us or ns, ISO 8601, or the Common Log Format.

    :param zone: time zone of a time without a zone.
    :returns: seconds since 1970, and the resolution: 1.0 for whole seconds, 0.0 for a finer one.
    :raises EntryError: if the value is not a time.
    """
    if isinstance(value, bool) or value is None:
        raise EntryError("no time")
    if not isinstance(value, str):
        return _epoch(float(value)), 0.0 if float(value) % 1.0 or value > 1e11 else 1.0
    text = value.strip("[] ")
    if re.fullmatch(r"\d{9,19}(\.\d+)?", text):
        return _epoch(float(text)), 1.0 if len(text) == 10 else 0.0
    if CLF.fullmatch(text):
        return clf_time(text), 1.0
    try:
        found = datetime.fromisoformat(text)
    except ValueError:
        raise EntryError("a time that can't be read") from None
    if found.tzinfo is None:
        found = found.replace(tzinfo=zone)
    return check_time(found.timestamp()), 0.0 if "." in text or "," in text else 1.0


def _epoch(value: float) -> float:
    """Convert Unix time to seconds; the unit (s, ms, us or ns) is inferred from the magnitude."""
    for limit, unit in ((1e11, 1.0), (1e14, 1e-3), (1e17, 1e-6)):
        if value < limit:
            return check_time(value * unit)
    return check_time(value * 1e-9)


def number(value: Any) -> float:
    """Parse a number; `-` and an empty text are 0.

    :raises EntryError: if the value is not a finite number.
    """
    if value in ("-", "", None):
        return 0.0
    try:
        found = float(value)
    except (TypeError, ValueError):
        raise EntryError("a number that can't be read") from None
    if found != found or found in (float("inf"), float("-inf")):
        raise EntryError("a number that can't be read")
    return found


def address_of(text: str) -> str:
    """:returns: the address of a client without its port; the first of a list that proxies extended."""
    text = text.partition(",")[0].strip()
    if text.startswith("["):
        return text[1:].partition("]")[0]
    if text.count(":") == 1:
        text = text.partition(":")[0]
    return "" if text == "-" else text[:MAX_TEXT]


ESCAPE = re.compile(r"\\(?:x([0-9a-fA-F]{2})|(.))")  # as Apache and nginx escape characters
ESCAPED_CHARACTERS = {"n": "\n", "t": "\t", "r": "\r", "b": "\b", "v": "\v"}


def unescaped(text: str) -> str:
    r""":returns: the text with the escapes of a server decoded, such as `\\x22` and `\\"`."""
    if "\\" not in text:
        return text
    return ESCAPE.sub(lambda m: chr(int(m[1], 16)) if m[1] else ESCAPED_CHARACTERS.get(m[2], m[2]), text)


def split_request(text: str) -> tuple[str, str]:
    """Split a request line.

    :returns: the method and the target.
    :raises EntryError: if the text is not a request line.
    """
    method, _, rest = text.partition(" ")
    target, _, version = rest.rpartition(" ")
    if not version.startswith("HTTP/"):
        target = rest
    if not method or not target or " " in target:
        raise EntryError("a request line that can't be read")
    return method_of(method), target_of(target)
