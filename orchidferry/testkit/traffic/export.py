"""Exports a recording as a log of JSON lines, with the log format and classes file to import it again.

Other tools can read this log. A test imports it again to check that a recording is complete: the result is
the same recording except for the hashes, as each import draws a new key. Clients and objects are exported as
their hashes; a recording contains no text of the original log.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, NO_TIME, SPREAD, Header, Rows

LOG_FORMAT = (
    "json:start=t,took=took_us:us,method=method,target=target,status=status,sent=sent,received=received,"
    "aborted=aborted,spread=spread,x-client=client"
)
BEGAN = int(
    datetime(2026, 1, 5, tzinfo=UTC).timestamp() * 1e6
)  # us since 1970; an arbitrary Monday, as a recording does not contain its date
METHODS = {"safe": "GET", "keyed": "PUT"}  # by `repeat` of the class; others: POST


def classes_text(header: Header) -> str:
    """:returns: the classes file with which the exported log can be imported."""
    lines = []
    for row in header.classes:
        lines += [
            "[[class]]",
            f'name = "{row["name"]}"',
            f'path = "/{row["name"]}/**"',
            f'repeat = "{row["repeat"]}"',
        ]
        lines += [f"{key} = {float(row[key])!r}" for key in ("worth", "wanted_s", "gives_up_s") if key in row]
        lines.append("")
    return "\n".join([*lines, "[identity]", 'from = ["header:x-client"]', ""])


def lines(header: Header, blocks: Iterator[Rows]) -> Iterator[bytes]:
    """Format rows as a log of JSON lines.

    :param header: of the recording.
    :param blocks: the rows of the recording.
    :returns: a line for each request; times are in seconds since 1970, to the microsecond.
    """
    names = [(f"/{row['name']}/", METHODS.get(row["repeat"], "POST")) for row in header.classes]
    for rows in blocks:
        for t, client, object_hash, took, sent, received, _, cls, status, flags, _ in rows.tolist():
            path, method = names[cls]
            seconds, microseconds = divmod(BEGAN + t, 1_000_000)
            row: dict[str, Any] = {
                "t": f"{seconds}.{microseconds:06d}",
                "method": method,
                "target": f"{path}{object_hash:x}",
                "status": status,
                "sent": sent,
                "received": received,
            }
            if took != NO_TIME:
                row["took_us"] = took
            if client:
                row["client"] = f"{client:x}"
            if flags & ABORTED:
                row["aborted"] = True
            if flags & SPREAD:
                row["spread"] = True
            yield json.dumps(row).encode() + b"\n"


def first_difference(one: Rows, other: Rows) -> str:
    """Compare two recordings; hashes of clients and objects only have to correspond one to one.

    :returns: a description of the first difference; empty if there is none.
    """
    if len(one) != len(other):
        return f"{len(one)} and {len(other)} requests"
    for name in ("t", "took", "sent", "received", "cls", "status", "flags", "chain", "number"):
        at = np.flatnonzero(one[name] != other[name])
        if len(at):
            return f"{name} of request {at[0]}: {one[name][at[0]]} and {other[name][at[0]]}"
    for name in ("client", "object"):
        pairs = len(np.unique(np.stack([one[name], other[name]]), axis=1).T)
        if not pairs == len(np.unique(one[name])) == len(np.unique(other[name])):
            return f"{name}s are not one for one"
    return ""
