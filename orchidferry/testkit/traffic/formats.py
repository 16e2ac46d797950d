"""Access log formats: compiles the description of a format to a parser of its lines. No I/O.

A format is described by a text:

- `common`, `combined`: the Common and Combined Log Format, as Apache and nginx write them;
- any Apache `LogFormat` string (`%h %l %u %t "%r" %>s %b`), any nginx `log_format` string (with `$`);
- `json:KEY=FIELD,...`: one JSON object per line; FIELD may be a path such as `http.method`;
- `tab:KEY=COLUMN,...` and `space:KEY=COLUMN,...`: numbers of columns, from 1; columns that contain
  the separator are quoted with `"`;
- `alb`: the access log of an AWS Application Load Balancer.

KEYs are start, end, took, request, method, target, status, sent, received, address, agent, host, aborted,
spread (aborted and spread are booleans; spread: a random fraction was already added to a time in whole
seconds), and any other name for a header or cookie that may identify clients. `took=FIELD:ms` (or us) gives
the unit of the duration.

Apache logs the start of a request, nginx and ALB log its end: the start is then `end` minus `took`.
Sources: documentation of Apache mod_log_config, nginx ngx_http_log_module, and ALB access logs.
"""

from __future__ import annotations

from datetime import tzinfo
from zoneinfo import ZoneInfo

from orchidferry.testkit.traffic.log_fields import LogFormatError, Parser
from orchidferry.testkit.traffic.mapped_formats import column_format, json_format
from orchidferry.testkit.traffic.string_formats import Layout, string_format, string_layout

__all__ = ["Layout", "LogFormatError", "Parser", "compile_format", "layout_of"]

COMMON = '%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + ' "%{Referer}i" "%{User-Agent}i"'
ALB = "space:end=2,address=4,took=6+7+8,status=9,received=11,sent=12,request=13,agent=14"
MAPPED = ("json", "tab", "space")  # kinds of formats that map keys to fields
MAX_FORMAT = 4_096  # characters


def layout_of(text: str, wanted: frozenset[str] = frozenset()) -> Layout | None:
    """Find the layout of a format string, with which whole blocks are parsed at once.

    :param text: the format.
    :param wanted: headers and cookies that must be read.
    :returns: the layout; None if the format needs more than the usual fields of `Layout`.
    :raises LogFormatError: if the format can't be used.
    """
    text = _expand_name(text)
    if text.partition(":")[0] in MAPPED:
        return None
    return string_layout(text, wanted)


def _expand_name(text: str) -> str:
    """:returns: the format that a name such as `combined` stands for; other texts as they are."""
    return {"common": COMMON, "combined": COMBINED, "alb": ALB}.get(text, text)


def compile_format(text: str, zone: tzinfo | None = None) -> Parser:
    """Compile a format.

    :param text: the format.
    :param zone: time zone of times without a zone; None for UTC.
    :returns: a function that parses a line, and raises `EntryError` if the line is not a request.
    :raises LogFormatError: if the format can't be used.
    """
    zone = zone or ZoneInfo("UTC")
    if len(text) > MAX_FORMAT:
        raise LogFormatError(f"{len(text)} characters, {MAX_FORMAT} at most")
    text = _expand_name(text)
    kind, colon, rest = text.partition(":")
    if colon and kind == "json":
        return json_format(rest, zone)
    if colon and kind in ("tab", "space"):
        return column_format(rest, "\t" if kind == "tab" else " ", zone)
    return string_format(text, zone)
