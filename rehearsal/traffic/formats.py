"""Forms of access logs, each as a function from a line to an `Entry`. No I/O.

A form is given as text:

- `common`, `combined`: the Common and Combined Log Format, as Apache and nginx write them;
- any Apache `LogFormat` string (`%h %l %u %t "%r" %>s %b`), any nginx `log_format` string (with `$`);
- `json:KEY=FIELD,...`: a JSON object a line; FIELD may be a path such as `http.method`;
- `tab:KEY=COLUMN,...` and `space:KEY=COLUMN,...`: columns from 1, quoted with `"` where they hold the
  separator; `alb`: an Application Load Balancer's.

KEYs are start, end, took, request, method, target, status, sent, received, address, agent, host, aborted,
spread (both true or false; the time has been spread within its second already), and any other name for a
header or cookie that identities may be taken from. `took=FIELD:ms` (or us) gives its unit.

Apache logs when a request began, nginx and ALB when it ended: from `end`, the start is reckoned with `took`.
Sources: Apache mod_log_config, nginx ngx_http_log_module, ALB access log syntax; all as published.
"""

from __future__ import annotations

import calendar
import csv
import functools
import json
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, tzinfo
from typing import Any
from zoneinfo import ZoneInfo

from rehearsal.traffic.entry import (
    MOST_TEXT,
    Entry,
    Reject,
    duration,
    method_of,
    moment,
    size_of,
    status_of,
    target_of,
)  # fmt: skip

Parser = Callable[[bytes], Entry]

COMMON = '%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + ' "%{Referer}i" "%{User-Agent}i"'
ALB = "space:end=2,address=4,took=6+7+8,status=9,received=11,sent=12,request=13,agent=14"
KEYS = ("start", "end", "took", "request", "method", "target", "status", "sent", "received", "address",
        "agent", "host", "aborted", "spread")  # fmt: skip
NEEDED = ({"start", "end"}, {"request", "target"})  # one of each
UNITS = {"s": 1.0, "ms": 1e-3, "us": 1e-6, "ns": 1e-9}
MONTHS = {name: at for at, name in enumerate(calendar.month_abbr) if name}
SPREAD_STEP_S = 1e-9  # above 0, so that it shows, and less than a recording's microsecond
MOST_FORMAT, MOST_FIELDS = 4_096, 64
MOST_QUOTES = 24  # of a line that is not in the strict form
QUOTED = r'[^"\\\n]*+(?:\\.[^"\\\n]*+)*+'  # what stands between quotes, with a server's escapes
CLF_TIME = r"\d{2}/[A-Za-z]{3}/\d{4}:\d{2}:\d{2}:\d{2} [+-]\d{4}"
CLF = re.compile(CLF_TIME, re.ASCII)


class BadFormat(Exception):
    """A form that can't be; the text names the part."""


# Values


@functools.lru_cache(maxsize=4_096)  # a busy log has hundreds of lines a second
def clf_time(text: str) -> float:
    """`10/Oct/2026:13:55:36 -0300`, in seconds since 1970."""
    try:
        if not CLF.fullmatch(text):
            raise ValueError
        day, month, year = int(text[:2]), MONTHS[text[3:6]], int(text[7:11])
        hour, minute, second = int(text[12:14]), int(text[15:17]), int(text[18:20])
        zone = int(text[22:24]) * 3600 + int(text[24:26]) * 60
        if second > 60 or minute > 59 or hour > 23:
            raise ValueError
        datetime(year, month, day)
        at = calendar.timegm((year, month, day, hour, minute, second)) - (-zone if text[21] == "-" else zone)
    except (ValueError, KeyError, IndexError):
        raise Reject("a time that can't be read") from None
    return moment(float(at))


def any_time(value: Any, zone: tzinfo) -> tuple[float, float]:
    """A time in any usual form, and how finely it is written: epoch in s, ms, us or ns, ISO 8601, CLF."""
    if isinstance(value, bool) or value is None:
        raise Reject("no time")
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
        raise Reject("a time that can't be read") from None
    if found.tzinfo is None:
        found = found.replace(tzinfo=zone)
    return moment(found.timestamp()), 0.0 if "." in text or "," in text else 1.0


def _epoch(value: float) -> float:
    for limit, unit in ((1e11, 1.0), (1e14, 1e-3), (1e17, 1e-6)):
        if value < limit:
            return moment(value * unit)
    return moment(value * 1e-9)


def number(value: Any) -> float:
    """A number, or `-` for none."""
    if value in ("-", "", None):
        return 0.0
    try:
        found = float(value)
    except (TypeError, ValueError):
        raise Reject("a number that can't be read") from None
    if found != found or found in (float("inf"), float("-inf")):
        raise Reject("a number that can't be read")
    return found


