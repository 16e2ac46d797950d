"""The fields of an access log format, and the construction of entries from their values. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import tzinfo
from typing import Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.traffic.entry import (
    MAX_TEXT,
    Entry,
    check_duration,
    method_of,
    size_of,
    status_of,
    target_of,
)
from orchidferry.testkit.traffic.log_values import address_of, any_time, number, split_request

Parser = Callable[[bytes], Entry]

KEYS = (
    "start",
    "end",
    "took",
    "request",
    "method",
    "target",
    "status",
    "sent",
    "received",
    "address",
    "agent",
    "host",
    "aborted",
    "spread",
)
NEEDED = ({"start", "end"}, {"request", "target"})  # a format has at least one key of each set
SPREAD_RESOLUTION_S = 1e-9  # above 0, which sets the flag `SPREAD`, and below the microsecond of a recording
NO_ANSWER = (0, 499)  # statuses of requests that the client aborted


class LogFormatError(OrchidferryError):
    """A log format can't be used; the text names the faulty part of the format."""


def build_entry(values: Mapping[str, Any], zone: tzinfo) -> Entry:
    """Make an entry from the values of a line.

    :param values: values by the keys in `KEYS`; other keys are headers and cookies. `took` is in seconds.
    :param zone: time zone of times without a zone.
    :raises EntryError: if a value can't be used.
    """
    took_s = values.get("took")
    if took_s is not None:
        took_s = check_duration(took_s)
    if "end" in values:
        start, resolution_s = any_time(values["end"], zone)
        start -= took_s or 0.0
    else:
        start, resolution_s = any_time(values.get("start"), zone)
    if "request" in values:
        method, target = split_request(values["request"])
    else:
        method = method_of(str(values.get("method", "GET")))
        target = target_of(str(values.get("target", "")))
    status = status_of(int(number(values.get("status"))))
    if values.get("spread"):
        resolution_s = SPREAD_RESOLUTION_S
    fields = {key: str(value)[:MAX_TEXT] for key, value in values.items() if key not in KEYS}
    return Entry(
        start,
        took_s,
        method,
        target,
        status,
        size_of(int(number(values.get("sent")))),
        size_of(int(number(values.get("received")))),
        address_of(str(values.get("address", ""))),
        str(values.get("agent", ""))[:MAX_TEXT],
        str(values.get("host", ""))[:MAX_TEXT],
        fields or None,
        resolution_s,
        status in NO_ANSWER or bool(values.get("aborted")),
    )


def require_keys(keys: set[str], text: str) -> None:
    """Check that a format has the keys that an entry needs.

    :param keys: the keys that the format has.
    :param text: the format, for the error text.
    :raises LogFormatError: if a key is missing.
    """
    for one in NEEDED:
        if not one & keys:
            raise LogFormatError(f"{text[:60]!r} lacks {' or '.join(sorted(one))}")
