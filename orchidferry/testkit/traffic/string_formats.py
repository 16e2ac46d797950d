"""Log formats given as format strings of Apache or nginx, which are compiled to regexes. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import tzinfo
from typing import Any

from orchidferry.testkit.traffic.entry import Entry, EntryError
from orchidferry.testkit.traffic.log_fields import LogFormatError, Parser, build_entry, require_keys
from orchidferry.testkit.traffic.log_values import CLF_TIME, UNITS, number, unescaped

MAX_FIELDS = 64  # fields of a format
MAX_QUOTES = 24  # quotes in a line that the strict pattern does not match
QUOTED = r'[^"\\\n]*+(?:\\.[^"\\\n]*+)*+'  # text between quotes, with the escapes of a server

APACHE = re.compile(r"%([!\d,]*)([<>]?)(?:\{([^}]*)\})?(\^[A-Za-z]{2}|[A-Za-z%])")
NGINX = re.compile(r"\$(?:\{(\w+)\}|(\w+))")

# Keys of the fields, see `formats`, optionally with a unit; `query` is appended to the target
APACHE_KEYS = {
    "h": "address",
    "a": "address",
    "t": "start",
    "r": "request",
    "s": "status",
    "b": "sent",
    "B": "sent",
    "D": "took:us",
    "T": "took:s",
    "m": "method",
    "U": "target",
    "v": "host",
    "V": "host",
    "q": "query",
}
NGINX_KEYS = {
    "remote_addr": "address",
    "realip_remote_addr": "address",
    "time_local": "end",
    "time_iso8601": "end",
    "msec": "end",
    "request": "request",
    "status": "status",
    "body_bytes_sent": "sent",
    "request_length": "received",
    "request_time": "took:s",
    "request_method": "method",
    "request_uri": "target",
    "uri": "target",
    "args": "query",
    "query_string": "query",
    "host": "host",
    "http_host": "host",
    "server_name": "host",
    "http_user_agent": "agent",
}


def _apache_key(match: re.Match[str]) -> str:
    """:returns: the key of an Apache directive; empty if its value is not needed."""
    name = match[3]
    kind = match[4]
    if kind == "t" and name:
        word = name.removeprefix("begin:").removeprefix("end:")
        side = "end" if name.startswith("end:") else "start"
        if word in ("sec", "msec", "usec", "msec_frac", "usec_frac"):
            return "" if word.endswith("_frac") else side
        raise LogFormatError(f"%{{{name}}}t: only sec, msec and usec can be read back")
    if kind == "T" and name:
        return f"took:{name}" if name in UNITS else ""
    if kind == "i" and name:
        lower = name.lower()
        return {"user-agent": "agent", "host": "host"}.get(lower, lower)
    if kind == "C" and name:
        return name.lower()
    return "" if name and kind != "a" else APACHE_KEYS.get(kind, "")


def _parts(text: str) -> list[tuple[str, str]]:
    """Split a format string into literals and fields.

    :returns: ("text", literal) or ("key", key) in their order; the key is empty if the field is not needed.
    """
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
    """Build the regex of a format.

    :param parts: the literals and keys of the format.
    :param quoted: the regex of a field between quotes.
    """
    found = []
    for at, (kind, value) in enumerate(parts):
        if kind == "text":
            found.append(re.escape(value))
            continue
        before = parts[at - 1][1] if at else ""
        after = parts[at + 1][1] if at + 1 < len(parts) else ""
        # Possessive quantifiers: the character after the field is never in its class, so that backtracking
        # can't help, and would only cost time and memory.
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


def string_format(text: str, zone: tzinfo) -> Parser:
    """Compile an Apache or nginx format string.

    :param text: the format string.
    :param zone: time zone of times without a zone.
    :returns: the parser of a line.
    :raises LogFormatError: if the format can't be used.
    """
    parts = _parts(text)
    keys = [value for kind, value in parts if kind == "key"]
    if len(keys) > MAX_FIELDS:
        raise LogFormatError(f"{len(keys)} fields, {MAX_FIELDS} at most")
    if not any(keys):
        raise LogFormatError(f"{text!r:.60} names no field")
    require_keys({key.partition(":")[0] for key in keys if key}, text)
    strict = re.compile(_pattern(parts, QUOTED))
    # Some servers do not escape quotes in fields. Such a line is accepted only if it can be read in one way:
    # if the lazy and the greedy pattern give the same fields.
    lazy = re.compile(_pattern(parts, r".*?"))
    greedy = re.compile(_pattern(parts, r".*"))

    def parse(line: bytes) -> Entry:
        text = line.decode("utf-8", "replace").rstrip("\r")
        match = strict.fullmatch(text)
        if match is None:
            # The patterns backtrack at every quote: without this limit, a crafted line would take hours.
            if text.count('"') > MAX_QUOTES:
                raise EntryError("quotes that can be read in two ways")
            match = lazy.fullmatch(text)
            if match is None:
                raise EntryError("not in this format")
            other = greedy.fullmatch(text)
            if other is None or other.groups() != match.groups():
                raise EntryError("quotes that can be read in two ways")
        values: dict[str, Any] = {}
        for key, value in zip(keys, match.groups(), strict=True):
            if key and (value != "-" or key == "sent") and (value or key not in values):
                name, _, unit = key.partition(":")
                if name in ("start", "end") and name in values and "." not in value:
                    continue  # the time is there already, with a finer resolution
                values[name] = number(value) * UNITS[unit] if unit else unescaped(value)
        if "query" in values and "request" not in values:
            query = str(values["query"]).lstrip("?")
            if query and "?" not in values.get("target", ""):
                values["target"] = f"{values.get('target', '')}?{query}"
        values.pop("query", None)
        if "request" in keys and "request" not in values:  # `-`: the server could not parse it
            raise EntryError("a request line that can't be read")
        return build_entry(values, zone)

    return parse


@dataclass(frozen=True, slots=True)
class Layout:
    """Positions of the usual fields of a format among the groups of its regex; -1: not in the format."""

    pattern: re.Pattern[bytes]  # matches every line of a block; the last group is a line in another format
    time: int
    epoch: bool  # whether the time is in seconds since 1970 with a fraction, else in the Common Log Format
    logged_at_end: bool  # whether the time is that of the end of the request
    request: int
    status: int
    sent: int
    address: int
    agent: int
    took: int
    unit: float  # unit of `took`, in seconds


def string_layout(text: str, wanted: frozenset[str]) -> Layout | None:
    """Find the layout of a format string.

    :param text: the format string.
    :param wanted: names of headers and cookies that must be read.
    :returns: the layout; None if the format needs more than the usual fields.
    """
    parts = _parts(text)
    names = [value.partition(":") for kind, value in parts if kind == "key"]
    unusual = {"method", "target", "query", "received"} | wanted
    keys = [name for name, _, _ in names]
    at = {key: n for n, key in enumerate(keys)}  # if there are two times, the last one
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
        return None  # `at` has the position of the coarser time, which comes last
    return Layout(
        re.compile(rb"^(?:%b|(.*))$" % _pattern(parts, QUOTED).encode(), re.MULTILINE),
        at[side],
        bool(epochs),
        side == "end",
        at["request"],
        at["status"],
        at["sent"],
        at["address"],
        at.get("agent", -1),
        at.get("took", -1),
        UNITS[units[0]] if units else 1.0,
    )