def address_of(text: str) -> str:
    """A client's address without its port; of a list as proxies make one, the first."""
    text = text.partition(",")[0].strip()
    if text.startswith("["):
        return text[1:].partition("]")[0]
    if text.count(":") == 1:
        text = text.partition(":")[0]
    return "" if text == "-" else text[:MOST_TEXT]


ESCAPE = re.compile(r"\\(?:x([0-9a-fA-F]{2})|(.))")
PLAIN = {"n": "\n", "t": "\t", "r": "\r", "b": "\b", "v": "\v"}


def unescaped(text: str) -> str:
    """What a server wrote as `\\x22`, `\\"` and the like."""
    if "\\" not in text:
        return text
    return ESCAPE.sub(lambda m: chr(int(m[1], 16)) if m[1] else PLAIN.get(m[2], m[2]), text)


def split_request(text: str) -> tuple[str, str]:
    """Method and target of a request line."""
    method, _, rest = text.partition(" ")
    target, _, version = rest.rpartition(" ")
    if not version.startswith("HTTP/"):
        target = rest
    if not method or not target or " " in target:
        raise Reject("a request line that can't be read")
    return method_of(method), target_of(target)


# Fields to an entry


def build(values: Mapping[str, Any], zone: tzinfo) -> Entry:
    """An entry from values by key; a time may be a number of seconds already."""
    took_s = values.get("took")
    if took_s is not None:
        took_s = duration(took_s)
    if "end" in values:
        start, step = any_time(values["end"], zone)
        start -= took_s or 0.0
    else:
        start, step = any_time(values.get("start"), zone)
    if "request" in values:
        method, target = split_request(values["request"])
    else:
        method, target = method_of(str(values.get("method", "GET"))), target_of(str(values.get("target", "")))
    status = status_of(int(number(values.get("status"))))
    if values.get("spread"):
        step = SPREAD_STEP_S
    fields = {key: str(value)[:MOST_TEXT] for key, value in values.items() if key not in KEYS}
    return Entry(
        start, took_s, method, target, status, size_of(int(number(values.get("sent")))),
        size_of(int(number(values.get("received")))), address_of(str(values.get("address", ""))),
        str(values.get("agent", ""))[:MOST_TEXT], str(values.get("host", ""))[:MOST_TEXT], fields or None,
        step, status in (0, 499) or bool(values.get("aborted")),
    )  # fmt: skip


# Apache and nginx: a format string becomes a pattern

APACHE = re.compile(r"%([!\d,]*)([<>]?)(?:\{([^}]*)\})?(\^[A-Za-z]{2}|[A-Za-z%])")
NGINX = re.compile(r"\$(?:\{(\w+)\}|(\w+))")

APACHE_KEYS = {"h": "address", "a": "address", "t": "start", "r": "request", "s": "status", "b": "sent",
               "B": "sent", "D": "took:us", "T": "took:s", "m": "method", "U": "target", "v": "host",
               "V": "host", "q": "query"}  # fmt: skip
NGINX_KEYS = {
    "remote_addr": "address", "realip_remote_addr": "address", "time_local": "end", "time_iso8601": "end",
    "msec": "end", "request": "request", "status": "status", "body_bytes_sent": "sent",
    "request_length": "received", "request_time": "took:s", "request_method": "method",
    "request_uri": "target", "uri": "target", "args": "query", "query_string": "query", "host": "host",
    "http_host": "host", "server_name": "host", "http_user_agent": "agent",
}  # fmt: skip


def _apache_key(match: re.Match[str]) -> str:
    name, kind = match[3], match[4]
    if kind == "t" and name:
        word = name.removeprefix("begin:").removeprefix("end:")
        side = "end" if name.startswith("end:") else "start"
        if word in ("sec", "msec", "usec", "msec_frac", "usec_frac"):
            return "" if word.endswith("_frac") else side
        raise BadFormat(f"%{{{name}}}t: only sec, msec and usec can be read back")
    if kind == "T" and name:
        return f"took:{name}" if name in UNITS else ""
    if kind == "i" and name:
        lower = name.lower()
        return {"user-agent": "agent", "host": "host"}.get(lower, lower)
    if kind == "C" and name:
        return name.lower()
    return "" if name and kind != "a" else APACHE_KEYS.get(kind, "")


