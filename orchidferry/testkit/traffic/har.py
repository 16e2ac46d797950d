"""Reads HAR 1.2 files, as browsers export them, entry by entry: memory use is that of one entry.

The JSON is parsed incrementally with ijson. A truncated file yields its complete entries. Of the fields that
browsers add (`_error`, `_resourceType`, `_webSocketMessages`, ...), only those are read that show that an
entry is not a request with a response.
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
    check_duration,
    check_time,
    method_of,
    size_of,
    status_of,
    target_of,
)
from orchidferry.testkit.traffic.log_values import address_of

MAX_DEPTH = 64  # maximum depth of nested objects and arrays
SCHEMES = ("http://", "https://")


class _ChunkFile:
    """A file object over chunks, as ijson needs it."""

    def __init__(self, chunks: Iterable[bytes]) -> None:
        self._chunks = iter(chunks)
        self._rest = b""

    def read(self, size: int = -1) -> bytes:
        if not self._rest:
            self._rest = next(self._chunks, b"")
        if size < 0:
            size = len(self._rest)
        data = self._rest[:size]
        self._rest = self._rest[size:]
        return data


def _limit_depth(events: Iterable[tuple[str, Any]]) -> Iterator[tuple[str, Any]]:
    """Raise `RecursionError` at a depth that no HAR has: ijson's memory use grows with the depth."""
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

    :param obj: the parsed JSON of the entry.
    :param wanted: names of the headers and cookies to keep, in lower case.
    :raises EntryError: if the object is not a request with a response.
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
        check_time(at.timestamp()),
        check_duration(took_ms / 1000.0) if took_ms >= 0.0 else None,
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

    :param chunks: the content of the file.
    :param wanted: names of the headers and cookies to keep, in lower case.
    :returns: the entries in the order of the file, with an `EntryError` in place of each that is not a
        request, and a last `EntryError` if the file is truncated.
    """
    found = 0
    try:
        events = _limit_depth(ijson.basic_parse(_ChunkFile(chunks), use_float=True))
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
