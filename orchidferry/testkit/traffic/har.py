"""HAR 1.2 as browsers export it, an entry at a time: a file of gigabytes takes the memory of one entry.

Read by ijson, which streams. A file that is cut off gives what came whole. What browsers add (`_error`,
`_resourceType`, `_webSocketMessages`, ...) is known where it says that an entry is no request and answer.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import ijson

from orchidferry.testkit.traffic.entry import (
    MAX_TEXT,
    Entry,
    EntryError,
    duration,
    method_of,
    moment,
    size_of,
    status_of,
    target_of,
)
from orchidferry.testkit.traffic.log_values import address_of

MAX_DEPTH = 64
SCHEMES = ("http://", "https://")


class _Stream:
    """Chunks as the file that ijson wants."""

    def __init__(self, chunks: Iterable[bytes]) -> None:
        self._chunks = iter(chunks)
        self._left = b""

    def read(self, size: int = -1) -> bytes:
        if not self._left:
            self._left = next(self._chunks, b"")
        if size < 0:
            size = len(self._left)
        data = self._left[:size]
        self._left = self._left[size:]
        return data


def _shallow(events: Iterable[tuple[str, Any]]) -> Iterator[tuple[str, Any]]:
    """Stop at a depth that no HAR has: paths to where one is grow with it, and would fill all memory."""
    depth = 0
    for event in events:
        kind = event[0]
        if kind in ("start_map", "start_array"):
            depth += 1
            if depth > MAX_DEPTH:
                raise RecursionError
        elif kind in ("end_map", "end_array"):
            depth -= 1
        yield event


def _number(obj: Any, default: float = -1.0) -> float:
    if isinstance(obj, bool) or not isinstance(obj, int | float):
        return default
    return float(obj)


def _fields(request: Any, wanted: frozenset[str]) -> dict[str, str]:
    found: dict[str, str] = {}
    for kind in ("headers", "cookies"):
        rows = request.get(kind)
        for row in rows if isinstance(rows, list) else ():
            if (
                isinstance(row, dict)
                and isinstance(row.get("name"), str)
                and isinstance(row.get("value"), str)
            ):
                name = row["name"].lower()
                if name in wanted or name in ("user-agent", "host"):
                    found[name] = row["value"][:MAX_TEXT]
    return found


def entry_of(obj: Any, wanted: frozenset[str] = frozenset()) -> Entry:
    """Parse one object of `log.entries`.

    :param wanted: headers and cookies to keep, in lower case.
    :raises EntryError: if it is no request.
    """
    if not isinstance(obj, dict) or not isinstance(obj.get("request"), dict):
        raise EntryError("an entry without a request")
    request = obj["request"]
    response = obj["response"] if isinstance(obj.get("response"), dict) else {}
    url = request.get("url")
    if not isinstance(url, str):
        raise EntryError("an entry without a URL")
    if not url.lower().startswith(SCHEMES):
        raise EntryError("a URL that is not of HTTP")
    status = status_of(int(_number(response.get("status"), 0.0)))
    if obj.get("_webSocketMessages") is not None or status == 101:
        raise EntryError("a WebSocket, which is no request and answer")
    started = obj.get("startedDateTime")
    try:
        at = datetime.fromisoformat(started) if isinstance(started, str) else None
    except ValueError:
        at = None
    if at is None or at.tzinfo is None:
        raise EntryError("a time that can't be read")
    fields = _fields(request, wanted)
    content = response["content"] if isinstance(response.get("content"), dict) else {}
    sent = max(_number(response.get("bodySize")), _number(content.get("size")), 0.0)
    post = request["postData"] if isinstance(request.get("postData"), dict) else {}
    received = max(_number(request.get("bodySize")), float(len(str(post.get("text", "")))))
    took_ms = _number(obj.get("time"))
    host = url.partition("://")[2].partition("/")[0].partition("?")[0].rpartition("@")[2]
    extra = {name: value for name, value in fields.items() if name in wanted}
    return Entry(
        moment(at.timestamp()),
        duration(took_ms / 1000.0) if took_ms >= 0.0 else None,
        method_of(str(request.get("method", ""))),
        target_of(url),
        status,
        size_of(int(sent)),
        size_of(int(received)),
        address_of(str(obj.get("_clientAddress", ""))),
        fields.get("user-agent", ""),
        host[:MAX_TEXT],
        extra or None,
        0.0,
        status == 0,
    )


def read_har(chunks: Iterable[bytes], wanted: frozenset[str] = frozenset()) -> Iterator[Entry | EntryError]:
    """Parse a HAR.

    :param wanted: headers and cookies to keep, in lower case.
    :returns: the entries in the file's order, with an `EntryError` in place of each that is no request; a
        last one if the file is cut off.
    """
    found = 0
    try:
        events = _shallow(ijson.basic_parse(_Stream(chunks), use_float=True))
        for obj in ijson.items(ijson.parse(events), "log.entries.item"):
            found += 1
            try:
                yield entry_of(obj, wanted)
            except EntryError as reason:
                yield reason
    except (ijson.JSONError, UnicodeDecodeError, RecursionError):
        yield EntryError("a HAR that is cut off or damaged" if found else "no HAR")
        return
    if not found:
        yield EntryError("a HAR without entries")