def _parts(text: str) -> list[tuple[str, str]]:
    """Literals and keys in their order: ("text", literal) or ("key", key, '' for one that is not needed)."""
    nginx = "$" in text and "%" not in text
    found: list[tuple[str, str]] = []
    at = 0
    for match in (NGINX if nginx else APACHE).finditer(text):
        found.append(("text", text[at : match.start()]))
        at = match.end()
        if nginx:
            name = match[1] or match[2]
            key = NGINX_KEYS.get(name, "")
            if not key and name.startswith(("http_", "cookie_")):
                key = name.partition("_")[2].replace("_", "-") if name[0] == "h" else name.partition("_")[2]
            found.append(("key", key))
        elif match[4] == "%":
            found.append(("text", "%"))
        else:
            key = _apache_key(match)
            if match[4] == "t" and not match[3]:
                found += [("text", "["), ("key", "start"), ("text", "]")]
            else:
                found.append(("key", key))
    found.append(("text", text[at:]))
    joined: list[tuple[str, str]] = []
    for kind, value in found:
        if kind == "text" and joined and joined[-1][0] == "text":
            joined[-1] = ("text", joined[-1][1] + value)
        else:
            joined.append((kind, value))
    return joined


def _pattern(parts: Sequence[tuple[str, str]], quoted: str) -> str:
    """The pattern of a format; `quoted` is what stands between quotes."""
    found = []
    for at, (kind, value) in enumerate(parts):
        if kind == "text":
            found.append(re.escape(value))
            continue
        before = parts[at - 1][1] if at else ""
        after = parts[at + 1][1] if at + 1 < len(parts) else ""
        # Possessive, as what follows is never in the class: nothing to go back for, nothing to remember.
        if before.endswith('"') and after.startswith('"'):
            inner = quoted
        elif before.endswith("[") and after.startswith("]"):
            inner = r"[^\]\n]*+"
        elif not after:
            inner = r".*"
        elif value in ("start", "end"):
            inner = rf"(?:{CLF_TIME}|[^{re.escape(after[0])}\n]*)"
        else:
            inner = rf"[^{re.escape(after[0])}\n]*+"
        found.append(f"({inner})")
    return "".join(found)


def _string_format(text: str, zone: tzinfo) -> Parser:
    parts = _parts(text)
    keys = [value for kind, value in parts if kind == "key"]
    if len(keys) > MOST_FIELDS:
        raise BadFormat(f"{len(keys)} fields, {MOST_FIELDS} at most")
    if not any(keys):
        raise BadFormat(f"{text!r:.60} names no field")
    _needed({key.partition(":")[0] for key in keys if key}, text)
    strict = re.compile(_pattern(parts, QUOTED))
    # Servers that escape nothing write a `"` as it is. Read so only where there is one way to read it.
    lazy = re.compile(_pattern(parts, r".*?"))
    greedy = re.compile(_pattern(parts, r".*"))

    def parse(line: bytes) -> Entry:
        text = line.decode("utf-8", "replace").rstrip("\r")
        match = strict.fullmatch(text)
        if match is None:
            # Bounded, as it is tried at every quote: a line made for it would take hours.
            if text.count('"') > MOST_QUOTES:
                raise Reject("quotes that can be read in two ways")
            match = lazy.fullmatch(text)
            if match is None:
                raise Reject("not in this format")
            other = greedy.fullmatch(text)
            if other is None or other.groups() != match.groups():
                raise Reject("quotes that can be read in two ways")
        values: dict[str, Any] = {}
        for key, value in zip(keys, match.groups(), strict=True):
            if key and (value != "-" or key == "sent") and (value or key not in values):
                name, _, unit = key.partition(":")
                if name in ("start", "end") and name in values and "." not in value:
                    continue  # the same time again, less finely
                values[name] = number(value) * UNITS[unit] if unit else unescaped(value)
        if "query" in values and "request" not in values:
            query = str(values["query"]).lstrip("?")
            if query and "?" not in values.get("target", ""):
                values["target"] = f"{values.get('target', '')}?{query}"
        values.pop("query", None)
        if "request" in keys and "request" not in values:  # `-`: the server could read none
            raise Reject("a request line that can't be read")
        return build(values, zone)

    return parse


def _needed(keys: set[str], text: str) -> None:
    for one in NEEDED:
        if not one & keys:
            raise BadFormat(f"{text[:60]!r} lacks {' or '.join(sorted(one))}")


# JSON and columns: a map from keys to fields

FIELD = re.compile(r"([\w.@+-]+?)(?::(s|ms|us|ns))?")


def _map(text: str) -> dict[str, tuple[list[str], float]]:
    found: dict[str, tuple[list[str], float]] = {}
    for one in text.split(","):
        key, equals, value = one.strip().partition("=")
        match = FIELD.fullmatch(value)
        if not equals or not key or match is None:
            raise BadFormat(f"{one!r:.60} is not KEY=FIELD")
        if match[2] and key != "took":
            raise BadFormat(f"{one!r:.60}: only took has a unit")
        found[key.lower()] = match[1].split("+") if key == "took" else [match[1]], UNITS[match[2] or "s"]
    _needed(set(found), text)
    return found


def _took(values: Sequence[Any], unit: float) -> float | None:
    """A duration that may be the sum of several fields; ALB writes -1 for one that never came to be."""
    numbers = [number(value) for value in values if value not in ("-", "", None)]
    return sum(max(0.0, one) for one in numbers) * unit if numbers else None


def _json_format(text: str, zone: tzinfo) -> Parser:
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
            raise Reject("not JSON") from None
        if not isinstance(obj, dict):
            raise Reject("JSON that is no object")
        values: dict[str, Any] = {}
        for key, (names, unit) in paths.items():
            got = [reach(obj, path) for path in names]
            value = _took(got, unit) if key == "took" else got[0]
            if value is not None:
                values[key] = value
        if isinstance(values.get("request"), str) or "request" not in values:
            return build(values, zone)
        raise Reject("a request line that can't be read")

    return parse


def _columns(text: str, separator: str, zone: tzinfo) -> Parser:
    fields = _map(text)
    columns: dict[str, tuple[list[int], float]] = {}
    for key, (names, unit) in fields.items():
        try:
            columns[key] = [int(name) - 1 for name in names], unit
        except ValueError:
            raise BadFormat(f"{key}={'+'.join(names)}: columns are numbers from 1") from None
        if min(columns[key][0]) < 0:
            raise BadFormat(f"{key}: columns are numbers from 1")
    last = max(max(at) for at, _ in columns.values())

    def parse(line: bytes) -> Entry:
        try:
            row = next(csv.reader([line.decode("utf-8", "replace")], delimiter=separator))
        except (csv.Error, StopIteration):
            raise Reject("columns that can't be read") from None
        if len(row) <= last:
            raise Reject("too few columns")
        values: dict[str, Any] = {}
        for key, (at, unit) in columns.items():
            value = _took([row[n] for n in at], unit) if key == "took" else row[at[0]]
            if value is not None and value != "-":
                values[key] = value
        return build(values, zone)

    return parse


@dataclass(frozen=True, slots=True)
class Layout:
    """Where the usual fields of a string format stand among its pattern's groups; -1: nowhere."""

    pattern: re.Pattern[bytes]  # matches every line of a block; the last group is one in another form
    time: int
    epoch: bool  # seconds since 1970 with a fraction, else CLF's
    ends: bool  # of the request's end
    request: int
    status: int
    sent: int
    address: int
    agent: int
    took: int
    unit: float  # of it, in seconds


def layout_of(text: str, wanted: frozenset[str] = frozenset()) -> Layout | None:
    """The layout of a format, if all that matters in it are usual fields; None else. `wanted`: headers."""
    text = _named(text)
    if text.partition(":")[0] in ("json", "tab", "space"):
        return None
    parts = _parts(text)
    names = [value.partition(":") for kind, value in parts if kind == "key"]
    unusual = {"method", "target", "query", "received"} | wanted
    keys = [name for name, _, _ in names]
    at = {key: n for n, key in enumerate(keys)}  # of a time that is there twice, the last
    units = [unit for name, _, unit in names if name == "took"]
    if set(keys) & unusual or ("start" in at) == ("end" in at) or len(units) > 1:
        return None
    if not {"request", "status", "sent", "address"} <= set(keys):
        return None
    side = "end" if "end" in at else "start"
    epochs = [name for name in re.findall(r"\$(\w+)", text) if name == "msec"]
    if ("%{" in text and re.search(r"%\{[^}]*\}t", text)) or "time_iso8601" in text:
        return None
    if epochs and text.rfind("$msec") < max(text.rfind("$time_local"), 0):
        return None  # the finer one comes first
    return Layout(
        re.compile(rb"^(?:%b|(.*))$" % _pattern(parts, QUOTED).encode(), re.MULTILINE), at[side],
        bool(epochs), side == "end",
        at["request"], at["status"], at["sent"], at["address"], at.get("agent", -1), at.get("took", -1),
        UNITS[units[0]] if units else 1.0,
    )  # fmt: skip


def _named(text: str) -> str:
    return {"common": COMMON, "combined": COMBINED, "alb": ALB}.get(text, text)


def compile_format(text: str, zone: tzinfo | None = None) -> Parser:
    """A form's parser: an `Entry` from a line, or `Reject`. `BadFormat` if the form can't be.

    `zone` is that of times written without one.
    """
    zone = zone or ZoneInfo("UTC")
    if len(text) > MOST_FORMAT:
        raise BadFormat(f"{len(text)} characters, {MOST_FORMAT} at most")
    text = _named(text)
    kind, colon, rest = text.partition(":")
    if colon and kind == "json":
        return _json_format(rest, zone)
    if colon and kind in ("tab", "space"):
        return _columns(rest, "\t" if kind == "tab" else " ", zone)
    return _string_format(text, zone)
